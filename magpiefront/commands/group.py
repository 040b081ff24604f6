"""`python -m magpiefront group`: shows and changes the state of the group through a member that answers."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any, TextIO

from magpiefront.gateway.members import MemberLinkSettings, send_command
from magpiefront.group.messages import name_of
from magpiefront.operator.file import OperatorConfig

# Exit statuses: success, success but something needs attention, and the command could not be carried out.
EXIT_OK, EXIT_ATTENTION, EXIT_REFUSED = 0, 1, 2
REQUEST_TIMEOUT_S = 3.0


class CommandError(Exception):
    """Raised if a command can't be carried out. The message is one line."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON, for programs")
    parser.add_argument("--at", metavar="MEMBER", help="member to ask; default: the file's own, then others")
    commands = parser.add_subparsers(dest="group_command", required=True)
    commands.add_parser("status", help="leader and progress of a member; exit status 1 without a leader")
    commands.add_parser("members", help="all members; exit status 1 if one is not well")
    for name, text in (("add", "admit a member that [group.members] names"), ("remove", "remove a member")):
        command = commands.add_parser(name, help=text)
        command.add_argument("name")
        command.add_argument(
            "--wait", type=float, default=10.0, metavar="S", help="time to wait for the effect; default 10"
        )
    lead = commands.add_parser("lead", help="transfer leadership")
    lead.add_argument("--to", required=True, metavar="MEMBER")
    lead.add_argument("--wait", type=float, default=5.0, metavar="S")
    commands.add_parser("work", help="open reports at each member; exit status 1 if one does not answer")
    commands.add_parser("snapshot", help="take a snapshot now, at the member that answers")


class GroupClient:
    """Sends requests to the member `at`. If `at` is None, sends each request to the member of the operator's
    file, and if that does not answer, to the other members in turn. Raises CommandError."""

    def __init__(self, operator: OperatorConfig, at: str | None) -> None:
        if operator.group is None:
            raise CommandError(f"{operator.path}: [group] is missing")
        self.config = operator.group
        self.settings = operator.group.settings
        self.connection_settings = MemberLinkSettings(operator.site, operator.group.tls)
        if at is not None and at not in self.settings.members:
            raise CommandError(f"{at} is not in [group.members]")
        own = self.settings.member
        self.order = [at] if at is not None else [own, *sorted(self.settings.members.keys() - {own})]

    def request(self, body: dict[str, Any], member: str | None = None) -> dict[str, Any]:
        """Returns the answer of `member`, or of the first member that answers. Raises CommandError."""
        cause = ""
        for name in [member] if member is not None else self.order:
            address = self.settings.listen if name == self.settings.member else self.settings.members[name]
            try:
                answer = asyncio.run(
                    send_command(
                        address, self.connection_settings, self.settings.name, body, REQUEST_TIMEOUT_S
                    )
                )
            except (OSError, TimeoutError, ValueError) as e:
                cause = f"{name} at {address[0]}:{address[1]}: {e or 'no answer in time'}"
                continue
            if "error" in answer:
                raise CommandError(f"{name}: {answer['error']}")
            return answer
        raise CommandError(f"no member answers; the last one: {cause}")

    def leader(self) -> str:
        """Returns the name of the leader. Raises CommandError if there is none."""
        leader = self.request({"do": "status"}).get("leader")
        if not leader:
            raise CommandError("there is no leader; see `group status` at each member")
        return name_of(leader)


def run(operator: OperatorConfig, args: argparse.Namespace, output: TextIO | None = None) -> int:
    """Runs a `group` command. Returns the exit status. Raises CommandError."""
    client = GroupClient(operator, args.at)
    return COMMANDS[args.group_command](client, args, output or sys.stdout)


def print_result(result: dict[str, Any], args: argparse.Namespace, output: TextIO, lines: list[str]) -> None:
    """Prints `result` as JSON if `--json` was given, else `lines`."""
    print(json.dumps(result) if args.json else "\n".join(lines), file=output)


