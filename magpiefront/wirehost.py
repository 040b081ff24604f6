"""Adapter to the simulator: `python -m magpiefront.wirehost` runs proxies over standard input and output.

It hosts one Router for each instance and translates between the simulator's messages and the Router's events
and actions; it decides nothing. Each line of input is a batch of events: a JSON object with the time in
microseconds (`clockUs`) and the events (`inbox`). The answer to each line is a JSON object with the actions
(`do`).
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable

from magpiefront.router import Router
from magpiefront.interface import (
    Abandon, Action, Arrived, AttemptEnded, Cancel, ClientLeft, Event, Fail, ListKind, LogMessage,
    OperatorResult, Outcome, Probe, ProbeEnded, Refuse, Send, ServerEntry, ServerList, SetTimer, Status,
    StreamBegan, TimerFired, Watch,
)  # fmt: skip
from magpiefront.settings import Fields, MissingField, read_settings, require_field

OUTCOMES = {
    "GOOD": Outcome.OK, "BAD": Outcome.ERROR, "FULL": Outcome.FULL, "LATE": Outcome.TIMEOUT,
    "NOCONN": Outcome.CONNECT_FAILED, "RST": Outcome.RESET, "CXL": Outcome.CANCELLED, "NOP": Outcome.MOOT,
    "MISS": Outcome.MISS,
}  # fmt: skip
STATUSES = {"live": Status.READY, "quiescing": Status.DRAINING, "dead": Status.GONE}
LIST_KINDS = {"patch": ListKind.PATCH, "whole": ListKind.WHOLE, "stale_copy": ListKind.STALE,
              "broken": ListKind.BROKEN}  # fmt: skip


class BadLine(Exception):
    """A line of input is not a valid batch. The message is one line."""


def read_report(fields: Fields) -> dict[str, float] | None:
    """Returns the numbers in a server's load report, by name; None if there is no report."""
    stats = fields.get("serverStats")
    if not isinstance(stats, dict):
        return None
    return {k: v for k, v in stats.items() if isinstance(v, int | float)}


def read_entry(record: Fields) -> ServerEntry:
    """Reads one record of a server list."""
    return ServerEntry(
        record["node"], STATUSES.get(record.get("status", ""), Status.UNKNOWN),
        record.get("weight", 1.0) or 0.0, record.get("failureDomain", ""), record.get("model", ""),
        record.get("cell", -1), record.get("startedAtUs", 0),
    )  # fmt: skip


def read_arrived(fields: Fields) -> Event:
    """Reads `INBOUND`: a request has arrived."""
    return Arrived(
        fields["req"], fields.get("qos", ""), fields["timeLeftUs"], fields.get("object"),
        fields.get("clientGroup") or None, fields.get("effortUs", 0), fields.get("write", False),
        fields.get("retry", False),
    )  # fmt: skip


def read_ended(fields: Fields) -> Event:
    """Reads `RETURNED`: an attempt has ended."""
    return AttemptEnded(
        fields["req"], fields.get("go", 0), fields["node"], OUTCOMES.get(fields["verdict"], Outcome.ERROR),
        fields.get("costTimeUs", 0), fields.get("noMore", False), fields.get("info", 0), read_report(fields),
    )  # fmt: skip


def read_list(fields: Fields) -> Event | None:
    """Reads `UPDATE`: a server list or a change to one; None if its scope is unknown."""
    kind = LIST_KINDS.get(fields.get("scope", ""))
    return ServerList(kind, [read_entry(record) for record in fields.get("records") or []]) if kind else None


READERS: dict[str, Callable[[Fields], Event | None]] = {
    "INBOUND": read_arrived,
    "RETURNED": read_ended,
    "ALARM": lambda fields: TimerFired(fields["token"]),
    "UPDATE": read_list,
    "VANISHED": lambda fields: ClientLeft(fields["req"]),
    "PROBE_RESULT": lambda fields: ProbeEnded(
        fields["node"],
        OUTCOMES.get(fields["verdict"], Outcome.ERROR),
        fields.get("costTimeUs", 0),
        read_report(fields),
    ),
    "FIRST_BYTE": lambda fields: StreamBegan(fields["req"], fields.get("go", 0)),
}


