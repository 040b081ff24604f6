"""Plays cases against a proxy whose origin is the scripted archive."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from standins import http
from standins.conformance.archive import Archive, Script
from standins.conformance.case import Case, Step


class Refused(Exception):
    """The proxy turned a request away before it came to the archive, and says when to come again."""

    def __init__(self, after_s: float) -> None:
        super().__init__("refused")
        self.after_s = after_s


@dataclass(slots=True)
class Result:
    case: Case
    fault: str = ""  # empty: passed


class Player:
    """`extra` are field lines that the proxy needs of every request; `{id}` in them is ever new."""

    def __init__(self, host: str, port: int, archive: Archive, extra: str = "", prefix: str = "/") -> None:
        self.place, self.archive, self.extra, self.prefix = (host, port), archive, extra, prefix
        self.number = 0

    async def play(self, case: Case, tries: int = 40) -> Result:
        """A refusal tells of the proxy's load and of errors in other cases, and nothing of its cache: the
        case is begun anew when the proxy said so."""
        for _ in range(tries):
            try:
                return await self._play(case)
            except Refused as e:
                await asyncio.sleep(min(1.0, e.after_s))
        return Result(case, "refused each time")

    async def _play(self, case: Case, timeout_s: float = 10.0) -> Result:
        self.number += 1
        name = f"case{self.number}"
        script = self.archive.scripts[name] = Script()
        try:
            async with asyncio.timeout(timeout_s):
                return Result(case, await self._steps(case, name, script))
        except TimeoutError:
            return Result(case, "timed out")
        except (OSError, asyncio.IncompleteReadError, http.Bad) as e:
            return Result(case, f"{type(e).__name__}: {e}")
        finally:
            self.archive.now.pop(name, None)
            self.archive.scripts.pop(name, None)

    async def _steps(self, case: Case, name: str, script: Script) -> str:
        bodies: list[bytes] = []
        for at, step in enumerate(case.steps):
            if step.pause_s:
                await asyncio.sleep(step.pause_s)
            self.archive.now[name] = step.reply
            before = len(script.came)
            cut = False
            try:
                m = await self._ask(step, f"{self.prefix}{name}{step.suffix}")
            except http.Cut:
                m, cut = http.Message("HTTP/1.1 0 cut", {}, b""), True
            if _status(m) == 503 and len(script.came) == before:
                raise Refused(float(m.headers.get("retry-after", "0.1")))
            if step.awaits:
                await script.until(step.awaits)
            bodies.append(m.body)
            fault = self._judge(step, m, cut, script.came[before:], bodies)
            if fault:
                return f"step {at + 1}: {fault}"
        return ""

    async def _ask(self, step: Step, target: str) -> http.Message:
        reader, writer = await asyncio.open_connection(*self.place)
        try:
            self.number += 1
            lines = [f"{step.method} {target} HTTP/1.1", "Host: conformance.test", "Connection: close"]
            lines += [f"{n}: {v}" for n, v in step.fields]
            body = step.body.encode()
            if body or step.method in ("PUT", "POST", "PATCH"):
                lines.append(f"Content-Length: {len(body)}")
            extra = self.extra.replace("{id}", f"c{self.number}").replace(
                "{kind}", "level-read" if step.method in ("GET", "HEAD", "OPTIONS") else "field-report"
            )
            writer.write("\r\n".join([*lines, extra + "\r\n"]).encode("latin-1") + body)
            return await read(reader, step.method)
        finally:
            writer.close()

    def _judge(
        self, step: Step, m: http.Message, cut: bool, came: list[http.Message], bodies: list[bytes]
    ) -> str:  # fmt: skip
        if step.broken is not None and cut != step.broken and not (step.broken and _status(m) >= 500):
            return "an answer cut short looks whole" if step.broken else "the answer was cut"
        if step.reaches is not None and bool(came) != step.reaches:
            return "it came to the archive" if came else "it did not come to the archive"
        for field, wanted in step.sends.items():
            for got in came[:1]:
                fault = differs(got.headers.get(field.lower()), wanted)
                if fault:
                    return f"the archive saw {field}: {fault}"
        if step.status is not None and _status(m) != step.status:
            return f"status {_status(m)}, not {step.status}"
        if step.same is not None and bodies[-1] != bodies[step.same]:
            return f"body {bodies[-1][:40]!r}, not that of step {step.same + 1}"
        if step.expect_body is not None and m.body != step.expect_body.encode():
            return f"body {m.body[:40]!r}, not {step.expect_body!r}"
        for field, wanted in step.has.items():
            fault = differs(m.headers.get(field.lower()), wanted)
            if fault:
                return f"{field}: {fault}"
        return ""


def _status(m: http.Message) -> int:
    return int(m.start.split(" ")[1])


def differs(got: str | None, wanted: str | None) -> str:
    if wanted is None:
        return "" if got is None else f"is there: {got!r}"
    if got is None:
        return "is missing"
    if wanted.startswith("~"):
        return "" if wanted[1:] in got else f"{got!r} does not contain {wanted[1:]!r}"
    for sign in (">=", "<="):
        if wanted.startswith(sign):
            try:
                number = int(got)
            except ValueError:
                return f"{got!r} is no number"
            holds = number >= int(wanted[2:]) if sign == ">=" else number <= int(wanted[2:])
            return "" if holds else f"{got}, not {wanted}"
    return "" if got == wanted else f"{got!r}, not {wanted!r}"


async def read(reader: asyncio.StreamReader, method: str) -> http.Message:
    """One answer; raises Cut where it is not whole. Repeated fields are joined."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        name = name.lower()
        headers[name] = f"{headers[name]}, {value.strip()}" if name in headers else value.strip()
    status = int(start.split(" ")[1])
    if method == "HEAD" or status in (204, 304):
        rest = await reader.read()
        if rest:
            raise http.Bad(f"{len(rest)} bytes after an answer that has no body")
        return http.Message(start, headers, b"")
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                body += (await reader.readexactly(size + 2))[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ValueError, OSError):
        raise http.Cut(start) from None
    return http.Message(start, headers, body)
