"""Tests the cache in real processes: the conformance command, reloads and restarts."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins import http
from standins.conformance.archive import RequestLog, ScriptedArchive
from standins.conformance.case import Step, cache_control
from standins.conformance.proxy_process import OPERATOR_TOML, ProxyProcess
from standins.conformance.runner import CaseRunner
from standins.world import ROOT, RunFailed
from tests.sockets import until

PLATFORM_FIELDS = "Req-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline: 9.000\r\n"
DISK = OPERATOR_TOML + '[caching.disk]\npath = "cache.sqlite"\nwait = "5s"\n'


def test_the_conformance_command_starts_a_process_and_passes() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "standins.conformance", "--only", "5.2.2", "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=120,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(done.stdout.splitlines()[-1])
    assert found["failed"] == 0 and found["required"] >= 15 and found["faults"] == []


async def get_response(runner: CaseRunner) -> http.Message:
    """Sends a request until it is not refused. On a busy machine a late loop refuses requests with 503."""
    for _ in range(100):
        m = await runner._send_request(Step(), "/case1")
        if " 503 " not in f"{m.start} ":
            return m
        await asyncio.sleep(0.05)
    raise AssertionError("every request was refused")


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_the_disk_tier_outlives_its_process(signal_number: signal.Signals, tmp_path: Path) -> None:
    """After a clean stop stored responses are served at once, after a kill only once they are validated."""

    async def main() -> None:
        archive = ScriptedArchive()
        await archive.start()
        request_log = archive.request_logs["case1"] = RequestLog()
        archive.current_responses["case1"] = cache_control("max-age=600", ("ETag", '"1"'))
        try:
            async with ProxyProcess(archive, tmp_path, DISK) as proxy:
                runner = CaseRunner("127.0.0.1", proxy.port, archive, PLATFORM_FIELDS)
                for _ in range(2):
                    assert (await get_response(runner)).body == b"one"
                assert len(request_log.requests) == 1 and proxy.process is not None
                # Waits until the response is written; a kill before that would only cause a miss.
                await until(lambda: (tmp_path / "cache.sqlite-wal").stat().st_size > 0)
                await asyncio.sleep(0.2)
                proxy.process.send_signal(signal_number)
                await proxy.process.wait()
            archive.current_responses["case1"] = cache_control("max-age=600", ("ETag", '"1"'), status=304)
            async with ProxyProcess(archive, tmp_path, DISK) as proxy:
                runner = CaseRunner("127.0.0.1", proxy.port, archive, PLATFORM_FIELDS)
                m = await get_response(runner)
                if signal_number is signal.SIGTERM:
                    assert (
                        m.body == b"one"
                        and len(request_log.requests) == 1
                        and "hit" in m.headers["cache-status"]
                    )
                else:
                    assert len(request_log.requests) == 2 and request_log.requests[1].headers.get(
                        "if-none-match"
                    ) in (
                        '"1"',
                        None,
                    )
        finally:
            archive.stop()

    asyncio.run(asyncio.wait_for(main(), 60))


def test_an_unusable_file_fails_the_start_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "cache.sqlite").mkdir()

    async def main() -> str:
        archive = ScriptedArchive()
        await archive.start()
        try:
            with pytest.raises(RunFailed, match=r"\[caching.disk\] path"):
                async with ProxyProcess(archive, tmp_path, DISK):
                    pass
            return (tmp_path / "log").read_text()
        finally:
            archive.stop()

    log = asyncio.run(asyncio.wait_for(main(), 60))
    assert log.count("\n") == 1 and log.startswith("magpiefront: ")


def test_a_reload_applies_valid_settings_and_rejects_invalid_ones(tmp_path: Path) -> None:
    async def main() -> None:
        archive = ScriptedArchive()
        await archive.start()
        request_log = archive.request_logs["case1"] = RequestLog()
        archive.current_responses["case1"] = cache_control("max-age=600")
        try:
            async with ProxyProcess(archive, tmp_path) as proxy:
                runner = CaseRunner("127.0.0.1", proxy.port, archive, PLATFORM_FIELDS)
                await get_response(runner)
                assert proxy.process is not None
                file, log = tmp_path / "operator.toml", tmp_path / "log"
                file.write_text(OPERATOR_TOML + 'most_bytes = "lots"\n')
                proxy.process.send_signal(signal.SIGHUP)
                await until(lambda: "[caching] most_bytes" in log.read_text())
                assert "hit" in (await get_response(runner)).headers["cache-status"]
                file.write_text(OPERATOR_TOML + 'name = "renamed"\nclasses = ["another"]\n')
                proxy.process.send_signal(signal.SIGHUP)

                async def is_renamed() -> bool:
                    m = await get_response(runner)
                    return m.headers["cache-status"] == "renamed;fwd=bypass"

                for _ in range(500):
                    if await is_renamed():
                        break
                    await asyncio.sleep(0.01)
                assert await is_renamed() and len(request_log.requests) > 1
        finally:
            archive.stop()

    asyncio.run(asyncio.wait_for(main(), 60))
