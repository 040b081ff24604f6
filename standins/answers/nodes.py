"""Stand-in cache nodes in one process, which record every attempt that reaches them.

    python -m standins.answers.nodes PLAN.json PORT OUTPUT

Node number n listens at `fleetnodes.address_of(n)`. A node works on one request of a connection at a time,
writes the name of the request into the body of its answer, and injects the plan's faults. After SIGUSR1, the
work of every request hangs for `HANG_WORK_S`. Prints `ready` once all nodes listen. On SIGTERM the process
writes OUTPUT: JSON with the list of all `Attempt`s and two counters. Times are seconds of CLOCK_MONOTONIC,
which all processes of a machine share.
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

from standins.answers.plan import OTHER_ZONE_DELAY_S, SAME_ZONE_DELAY_S, ZONES, Plan, read_plan
from standins.fleetnodes import address_of

REFUSAL_ANSWER = b"HTTP/1.1 503 Stand-in\r\nContent-Length: 0\r\nSrv-Declined: 1\r\n\r\n"
ERROR_ANSWER = b"HTTP/1.1 500 Stand-in\r\nContent-Length: 3\r\n\r\nbad"
HEALTH_ANSWER = b"HTTP/1.1 200 Stand-in\r\nContent-Length: 6\r\n\r\nhealth"
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"
TIMEOUT_ANSWER = b"HTTP/1.1 408 Stand-in\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HANG_WORK_S = 3.0  # longer than the longest deadline of the settings
MAX_ACCEPT_PAUSE_S = 1.0
RESTART_DELAY_S = 0.5  # after a crash
LAST_DATA_RECV_OFFSET = 52  # offset in Linux's struct tcp_info (tcp(7)): 32 bits, in milliseconds


@dataclass(slots=True)
class Attempt:
    """One request as it reached a node. `ran` says whether its work has begun. `ended` is ok, error,
    declined, reset, gone (its connection closed before its work began), or empty while it is in flight."""

    request: str
    node: int
    connection: int
    first_byte: float
    last_byte: float
    req_deadline_s: float  # the time left according to its Req-Deadline
    body: str = ""  # body of its answer
    taken: float = 0.0  # when its work began
    ended_at: float = 0.0
    ran: bool = False
    ended: str = ""


def zone_of(node: int) -> int:
    return node % ZONES


class Node:
    """One listener and its open connections."""

    def __init__(self, number: int, port: int, fleet: NodeFleet) -> None:
        self.number, self.port, self.fleet = number, port, fleet
        delay_bounds_s = SAME_ZONE_DELAY_S if zone_of(number) == 0 else OTHER_ZONE_DELAY_S
        self.one_way_s = fleet.random.uniform(*delay_bounds_s)
        self.connections: set[NodeProtocol] = set()
        self.listener: socket.socket | None = None

    def listen(self) -> None:
        listener = self.listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address_of(self.number), self.port))
        listener.listen(64)
        listener.setblocking(False)
        self.fleet.loop.add_reader(listener, self._accept)

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            accepted, _ = self.listener.accept()
        except OSError:
            return
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self.fleet.loop.create_task(self._serve(accepted))
        self.fleet.tasks.add(task)
        task.add_done_callback(self.fleet.tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self.fleet.loop.connect_accepted_socket(lambda: NodeProtocol(self), accepted)
        except OSError:
            accepted.close()

    def pause_accepting(self) -> None:
        """Accepts no connection for up to a second. The listener's queue holds one; further connects are
        delayed or time out."""
        if self.listener is None:
            return
        self.fleet.loop.remove_reader(self.listener)
        self.listener.listen(0)
        self.fleet.loop.call_later(self.fleet.random.uniform(0.1, MAX_ACCEPT_PAUSE_S), self.resume_accepting)

    def resume_accepting(self) -> None:
        if self.listener is not None:
            self.listener.listen(64)
            self.fleet.loop.add_reader(self.listener, self._accept)

    def crash(self) -> None:
        """Resets all connections, and listens again after RESTART_DELAY_S."""
        if self.listener is None:
            return
        self.fleet.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        for connection in list(self.connections):
            connection.reset()
        self.fleet.loop.call_later(RESTART_DELAY_S, self.listen)


class NodeProtocol(asyncio.Protocol):
    """The node's side of a connection. Injects the faults of its plan into the answers."""

    def __init__(self, node: Node) -> None:
        self.node, self.fleet = node, node.fleet
        self.random, self.faults = node.fleet.random, node.fleet.plan.faults
        self.connection_number = self.fleet.next_connection()
        self.buffer = b""
        self.first_byte = 0.0
        self.current: Attempt | None = None  # the attempt that the node works on
        # `silent`: the node ignores all further requests and writes nothing, but keeps the connection open.
        self.silent = self.closed = self.has_read = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.node.connections.discard(self)

    def reset(self) -> None:
        """Closes the connection with a TCP RST."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.closed = True
        self.transport.abort()

    # ---- requests

    def data_received(self, data: bytes) -> None:
        if self.silent:
            return
        self.first_byte = self.first_byte or time.monotonic() - self._socket_wait_s()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self._receive_request(lines[0], headers)
            self.first_byte = time.monotonic() if self.buffer else 0.0

    def _socket_wait_s(self) -> float:
        """Returns how long the first bytes of a connection, which may have been accepted late, have waited
        in the kernel (s); 0 for later ones."""
        if self.has_read:
            return 0.0
        self.has_read = True
        sock = self.transport.get_extra_info("socket")
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
        waited_ms: int = struct.unpack_from("I", tcp_info, LAST_DATA_RECV_OFFSET)[0]
        return waited_ms / 1000

    def _receive_request(self, line: str, headers: dict[str, str]) -> None:
        if line.startswith("GET /health"):
            self.fleet.loop.call_later(2 * self.node.one_way_s, self._write_answer, HEALTH_ANSWER, False)
            return
        attempt = Attempt(
            headers.get("req-id", ""), self.node.number, self.connection_number, self.first_byte,
            time.monotonic(), float(headers.get("req-deadline", "0")),
        )  # fmt: skip
        self.fleet.attempts.append(attempt)
        self.fleet.loop.call_later(self.node.one_way_s, self._begin_work, attempt)

    def _begin_work(self, attempt: Attempt) -> None:
        """Called one network delay after the request was read, as if it reached the node only then."""
        now = time.monotonic()
        if self.closed:
            attempt.ended, attempt.ended_at = "gone", now
        elif self.current is not None or self.random.random() < self.faults.refusals:
            self._end_attempt(attempt, "declined", REFUSAL_ANSWER)
        else:
            attempt.taken, attempt.ran, self.current = now, True, attempt
            work_s = self.random.expovariate(1 / self.fleet.plan.work_s)
            if self.fleet.all_hang or self.random.random() < self.faults.hangs:
                work_s = HANG_WORK_S
            self.fleet.loop.call_later(work_s, self._finish_work, attempt)

    def _finish_work(self, attempt: Attempt) -> None:
        self.current = None
        if self.random.random() < self.faults.resets:
            attempt.ended, attempt.ended_at = "reset", time.monotonic()
            self.reset()
        elif self.random.random() < self.faults.errors:
            self._end_attempt(attempt, "error", ERROR_ANSWER)
        else:
            attempt.body = f"{attempt.request} by {attempt.node} as {self.random.getrandbits(48):012x}"
            self._end_attempt(attempt, "ok", self._build_answer(attempt.body.encode()))

    def _build_answer(self, body: bytes) -> bytes:
        if self.random.random() < self.faults.unsized:
            return b"HTTP/1.1 200 Stand-in\r\nSrv-Cache: hit\r\n\r\n" + body
        return b"HTTP/1.1 200 Stand-in\r\nContent-Length: %d\r\nSrv-Cache: hit\r\n\r\n" % len(body) + body

    # ---- answers and their faults

    def _end_attempt(self, attempt: Attempt, ended: str, answer: bytes) -> None:
        attempt.ended, attempt.ended_at = ended, time.monotonic()
        self.fleet.loop.call_later(self.node.one_way_s, self._write_answer, answer, ended == "declined")

    def _write_answer(self, answer: bytes, refusal: bool) -> None:
        """Writes an answer, one network delay after the node has made it, with faults drawn at random."""
        if self.closed or self.silent:
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
        call_later = self.fleet.loop.call_later
        if random.random() < faults.copies and (refusal or not faults.refusals_alone):
            call_later(random.uniform(*faults.copy_late_s), self._write_copy, answer)
        if random.random() < faults.late_interims:
            call_later(random.uniform(0.0, 0.02), self._write_extra, INTERIM_ANSWER)
        if random.random() < faults.forgotten:
            self.silent = True
        elif random.random() < faults.early_closes:
            call_later(random.uniform(0.0, 1.0), self._close_idle, b"")
        elif random.random() < faults.farewells:
            call_later(random.uniform(0.05, 1.0), self._close_idle, TIMEOUT_ANSWER)

    def _write_unsized(self, answer: bytes) -> None:
        """Writes an answer and closes the connection, which marks its end, or writes all but its last 5 bytes
        and then resets the connection."""
        cut_at = len(answer) - 5
        if self.random.random() < 0.5:
            self.transport.write(answer)
            self.transport.close()
            self.closed = True
        else:
            self.transport.write(answer[:cut_at])
            self.fleet.loop.call_later(0.005, self.reset)

    def _write_tail(self, answer: bytes) -> None:
        """Writes an answer and stray bytes, at once or a millisecond later."""
        stray = self.random.choice((b"x", b"\r\n\r\n", answer[:20], b"HTTP/1.1 200 OK\r\n", bytes(200)))
        if self.random.random() < 0.5:
            self.transport.write(answer + stray)
        else:
            self.transport.write(answer)
            self.fleet.loop.call_later(0.001, self._write_extra, stray)

    def _write_copy(self, answer: bytes) -> None:
        if self.faults.split_copies:
            split_at = self.random.randrange(1, len(answer))
            self._write_extra(answer[:split_at])
            self.fleet.loop.call_later(0.002, self._write_extra, answer[split_at:])
        else:
            self._write_extra(answer)

    def _write_extra(self, data: bytes) -> None:
        """Writes bytes that belong to no answer."""
        if not self.closed and not self.transport.is_closing():
            self.fleet.extra += 1
            self.transport.write(data)

    def _close_idle(self, final_data: bytes) -> None:
        """Writes `final_data` and closes the connection, unless the node knows of a request in flight."""
        if self.closed or self.current is not None or self.first_byte:
            return
        if final_data:
            self.transport.write(final_data)
        self.transport.close()
        self.closed = True


class NodeFleet:
    """All nodes of a plan, and what they recorded."""

    def __init__(self, plan: Plan, port: int, loop: asyncio.AbstractEventLoop) -> None:
        self.plan, self.loop = plan, loop
        self.random = Random(f"nodes {plan.seed}")
        self.attempts: list[Attempt] = []  # all that reached a node
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections = self.extra = 0  # connections accepted; writes of bytes that belong to no answer
        self.all_hang = False
        self.nodes = [Node(n, port, self) for n in range(plan.nodes)]

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def start(self) -> None:
        for node in self.nodes:
            node.listen()
        for count, action in (
            (self.plan.faults.accept_pauses, Node.pause_accepting),
            (self.plan.faults.crashes, Node.crash),
        ):
            for _ in range(count):
                delay_s = 1.0 + self.random.random() * self.plan.seconds
                self.loop.call_later(delay_s, action, self.random.choice(self.nodes))


async def serve(plan: Plan, port: int, path: Path) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    fleet = NodeFleet(plan, port, loop)
    loop.add_signal_handler(signal.SIGUSR1, setattr, fleet, "all_hang", True)
    fleet.start()
    print("ready", flush=True)
    await stop.wait()
    log = {
        "connections": fleet.connections,
        "extra": fleet.extra,
        "attempts": [asdict(a) for a in fleet.attempts],
    }
    path.write_text(json.dumps(log))


if __name__ == "__main__":
    uvloop.run(serve(read_plan(Path(sys.argv[1]).read_text()), int(sys.argv[2]), Path(sys.argv[3])))
