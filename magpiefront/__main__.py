"""Command line of magpiefront: runs a proxy from its start to its last answer, or an operator's command.

python -m magpiefront [--operator FILE]    runs a proxy. FILE (or LB_OPERATOR) adds the operator's stages;
                                           without either, only the platform's proxy runs
python -m magpiefront check FILE           reports errors in an operator's file and starts nothing; if
                                           LB_CONFIG is set, also what the file lacks for that configuration
python -m magpiefront record COMMAND       works on the store of record that --operator FILE names
python -m magpiefront group COMMAND        works on the group that --operator FILE names
python -m magpiefront maintenance COMMAND  takes machines out of service for maintenance, in an order that
                                           the group decides
"""

from __future__ import annotations

# ruff: noqa: E402 - what is imported first decides what the others load
import os
import sys

from magpiefront import without_tls

if __name__ == "__main__" and without_tls.is_plain_run(sys.argv[1:], os.environ):
    without_tls.import_event_loop()

import argparse
import asyncio
import gc
import signal
import traceback
from typing import TYPE_CHECKING, Any

import uvloop

from magpiefront.net import config
from magpiefront.net.admin import MAX_CALLERS, Admin
from magpiefront.net.client_memory import ClientMemory
from magpiefront.net.admin_commands import AdminCommands
from magpiefront.net.discovery import Discovery
from magpiefront.net.shutdown_loop import run_shutdown
from magpiefront.net.events import log_to_stderr
from magpiefront.net.front import Front
from magpiefront.net.listening import open_listener
from magpiefront.net.memory_guard import MemoryGuard
from magpiefront.net.memory_holders import ClientHolders
from magpiefront.net.memory_plan import USABLE_SHARE
from magpiefront.net.memory_pressure import PEAK_SHARE
from magpiefront.net.process_memory import Allocator, ProcessMemory, resident_bytes
from magpiefront.net.proxy import Proxy
from magpiefront.net.request import Stage
from magpiefront.net.shutdown import Shutdown
from magpiefront.upgrade import state as upgrade_state
from magpiefront.upgrade.channel import socket_path
from magpiefront.upgrade.new_process import HandoverClient, OldProcessLink
from magpiefront.upgrade.old_process import HandoverServer

if TYPE_CHECKING:  # imported at run time only if there is an operator's file
    from magpiefront.operator.file import OperatorConfig

RESERVED_DESCRIPTORS = 32 + MAX_CALLERS  # file descriptors that clients and nodes may not use
SWEEP_INTERVAL_S = 0.5  # how often the timeouts of connections are checked
START_POLL_S = 0.002  # how often the start checks whether discovery has a list


def callback_error(context: dict[str, Any]) -> str:
    """Returns the log text for an exception in a callback of the event loop. The exception ends the
    connection concerned, not the proxy."""
    error = context.get("exception")
    return "".join(traceback.format_exception(error)) if error is not None else str(context.get("message"))


def check_room_beside(old_process_bytes: int, memory_mb: int) -> None:
    """Raises BadConfig if this process and the one that it would take over from, which takes that many bytes,
    do not fit into the memory that they share."""
    both = old_process_bytes + resident_bytes()
    if old_process_bytes and both > (memory_mb << 20) * PEAK_SHARE:
        raise config.BadConfig(
            f"limits.memory_mb = {memory_mb} has no room for a second process beside the one that serves: "
            f"both take {both >> 20} MB; end that one first"
        )


