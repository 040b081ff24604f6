"""Asks one member of a group over HTTP/2, as an operator's command does. On `h2`; nothing of the program."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import h2.config
import h2.connection
import h2.events
import h2.exceptions

PATH = "/.well-known/magpiefront-group/ask"


class Lost(Exception):
    """No answer: nobody knows what became of it."""


class Turned(Exception):
    """The member did nothing for it; its text says why."""


class Asker:
    """One connection to one member, made when it is needed, one ask at a time."""

    def __init__(self, port: int, group: str, site: str) -> None:
        self.port, self.group, self.site = port, group, site
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, what: dict[str, Any], most_s: float) -> dict[str, Any]:
        """Raises Lost, Turned."""
        sent = False
        try:
            async with asyncio.timeout(most_s):
                if self.writer is None or self.writer.is_closing():
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                    self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
                    self.h2.initiate_connection()
                sent = True
                return await self._exchange(json.dumps(what).encode())
        except (OSError, TimeoutError, ValueError, h2.exceptions.ProtocolError) as e:
            self.close()
            raise (Lost if sent else Turned)(str(e)) from None

    async def _exchange(self, data: bytes) -> dict[str, Any]:
        assert self.writer is not None
        stream, found = self.h2.get_next_available_stream_id(), bytearray()
        fields = {
            ":method": "POST", ":scheme": "http", ":authority": self.site, ":path": PATH, "gw-version": "1",
            "gw-site": self.site, "gw-group": self.group, "gw-member": "",
        }  # fmt: skip
        self.h2.send_headers(stream, list(fields.items()))
        self.h2.send_data(stream, data, end_stream=True)
        while True:
            self.writer.write(self.h2.data_to_send())
            came = await self.reader.read(1 << 16)
            if not came:
                raise ValueError("the connection ended")
            for e in self.h2.receive_data(came):
                if isinstance(e, h2.events.DataReceived) and e.stream_id == stream:
                    found += e.data or b""
                    self.h2.acknowledge_received_data(e.flow_controlled_length or 0, stream)
                elif isinstance(e, h2.events.StreamEnded) and e.stream_id == stream:
                    told: dict[str, Any] = json.loads(found)
                    if "error" in told:
                        raise Turned(told["error"])
                    return told
                elif isinstance(e, h2.events.ConnectionTerminated | h2.events.StreamReset):
                    raise ValueError("the connection broke")

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None
