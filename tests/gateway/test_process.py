"""Real processes: command line, reload, and the modules that a proxy without an operator file loads."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins import invariants, lab
from standins.world import ROOT, Deployment, Plan
from tests.gateway.sites import run, until

EXAMPLE = ROOT / "deploy" / "gateway.toml"


def python(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    clean = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    return subprocess.run(
        [sys.executable, *args], cwd=ROOT, env={**clean, **env}, capture_output=True, text=True, timeout=60
    )


def test_a_proxy_without_operator_file_loads_no_optional_package() -> None:
    program = (
        "import sys, magpiefront.__main__ as m; m.main([]); "
        "print(' '.join(n for n in sys.modules if n.split('.')[0] in "
        "('h2', 'hpack', 'hyperframe', 'msgspec', 'ssl', 'tomllib', 'standins', 'http_sf', "
        "'sqlite3', 'asyncpg') "
        "or n.startswith(('magpiefront.gateway', 'magpiefront.operator', 'magpiefront.caching', "
        "'magpiefront.record', 'magpiefront.net.passing', 'magpiefront.net.fields'))))"
    )
    done = python("-c", program, LB_CONFIG="/nowhere.json")
    loaded = set(done.stdout.split())
    # asyncio itself imports ssl.
    assert done.stderr.startswith("magpiefront: LB_CONFIG") and loaded <= {"ssl"}, loaded


def test_check_accepts_a_valid_file_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    good = python("-m", "magpiefront", "check", str(EXAMPLE))
    assert (good.returncode, good.stderr) == (0, "") and "good" in good.stdout
    bad = tmp_path / "bad.toml"
    bad.write_text(EXAMPLE.read_text().replace("[gateway.keyed]", "[gateway.keyed]\nmost = 1"))
    for args, env in (
        (("check", str(bad)), {}),
        (("--operator", str(bad)), {"LB_CONFIG": "c.json"}),
        ((), {"LB_CONFIG": "c.json", "LB_OPERATOR": str(bad)}),
    ):
        config = tmp_path / "c.json"
        config.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "settings": {
                        "grades": [{"name": "r", "sloUs": 1, "giveUpUs": 1}],
                        "permissions": {"maxAttempts": 1},
                        "rules": {"coldFrom": 1, "coldUs": 0},
                    },
                }
            )
        )
        env = {k: str(config) if v == "c.json" else v for k, v in env.items()}
        done = python("-m", "magpiefront", *args, **env)
        assert done.returncode == 2 and done.stderr.count("\n") == 1
        assert "[gateway.keyed] most: unknown key" in done.stderr


def test_missing_libraries_of_an_operator_file_are_reported_in_one_line() -> None:
    program = (
        "import sys; sys.modules['msgspec'] = None; import magpiefront.__main__ as m; sys.exit(m.main())"
    )
    done = python("-c", program, "check", str(EXAMPLE))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "requirements-gateway.txt" in done.stderr


def test_a_gateway_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        world = Deployment(Plan(nodes=1), tmp_path)
        await world.start()
        try:
            p = world.sites["west"].proxies[0]
            env = {**os.environ, "LB_CONFIG": str(tmp_path / "west-0.json"), "LB_LISTEN": "127.0.0.1:0"}
            second = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "magpiefront",
                "--operator",
                str(tmp_path / "west-0.toml"),
                cwd=ROOT,
                env=env,
                stderr=subprocess.PIPE,
            )
            _, stderr = await second.communicate()
            assert (
                second.returncode == 2 and b"can't listen for gateways" in stderr and stderr.count(b"\n") == 1
            )
            assert p.process.returncode is None
        finally:
            await world.stop()

    run(main())


def test_sighup_applies_a_valid_file_and_keeps_the_settings_for_an_invalid_one(tmp_path: Path) -> None:
    async def main() -> None:
        world = Deployment(Plan(nodes=1), tmp_path)
        await world.start()
        try:
            p = world.sites["west"].proxies[0]
            path = tmp_path / "west-0.toml"
            given = path.read_text()

            async def reload(text: str, expected: str) -> None:
                path.write_text(text)
                p.process.send_signal(signal.SIGHUP)
                await until(lambda: expected in p.log.read_text(), expected)

            async def served_by(key: str) -> bytes:
                world.request_count += 1
                a = world.next_request()
                a.site, a.key, a.kind, a.method, a.effect, a.idempotency_key = (
                    "west",
                    key,
                    "level-read",
                    "GET",
                    "",
                    "",
                )
                await world.send(a)
                assert a.status == 200
                return a.answers[0][2][:4]

            assert await served_by("e-1") == b"east"
            await reload(given + "\n[gateway.retries]\n", "reload: ")
            assert "[gateway] retries: unknown key; keeping" in p.log.read_text()
            assert await served_by("e-1") == b"east"
            moved = given.replace('["e-"]', '["x-"]').replace('["w-"]', '["w-", "e-"]')
            moved = moved.replace("plain = true", "plain = true\n[gateway.link]\nconnections = 3", 1)
            path.write_text(moved)
            p.process.send_signal(signal.SIGHUP)
            for _ in range(400):
                if await served_by("e-1") == b"west":
                    break
            else:
                raise AssertionError("the new table was not applied")
            path.write_text(moved.replace(f":{p.gateway_port}", ":1", 1))
            p.process.send_signal(signal.SIGHUP)
            await until(lambda: "needs a restart" in p.log.read_text())
            assert p.process.returncode is None
        finally:
            await world.stop()
        assert world.sites["west"].proxies[0].process.returncode == 0

    run(main(), 60)


def test_a_planned_restart_of_the_other_site_loses_nothing(tmp_path: Path) -> None:
    """SIGTERM while requests are forwarded: open ones are finished, later ones are refused or served here."""

    async def main() -> None:
        world = Deployment(Plan(nodes=2, crossing_share=1.0), tmp_path)
        await world.start()
        east = world.sites["east"].proxies[0]
        try:
            tasks = []
            for i in range(300):
                a = world.next_request()
                a.site, a.key = "west", f"e-{i}"
                tasks.append(asyncio.create_task(world.send(a, retries=0)))
                if i == 150:
                    east.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.004)
            await asyncio.gather(*tasks)
            assert await east.process.wait() == 0
        finally:
            await world.stop()
        assert not invariants.violations(world.requests, world.effects(), world.unsolicited(), 2.0)
        assert "goes away" in world.sites["west"].proxies[0].log.read_text()
        statuses = {(a.kind, a.status) for a in world.requests}
        assert ("level-read", 503) not in statuses and {s for _, s in statuses} <= {200, 503}

    run(main(), 60)


@pytest.mark.parametrize("faults", ["none", "mixed"])
def test_the_lab(faults: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert lab.main(["--seconds", "4", "--rate", "60", "--faults", faults, "--seed", "3"]) == 0
    output = capsys.readouterr()
    result = json.loads(output.out.splitlines()[-1])
    assert result["broken"] == [] and set(result["classes"]) == {"level-read", "field-report", "gauge-reset"}
    reads = result["classes"]["level-read"]
    assert reads["asked"] == reads["served"] + reads["refused"] + reads["failed"] and reads["crossed"] > 0
    assert ("the link: " in output.out) == (faults == "mixed") and "of 4 s" in output.err


def test_the_lab_without_a_link_and_with_invalid_arguments() -> None:
    assert lab.main(["--sites", "1", "--seconds", "1", "--rate", "30", "--json"]) == 0
    for words in (["--seconds", "0"], ["--faults", "rain"], ["--sites", "9"]):
        with pytest.raises(SystemExit) as e:
            lab.main(words)
        assert e.value.code == 2
