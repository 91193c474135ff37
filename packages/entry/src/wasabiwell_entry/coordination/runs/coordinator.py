"""Claims and settles run records, so that a non-idempotent call runs at most once."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
import trio

from wasabiwell_entry.coordination.runs.const import (
    CLOCK_SKEW_MARGIN,
    DEADLINE_GRACE,
    MAX_CLAIM_ATTEMPTS,
    MAX_INLINE_RESPONSE_BYTES,
    MAX_PENDING_SETTLEMENTS,
    MAX_SETTLE_RETRY_INTERVAL,
    RECORD_LIFETIME,
    SETTLE_POLL_INTERVAL,
    SETTLE_RETRY_INTERVAL,
    SETTLE_TIMEOUT,
    SHUTDOWN_SETTLE_TIMEOUT,
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
    ResponseLost,
    Row,
    StoreUnavailable,
    TableService,
    Write,
)
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.runs import RUN_PREFIX, RunRecord, RunStatus, run_key


@dataclass(slots=True)
class _PendingClaim:
    """A claim in progress; `may_apply_late` is set while one of its writes may take effect late."""

    claim: Claimed
    may_apply_late: bool = False


class RunCoordinator:
    """Keeps the run records of this entry instance's calls in the table service.

    Settlements run in the nursery, so that they can outlive the calls that started them.
    """

    __slots__ = ("_clock", "_node_id", "_nursery", "_objects", "_pending_settlements", "_table")

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
        self._pending_settlements = 0

    @property
    def pending_settlements(self) -> int:
        """Return the number of settlements that the table service has not confirmed."""
        return self._pending_settlements

    async def claim(self, call: ServiceCall) -> ClaimOutcome:
        """Create the record of a call before its deadline, or return the outcome of an earlier one.

        The call is sent only after `Claimed`, so a refused call is known not to have run.
        """
        if call.idempotency_key is None:
            return Refused(Reason.MISSING_IDEMPOTENCY_KEY, "Idempotency-Key is required")
        key = run_key(call.organisation, call.service, call.idempotency_key)
        pending = _PendingClaim(Claimed(key, self._new_record(call)))
        remaining = call.deadline - self._clock.monotonic()
        outcome: ClaimOutcome = Refused(
            Reason.DEADLINE_EXCEEDED, "the deadline passed before the call was sent"
        )
        with trio.move_on_after(max(0.0, remaining.total_seconds())):
            outcome = await self._claim(pending, call)
        if pending.may_apply_late and not isinstance(outcome, Claimed):
            self._start_settling(pending.claim, RunStatus.NOT_RUN, None)
        return outcome

    async def settle(
        self, claim: Claimed, status: RunStatus, response: ServiceResponse | None = None
    ) -> None:
        """Write the final status of a claim.

        Returns when the table service confirms it or after `SETTLE_TIMEOUT`; the write is retried
        in the background until it is confirmed. While `MAX_PENDING_SETTLEMENTS` are pending, the
        settlement is dropped instead.
        """
        settled = self._start_settling(claim, status, response)
        with trio.move_on_after(SETTLE_TIMEOUT.total_seconds()):
            await settled.wait()

    async def run_sweeps(self) -> None:
        """Delete expired records, one page at a time, until cancelled."""
        after = ""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            after = await self.sweep(after)

    async def sweep(self, after: str = "") -> str:
        """Delete the expired records of one page and return the key after which the next begins.

        The key is empty after the last page, and `after` if the table service is unavailable.
        Deletes are conditional on row versions, so several entry instances may sweep at once.
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
        """Wait until no settlement is pending, for at most `duration`."""
        end = self._clock.monotonic() + duration
        while self._pending_settlements and self._clock.monotonic() < end:
            await self._clock.sleep(SETTLE_POLL_INTERVAL)

    def _start_settling(
        self, claim: Claimed, status: RunStatus, response: ServiceResponse | None
    ) -> trio.Event:
        settled = trio.Event()
        if self._pending_settlements >= MAX_PENDING_SETTLEMENTS:
            log_events.emit(log_events.SETTLEMENT_GIVEN_UP, status=status.value)
            settled.set()
            return settled
        self._pending_settlements += 1
        self._nursery.start_soon(self._settle, claim, status, response, settled)
        return settled

    async def _settle(
        self,
        claim: Claimed,
        status: RunStatus,
        response: ServiceResponse | None,
        settled: trio.Event,
    ) -> None:
        try:
            record = replace(claim.record, status=status)
            if response is not None:
                record = await self._attach_response(record, response)
            retry_interval = SETTLE_RETRY_INTERVAL
            while not await self._write_final(claim, record):
                await self._clock.sleep(retry_interval)
                retry_interval = min(2 * retry_interval, MAX_SETTLE_RETRY_INTERVAL)
        finally:
            self._pending_settlements -= 1
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
            expires=now + RECORD_LIFETIME + CLOCK_SKEW_MARGIN,
        )

    def _claimable(self, record: RunRecord, call: ServiceCall) -> bool:
        if record.expires <= self._clock.now():
            return True
        return record.fingerprint == call.fingerprint and record.status is RunStatus.NOT_RUN

    async def _claim(self, pending: _PendingClaim, call: ServiceCall) -> ClaimOutcome:
        """Create the record; retried writes carry the same attempt id, so they are one claim."""
        earlier_may_apply_late = False
        for _ in range(MAX_CLAIM_ATTEMPTS):
            claim = pending.claim
            pending.may_apply_late = True
            outcome = await self._table.transact(
                [Condition(claim.key, claim.version)],
                [Write(claim.key, msgspec.msgpack.encode(claim.record))],
            )
            match outcome:
                case Committed():
                    return claim
                case StoreUnavailable(reason=reason):
                    pending.may_apply_late = earlier_may_apply_late
                    return _store_unavailable(reason)
                case ConditionFailed():
                    pending.may_apply_late = earlier_may_apply_late
                case ResponseLost():
                    earlier_may_apply_late = True
            rows = await self._table.read([claim.key])
            if isinstance(rows, StoreUnavailable):
                return _store_unavailable(rows.reason)
            row = rows.get(claim.key)
            if row is not None:
                earlier = msgspec.msgpack.decode(row.value, type=RunRecord)
                if earlier.attempt_id == claim.record.attempt_id:
                    return claim
                if not self._claimable(earlier, call):
                    return await self._duplicate_outcome(earlier, call)
            pending.claim = replace(claim, version=row.version if row is not None else 0)
        return _store_unavailable("the claim was not stored")

    async def _duplicate_outcome(self, record: RunRecord, call: ServiceCall) -> ClaimOutcome:
        if record.fingerprint != call.fingerprint:
            return Refused(
                Reason.IDEMPOTENCY_KEY_REUSED, "Idempotency-Key was used for another call"
            )
        match record.status:
            case RunStatus.DONE:
                return await self._stored_response(record)
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
                    Reason.NO_CAPACITY,
                    "an earlier call with this Idempotency-Key did not run; retry the call",
                    STORE_RETRY_AFTER,
                )

    async def _stored_response(self, record: RunRecord) -> ClaimOutcome:
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

    async def _attach_response(self, record: RunRecord, response: ServiceResponse) -> RunRecord:
        record = replace(
            record, answer_status=response.status, answer_content_type=response.content_type
        )
        if len(response.body) <= MAX_INLINE_RESPONSE_BYTES:
            return replace(record, answer_body=response.body)
        object_key = f"answers/{record.attempt_id}"
        if isinstance(await self._objects.put(object_key, response.body), Committed):
            return replace(record, object_key=object_key)
        # Status 0 marks a response that could not be stored.
        return replace(record, answer_status=0)

    async def _write_final(self, claim: Claimed, record: RunRecord) -> bool:
        """Write a final record and return False if the write has to be retried."""
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
    """Open a coordinator and run its settlements and sweeps until the context ends."""
    async with trio.open_nursery() as nursery:
        runs = RunCoordinator(table, objects, clock, node_id, nursery)
        nursery.start_soon(runs.run_sweeps)
        yield runs
        await runs.wait_settled(SHUTDOWN_SETTLE_TIMEOUT)
        nursery.cancel_scope.cancel()


def _final_record(claim: Claimed, record: RunRecord, row: Row | None) -> RunRecord | None:
    """Return the record to write over a row, or None if there is nothing to write.

    A write of the claim that takes effect late would leave a started record that is never settled.
    Writing over an absent or unchanged row changes its version, so that the condition of a late
    write fails.
    """
    if row is None:
        return record if record.status is RunStatus.NOT_RUN else None
    stored = msgspec.msgpack.decode(row.value, type=RunRecord)
    if stored.attempt_id == record.attempt_id:
        return record if stored.status is RunStatus.STARTED else None
    if record.status is RunStatus.NOT_RUN and row.version == claim.version:
        return stored
    return None


def _store_unavailable(reason: str) -> Refused:
    return Refused(
        Reason.STORE_UNAVAILABLE,
        f"the table service is unavailable, the call was not sent: {reason}",
        STORE_RETRY_AFTER,
    )


def _result_unavailable() -> Failed:
    return Failed(
        Reason.RESULT_UNAVAILABLE,
        "the call ran, but its stored response cannot be read now",
        RunState.RAN,
        STORE_RETRY_AFTER,
    )