async def serve(settings: config.Config, operator: OperatorConfig | None = None) -> None:
    """Runs one proxy until it has shut down after SIGTERM or SIGINT. With `operator`, requests pass through
    the stages that the operator's file configures. Raises BadConfig or OSError if the proxy cannot start."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    allocator = Allocator()
    allocator.fix_thresholds()
    memory = ClientMemory(0)  # its limits are set before the first client is accepted
    composition = None
    if operator is None:
        proxy = Proxy(settings, loop)
        first_stage: Stage = proxy
    else:
        from magpiefront.operator.compose import Composition, create_proxy

        proxy = create_proxy(settings, loop, operator)
        composition = Composition(proxy, proxy, operator, settings.seed, memory, proxy, stop.set)
        first_stage = composition.first_stage
    if os.environ.get("LB_TRACE"):
        from magpiefront.net import trace

        trace.install(proxy)
    loop.set_exception_handler(lambda _, context: proxy.log(callback_error(context)))
    front = Front(
        proxy, first_stage, memory, settings.sockets - RESERVED_DESCRIPTORS - proxy.node_descriptors
    )
    holders = ClientHolders(proxy, front, memory)
    if composition is not None:
        holders.shed_others = composition.shed_memory
    guard = MemoryGuard(
        settings.memory_mb << 20, ProcessMemory(), allocator.trim, holders,
        proxy.events_log, loop.time, front.max_clients, proxy.node_descriptors,
    )  # fmt: skip
    proxy.slowest_connection = front.turns.take_slowest
    front.answer_unconfirmed = proxy.remember_id
    if composition is not None:
        composition.prepare_front(front)
    discovery = Discovery(proxy, settings.discovery, settings.seed)
    admin_commands = AdminCommands(proxy, front)
    admin_commands.memory_metrics = guard.metrics_text
    if composition is not None and composition.group is not None:
        admin_commands.extra_metrics = composition.metrics_text
        if composition.maintenance is not None:
            admin_commands.apply_override = composition.maintenance.set_excluded
    admin = Admin(loop, admin_commands)
    upgrade_path = socket_path(settings.listen, os.environ) if settings.admin is not None else None
    handover_client = HandoverClient(upgrade_path) if upgrade_path is not None else None

    shutdowns: list[Shutdown] = []  # empty until the shutdown begins, then a single element
    sigterm_us = 0  # when the shutdown began, by the proxy's clock

    def reload() -> None:
        """Handles SIGHUP: applies the configuration and the operator's file as they are now. Without a
        handler SIGHUP would end the process; if the handler ignored it, the process would keep using a
        discovery service that is being shut down. An invalid configuration changes nothing."""
        try:
            new_config = config.reload(os.environ, proxy.config)
            new_operator = None if operator is None else read_operator(str(operator.path))
        except config.BadConfig as e:
            proxy.metrics.configs_rejected += 1
            proxy.log(f"reload: {e}; keeping the previous configuration")
            return
        proxy.metrics.configs_applied += 1
        proxy.configure(new_config)
        for shutdown in shutdowns:
            shutdown.shorten(proxy.longest_deadline_us / 1e6)
            proxy.answer_all_by(sigterm_us + int(shutdown.times.answer_by_s * 1e6))
        if composition is not None and new_operator is not None:
            composition.configure(new_operator)
        discovery.set_address(new_config.discovery)

    loop.add_signal_handler(signal.SIGHUP, reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    if composition is not None:
        try:
            await composition.start(handover_client.listeners if handover_client is not None else None)
        except OSError as e:
            raise config.BadConfig(f"{composition.operator.path}: can't listen for gateways: {e}") from None
    if settings.admin is not None:
        try:
            admin.bind(settings.admin)
        except OSError as e:
            address = f"{settings.admin[0]}:{settings.admin[1]}"
            raise config.BadConfig(f"LB_ADMIN: can't listen on {address}: {e}") from None
    own_listener = None
    if handover_client is None or handover_client.listener is None:
        own_listener = open_listener(*settings.listen, shared=settings.admin is not None)
    if handover_client is not None:
        check_room_beside(resident_bytes(handover_client.peer_pid), settings.memory_mb)
    state = handover_client.take_over() if handover_client is not None else None
    known_list = settings.initial_list
    if state is not None:
        known_list = upgrade_state.initial_list(state, settings.discovery, settings.initial_list)
    discovery.start(known_list)
    while not discovery.list_applied and not stop.is_set():
        await asyncio.sleep(START_POLL_S)
    if state is not None:
        upgrade_state.restore(state, proxy)
    reserved_bytes = 0
    if composition is not None:
        free_bytes = int((settings.memory_mb << 20) * USABLE_SHARE) - resident_bytes()
        reserved_bytes = composition.reserve_memory(free_bytes)
    plan = guard.start(len(proxy.pool.nodes), reserved_bytes)
    if not plan.enough:
        proxy.log(
            f"limits.memory_mb = {settings.memory_mb} is too little for this list of nodes: "
            f"{guard.at_rest_bytes >> 20} MB are in use before the first client; this process serves at most "
            f"{plan.max_clients} clients at once"
        )
    proxy.check_memory = guard.tick
    listener = (
        handover_client.listener
        if handover_client is not None and handover_client.listener is not None
        else own_listener
    )
    listener_handed_over = handover_client is not None and handover_client.listener is not None
    front.listen_on(
        listener or open_listener(*settings.listen, shared=settings.admin is not None),
        shared=listener_handed_over,
    )
    if composition is not None:
        await composition.accept()
    old_process: OldProcessLink | None = None
    if handover_client is not None and handover_client.socket is not None:
        old_process = OldProcessLink(handover_client, proxy, front, admin_commands)
        if composition is not None:
            channel = old_process.channel
            composition.set_old_process_check(lambda: channel.open)
    other_listeners = composition.handover_listeners if composition is not None else []
    handover_server = (
        HandoverServer(proxy, front, discovery, admin_commands, upgrade_path, other_listeners)
        if upgrade_path is not None
        else None
    )
    if handover_server is not None:
        handover_server.listen()
    if settings.admin is not None:
        admin.start()

    def other_processes_bytes() -> int:
        """What the processes before and after this one take, with which it shares its memory."""
        pids = {old_process.channel.peer_pid} if old_process is not None else set()
        if handover_server is not None and handover_server.channel is not None:
            pids.add(handover_server.channel.peer_pid)
        return sum(resident_bytes(pid) for pid in pids if pid)

    guard.others = other_processes_bytes

    if composition is not None:
        composition.begin_recovery()

    def sweep() -> None:
        loop.call_later(SWEEP_INTERVAL_S, sweep)  # comes first: an exception below must not end the sweeps
        guard.set_nodes(len(proxy.pool.nodes))
        guard.update_others()
        proxy.sweep()
        front.sweep()
        admin.sweep()
        if composition is not None:
            composition.sweep()

    sweep()
    proxy.tick()
    # The objects that exist by now live as long as the process, so the garbage collector need not check them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 100)
    await stop.wait()
    sigterm_at, sigterm_us = loop.time(), proxy.now_us()
    shutdowns.append(shutdown := Shutdown(proxy.longest_deadline_us / 1e6))
    proxy.answer_all_by(sigterm_us + int(shutdown.times.answer_by_s * 1e6))
    front.stopping = True
    if handover_server is not None:
        handover_server.stop()
    if composition is not None and not front.handed_over:
        composition.drain()  # not after a handover: then peers move to the new process one by one
    await run_shutdown(
        front,
        shutdown,
        sigterm_at,
        work_left=lambda: (
            (composition is not None and composition.busy)
            or (handover_server is not None and handover_server.sending_state)
        ),
        drain=lambda: None if composition is None else composition.drain(),
        events_log=proxy.events_log,
    )
    if composition is not None:
        await composition.leave()
        composition.stop()
    discovery.stop()
    admin.stop()
    if handover_server is not None:
        handover_server.close()


def read_operator(path: str) -> OperatorConfig:
    """Returns the checked content of an operator's file. Raises BadConfig."""
    try:
        from magpiefront.operator.compose import load_and_check, expand_path
        from magpiefront.operator.parsing import BadFile
    except ModuleNotFoundError as e:
        raise config.BadConfig(f"{path}: needs the package {e.name}: see requirements-gateway.txt") from None
    try:
        return load_and_check(expand_path(path))
    except BadFile as e:
        raise config.BadConfig(str(e)) from None


