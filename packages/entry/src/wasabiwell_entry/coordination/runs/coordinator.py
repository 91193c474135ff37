"""Claims and settles run records, so that a non-idempotent call runs at most once."""

import secrets
from dataclasses import replace

import msgspec

from wasabiwell_entry.coordination.runs.const import (
    DEADLINE_GRACE,
    INLINE_ANSWER_BYTES,
    RECORD_LIFETIME,
    SETTLE_RETRY_INTERVAL,
    STILL_RUNNING_RETRY_AFTER,
    STORE_RETRY_AFTER,
)
from wasabiwell_entry.coordination.runs.errors import Claimed, ClaimOutcome
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import Answer, Failed, Reason, Refused, RunState
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
from wasabiwell_entry.state.runs import RunRecord, RunStatus, run_key


class RunCoordinator:
    """Keeps the run records of this entry instance's calls in the table service."""

    __slots__ = ("_clock", "_node_id", "_objects", "_table")

    def __init__(
        self, table: TableService, objects: ObjectStore, clock: Clock, node_id: str
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._node_id = node_id

    async def claim(self, call: ServiceCall) -> ClaimOutcome:
        """Create the record of a call, or tell what an earlier record says."""
        if call.idempotency_key is None:
            return Refused(Reason.MISSING_IDEMPOTENCY_KEY, "Idempotency-Key is required")
        key = run_key(call.organisation, call.service, call.idempotency_key)
        record = self._new_record(call)
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            return _store_refusal(rows.reason)
        row = rows.get(key)
        if row is not None:
            earlier = msgspec.msgpack.decode(row.value, type=RunRecord)
            if not self._claimable(earlier, call):
                return await self._repeat(earlier, call)
        return await self._create(key, record, call, row)

    async def settle(self, claim: Claimed, status: RunStatus, answer: Answer | None = None) -> None:
        """Write the final status of a claim; retried until the table service confirms it."""
        record = replace(claim.record, status=status)
        if answer is not None:
            record = await self._with_answer(record, answer)
        while not await self._write_final(claim, record):
            await self._clock.sleep(SETTLE_RETRY_INTERVAL)

    def _new_record(self, call: ServiceCall) -> RunRecord:
        now = self._clock.now()
        remaining = call.deadline - self._clock.monotonic()
        return RunRecord(
            attempt_id=secrets.token_hex(16),
            holder=self._node_id,
            fingerprint=call.fingerprint,
            status=RunStatus.STARTED,
            deadline=now + remaining,
            expires=now + RECORD_LIFETIME,
        )

    def _claimable(self, record: RunRecord, call: ServiceCall) -> bool:
        if record.fingerprint != call.fingerprint:
            return False
        return record.status is RunStatus.NOT_RUN

    async def _create(
        self, key: str, record: RunRecord, call: ServiceCall, row: Row | None
    ) -> ClaimOutcome:
        version = row.version if row is not None else 0
        outcome = await self._table.transact(
            [Condition(key, version)], [Write(key, msgspec.msgpack.encode(record))]
        )
        match outcome:
            case Committed():
                return Claimed(key, record)
            case StoreUnavailable(reason=reason):
                return _store_refusal(reason)
            case ConditionFailed() | ReplyLost():
                return await self._read_back(key, record, call)

    async def _read_back(self, key: str, record: RunRecord, call: ServiceCall) -> ClaimOutcome:
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            return _store_refusal(rows.reason)
        row = rows.get(key)
        if row is None:
            return _store_refusal("the claim was not stored")
        stored = msgspec.msgpack.decode(row.value, type=RunRecord)
        if stored.attempt_id == record.attempt_id:
            return Claimed(key, record)
        return await self._repeat(stored, call)

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
        return Answer(record.answer_status, record.answer_content_type, body, replayed=True)

    async def _with_answer(self, record: RunRecord, answer: Answer) -> RunRecord:
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
        rows = await self._table.read([claim.key])
        if isinstance(rows, StoreUnavailable):
            return False
        row = rows.get(claim.key)
        if row is None:
            return True
        stored = msgspec.msgpack.decode(row.value, type=RunRecord)
        if stored.attempt_id != record.attempt_id or stored.status is not RunStatus.STARTED:
            return True
        outcome = await self._table.transact(
            [Condition(claim.key, row.version)],
            [Write(claim.key, msgspec.msgpack.encode(record))],
        )
        return isinstance(outcome, Committed)


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
