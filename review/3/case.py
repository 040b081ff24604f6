"""Reports whose clients come again while the store marks them as unknown are never answered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.bed import TROUBLE, Answer, Bed, Message, Process, response, run_case
from standins.pgserver import PgServer

CLIENTS = 30
WORK_S = 0.5  # of a report at a cache node, most of it at the archive
SLOWDOWN = 7.6  # of the archive, from the site's "Troubles so far"
COMMIT_S = 0.4  # until the store's reply to COMMIT, while the store is slow
DEADLINE_S = 3.0  # giveUpUs of the class
LOST_AFTER_S = 0.55  # after a request's time, an answer that has not come is lost


async def case(bed: Bed) -> None:
    random = Random(1)
    ran: dict[str, float] = {}  # when a report last had its effect, by Idempotency-Key
    slow = TROUBLE

    async def node(m: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, target, _ = m.start.split(" ")
        if target.startswith("/health"):
            writer.write(response(200))
            return
        if "req-id" not in m.headers:
            writer.write(response(404))
            return
        key, loop = m.headers.get("idempotency-key", ""), asyncio.get_running_loop()
        bed.write("node got", f"{method} {target} {key} id={m.headers['req-id']}")
        if method == "PUT" and loop.time() - ran.get(key, -60.0) >= 5.0:
            # Work stops when its request is cancelled: the other side closes, and nothing has had an effect.
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=WORK_S * (SLOWDOWN if slow else 1.0))
            closed.cancel()
            if done:
                raise OSError("given up")
            await asyncio.gather(closed, return_exceptions=True)
            ran[key] = loop.time()
            bed.write("ran", key)
        writer.write(response(200, b"held"))

    ports = [await bed.serve(node) for _ in range(6)]
    await bed.start_discovery([
        {"instanceId": f"box-{n}", "hostPort": f"127.0.0.1:{port}", "zone": "baganuur",
         "machineType": "box-4core", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
        for n, port in enumerate(ports)
    ])  # fmt: skip
    pg = PgServer()
    await pg.start()

    async def after_statement(text: str) -> None:
        if slow and text == "COMMIT":
            await asyncio.sleep(COMMIT_S)

    pg.faults.after_statement = after_statement
    operator = f'[site]\nname = "west"\n[record]\n[record.postgres]\ndsn = "{pg.dsn}"\n'
    proxy = Process(bed, "n1", bed.config("n1"), operator)
    await proxy.start()

    async def client(n: int) -> None:
        """Sends a report, and comes again under the same key as long as the answer asks for that."""
        key = f"report-{n}"
        for _ in range(3):
            answer: Answer = await bed.request(
                proxy.port, "PUT", f"w-gauge-{n}", "field-report", DEADLINE_S, key, b"level=3.2"
            )
            if not answer.status or answer.after_s > DEADLINE_S + LOST_AFTER_S:
                bed.violation(
                    f"report {key}: no answer within its {DEADLINE_S} s: {answer.status or answer.why} "
                    f"after {answer.after_s:.2f} s"
                )
                return
            may_come_again = answer.status in (502, 503, 504) or (answer.status == 409 and answer.retry_after)
            if not may_come_again and b"under way" not in answer.body and b"ask again" not in answer.body:
                return
            await asyncio.sleep(random.uniform(0.3, 1.9))

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    pg.kill()


run_case(str(Path(__file__).parent), case)