def check_coverage(path: str, operator: OperatorConfig, settings: config.Config) -> None:
    """Raises BadConfig if [record] in the operator's file does not fit the request classes in the platform's
    configuration."""
    from magpiefront.operator.compose import check_takeover_windows

    for line in check_takeover_windows(operator, settings.settings.classes):
        raise config.BadConfig(f"{path}: [record] {line}")


def load_operator(args: argparse.Namespace, subject: str) -> OperatorConfig:
    """Returns the content of the operator's file for a command that finds `subject` there. Raises BadConfig
    if no file is given or it is invalid."""
    path = args.own_operator or args.operator or os.environ.get("LB_OPERATOR")
    if not path:
        raise config.BadConfig(f"{args.command}: --operator FILE (or LB_OPERATOR) must name {subject}")
    return read_operator(path)


def run_record(args: argparse.Namespace) -> int:
    """Runs a `record` command. Returns the exit status. Raises BadConfig."""
    from magpiefront.record.commands import BadStore, CommandError, run

    operator = load_operator(args, "the store")
    if operator.record is None:
        raise config.BadConfig(f"{operator.path}: [record] is missing")
    from magpiefront.record.settings import GroupStoreSettings
    from magpiefront.commands.reports import GroupReportStore

    try:
        store = operator.record.store
        return run(GroupReportStore(operator) if isinstance(store, GroupStoreSettings) else store, args)
    except (BadStore, CommandError) as e:
        raise config.BadConfig(str(e)) from None


