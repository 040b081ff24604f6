"""The state that a process hands over, as JSON text: the list of cache nodes and the Router's state."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from magpiefront import router_state
from magpiefront.net.discovery import Discovery
from magpiefront.net.proxy import Proxy
from magpiefront.upgrade.json_chunks import json_chunks

MAX_KNOWN_US = 3_600_000_000  # no id of the other process is kept longer; no class allows an hour


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state as received. Its fields are not validated here, but where they are used."""

    discovery: Any = None  # the address of the discovery that sent the list
    server_list: Any = None  # in discovery's format
    view: Any = None  # the Router's state, see `magpiefront.router_state`
    ids: Any = None  # of requests that may have run, see `known_ids`
    overrides: Any = None  # the nodes that an operator has excluded


def encode(proxy: Proxy, discovery: Discovery) -> Iterator[str]:
    """Yields the text in chunks, which show the state at the time of the first one. Halves the Router's retry
    budget: the text carries the other half."""
    yield from json_chunks({
        "discovery": list(discovery.address), "list": discovery.listing.snapshot(),
        "view": router_state.export_state(proxy.router, proxy.now_us()),
        "ids": [list(known) for known in proxy.known_ids()],
        "overrides": sorted(proxy.excluded_by_operator),
    })  # fmt: skip


def decode(text: str) -> HandoverState:
    """The state in the text; empty if the text is not a JSON object."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError):
        return HandoverState()
    if not isinstance(fields, dict):
        return HandoverState()
    return HandoverState(*(fields.get(name) for name in ("discovery", "list", "view", "ids", "overrides")))


def initial_list(state: HandoverState, discovery: tuple[str, int], configured: Any) -> Any:
    """The server list to start with: the one that was handed over, as it is newer than the configured
    one, which is used if none was. If the list came from another discovery address, its entries are kept, but
    not its generation."""
    if not isinstance(state.server_list, dict):
        return configured
    if state.discovery != list(discovery):
        return {**state.server_list, "generation": -1}
    return state.server_list


def remember_ids(proxy: Proxy, ids: Any) -> None:
    """Keeps the ids that the other process has sent: pairs of an id and the microseconds for which it is
    known to run. Skips what has another form."""
    now = proxy.now_us()
    for known in ids if isinstance(ids, list) else ():
        match known:
            case [str(name), int(known_us)]:
                proxy.ids.remember(name.encode("latin-1", "replace"), now + min(known_us, MAX_KNOWN_US))


def restore(state: HandoverState, proxy: Proxy) -> None:
    """Restores the Router's state. Call it once the list is applied, as the state is about listed servers."""
    remember_ids(proxy, state.ids)
    if state.view is None:
        return
    try:
        router_state.import_state(proxy.router, state.view, proxy.now_us())
    except router_state.InvalidState:
        proxy.log("upgrade: the state of the previous process can't be read; starting without it")
        return
    # An older process does not say which of the excluded nodes an operator has excluded: all stay out until
    # an operator includes them.
    overrides = state.overrides if isinstance(state.overrides, list) else proxy.router.excluded
    proxy.excluded_by_operator |= {name for name in overrides if name in proxy.router.excluded}
