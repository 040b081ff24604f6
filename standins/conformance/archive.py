"""An archive that answers by script: one script for each path, and a note of all that came."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass, field
from email.utils import formatdate

from standins import http
from standins.conformance.case import Reply

WHEN = re.compile(r"\{now(?:([+-])(\d+))?\}")


def dated(value: str) -> str:
    def when(m: re.Match[str]) -> str:
        off = int(m[2] or 0) * (-1 if m[1] == "-" else 1)
        return formatdate(time.time() + off, usegmt=True)

    return WHEN.sub(when, value)


@dataclass
class Script:
    replies: list[Reply] = field(default_factory=list)
    came: list[http.Message] = field(default_factory=list)
    seen: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def until(self, count: int) -> None:
        """Until so many requests have come."""
        async with self.seen:
            await self.seen.wait_for(lambda: len(self.came) >= count)


class Archive(http.Server):
    """Answers each request with the reply that stands for the step under way."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.port = port
        self.scripts: dict[str, Script] = {}
        self.now: dict[str, Reply] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                m = await http.read(reader)
                method, target, _ = m.start.split(" ")
                path = target.partition("?")[0]
                if path == "/health":
                    writer.write(http.answer(200))
                    continue
                name = path.strip("/").partition("/")[0] if path.startswith("/case") else path
                reply = self.now.get(name)
                script = self.scripts.get(name)
                if reply is None or script is None:
                    writer.write(http.answer(404, more="Cache-Control: no-store\r\n"))
                    continue
                script.came.append(m)
                whole = await self._write(writer, reply, method)
                async with script.seen:
                    script.seen.notify_all()
                if not whole:
                    await writer.drain()
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, http.Bad, http.Cut):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, reply: Reply, method: str) -> bool:
        body = reply.body.encode() if reply.status not in (204, 304) else b""
        lines = [f"HTTP/1.1 {reply.status} Scripted"]
        lines += [f"{name}: {dated(value)}" for name, value in reply.fields]
        if reply.date and not any(n.lower() == "date" for n, _ in reply.fields):
            lines.append(f"Date: {dated('{now}')}")
        if reply.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif reply.status not in (204, 304) or reply.length >= 0:
            lines.append(f"Content-Length: {reply.length if reply.length >= 0 else len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if method == "HEAD" or not body:
            writer.write(head + (b"0\r\n\r\n" if reply.chunked and method != "HEAD" else b""))
            return True
        if reply.chunked:
            data = b"%x\r\n%b\r\n" % (len(body), body)
            if reply.cut < 0:
                data += b"0\r\n\r\n"
        else:
            data = body if reply.cut < 0 else body[: reply.cut]
        half = len(data) // 2 if reply.slow_s else 0
        writer.write(head + data[:half])
        if half:
            await asyncio.sleep(reply.slow_s)
        writer.write(data[half:])
        return reply.cut < 0
