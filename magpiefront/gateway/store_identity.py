"""Which store of record a gateway uses, as gateways compare it. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreIdentity:
    """The store of record of a process: none, one whose name is not known yet, or one with a name.

    The name is the same in all processes that use the store. Over the link an unknown name and none are both
    sent as an empty one, so an empty name equals nothing.
    """

    has_store: bool = False
    name: str = ""

    @property
    def encoded(self) -> bytes:
        """The name as it is sent over the link; empty if there is none or it is not known."""
        return self.name.encode()

    def is_certainly(self, told: bytes) -> bool:
        """Whether a peer that told this name uses the same store."""
        return bool(told) and told == self.encoded


NO_STORE = StoreIdentity()
