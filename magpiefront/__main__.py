"""`python -m magpiefront`: one real proxy, from its start to its last answer."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import traceback
from typing import Any

import uvloop

from magpiefront.net import config
from magpiefront.net.bodies import Bodies
from magpiefront.net.discovery import Discovery
from magpiefront.net.downstream import Front
from magpiefront.net.proxy import Proxy

ACCEPT_S = 0.5  # new connections go on coming for so long after SIGTERM
STOP_S = 3.6
RESERVED = 32
SWEEP_S = 0.5


def told(context: dict[str, Any]) -> str:
    """What has gone wrong in a callback: it costs that connection, not the proxy."""
    e = context.get("exception")
    return "".join(traceback.format_exception(e)) if e is not None else str(context.get("message"))


async def serve(settings: config.Config) -> None:
    loop = asyncio.get_running_loop()
    proxy = Proxy(settings, loop)
    loop.set_exception_handler(lambda _, context: proxy.log(told(context)))
    bodies = Bodies(int(settings.memory_mb * 0.3) << 20)
    front = Front(proxy, proxy, bodies, settings.sockets - RESERVED - proxy.connections)
    discovery = Discovery(proxy, settings.discovery, settings.seed)
    stop = asyncio.Event()

    def reload() -> None:
        """Guards against ending on SIGHUP, and against going on with a discovery that is shut down. What
        can't be read changes nothing."""
        try:
            new = config.load(os.environ)
        except config.BadConfig as e:
            proxy.log(f"reload: {e}; going on with the configuration before it")
            return
        proxy.configure(new)
        discovery.move(new.discovery)

    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    front.listen(*settings.listen)
    discovery.start(settings.known)  # before the loop runs again, and so before a client is heard

    def sweep() -> None:
        proxy.sweep()
        front.sweep()
        loop.call_later(SWEEP_S, sweep)

    sweep()
    proxy.tick()
    # What is there by now stays: the collector need not look through it again and again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 100)
    await stop.wait()
    end = loop.time() + STOP_S
    front.stopping = True
    await asyncio.sleep(ACCEPT_S)
    front.stop_accepting()
    while front.clients and loop.time() < end:
        front.close_idle()
        await asyncio.sleep(0.02)
    discovery.stop()


def main() -> int:
    try:
        settings = config.load(os.environ)
        uvloop.run(serve(settings))
    except config.BadConfig as e:
        print(f"magpiefront: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"magpiefront: can't listen on {settings.listen[0]}:{settings.listen[1]}: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
