"""Wrappers that record requests, attempts and store calls.

Each class has the interface of the object it wraps, so the dispatcher needs no knowledge of it.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Protocol

from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted, CallNotSent
from wasabiwell_entry.coordination.dispatch.ports import (
    AdmissionGrant,
    AdmissionPort,
    EnginePort,
    PlainPort,
    TokenSink,
)
from wasabiwell_entry.coordination.telemetry.ports import Telemetry
from wasabiwell_entry.coordination.telemetry.records import RequestLog
from wasabiwell_entry.state.counters import Counters, RequestKind
from wasabiwell_entry.state.outcomes import CallOutcome, GenerateOutcome, Refused, ServiceResponse
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ConditionFailed,
    ResponseLost,
    Row,
    StoreUnavailable,
    TableService,
    TransactOutcome,
    Write,
)
from wasabiwell_entry.state.probes import ProbeOutcome
from wasabiwell_entry.state.reports import AttemptRecord, RequestRecord
from wasabiwell_entry.state.requests import (
    Attempt,
    EndFrame,
    GenerateRequest,
    ServiceCall,
    StreamInterrupted,
    StreamItem,
    TokenFrame,
)
from wasabiwell_entry.state.targets import Target


class RequestRunner(Protocol):
    """The dispatcher as front ends call it, instrumented or not."""

    async def generate(self, request: GenerateRequest, sink: TokenSink) -> GenerateOutcome:
        """Run a request on engines and deliver its tokens to the sink."""

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Run a call on a plain service."""


