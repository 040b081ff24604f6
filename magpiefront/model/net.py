"""A simulated network that drops, delays, duplicates and reorders messages, and whose links can be cut in one
direction or in both."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from magpiefront.model.kernel import Kernel


@dataclass
class LinkConditions:
    """The quality of one direction of a link. Rates are from 0 to 1, delays in microseconds."""

    min_delay_us: int = 200
    max_delay_us: int = 2_000
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    is_cut: bool = False


class Network:
    """Delivers messages between hosts under the conditions of each link."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.default = LinkConditions()
        self.links: dict[tuple[str, str], LinkConditions] = {}  # by sender and receiver, if not the default
        self.sent = self.dropped = 0

    def conditions(self, sender: str, receiver: str) -> LinkConditions:
        return self.links.get((sender, receiver), self.default)

    def set_link(self, sender: str, receiver: str, conditions: LinkConditions | None) -> None:
        """Sets the conditions of one direction; None restores the default."""
        if conditions is None:
            self.links.pop((sender, receiver), None)
        else:
            self.links[sender, receiver] = conditions

    def set_links(self, links: list[tuple[str, str]], conditions: LinkConditions | None) -> None:
        for sender, receiver in links:
            self.set_link(sender, receiver, conditions)

    def send(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Calls `deliver` after the delay of the link: twice if the message is duplicated, and not at all if
        it is lost or the link is cut."""
        conditions, random = self.conditions(sender, receiver), self.kernel.random
        self.sent += 1
        if conditions.is_cut or (conditions.loss_rate and random.random() < conditions.loss_rate):
            self.dropped += 1
            return
        copies = 2 if conditions.duplication_rate and random.random() < conditions.duplication_rate else 1
        for _ in range(copies):
            self.kernel.after(
                random.randint(conditions.min_delay_us, conditions.max_delay_us),
                lambda: self._arrive(sender, receiver, deliver),
            )

    def _arrive(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Delivers a message, unless the link has been cut while the message was in transit."""
        if self.conditions(sender, receiver).is_cut:
            self.dropped += 1
        else:
            deliver()
