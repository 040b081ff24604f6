"""`python -m magpiefront record`: what an operator asks of the store of record, also while it is in use."""

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
from magpiefront.record.books import Book, Refused, open_book
from magpiefront.record.rows import Answer, Attempt, Id, Moment, Row, State
from magpiefront.record.settings import PostgresSettings, SqliteSettings
from magpiefront.record.sqlite import BadStore

FINE, LOOK = 0, 1  # exit statuses; 2 is for what can't be done


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="for programs")
    commands = parser.add_subparsers(dest="record_command", required=True)
    commands.add_parser("status", help="how many are in which state; exit status 1 where some are unknown")
    listed = commands.add_parser("list", help="reports, the oldest first")
    listed.add_argument("--state", choices=[s.value for s in State])
    listed.add_argument("--limit", type=int, default=50)
    for name, text in (
        ("show", "all that is held of a key"),
        ("resolve", "say what became of an unknown one"),
    ):
        one = commands.add_parser(name, help=text)
        one.add_argument("key")
        one.add_argument("--tenant")
        one.add_argument("--class", dest="kind")
        if name == "resolve":
            one.add_argument("--as", dest="as_", choices=["ran", "not-run"], required=True)
            one.add_argument("--note", required=True)
    commands.add_parser("verify", help="is the file whole, and every row what its state says?")
    export = commands.add_parser("export", help="all rows, one line of JSON each")
    export.add_argument("--to", metavar="FILE", help="default: standard output")
    import_ = commands.add_parser("import", help="rows of an export; those that are held already stay")
    import_.add_argument("file")
    backup_ = commands.add_parser("backup", help="a whole, checked copy while gateways run")
    backup_.add_argument("file")
    commands.add_parser("compact", help="give the room of removed rows back to the disk")


def run(
    store: SqliteSettings | PostgresSettings | Book, args: argparse.Namespace, out: TextIO | None = None
) -> int:  # fmt: skip
    """The exit status. Raises Refused or BadStore."""
    if isinstance(store, SqliteSettings | PostgresSettings):
        book = open_book(store, create=args.record_command == "import")
    else:
        book = store
    try:
        return COMMANDS[args.record_command](book, args, out or sys.stdout)
    except sqlite3.Error as e:
        raise Refused(f"{book.name}: {' '.join(str(e).split())}") from None
    finally:
        book.close()


def _table(out: TextIO, head: tuple[str, ...], lines: Sequence[tuple[object, ...]]) -> None:
    texts = [head, *[tuple(str(v) for v in line) for line in lines]]
    widths = [max(len(t[n]) for t in texts) for n in range(len(head))]
    for t in texts:
        print("  ".join(v.ljust(w) for v, w in zip(t, widths, strict=True)).rstrip(), file=out)


def _when(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))


