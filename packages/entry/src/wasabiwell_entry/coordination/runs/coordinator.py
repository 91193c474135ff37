"""Claims and settles run records, so that a non-idempotent call runs at most once."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
import trio

from wasabiwell_entry.coordination.runs.const import (
    CLOCK_ERROR_MARGIN,
    DEADLINE_GRACE,
    INLINE_ANSWER_BYTES,
    MAX_CLAIM_TRIES,
    MAX_SETTLING,
    RECORD_LIFETIME,
    SETTLE_POLL_INTERVAL,
    SETTLE_RETRY_INTERVAL,
    SETTLE_RETRY_LIMIT,
    SETTLE_WAIT,
    SHUTDOWN_SETTLE_TIME,
    STILL_RUNNING_RETRY_AFTER,
    STORE_RETRY_AFTER,
    SWEEP_INTERVAL,
    SWEEP_PAGE_ROWS,
)
from wasabiwell_entry.coordination.runs.errors import Claimed, ClaimOutcome
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import Failed, Reason, Refused, RunState, ServiceResponse
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ConditionFailed,
    ObjectStore,
    ReplyLost,
    Row,
    StoreUnavailable,
    TableService,
    Write,
)
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.runs import RUN_PREFIX, RunRecord, RunStatus, run_key


@dataclass(slots=True)
class _Claiming:
    """A claim in progress; `uncertain` means that a write may still take effect."""

    claim: Claimed
    uncertain: bool = False


class RunCoordinator:
    """Keeps the run records of this entry instance's calls in the table service.

    Settlements run in the nursery, so that they outlast the calls that started them.
    """

    __slots__ = ("_clock", "_node_id", "_nursery", "_objects", "_settling", "_table")

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        node_id: str,
        nursery: trio.Nursery,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._node_id = node_id
        self._nursery = nursery
        self._settling = 0

    @property
    def settling(self) -> int:
        """Return the number of settlements that the table service has not confirmed."""
        return self._settling

    async def claim(self, call: ServiceCall) -> ClaimOutcome:
        """Create the record of a call before its deadline, or tell what an earlier record says.

        The call is not sent unless the outcome is `Claimed`, so a refusal is proved.
        """
        if call.idempotency_key is None:
            return Refused(Reason.MISSING_IDEMPOTENCY_KEY, "Idempotency-Key is required")
        key = run_key(call.organisation, call.service, call.idempotency_key)
        claiming = _Claiming(Claimed(key, self._new_record(call)))
        remaining = call.deadline - self._clock.monotonic()
        outcome: ClaimOutcome = Refused(
            Reason.DEADLINE_EXCEEDED, "the deadline passed before the call was sent"
        )
        with trio.move_on_after(max(0.0, remaining.total_seconds())):
            outcome = await self._claim(claiming, call)
        if claiming.uncertain and not isinstance(outcome, Claimed):
            self._start_settling(claiming.claim, RunStatus.NOT_RUN, None)
        return outcome

    async def settle(
        self, claim: Claimed, status: RunStatus, answer: ServiceResponse | None = None
    ) -> None:
        """Write the final status of a claim.

        Returns when the table service confirms it or after `SETTLE_WAIT`; the write goes on in the
        background until it is confirmed.
        """
        settled = self._start_settling(claim, status, answer)
        with trio.move_on_after(SETTLE_WAIT.total_seconds()):
            await settled.wait()

    async def run_sweeps(self) -> None:
        """Delete expired records, one page at a time, until cancelled."""
        after = ""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            after = await self.sweep(after)

    async def sweep(self, after: str = "") -> str:
        """Delete the expired records of one page and return where the next page begins.

        Each delete is conditional on the row's version, so any entry may sweep at any time.
        """
        rows = await self._table.scan(RUN_PREFIX, after, SWEEP_PAGE_ROWS)
        if isinstance(rows, StoreUnavailable):
            return after
        now = self._clock.now()
        records = [(row, msgspec.msgpack.decode(row.value, type=RunRecord)) for row in rows]
        expired = [(row, record) for row, record in records if record.expires <= now]
        for _, record in expired:
            if record.object_key:
                await self._objects.put(record.object_key, b"")
        if expired:
            await self._table.transact(
                [Condition(row.key, row.version) for row, _ in expired],
                [Write(row.key, None) for row, _ in expired],
            )
        return rows[-1].key if len(rows) == SWEEP_PAGE_ROWS else ""

    async def wait_settled(self, duration: timedelta) -> None:
        """Wait until no settlement is running, at most for a duration."""
        end = self._clock.monotonic() + duration
        while self._settling and self._clock.monotonic() < end:
            await self._clock.sleep(SETTLE_POLL_INTERVAL)

    def _start_settling(
        self, claim: Claimed, status: RunStatus, answer: ServiceResponse | None
    ) -> trio.Event:
        settled = trio.Event()
        if self._settling >= MAX_SETTLING:
            log_events.emit(log_events.SETTLEMENT_GIVEN_UP, status=status.value)
            settled.set()
            return settled
        self._settling += 1
        self._nursery.start_soon(self._settle, claim, status, answer, settled)
        return settled

    async def _settle(
        self, claim: Claimed, status: RunStatus, answer: ServiceResponse | None, settled: trio.Event
    ) -> None:
        try:
            record = replace(claim.record, status=status)
            if answer is not None:
                record = await self._with_answer(record, answer)
            pause = SETTLE_RETRY_INTERVAL
            while not await self._write_final(claim, record):
                await self._clock.sleep(pause)
                pause = min(2 * pause, SETTLE_RETRY_LIMIT)
        finally:
            self._settling -= 1
            settled.set()

    def _new_record(self, call: ServiceCall) -> RunRecord:
        now = self._clock.now()
        remaining = call.deadline - self._clock.monotonic()
        return RunRecord(
            attempt_id=secrets.token_hex(16),
            holder=self._node_id,
            fingerprint=call.fingerprint,
            status=RunStatus.STARTED,
            deadline=now + remaining,
            expires=now + RECORD_LIFETIME + CLOCK_ERROR_MARGIN,
        )

    def _claimable(self, record: RunRecord, call: ServiceCall) -> bool:
        if record.expires <= self._clock.now():
            return True
        return record.fingerprint == call.fingerprint and record.status is RunStatus.NOT_RUN

    async def _claim(self, claiming: _Claiming, call: ServiceCall) -> ClaimOutcome:
        """Create the record; a repeated write has the same attempt id, so it is one claim."""
        uncertain_before = False
        for _ in range(MAX_CLAIM_TRIES):
            claim = claiming.claim
            claiming.uncertain = True
            outcome = await self._table.transact(
                [Condition(claim.key, claim.version)],
                [Write(claim.key, msgspec.msgpack.encode(claim.record))],
            )
            match outcome:
                case Committed():
                    return claim
                case StoreUnavailable(reason=reason):
                    claiming.uncertain = uncertain_before
                    return _store_refusal(reason)
                case ConditionFailed():
                    claiming.uncertain = uncertain_before
                case ReplyLost():
                    uncertain_before = True
            rows = await self._table.read([claim.key])
            if isinstance(rows, StoreUnavailable):
                return _store_refusal(rows.reason)
            row = rows.get(claim.key)
            if row is not None:
                earlier = msgspec.msgpack.decode(row.value, type=RunRecord)
                if earlier.attempt_id == claim.record.attempt_id:
                    return claim
                if not self._claimable(earlier, call):
                    return await self._repeat(earlier, call)
            claiming.claim = replace(claim, version=row.version if row is not None else 0)
        return _store_refusal("the claim was not stored")

    async def _repeat(self, record: RunRecord, call: ServiceCall) -> ClaimOutcome:
        if record.fingerprint != call.fingerprint:
            return Refused(
                Reason.IDEMPOTENCY_KEY_REUSED, "Idempotency-Key was used for another call"
            )
        match record.status:
            case RunStatus.DONE:
                return await self._stored_answer(record)
            case RunStatus.STARTED if self._clock.now() < record.deadline + DEADLINE_GRACE:
                return Failed(
                    Reason.STILL_RUNNING,
                    "an earlier call with this Idempotency-Key is still running",
                    RunState.UNKNOWN,
                    STILL_RUNNING_RETRY_AFTER,
                )
            case RunStatus.STARTED | RunStatus.UNKNOWN:
                return Failed(
                    Reason.RESULT_UNKNOWN,
                    "an earlier call with this Idempotency-Key may have run; "
                    "it will not be run again",
                    RunState.UNKNOWN,
                )
            case RunStatus.NOT_RUN:
                return Refused(
                    Reason.NO_CAPACITY, "the call was released; repeat it", STORE_RETRY_AFTER
                )

    async def _stored_answer(self, record: RunRecord) -> ClaimOutcome:
        body = record.answer_body
        if record.object_key:
            match await self._objects.get(record.object_key):
                case bytes(stored):
                    body = stored
                case _:
                    return _result_unavailable()
        elif record.answer_status == 0:
            return _result_unavailable()
        return ServiceResponse(
            record.answer_status, record.answer_content_type, body, replayed=True
        )

    async def _with_answer(self, record: RunRecord, answer: ServiceResponse) -> RunRecord:
        record = replace(
            record, answer_status=answer.status, answer_content_type=answer.content_type
        )
        if len(answer.body) <= INLINE_ANSWER_BYTES:
            return replace(record, answer_body=answer.body)
        object_key = f"answers/{record.attempt_id}"
        if isinstance(await self._objects.put(object_key, answer.body), Committed):
            return replace(record, object_key=object_key)
        return replace(record, answer_status=0)

    async def _write_final(self, claim: Claimed, record: RunRecord) -> bool:
        """Write a final record and return whether nothing is left to write."""
        rows = await self._table.read([claim.key])
        if isinstance(rows, StoreUnavailable):
            return False
        row = rows.get(claim.key)
        final = _final_record(claim, record, row)
        if final is None:
            return True
        outcome = await self._table.transact(
            [Condition(claim.key, row.version if row is not None else 0)],
            [Write(claim.key, msgspec.msgpack.encode(final))],
        )
        return isinstance(outcome, Committed)


@asynccontextmanager
async def open_run_coordinator(
    table: TableService, objects: ObjectStore, clock: Clock, node_id: str
) -> AsyncIterator[RunCoordinator]:
    """Own a coordinator with its settlements and sweeps until the context ends."""
    async with trio.open_nursery() as nursery:
        runs = RunCoordinator(table, objects, clock, node_id, nursery)
        nursery.start_soon(runs.run_sweeps)
        yield runs
        await runs.wait_settled(SHUTDOWN_SETTLE_TIME)
        nursery.cancel_scope.cancel()


def _final_record(claim: Claimed, record: RunRecord, row: Row | None) -> RunRecord | None:
    """Return the record to write over a row, or None when the row is final.

    A write of the claim that takes effect late would leave a started record that nobody settles.
    Writing `not_run` over an absent or unchanged row changes its version, so that such a write
    fails on its condition.
    """
    if row is None:
        return record if record.status is RunStatus.NOT_RUN else None
    stored = msgspec.msgpack.decode(row.value, type=RunRecord)
    if stored.attempt_id == record.attempt_id:
        return record if stored.status is RunStatus.STARTED else None
    if record.status is RunStatus.NOT_RUN and row.version == claim.version:
        return stored
    return None


def _store_refusal(reason: str) -> Refused:
    return Refused(
        Reason.STORE_UNAVAILABLE,
        f"the table service is unavailable, the call was not sent: {reason}",
        STORE_RETRY_AFTER,
    )


def _result_unavailable() -> Failed:
    return Failed(
        Reason.RESULT_UNAVAILABLE,
        "the call ran; its answer cannot be read now",
        RunState.RAN,
        STORE_RETRY_AFTER,
    )