class InstrumentedDispatcher:
    """Keeps a record of each request and counts outcomes."""

    __slots__ = ("_counters", "_inner", "_log", "_telemetry")

    def __init__(
        self, inner: RequestRunner, log: RequestLog, counters: Counters, telemetry: Telemetry
    ) -> None:
        self._inner = inner
        self._log = log
        self._counters = counters
        self._telemetry = telemetry

    async def generate(self, request: GenerateRequest, sink: TokenSink) -> GenerateOutcome:
        """Run a request on engines and deliver its tokens to the sink."""
        record = self._log.open(request)
        self._counters.open_streams += 1
        try:
            outcome = await self._inner.generate(request, sink)
            self._log.close(record, request, outcome)
            return outcome
        finally:
            self._counters.open_streams -= 1
            self._finish(record, request)

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Run a call on a plain service."""
        record = self._log.open(call)
        try:
            outcome = await self._inner.call(call)
            self._log.close(record, call, outcome)
            return outcome
        finally:
            self._finish(record, call)

    def _finish(self, record: RequestRecord, request: GenerateRequest | ServiceCall) -> None:
        if record.total_s is None:
            record.total_s = self._log.elapsed(request)
            record.outcome, record.run = "cancelled", "unknown"
        kind = RequestKind(record.kind, record.outcome, record.run)
        self._counters.requests[kind] += 1
        self._counters.retries += max(0, len(record.attempts) - 1)
        self._counters.tokens_relayed += record.tokens
        if record.first_token_s is not None and record.outcome == "ok":
            self._record_times(record, record.first_token_s)
        self._telemetry.annotate(
            {
                "wasabiwell.request_id": record.request_id,
                "wasabiwell.organisation": record.organisation,
                "wasabiwell.service": record.service,
                "wasabiwell.size": record.size,
                "wasabiwell.outcome": record.outcome,
                "wasabiwell.run": record.run,
            }
        )

    def _record_times(self, record: RequestRecord, first_token_s: float) -> None:
        self._telemetry.first_token(record.service, record.size, first_token_s)
        unqueued_s = first_token_s - record.admission_wait_s
        if unqueued_s > 0:
            self._telemetry.slowdown(record.service, record.size, first_token_s / unqueued_s)


class InstrumentedAdmission:
    """Records the time that requests wait for admission."""

    __slots__ = ("_inner", "_log", "_telemetry")

    def __init__(self, inner: AdmissionPort, log: RequestLog, telemetry: Telemetry) -> None:
        self._inner = inner
        self._log = log
        self._telemetry = telemetry

    @asynccontextmanager
    async def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[AdmissionGrant | Refused]:
        """Wait for capacity; leaving the context releases it."""
        started_s = self._log.elapsed(request)
        async with AsyncExitStack() as stack:
            try:
                with self._telemetry.span(
                    "admission wait", {"wasabiwell.size": request.size.value}
                ):
                    grant = await stack.enter_async_context(self._inner.admit(request, excluded))
            finally:
                self._log.add_admission_wait(request, started_s)
            yield grant

    @asynccontextmanager
    async def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AsyncIterator[Target | Refused]:
        """Choose a target of a plain service."""
        async with self._inner.place_call(call, excluded) as target:
            yield target


class _ObservedItems:
    """Stream items of one attempt; counts tokens and records the outcome."""

    __slots__ = ("_attempt", "_items", "_log", "_record", "_request")

    def __init__(
        self,
        items: AsyncIterator[StreamItem],
        log: RequestLog,
        request: GenerateRequest,
        attempt: AttemptRecord,
    ) -> None:
        self._items = items
        self._log = log
        self._request = request
        self._attempt = attempt
        record = log.get(request.request_id)
        self._record = record if isinstance(record, RequestRecord) else None

    def __aiter__(self) -> "_ObservedItems":
        return self

    async def __anext__(self) -> StreamItem:
        item = await self._items.__anext__()
        match item:
            case TokenFrame(count=count):
                if self._record is not None:
                    self._record.tokens += count
                    if self._record.first_token_s is None:
                        self._record.first_token_s = self._log.elapsed(self._request)
            case EndFrame():
                self._log.end_attempt(self._request, self._attempt, "finished")
            case StreamInterrupted(reason=reason, refused=refused):
                outcome = "refused" if refused else "broken"
                self._log.end_attempt(self._request, self._attempt, outcome, reason)
        return item


class InstrumentedEngines:
    """Records each attempt on an engine."""

    __slots__ = ("_inner", "_log", "_telemetry")

    def __init__(self, inner: EnginePort, log: RequestLog, telemetry: Telemetry) -> None:
        self._inner = inner
        self._log = log
        self._telemetry = telemetry

    async def probe(self, target: Target) -> ProbeOutcome:
        """Check on a new connection whether an engine is alive."""
        return await self._inner.probe(target)

    @asynccontextmanager
    async def generate(
        self, target: Target, attempt: Attempt
    ) -> AsyncIterator[AsyncIterator[StreamItem]]:
        """Run an attempt; leaving the context cancels it at the engine."""
        request = attempt.request
        record = self._log.begin_attempt(request, attempt.attempt_id, target.target_id)
        attributes = {"wasabiwell.target": target.target_id, "wasabiwell.zone": target.zone}
        with self._telemetry.span("engine attempt", attributes):
            try:
                async with self._inner.generate(target, attempt) as items:
                    yield _ObservedItems(items, self._log, request, record)
            finally:
                if record.ended_s is None:
                    self._log.end_attempt(request, record, "cancelled")
                self._telemetry.annotate({"wasabiwell.outcome": record.outcome})


class InstrumentedPlainServices:
    """Records each call to a plain service."""

    __slots__ = ("_inner", "_log", "_telemetry")

    def __init__(self, inner: PlainPort, log: RequestLog, telemetry: Telemetry) -> None:
        self._inner = inner
        self._log = log
        self._telemetry = telemetry

    async def call(
        self, target: Target, call: ServiceCall
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once."""
        record = self._log.begin_attempt(call, call.request_id, target.target_id)
        with self._telemetry.span("plain call", {"wasabiwell.target": target.target_id}):
            try:
                outcome = await self._inner.call(target, call)
                match outcome:
                    case ServiceResponse(status=status):
                        self._log.end_attempt(call, record, "answered", f"status {status}")
                    case CallNotSent(reason=reason):
                        self._log.end_attempt(call, record, "not sent", reason)
                    case CallInterrupted(reason=reason):
                        self._log.end_attempt(call, record, "broken", reason)
                return outcome
            finally:
                if record.ended_s is None:
                    self._log.end_attempt(call, record, "cancelled")
                self._telemetry.annotate({"wasabiwell.outcome": record.outcome})


class InstrumentedTable:
    """Counts calls to the table service."""

    __slots__ = ("_counters", "_inner", "_telemetry")

    def __init__(self, inner: TableService, counters: Counters, telemetry: Telemetry) -> None:
        self._inner = inner
        self._counters = counters
        self._telemetry = telemetry

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactOutcome:
        """Apply all writes if all conditions hold, else none."""
        with self._telemetry.span("table transact", {}):
            outcome = await self._inner.transact(conditions, writes)
        self._count("transact", outcome)
        return outcome

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the rows that exist, by key."""
        with self._telemetry.span("table read", {}):
            outcome = await self._inner.read(keys)
        self._count("read", outcome)
        return outcome

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | StoreUnavailable:
        """Return rows with the prefix, in key order, after the key `after`."""
        with self._telemetry.span("table scan", {}):
            outcome = await self._inner.scan(prefix, after, limit)
        self._count("scan", outcome)
        return outcome

    def _count(self, operation: str, outcome: object) -> None:
        match outcome:
            case Committed() | dict() | list():
                name = "ok"
            case ConditionFailed():
                name = "condition failed"
            case ResponseLost():
                name = "reply lost"
            case _:
                name = "unavailable"
        self._counters.store_calls[operation, name] += 1
