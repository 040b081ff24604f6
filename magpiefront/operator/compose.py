"""The stages that an operator's file asks for, in their order, before the host."""

from __future__ import annotations

import os
from pathlib import Path

from magpiefront.gateway.house import Host
from magpiefront.gateway.service import BadTls, Gateway, contexts
from magpiefront.net.request import Stage
from magpiefront.operator.fields import BadFile
from magpiefront.operator.file import Operator, load


def check(path: Path) -> Operator:
    """The file, and what it names on this machine. Raises BadFile."""
    operator = load(path)
    if operator.gateway is not None:
        try:
            contexts(operator.gateway.tls)
        except BadTls as e:
            raise BadFile(f"{path}: [gateway.tls] {e}") from None
    return operator


class Composition:
    """`first` is what fronts hand their requests to: the host itself, where nothing is asked for."""

    def __init__(self, house: Host, host: Stage, operator: Operator, seed: int) -> None:
        self.house, self.operator = house, operator
        self.first = host
        self.gateway: Gateway | None = None
        if operator.gateway is not None:
            self.gateway = Gateway(house, host, operator.gateway, seed)
            self.first = self.gateway.stage

    async def start(self) -> None:
        """Raises OSError."""
        if self.gateway is not None:
            await self.gateway.start()

    def configure(self, operator: Operator) -> None:
        if (operator.gateway is None) != (self.gateway is None):
            self.house.log("reload: to begin or end the gateway needs a restart")
        elif self.gateway is not None and operator.gateway is not None:
            self.gateway.configure(operator.gateway)
        self.operator = operator

    @property
    def busy(self) -> bool:
        return self.gateway is not None and self.gateway.busy

    def sweep(self) -> None:
        if self.gateway is not None:
            self.gateway.sweep()

    def drain(self) -> None:
        if self.gateway is not None:
            self.gateway.drain()

    def stop(self) -> None:
        if self.gateway is not None:
            self.gateway.stop()


def path_of(text: str) -> Path:
    return Path(os.path.expanduser(text))
