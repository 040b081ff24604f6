"""Tests of the adapter to the simulator, as a subprocess and through its Host."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from magpiefront.wirehost import Host

Event = dict[str, dict[str, Any]]

INFO: dict[str, Any] = {
    "balancers": 2,
    "grades": [
        {"name": "read", "repeat": "read_like", "sloUs": 300_000, "giveUpUs": 1_000_000, "someday": 1},
        {"name": "put", "repeat": "idempotency_key", "group": "all", "keyTtlUs": 500_000, "sloUs": 300_000,
         "giveUpUs": 1_000_000},
    ],
    "permissions": {"maxAttempts": 3, "secondCopies": True, "mayCancel": True, "probes": True},
    "rules": {"coldFrom": 0.3, "coldUs": 8_000_000},
    "discovery": "automatic",
    "no such setting": {"x": [1]},
}  # fmt: skip


def run(lines: list[str]) -> subprocess.CompletedProcess[str]:
    text = "".join(line + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "magpiefront.wirehost"], input=text, capture_output=True, text=True, timeout=60
    )


def batch(now: int, *inbox: Event) -> str:
    return json.dumps({"clockUs": now, "inbox": list(inbox)})


def up(instance: str = "proxy/0", info: dict[str, Any] | None = None) -> Event:
    return {"UP": {"i": instance, "initSeed": 5, "info": INFO if info is None else info}}


def update(instance: str = "proxy/0", scope: str = "stale_copy", n: int = 3) -> Event:
    nodes = [{"node": f"10.0.0.{k}:7000", "status": "live", "odd": 1} for k in range(n)]
    return {"UPDATE": {"i": instance, "scope": scope, "version": 1, "records": nodes}}


def inbound(req: str, instance: str = "proxy/0", **more: Any) -> Event:
    return {"INBOUND": {"i": instance, "req": req, "timeLeftUs": 900_000, "qos": "read", "object": 7, **more}}


def actions_of(line: str) -> list[dict[str, Any]]:
    actions: list[dict[str, Any]] = json.loads(line)["do"]
    return actions


def named(actions: list[dict[str, Any]], name: str) -> list[dict[str, Any]]:
    return [a[name] for a in actions if name in a]


def test_a_request_from_start_to_end() -> None:
    first = batch(1000, up(), update(), inbound("a"))
    out = run([batch(0), first])
    assert out.returncode == 0 and out.stderr == ""
    lines = out.stdout.splitlines()
    assert lines[0] == '{"do":[]}'
    send = named(actions_of(lines[1]), "TRANSMIT")[0]
    assert send["req"] == "a" and send["i"] == "proxy/0" and send["expireAtUs"] == 900_000
    host = Host()
    host.batch(first)
    good = {"i": "proxy/0", "req": "a", "go": 0, "node": send["node"], "verdict": "GOOD", "noMore": True,
            "costTimeUs": 9, "serverStats": {"busy": 0.5, "new": "x"}, "info": 1}  # fmt: skip
    assert actions_of(host.batch(batch(2000, {"RETURNED": good}, {"RETURNED": good}))) == []
    assert not host.routers["proxy/0"].pending


def test_every_verdict_is_accepted() -> None:
    for verdict in ("GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS", "SOMETHING NEW"):
        host = Host()
        out = actions_of(host.batch(batch(1000, up(), update(), inbound("a"))))
        node = named(out, "TRANSMIT")[0]["node"]
        end = {
            "i": "proxy/0",
            "req": "a",
            "go": 0,
            "node": node,
            "verdict": verdict,
            "noMore": verdict == "GOOD",
        }
        out = actions_of(host.batch(batch(2000, {"RETURNED": end})))
        assert not named(out, "INTERNAL_ERROR")
        assert (verdict == "GOOD") != bool(named(out, "TRANSMIT"))


def test_unknown_events_are_ignored_and_missing_fields_get_defaults() -> None:
    host = Host()
    unknown: list[Event] = [
        {"NEWS": {"i": "proxy/0", "x": 1}},
        {"MESSAGE": {"i": "proxy/0", "sender": 1, "payload": ""}},
        {"ALARM": {"i": "proxy/0", "token": "nobody set this"}},
        {"VANISHED": {"i": "proxy/0", "req": "never seen"}},
        {"FIRST_BYTE": {"i": "proxy/0", "req": "never seen", "go": 0}},
        {"PROBE_RESULT": {"i": "proxy/0", "node": "10.9.9.9:1", "verdict": "GOOD"}},
        {"UPDATE": {"i": "proxy/0", "scope": "news to come", "records": []}},
        {"RETURNED": {"i": "proxy/0", "req": "never seen", "go": 4, "node": "x", "verdict": "LATE"}},
        inbound("elsewhere", instance="proxy/77"),
    ]
    assert actions_of(host.batch(batch(1000, up(), update(), *unknown))) == []
    minimal = {"INBOUND": {"i": "proxy/0", "req": "b", "timeLeftUs": 900_000, "later": True}}
    sent = named(actions_of(host.batch(batch(2000, minimal))), "TRANSMIT")
    assert len(sent) == 1
    late = {"i": "proxy/0", "req": "b", "go": 0, "node": sent[0]["node"], "verdict": "LATE"}
    out = actions_of(host.batch(batch(3000, {"RETURNED": late})))  # a request without a class is unsafe
    assert named(out, "END_FAILED") and not named(out, "TRANSMIT")


@pytest.mark.parametrize(
    ("path", "field"),
    [
        (("grades",), "grades"),
        (("permissions",), "permissions"),
        (("permissions", "maxAttempts"), "permissions.maxAttempts"),
        (("rules", "coldUs"), "rules.coldUs"),
        (("grades", 0, "sloUs"), "grades[0].sloUs"),
    ],
)
def test_missing_required_settings_are_named(path: tuple[Any, ...], field: str) -> None:
    info = json.loads(json.dumps(INFO))
    parent = info
    for step in path[:-1]:
        parent = parent[step]
    del parent[path[-1]]
    errors = named(actions_of(Host().batch(batch(1, up(info=info)))), "INTERNAL_ERROR")
    assert len(errors) == 1 and field in errors[0]["msg"]


def test_settings_out_of_range_are_named() -> None:
    info = json.loads(json.dumps(INFO))
    info["rules"]["coldFrom"] = 0
    errors = named(actions_of(Host().batch(batch(1, up(info=info)))), "INTERNAL_ERROR")
    assert "cold_from" in errors[0]["msg"]


def test_an_exception_is_reported_with_its_traceback(capsys: pytest.CaptureFixture[str]) -> None:
    host = Host()
    host.batch(batch(1, up(), update()))
    host.routers["proxy/0"].placement = None  # type: ignore[assignment]
    host.routers["proxy/0"].random = None  # type: ignore[assignment]
    host.routers["proxy/0"].key_counts = None  # type: ignore[assignment]
    out = named(actions_of(host.batch(batch(2, inbound("a")))), "INTERNAL_ERROR")
    assert "NoneType" in out[0]["msg"] and "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize(
    "line",
    [
        "nonsense",
        "[]",
        "{}",
        '{"clockUs":1}',
        '{"clockUs":1,"inbox":[7]}',
        '{"clockUs":"x","inbox":[]}',
        '{"clockUs":1,"inbox":[{"UP":{}}]}',
    ],
)
def test_an_invalid_line_ends_the_process_with_a_message_of_one_line(line: str) -> None:
    out = run([line])
    assert out.returncode == 2 and out.stdout == ""
    assert len(out.stderr.splitlines()) == 1 and "Traceback" not in out.stderr


def test_instances_share_nothing_and_end_separately() -> None:
    both, one = Host(), Host()
    both.batch(batch(1, up("proxy/0"), up("proxy/1"), update("proxy/0"), update("proxy/1")))
    one.batch(batch(1, up("proxy/1"), update("proxy/1")))
    both.batch(batch(2, *(inbound(f"x{n}", object=n) for n in range(50))))
    event = inbound("a", "proxy/1")
    assert both.batch(batch(3, event)) == one.batch(batch(3, event))
    both.batch(batch(4, {"EXIT": {"i": "proxy/0"}}))
    assert list(both.routers) == ["proxy/1"]
    assert actions_of(both.batch(batch(5, inbound("late")))) == []


def test_the_server_list_is_subscribed_to() -> None:
    host = Host()
    info = {**INFO, "discovery": "subscribe", "rules": {**INFO["rules"], "askEveryUs": 4_000_000}}
    arm = named(actions_of(host.batch(batch(1, up(info=info), update()))), "ARM")[0]
    assert 0 <= arm["waitUs"] <= 400_000
    now = 1 + arm["waitUs"]
    out = actions_of(host.batch(batch(now, {"ALARM": {"i": "proxy/0", "token": arm["token"]}})))
    assert named(out, "STREAM_CHANGES") == [{"i": "proxy/0", "active": True}]
    broken: Event = {"UPDATE": {"i": "proxy/0", "scope": "broken"}}
    out = actions_of(host.batch(batch(now + 1, broken)))
    assert 0 < named(out, "ARM")[0]["waitUs"] < 4_000_000
