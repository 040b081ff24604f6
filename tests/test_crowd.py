"""Difficult clients and nodes against one proxy process (`standins.crowd`): nothing here depends on speed."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

import uvloop

from standins.crowd import play
from standins.world import ROOT

MEMORY_MB, LEAST_MEMORY_MB = 64, 32  # the second is the least that the pages name
PEAK_SHARE = 0.95  # of the limit, the most that a process may take


def run_kind(
    name: str, folder: Path, clients: int = 100, seconds: float = 2.0, memory_mb: int = MEMORY_MB,
    rounds: int = 1, settle: float = 0.0,
) -> dict[str, Any]:  # fmt: skip
    args = argparse.Namespace(
        tree=ROOT,
        keep=folder,
        memory_mb=memory_mb,
        sockets=1024,
        clients=clients,
        seconds=seconds,
        busy=0,
        nodes=6,
        rounds=rounds,
        settle=settle,
    )
    result = uvloop.run(play(name, args))
    assert not result["crashed"] and result["peak_mb"] <= memory_mb * PEAK_SHARE
    return result


def test_every_request_of_a_long_pipeline_is_answered(tmp_path: Path) -> None:
    result = run_kind("pipeline", tmp_path)
    assert result["missing"] == 0 and set(result["answers"]) <= {"200", "503"}


def test_heads_of_many_short_fields_stay_within_the_memory_limit(tmp_path: Path) -> None:
    run_kind("many_fields", tmp_path, clients=600)


def test_clients_that_read_slowly_stay_within_the_memory_limit(tmp_path: Path) -> None:
    run_kind("slow_readers", tmp_path, clients=500)


def test_an_answer_that_trickles_is_passed_on_whole(tmp_path: Path) -> None:
    assert run_kind("trickled_answers", tmp_path)["answers"] == {"200": 10}


def test_no_returning_id_runs_twice(tmp_path: Path) -> None:
    assert run_kind("returning_ids", tmp_path)["twice"] == 0


def test_all_kinds_of_crowds_at_once_stay_within_the_least_memory(tmp_path: Path) -> None:
    run_kind("mixed", tmp_path, clients=600, memory_mb=LEAST_MEMORY_MB)


def test_no_crowd_leaves_more_memory_behind_than_the_one_before(tmp_path: Path) -> None:
    result = run_kind("slow_readers", tmp_path, clients=300, rounds=3)
    assert result["after_mb"][2] <= result["after_mb"][0] * 1.15


def test_memory_after_a_crowd_is_that_of_before(tmp_path: Path) -> None:
    result = run_kind("slow_readers", tmp_path, clients=700, seconds=4.0, settle=10.0)
    assert result["after_mb"][0] <= result["at_rest_mb"] * 1.15


def test_bodies_that_stop_half_way_stay_within_the_memory_limit(tmp_path: Path) -> None:
    run_kind("large_half_bodies", tmp_path, clients=600)
