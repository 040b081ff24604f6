"""Runs conformance cases against a proxy whose origin is the scripted archive."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from standins import http
from standins.conformance.archive import RequestLog, ScriptedArchive
from standins.conformance.case import Case, Step


class RequestRefused(Exception):
    """The proxy answered 503 without forwarding the request; `retry_after_s` is its Retry-After."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("the proxy refused the request")
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Result:
    """The outcome of one case."""

    case: Case
    failure: str = ""  # empty if the case passed


class CaseRunner:
    """Sends the requests of cases to the proxy at `host` and `port`, each on a connection of its own.

    `extra_fields` are field lines that the proxy requires of every request. In them `{id}` is replaced by an
    identifier that no other request of this runner has, and `{kind}` by the class of the request.
    """

    def __init__(
        self, host: str, port: int, archive: ScriptedArchive, extra_fields: str = "", prefix: str = "/"
    ) -> None:
        self.address, self.archive, self.extra_fields, self.prefix = (
            (host, port),
            archive,
            extra_fields,
            prefix,
        )
        self.last_number = 0  # the latest number of a case or a request: both use one sequence

    async def run(self, case: Case, max_attempts: int = 40) -> Result:
        """Runs a case, and restarts it after the proxy's Retry-After (at most 1 s) if a request was refused.

        Refusals depend on the proxy's load and on error responses in other cases, and say nothing about its
        cache. After `max_attempts` runs that were refused, the case has failed.
        """
        for _ in range(max_attempts):
            try:
                return await self._run_once(case)
            except RequestRefused as e:
                await asyncio.sleep(min(1.0, e.retry_after_s))
        return Result(case, "refused in every attempt")

    async def _run_once(self, case: Case, timeout_s: float = 10.0) -> Result:
        """Runs a case under a path that no other run has. Raises RequestRefused if a request is refused."""
        self.last_number += 1
        name = f"case{self.last_number}"
        request_log = self.archive.request_logs[name] = RequestLog()
        try:
            async with asyncio.timeout(timeout_s):
                return Result(case, await self._run_steps(case, name, request_log))
        except TimeoutError:
            return Result(case, "timed out")
        except (OSError, asyncio.IncompleteReadError, http.MalformedMessage) as e:
            return Result(case, f"{type(e).__name__}: {e}")
        finally:
            self.archive.current_responses.pop(name, None)
            self.archive.request_logs.pop(name, None)

    async def _run_steps(self, case: Case, name: str, request_log: RequestLog) -> str:
        """Returns the first failure with the number of its step, or an empty text."""
        bodies: list[bytes] = []
        for index, step in enumerate(case.steps):
            if step.pause_s:
                await asyncio.sleep(step.pause_s)
            self.archive.current_responses[name] = step.response
            received_before = len(request_log.requests)
            truncated = False
            try:
                response = await self._send_request(step, f"{self.prefix}{name}{step.suffix}")
            except http.TruncatedBody:
                response, truncated = http.Message("HTTP/1.1 0 truncated", {}, b""), True
            if _status_code(response) == 503 and len(request_log.requests) == received_before:
                raise RequestRefused(float(response.headers.get("retry-after", "0.1")))
            if step.wait_for_requests:
                await request_log.wait_for_requests(step.wait_for_requests)
            bodies.append(response.body)
            failure = self._check(step, response, truncated, request_log.requests[received_before:], bodies)
            if failure:
                return f"step {index + 1}: {failure}"
        return ""

    async def _send_request(self, step: Step, target: str) -> http.Message:
        """Returns the response. Raises http.TruncatedBody if its body is truncated."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            self.last_number += 1
            lines = [f"{step.method} {target} HTTP/1.1", "Host: conformance.test", "Connection: close"]
            lines += [f"{n}: {v}" for n, v in step.fields]
            body = step.body.encode()
            if body or step.method in ("PUT", "POST", "PATCH"):
                lines.append(f"Content-Length: {len(body)}")
            extra_fields = self.extra_fields.replace("{id}", f"c{self.last_number}").replace(
                "{kind}", "level-read" if step.method in ("GET", "HEAD", "OPTIONS") else "field-report"
            )
            writer.write("\r\n".join([*lines, extra_fields + "\r\n"]).encode("latin-1") + body)
            return await read_response(reader, step.method)
        finally:
            writer.close()

    def _check(
        self, step: Step, response: http.Message, truncated: bool, received: list[http.Message],
        bodies: list[bytes],
    ) -> str:  # fmt: skip
        """Returns the first expectation that is not met, or an empty text.

        `received` are the requests that the archive received during this step, and `bodies` the response
        bodies of all steps up to this one.
        """
        if (
            step.expect_truncated is not None
            and truncated != step.expect_truncated
            and not (step.expect_truncated and _status_code(response) >= 500)
        ):
            return (
                "a truncated response looks complete"
                if step.expect_truncated
                else "the response was truncated"
            )
        if step.expect_forwarded is not None and bool(received) != step.expect_forwarded:
            return "the request was forwarded unexpectedly" if received else "the request was not forwarded"
        for field, expected in step.expect_forwarded_fields.items():
            for request in received[:1]:
                failure = mismatch(request.headers.get(field.lower()), expected)
                if failure:
                    return f"{field} of the forwarded request: {failure}"
        if step.expect_status is not None and _status_code(response) != step.expect_status:
            return f"status {_status_code(response)}, expected {step.expect_status}"
        if step.expect_body_of_step is not None and bodies[-1] != bodies[step.expect_body_of_step]:
            return f"body {bodies[-1][:40]!r}, expected the body of step {step.expect_body_of_step + 1}"
        if step.expect_body is not None and response.body != step.expect_body.encode():
            return f"body {response.body[:40]!r}, expected {step.expect_body!r}"
        for field, expected in step.expect_fields.items():
            failure = mismatch(response.headers.get(field.lower()), expected)
            if failure:
                return f"{field}: {failure}"
        return ""


def _status_code(response: http.Message) -> int:
    return int(response.start.split(" ")[1])


def mismatch(actual: str | None, expected: str | None) -> str:
    """Describes how a field value differs from what a Step expects; returns an empty text if it does not."""
    if expected is None:
        return "" if actual is None else f"{actual!r}, expected no such field"
    if actual is None:
        return "missing"
    if expected.startswith("~"):
        return "" if expected[1:] in actual else f"{actual!r} does not contain {expected[1:]!r}"
    for sign in (">=", "<="):
        if expected.startswith(sign):
            try:
                number = int(actual)
            except ValueError:
                return f"{actual!r} is not a number"
            is_met = number >= int(expected[2:]) if sign == ">=" else number <= int(expected[2:])
            return "" if is_met else f"{actual}, expected {expected}"
    return "" if actual == expected else f"{actual!r}, expected {expected!r}"


async def read_response(reader: asyncio.StreamReader, method: str) -> http.Message:
    """Reads one response; the values of a repeated field are joined by commas.

    Raises http.TruncatedBody if the body is truncated, and http.MalformedMessage if a response without a body
    is followed by data.
    """
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
            raise http.MalformedMessage(f"{len(rest)} bytes after a response that has no body")
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
        raise http.TruncatedBody(start) from None
    return http.Message(start, headers, body)
