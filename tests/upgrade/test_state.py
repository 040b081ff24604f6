"""The state that is handed over in an upgrade is sent in parts, each of which blocks the old process only
briefly."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magpiefront.net.admin_commands import AdminCommands
from magpiefront.upgrade import channel as wire
from magpiefront.upgrade import state
from magpiefront.upgrade.handover import VERSION
from magpiefront.upgrade.json_chunks import ITEMS_PER_CHUNK, json_chunks
from magpiefront.upgrade.old_process import HandoverServer
from tests.sockets import run, running_proxy, until

NODES = 3_200

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=2), inner, max_size=4),
)


@given(values, st.integers(1, 5))
def test_joined_chunks_are_the_json_text_of_the_value(value: Any, max_items: int) -> None:
    assert json.loads("".join(json_chunks(value, max_items))) == value


def test_no_chunk_exceeds_its_limit_of_items() -> None:
    for value in (list(range(NODES)), {str(n): n for n in range(NODES)}):
        assert max(chunk.count(",") for chunk in json_chunks(value)) <= ITEMS_PER_CHUNK


def entry(number: int) -> dict[str, Any]:
    """A node's entry in discovery's format."""
    address = f"127.0.0.1:{20_000 + number}"
    return {"instanceId": f"s-{number}", "hostPort": address, "lifecycle": "Ready"}


async def received(channel: Any) -> dict[str, Any]:
    data = await asyncio.get_running_loop().sock_recv(channel, wire.MAX_MESSAGE_BYTES)
    return cast(dict[str, Any], json.loads(data))


@pytest.mark.parametrize("ban", [False, True])
def test_the_state_of_a_large_fleet_is_sent_over_many_turns_of_the_loop(tmp_path: Path, ban: bool) -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            entries = [entry(n) for n in range(NODES)]
            w.discovery.listing.apply({"generation": 7, "reset": True, "instances": entries})
            await until(lambda: not w.discovery.listing.pending)
            commands = AdminCommands(w.proxy, w.front)
            server = HandoverServer(w.proxy, w.front, w.discovery, commands, tmp_path / "s")
            server.listen()
            new = wire.connect(tmp_path / "s", 5)
            assert new is not None
            new.setblocking(False)
            wire.send(new, {"t": "hello", "version": VERSION})
            assert (await received(new))["t"] == "offer"
            wire.send(new, {"t": "take"})
            turns, parts = 0, list[str]()
            await until(lambda: server.sending_state)
            if ban:
                commands.on_override("s-1", True)
            while server.sending_state:
                turns += 1
                await asyncio.sleep(0)
            while (message := await received(new))["t"] != "go":
                if message["t"] == "part":
                    parts.append(message["text"])
                else:
                    assert ban and message == {"t": "ban", "id": "s-1", "out": True}
                    ban_came = True
            assert not ban or ban_came
            text = "".join(parts)
            state = json.loads(text)
            assert len(state["list"]["instances"]) == NODES and state["list"]["generation"] == 7
            assert len(state["view"]["servers"]) == NODES
            assert turns >= len(text) / (2 * wire.MAX_MESSAGE_BYTES)
            server.close()
            new.close()

    run(main())


def test_a_list_that_is_not_yet_fully_applied_is_handed_over_without_its_generation() -> None:
    async def main() -> None:
        async with running_proxy(None) as w:
            entries = [entry(n) for n in range(999)]
            w.discovery.listing.apply({"generation": 7, "reset": True, "instances": entries})
            assert w.discovery.listing.pending
            assert w.discovery.listing.snapshot()["generation"] == -1

    run(main())


@pytest.mark.parametrize("is_older", [False, True])
def test_a_node_that_an_operator_has_excluded_stays_known_as_such_after_an_upgrade(is_older: bool) -> None:
    """An older process does not tell which of the excluded nodes are an operator's."""

    async def main() -> None:
        async with running_proxy(None, None) as old, running_proxy(None, None) as new:
            assert old.proxy.override("s-0", True)
            assert old.proxy.set_excluded("s-1", True)  # for maintenance
            fields = json.loads("".join(state.encode(old.proxy, old.discovery)))
            if is_older:
                del fields["overrides"]
            state.restore(state.decode(json.dumps(fields)), new.proxy)
            assert new.proxy.router.excluded == {"s-0", "s-1"}
            assert new.proxy.excluded_by_operator == ({"s-0", "s-1"} if is_older else {"s-0"})
            # A command that the other process passes on.
            AdminCommands(new.proxy, new.front).repeat_override("s-0", False)
            assert "s-0" not in new.proxy.excluded_by_operator | new.proxy.router.excluded

    run(main())
