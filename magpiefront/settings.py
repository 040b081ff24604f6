"""Reads `Settings` from the JSON object in the simulator's first message or in a proxy's configuration."""

from __future__ import annotations

from typing import Any

from magpiefront.interface import DedupScope, Repeat, RequestClass, Settings, Tenant, WeightSource

REPEATS = {"read_like": Repeat.SAFE, "idempotency_key": Repeat.KEYED}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
WEIGHT_SOURCES = {"nominal": WeightSource.NOMINAL, "rough": WeightSource.ROUGH, "live": WeightSource.LIVE}

Fields = dict[str, Any]


class MissingField(Exception):
    """A required setting is missing."""


class BadField(ValueError):
    """A setting has an invalid value."""


def positive_number(fields: Fields, name: str, where: str) -> float:
    """Returns a field's value, a number above 0 and below 1e18. Without this check text, true, NaN or
    infinity would fail only when the number is used. `where` is the path of the object, for messages. Raises
    MissingField or BadField."""
    value = require_field(fields, name, where)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e18:
        raise BadField(f"{where}{name} must be a number above 0, not {str(value)[:40]}")
    return float(value)


def require_field(fields: Fields, name: str, where: str) -> Any:
    """Returns a field's value. `where` is the path of the object, for the message. Raises MissingField."""
    value = fields.get(name)
    if value is None:
        raise MissingField(f"settings: {where}{name} is missing")
    return value


def read_class(grade: Fields, index: int) -> RequestClass:
    """Reads one entry of `grades`: the settings of a request class. Raises MissingField or BadField."""
    where = f"grades[{index}]."
    name = require_field(grade, "name", where)
    if not isinstance(name, str) or not name:
        raise BadField(f"{where}name must be a non-empty string")
    return RequestClass(
        name=name,
        repeat=REPEATS.get(grade.get("repeat", ""), Repeat.UNSAFE),
        aim_us=max(1, int(positive_number(grade, "sloUs", where))),
        deadline_us=max(1, int(positive_number(grade, "giveUpUs", where))),
        worth=grade.get("worth", 1.0),
        late_worth=grade.get("lateValue", 0.0),
        group=DEDUP_SCOPES.get(grade.get("group", "all"), DedupScope.CELL),
        window_us=int(grade.get("keyTtlUs", 0)),
        stream=bool(grade.get("stream", False)),
    )


def read_settings(info: Fields) -> Settings:
    """Reads the settings object; unknown fields are ignored. Raises MissingField or ValueError."""
    permissions = require_field(info, "permissions", "")
    rules = require_field(info, "rules", "")
    extra = info.get("extra") or {}
    models = info.get("models") or []
    origin_index = extra.get("originKind", -1) if extra.get("mode") == "aside" else -1
    return Settings(
        classes=tuple(read_class(grade, i) for i, grade in enumerate(require_field(info, "grades", ""))),
        proxies=info.get("balancers", 1),
        zone=info.get("myZone", ""),
        tenants=tuple(
            Tenant(t["name"], t.get("share", 0.0), t.get("quotaPerS", 0.0)) for t in info.get("tenants") or []
        ),
        over_share_worth=info.get("overShareWorth", 1.0),
        max_attempts=max(1, int(positive_number(permissions, "maxAttempts", "permissions."))),
        hedging=permissions.get("secondCopies", False),
        may_cancel=permissions.get("mayCancel", False),
        may_probe=permissions.get("probes", False),
        retry_after=permissions.get("retryAfter", False),
        max_retry_after_us=permissions.get("maxRetryAfterUs", 0),
        marks_retry=(info.get("callers") or {}).get("marksRetry", False),
        subscribe=info.get("discovery") == "subscribe",
        ask_every_us=rules.get("askEveryUs", 10_000_000),
        cold_from=require_field(rules, "coldFrom", "rules."),
        cold_us=require_field(rules, "coldUs", "rules."),
        fall_multiple=rules.get("fallMultiple", 2.0),
        fall_us=rules.get("fallUs", 1_000_000),
        drain_grace_us=int(rules.get("stopSendingWithinUs", 500_000)),
        answer_slack_us=rules.get("answerSlackUs", 0),
        round_us=info.get("roundUs", 1_000),
        weight_source=WEIGHT_SOURCES.get(info.get("weightSource", ""), WeightSource.NONE),
        origin_kind=models[origin_index] if 0 <= origin_index < len(models) else None,
    )
