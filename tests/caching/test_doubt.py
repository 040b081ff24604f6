"""An unsolicited response on a server connection invalidates what that connection answered just before.

The server may have answered the last request with a copy of an older response; the unsolicited response is
then the real one to that request.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.caching.sockets import caching_proxy
from tests.caching.test_passing import request
from tests.sockets import Client, read_message, run, until

STORABLE_RESPONSE = b"HTTP/1.1 200 OK\r\nCache-Control: max-age=60\r\nContent-Length: 2\r\n\r\nv1"


class FakeOrigin:
    """Answers with increasing versions; `last_connection` is the connection of the newest request."""

    def __init__(self) -> None:
        self.request_count = 0
        self.last_connection: asyncio.StreamWriter | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                self.request_count += 1
                self.last_connection = writer
                writer.write(STORABLE_RESPONSE.replace(b"v1", b"v%d" % self.request_count))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def get(port: int, path: str) -> tuple[bytes, str]:
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    client.send(request(f"GET {path}"))
    answer = await client.answer()
    client.writer.close()
    return answer.body, answer.headers["cache-status"]


@pytest.mark.parametrize("delay_s", [0.0, 0.3], ids=["at once", "late"])
def test_an_unsolicited_response_invalidates_what_its_connection_last_answered(delay_s: float) -> None:
    async def main() -> None:
        origin = FakeOrigin()
        server = await asyncio.start_server(origin.serve, "127.0.0.1", 0)
        async with caching_proxy(server.sockets[0].getsockname()[1]) as cache:
            assert (await get(cache.port, "/api/k1"))[0] == b"v1"
            assert (await get(cache.port, "/api/k2"))[0] == b"v2"
            assert "hit" in (await get(cache.port, "/api/k2"))[1]
            await asyncio.sleep(delay_s)
            assert origin.last_connection is not None
            origin.last_connection.write(STORABLE_RESPONSE)  # may be the real response to k2
            await until(lambda: cache.proxy.pool.counters.strays, "the unsolicited response")
            assert (await get(cache.port, "/api/k2"))[0] == b"v3"
            assert "hit" in (await get(cache.port, "/api/k1"))[1]
        server.close()

    run(main())
