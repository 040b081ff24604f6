"""New settings while the proxy runs: rejected as a whole, or applied to later requests."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest

from magpiefront.interface import AttemptEnded, Outcome
from magpiefront.net import config
from magpiefront.net.config import BadConfig
from tests.helpers import CLASSES, SETTINGS, RouterDriver, sends
from tests.sockets import PROXY_SETTINGS, ReceivedRequest, gated, ok, request, run, running_proxy, until

GIVEN: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:9", "seed": "1f",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": PROXY_SETTINGS,
}  # fmt: skip
GRADE, ATTEMPTS = ("settings", "grades", 0), ("settings", "permissions", "maxAttempts")


def changed(path: tuple[Any, ...], *value: Any) -> str:
    """Returns the file with another value at the path, or without the key if there is no value."""
    given = copy.deepcopy(GIVEN)
    fields: Any = given
    for name in path[:-1]:
        fields = fields[name]
    if value:
        fields[path[-1]] = value[0]
    else:
        del fields[path[-1]]
    return json.dumps(given)


INVALID_NUMBERS = ["5", True, None, float("nan"), float("inf"), float("-inf"), 0, -5, [], {}]
INVALID_FILES = [
    ("", "Expecting value"), ("null", "not an object"), ("[1]", "not an object"),
    *((changed((*GRADE, "giveUpUs"), v), "grades[0].giveUpUs") for v in INVALID_NUMBERS),
    *((changed((*GRADE, "sloUs"), v), "grades[0].sloUs") for v in INVALID_NUMBERS),
    *((changed(ATTEMPTS, v), "permissions.maxAttempts") for v in INVALID_NUMBERS),
    *((changed((*GRADE, name)), f"grades[0].{name}") for name in ("name", "sloUs", "giveUpUs")),
    (changed((*GRADE, "name"), 5), "grades[0].name"), (changed((*GRADE, "name"), ""), "grades[0].name"),
    *((changed((name,)), name) for name in ("discovery", "limits", "seed", "settings")),
    *((changed(("settings", name)), name) for name in ("grades", "permissions", "rules", "balancers")),
    *((changed(("settings", "permissions", name)), name) for name in PROXY_SETTINGS["permissions"]),
    *((changed(("settings", "rules", name)), name) for name in PROXY_SETTINGS["rules"]),
    (changed(("settings", "grades"), []), "classes"), (changed(("settings", "grades"), {}), "classes"),
    (changed(("settings", "grades"), [5]), "settings"), (changed(("discovery",), "here"), "LB_DISCOVERY"),
]  # fmt: skip


def test_an_invalid_file_is_rejected_with_one_line_that_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    environ = {"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.1:7070", "LB_DISCOVERY": "127.0.0.1:9"}
    path.write_text(json.dumps({**GIVEN, "known": None, "admin": "127.0.0.1:7071"}))
    before = config.load(environ)
    path.write_text(json.dumps(GIVEN))  # `known` and `admin` may be absent after a reload
    config.reload(environ, before)
    for text, message in INVALID_FILES:
        path.write_text(text)
        with pytest.raises(BadConfig) as raised:
            config.reload(environ, before)
        assert message in str(raised.value) and "\n" not in str(raised.value), (text, str(raised.value))
    whole = json.dumps(GIVEN)
    for end in range(len(whole)):
        path.write_text(whole[:end])
        with pytest.raises(BadConfig):
            config.reload(environ, before)
    path.write_text(changed(ATTEMPTS, 2.5))
    assert config.reload(environ, before).settings.max_attempts == 2
    path.write_text(changed(ATTEMPTS, 0.5))
    assert config.reload(environ, before).settings.max_attempts == 1


def test_requests_in_flight_keep_their_class_and_their_number_of_attempts() -> None:
    """Fifty requests of a class are in flight when it is removed; some are at their second attempt when new
    requests are limited to one."""
    driver = RouterDriver(SETTINGS)
    for i in range(50):
        driver.arrive(f"w{i}", "write", key=i)
    for i in range(10):
        driver.end(f"w{i}", Outcome.ERROR)
    retried = [f"w{i}" for i in range(10) if len(driver.sent[f"w{i}"]) == 2]
    assert retried
    others = [c for c in CLASSES if c.name != "write"]
    driver.router.configure(
        type(SETTINGS)(classes=tuple(others), proxies=2, max_attempts=1, cold_us=10_000_000)
    )
    for name in retried:
        driver.end(name, Outcome.CONNECT_FAILED)
    assert any(len(driver.sent[name]) == 3 for name in retried)  # by the settings at its arrival
    for i in range(10, 50):
        driver.end(f"w{i}", Outcome.OK)
    driver.arrive("after", "read", key=3)
    assert not sends(driver.end("after", Outcome.CONNECT_FAILED))  # one attempt for later requests
    driver.arrive("unknown", "write", key=4)
    assert not sends(driver.end("unknown", Outcome.ERROR))  # its class was removed: a retry may not be safe


def test_a_stricter_class_applies_to_requests_read_after_the_change() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        attempts = [0]

        async def fails(
            seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:  # fmt: skip
            await gate.wait()
            attempts[0] += 1
            error = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
            writer.write(error if attempts[0] in (1, 3) else ok())

        async with running_proxy(fails, fails) as w:
            w.proxy.router.retry_budget = 10
            before = await w.client()
            before.send(request(path="/api/a"))
            before.send(request(path="/api/b"))  # read before the change and handled after it
            await until(lambda: len(w.seen()) == 1)
            grades = [{**g, "repeat": "non_idempotent"} if g["name"] == "read" else g
                      for g in PROXY_SETTINGS["grades"]]  # fmt: skip
            settings = {**PROXY_SETTINGS, "grades": grades}
            given = {**GIVEN, "discovery": f"127.0.0.1:{w.lists.port}", "settings": settings}
            w.proxy.configure(config.read(given, {}))
            gate.set()
            assert (await before.answer()).status == 200  # retried, as its class allowed when it was read
            assert (await before.answer()).status == 200
            attempts[0] = 0
            after = await w.client()
            after.send(request(path="/api/a"))
            assert (await after.answer()).status == 502  # one attempt only
            counts = w.proxy.metrics.by_class[b"read"]
            assert (counts.received, counts.ok, counts.errors, counts.active) == (3, 2, 1, 0)
            ended = [e.outcome for e in w.events if isinstance(e, AttemptEnded)]
            assert ended.count(Outcome.ERROR) == 3

    run(main())


def test_a_removed_class_keeps_its_counters() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with running_proxy(gated(gate)) as w:
            client = await w.client()
            client.send(request(kind="keyed", method="PUT", body=b"1"))
            await until(lambda: w.seen())
            settings = {**PROXY_SETTINGS, "grades": PROXY_SETTINGS["grades"][:1]}
            given = {**GIVEN, "discovery": f"127.0.0.1:{w.lists.port}", "settings": settings}
            w.proxy.configure(config.read(given, {}))
            assert "svc_active 1\n" in w.proxy.metrics.text(1, 0)
            gate.set()
            assert (await client.answer()).status == 200
            assert 'svc_ok{kind="keyed"} 1\n' in w.proxy.metrics.text(1, 0)
            assert (await w.ask(kind="keyed", method="PUT", body=b"1")).status == 400

    run(main())
