"""Explores all orders of messages and crashes in a Raft group exhaustively, up to a number of steps.

The exploration covers elections, replication and changes of members, with crashes before and after a sync. It
uses the production `Raft` without time. Instead of time, the worst case is assumed: no voter refuses a
candidate because it hears a leader, every pre-vote has succeeded, and messages stay in the network, where
they may be delivered again at any moment. So the rules that hold here do not depend on clocks.

States that have been visited are identified by a key. The numbers of heartbeat rounds are not part of it,
because they only confirm leases and reads.
"""

from __future__ import annotations

import argparse
import json
import pickle
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec

from magpiefront.group.log import Log
from magpiefront.group.messages import AnyMessage, Conf, Entry, Message, Snapshot
from magpiefront.group.durable import HardState
from magpiefront.group.raft import Raft, Role
from magpiefront.group.settings import Limits, Times

FAR_US = 1 << 50  # the local time at every step, later than any timeout
TIMES, LIMITS = Times(), Limits()
DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class NoRandom(Random):
    """Always draws 0. Randomness affects only timeouts, which are not used here."""

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return 0


@dataclass(frozen=True)
class Bounds:
    """Limits of the exploration: the number of steps in a sequence; the highest term; the numbers of
    proposals, crashes and changes of members in a sequence; and the number of states that are visited."""

    depth: int = 8
    terms: int = 2
    proposals: int = 1
    crashes: int = 1
    changes: int = 0
    states: int = 2_000_000


class ExplorationFailed(AssertionError):
    """A rule does not hold, and the message lists the steps that lead to the violation; or there are more
    states than the bound.

    To explore further, run the module: `python -m magpiefront.model.explore --depth 8 --crashes 1`."""


@dataclass
class Node:
    """A member of the group, and its durable state."""

    raft: Raft
    disk: tuple[HardState, Snapshot, list[Entry]]


@dataclass
class State:
    """The state of the group and the network, the counts that `Bounds` limits, and what `Explorer.check` has
    recorded on the sequence of steps that led here."""

    nodes: dict[str, Node]
    messages: set[tuple[str, str, bytes]] = field(default_factory=set)  # sender, receiver, encoded message
    proposals: int = 0
    crashes: int = 0
    changes: int = 0
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    committed: list[tuple[int, bytes]] = field(default_factory=list)  # term and data, from index 2 on

    def key(self) -> bytes:
        """Returns the key that identifies a visited state; see the start of this module."""
        nodes = []
        for name, node in sorted(self.nodes.items()):
            raft = node.raft
            progress = None
            if raft.leader_state is not None:
                others = sorted(raft.leader_state.progress.items())
                progress = [(m, p.match, p.next, p.mode.value, p.probe_in_flight) for m, p in others]
            log = [(e.term, e.data) for e in raft.log.entries]
            nodes.append((name, raft.hard_state, raft.durable_hard_state, raft.role.value, raft.leader,
                          raft.commit, log, raft.log.durable_index,
                          sorted(raft.received_votes.items()), progress))  # fmt: skip
        return pickle.dumps((nodes, sorted(self.messages), self.proposals, self.crashes, self.changes))


def initial_state(voters: list[str], joining: list[str]) -> State:
    """Returns a group of `voters` that has just started. `joining` are members that have no state yet."""
    nodes = {}
    for name in [*voters, *joining]:
        is_voter = name in voters
        snapshot = Snapshot(int(is_voter), 0, Conf(frozenset(voters if is_voter else ())), b"")
        nodes[name] = Node(new_raft(name, HardState(), snapshot, []), (HardState(), snapshot, []))
    return State(nodes)


def new_raft(name: str, hard_state: HardState, snapshot: Snapshot, entries: list[Entry]) -> Raft:
    return Raft(name, TIMES, LIMITS, NoRandom(), hard_state, Log(snapshot, entries), 0)


def copy_state(state: State) -> State:
    copy: State = pickle.loads(pickle.dumps(state))
    return copy


