"""The cache nodes of each zone drop repeats for their zone only. A zone is lost right after one of its nodes
has let a stored report have its effect. The report may be sent again to that zone, and to no other."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import rig as r

ZONES = ("ulaanbaatar", "zuunmod")
WINDOW_S = 5.0
LOST_S = 4.5  # from the loss of the zone to the end of the run
OPERATOR = """
[site]
name = "west"
[record]
[record.sqlite]
path = "record.sqlite"
"""


class ZonedNode(r.Node):
    """A cache node of a zone."""

    def __init__(self, name: str, zone: str, reply: r.Reply) -> None:
        super().__init__(name, reply)
        self.zone = zone

    def entry(self) -> dict[str, object]:
        return {**super().entry(), "zone": self.zone}


async def run(rig: r.Rig) -> None:
    # When each zone has begun each key last, and every effect of each key: its time and node.
    begun: dict[tuple[str, str], float] = {}
    effects: dict[str, list[tuple[float, str]]] = {}
    lost: list[str] = []

    async def reply(node: r.Node, message: r.Message) -> bytes | None:
        assert isinstance(node, ZonedNode)
        key, now = message.fields.get("idempotency-key", ""), message.at
        place = f"{node.name} in {node.zone}"
        last = begun.get((node.zone, key))
        if last is not None and now < last + WINDOW_S:
            rig.note(f"{place} has a repeat of {key}, dropped")
        else:
            begun[node.zone, key] = now
            effects.setdefault(key, []).append((now, place))
            rig.note(f"{place} has {message.start} of {key}: it has its effect")
        if r.TROUBLE and key == "k1" and not lost:
            lost.append(node.zone)
            for other in nodes:
                if other.zone == node.zone:
                    other.close()
            rig.note(f"the zone {node.zone} is lost: its connections are reset, new ones are refused")
            return None
        await asyncio.sleep(0.03)
        return r.answer(200, b"noted")

    nodes = [ZonedNode(f"box-{n}", ZONES[n % 2], reply) for n in range(4)]
    agent = r.Agent(nodes)  # type: ignore[arg-type]
    await rig.add(*nodes, agent)
    grades = r.settings()["grades"]
    grades[1]["group"] = "zone"
    proxy = r.Proxy(rig, "west", agent, OPERATOR, grades=grades, zones=list(ZONES))
    await proxy.start()
    got = await r.request(proxy.port, "PUT", "/api/station-1", r.report_fields("c0", "k0"), b"level 3")
    if got.status != 200:
        raise r.CannotRun(f"a report before the disruption was not served: {got}")
    got = await r.request(proxy.port, "PUT", "/api/station-2", r.report_fields("c1", "k1"), b"level 3")
    rig.note(f"client: {got} after {got.at - got.sent_at:.3f} s; it does not ask again")
    await asyncio.sleep(LOST_S)
    found = effects.get("k1", [])
    if not found:
        raise r.CannotRun("the report never reached a node")
    if len(found) > 1:
        (first_at, first), *_, (last_at, last) = found
        rig.breaks(
            f"k1 had its effect {len(found)} times: at {first} and, {last_at - first_at:.3f} s later, "
            f"at {last}"
        )


r.main(__file__, run)
