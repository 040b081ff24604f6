"""The settings object, as the simulator's first message and a proxy's configuration hold it, to Settings."""

from __future__ import annotations

from typing import Any

from magpiefront.interface import Group, Repeat, RequestClass, Settings, Tenant, WeightSource

REPEATS = {"read_like": Repeat.SAFE, "idempotency_key": Repeat.KEYED}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
WEIGHTS = {"nominal": WeightSource.NOMINAL, "rough": WeightSource.ROUGH, "live": WeightSource.LIVE}

Fields = dict[str, Any]


class MissingField(Exception):
    """Settings lack what decisions need."""


class BadField(ValueError):
    """A setting that says what it can't mean."""


def positive(fields: Fields, name: str, where: str) -> float:
    """A finite number above 0: text, true, NaN or infinity would surface only where it is used."""
    value = need(fields, name, where)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e18:
        raise BadField(f"{where}{name} must be a number above 0, not {str(value)[:40]}")
    return float(value)


def need(fields: Fields, name: str, where: str) -> Any:
    value = fields.get(name)
    if value is None:
        raise MissingField(f"settings: {where}{name} is missing")
    return value


def read_class(g: Fields, at: int) -> RequestClass:
    where = f"grades[{at}]."
    name = need(g, "name", where)
    if not isinstance(name, str) or not name:
        raise BadField(f"{where}name must be a text")
    return RequestClass(
        name=name,
        repeat=REPEATS.get(g.get("repeat", ""), Repeat.UNSAFE),
        aim_us=max(1, int(positive(g, "sloUs", where))),
        deadline_us=max(1, int(positive(g, "giveUpUs", where))),
        worth=g.get("worth", 1.0),
        late_worth=g.get("lateValue", 0.0),
        group=GROUPS.get(g.get("group", "all"), Group.CELL),
        window_us=int(g.get("keyTtlUs", 0)),
        stream=bool(g.get("stream", False)),
    )


def read_settings(info: Fields) -> Settings:
    allow = need(info, "permissions", "")
    rules = need(info, "rules", "")
    extra = info.get("extra") or {}
    kinds = info.get("models") or []
    origin = extra.get("originKind", -1) if extra.get("mode") == "aside" else -1
    return Settings(
        classes=tuple(read_class(g, i) for i, g in enumerate(need(info, "grades", ""))),
        proxies=info.get("balancers", 1),
        zone=info.get("myZone", ""),
        tenants=tuple(
            Tenant(t["name"], t.get("share", 0.0), t.get("quotaPerS", 0.0)) for t in info.get("tenants") or []
        ),
        over_share_worth=info.get("overShareWorth", 1.0),
        max_attempts=max(1, int(positive(allow, "maxAttempts", "permissions."))),
        second_copies=allow.get("secondCopies", False),
        may_cancel=allow.get("mayCancel", False),
        may_probe=allow.get("probes", False),
        retry_after=allow.get("retryAfter", False),
        max_retry_after_us=allow.get("maxRetryAfterUs", 0),
        marks_retry=(info.get("callers") or {}).get("marksRetry", False),
        subscribe=info.get("discovery") == "subscribe",
        ask_every_us=rules.get("askEveryUs", 10_000_000),
        cold_from=need(rules, "coldFrom", "rules."),
        cold_us=need(rules, "coldUs", "rules."),
        fall_multiple=rules.get("fallMultiple", 2.0),
        fall_us=rules.get("fallUs", 1_000_000),
        drain_grace_us=int(rules.get("stopSendingWithinUs", 500_000)),
        answer_slack_us=rules.get("answerSlackUs", 0),
        round_us=info.get("roundUs", 1_000),
        weight_source=WEIGHTS.get(info.get("weightSource", ""), WeightSource.NONE),
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
    )