class Explorer:
    """Visits all states within `bounds`. One possible change of members makes those in `joining` voters, and
    another one removes the first voter."""

    def __init__(self, voters: list[str], bounds: Bounds, joining: list[str] | None = None) -> None:
        self.bounds = bounds
        self.start = initial_state(voters, joining or [])
        self.confs = [Conf(frozenset(voters + (joining or []))), Conf(frozenset(voters[1:]))]

    # ---- steps

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields each possible next step, described in words, and the state after it."""
        for name, step, act in self.actions(state):
            following = copy_state(state)
            act(following)
            self.apply_output(following, name)
            yield step, following
            if state.crashes < self.bounds.crashes:
                following = copy_state(state)
                act(following)
                following.crashes += 1
                following.nodes[name].raft = new_raft(name, *following.nodes[name].disk)
                yield f"{step}, and crashes before it syncs", following
        if state.crashes < self.bounds.crashes:
            for name in state.nodes:
                following = copy_state(state)
                following.crashes += 1
                following.nodes[name].raft = new_raft(name, *following.nodes[name].disk)
                yield f"{name} crashes", following

    def actions(self, state: State) -> Iterator[tuple[str, str, Callable[[State], object]]]:
        """Yields what the members may do next: the member, a description, and a function that does it."""
        bounds = self.bounds
        for name, node in state.nodes.items():
            raft = node.raft
            if raft.role is not Role.LEADER and raft.is_voter and raft.term < bounds.terms:
                yield name, f"{name} campaigns", partial(_campaign, name)
            if raft.leader_state is not None and state.proposals < bounds.proposals:
                yield name, f"{name} proposes", partial(_propose, name)
            if raft.leader_state is not None and state.changes < bounds.changes:
                for number, conf in enumerate(self.confs):
                    if conf != raft.log.conf:
                        yield name, f"{name} changes to {number}", partial(_change, name, conf)
        for sender, to, data in sorted(state.messages):
            message: Message = DECODER.decode(data)
            yield (
                to,
                f"{to} receives {type(message).__name__} from {sender}",
                partial(_receive, to, sender, message),
            )

    def apply_output(self, state: State, name: str) -> None:
        """Makes the member's writes durable and puts the messages that it sends into the network."""
        node = state.nodes[name]
        raft = node.raft
        raft.flush(FAR_US)
        while (write := raft.take_write()) is not None:
            _, snapshot, entries = node.disk
            if write.snapshot is not None:
                snapshot, entries = write.snapshot, [] if write.replaces_log else entries
            if write.entries:
                entries = [e for e in entries if e.index < write.entries[0].index] + write.entries
            node.disk = (write.hard_state, snapshot, entries)
            raft.saved(FAR_US)
            raft.flush(FAR_US)
        for to, message in raft.messages():
            if to in state.nodes:
                if getattr(message, "round", None) is not None:
                    message = msgspec.structs.replace(message, round=1)
                state.messages.add((name, to, msgspec.msgpack.encode(message)))

    # ---- rules

    def check(self, state: State) -> str:
        """Returns a description of the violated rule, or "". There must be one leader per term, and one
        committed entry at each index. Records the leaders and committed entries in `state`."""
        for name, node in state.nodes.items():
            raft = node.raft
            if raft.leader_state is not None and state.leaders.setdefault(raft.term, name) != name:
                return f"{state.leaders[raft.term]} and {name} lead in term {raft.term}"
            for entry in raft.log.entries_between(raft.log.base_index, raft.commit):
                position = entry.index - 2
                if position < len(state.committed):
                    if state.committed[position] != (entry.term, entry.data):
                        return f"{name} has a different entry committed at {entry.index}"
                elif position == len(state.committed):
                    state.committed.append((entry.term, entry.data))
        return ""

    def run(self) -> tuple[int, int]:
        """Returns the numbers of states and steps. Raises ExplorationFailed if a rule does not hold, or if
        there are more states than `Bounds.states`."""
        visited = {self.start.key()}
        layer: list[tuple[State, tuple[str, ...]]] = [(self.start, ())]
        step_count = 0
        for _ in range(self.bounds.depth):
            next_layer: list[tuple[State, tuple[str, ...]]] = []
            for state, path in layer:
                for step, following in self.successors(state):
                    step_count += 1
                    violation = self.check(following)
                    if violation:
                        raise ExplorationFailed(f"{violation}: {'; '.join([*path, step])}")
                    key = following.key()
                    if key not in visited:
                        if len(visited) >= self.bounds.states:
                            raise ExplorationFailed(
                                "more states than the bound: the exploration is incomplete"
                            )
                        visited.add(key)
                        next_layer.append((following, (*path, step)))
            layer = next_layer
        return len(visited), step_count


def _campaign(name: str, state: State) -> None:
    state.nodes[name].raft._campaign(FAR_US, False)


def _propose(name: str, state: State) -> None:
    state.proposals += 1
    state.nodes[name].raft.propose(b"p%d" % state.proposals, name, state.proposals)


def _change(name: str, conf: Conf, state: State) -> None:
    state.changes += state.nodes[name].raft.propose_conf(conf)


def _receive(to: str, sender: str, message: Message, state: State) -> None:
    state.nodes[to].raft.step(sender, message, FAR_US)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    for name, default in (("depth", 7), ("terms", 2), ("proposals", 1), ("crashes", 1), ("changes", 0)):
        parser.add_argument(f"--{name}", type=int, default=default)
    bounds = vars(parser.parse_args())
    started_s = time.monotonic()
    try:
        states, steps = Explorer(["a", "b", "c"], Bounds(**bounds), ["d"] if bounds["changes"] else []).run()
    except ExplorationFailed as e:
        print(e)
        return 1
    print(
        json.dumps({**bounds, "states": states, "steps": steps, "s": round(time.monotonic() - started_s, 1)})
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
