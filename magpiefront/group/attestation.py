"""Checks at startup whether a member's disk is current, by asking the others what they know of its progress.

A member whose disk is empty or was restored from an older copy could vote a second time in a term. So it
neither votes nor confirms anything until enough others have answered. If one of them knows of more progress
than the disk holds, the member gives up its incarnation and joins again under a new one, at first as an
observer. No I/O and no clock.

The member waits for answers from all the others or from a leader. After `MAJORITY_AFTER_US` it is enough if
the members that have answered and this member together are a majority, since otherwise one failed machine
would block the others forever. At the first start of a group, all the others must answer.

The others store what they know of this member's progress, but only along with their next entries, without a
sync of its own. So an outdated disk remains undetected in two cases: all members that know of more progress
are down or cut off during `MAJORITY_AFTER_US`; or they have all restarted, and the disk lacks only what this
member confirmed after the last write of each of them.
"""

from __future__ import annotations

from enum import Enum

from magpiefront.group.messages import AttestReply, Conf, name_of


# How long the member waits for the answers of all the others before those of a majority are enough.
MAJORITY_AFTER_US = 3_000_000


class Verdict(Enum):
    """The result of the attestation."""

    PENDING = "waits"  # more answers are needed
    CURRENT = "good"  # the disk is current
    NEW_GROUP = "first"  # no member has any state: the group starts
    # The others know of more progress than the disk holds, another incarnation has the member's name by now,
    # or the disk is empty although the group has state.
    OUTDATED = "reborn"


class KnownProgress:
    """What this member knows of the others' progress: the latest term in which each of them has confirmed
    anything to it, and the last index confirmed in that term."""

    def __init__(self, known: dict[str, tuple[int, int]]) -> None:
        """`known`: the progress stored on this member's disk, by member id."""
        self.known = dict(known)

    def record(self, member: str, term: int, match: int = 0) -> None:
        """Records that the member has confirmed that index in that term; less than is known has no effect."""
        self.known[member] = max(self.known.get(member, (0, 0)), (term, match))

    def retain(self, members: frozenset[str]) -> None:
        """Discards what is known of all other members."""
        for m in self.known.keys() - members:
            del self.known[m]


class Attestation:
    """The answers of the other voters, and the verdict that follows from them."""

    def __init__(
        self, me: str, voters: frozenset[str], is_empty: bool, term: int, last: int, now_us: int
    ) -> None:  # fmt: skip
        """`voters`: the names of the voters known to this member. `is_empty`, `term` and `last` (the last
        index) describe its disk."""
        self.majority_from_us = now_us + MAJORITY_AFTER_US
        self.me, self.others = me, voters - {name_of(me)}
        self.is_empty, self.term, self.last_index = is_empty, term, last
        self.answers: dict[str, AttestReply] = {}

    def add_answer(self, name: str, answer: AttestReply) -> None:
        if name in self.others:
            self.answers[name] = answer

    def verdict(self, now_us: int) -> Verdict:
        """Whether the disk is current, as far as the answers show."""
        answers = self.answers.values()
        group_exists = self.is_empty and not all(answer.is_empty for answer in answers)
        if group_exists or any(
            answer.other or is_ahead(answer, self.term, self.last_index) for answer in answers
        ):
            return Verdict.OUTDATED
        if self.is_empty:
            # All must answer: otherwise two members that lost their disks could start a second group.
            return Verdict.NEW_GROUP if len(self.answers) == len(self.others) else Verdict.PENDING
        majority = (len(self.others) + 1) // 2  # the answers that make a majority together with this member
        required = majority if now_us >= self.majority_from_us else len(self.others)
        # Here `AttestReply.is_empty` means that the sender's disk is empty: such a sender knows of no
        # progress. (The field's second meaning applies only if the receiver's disk is empty, and this
        # member's is not.)
        informed = sum(not answer.is_empty for answer in answers)
        is_confirmed = informed >= required or any(answer.leads for answer in answers)
        return Verdict.CURRENT if is_confirmed else Verdict.PENDING


def is_ahead(answer: AttestReply, term: int, last: int) -> bool:
    """True if the answering member knows of more progress than a disk with that term and last index can hold.

    Within a term a log only grows, and the term itself never decreases.
    """
    return answer.known_term > term or (answer.known_term == term and answer.known > last)


def voter_names(conf: Conf, first: frozenset[str]) -> frozenset[str]:
    """The names of the configuration's voters, or `first` (those of the settings) if it has none."""
    return frozenset(name_of(v) for v in conf.voters) or first