def run_group(args: argparse.Namespace) -> int:
    """Runs a `group` command. Returns the exit status. Raises BadConfig."""
    from magpiefront.commands.group import CommandError, run

    operator = load_operator(args, "the group")
    try:
        return run(operator, args)
    except CommandError as e:
        raise config.BadConfig(str(e)) from None


def run_maintenance(args: argparse.Namespace) -> int:
    """Runs a `maintenance` command. Returns the exit status. Raises BadConfig."""
    from magpiefront.commands.group import CommandError
    from magpiefront.commands.maintenance import run
    from magpiefront.operator.parsing import BadFile

    operator = load_operator(args, "the machines")
    try:
        return run(operator, args)
    except (CommandError, BadFile) as e:
        raise config.BadConfig(str(e)) from None


def parse_arguments(argv: list[str]) -> argparse.Namespace:
    """Parses the command line. A command's options are added only if the command is given, so that the proxy
    itself does not import the modules of the commands."""
    parser = argparse.ArgumentParser("magpiefront", description="A load-balancing proxy for cache nodes.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's file (else LB_OPERATOR)")
    commands = parser.add_subparsers(dest="command")
    check = commands.add_parser("check", help="report what is wrong with an operator's file")
    check.add_argument("file")
    record = commands.add_parser("record", help="work on the store of record; see `record --help`")
    record.add_argument("--operator", metavar="FILE", dest="own_operator", help="as above")
    if "record" in argv:
        from magpiefront.record.commands import add_arguments

        add_arguments(record)
    group = commands.add_parser("group", help="work on the group; see `group --help`")
    group.add_argument("--operator", metavar="FILE", dest="own_operator", help="as above")
    if "group" in argv:
        from magpiefront.commands.group import add_arguments as add_group

        add_group(group)
    maintenance = commands.add_parser("maintenance", help="work on machines; see `maintenance --help`")
    maintenance.add_argument("--operator", metavar="FILE", dest="own_operator", help="as above")
    if "maintenance" in argv:
        from magpiefront.commands.maintenance import add_arguments as add_maintenance

        add_maintenance(maintenance)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Runs the command line. Returns the exit status: 2 for a bad configuration or an address in use."""
    args = parse_arguments(sys.argv[1:] if argv is None else argv)
    try:
        if args.command == "check":
            checked = read_operator(args.file)
            if os.environ.get("LB_CONFIG"):
                check_coverage(args.file, checked, config.load(os.environ))
            print(f"{args.file}: good")
            if checked.group is not None and checked.group.warning:
                print(f"{args.file}: {checked.group.warning}")
            return 0
        if args.command == "record":
            return run_record(args)
        if args.command == "group":
            return run_group(args)
        if args.command == "maintenance":
            return run_maintenance(args)
        settings = config.load(os.environ)
        path = args.operator or os.environ.get("LB_OPERATOR")
        operator = read_operator(path) if path else None
        log_to_stderr()
        uvloop.run(serve(settings, operator))
    except config.BadConfig as e:
        print(f"magpiefront: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"magpiefront: can't listen on {settings.listen[0]}:{settings.listen[1]}: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
