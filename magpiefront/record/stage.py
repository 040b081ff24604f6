"""The stage that stores each report before it is sent, and its outcome before its clients are answered."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from hashlib import blake2b
from secrets import token_hex

from magpiefront.interface import DedupScope, Repeat, RequestClass
from magpiefront.net.deadlines import DeadlineTimer
from magpiefront.net.execution import ExecutionTracker, execution_of, mark_may_have_run
from magpiefront.net.runtime import StageRuntime
from magpiefront.net.fields import format_fields
from magpiefront.net.metrics import metric_lines
from magpiefront.net.request import Request, Stage
from magpiefront.record import journal
from magpiefront.record.ownership import Ownership, UngroupedOwnership, OwnerStatus
from magpiefront.record.journal import (
    Action, Change, RecoveryAction, Follow, Get, Insert, Journal, LogLine, DeliveryPace, Phase, Remove, Reply,
    Send,
)  # fmt: skip
from magpiefront.record.node_answer import NodeAnswer
from magpiefront.record.rows import (
    Answer, Attempt, Id, Moment, Result, Row, State, Store, boot_id, group_attempt, group_of_attempts,
    site_attempt,
)  # fmt: skip
from magpiefront.record.sender import ReportSender
from magpiefront.record.settings import RecordSettings
from magpiefront.repeat_limits import FIRST_SENDING, ServerGroup

POLL_ROW_LIMIT = 200  # the most rows that one poll reads
OWNERSHIP_POLL_S = 0.005  # seconds between two checks whether this process may act yet
CLAIM_RETRY_S = 0.1  # pause before the rows of an owner that has ended are read again, if some are unclaimed
ENDED_OWNER_KEPT_US = 60_000_000  # how long after its end `ended_owners` keeps an owner without open rows
# The pause between two sweeps, and the most rows that one sweep removes.
SWEEP_INTERVAL_US, SWEEP_ROW_LIMIT = 60_000_000, 500
# Rows are dated by the wall clock, so a sweep keeps them for this many seconds longer than `retention_s`: a
# step of the clock forward by up to this much then removes no row too early.
CLOCK_STEP_S = 3_600
UNSTORED_FIELD_NAMES = frozenset({b"connection", b"content-length", b"transfer-encoding", b"host", b"expect"})


def digest_of(r: Request) -> bytes:
    """Returns a hash (16 bytes) of the parts that must be the same in all requests under one idempotency
    key."""
    digest = blake2b(digest_size=16)
    for part in (r.method, b" ", r.target, b" ", r.headers.get(b"content-type", b""), b"\0", *r.body):
        digest.update(part)
    return digest.digest()


def by_urgency(found: list[Row], up_us: int) -> list[Row]:
    """Sorts rows for delivery: first those whose clients may still wait, the shortest remaining time first;
    then the others in the given order. `up_us` is the current time since boot in microseconds."""

    def left_s(row: Row) -> float:
        return row.sent.up_s + row.until_s - up_us / 1e6 if row.sent is not None else 0.0

    waited = sorted((r for r in found if left_s(r) > 0), key=left_s)
    return waited + [r for r in found if left_s(r) <= 0]


class RecordStage:
    """Stores reports and sends them on to the next stage; passes all other requests on.

    `wall` reads Unix time in seconds, `up_us` the time since boot in microseconds.
    """

    def __init__(
        self, runtime: StageRuntime, following: Stage, settings: RecordSettings, store: Store,
        boot: str = "", wall: Callable[[], float] = time.time,
        up_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000, ownership: Ownership | None = None,
    ) -> None:  # fmt: skip
        self.runtime, self.following, self.settings, self.store = runtime, following, settings, store
        self.wall, self.up_us = wall, up_us
        self.boot = boot or boot_id()
        self.ownership = ownership or UngroupedOwnership()
        self.journal = Journal(
            self.boot, settings.least_left_us, settings.settle_us, self.ownership, settings.most_answer
        )
        self.ownership.watch(self._on_members_changed, lambda id: id in self.journal.entries)
        self.process_token, self.sequence = token_hex(8), itertools.count(1)
        # The next stage for reports from another site. It serves them at this site only.
        self.node_stage: Stage = following
        # The site that a report for this key is sent to, and this site; empty without a gateway.
        self.site_of: Callable[[bytes], str] = lambda key: ""
        self.own_site = ""
        self.clients: dict[Request, Id] = {}
        self.deadline_timers: dict[Request, DeadlineTimer] = {}
        runtime.deadlines.on_brought_forward.append(self._bring_forward)
        self.sender = ReportSender(
            runtime, self.ownership, self.process_token, self.up_us, settings.most_answer, self._on_answer
        )
        self.clock_offset_us = runtime.now_us() - self.up_us()
        self.delivery_pace = DeliveryPace(settings.most_deliveries)
        # For the reports that a lost member had in hand. Other deliveries must not delay them, because their
        # clients may still wait.
        self.claim_pace = DeliveryPace(settings.most_takeovers)
        self.deliveries: dict[Id, DeliveryPace] = {}
        self.ended_owners: dict[str, int] = {}  # when this process learnt that the owner has ended (up_us)
        self.last_sweep_us = 0
        # Requests that wait until this process may act: class, and whether from another site.
        self.early_requests: dict[Request, tuple[RequestClass, bool]] = {}
        self.ownership_expected_us = 0
        self.accepts_reports = True  # False while this process waits for the reports in hand to end
        self.poll_timer: asyncio.TimerHandle | None = None
        self.claim_timer: asyncio.TimerHandle | None = None

    # ---- the stage

    def submit(self, r: Request) -> None:
        cls = self.recorded_class(r)
        if cls is None:
            self.following.submit(r)
        else:
            self.store_report(r, cls)

    def recorded_class(self, r: Request) -> RequestClass | None:
        """Returns the class of the request if reports of that class are stored, else None."""
        cls, chosen = self.runtime.classes.get(r.headers[b"req-kind"]), self.settings.classes
        if cls is None or cls.repeat is not Repeat.KEYED or (chosen is not None and cls.name not in chosen):
            return None
        return cls

    def store_report(self, r: Request, cls: RequestClass, from_other_site: bool = False) -> None:
        """Stores a report and sends it, or answers a repeat."""
        if b"idempotency-key" not in r.headers:
            self._answer(r, journal.plain_answer(400, "a report needs an Idempotency-Key"))
            return
        if r.size > self.settings.most_body:
            self._answer(
                r, journal.plain_answer(413, f"a report holds {self.settings.most_body} bytes at most")
            )
            return
        if not self.accepts_reports and self._id_of(r, cls) not in self.journal.entries:
            self._refuse(r)  # a repeat of a report in hand joins it: that nothing was done would not be true
            return
        if self.ownership.owner_prefix() is None and self.up_us() < self.ownership_expected_us:
            if not self.early_requests:
                self.runtime.loop.call_later(OWNERSHIP_POLL_S, self._retry_early)
            self.early_requests[r] = cls, from_other_site
            return
        if self.ownership.owner_prefix() is None:
            # Another member may have claimed the rows of this process, so no report is accepted or confirmed.
            self._refuse(r)
            return
        row = self._new_row(r, cls, self.own_site if from_other_site else self.site_of(r.key))
        deadline_us = self.runtime.deadlines.of(r) - self.clock_offset_us
        self.clients[r] = row.id
        self.deadline_timers[r] = self.runtime.deadlines.start(
            r, self._on_deadline, r, offset_us=-self.settings.least_left_us
        )
        self._do(self.journal.on_request(self.up_us(), r, row, deadline_us, from_other_site))

    def await_ownership(self, max_wait_s: float) -> None:
        """Makes reports wait until this process may act, which is expected within `max_wait_s`. A report
        waits no longer than its deadline allows."""
        self.ownership_expected_us = self.up_us() + int(max_wait_s * 1e6)

    def _retry_early(self) -> None:
        """Stores the waiting requests once this process may act; refuses those that can wait no longer."""
        may_act, up_us = self.ownership.owner_prefix() is not None, self.up_us()
        for r, (cls, from_other_site) in list(self.early_requests.items()):
            due_us = self.runtime.deadlines.of(r) - self.clock_offset_us - self.settings.least_left_us
            if may_act or up_us >= min(due_us, self.ownership_expected_us):
                del self.early_requests[r]
                if may_act:
                    self.store_report(r, cls, from_other_site)
                else:
                    self._refuse(r)
        if self.early_requests:
            self.runtime.loop.call_later(OWNERSHIP_POLL_S, self._retry_early)

    def _id_of(self, r: Request, cls: RequestClass) -> Id:
        headers = r.headers
        return Id(headers.get(b"req-owner", b"").decode("latin-1"), cls.name, headers[b"idempotency-key"])

    def _new_row(self, r: Request, cls: RequestClass, site: str) -> Row:
        fields = getattr(r, "fields", None)
        field_lines = r.extra_fields if fields is None else format_fields(
            f for f in fields if f[0].lower() not in UNSTORED_FIELD_NAMES
        )  # fmt: skip
        up_us, wall_s = self.up_us(), self.wall()
        first_sent_us = r.limits.first_sent_us  # by another site; 0: it has not sent it
        age_s = max(0, self._to_runtime_us(up_us) - first_sent_us) / 1e6 if first_sent_us else 0.0
        return Row(
            self._id_of(r, cls), digest_of(r), r.method, r.target, field_lines, b"".join(r.body),
            State.SENT, wall_s, Moment(wall_s - age_s, self.boot, up_us / 1e6 - age_s),
            self._new_owner(), cls.window_us / 1e6,
            age_s + (r.time_left + self.settings.settle_us) / 1e6, attempts=site_attempt(site, wall_s),
        )  # fmt: skip

    def client_left(self, r: Request) -> None:
        id = self.clients.pop(r, None)
        if id is None:
            if self.early_requests.pop(r, None) is None:
                self.following.client_left(r)
            return
        self.deadline_timers.pop(r).cancel()
        self.journal.on_client_left(r, id)

    def pause_response(self, r: Request) -> None:
        if r not in self.clients and r not in self.early_requests:
            self.following.pause_response(r)

    def resume_response(self, r: Request) -> None:
        if r not in self.clients and r not in self.early_requests:
            self.following.resume_response(r)

    def _bring_forward(self, at_us: int) -> None:
        self.journal.bring_forward(at_us - self.clock_offset_us)

    def _on_deadline(self, r: Request) -> None:
        id = self.clients.get(r)
        if id is None:
            return
        left_us = self.runtime.deadlines.of(r) - self.runtime.now_us()
        self._do(self.journal.on_deadline(self.up_us(), r, id))
        if r in self.clients and left_us > 0:  # the report was sent: its answer may come until the deadline
            self.deadline_timers[r] = self.runtime.deadlines.start(r, self._on_deadline, r)
        elif r in self.clients:
            # The journal no longer knows the client, which must be answered all the same.
            self._do([journal.Reply(r, journal.NO_ANSWER_IN_TIME)])

    # ---- the actions of the journal

    def _do(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Insert():
                    until_us = self._to_runtime_us(action.deadline_us)
                    self.store.insert(action.row, until_us, self._on_inserted(action.row.id))
                case Change():
                    until_us = self._to_runtime_us(action.deadline_us)
                    self.store.change(action.before, action.after, until_us, self._on_changed(action.after))
                case Remove():
                    until_us = self._to_runtime_us(action.deadline_us)
                    self.store.remove(action.before, until_us, self._on_removed(action.before.id))
                case Get():
                    self.runtime.loop.call_later(action.delay_us / 1e6, self._read_row, action)
                case Follow():
                    self.ownership.follow(action.owner, action.id, self._on_owner_done)
                case Send():
                    self._send(action)
                case Reply():
                    self._reply(action)
                case LogLine():
                    self.runtime.log(action.text)

    def _to_runtime_us(self, up_us: int) -> int:
        """Converts a time since boot to the clock of the runtime."""
        return up_us + self.clock_offset_us

    def _on_inserted(self, id: Id) -> Callable[[Result], None]:
        return lambda result: self._do(self.journal.inserted(self.up_us(), id, result))

    def _on_changed(self, after: Row) -> Callable[[Result], None]:
        def on_result(result: Result) -> None:
            self._do(self.journal.changed(self.up_us(), after.id, after, result))
            self._notify_if_done(after.id)
            if self.deliveries:
                self._finish_deliveries()

        return on_result

    def _on_removed(self, id: Id) -> Callable[[Result], None]:
        def on_result(result: Result) -> None:
            self._do(self.journal.removed(self.up_us(), id, result))
            self._notify_if_done(id)

        return on_result

    def _notify_if_done(self, id: Id) -> None:
        """Notifies the members that follow the report, once this process is done with it."""
        if id not in self.journal.entries:
            self.ownership.notify_done(id)

    def _read_row(self, get: Get) -> None:
        def on_result(result: Result) -> None:
            self._do(self.journal.row_read(self.up_us(), get.id, result, get.read_number))

        self.store.get(get.id, self._to_runtime_us(get.deadline_us), on_result)

    def _on_owner_done(self, id: Id) -> None:
        """Reads a row that this process polls, because its owner is done with it."""
        self._do(self.journal.poll_now(self.up_us(), id))

    def _refuse(self, r: Request) -> None:
        """Answers that the report can't be stored now."""
        field_lines = self._with_retry_after(journal.STORE_UNAVAILABLE.more, journal.RETRY_AFTER_US)
        self._answer(r, replace(journal.STORE_UNAVAILABLE, more=field_lines))

    def _with_retry_after(self, field_lines: bytes, after_us: int) -> bytes:
        """Adds `Retry-After` to the field lines, unless it is there already or the settings exclude it."""
        after_us = min(after_us, self.runtime.max_retry_after_us)
        if after_us > 0 and b"retry-after:" not in field_lines.lower():
            field_lines += b"Retry-After: %.3f\r\n" % (after_us / 1e6)
        return field_lines

    def _reply(self, reply: Reply) -> None:
        r = reply.waiter
        assert isinstance(r, Request)
        if self.clients.pop(r, None) is None:
            return
        self.deadline_timers.pop(r).cancel()
        if not reply.never_ran:
            mark_may_have_run(r)
        execution = execution_of(r)
        if execution is not None:
            execution.undecided = reply.answer in journal.UNDECIDED
        # If the store can't take the report now, the client retries after the expected time of a commit.
        wait_us = self.store.wait_us if reply.answer is journal.STORE_UNAVAILABLE else 0
        field_lines = self._with_retry_after(reply.answer.more, max(reply.retry_after_us, wait_us))
        r.responder.answer(r, reply.answer.status, (reply.answer.body,), field_lines)

    def _answer(self, r: Request, answer: Answer) -> None:
        r.responder.answer(r, answer.status, (answer.body,), answer.more)

    # ---- recovery of open rows

    def begin_polling(self) -> None:
        """Polls the store for open rows, such as those that a crash left, now and at regular intervals."""
        self.store.open_rows(POLL_ROW_LIMIT, self._on_polled)

    def stop(self) -> None:
        for timer in (self.poll_timer, self.claim_timer):
            if timer is not None:
                timer.cancel()

    def _on_polled(self, found: list[Row]) -> None:
        up_us = self.up_us()
        self._handle_open_rows(found, up_us)
        if up_us - self.last_sweep_us > SWEEP_INTERVAL_US:
            self.last_sweep_us = up_us
            before_s = self.wall() - self.settings.retention_s - CLOCK_STEP_S
            self.store.sweep(before_s, SWEEP_ROW_LIMIT, self._on_swept)
        self.poll_timer = self.runtime.loop.call_later(
            self.settings.poll_interval_us / 1e6, self.begin_polling
        )

    def _handle_open_rows(self, found: list[Row], up_us: int) -> None:
        if self.ownership.owner_prefix() is None:
            return
        found_ended_us = dict[str, int]()  # like `ended_owners`, for the owners of the rows found
        for row in by_urgency([r for r in found if r.id not in self.journal.entries], up_us):
            owner_status = self.ownership.owner_status(row.owner)
            pace = self.delivery_pace
            if owner_status is OwnerStatus.ENDED:
                pace = self.claim_pace
                found_ended_us[row.owner] = self.ended_owners.get(row.owner, up_us)
                if up_us < found_ended_us[row.owner] + self.ownership.claim_delay_us(row.id):
                    continue
            action = journal.recovery_action(
                row, up_us / 1e6, self.boot, self.settings.delivery_us / 1e6, owner_status
            )
            if action is RecoveryAction.UNKNOWN:
                self._do(self.journal.mark_unknown(up_us, row, self._new_owner()))
            elif action in (RecoveryAction.RESEND, RecoveryAction.DELIVER) and pace.can_begin(up_us):
                self._deliver(up_us, row, pace)
        self.ended_owners = found_ended_us | {
            owner: at_us for owner, at_us in self.ended_owners.items() if up_us < at_us + ENDED_OWNER_KEPT_US
        }

    def _on_members_changed(self, owner_prefixes: list[str]) -> None:
        """Reads at once the rows that the members with these prefixes had in hand, and the rows that this
        process polls."""
        self._do(self.journal.poll_now(self.up_us()))
        for prefix in owner_prefixes:
            self.store.open_rows(POLL_ROW_LIMIT, self._on_claimable_rows, prefix)

    def _on_claimable_rows(self, found: list[Row]) -> None:
        up_us = self.up_us()
        self._handle_open_rows(found, up_us)
        unclaimed = [r for r in found if r.id not in self.journal.entries and r.owner in self.ended_owners]
        if unclaimed and self.claim_timer is None:
            self.claim_timer = self.runtime.loop.call_later(
                CLAIM_RETRY_S, self._poll_claimable, {r.owner for r in unclaimed}
            )

    def _poll_claimable(self, owners: set[str]) -> None:
        """Reads the rows of these owners again, in case the members that come before this one in the order of
        claims have not claimed them."""
        self.claim_timer = None
        for owner in owners:
            if self.ownership.owner_status(owner) is OwnerStatus.ENDED:
                self.store.open_rows(POLL_ROW_LIMIT, self._on_claimable_rows, owner)

    def _on_swept(self, removed: int) -> None:
        if removed == SWEEP_ROW_LIMIT:
            self.last_sweep_us = 0  # there may be more: sweep at the next poll

    def _deliver(self, up_us: int, row: Row, pace: DeliveryPace) -> None:
        wall_s, delivery_us = self.wall(), self.settings.delivery_us
        until_s = (delivery_us + self.settings.settle_us) / 1e6
        claimed = replace(
            row, owner=self._new_owner(), sent=Moment(wall_s, self.boot, up_us / 1e6), until_s=until_s
        )
        actions = self.journal.deliver(up_us, row, claimed, up_us + delivery_us)
        if actions:
            pace.begin()
            self.deliveries[row.id] = pace
            self._do(actions)

    def _new_owner(self) -> str:
        return f"{self.ownership.owner_prefix() or ''}{self.process_token}.{next(self.sequence)}"

    def _finish_deliveries(self) -> None:
        """Ends the deliveries that got no answer and that the journal no longer has in hand. They count as
        delivered, because a report that was never sent has not been refused either."""
        for id in [i for i in self.deliveries if i not in self.journal.entries]:
            self.deliveries.pop(id).end(self.up_us(), True)

    # ---- metrics and planned shutdown

    @property
    def in_hand(self) -> dict[str, int]:
        """The number of reports of this process in each phase."""
        counts = Counter(e.phase.value for e in self.journal.entries.values())
        return {p.value: counts[p.value] for p in Phase}

    def metrics(self) -> str:
        """Returns the metric lines for the admin address."""
        values = {f'in_hand{{phase="{phase}"}}': n for phase, n in self.in_hand.items()}
        values |= {"delivering": len(self.deliveries), "taken_over_count": self.journal.claimed_count}
        return metric_lines("record", values)

    def release_all(self) -> None:
        """Releases the reports that would not end in time, so that other processes may claim them. Answers
        all clients."""
        early_requests, self.early_requests = self.early_requests, {}
        for r in early_requests:
            self._refuse(r)
        self._do(self.journal.release_all(self.up_us()))

    # ---- the nodes

    def _send(self, send: Send) -> None:
        self.sender.send(send, self.node_stage if send.from_other_site else self.following)

    def _group_entry(self, row: Row, execution: ExecutionTracker) -> tuple[Attempt, ...]:
        """Returns the entry with the group of nodes where the report may have run first, if its class has
        more than one group and the row names none."""
        cls = self.runtime.classes.get(row.id.kind.encode())
        if cls is None or cls.group is DedupScope.ALL or group_of_attempts(row.attempts) is not None:
            return ()
        after = execution.limits_after(FIRST_SENDING, self.runtime.now_us(), cls.window_us)
        if not isinstance(after.place, ServerGroup):
            return ()
        return (group_attempt(after.place, after.first_sent_us / 1e6),)

    def _on_answer(self, row: Row, answer: NodeAnswer, execution: ExecutionTracker) -> None:
        if not self.journal.is_sending(row):
            return  # released meanwhile
        attempts = tuple(Attempt(a.place, a.sent_at / 1e6) for a in execution.attempts)
        attempts += self._group_entry(row, execution)
        if row.id in self.deliveries:
            is_delivered = isinstance(answer, Answer) and 200 <= answer.status < 300
            self.deliveries.pop(row.id).end(self.up_us(), is_delivered)
        self._do(self.journal.answered(
            self.up_us(), row.id, answer, execution.may_have_run, attempts, undecided=execution.undecided,
            has_run=execution.has_run,
        ))  # fmt: skip
