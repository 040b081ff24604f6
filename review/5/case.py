"""A cache node that was taken out by hand gets requests after an upgrade that turns maintenance on."""

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

NAMES = ("w1", "w2", "w3")
NODES = 6
OUT = "box-0"
GRACE_S = 0.5 + 0.05  # of the rule on drains, with the 50 ms that each limit is longer on sockets
CLIENTS = 8
BEFORE_S, AFTER_S = 3.0, 8.0
SIGTERM_AFTER_S = 4.0  # from the new process's yes: 6 s at most


async def case(bed: Bed) -> None:
    random = Random(5)
    got: dict[str, list[float]] = {}  # when each node got something, by its id

    def node(name: str):  # type: ignore[no-untyped-def]
        async def handle(m: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.setdefault(name, []).append(time.monotonic())
            if name == OUT:
                bed.write(f"{name} got", f"{m.start} id={m.headers.get('req-id', 'none')}")
            await asyncio.sleep(0.01)
            writer.write(response(200, b"level=3.2", "Srv-Cache: hit\r\n"))

        return handle

    await bed.start_discovery([
        {"instanceId": f"box-{n}", "hostPort": f"127.0.0.1:{await bed.serve(node(f'box-{n}'))}",
         "zone": "baganuur", "machineType": "box-4core", "cell": 0, "lifecycle": "Ready", "weight": 1.0,
         "startedAtMs": 0}
        for n in range(NODES)
    ])  # fmt: skip
    group_ports = {name: free_port() for name in NAMES}
    members = "\n".join(f'{n} = "127.0.0.1:{p}"' for n, p in group_ports.items())
    machines = "".join(
        f'[maintenance.machines.rack{n}]\nnodes = ["box-{2 * n}", "box-{2 * n + 1}"]\n' for n in range(3)
    )
    files = {
        name: (
            f'[site]\nname = "west"\n[group]\nmember = "{name}"\npath = "group.sqlite"\n'
            f'voters = ["w1", "w2", "w3"]\nlisten = "127.0.0.1:{group_ports[name]}"\n'
            f"tls = {{ plain = true }}\n[group.members]\n{members}\n"
        )
        for name in NAMES
    }
    proxies = {
        name: Process(bed, name, bed.config(name), files[name], {"LB_ADMIN": f"127.0.0.1:{free_port()}"})
        for name in NAMES
    }
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
    answer = await target.admin(target.env["LB_ADMIN"], f"disable-server {OUT}")
    bed.write("operator", f"disable-server {OUT}: {answer.strip()}")
    if not answer.startswith("OK"):
        raise CannotRun(answer)
    out_at = time.monotonic()
    end = began + BEFORE_S + AFTER_S

    async def client(n: int) -> None:
        while time.monotonic() < end:
            await bed.request(target.port, "GET", f"w-gauge-{random.randrange(300)}", "level-read", 2.0)
            await asyncio.sleep(0.02)

    async def upgrade() -> None:
        await asyncio.sleep(BEFORE_S)
        old = target.process
        assert old is not None
        target.env["LB_ADMIN"] = f"127.0.0.1:{free_port()}"
        file = files["w1"] + '[maintenance]\npath = "machines"\n' + machines
        (target.folder / "operator.toml").write_text(file)
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
        if old.returncode is None:
            old.send_signal(SIGTERM)
        await old.wait()
        bed.write("upgrade", "the old process has ended")

    work = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    if TROUBLE:
        await upgrade()
    await asyncio.gather(*work)
    late = [at for at in got.get(OUT, []) if at > out_at + GRACE_S]
    bed.write("counts", ", ".join(f"{name}: {len(at)}" for name, at in sorted(got.items())))
    if late:
        bed.violation(
            f"{OUT} got {len(late)} requests later than {GRACE_S} s after the OK to disable-server, the "
            f"first {late[0] - out_at:.2f} s after it; nobody has put it back"
        )


run_case(str(Path(__file__).parent), case)
