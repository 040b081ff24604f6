"""What a cache keeps of a connection on which something came that nobody asked for."""

from __future__ import annotations

import asyncio

import pytest

from tests.caching.sockets import cached
from tests.caching.test_passing import request
from tests.sockets import Client, read_message, run, until

KEPT = b"HTTP/1.1 200 OK\r\nCache-Control: max-age=60\r\nContent-Length: 2\r\n\r\nv1"


class Origin:
    """Answers with a version that goes up; `last` is the connection that was asked last."""

    def __init__(self) -> None:
        self.asked = 0
        self.last: asyncio.StreamWriter | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                self.asked += 1
                self.last = writer
                writer.write(KEPT.replace(b"v1", b"v%d" % self.asked))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def get(port: int, path: str) -> tuple[bytes, str]:
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    client.send(request(f"GET {path}"))
    answer = await client.answer()
    client.writer.close()
    return answer.body, answer.headers["cache-status"]


@pytest.mark.parametrize("late_s", [0.0, 0.3], ids=["at once", "late"])
def test_an_answer_of_a_connection_that_turns_out_shifted_is_not_kept(late_s: float) -> None:
    async def main() -> None:
        origin = Origin()
        server = await asyncio.start_server(origin.serve, "127.0.0.1", 0)
        async with cached(server.sockets[0].getsockname()[1]) as w:
            assert (await get(w.port, "/api/k1"))[0] == b"v1"
            assert (await get(w.port, "/api/k2"))[0] == b"v2"
            assert "hit" in (await get(w.port, "/api/k2"))[1]
            await asyncio.sleep(late_s)
            assert origin.last is not None
            origin.last.write(KEPT)  # the real answer to k2, if v2 was an older one's copy
            await until(lambda: w.proxy.pool.figures.strays, "the stray")
            assert (await get(w.port, "/api/k2"))[0] == b"v3"
            assert "hit" in (await get(w.port, "/api/k1"))[1]
        server.close()

    run(main())
