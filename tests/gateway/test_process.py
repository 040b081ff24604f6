"""Real processes: the command line, the reload, and that the platform's proxy loads nothing of this."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins import lab, ledger
from standins.world import ROOT, Plan, World
from tests.gateway.sites import run, until

EXAMPLE = ROOT / "deploy" / "gateway.toml"


def python(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    clean = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    return subprocess.run(
        [sys.executable, *args], cwd=ROOT, env={**clean, **env}, capture_output=True, text=True, timeout=60
    )


def test_the_platforms_proxy_loads_no_new_package() -> None:
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
    assert done.stderr.startswith("magpiefront: LB_CONFIG") and loaded <= {"ssl"}, loaded  # asyncio's own


def test_check_tells_good_from_bad(tmp_path: Path) -> None:
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


def test_without_its_libraries_an_operators_file_is_one_plain_line() -> None:
    program = (
        "import sys; sys.modules['msgspec'] = None; import magpiefront.__main__ as m; sys.exit(m.main())"
    )
    done = python("-c", program, "check", str(EXAMPLE))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "requirements-gateway.txt" in done.stderr


def test_a_gateway_address_that_is_taken_is_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        world = World(Plan(nodes=1), tmp_path)
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
            _, told = await second.communicate()
            assert second.returncode == 2 and b"can't listen for gateways" in told and told.count(b"\n") == 1
            assert p.process.returncode is None
        finally:
            await world.stop()

    run(main())


def test_sighup_takes_up_a_good_file_and_goes_on_with_a_bad_one(tmp_path: Path) -> None:
    async def main() -> None:
        world = World(Plan(nodes=1), tmp_path)
        await world.start()
        try:
            p = world.sites["west"].proxies[0]
            path = tmp_path / "west-0.toml"
            given = path.read_text()

            async def reload(text: str, told: str) -> None:
                path.write_text(text)
                p.process.send_signal(signal.SIGHUP)
                await until(lambda: told in p.log.read_text(), told)

            async def served_by(key: str) -> bytes:
                world.number += 1
                a = world.draw()
                a.site, a.key, a.kind, a.method, a.effect, a.once = "west", key, "level-read", "GET", "", ""
                await world.ask(a)
                assert a.status == 200
                return a.answers[0][2][:4]

            assert await served_by("e-1") == b"east"
            await reload(given + "\n[gateway.retries]\n", "reload: ")
            assert "[gateway] retries: unknown key; going on" in p.log.read_text()
            assert await served_by("e-1") == b"east"
            moved = given.replace('["e-"]', '["x-"]').replace('["w-"]', '["w-", "e-"]')
            moved = moved.replace("plain = true", "plain = true\n[gateway.link]\nconnections = 3", 1)
            path.write_text(moved)
            p.process.send_signal(signal.SIGHUP)
            for _ in range(400):
                if await served_by("e-1") == b"west":
                    break
            else:
                raise AssertionError("the new table did not come about")
            path.write_text(moved.replace(f":{p.gateway_port}", ":1", 1))
            p.process.send_signal(signal.SIGHUP)
            await until(lambda: "needs a restart" in p.log.read_text())
            assert p.process.returncode is None
        finally:
            await world.stop()
        assert world.sites["west"].proxies[0].process.returncode == 0

    run(main(), 60)


def test_a_planned_restart_of_the_other_site_loses_nothing(tmp_path: Path) -> None:
    """SIGTERM while requests cross: GOAWAY, what is open is finished, and the rest is told what holds."""

    async def main() -> None:
        world = World(Plan(nodes=2, crossing=1.0), tmp_path)
        await world.start()
        east = world.sites["east"].proxies[0]
        try:
            asks = []
            for i in range(300):
                a = world.draw()
                a.site, a.key = "west", f"e-{i}"
                asks.append(asyncio.create_task(world.ask(a, retries=0)))
                if i == 150:
                    east.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.004)
            await asyncio.gather(*asks)
            assert await east.process.wait() == 0
        finally:
            await world.stop()
        assert not ledger.faults(world.asks, world.effects(), world.strays(), 2.0)
        assert "goes away" in world.sites["west"].proxies[0].log.read_text()
        statuses = {(a.kind, a.status) for a in world.asks}
        assert ("level-read", 503) not in statuses and {s for _, s in statuses} <= {200, 503}

    run(main(), 60)


@pytest.mark.parametrize("faults", ["none", "mixed"])
def test_the_lab(faults: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert lab.main(["--seconds", "4", "--rate", "60", "--faults", faults, "--seed", "3"]) == 0
    told = capsys.readouterr()
    result = json.loads(told.out.splitlines()[-1])
    assert result["broken"] == [] and set(result["classes"]) == {"level-read", "field-report", "gauge-reset"}
    reads = result["classes"]["level-read"]
    assert reads["asked"] == reads["served"] + reads["refused"] + reads["failed"] and reads["crossed"] > 0
    assert ("the link: " in told.out) == (faults == "mixed") and "of 4 s" in told.err


def test_the_lab_without_a_link_and_with_bad_words() -> None:
    assert lab.main(["--sites", "1", "--seconds", "1", "--rate", "30", "--json"]) == 0
    for words in (["--seconds", "0"], ["--faults", "rain"], ["--sites", "9"]):
        with pytest.raises(SystemExit) as e:
            lab.main(words)
        assert e.value.code == 2
