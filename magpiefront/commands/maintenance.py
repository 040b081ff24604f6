"""`python -m magpiefront maintenance`: controls maintenance plans through a member that answers."""

from __future__ import annotations

import argparse
import getpass
import os
import sys
import time
from pathlib import Path
from typing import Any, TextIO

import msgspec

from magpiefront.commands.group import (
    EXIT_ATTENTION, EXIT_OK, EXIT_REFUSED, CommandError, GroupClient, print_result,
)  # fmt: skip
from magpiefront.group.registry import Member
from magpiefront.maintenance.state_machine import MaintenanceState
from magpiefront.maintenance.forecast import forecast
from magpiefront.maintenance.settings import MaintenanceSettings
from magpiefront.operator.file import OperatorConfig
from magpiefront.operator.maintenance import load_plan

POLL_INTERVAL_S = 1.0
ACTIVE_STATES = ("asked", "granted", "draining", "out", "held", "back", "warming")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON, for programs")
    parser.add_argument("--at", metavar="MEMBER", help="member to ask; default: the file's own, then others")
    parser.add_argument("--by", default="", help="name of the operator; default: the user's name")
    commands = parser.add_subparsers(dest="maintenance_command", required=True)
    check = commands.add_parser("check", help="simulate a plan from the current state; starts nothing")
    check.add_argument("file")
    check.add_argument("--work", type=float, default=300.0, metavar="S", help="time per machine; default 300")
    check.add_argument("--warm", type=float, default=30.0, metavar="S", help="time until warm; default 30")
    commands.add_parser("start", help="start a plan").add_argument("file")
    commands.add_parser("status", help="plans and machines; exit status 1 if one has failed or is held")
    watch = commands.add_parser("watch", help="show the status until all machines are done")
    watch.add_argument("--most", type=float, default=0.0, metavar="S", help="stop after this time")
    for name, text in (("pause", "take no more machines out"), ("resume", "go on after a pause or failure")):
        commands.add_parser(name, help=text).add_argument("plan")
    withdraw = commands.add_parser("withdraw", help="cancel a plan or a machine that is not out yet")
    withdraw.add_argument("plan")
    withdraw.add_argument("machine", nargs="?", default="")
    for name, text in (("done", "declare the work on a machine done"), ("retry", "repeat the work"),
                       ("why", "show what a machine waits for")):  # fmt: skip
        commands.add_parser(name, help=text).add_argument("machine")


def run(operator: OperatorConfig, args: argparse.Namespace, output: TextIO | None = None) -> int:
    """Runs a `maintenance` command. Returns the exit status. Raises CommandError and BadFile."""
    if operator.maintenance is None:
        raise CommandError(f"{operator.path}: [maintenance] is missing")
    client, output = GroupClient(operator, args.at), output or sys.stdout
    commands = {"check": _check, "start": _start, "status": _status, "watch": _watch, "why": _why}
    command = commands.get(args.maintenance_command)
    if command is not None:
        return command(client, operator.maintenance, args, output)
    return _control(client, args, output)


def _requester(args: argparse.Namespace) -> str:
    if args.by:
        return str(args.by)
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"user {os.getuid()}"


def _request(client: GroupClient, command: str, **arguments: Any) -> dict[str, Any]:
    return client.request({"do": "maintenance", "what": command, **arguments})


def _check(
    client: GroupClient, settings: MaintenanceSettings, args: argparse.Namespace, output: TextIO
) -> int:
    plan = load_plan(Path(args.file), _requester(args), settings)
    answer = _request(client, "board")
    state = msgspec.convert(answer["kept"], MaintenanceState, strict=False)
    members = msgspec.convert(answer["members"], dict[str, Member])
    result = forecast(state, members, plan, settings.machines.values(), settings.voters, args.work, args.warm)
    if result.refused:
        print_result(
            msgspec.to_builtins(result), args, output, [f"the plan would be refused: {result.refused}"]
        )
        return EXIT_REFUSED
    lines = [f"{result.takes_s:.0f} s in total, {result.first_s:.0f} s until the first machine is out"]
    lines += [f"wave {n}, at {w.at_s:.0f} s: {', '.join(w.machines)}; {w.left:.0%} of the nodes in use"
              for n, w in enumerate(result.waves, 1)]  # fmt: skip
    lines.append(f"at least {result.least_left:.0%} of the nodes in use; one wave moves up to "
                 f"{result.moved:.0%} of the keys to nodes that fetch them from the archive")  # fmt: skip
    if result.stuck:
        lines.append(f"the plan would not end: {result.stuck}")
    print_result(msgspec.to_builtins(result), args, output, lines)
    return EXIT_ATTENTION if result.stuck else EXIT_OK


