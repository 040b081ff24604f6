"""The maintenance commands, with a client that returns scripted answers."""

from __future__ import annotations

import argparse
import io
from types import SimpleNamespace
from typing import Any, cast

import pytest

from magpiefront.commands import maintenance
from magpiefront.commands.group import EXIT_OK, EXIT_ATTENTION, CommandError
from magpiefront.operator.file import OperatorConfig

OPERATOR = cast(OperatorConfig, SimpleNamespace(path="x.toml", maintenance=object()))
NO_LEADER = CommandError("d0: it can't be read now: nobody leads")


def status(state: str, *lines: str) -> dict[str, Any]:
    return {"machines": {"m1": {"state": state}}, "plans": {}, "lines": list(lines)}


def watch(
    monkeypatch: pytest.MonkeyPatch, answers: list[dict[str, Any] | CommandError], most_s: float
) -> Any:  # fmt: skip
    """Runs `watch` with these answers; the last one repeats. Returns the exit status and the output."""
    remaining = list(answers)

    class GroupClient:
        def __init__(self, *_: object) -> None:
            pass

        def request(self, body: dict[str, Any]) -> dict[str, Any]:
            answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            if isinstance(answer, CommandError):
                raise answer
            return answer

    monkeypatch.setattr(maintenance, "GroupClient", GroupClient)
    monkeypatch.setattr(maintenance, "POLL_INTERVAL_S", 0.01)
    args = argparse.Namespace(maintenance_command="watch", at=None, json=False, most=most_s)
    output = io.StringIO()
    return maintenance.run(OPERATOR, args, output), output.getvalue()


def test_watch_continues_after_failed_requests(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    done = status("done", "m1 is out", "m1 is done")
    answers: list[dict[str, Any] | CommandError] = [status("out", "m1 is out"), NO_LEADER, NO_LEADER, done]
    assert watch(monkeypatch, answers, 0.0) == (EXIT_OK, "m1 is out\nm1 is done\n")
    assert capsys.readouterr().err == f"{NO_LEADER}; asking again\n"


def test_watch_without_answers_ends_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    assert watch(monkeypatch, [status("out"), NO_LEADER], 0.05)[0] == EXIT_ATTENTION


def test_watch_fails_if_its_first_request_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(CommandError, match="nobody leads"):
        watch(monkeypatch, [NO_LEADER], 0.0)
