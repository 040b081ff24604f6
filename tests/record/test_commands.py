"""The `record` commands of the command line."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from magpiefront.__main__ import main
from magpiefront.record.commands import from_json, to_json
from magpiefront.record.rows import Answer, Attempt, Id, Moment, Row, State
from magpiefront.record.sqlite import open_file, encode_row, INSERT, rows
from standins.pgserver import PgServer
from tests.record.test_journal import row

CONFIRMED = row(
    state=State.CONFIRMED, answer=Answer(201, b"A: b\r\n", bytes(range(256))), note="n",
    attempts=(Attempt("s-1", 1.5),), sent=Moment(1.0, "b", 2.0),
)  # fmt: skip


@pytest.fixture
def file(tmp_path: Path) -> Path:
    (tmp_path / "operator.toml").write_text(
        '[site]\nname = "west"\n[record.sqlite]\npath = "r.sqlite"\n'.replace(
            "[record", "[record]\n[record", 1
        )
    )
    return tmp_path / "operator.toml"


def insert_rows(file: Path, *new_rows: Row) -> None:
    db = open_file(file.parent / "r.sqlite")
    for r in new_rows:
        db.execute(INSERT, encode_row(r))
    db.close()


def read_rows(file: Path) -> list[Row]:
    db = open_file(file.parent / "r.sqlite")
    found = list(rows(db))
    db.close()
    return found


def run_command(capsys: pytest.CaptureFixture[str], file: Path, *args: str) -> tuple[int, str, str]:
    status = main(["record", "--operator", str(file), *args])
    output = capsys.readouterr()
    return status, output.out, output.err


def test_status_and_list_show_unknown_reports(file: Path, capsys: Any) -> None:
    insert_rows(file, CONFIRMED, replace(row(), id=Id("t", "k", b"k2")))
    assert run_command(capsys, file, "status")[0] == 0
    insert_rows(file, replace(row(state=State.UNKNOWN), id=Id("t", "k", b"k\xff3")))
    status, out, _ = run_command(capsys, file, "status")
    assert status == 1 and "unknown" in out and "confirmed" in out and "MiB" in out
    status, out, _ = run_command(capsys, file, "--json", "status")
    assert json.loads(out)["states"] == {"stored": 0, "sent": 1, "confirmed": 1, "unknown": 1, "not-run": 0}
    status, out, _ = run_command(capsys, file, "list", "--state", "unknown")
    assert status == 1 and out.count("\n") == 2 and "k\\xff3" in out
    status, out, _ = run_command(capsys, file, "--json", "list", "--limit", "2")
    assert len(out.splitlines()) == 2


def test_show_and_resolve(file: Path, capsys: Any) -> None:
    unknown = row(state=State.UNKNOWN)
    insert_rows(file, unknown, replace(unknown, id=Id("others", "field-report", b"k1")))
    status, out, _ = run_command(capsys, file, "show", "k1")
    assert status == 1 and out.count("PUT /api/k1") == 2
    status, _, err = run_command(capsys, file, "resolve", "k1", "--as", "ran", "--note", "seen at the gauge")
    assert status == 2 and "give --tenant" in err and err.count("\n") == 1
    arguments = ("resolve", "k1", "--tenant", "members", "--as", "ran", "--note", "seen at the gauge")
    assert run_command(capsys, file, *arguments)[0] == 0
    status, _, err = run_command(capsys, file, *arguments)
    assert status == 2 and "only an unknown report" in err
    assert (
        run_command(capsys, file, "resolve", "k1", "--tenant", "others", "--as", "not-run", "--note", "no")[0]
        == 0
    )
    states = {r.id.tenant: (r.state, r.note) for r in read_rows(file)}
    assert states == {"members": (State.CONFIRMED, "seen at the gauge"), "others": (State.NOT_RUN, "no")}
    assert run_command(capsys, file, "show", "k1")[0] == 0
    status, _, err = run_command(capsys, file, "show", "nothing")
    assert status == 2 and "no report with the key" in err


def test_a_repeated_import_adds_nothing(file: Path, capsys: Any, tmp_path: Path) -> None:
    exported = [CONFIRMED, row(state=State.STORED, sent=None, answer=None)]
    exported[1] = replace(exported[1], id=Id("t", "k", b"\0\xff" * 5_000))
    insert_rows(file, *exported)
    copy = tmp_path / "copy.ndjson"
    assert run_command(capsys, file, "export", "--to", str(copy))[0] == 0
    status, out, _ = run_command(capsys, file, "export")
    assert out == copy.read_text() and out.count("\n") == 2
    (tmp_path / "r.sqlite").rename(tmp_path / "old.sqlite")
    for expected in ({"new": 2, "held": 0, "another": []}, {"new": 0, "held": 2, "another": []}):
        status, out, _ = run_command(capsys, file, "--json", "import", str(copy))
        assert status == 0 and json.loads(out) == expected
    assert read_rows(file) == sorted(exported, key=lambda r: r.received_s)
    copy.write_text(json.dumps(to_json(replace(row(), id=Id("t", "k", b"open")))) + "\n")
    assert run_command(capsys, file, "import", str(copy))[0] == 0
    assert [r.state for r in read_rows(file) if r.id.key == b"open"] == [
        State.UNKNOWN
    ]  # not sent again, because its window is measured by another clock
    changed = to_json(replace(CONFIRMED, digest=b"other"))
    copy.write_text(json.dumps(changed) + "\n")
    status, out, _ = run_command(capsys, file, "import", str(copy))
    assert (
        status == 1
        and "another report exists under this key" in out
        and all(r.digest == b"d" for r in read_rows(file))
    )


@pytest.mark.parametrize("line", ["{", "{}", '"x"', "[]", json.dumps({**to_json(CONFIRMED), "state": "gone"}),
                                  json.dumps({**to_json(CONFIRMED), "key": "?"})])  # fmt: skip
def test_nothing_is_imported_if_a_line_cannot_be_read(
    line: str, file: Path, capsys: Any, tmp_path: Path
) -> None:
    copy = tmp_path / "copy.ndjson"
    copy.write_text(json.dumps(to_json(CONFIRMED)) + "\n" + line + "\n")
    status, _, err = run_command(capsys, file, "import", str(copy))
    assert status == 2 and "line 2" in err and err.count("\n") == 1 and read_rows(file) == []


def test_rows_are_unchanged_by_json() -> None:
    for r in (CONFIRMED, row(sent=None), row(state=State.STORED, note="\u2603")):
        assert from_json(json.loads(json.dumps(to_json(r)))) == r


def test_verify_finds_faulty_rows(file: Path, capsys: Any, tmp_path: Path) -> None:
    insert_rows(file, CONFIRMED, replace(row(), id=Id("t", "k", b"k2")))
    status, out, _ = run_command(capsys, file, "verify")
    assert status == 0 and "2 rows, 0 faults" in out
    db = sqlite3.connect(tmp_path / "r.sqlite")
    db.execute("UPDATE reports SET status = NULL WHERE state = 'confirmed'")
    db.execute("UPDATE reports SET state = 'odd' WHERE state = 'sent'")
    db.commit()
    db.close()
    status, out, _ = run_command(capsys, file, "--json", "verify")
    found = json.loads(out)
    assert status == 1 and len(found["faults"]) == 2 and "confirmed without an answer" in out


def test_compact_shrinks_the_file(file: Path, capsys: Any, tmp_path: Path) -> None:
    insert_rows(file, *[replace(row(body=b"x" * 4_000), id=Id("t", "k", b"%d" % n)) for n in range(200)])
    db = sqlite3.connect(tmp_path / "r.sqlite")
    db.execute("DELETE FROM reports WHERE key <> ?", (b"7",))
    db.commit()
    db.close()
    status, out, _ = run_command(capsys, file, "--json", "compact")
    sizes = json.loads(out)
    assert status == 0 and sizes["after"] < sizes["before"] / 5 and len(read_rows(file)) == 1


@pytest.mark.parametrize("options", [(), ("--operator", "nowhere.toml")])
def test_a_missing_operators_file_gives_an_error_of_one_line(
    options: tuple[str, ...], capsys: Any, monkeypatch: Any
) -> None:
    monkeypatch.delenv("LB_OPERATOR", raising=False)
    assert main(["record", *options, "status"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_a_missing_store_or_section_gives_an_error_of_one_line(file: Path, capsys: Any) -> None:
    status, _, err = run_command(capsys, file, "status")
    assert status == 2 and "no such file" in err and err.count("\n") == 1
    file.write_text('[site]\nname = "west"\n')
    status, _, err = run_command(capsys, file, "status")
    assert status == 2 and "[record] is missing" in err


def test_the_same_commands_over_postgres(file: Path, capsys: Any, tmp_path: Path) -> None:
    """Exports rows from SQLite and imports them into a PostgreSQL server, which runs in another thread."""
    ready, stop = threading.Event(), threading.Event()
    server = PgServer()

    def serve() -> None:
        async def main() -> None:
            await server.start()
            ready.set()
            while not stop.is_set():
                await asyncio.sleep(0.01)
            server.stop()

        asyncio.run(main())

    # Only the stand-in's own thread uses this database once it runs.
    server.db = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
    server.db.create_function("pg_now", 0, time.time)
    server.db.create_function("pg_total_relation_size", 1, lambda _: 8192)
    thread = threading.Thread(target=serve)
    thread.start()
    try:
        assert ready.wait(20)
        unknown = replace(row(state=State.UNKNOWN), id=Id("t", "k", b"k2"))
        insert_rows(file, CONFIRMED, unknown)
        copy = tmp_path / "copy.ndjson"
        run_command(capsys, file, "export", "--to", str(copy))
        file.write_text(f'[site]\nname = "west"\n[record.postgres]\ndsn = "{server.dsn}"\n')
        for expected in ((2, 0), (0, 2)):
            status, out, _ = run_command(capsys, file, "--json", "import", str(copy))
            found = json.loads(out)
            assert status == 0 and (found["new"], found["held"]) == expected
        status, out, _ = run_command(capsys, file, "--json", "status")
        assert status == 1 and json.loads(out)["states"]["unknown"] == 1
        assert run_command(capsys, file, "resolve", "k2", "--as", "not-run", "--note", "no")[0] == 0
        status, out, _ = run_command(capsys, file, "show", "k2")
        assert status == 0 and "not-run" in out
        assert run_command(capsys, file, "verify")[0] == 0 and run_command(capsys, file, "compact")[0] == 0
        to = tmp_path / "backup.sqlite"  # one snapshot, in a store of its own
        assert run_command(capsys, file, "backup", str(to))[1].startswith(f"{to}: 2 rows, ")
        db = open_file(to, create=False)
        assert {r.id.key: r.state for r in rows(db)} == {
            CONFIRMED.id.key: State.CONFIRMED,
            b"k2": State.NOT_RUN,
        }
        db.close()
        status, out, _ = run_command(capsys, file, "export")
        bodies = {json.loads(line)["body"] for line in out.splitlines()}
        assert bodies == {json.loads(line)["body"] for line in copy.read_text().splitlines()}
        assert run_command(capsys, file, "list", "--state", "confirmed")[1].count("\n") == 2
    finally:
        stop.set()
        thread.join()
    status, _, err = run_command(capsys, file, "status")
    assert status == 2 and err.startswith("magpiefront: postgres: ") and err.count("\n") == 1