def _start(
    client: GroupClient, settings: MaintenanceSettings, args: argparse.Namespace, output: TextIO
) -> int:
    plan = load_plan(Path(args.file), _requester(args), settings)
    _request(client, "start", plan=msgspec.to_builtins(plan))
    print_result({"plan": plan.id}, args, output, [f"{plan.id} has begun: {len(plan.machines)} machines"])
    return EXIT_OK


def _control(client: GroupClient, args: argparse.Namespace, output: TextIO) -> int:
    action, machine, plan = args.maintenance_command, getattr(args, "machine", ""), getattr(args, "plan", "")
    if not plan:
        machines = _request(client, "status")["machines"]
        if machine not in machines:
            raise CommandError(f"{machine} is in no plan")
        plan = machines[machine]["plan"]
    _request(client, "steer", to=action, plan=plan, machine=machine, by=_requester(args))
    result = {"plan": plan, "machine": machine, "to": action}
    print_result(result, args, output, [f"{action}: {' '.join(filter(None, (plan, machine)))}"])
    return EXIT_OK


def format_status(status: dict[str, Any]) -> list[str]:
    """Returns a line for each plan and a table of the machines."""
    lines = []
    for name, p in status["plans"].items():
        state = f"paused by {p['paused']}" if p["paused"] else p["stopped"] and f"stopped: {p['stopped']}"
        lines.append(f"{name}, by {p['by']}{f': {state}' if state else ''}")
    lines.append(f"{'machine':20} {'plan':16} {'state':10} {'for':>7}  waits for")
    for name, m in status["machines"].items():
        reason = m["waits_for"] or m["cause"]
        lines.append(f"{name:20} {m['plan']:16} {m['state']:10} {m['for_s']:6.0f}s  {reason}")
    if status["by_hand"]:
        lines.append(f"nodes excluded by an operator at {status['member']}: {', '.join(status['by_hand'])}")
    return lines


def _needs_attention(status: dict[str, Any]) -> bool:
    return any(m["state"] in ("failed", "held") for m in status["machines"].values())


def _status(
    client: GroupClient, settings: MaintenanceSettings, args: argparse.Namespace, output: TextIO
) -> int:
    status = _request(client, "status")
    print_result(status, args, output, format_status(status))
    return EXIT_ATTENTION if _needs_attention(status) else EXIT_OK


def _watch(
    client: GroupClient, settings: MaintenanceSettings, args: argparse.Namespace, output: TextIO
) -> int:
    """On a terminal, refreshes the status in place; otherwise prints each new line of the plans' history."""
    is_live, seen, deadline = output.isatty() and not args.json, set[str](), time.monotonic() + args.most
    status = _request(client, "status")
    while True:
        if is_live:
            print("\x1b[H\x1b[2J" + "\n".join(format_status(status)), file=output, flush=True)
        else:
            new_lines = [line for line in status["lines"] if line not in seen]
            seen.update(new_lines)
            if args.json or new_lines:
                print_result(status, args, output, new_lines)
                output.flush()
        if not any(m["state"] in ACTIVE_STATES for m in status["machines"].values()):
            return EXIT_ATTENTION if _needs_attention(status) else EXIT_OK
        if args.most and time.monotonic() > deadline:
            return EXIT_ATTENTION
        time.sleep(POLL_INTERVAL_S)
        status = _retry_status(client, args, deadline) or status


def _retry_status(client: GroupClient, args: argparse.Namespace, deadline: float) -> dict[str, Any] | None:
    """Requests the status until a member answers; during an election, for example, none may answer for a
    while. Returns None at the deadline. Prints the first failure on standard error, as programs may read the
    standard output."""
    printed = False
    while True:
        try:
            return _request(client, "status")
        except CommandError as e:
            if not printed:
                print(f"{e}; asking again", file=sys.stderr, flush=True)
            printed = True
        if args.most and time.monotonic() > deadline:
            return None
        time.sleep(POLL_INTERVAL_S)


def _why(client: GroupClient, settings: MaintenanceSettings, args: argparse.Namespace, output: TextIO) -> int:
    machines = _request(client, "status")["machines"]
    if args.machine not in machines:
        raise CommandError(f"{args.machine} is in no plan")
    m = machines[args.machine]
    waits_for = f", and waits for: {m['waits_for']}" if m["waits_for"] else ""
    line = f"{args.machine} is {m['state']}{waits_for}"
    print_result({"machine": args.machine, **m}, args, output, [line])
    return EXIT_OK
