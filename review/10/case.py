"""A store of record holds a report with the answer 201 of a server that speaks plain HTTP. After a planned
restart with an operator's file that has no cache any more, a repeat under its key is owed that answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import rig as r

WITHOUT_CACHE = """
[site]
name = "west"
[record]
[record.sqlite]
path = "record.sqlite"
"""
WITH_CACHE = (
    WITHOUT_CACHE
    + """
[caching]
classes = ["level-read"]
plain_servers = true
"""
)


async def run(rig: r.Rig) -> None:
    async def reply(node: r.Node, message: r.Message) -> bytes | None:
        rig.note(f"{node.name} has {message.start} key={message.fields.get('idempotency-key')}")
        if message.start.startswith("PUT"):
            return r.answer(201, b"report 7 is held", "Content-Type: text/plain\r\n")
        return r.answer(200, b"level 3")

    nodes = [r.Node(f"box-{n}", reply) for n in range(3)]
    agent = r.Agent(nodes)
    await rig.add(*nodes, agent)
    west = r.Proxy(rig, "west", agent, WITH_CACHE)
    await west.start()

    async def report(name: str) -> r.Got:
        fields = r.report_fields(name.replace(" ", "-"), "k1")
        got = await r.request(west.port, "PUT", "/api/station-1", fields, b"level 3", wait_s=6.0)
        rig.note(f"client, {name}: {got} after {got.at - got.sent_at:.3f} s, Req-Deadline 3")
        return got

    first = await report("first try")
    repeat = await report("repeat before the restart")
    if first.status != 201 or (repeat.status, repeat.body) != (first.status, first.body):
        raise r.CannotRun("the report was not held, or its repeat not answered, before the restart")
    west.send(signal.SIGTERM)
    assert west.process is not None
    await asyncio.wait_for(west.process.wait(), 5.0)
    if r.TROUBLE:
        west.operator = WITHOUT_CACHE
        rig.note("the operator's file has no [caching] any more")
    await west.start()
    got = await report("repeat after the restart")
    if not got.status:
        rig.breaks(f"a repeat of a report that is held was taken, and never answered: {got.why}")
    elif got.status != 201 or got.body != first.body:
        rig.breaks(f"a repeat got another answer than the one that is held: {got}")


r.main(__file__, run)
