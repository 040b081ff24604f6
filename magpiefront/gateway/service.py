"""Composes the gateway of one process: its stages, the listener for peers, and the links to other sites."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from random import Random

from magpiefront.gateway.counters import Counters
from magpiefront.net.runtime import StageRuntime
from magpiefront.gateway.inbound import GatewayListener
from magpiefront.gateway.keyed_stage import KeyedStage
from magpiefront.gateway.link import Link
from magpiefront.gateway.routes import Routes
from magpiefront.gateway.settings import GatewaySettings, Tls
from magpiefront.gateway.store_identity import NO_STORE, StoreIdentity
from magpiefront.net.client_memory import ClientMemory
from magpiefront.gateway.stage import GatewayStage
from magpiefront.net.request import Stage

COUNTERS_LOG_INTERVAL_S = 10.0


class InvalidTls(Exception):
    """A certificate, key or CA file cannot be used. The message is one line."""


def tls_contexts(tls: Tls | None) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Returns the contexts of the listening and of the connecting end, or None for each without TLS. Both
    ends present a certificate and accept only certificates of the configured CA. Raises InvalidTls."""
    if tls is None:
        return None, None
    contexts = []
    for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
        context = ssl.SSLContext(
            ssl.PROTOCOL_TLS_SERVER if purpose is ssl.Purpose.CLIENT_AUTH else ssl.PROTOCOL_TLS_CLIENT
        )
        context.minimum_version = ssl.TLSVersion.TLSv1_2  # RFC 9113, 9.2
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["h2"])
        for name, path in (("certificate", tls.certificate), ("key", tls.key), ("ca", tls.ca)):
            try:
                with open(path, "rb"):
                    pass
            except OSError as e:
                raise InvalidTls(f"{name}: {path}: {e.strerror}") from None
        try:
            context.load_cert_chain(tls.certificate, tls.key)
        except (ssl.SSLError, OSError) as e:
            raise InvalidTls(f"certificate: {tls.certificate} with {tls.key}: {e.args[-1]}") from None
        try:
            context.load_verify_locations(tls.ca)
        except (ssl.SSLError, OSError) as e:
            raise InvalidTls(f"ca: {tls.ca}: {e.args[-1]}") from None
        contexts.append(context)
    return contexts[0], contexts[1]


class Gateway:
    """The gateway of one process. Fronts submit their requests to `stage`."""

    def __init__(
        self, runtime: StageRuntime, following: Stage, settings: GatewaySettings, seed: int,
        memory: ClientMemory, store: Callable[[], StoreIdentity] = lambda: NO_STORE,
    ) -> None:  # fmt: skip
        """`memory` is the account of this process's memory, `store` returns its store of record."""
        self.runtime, self.settings, self.store = runtime, settings, store
        self.random = Random(seed)
        self.counters = Counters()
        self.routes = Routes(settings)
        self.keyed = KeyedStage(runtime, following, settings.keyed)
        self.stage = GatewayStage(runtime, self.keyed, settings, self.routes, self.counters)
        server_context, self.client_context = tls_contexts(settings.tls)
        # Identifies this run of the process: a request that may have run here may be sent again only to the
        # same epoch, or to a process with the same store of record.
        self.epoch = f"{Random().getrandbits(64):016x}"
        self.listener = GatewayListener(
            runtime, settings, self.routes, self.keyed, self.counters, server_context,
            self.random.getrandbits(32), self.epoch, memory, store,
        )  # fmt: skip
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, inherited: socket.socket | None = None) -> None:
        """Listens and connects to the other sites. An inherited listening socket accepts connections only
        after `listener.accept`. Raises OSError if the address cannot be bound."""
        await self.listener.listen(inherited)
        self._open_missing_links()
        self._log_counters()

    def _open_missing_links(self) -> None:
        """Opens links to sites that have none, and stops links to sites without peers."""
        links = self.stage.links
        linked_sites = {n: s for n, s in self.settings.sites.items() if n != self.settings.site and s.peers}
        for name, site in linked_sites.items():
            if name not in links:
                links[name] = Link(
                    self.runtime, self.settings, site, self.client_context, self.random.getrandbits(32),
                    self.stage.on_link_usable, self.stage.on_link_suspect, self.store,
                )  # fmt: skip
        for name in links.keys() - linked_sites.keys():
            links.pop(name).stop()

    def configure(self, settings: GatewaySettings) -> None:
        """Applies new settings. Links whose peers, times or certificates change are opened again. Raises
        InvalidTls before any change."""
        _, client = tls_contexts(settings.tls)
        previous, self.settings = self.settings, settings
        if settings.listen != previous.listen or settings.site != previous.site or (
            (settings.tls is None) != (previous.tls is None)
        ):  # fmt: skip
            self.runtime.log("reload: a changed site name, gateway address or use of TLS needs a restart")
        self.client_context = client
        self.stage.settings = settings
        self.routes.configure(settings)
        self.keyed.configure(settings.keyed)
        self.listener.configure(settings)
        for name in list(self.stage.links):
            link, site = self.stage.links[name], settings.sites.get(name)
            has_same_peers = site is not None and site.peers == previous.sites[name].peers
            if not has_same_peers or settings.link != previous.link or settings.tls != previous.tls:
                self.stage.links.pop(name).stop()
            else:
                link.settings = settings
        self._open_missing_links()

    def _log_counters(self) -> None:
        """Logs the counters that changed, periodically."""
        line = self.counters.take_changes()
        if line:
            self.runtime.log(f"gateway: {line}")
        self.timer = self.runtime.loop.call_later(COUNTERS_LOG_INTERVAL_S, self._log_counters)

    def sweep(self) -> None:
        """Fails long answers that have stalled, refuses requests that have waited too long for memory, and
        renews connections whose hello told another store than the present one. Called periodically."""
        self.stage.sweep()
        self.listener.refuse_waiting()
        self.listener.renew_stale()
        for link in self.stage.links.values():
            link.renew_stale()

    def drain(self) -> None:
        """Asks peers to open no more streams to this process. Open streams are finished."""
        self.listener.drain()

    @property
    def busy(self) -> bool:
        """Whether requests from or to other sites are in progress."""
        return self.listener.busy or bool(self.stage.forwarded)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.listener.stop()
        for link in self.stage.links.values():
            link.stop()
        line = self.counters.take_changes()
        if line:
            self.runtime.log(f"gateway: {line}")
