"""A client that sends commands to one member of a group over HTTP/2, as the operator's commands do.

It uses `h2` and no code of the program under test.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import h2.config
import h2.connection
import h2.events
import h2.exceptions

PATH = "/.well-known/magpiefront-group/ask"


class NoAnswer(Exception):
    """No answer came, so it is unknown whether the command was executed."""


class NotExecuted(Exception):
    """The command had no effect: it was not sent, or the member refused it. The text says why."""


class MemberClient:
    """A connection to one member, opened with the first request. Only one request may be in progress."""

    def __init__(self, port: int, group: str, site: str) -> None:
        self.port, self.group, self.site = port, group, site
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, command: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Sends a command and returns the answer. Raises NotExecuted if the command had no effect, and
        NoAnswer if that is unknown. Closes the connection if it failed or no answer came in time."""
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None or self.writer.is_closing():
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                    self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
                    self.h2.initiate_connection()
                sent = True
                return await self._exchange(json.dumps(command).encode())
        except (OSError, TimeoutError, ValueError, h2.exceptions.ProtocolError) as e:
            self.close()
            raise (NoAnswer if sent else NotExecuted)(str(e)) from None

    async def _exchange(self, request_body: bytes) -> dict[str, Any]:
        assert self.writer is not None
        stream, body = self.h2.get_next_available_stream_id(), bytearray()
        fields = {
            ":method": "POST", ":scheme": "http", ":authority": self.site, ":path": PATH, "gw-version": "1",
            "gw-site": self.site, "gw-group": self.group, "gw-member": "",
        }  # fmt: skip
        self.h2.send_headers(stream, list(fields.items()))
        self.h2.send_data(stream, request_body, end_stream=True)
        while True:
            self.writer.write(self.h2.data_to_send())
            data = await self.reader.read(1 << 16)
            if not data:
                raise ValueError("the member closed the connection before it answered")
            for event in self.h2.receive_data(data):
                if isinstance(event, h2.events.DataReceived) and event.stream_id == stream:
                    body += event.data or b""
                    self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream)
                elif isinstance(event, h2.events.StreamEnded) and event.stream_id == stream:
                    reply: dict[str, Any] = json.loads(body)
                    if "error" in reply:
                        raise NotExecuted(reply["error"])
                    return reply
                elif isinstance(event, h2.events.ConnectionTerminated | h2.events.StreamReset):
                    raise ValueError("the member reset the stream or the connection")

    def close(self) -> None:
        """Closes the connection. The next request opens another one."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None
