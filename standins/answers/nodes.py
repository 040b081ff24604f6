"""Stand-in cache nodes in one process, with a book of every attempt that reached them.

    python -m standins.answers.nodes PLAN.json PORT BOOK

Node number n listens at `fleetnodes.address_of(n)`. A node works on one request of a connection at a time,
names the request in its answer's body, and plays the plan's faults. From SIGUSR1 on all work hangs. Prints
`ready` once all listen. On SIGTERM it writes BOOK: a list of `Attempt` as JSON. Times are seconds of
CLOCK_MONOTONIC.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import struct
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import cast

import uvloop

from standins.answers.plan import FAR_S, NEAR_S, ZONES, Plan, read_plan
from standins.fleetnodes import address_of

DECLINED = b"HTTP/1.1 503 Stand-in\r\nContent-Length: 0\r\nSrv-Declined: 1\r\n\r\n"
ERROR = b"HTTP/1.1 500 Stand-in\r\nContent-Length: 3\r\n\r\nbad"
HEALTH = b"HTTP/1.1 200 Stand-in\r\nContent-Length: 6\r\n\r\nhealth"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
FAREWELL = b"HTTP/1.1 408 Stand-in\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HANG_S = 3.0
PAUSE_S = 1.0
DOWN_S = 0.5
LAST_DATA_RECEIVED = 52  # bytes into Linux's struct tcp_info (tcp(7)); milliseconds


@dataclass(slots=True)
class Attempt:
    """One request as it reached a node. `ran` says whether its work was begun; `ended`: ok, error, declined,
    reset, gone (its connection had ended before it was taken), or empty while it is out."""

    request: str
    node: int
    connection: int
    first_byte: float
    last_byte: float
    told_s: float  # Req-Deadline
    body: str = ""
    taken: float = 0.0
    ended_at: float = 0.0
    ran: bool = False
    ended: str = ""


def zone_of(node: int) -> int:
    return node % ZONES


class Node:
    """One listener, and what it has open."""

    def __init__(self, number: int, port: int, farm: Farm) -> None:
        self.number, self.port, self.farm = number, port, farm
        one_way = NEAR_S if zone_of(number) == 0 else FAR_S
        self.one_way_s = farm.random.uniform(*one_way)
        self.open: set[NodeProtocol] = set()
        self.listener: socket.socket | None = None

    def listen(self) -> None:
        listener = self.listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address_of(self.number), self.port))
        listener.listen(64)
        listener.setblocking(False)
        self.farm.loop.add_reader(listener, self._accept)

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            accepted, _ = self.listener.accept()
        except OSError:
            return
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self.farm.loop.create_task(self._serve(accepted))
        self.farm.tasks.add(task)
        task.add_done_callback(self.farm.tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self.farm.loop.connect_accepted_socket(lambda: NodeProtocol(self), accepted)
        except OSError:
            accepted.close()

    def pause(self) -> None:
        """Connections come up late, or never: the queue holds one, and nothing is accepted."""
        if self.listener is None:
            return
        self.farm.loop.remove_reader(self.listener)
        self.listener.listen(0)
        self.farm.loop.call_later(self.farm.random.uniform(0.1, PAUSE_S), self.go_on)

    def go_on(self) -> None:
        if self.listener is not None:
            self.listener.listen(64)
            self.farm.loop.add_reader(self.listener, self._accept)

    def crash(self) -> None:
        """It resets all it has, and is back soon."""
        if self.listener is None:
            return
        self.farm.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        for connection in list(self.open):
            connection.reset()
        self.farm.loop.call_later(DOWN_S, self.listen)


class NodeProtocol(asyncio.Protocol):
    """A connection to a node: requests in, answers out, some of them more than once."""

    def __init__(self, node: Node) -> None:
        self.node, self.farm = node, node.farm
        self.random, self.faults = node.farm.random, node.farm.plan.faults
        self.number = self.farm.next_connection()
        self.buffer = b""
        self.first_byte = 0.0
        self.working: Attempt | None = None
        self.silent = self.gone = self.read = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.node.open.discard(self)

    def reset(self) -> None:
        own = self.transport.get_extra_info("socket")
        if own is not None and not self.gone:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.gone = True
        self.transport.abort()

    # ---- requests

    def data_received(self, data: bytes) -> None:
        if self.silent:
            return
        self.first_byte = self.first_byte or time.monotonic() - self._waited_s()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self._whole(lines[0], headers)
            self.first_byte = time.monotonic() if self.buffer else 0.0

    def _waited_s(self) -> float:
        """How long the first bytes of a connection have lain there, which may have been accepted late."""
        if self.read:
            return 0.0
        self.read = True
        own = self.transport.get_extra_info("socket")
        told = own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        waited_ms: int = struct.unpack_from("I", told, LAST_DATA_RECEIVED)[0]
        return waited_ms / 1000

    def _whole(self, line: str, headers: dict[str, str]) -> None:
        if line.startswith("GET /health"):
            self.farm.loop.call_later(2 * self.node.one_way_s, self._write, HEALTH, False)
            return
        a = Attempt(
            headers.get("req-id", ""), self.node.number, self.number, self.first_byte, time.monotonic(),
            float(headers.get("req-deadline", "0")),
        )  # fmt: skip
        self.farm.book.append(a)
        self.farm.loop.call_later(self.node.one_way_s, self._take, a)

    def _take(self, a: Attempt) -> None:
        """It has reached the node, one way later."""
        now = time.monotonic()
        if self.gone:
            a.ended, a.ended_at = "gone", now
        elif self.working is not None or self.random.random() < self.faults.refusals:
            self._end(a, "declined", DECLINED)
        else:
            a.taken, a.ran, self.working = now, True, a
            work_s = self.random.expovariate(1 / self.farm.plan.work_s)
            if self.farm.hangs or self.random.random() < self.faults.hangs:
                work_s = HANG_S
            self.farm.loop.call_later(work_s, self._done, a)

    def _done(self, a: Attempt) -> None:
        self.working = None
        if self.random.random() < self.faults.resets:
            a.ended, a.ended_at = "reset", time.monotonic()
            self.reset()
        elif self.random.random() < self.faults.errors:
            self._end(a, "error", ERROR)
        else:
            a.body = f"{a.request} by {a.node} as {self.random.getrandbits(48):012x}"
            self._end(a, "ok", self._answer(a.body.encode()))

    def _answer(self, body: bytes) -> bytes:
        if self.random.random() < self.faults.unsized:
            return b"HTTP/1.1 200 Stand-in\r\nSrv-Cache: hit\r\n\r\n" + body
        return b"HTTP/1.1 200 Stand-in\r\nContent-Length: %d\r\nSrv-Cache: hit\r\n\r\n" % len(body) + body

    # ---- answers

    def _end(self, a: Attempt, ended: str, answer: bytes) -> None:
        a.ended, a.ended_at = ended, time.monotonic()
        self.farm.loop.call_later(self.node.one_way_s, self._write, answer, ended == "declined")

    def _write(self, answer: bytes, refusal: bool) -> None:
        """The answer has come back to the proxy, one way later."""
        if self.gone or self.silent:
            return
        random, faults = self.random, self.faults
        if b"Content-Length" not in answer:
            self._write_unsized(answer)
            return
        if random.random() < faults.halves:
            self.transport.write(answer[: len(answer) // 2])
            self.silent = True
            return
        if random.random() < faults.tails:
            self._write_tail(answer)
        else:
            self.transport.write(answer)
        later = self.farm.loop.call_later
        if random.random() < faults.copies and (refusal or not faults.refusals_alone):
            later(random.uniform(*faults.copy_late_s), self._write_copy, answer)
        if random.random() < faults.late_interims:
            later(random.uniform(0.0, 0.02), self._more, INTERIM)
        if random.random() < faults.forgotten:
            self.silent = True
        elif random.random() < faults.early_closes:
            later(random.uniform(0.0, 1.0), self._close_idle, b"")
        elif random.random() < faults.farewells:
            later(random.uniform(0.05, 1.0), self._close_idle, FAREWELL)

    def _write_unsized(self, answer: bytes) -> None:
        half = len(answer) - 5
        if self.random.random() < 0.5:
            self.transport.write(answer)
            self.transport.close()
            self.gone = True
        else:
            self.transport.write(answer[:half])
            self.farm.loop.call_later(0.005, self.reset)

    def _write_tail(self, answer: bytes) -> None:
        noise = self.random.choice((b"x", b"\r\n\r\n", answer[:20], b"HTTP/1.1 200 OK\r\n", bytes(200)))
        if self.random.random() < 0.5:
            self.transport.write(answer + noise)
        else:
            self.transport.write(answer)
            self.farm.loop.call_later(0.001, self._more, noise)

    def _write_copy(self, answer: bytes) -> None:
        if self.faults.split_copies:
            half = self.random.randrange(1, len(answer))
            self._more(answer[:half])
            self.farm.loop.call_later(0.002, self._more, answer[half:])
        else:
            self._more(answer)

    def _more(self, data: bytes) -> None:
        if not self.gone and not self.transport.is_closing():
            self.farm.extra += 1
            self.transport.write(data)

    def _close_idle(self, last_words: bytes) -> None:
        """Only where nothing is open, as far as the node knows."""
        if self.gone or self.working is not None or self.first_byte:
            return
        if last_words:
            self.transport.write(last_words)
        self.transport.close()
        self.gone = True


class Farm:
    """All nodes of a plan."""

    def __init__(self, plan: Plan, port: int, loop: asyncio.AbstractEventLoop) -> None:
        self.plan, self.loop = plan, loop
        self.random = Random(f"nodes {plan.seed}")
        self.book: list[Attempt] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections = self.extra = 0
        self.hangs = False
        self.nodes = [Node(n, port, self) for n in range(plan.nodes)]

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def start(self) -> None:
        for node in self.nodes:
            node.listen()
        for times, call in (
            (self.plan.faults.accept_pauses, Node.pause),
            (self.plan.faults.crashes, Node.crash),
        ):
            for _ in range(times):
                at = 1.0 + self.random.random() * self.plan.seconds
                self.loop.call_later(at, call, self.random.choice(self.nodes))


async def serve(plan: Plan, port: int, path: Path) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    farm = Farm(plan, port, loop)
    loop.add_signal_handler(signal.SIGUSR1, setattr, farm, "hangs", True)
    farm.start()
    print("ready", flush=True)
    await stop.wait()
    book = {"connections": farm.connections, "extra": farm.extra, "attempts": [asdict(a) for a in farm.book]}
    path.write_text(json.dumps(book))


if __name__ == "__main__":
    uvloop.run(serve(read_plan(Path(sys.argv[1]).read_text()), int(sys.argv[2]), Path(sys.argv[3])))