def _status(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    counts = {state: (count, oldest) for state, count, oldest in book.counts()}
    size, origins = book.size(), book.origins()
    if args.json:
        states = {s.value: counts.get(s.value, (0, None))[0] for s in State}
        copies = [{"taken_s": taken, "opened_s": opened} for taken, opened in origins]
        print(json.dumps({"store": book.name, "bytes": size, "states": states, "backups": copies}), file=out)
    else:
        lines = [(s.value, counts[s.value][0], _when(counts[s.value][1])) for s in State if s.value in counts]
        _table(out, ("state", "reports", "oldest (UTC)"), lines)
        print(f"{book.name}: {size / 2**20:.1f} MiB", file=out)
        for taken, opened in origins:
            since = f"in use since {_when(opened)}" if opened is not None else "not in use yet"
            print(f"a back-up of {_when(taken)} (UTC), {since}: what was held after it is not here", file=out)
    return LOOK if State.UNKNOWN.value in counts else FINE


def _list(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    state = State(args.state) if args.state else None
    found = [r for r, _ in zip(book.rows(state), range(args.limit), strict=False)]
    if args.json:
        for r in found:
            print(json.dumps(to_json(r)), file=out)
    else:
        lines = [
            (_when(r.received_s), r.state.value, r.id.tenant, r.id.kind, _text(r.id.key), _text(r.target))
            for r in found
        ]
        _table(out, ("received (UTC)", "state", "tenant", "class", "key", "target"), lines)
    return LOOK if any(r.state is State.UNKNOWN for r in found) else FINE


def _matching(book: Book, args: argparse.Namespace) -> list[Row]:
    key = args.key.encode("utf-8", "surrogateescape")
    found = [r for r in book.rows() if r.id.key == key]
    found = [r for r in found if args.tenant in (None, r.id.tenant) and args.kind in (None, r.id.kind)]
    if not found:
        raise Refused(f"no report with the key {args.key!r} is held")
    return found


def _show(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    found = _matching(book, args)
    for r in found:
        if args.json:
            print(json.dumps(to_json(r)), file=out)
            continue
        answer = f"{r.answer.status}, {len(r.answer.body)} bytes" if r.answer else "none"
        sent = _when(r.sent.wall_s) if r.sent else "never"
        lines: list[tuple[object, ...]] = [
            ("key", _text(r.id.key)), ("tenant", r.id.tenant), ("class", r.id.kind), ("state", r.state.value),
            ("request", f"{_text(r.method)} {_text(r.target)}"), ("received (UTC)", _when(r.received_s)),
            ("sent (UTC)", sent), ("nodes drop repeats for", f"{r.window_s:g} s"), ("answer", answer),
            *[("attempt (UTC)", f"{_when(a.at_s)} at {a.node}") for a in r.attempts],
            ("body", _text(r.body[:200])), ("note", r.note),
        ]  # fmt: skip
        _table(out, ("field", "value"), lines)
    return LOOK if any(r.state is State.UNKNOWN for r in found) else FINE


def _resolve(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    found = _matching(book, args)
    if len(found) > 1:
        raise Refused(f"{len(found)} reports have the key {args.key!r}: name --tenant and --class")
    r = found[0]
    if r.state is not State.UNKNOWN:
        raise Refused(f"{args.key!r} is {r.state.value}: only an unknown one can be resolved")
    if args.as_ == "ran":
        answer = Answer(200, b"Content-Type: text/plain\r\n", b"held; an operator has confirmed it\n")
        after = replace(r, state=State.CONFIRMED, answer=answer, note=args.note, told=False)
    else:
        after = replace(r, state=State.NOT_RUN, note=args.note, told=False)
    if not book.change(r, after):
        raise Refused(f"{args.key!r} has changed meanwhile")
    print(json.dumps(to_json(after)) if args.json else f"{args.key}: {after.state.value}", file=out)
    return FINE


def faults_of(r: Row) -> Iterator[str]:
    if r.state is State.CONFIRMED and r.answer is None:
        yield "confirmed without an answer"
    if r.told and r.state not in (State.SENT, State.UNKNOWN):
        yield f"{r.state.value}, and its client was told to come again"
    if r.state in (State.SENT, State.UNKNOWN) and r.sent is None:
        yield f"{r.state.value} without a time when it was sent"
    if not r.id.key or not r.digest:
        yield "without a key or a digest"


def _verify(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    found: list[str] = []
    count = 0
    for r in book.checked():
        if isinstance(r, str):
            found.append(r)
            continue
        count += 1
        found += [f"{_text(r.id.key)}: {fault}" for fault in faults_of(r)]
        if sys.stderr.isatty() and count % 1_000 == 0:
            print(f"\r{count} rows", end="", file=sys.stderr)
    if args.json:
        print(json.dumps({"rows": count, "faults": found}), file=out)
    else:
        for line in found:
            print(line, file=out)
        print(f"{count} rows, {len(found)} faults", file=out)
    return LOOK if found else FINE


def _export(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    book.begin(False)  # one view of all rows, whatever is written meanwhile
    try:
        with open(args.to, "w", encoding="utf-8") if args.to else nullcontext(out) as target:
            for r in book.rows():
                print(json.dumps(to_json(r)), file=target)
    except OSError as e:
        raise Refused(f"{args.to}: {e.strerror}") from None
    return FINE


def _import(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    new = there = 0
    other: list[str] = []
    try:
        with open(args.file, encoding="utf-8") as lines:
            book.begin(True)
            for number, line in enumerate(lines, 1):
                try:
                    r = from_json(json.loads(line))
                except (ValueError, KeyError, TypeError) as e:
                    what = f"line {number}: {type(e).__name__}: {e}; nothing was imported"
                    raise Refused(f"{args.file}: {what}") from None
                if r.state is State.SENT:
                    # Guards against a second effect: the clock that its window counts on is not this store's.
                    r = replace(r, state=State.UNKNOWN, note=r.note or "was sent when it was exported")
                if book.add(r):
                    new += 1
                    continue
                there += 1
                held = book.find(r.id)
                if held is not None and held.digest != r.digest:
                    other.append(_text(r.id.key))
            book.commit()
    except (OSError, UnicodeDecodeError) as e:
        raise Refused(f"{args.file}: {e}") from None
    if args.json:
        print(json.dumps({"new": new, "held": there, "another": other}), file=out)
    else:
        print(f"{new} new, {there} held already", file=out)
        for key in other:
            print(f"{key}: another report is held under this key", file=out)
    return LOOK if other else FINE


def _compact(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    before = book.size()
    book.compact()
    after = book.size()
    text = f"{before / 2**20:.1f} MiB before, {after / 2**20:.1f} MiB now"
    print(json.dumps({"before": before, "after": after}) if args.json else text, file=out)
    return FINE


def _backup(book: Book, args: argparse.Namespace, out: TextIO) -> int:
    def told(done: int, of: int) -> None:
        if sys.stderr.isatty():
            print(f"\r{done} of {of}", end="" if done < of else "\n", file=sys.stderr, flush=True)

    made = backup(book, Path(args.file), told)
    if args.json:
        print(json.dumps({"file": str(made.path), "rows": made.rows, "bytes": made.bytes}), file=out)
    else:
        print(f"{made.path}: {made.rows} rows, {made.bytes / 2**20:.1f} MiB, checked", file=out)
    return FINE


COMMANDS = {
    "status": _status, "list": _list, "show": _show, "resolve": _resolve, "verify": _verify,
    "export": _export, "import": _import, "compact": _compact,
    "backup": _backup,
}  # fmt: skip


# ---- rows as JSON; bytes as base64


def _text(value: bytes) -> str:
    return value.decode("utf-8", "backslashreplace")


def to_json(r: Row) -> dict[str, Any]:
    def b(value: bytes) -> str:
        return base64.b64encode(value).decode("ascii")

    answer = None
    if r.answer is not None:
        answer = {"status": r.answer.status, "more": b(r.answer.more), "body": b(r.answer.body)}
    return {
        "tenant": r.id.tenant, "class": r.id.kind, "key": b(r.id.key), "digest": b(r.digest),
        "method": b(r.method), "target": b(r.target), "more": b(r.more), "body": b(r.body),
        "state": r.state.value, "received_s": r.received_s, "sent": list(r.sent) if r.sent else None,
        "owner": r.owner, "window_s": r.window_s, "until_s": r.until_s, "answer": answer,
        "attempts": [[a.node, a.at_s] for a in r.attempts], "note": r.note, "told": r.told,
    }  # fmt: skip


def from_json(given: dict[str, Any]) -> Row:
    """Raises ValueError, KeyError or TypeError."""

    def b(value: Any) -> bytes:
        return base64.b64decode(value, validate=True)

    answer = given["answer"]
    sent = given["sent"]
    id = Id(str(given["tenant"]), str(given["class"]), b(given["key"]))
    moment = Moment(float(sent[0]), str(sent[1]), float(sent[2])) if sent is not None else None
    held = None
    if answer is not None:
        held = Answer(int(answer["status"]), b(answer["more"]), b(answer["body"]))
    attempts = tuple(Attempt(str(node), float(at)) for node, at in given["attempts"])
    return Row(
        id, b(given["digest"]), b(given["method"]), b(given["target"]), b(given["more"]), b(given["body"]),
        State(given["state"]), float(given["received_s"]), moment, str(given["owner"]),
        float(given["window_s"]), float(given["until_s"]), held, attempts, str(given["note"]),
        bool(given.get("told", False)),
    )  # fmt: skip


__all__ = ["BadStore", "Refused", "add_arguments", "from_json", "run", "to_json"]
