"""`python -m magpiefront group`: what an operator asks of the group, of any member that answers."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any, TextIO

from magpiefront.gateway.members import WaySettings, ask
from magpiefront.group.messages import name_of
from magpiefront.operator.file import Operator

FINE, LOOK, CANT = 0, 1, 2
ASK_S = 3.0


class Refused(Exception):
    """What can't be done; its text is one line."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="for programs")
    parser.add_argument("--at", metavar="MEMBER", help="ask this one; else the file's own, then others")
    commands = parser.add_subparsers(dest="group_command", required=True)
    commands.add_parser("status", help="who leads, and how far this member is; 1 where nobody leads")
    commands.add_parser("members", help="all members; exit status 1 where one is not well")
    for name, text in (("add", "let a name of [group.members] in"), ("remove", "take a member out")):
        one = commands.add_parser(name, help=text)
        one.add_argument("name")
        one.add_argument("--wait", type=float, default=10.0, metavar="S", help="until it is done; default 10")
    lead = commands.add_parser("lead", help="hand the lead over")
    lead.add_argument("--to", required=True, metavar="MEMBER")
    lead.add_argument("--wait", type=float, default=5.0, metavar="S")
    commands.add_parser("work", help="what each member has in hand; exit status 1 where one does not say")
    commands.add_parser("snapshot", help="take one now, at the member that is asked")


class Caller:
    def __init__(self, operator: Operator, at: str | None) -> None:
        if operator.group is None:
            raise Refused(f"{operator.path}: [group] is missing")
        self.tables = operator.group
        self.settings = operator.group.settings
        self.way = WaySettings(operator.site, operator.group.tls)
        if at is not None and at not in self.settings.members:
            raise Refused(f"{at} is not in [group.members]")
        own = self.settings.member
        self.order = [at] if at is not None else [own, *sorted(self.settings.members.keys() - {own})]

    def ask(self, what: dict[str, Any], name: str | None = None) -> dict[str, Any]:
        """Of `name`, or of the first that answers. Raises Refused."""
        cause = ""
        for each in [name] if name is not None else self.order:
            address = self.settings.listen if each == self.settings.member else self.settings.members[each]
            try:
                told = asyncio.run(ask(address, self.way, self.settings.name, what, ASK_S))
            except (OSError, TimeoutError, ValueError) as e:
                cause = f"{each} at {address[0]}:{address[1]}: {e or 'no answer in its time'}"
                continue
            if "error" in told:
                raise Refused(f"{each}: {told['error']}")
            return told
        raise Refused(f"no member answers; the last one: {cause}")

    def leader(self) -> str:
        """Its name. Raises Refused."""
        leader = self.ask({"do": "status"}).get("leader")
        if not leader:
            raise Refused("nobody leads; `group status` of each member tells more")
        return name_of(leader)


def run(operator: Operator, args: argparse.Namespace, out: TextIO | None = None) -> int:
    """The exit status. Raises Refused."""
    caller = Caller(operator, args.at)
    return COMMANDS[args.group_command](caller, args, out or sys.stdout)


def tell(told: dict[str, Any], args: argparse.Namespace, out: TextIO, lines: list[str]) -> None:
    print(json.dumps(told) if args.json else "\n".join(lines), file=out)


def status(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    s = caller.ask({"do": "status"})
    if s["cause"]:
        tell(s, args, out, [f"{s['member']}: {s['cause']}"])
        return LOOK
    part = "votes" if s["votes"] else "observes"
    lines = [
        f"{s['id']} of {s['group']}: {s['role']}, {part}, term {s['term']}, led by {s['leader'] or 'nobody'}",
        f"applied {s['applied']}, committed {s['commit']}, in the log {s['last']}, snapshot {s['snapshot']}",
        f"may act under epoch {s['epoch']}, {s['session_ms']} ms left" if s["epoch"] else "may not act now",
    ]
    tell(s, args, out, lines)
    return FINE if s["leader"] else LOOK


def members(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    s = caller.ask({"do": "status"}, None if args.at else caller.leader())
    found = s.get("members", {})
    lines = [f"{'member':24} {'part':9} {'state':10} {'epoch':>6} {'losses':>6} {'behind':>8}"]
    for name, m in found.items():
        behind = "" if m["match"] is None else str(max(0, s["commit"] - m["match"]))
        state = "suspected" if m["suspected"] and m["state"] == "well" else m["state"]
        mark = " leads" if m["id"] == s["leader"] else ""
        lines.append(f"{name:24} {m['part']:9} {state:10} {m['epoch']:6} {m['losses']:6} {behind:>8}{mark}")
    tell(s, args, out, lines)
    return FINE if all(m["state"] == "well" for m in found.values() if m["part"] != "none") else LOOK


def change(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    takes_out = args.group_command == "remove"
    told = caller.ask({"do": "bar", "name": args.name, "out": takes_out}, caller.leader())
    if told["fate"] != "committed":
        raise Refused(f"{told['fate']}: {told['cause']}")
    end = time.monotonic() + args.wait
    while True:
        s = caller.ask({"do": "status"})
        part = s.get("members", {}).get(args.name, {}).get("part", "none")
        if (part == "none") == takes_out:
            word = "is out" if takes_out else f"is in, as {part}"
            tell({"member": args.name, "part": part}, args, out, [f"{args.name} {word}"])
            return FINE
        if time.monotonic() > end:
            line = f"committed; {args.name} has still to {'leave' if takes_out else 'ask to be taken in'}"
            tell({"member": args.name, "part": part}, args, out, [line])
            return LOOK
        time.sleep(0.1)


def lead(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    caller.ask({"do": "lead", "to": args.to}, caller.leader())
    end = time.monotonic() + args.wait
    while time.monotonic() < end:
        leader = name_of(caller.ask({"do": "status"}).get("leader") or "")
        if leader == args.to:
            tell({"leader": leader}, args, out, [f"{leader} leads"])
            return FINE
        time.sleep(0.05)
    raise Refused(f"{args.to} does not lead yet")


def work(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    found: dict[str, Any] = {}
    for name in caller.order if args.at else sorted(caller.settings.members):
        try:
            found[name] = caller.ask({"do": "work"}, name)
        except Refused as e:
            found[name] = {"error": str(e)}
    lines = [f"{'member':24} {'acts':>6} {'in hand':>8} {'delivers':>9} {'taken over':>11}  waits for"]
    for name, told in found.items():
        if "error" in told:
            lines.append(f"{name:24} {told['error']}")
            continue
        hand = {k: n for k, n in told["in_hand"].items() if n}
        waits = ", ".join(f"{n} {k}" for k, n in hand.items())
        lines.append(f"{name:24} {told['acts']:6} {sum(hand.values()):8} {told['delivering']:9} "
                     f"{told['taken']:11}  {waits}")  # fmt: skip
    tell({"members": found}, args, out, lines)
    return LOOK if any("error" in told for told in found.values()) else FINE


def snapshot(caller: Caller, args: argparse.Namespace, out: TextIO) -> int:
    told = caller.ask({"do": "snapshot"})
    tell(told, args, out, [f"snapshot at {told['snapshot']}"])
    return FINE


COMMANDS = {
    "status": status, "members": members, "add": change, "remove": change, "lead": lead, "work": work,
    "snapshot": snapshot,
}  # fmt: skip
