"""The protocol by which a running process hands over to a new one, as a state machine for each side. A state
machine takes events and returns actions; it does no I/O and has no clock.

    new -> old   hello     the protocol version
    old -> new   offer     the listening sockets, each with its name
    new -> old   take      the point of no return; until then the new process accepts no connection
    old -> new   go        comes after the state, sent in parts; the old process no longer accepts
    old -> new   clients   client connections that have become idle
    old -> new   load      what the old process still has in flight, until nothing is left
    both         ban       an operator's command, given to either process, applies to both
    both         ids       requests that must run once and were accepted: neither process sends them again;
                           to the old process only if its offer says that it takes them

Before `take`, the failure of one side changes nothing for the other. The one exception is a new process that
already has the listening socket: it starts on its own with that socket, so that connections in the accept
queue are not lost. After `take`, if the new process ends, the old one accepts from the socket again; if the
old process ends, the new one goes on with what it has received.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

VERSION = 1


class EndCause(Enum):
    """Why a channel ended."""

    CLOSED = "closed"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


# ---- events


@dataclass(frozen=True, slots=True)
class Hello:
    """The new process asks to take over."""

    version: object


@dataclass(frozen=True, slots=True)
class Take:
    """The new process is ready to take over."""


@dataclass(frozen=True, slots=True)
class Offer:
    """The old process offers its sockets. `listener`: whether the listening socket came with the message."""

    version: object
    listener: bool


@dataclass(frozen=True, slots=True)
class No:
    """The old process refuses the handover."""

    reason: str


@dataclass(frozen=True, slots=True)
class Go:
    """The old process has sent its whole state."""


@dataclass(frozen=True, slots=True)
class ChannelEnded:
    """The channel to the other process is closed or no longer usable."""

    cause: EndCause


@dataclass(frozen=True, slots=True)
class Stop:
    """This process has begun to shut down."""


# ---- actions


class Action(Enum):
    """What the caller of a state machine has to do; the values describe it."""

    OFFER = "send the offer, with the listening socket"
    RELEASE = "stop accepting, send the state, and pass connections on as they become idle"
    RESUME = "accept again, and listen for the next process that starts"
    END_SHUTDOWN = "finish the shutdown without a successor"
    CLOSE = "close the channel"
    HELLO = "send hello"
    TAKE = "send take, once everything that can fail is done"
    SERVE = "serve with the state that was handed over"
    START_ALONE = "serve with nothing but the configuration"
    START_WITH_LISTENER = "the same, on the listening socket that was handed over"
    EXIT = "exit with an error: another process is taking over"


@dataclass(frozen=True, slots=True)
class Reject:
    """The action of answering with `no` and closing the channel."""

    reason: str


# The reasons of `no`, as sent.
BUSY, SHUTTING_DOWN, VERSION_MISMATCH = "busy", "ending", "another version"


class OldState(Enum):
    """The progress of the old process."""

    SERVING = "serving"
    OFFERED = "offered"
    HANDED_OVER = "handed_over"


class OldSide:
    """The process that serves. It hands over to one process at a time and answers others that it is busy."""

    def __init__(self) -> None:
        self.state = OldState.SERVING
        self.listening, self.stopping = True, False

    def handle(self, event: Hello | Take | ChannelEnded | Stop) -> list[Action | Reject]:
        """The actions that follow from an event."""
        match event:
            case Stop():
                self.stopping = True
                return []
            case Hello():
                if self.state is not OldState.SERVING:
                    return [Reject(BUSY)]
                if event.version != VERSION:
                    return [Reject(VERSION_MISMATCH)]
                if not self.listening:
                    return [Reject(SHUTTING_DOWN)]
                self.state = OldState.OFFERED
                return [Action.OFFER]
            case Take():
                if self.state is not OldState.OFFERED:
                    return self.handle(ChannelEnded(EndCause.MALFORMED))
                self.state = OldState.HANDED_OVER
                return [Action.RELEASE]
            case ChannelEnded():
                before, self.state = self.state, OldState.SERVING
                actions: list[Action | Reject] = [] if event.cause is EndCause.CLOSED else [Action.CLOSE]
                # During a shutdown, this process does not accept again: it would soon cut off the connections
                # from the accept queue. It leaves them to whichever process listens.
                if before is OldState.HANDED_OVER:
                    actions.append(Action.END_SHUTDOWN if self.stopping else Action.RESUME)
                return actions


class NewState(Enum):
    """The progress of the new process."""

    HELLO_SENT = "hello_sent"
    OFFERED = "offered"
    TAKEN = "taken"
    SERVING = "serving"


class NewSide:
    """The process that starts. `listener`: whether the listening socket was handed over to it."""

    def __init__(self) -> None:
        self.state = NewState.HELLO_SENT
        self.listener = False

    def handle(self, event: Offer | No | Go | ChannelEnded) -> list[Action]:
        """The actions that follow from an event."""
        match event:
            case Offer() if self.state is NewState.HELLO_SENT and event.version == VERSION and event.listener:
                self.state, self.listener = NewState.OFFERED, True
                return [Action.TAKE]
            case No() if self.state is NewState.HELLO_SENT:
                self.state = NewState.SERVING
                return [Action.EXIT] if event.reason == BUSY else [Action.START_ALONE]
            case Go() if self.state is NewState.OFFERED:
                self.state = NewState.SERVING
                return [Action.SERVE]
            case _ if self.state is NewState.SERVING:
                return []
        self.state = NewState.SERVING
        return [Action.CLOSE, Action.START_WITH_LISTENER if self.listener else Action.START_ALONE]