def status(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    s = client.request({"do": "status"})
    if s["cause"]:
        print_result(s, args, output, [f"{s['member']}: {s['cause']}"])
        return EXIT_ATTENTION
    role = "votes" if s["votes"] else "observes"
    lines = [
        f"{s['id']} of {s['group']}: {s['role']}, {role}, term {s['term']}, led by {s['leader'] or 'none'}",
        f"applied {s['applied']}, committed {s['commit']}, last entry {s['last']}, snapshot {s['snapshot']}",
        f"may act in epoch {s['epoch']}, {s['session_ms']} ms left" if s["epoch"] else "may not act now",
    ]
    print_result(s, args, output, lines)
    return EXIT_OK if s["leader"] else EXIT_ATTENTION


def members(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    answer = client.request({"do": "status"}, None if args.at else client.leader())
    all_members = answer.get("members", {})
    lines = [f"{'member':24} {'part':9} {'state':10} {'epoch':>6} {'losses':>6} {'behind':>8}"]
    for name, m in all_members.items():
        behind = "" if m["match"] is None else str(max(0, answer["commit"] - m["match"]))
        state = "suspected" if m["suspected"] and m["state"] == "well" else m["state"]
        mark = " leads" if m["id"] == answer["leader"] else ""
        lines.append(f"{name:24} {m['part']:9} {state:10} {m['epoch']:6} {m['losses']:6} {behind:>8}{mark}")
    print_result(answer, args, output, lines)
    return (
        EXIT_OK
        if all(m["state"] == "well" for m in all_members.values() if m["part"] != "none")
        else EXIT_ATTENTION
    )


def change_members(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    is_removal = args.group_command == "remove"
    outcome = client.request({"do": "bar", "name": args.name, "out": is_removal}, client.leader())
    if outcome["fate"] != "committed":
        raise CommandError(f"{outcome['fate']}: {outcome['cause']}")
    deadline = time.monotonic() + args.wait
    while True:
        answer = client.request({"do": "status"})
        part = answer.get("members", {}).get(args.name, {}).get("part", "none")
        if (part == "none") == is_removal:
            result = "is out" if is_removal else f"is in, as {part}"
            print_result({"member": args.name, "part": part}, args, output, [f"{args.name} {result}"])
            return EXIT_OK
        if time.monotonic() > deadline:
            line = f"committed; {args.name} has not {'left' if is_removal else 'joined'} yet"
            print_result({"member": args.name, "part": part}, args, output, [line])
            return EXIT_ATTENTION
        time.sleep(0.1)


def transfer_leadership(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    client.request({"do": "lead", "to": args.to}, client.leader())
    deadline = time.monotonic() + args.wait
    while time.monotonic() < deadline:
        leader = name_of(client.request({"do": "status"}).get("leader") or "")
        if leader == args.to:
            print_result({"leader": leader}, args, output, [f"{leader} leads"])
            return EXIT_OK
        time.sleep(0.05)
    raise CommandError(f"{args.to} does not lead yet")


def work(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    answers: dict[str, Any] = {}
    for name in client.order if args.at else sorted(client.settings.members):
        try:
            answers[name] = client.request({"do": "work"}, name)
        except CommandError as e:
            answers[name] = {"error": str(e)}
    lines = [f"{'member':24} {'epoch':>6} {'open':>8} {'delivers':>9} {'taken over':>11}  phases"]
    for name, answer in answers.items():
        if "error" in answer:
            lines.append(f"{name:24} {answer['error']}")
            continue
        in_hand = {k: n for k, n in answer["in_hand"].items() if n}
        phases = ", ".join(f"{n} {k}" for k, n in in_hand.items())
        lines.append(f"{name:24} {answer['acts']:6} {sum(in_hand.values()):8} {answer['delivering']:9} "
                     f"{answer['taken']:11}  {phases}")  # fmt: skip
    print_result({"members": answers}, args, output, lines)
    return EXIT_ATTENTION if any("error" in answer for answer in answers.values()) else EXIT_OK


def snapshot(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    answer = client.request({"do": "snapshot"})
    print_result(answer, args, output, [f"snapshot at {answer['snapshot']}"])
    return EXIT_OK


COMMANDS = {
    "status": status, "members": members, "add": change_members, "remove": change_members,
    "lead": transfer_leadership, "work": work, "snapshot": snapshot,
}  # fmt: skip
