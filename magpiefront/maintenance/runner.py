"""The operator's command for one machine: an argument list without a shell, its time and output bounded."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import deque
from contextlib import suppress

from magpiefront.maintenance.facts import Slot
from magpiefront.maintenance.plan import Plan

TAIL = 4_096  # bytes of what it prints that are kept
TERM_S = 5.0  # from asking it to end to ending it
PART = 65_536


def environment(slot: Slot, plan: Plan) -> dict[str, str]:
    return {**os.environ, "LB_MACHINE": slot.machine, "LB_GRANT": str(slot.epoch), "LB_PLAN": plan.id}


async def run(plan: Plan, slot: Slot) -> str:
    """Why it failed; empty where it went well. It stands in a session of its own, so that what it started
    ends with it, and so that it outlives this process."""
    pipe, none = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
    try:
        process = await asyncio.create_subprocess_exec(
            *plan.command, env=environment(slot, plan), start_new_session=True,
            stdin=none, stdout=pipe, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
    except (OSError, ValueError) as e:
        return f"{plan.command[0]} can't be started: {e}"
    tail: deque[bytes] = deque()
    reading = asyncio.create_task(_read(process, tail))
    late = False
    try:
        async with asyncio.timeout(plan.limits.most_work_s):
            await process.wait()
    except TimeoutError:
        late = True
        await _end(process)
    with suppress(TimeoutError):  # what it started may hold the pipe open
        async with asyncio.timeout(1.0):
            await reading
    reading.cancel()
    said = b"".join(tail)[-TAIL:].decode("utf-8", "replace").strip().rpartition("\n")[2]
    if late:
        return f"{plan.command[0]} had not ended after {plan.limits.most_work_s:.0f} s"
    if process.returncode:
        return f"{plan.command[0]} ended with {process.returncode}{f': {said[:200]}' if said else ''}"
    return ""


async def _read(process: asyncio.subprocess.Process, tail: deque[bytes]) -> None:
    assert process.stdout is not None
    kept = 0
    while data := await process.stdout.read(PART):
        tail.append(data[-TAIL:])
        kept += len(tail[-1])
        while kept - len(tail[0]) >= TAIL:
            kept -= len(tail.popleft())


async def _end(process: asyncio.subprocess.Process) -> None:
    for number in (signal.SIGTERM, signal.SIGKILL):
        with suppress(ProcessLookupError):
            os.killpg(process.pid, number)
        with suppress(TimeoutError):
            async with asyncio.timeout(TERM_S):
                await process.wait()
                return
