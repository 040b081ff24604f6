"""Runs the operator's command for one machine: without a shell, and with bounded time and output."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import deque
from contextlib import suppress

from magpiefront.maintenance.state_machine import Job
from magpiefront.maintenance.plan import Plan

MAX_OUTPUT_BYTES = 4_096  # only the end of the output is kept
TERMINATE_GRACE_S = 5.0  # from SIGTERM to SIGKILL
READ_CHUNK_BYTES = 65_536


def environment(job: Job, plan: Plan) -> dict[str, str]:
    """Returns the environment of the command."""
    return {**os.environ, "LB_MACHINE": job.machine, "LB_GRANT": str(job.grant_number), "LB_PLAN": plan.id}


async def run(plan: Plan, job: Job) -> str:
    """Runs the command and returns why it failed, or "". Ends it if it takes longer than `most_work_s`. The
    command gets its own session: it can then be ended together with its child processes, and it is not ended
    when this process ends."""
    pipe, devnull = asyncio.subprocess.PIPE, asyncio.subprocess.DEVNULL
    try:
        process = await asyncio.create_subprocess_exec(
            *plan.command, env=environment(job, plan), start_new_session=True,
            stdin=devnull, stdout=pipe, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
    except (OSError, ValueError) as e:
        return f"{plan.command[0]} can't be started: {e}"
    tail: deque[bytes] = deque()
    reader = asyncio.create_task(_read_output(process, tail))
    timed_out = False
    try:
        async with asyncio.timeout(plan.limits.most_work_s):
            await process.wait()
    except TimeoutError:
        timed_out = True
        await _terminate(process)
    with suppress(TimeoutError):  # a child process may keep the pipe open
        async with asyncio.timeout(1.0):
            await reader
    reader.cancel()
    output = b"".join(tail)[-MAX_OUTPUT_BYTES:].decode("utf-8", "replace").strip().rpartition("\n")[2]
    if timed_out:
        return f"{plan.command[0]} had not ended after {plan.limits.most_work_s:.0f} s"
    if process.returncode:
        return f"{plan.command[0]} ended with {process.returncode}{f': {output[:200]}' if output else ''}"
    return ""


async def _read_output(process: asyncio.subprocess.Process, tail: deque[bytes]) -> None:
    assert process.stdout is not None
    size = 0
    while data := await process.stdout.read(READ_CHUNK_BYTES):
        tail.append(data[-MAX_OUTPUT_BYTES:])
        size += len(tail[-1])
        while size - len(tail[0]) >= MAX_OUTPUT_BYTES:
            size -= len(tail.popleft())


async def _terminate(process: asyncio.subprocess.Process) -> None:
    for number in (signal.SIGTERM, signal.SIGKILL):
        with suppress(ProcessLookupError):
            os.killpg(process.pid, number)
        with suppress(TimeoutError):
            async with asyncio.timeout(TERMINATE_GRACE_S):
                await process.wait()
                return