def encode_action(instance: str, action: Action) -> Fields:
    """Returns the simulator's message for an action of one instance. Raises ValueError for an OperatorResult
    and for Abandon, which only events cause that the simulator does not have."""
    match action:
        case Send():
            return {"TRANSMIT": {"i": instance, "req": action.request, "node": action.server,
                                 "expireAtUs": action.expire_at_us}}  # fmt: skip
        case SetTimer():
            return {"ARM": {"i": instance, "waitUs": action.delay_us, "token": action.token}}
        case Cancel():
            return {"CALL_OFF": {"i": instance, "req": action.request, "go": action.attempt}}
        case Refuse():
            return {"SHED": {"i": instance, "req": action.request, "coolDownUs": action.retry_after_us}}
        case Fail():
            return {"END_FAILED": {"i": instance, "req": action.request}}
        case Probe():
            return {"POLL": {"i": instance, "node": action.server}}
        case Watch():
            return {"STREAM_CHANGES": {"i": instance, "active": True}}
        case OperatorResult() | Abandon():
            raise ValueError("the simulator has no operator calls, and its answers do not pause")
        case LogMessage():
            return {"REMARK": {"i": instance, "msg": action.text}}


class Host:
    """Hosts one Router for each instance that has started and not yet ended."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}

    def batch(self, line: str) -> str:
        """Handles one line of input. Returns the line of output without its newline. Raises BadLine."""
        try:
            message = json.loads(line)
        except ValueError as e:
            raise BadLine(f"a line is not JSON: {e}") from None
        if not isinstance(message, dict):
            raise BadLine("a line is not a JSON object")
        now_us, inbox = message.get("clockUs"), message.get("inbox")
        if not isinstance(now_us, int) or isinstance(now_us, bool):
            raise BadLine("clockUs is not an integer")
        if not isinstance(inbox, list):
            raise BadLine("inbox is not an array")
        actions: list[Fields] = []
        for event in inbox:
            if not isinstance(event, dict):
                raise BadLine("an event in inbox is not an object")
            for name, fields in event.items():
                if not isinstance(fields, dict) or not isinstance(fields.get("i"), str):
                    raise BadLine(f"{name} has no instance id (i)")
                self.event(now_us, name, fields, actions)
        return json.dumps({"do": actions}, separators=(",", ":"))

    def event(self, now_us: int, name: str, fields: Fields, actions: list[Fields]) -> None:
        """Handles one event and appends the resulting messages to `actions`. Unknown events and events of
        unknown instances are ignored. An exception is reported as an INTERNAL_ERROR of that instance."""
        instance = fields["i"]
        try:
            if name == "UP":
                self.routers[instance] = Router(
                    read_settings(require_field(fields, "info", "")), fields.get("initSeed", 0)
                )
                return
            if name == "EXIT":
                self.routers.pop(instance, None)
                return
            router, reader = self.routers.get(instance), READERS.get(name)
            if router is None or reader is None:
                return
            event = reader(fields)
            if event is not None:
                actions += [encode_action(instance, action) for action in router.handle(now_us, event)]
        except (MissingField, ValueError) as e:
            actions.append({"INTERNAL_ERROR": {"i": instance, "msg": str(e)}})
        except Exception as e:
            traceback.print_exc()
            actions.append({"INTERNAL_ERROR": {"i": instance, "msg": f"{type(e).__name__}: {e}"}})


def main() -> int:
    """Answers each line of standard input, up to its end or the first invalid line. Returns the exit status:
    2 after an invalid line."""
    host = Host()
    for line in sys.stdin:
        try:
            reply = host.batch(line)
        except BadLine as e:
            print(f"magpiefront.wirehost: {e}", file=sys.stderr)
            return 2
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
