"""The protocol of the hand-over, both sides: events in, actions out, no I/O and no clock.

    new -> old   hello     its version
    old -> new   offer     the listening sockets, each by its name
    new -> old   take      the point of no return; nobody of the new one has accepted anything before it
    old -> new   go        what it knows, in parts; it accepts no more
    old -> new   clients   connections that have fallen idle
    old -> new   load      what it still has in flight, until nothing is left
    both         ban       an operator's call, on either second address, holds for both

Before `take` the end of either side changes nothing for the other, but that a new one which has the listening
socket starts alone with it: what waits in its queue is not lost. After it, a new one that ends leaves the old
one to take the socket up again; an old one that ends leaves a new one that knows what it was told so far.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

VERSION = 1


class End(Enum):
    """How a channel came to nothing."""

    CLOSED = "closed"
    LATE = "late"
    GARBLED = "garbled"


# ---- events


@dataclass(frozen=True, slots=True)
class Hello:
    version: object


@dataclass(frozen=True, slots=True)
class Take:
    pass


@dataclass(frozen=True, slots=True)
class Offer:
    """`listener` says that the listening socket came with it."""

    version: object
    listener: bool


@dataclass(frozen=True, slots=True)
class No:
    why: str


@dataclass(frozen=True, slots=True)
class Go:
    pass


@dataclass(frozen=True, slots=True)
class Ended:
    how: End


@dataclass(frozen=True, slots=True)
class Stop:
    """This process has been told to end."""


# ---- actions


class Act(Enum):
    OFFER = "send the offer, with the listening socket"
    RELEASE = "accept no more, send what is known, and pass connections on as they fall idle"
    RESUME = "accept again, and be found by the next"
    FINISH = "end as one that has no next"
    CLOSE = "close the channel"
    HELLO = "send hello"
    TAKE = "send take, once all that can fail has been done"
    SERVE = "serve with what was handed over"
    ALONE = "serve with nothing but what the configuration says"
    ALONE_LISTENING = "the same, on the listening socket that was handed over"
    QUIT = "end with an error: another start is under way"


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer with a no, and close the channel."""

    why: str


BUSY, ENDING, OTHER = "busy", "ending", "another version"


class OldState(Enum):
    SERVING = "serving"
    OFFERED = "offered"
    HANDED = "handed"


class Old:
    """The side that serves. There is one channel at a time; one that asks meanwhile hears that it is busy."""

    def __init__(self) -> None:
        self.state = OldState.SERVING
        self.listening, self.stopping = True, False

    def on(self, event: Hello | Take | Ended | Stop) -> list[Act | Reject]:
        match event:
            case Stop():
                self.stopping = True
                return []
            case Hello():
                if self.state is not OldState.SERVING:
                    return [Reject(BUSY)]
                if event.version != VERSION:
                    return [Reject(OTHER)]
                if not self.listening:
                    return [Reject(ENDING)]
                self.state = OldState.OFFERED
                return [Act.OFFER]
            case Take():
                if self.state is not OldState.OFFERED:
                    return self.on(Ended(End.GARBLED))
                self.state = OldState.HANDED
                return [Act.RELEASE]
            case Ended():
                before, self.state = self.state, OldState.SERVING
                acts: list[Act | Reject] = [] if event.how is End.CLOSED else [Act.CLOSE]
                # One that is ending leaves the queue to whoever listens; there it would only be cut off.
                if before is OldState.HANDED:
                    acts.append(Act.FINISH if self.stopping else Act.RESUME)
                return acts


class NewState(Enum):
    ASKED = "asked"
    OFFERED = "offered"
    TAKEN = "taken"
    SERVING = "serving"


class New:
    """The side that starts."""

    def __init__(self) -> None:
        self.state = NewState.ASKED
        self.listener = False

    def on(self, event: Offer | No | Go | Ended) -> list[Act]:
        match event:
            case Offer() if self.state is NewState.ASKED and event.version == VERSION and event.listener:
                self.state, self.listener = NewState.OFFERED, True
                return [Act.TAKE]
            case No() if self.state is NewState.ASKED:
                self.state = NewState.SERVING
                return [Act.QUIT] if event.why == BUSY else [Act.ALONE]
            case Go() if self.state is NewState.OFFERED:
                self.state = NewState.SERVING
                return [Act.SERVE]
            case _ if self.state is NewState.SERVING:
                return []
        self.state = NewState.SERVING
        return [Act.CLOSE, Act.ALONE_LISTENING if self.listener else Act.ALONE]
