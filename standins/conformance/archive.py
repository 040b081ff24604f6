"""A scripted origin server: sends the response of each case's current step, and records the requests."""

from __future__ import annotations

import asyncio
import re
import time
from dataclasses import dataclass, field
from email.utils import formatdate

from standins import http
from standins.conformance.case import Response

DATE_PLACEHOLDER = re.compile(r"\{now(?:([+-])(\d+))?\}")


def expand_dates(value: str) -> str:
    """Replaces `{now}`, `{now+60}` and `{now-60}` (seconds) by HTTP dates."""

    def format_date(match: re.Match[str]) -> str:
        offset_s = int(match[2] or 0) * (-1 if match[1] == "-" else 1)
        return formatdate(time.time() + offset_s, usegmt=True)

    return DATE_PLACEHOLDER.sub(format_date, value)


@dataclass
class RequestLog:
    """The requests that the archive received for one case, in their order."""

    responses: list[Response] = field(default_factory=list)
    requests: list[http.Message] = field(default_factory=list)
    request_received: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def wait_for_requests(self, count: int) -> None:
        """Waits until `count` requests have been received since the case began."""
        async with self.request_received:
            await self.request_received.wait_for(lambda: len(self.requests) >= count)


class ScriptedArchive(http.Server):
    """Answers each request of a case with the response of the case's current step.

    The first segment of the path is the name of the case, such as `case12`. `/health` is answered with 200,
    and any unknown path with 404.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.port = port  # 0: a free port, set on start
        # Both are indexed by the name of the case.
        self.request_logs: dict[str, RequestLog] = {}
        self.current_responses: dict[str, Response] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                message = await http.read(reader)
                method, target, _ = message.start.split(" ")
                path = target.partition("?")[0]
                if path == "/health":
                    writer.write(http.response(200))
                    continue
                name = path.strip("/").partition("/")[0] if path.startswith("/case") else path
                response = self.current_responses.get(name)
                request_log = self.request_logs.get(name)
                if response is None or request_log is None:
                    writer.write(http.response(404, extra_headers="Cache-Control: no-store\r\n"))
                    continue
                request_log.requests.append(message)
                complete = await self._write_response(writer, response, method)
                async with request_log.request_received:
                    request_log.request_received.notify_all()
                if not complete:
                    await writer.drain()
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, http.MalformedMessage, http.TruncatedBody):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def _write_response(self, writer: asyncio.StreamWriter, response: Response, method: str) -> bool:
        """Returns False if the response was truncated, so that the connection must be closed."""
        body = response.body.encode() if response.status not in (204, 304) else b""
        lines = [f"HTTP/1.1 {response.status} Scripted"]
        lines += [f"{name}: {expand_dates(value)}" for name, value in response.fields]
        if response.add_date and not any(n.lower() == "date" for n, _ in response.fields):
            lines.append(f"Date: {expand_dates('{now}')}")
        if response.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif response.status not in (204, 304) or response.declared_length >= 0:
            lines.append(
                f"Content-Length: {response.declared_length if response.declared_length >= 0 else len(body)}"
            )
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if method == "HEAD" or not body:
            writer.write(head + (b"0\r\n\r\n" if response.chunked and method != "HEAD" else b""))
            return True
        if response.chunked:
            data = b"%x\r\n%b\r\n" % (len(body), body)
            if response.truncate_at < 0:
                data += b"0\r\n\r\n"
        else:
            data = body if response.truncate_at < 0 else body[: response.truncate_at]
        half = len(data) // 2 if response.body_pause_s else 0
        writer.write(head + data[:half])
        if half:
            await asyncio.sleep(response.body_pause_s)
        writer.write(data[half:])
        return response.truncate_at < 0
