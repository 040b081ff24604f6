"""An upgrade of a group's member breaks off the reports that it has in hand, with no answer."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.bed import TROUBLE, Bed, CannotRun, Message, Process, free_port, response, run_case

WORK_S = 0.18  # of a report, most of it at the archive
SLOWDOWN = 7.6  # of the archive
DEADLINE_S = 3.0
CLIENTS = 12
RUN_S = 12.0
UPGRADE_AT_S, SIGTERM_AFTER_S = 3.0, 4.0  # the latter from the new process's yes: 6 s at most
NAMES = ("w1", "w2", "w3")


async def case(bed: Bed) -> None:
    random = Random(3)
    ran: dict[str, float] = {}

    async def node(m: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, target, _ = m.start.split(" ")
        if target.startswith("/health"):
            writer.write(response(200))
            return
        if "req-id" not in m.headers:
            writer.write(response(404))
            return
        key, now = m.headers.get("idempotency-key", ""), time.monotonic()
        if now - ran.get(key, -60.0) >= 5.0:
            ran[key] = now
            bed.write("ran", f"{method} {target} {key} id={m.headers['req-id']}")
            await asyncio.sleep(WORK_S * (SLOWDOWN if TROUBLE else 1.0))
        writer.write(response(200, b"held " + key.encode()))

    ports = [await bed.serve(node) for _ in range(6)]
    await bed.start_discovery([
        {"instanceId": f"box-{n}", "hostPort": f"127.0.0.1:{port}", "zone": "baganuur",
         "machineType": "box-4core", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
        for n, port in enumerate(ports)
    ])  # fmt: skip
    group_ports = {name: free_port() for name in NAMES}
    members = "\n".join(f'{n} = "127.0.0.1:{p}"' for n, p in group_ports.items())
    proxies: dict[str, Process] = {}
    for name in NAMES:
        operator = (
            f'[site]\nname = "west"\n[group]\nmember = "{name}"\npath = "group.sqlite"\n'
            f'voters = ["w1", "w2", "w3"]\nlisten = "127.0.0.1:{group_ports[name]}"\n'
            f"tls = {{ plain = true }}\n[group.members]\n{members}\n"
            f'[record]\n[record.sqlite]\npath = "{bed.folder}/record.sqlite"\n'
        )
        env = {"LB_ADMIN": f"127.0.0.1:{free_port()}"}
        proxies[name] = Process(bed, name, bed.config(name), operator, env)
    for p in proxies.values():
        await p.spawn()
    for p in proxies.values():
        await p.ready()
    target = proxies["w1"]
    for _ in range(200):  # until this member may act
        if "svc_group_acts 1" in await target.admin(target.env["LB_ADMIN"], "show-stat"):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the group does not begin")
    began = time.monotonic()
    killed = False  # from here on a connection that breaks is no fault of a running proxy

    async def client(n: int) -> None:
        sent = 0
        while time.monotonic() < began + RUN_S:
            sent += 1
            key = f"report-{n}-{sent}"
            for tag in ("", "again"):
                answer = await bed.request(
                    target.port, "PUT", f"w-gauge-{n}", "field-report", DEADLINE_S, key, b"level=3.2", tag=tag
                )
                if not answer.status and not killed and answer.why != "no connection":
                    bed.violation(
                        f"report {key}: taken by a running proxy and not answered: {answer.why} "
                        f"after {answer.after_s:.3f} s of {DEADLINE_S} s"
                    )
                if answer.status == 200:
                    break
            await asyncio.sleep(random.uniform(0.0, 0.3))

    async def upgrade() -> None:
        await asyncio.sleep(UPGRADE_AT_S)
        old = target.process
        assert old is not None
        target.env["LB_ADMIN"] = f"127.0.0.1:{free_port()}"
        bed.write("upgrade", "the next process of w1 is started")
        new = await target.spawn()
        for _ in range(400):
            if new.returncode is not None:
                raise CannotRun("the next process ended")
            with suppress(OSError, TimeoutError):
                if (await target.admin(target.env["LB_ADMIN"], "ready")).startswith("OK"):
                    break
            await asyncio.sleep(0.05)
        bed.write("upgrade", "the next process says yes")
        await asyncio.sleep(SIGTERM_AFTER_S)
        bed.write(
            "upgrade", f"SIGTERM to the old process, which {'runs' if old.returncode is None else 'ended'}"
        )
        if old.returncode is None:
            old.send_signal(SIGTERM)
        await old.wait()

    work = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    if TROUBLE:
        await upgrade()
    await asyncio.gather(*work)


run_case(str(Path(__file__).parent), case)
