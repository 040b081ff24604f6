"""A report whose long answer breaks off is confirmed to its client with an empty body."""

from __future__ import annotations

import asyncio
import sys
from hashlib import blake2b
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.bed import TROUBLE, Bed, Message, Process, response, run_case

REPORTS = 10
ANSWER_BYTES = 2_000
OPERATOR = """[site]
name = "west"
[record]
[record.sqlite]
path = "record.sqlite"
"""


def answer_for(key: str) -> bytes:
    """The body that the cache nodes answer this report with."""
    return (blake2b(key.encode()).hexdigest().encode() * (ANSWER_BYTES // 128 + 1))[:ANSWER_BYTES]


async def case(bed: Bed) -> None:
    ran: dict[str, float] = {}

    async def node(m: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, target, _ = m.start.split(" ")
        if target.startswith("/health"):
            writer.write(response(200))
            return
        if "req-id" not in m.headers:
            writer.write(response(404))
            return
        key = m.headers.get("idempotency-key", "")
        bed.write("node got", f"{method} {target} {key} id={m.headers['req-id']}")
        await asyncio.sleep(0.14)
        if key not in ran:
            ran[key] = asyncio.get_running_loop().time()
            bed.write("ran", key)
        # In pieces, with chunks: a first half, a pause of 0.1 s, and the rest.
        body = answer_for(key)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
        half = ANSWER_BYTES // 2
        writer.write(head + b"%x\r\n%b\r\n" % (half, body[:half]))
        await writer.drain()
        await asyncio.sleep(0.1)
        if not TROUBLE:
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body) - half, body[half:]))
            return
        bed.write("node", f"resets the connection within the answer to {key}")
        writer.transport.abort()
        raise OSError("reset")

    ports = [await bed.serve(node) for _ in range(6)]
    await bed.start_discovery([
        {"instanceId": f"box-{n}", "hostPort": f"127.0.0.1:{port}", "zone": "baganuur",
         "machineType": "box-4core", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
        for n, port in enumerate(ports)
    ])  # fmt: skip
    proxy = Process(bed, "n1", bed.config("n1"), OPERATOR)
    await proxy.start()

    async def client(n: int) -> None:
        key = f"report-{n}"
        for tag in ("", "again"):
            answer = await bed.request(
                proxy.port, "PUT", f"w-gauge-{n}", "field-report", 3.0, key, b"level=3.2", tag=tag
            )
            if answer.status == 200 and answer.body != answer_for(key):
                bed.violation(
                    f"report {key}: served with a whole answer of {len(answer.body)} bytes, but the cache "
                    f"node's answer has {ANSWER_BYTES} and was never whole"
                )
                return
            if answer.why == "silence":
                bed.violation(f"report {key}: no answer")
                return
            if answer.status == 200:
                return

    await asyncio.gather(*(client(n) for n in range(REPORTS)))


run_case(str(Path(__file__).parent), case)
