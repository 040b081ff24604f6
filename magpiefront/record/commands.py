"""`python -m magpiefront record`: an operator's commands for the store of record, also while it is in use."""

from __future__ import annotations

import argparse
import base64
import json
import sqlite3
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import nullcontext
from dataclasses import replace
from pathlib import Path
from typing import Any, TextIO

from magpiefront.record.backup import backup
from magpiefront.record.report_stores import ReportStore, CommandError, open_report_store
from magpiefront.record.journal import row_after_window
from magpiefront.record.rows import Answer, Attempt, Id, Moment, Row, State
from magpiefront.record.settings import PostgresSettings, SqliteSettings
from magpiefront.record.sqlite import BadStore

EXIT_OK, EXIT_ATTENTION = 0, 1  # a command that can't be carried out exits with status 2


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommands and their options."""
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="record_command", required=True)
    commands.add_parser("status", help="count the reports in each state; exit status 1 if some are unknown")
    list_ = commands.add_parser("list", help="list reports, the oldest first")
    list_.add_argument("--state", choices=[s.value for s in State])
    list_.add_argument("--limit", type=int, default=50)
    for name, text in (
        ("show", "show all that is stored for a key"),
        ("resolve", "set the outcome of a report in the state unknown"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("key")
        command.add_argument("--tenant")
        command.add_argument("--class", dest="kind")
        if name == "resolve":
            command.add_argument("--as", dest="as_", choices=["ran", "not-run"], required=True)
            command.add_argument("--note", required=True)
    commands.add_parser("verify", help="check the file, and each row against its state")
    export = commands.add_parser("export", help="write all rows, each as one line of JSON")
    export.add_argument("--to", metavar="FILE", help="default: standard output")
    import_ = commands.add_parser("import", help="add the rows of an export; existing rows are kept")
    import_.add_argument("file")
    backup_ = commands.add_parser("backup", help="make a complete, verified copy while gateways run")
    backup_.add_argument("file")
    commands.add_parser("compact", help="return the space of removed rows to the file system")


def run(
    store_or_settings: SqliteSettings | PostgresSettings | ReportStore,
    args: argparse.Namespace,
    out: TextIO | None = None,
) -> int:
    """Runs a command on a store, or on the store that the settings describe, and closes it. Returns the exit
    status. Raises CommandError or BadStore."""
    if isinstance(store_or_settings, SqliteSettings | PostgresSettings):
        store = open_report_store(store_or_settings, create=args.record_command == "import")
    else:
        store = store_or_settings
    try:
        return COMMANDS[args.record_command](store, args, out or sys.stdout)
    except sqlite3.Error as e:
        raise CommandError(f"{store.name}: {' '.join(str(e).split())}") from None
    finally:
        store.close()


def _print_table(out: TextIO, header: tuple[str, ...], lines: Sequence[tuple[object, ...]]) -> None:
    cells = [header, *[tuple(str(v) for v in line) for line in lines]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(header))]
    for row in cells:
        print("  ".join(v.ljust(w) for v, w in zip(row, widths, strict=True)).rstrip(), file=out)


def _format_time(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))


def _status(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    counts = {state: (count, oldest) for state, count, oldest in store.counts()}
    size, backups = store.size(), store.source_backups()
    if args.json:
        states = {s.value: counts.get(s.value, (0, None))[0] for s in State}
        copies = [{"taken_s": taken, "opened_s": opened} for taken, opened in backups]
        print(json.dumps({"store": store.name, "bytes": size, "states": states, "backups": copies}), file=out)
    else:
        lines = [
            (s.value, counts[s.value][0], _format_time(counts[s.value][1]))
            for s in State
            if s.value in counts
        ]
        _print_table(out, ("state", "reports", "oldest (UTC)"), lines)
        print(f"{store.name}: {size / 2**20:.1f} MiB", file=out)
        for taken, opened in backups:
            since = f"in use since {_format_time(opened)}" if opened is not None else "not in use yet"
            print(f"a backup of {_format_time(taken)} (UTC), {since}: later reports are missing", file=out)
    return EXIT_ATTENTION if State.UNKNOWN.value in counts else EXIT_OK


def _list(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    state = State(args.state) if args.state else None
    found = [r for r, _ in zip(store.rows(state), range(args.limit), strict=False)]
    if args.json:
        for r in found:
            print(json.dumps(to_json(r)), file=out)
    else:
        lines = [
            (
                _format_time(r.received_s), r.state.value, r.id.tenant, r.id.kind, _printable(r.id.key),
                _printable(r.target), r.note,
            )
            for r in found
        ]  # fmt: skip
        _print_table(out, ("received (UTC)", "state", "tenant", "class", "key", "target", "note"), lines)
    return EXIT_ATTENTION if any(r.state is State.UNKNOWN for r in found) else EXIT_OK


def _find_reports(store: ReportStore, args: argparse.Namespace) -> list[Row]:
    """Returns the reports with the key, tenant and class that are given. Raises CommandError if there are
    none."""
    key = args.key.encode("utf-8", "surrogateescape")
    found = [r for r in store.rows() if r.id.key == key]
    found = [r for r in found if args.tenant in (None, r.id.tenant) and args.kind in (None, r.id.kind)]
    if not found:
        raise CommandError(f"no report with the key {args.key!r} exists")
    return found


def _show(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    found = _find_reports(store, args)
    for r in found:
        if args.json:
            print(json.dumps(to_json(r)), file=out)
            continue
        answer = f"{r.answer.status}, {len(r.answer.body)} bytes" if r.answer else "none"
        sent = _format_time(r.sent.wall_s) if r.sent else "never"
        lines: list[tuple[object, ...]] = [
            ("key", _printable(r.id.key)), ("tenant", r.id.tenant), ("class", r.id.kind),
            ("state", r.state.value), ("request", f"{_printable(r.method)} {_printable(r.target)}"),
            ("received (UTC)", _format_time(r.received_s)), ("sent (UTC)", sent),
            ("nodes drop repeats for", f"{r.window_s:g} s"), ("answer", answer),
            *[("attempt (UTC)", f"{_format_time(a.at_s)} at {a.node}") for a in r.attempts],
            ("body", _printable(r.body[:200])), ("note", r.note),
        ]  # fmt: skip
        _print_table(out, ("field", "value"), lines)
    return EXIT_ATTENTION if any(r.state is State.UNKNOWN for r in found) else EXIT_OK


def _resolve(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    found = _find_reports(store, args)
    if len(found) > 1:
        raise CommandError(f"{len(found)} reports have the key {args.key!r}: give --tenant and --class")
    r = found[0]
    if r.state is not State.UNKNOWN:
        raise CommandError(f"{args.key!r} is {r.state.value}: only an unknown report can be resolved")
    if args.as_ == "ran":
        answer = Answer(200, b"Content-Type: text/plain\r\n", b"held; an operator has confirmed it\n")
        after = replace(r, state=State.CONFIRMED, answer=answer, note=args.note, told=False)
    else:
        after = replace(r, state=State.NOT_RUN, note=args.note, told=False)
    if not store.change(r, after):
        raise CommandError(f"{args.key!r} was changed by another process")
    print(json.dumps(to_json(after)) if args.json else f"{args.key}: {after.state.value}", file=out)
    return EXIT_OK


def find_faults(r: Row) -> Iterator[str]:
    """Yields, as text, each way in which a row contradicts its state."""
    if r.state is State.CONFIRMED and r.answer is None:
        yield "confirmed without an answer"
    if r.told and r.state not in (State.SENT, State.UNKNOWN):
        yield f"{r.state.value}, although its client was told to retry"
    if r.state in (State.SENT, State.UNKNOWN) and r.sent is None:
        yield f"{r.state.value} without the time when it was sent"
    if not r.id.key or not r.digest:
        yield "without a key or a digest"


def _verify(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    faults: list[str] = []
    count = 0
    for r in store.verify_rows():
        if isinstance(r, str):
            faults.append(r)
            continue
        count += 1
        faults += [f"{_printable(r.id.key)}: {fault}" for fault in find_faults(r)]
        if sys.stderr.isatty() and count % 1_000 == 0:
            print(f"\r{count} rows", end="", file=sys.stderr)
    if args.json:
        print(json.dumps({"rows": count, "faults": faults}), file=out)
    else:
        for line in faults:
            print(line, file=out)
        print(f"{count} rows, {len(faults)} faults", file=out)
    return EXIT_ATTENTION if faults else EXIT_OK


def _export(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    store.begin(False)  # a consistent view of all rows, whatever is written meanwhile
    try:
        with open(args.to, "w", encoding="utf-8") if args.to else nullcontext(out) as target:
            for r in store.rows():
                print(json.dumps(to_json(r)), file=target)
    except OSError as e:
        raise CommandError(f"{args.to}: {e.strerror}") from None
    return EXIT_OK


def _import(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    new = existing = 0
    conflicts: list[str] = []
    try:
        with open(args.file, encoding="utf-8") as lines:
            store.begin(True)
            for number, line in enumerate(lines, 1):
                try:
                    r = from_json(json.loads(line))
                except (ValueError, KeyError, TypeError) as e:
                    cause = f"line {number}: {type(e).__name__}: {e}; nothing was imported"
                    raise CommandError(f"{args.file}: {cause}") from None
                if r.state is State.SENT:
                    # Its retry window is measured by the clock of another store. Sent again, the report could
                    # have a second effect.
                    r = row_after_window(r, r.owner)
                    r = replace(r, note=r.note or "was sent when it was exported")
                if store.add(r):
                    new += 1
                    continue
                existing += 1
                stored = store.find(r.id)
                if stored is not None and stored.digest != r.digest:
                    conflicts.append(_printable(r.id.key))
            store.commit()
    except (OSError, UnicodeDecodeError) as e:
        raise CommandError(f"{args.file}: {e}") from None
    if args.json:
        print(json.dumps({"new": new, "held": existing, "another": conflicts}), file=out)
    else:
        print(f"{new} new, {existing} exist already", file=out)
        for key in conflicts:
            print(f"{key}: another report exists under this key", file=out)
    return EXIT_ATTENTION if conflicts else EXIT_OK


def _compact(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    before = store.size()
    store.compact()
    after = store.size()
    text = f"{before / 2**20:.1f} MiB before, {after / 2**20:.1f} MiB now"
    print(json.dumps({"before": before, "after": after}) if args.json else text, file=out)
    return EXIT_OK


def _backup(store: ReportStore, args: argparse.Namespace, out: TextIO) -> int:
    def on_progress(done: int, total: int) -> None:
        if sys.stderr.isatty():
            print(f"\r{done} of {total}", end="" if done < total else "\n", file=sys.stderr, flush=True)

    result = backup(store, Path(args.file), on_progress)
    if args.json:
        print(json.dumps({"file": str(result.path), "rows": result.rows, "bytes": result.bytes}), file=out)
    else:
        print(f"{result.path}: {result.rows} rows, {result.bytes / 2**20:.1f} MiB, verified", file=out)
    return EXIT_OK


COMMANDS = {
    "status": _status, "list": _list, "show": _show, "resolve": _resolve, "verify": _verify,
    "export": _export, "import": _import, "compact": _compact,
    "backup": _backup,
}  # fmt: skip


# ---- rows as JSON, with bytes in base64


def _printable(value: bytes) -> str:
    return value.decode("utf-8", "backslashreplace")


def to_json(r: Row) -> dict[str, Any]:
    """Converts a row to a JSON object, as in an export."""

    def encode(value: bytes) -> str:
        return base64.b64encode(value).decode("ascii")

    answer = None
    if r.answer is not None:
        answer = {"status": r.answer.status, "more": encode(r.answer.more), "body": encode(r.answer.body)}
    return {
        "tenant": r.id.tenant, "class": r.id.kind, "key": encode(r.id.key), "digest": encode(r.digest),
        "method": encode(r.method), "target": encode(r.target), "more": encode(r.more),
        "body": encode(r.body), "state": r.state.value, "received_s": r.received_s,
        "sent": list(r.sent) if r.sent else None,
        "owner": r.owner, "window_s": r.window_s, "until_s": r.until_s, "answer": answer,
        "attempts": [[a.node, a.at_s] for a in r.attempts], "note": r.note, "told": r.told,
    }  # fmt: skip


def from_json(data: dict[str, Any]) -> Row:
    """Converts a JSON object of `to_json` back to a row. Raises ValueError, KeyError or TypeError."""

    def decode(value: Any) -> bytes:
        return base64.b64decode(value, validate=True)

    answer = data["answer"]
    sent = data["sent"]
    id = Id(str(data["tenant"]), str(data["class"]), decode(data["key"]))
    moment = Moment(float(sent[0]), str(sent[1]), float(sent[2])) if sent is not None else None
    stored_answer = None
    if answer is not None:
        stored_answer = Answer(int(answer["status"]), decode(answer["more"]), decode(answer["body"]))
    attempts = tuple(Attempt(str(node), float(at)) for node, at in data["attempts"])
    return Row(
        id, decode(data["digest"]), decode(data["method"]), decode(data["target"]),
        decode(data["more"]), decode(data["body"]),
        State(data["state"]), float(data["received_s"]), moment, str(data["owner"]),
        float(data["window_s"]), float(data["until_s"]), stored_answer, attempts, str(data["note"]),
        bool(data.get("told", False)),
    )  # fmt: skip


__all__ = ["BadStore", "CommandError", "add_arguments", "from_json", "run", "to_json"]
