"""Bounded log of recent requests, for operators."""

from collections import OrderedDict

from wasabiwell_entry.coordination.telemetry.const import (
    MAX_ATTEMPTS_RECORDED,
    MAX_REASON_CHARS,
    RETAINED_RECORDS,
)
from wasabiwell_entry.coordination.telemetry.errors import NoRecord
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import (
    CallOutcome,
    Failed,
    Finished,
    GenerateOutcome,
    Refused,
    RunState,
    ServiceResponse,
)
from wasabiwell_entry.state.reports import AttemptRecord, RequestRecord, without_target_text
from wasabiwell_entry.state.requests import GenerateRequest, ServiceCall


class RequestLog:
    """Records of recent requests by id; the oldest record is evicted when the log is full."""

    __slots__ = ("_capacity", "_clock", "_records")

    def __init__(self, clock: Clock, capacity: int = RETAINED_RECORDS) -> None:
        self._clock = clock
        self._capacity = capacity
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def open(self, request: GenerateRequest | ServiceCall) -> RequestRecord:
        """Add the record of a request that begins."""
        match request:
            case GenerateRequest(size=size):
                kind, size_name = "generate", size.value
            case ServiceCall():
                kind, size_name = "call", ""
        record = RequestRecord(
            request.request_id,
            kind,
            request.organisation,
            request.service,
            size_name,
            self._clock.now(),
        )
        self._records[request.request_id] = record
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)
        return record

    def close(
        self,
        record: RequestRecord,
        request: GenerateRequest | ServiceCall,
        outcome: GenerateOutcome | CallOutcome,
    ) -> None:
        """Record the outcome of a request."""
        record.total_s = self.elapsed(request)
        match outcome:
            case Finished() | ServiceResponse():
                record.outcome, record.run = "ok", RunState.RAN.value
            case Refused(reason=reason, message=message):
                record.outcome, record.run = reason.value, RunState.NOT_RUN.value
                record.message = without_target_text(message)[:MAX_REASON_CHARS]
            case Failed(reason=reason, message=message, run=run):
                record.outcome, record.run = reason.value, run.value
                record.message = without_target_text(message)[:MAX_REASON_CHARS]

    def get(self, request_id: str) -> RequestRecord | NoRecord:
        """Return the record of a request."""
        return self._records.get(request_id) or NoRecord(request_id)

    def begin_attempt(
        self, request: GenerateRequest | ServiceCall, attempt_id: str, target_id: str
    ) -> AttemptRecord:
        """Record the start of an attempt; it is listed only up to `MAX_ATTEMPTS_RECORDED`."""
        attempt = AttemptRecord(attempt_id, target_id, self.elapsed(request))
        record = self._records.get(request.request_id)
        if record is not None and len(record.attempts) < MAX_ATTEMPTS_RECORDED:
            record.attempts.append(attempt)
        return attempt

    def end_attempt(
        self,
        request: GenerateRequest | ServiceCall,
        attempt: AttemptRecord,
        outcome: str,
        reason: str = "",
    ) -> None:
        """Record the outcome of an attempt."""
        attempt.ended_s = self.elapsed(request)
        attempt.outcome = outcome
        attempt.reason = without_target_text(reason)[:MAX_REASON_CHARS]

    def add_admission_wait(self, request: GenerateRequest, started_s: float) -> None:
        """Add an admission wait that began `started_s` seconds after the request's arrival."""
        record = self._records.get(request.request_id)
        if record is not None:
            record.admission_wait_s += self.elapsed(request) - started_s

    def elapsed(self, request: GenerateRequest | ServiceCall) -> float:
        """Return the seconds since a request arrived."""
        return (self._clock.monotonic() - request.received).total_seconds()
