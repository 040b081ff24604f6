"""Stand-in cache nodes at many loopback addresses, in one process, which record every request they get.

    python -m standins.fleetnodes COUNT PORT OUTPUT

Node number n listens at `address_of(n)`. Prints `ready` once all nodes listen. On SIGTERM the process writes
OUTPUT and ends: JSON with the number of connections and a list of `[node, time of the first byte, request
id]`. Times are seconds of CLOCK_MONOTONIC, which all processes of a machine share. Between SIGUSR1 and
SIGUSR2 requests are recorded and not answered.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from functools import partial
from pathlib import Path
from typing import cast

import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\nSrv-Cache: hit\r\n\r\n" + b"v" * 200
REQUEST_ID = b"\r\nReq-Id: "
CONTENT_LENGTH = b"\r\nContent-Length: "


def address_of(node: int) -> str:
    """Returns the loopback address of a node; each number has its own."""
    return f"127.{1 + node // 62_500}.{node // 250 % 250}.{1 + node % 250}"


class RequestLog:
    """The requests and connections of all nodes. While `silent` is set, nothing is answered."""

    def __init__(self) -> None:
        self.silent = False
        self.connections = 0
        self.requests: list[tuple[int, float, str]] = []  # node, time of the first byte, request id


class NodeProtocol(asyncio.Protocol):
    """A connection to a node. Answers each request at once, one at a time."""

    def __init__(self, node: int, log: RequestLog) -> None:
        self.node = node
        self.log = log
        self.buffer = b""
        self.began = 0.0
        log.connections += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.began = time.monotonic()
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        length = head.partition(CONTENT_LENGTH)[2].partition(b"\r\n")[0]
        if not end or len(body) < int(length or 0):
            return
        self.buffer = b""
        if REQUEST_ID in head:
            request_id = head.partition(REQUEST_ID)[2].partition(b"\r\n")[0].decode()
            self.log.requests.append((self.node, self.began, request_id))
        if not self.log.silent:
            self.transport.write(ANSWER)


def listen(node: int, port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address_of(node), port))
    return listener


async def serve(count: int, port: int, path: Path) -> None:
    loop, stop, log = asyncio.get_running_loop(), asyncio.Event(), RequestLog()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, setattr, log, "silent", True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, log, "silent", False)
    for node in range(count):
        await loop.create_server(partial(NodeProtocol, node, log), sock=listen(node, port), backlog=16)
    print("ready", flush=True)
    await stop.wait()
    path.write_text(json.dumps({"connections": log.connections, "requests": log.requests}))


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
