"""Runs requests on targets: deadlines, retries, resumption, and at-most-once calls."""

import secrets
from dataclasses import dataclass, field

import trio

from wasabiwell_entry.coordination.dispatch.assembler import ResponseAssembler
from wasabiwell_entry.coordination.dispatch.const import (
    INCOMPLETE_RETRY_AFTER,
    MAX_ATTEMPTS,
    QUARANTINED_MESSAGE,
    RETRY_DELAY,
    SERVICE_UNAVAILABLE,
)
from wasabiwell_entry.coordination.dispatch.errors import (
    AttemptFinished,
    AttemptInterrupted,
    AttemptOutcome,
    CallInterrupted,
    CallNotSent,
)
from wasabiwell_entry.coordination.dispatch.ports import (
    AdmissionGrant,
    AdmissionPort,
    EnginePort,
    PlainPort,
    SuspectObserver,
    TargetFailure,
    TargetObserver,
    TokenSink,
)
from wasabiwell_entry.coordination.dispatch.retries import RetryRatioLimiter
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.coordination.runs.errors import Claimed
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import (
    CallOutcome,
    Failed,
    Finished,
    GenerateOutcome,
    Reason,
    Refused,
    RunState,
    ServiceResponse,
)
from wasabiwell_entry.state.probes import TargetDown
from wasabiwell_entry.state.reports import without_target_text
from wasabiwell_entry.state.requests import (
    Attempt,
    EndFrame,
    GenerateRequest,
    ServiceCall,
    StreamInterrupted,
    TokenFrame,
)
from wasabiwell_entry.state.runs import RunStatus
from wasabiwell_entry.state.targets import Target


@dataclass(slots=True)
class _Progress:
    """State of a request over its attempts.

    `may_have_run` is set once an attempt was sent and the engine did not refuse it.
    """

    assembler: ResponseAssembler = field(default_factory=ResponseAssembler)
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    last_reason: str = ""


@dataclass(slots=True)
class _CallProgress:
    """State of a call over its attempts.

    `may_have_run` is set once an attempt may have reached a target.
    """

    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    response: ServiceResponse | None = None
    refused: Refused | None = None
    reason: str = "the deadline has passed"


class Dispatcher:
    """Runs callers' requests on engines and their calls on targets of plain services."""

    __slots__ = (
        "_admission",
        "_clock",
        "_engines",
        "_observer",
        "_plain",
        "_retry_limiter",
        "_runs",
        "_suspects",
    )

    def __init__(
        self,
        admission: AdmissionPort,
        engines: EnginePort,
        plain: PlainPort,
        runs: RunCoordinator,
        observer: TargetObserver,
        suspects: SuspectObserver,
        clock: Clock,
    ) -> None:
        self._admission = admission
        self._engines = engines
        self._plain = plain
        self._runs = runs
        self._observer = observer
        self._suspects = suspects
        self._clock = clock
        self._retry_limiter = RetryRatioLimiter()

    async def generate(self, request: GenerateRequest, sink: TokenSink) -> GenerateOutcome:
        """Run a request on engines and deliver its tokens to the sink."""
        progress = _Progress()
        with trio.move_on_after(self._remaining_seconds(request)):
            return await self._generate(request, sink, progress)
        return _unanswered_outcome(progress, Reason.DEADLINE_EXCEEDED, "the deadline has passed")

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Run a call on a plain service, at most once unless it is idempotent."""
        if call.idempotent:
            return await self._call_idempotent(call)
        return await self._call_once(call)

    async def _generate(
        self, request: GenerateRequest, sink: TokenSink, progress: _Progress
    ) -> GenerateOutcome:
        self._retry_limiter.count_first_attempt()
        while True:
            if self._suspects.quarantined(request.fingerprint):
                return _unanswered_outcome(progress, Reason.QUARANTINED, QUARANTINED_MESSAGE)
            excluded = frozenset(progress.excluded)
            async with self._admission.admit(request, excluded) as grant:
                if isinstance(grant, Refused):
                    return _refused_outcome(progress, grant)
                target_id = grant.target.target_id
                async with self._suspects.exclusive_retry(request.fingerprint, target_id):
                    if self._suspects.quarantined(request.fingerprint):
                        return _unanswered_outcome(
                            progress, Reason.QUARANTINED, QUARANTINED_MESSAGE
                        )
                    if await self._crashed_while_waiting(request, grant.target):
                        progress.excluded.add(target_id)
                        continue
                    outcome = await self._attempt(request, sink, progress, grant)
            match outcome:
                case AttemptFinished(end=end):
                    await self._suspects.record_success(request.fingerprint)
                    return Finished(end.tokens, end.finish_reason)
                case AttemptInterrupted(interruption=interruption):
                    progress.last_reason = interruption.reason
            if progress.attempts >= MAX_ATTEMPTS or not self._retry_limiter.take():
                return _unanswered_outcome(progress, Reason.TARGET_FAILED, progress.last_reason)
            await self._clock.sleep(RETRY_DELAY)

    async def _crashed_while_waiting(self, request: GenerateRequest, target: Target) -> bool:
        """Return whether a target crashed while a suspect waited for its lease on it.

        A crashed target is also reported as lost. If the request were sent to it, this would count
        as another crash caused by the suspect.
        """
        if not self._suspects.suspected(request.fingerprint):
            return False
        if not isinstance(await self._engines.probe(target), TargetDown):
            return False
        self._report_lost(target)
        return True

    async def _attempt(
        self,
        request: GenerateRequest,
        sink: TokenSink,
        progress: _Progress,
        grant: AdmissionGrant,
    ) -> AttemptOutcome:
        progress.attempts += 1
        target = grant.target
        attempt = Attempt(
            attempt_id=f"{request.request_id}-{secrets.token_hex(4)}",
            request=request,
            priority=grant.priority,
            resume_offset=progress.assembler.offset,
            generated=progress.assembler.text,
            reservation_id=grant.reservation_id,
            shards=grant.shards,
        )
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        outcome = await self._relay(target, attempt, sink, progress)
        if isinstance(outcome, AttemptInterrupted):
            # After a silent stream the same engine may be tried again, as it answers on other
            # connections.
            if not outcome.interruption.silent:
                progress.excluded.add(target.target_id)
            if outcome.interruption.refused:
                progress.may_have_run = may_have_run_before
            await self._handle_interruption(target, attempt, outcome.interruption)
        return outcome

    async def _relay(
        self, target: Target, attempt: Attempt, sink: TokenSink, progress: _Progress
    ) -> AttemptOutcome:
        async with self._engines.generate(target, attempt) as items:
            async for item in items:
                match item:
                    case TokenFrame():
                        if (interruption := progress.assembler.accept(item)) is not None:
                            return AttemptInterrupted(interruption)
                        self._observer.target_answered(target.target_id)
                        await sink.send(item)
                    case EndFrame():
                        if (interruption := progress.assembler.verify(item)) is not None:
                            return AttemptInterrupted(interruption)
                        return AttemptFinished(item)
                    case StreamInterrupted():
                        return AttemptInterrupted(item)
        return AttemptInterrupted(StreamInterrupted("the stream ended without an end frame"))

    async def _handle_interruption(
        self, target: Target, attempt: Attempt, interruption: StreamInterrupted
    ) -> None:
        log_events.emit(
            log_events.ATTEMPT_FAILED,
            request=attempt.request.request_id,
            attempt=attempt.attempt_id,
            target=target.target_id,
            reason=without_target_text(interruption.reason),
        )
        if not interruption.target_lost:
            return
        self._observer.target_lost(TargetFailure(target.target_id, self._clock.monotonic()))
        if interruption.refused:
            return
        # A request becomes a suspect only if the target itself is down. A network failure ends the
        # streams of all targets behind it, which would make all their requests suspects.
        if isinstance(await self._engines.probe(target), TargetDown):
            await self._suspects.record_crash(attempt.request.fingerprint, target.target_id)

    async def _call_idempotent(self, call: ServiceCall) -> CallOutcome:
        self._retry_limiter.count_first_attempt()
        progress = _CallProgress()
        with trio.move_on_after(self._remaining_seconds(call)):
            await self._send_idempotent(call, progress)
        if progress.response is not None:
            return progress.response
        if progress.refused is not None and not progress.may_have_run:
            return progress.refused
        if progress.may_have_run:
            return _failed_call_outcome(progress.reason)
        return Refused(Reason.TARGET_FAILED, progress.reason, INCOMPLETE_RETRY_AFTER)

    async def _send_idempotent(self, call: ServiceCall, progress: _CallProgress) -> None:
        """Try targets one after the other until one responds with a status other than 503.

        Stops after `MAX_ATTEMPTS`, when the retry budget is used up or when no target is available.
        """
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._retry_limiter.take():
                return
            async with self._admission.place_call(call, frozenset(progress.excluded)) as target:
                if isinstance(target, Refused):
                    progress.refused = target
                    return
                match await self._send(target, call, progress):
                    case ServiceResponse(status=status) as response:
                        progress.response = response
                        if status != SERVICE_UNAVAILABLE:
                            return
                    case CallNotSent() | CallInterrupted():
                        self._report_lost(target)

    async def _send(
        self, target: Target, call: ServiceCall, progress: _CallProgress
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once; it may have run unless the outcome proves that it was not sent."""
        may_have_run_before = progress.may_have_run
        progress.excluded.add(target.target_id)
        progress.may_have_run = True
        outcome = await self._plain.call(target, call)
        match outcome:
            case CallNotSent(reason=reason):
                progress.may_have_run = may_have_run_before
                progress.reason = reason
            case CallInterrupted(reason=reason):
                progress.reason = reason
        return outcome

    async def _call_once(self, call: ServiceCall) -> CallOutcome:
        match await self._runs.claim(call):
            case Claimed() as claim:
                return await self._run_claimed(call, claim)
            case outcome:
                return outcome

    async def _run_claimed(self, call: ServiceCall, claim: Claimed) -> CallOutcome:
        """Send a claimed call and settle its record, even after the deadline."""
        progress = _CallProgress()
        with trio.move_on_after(self._remaining_seconds(call)):
            await self._send_claimed(call, progress)
        if progress.response is not None:
            await self._runs.settle(claim, RunStatus.DONE, progress.response)
            return progress.response
        if progress.may_have_run:
            return await self._settle_unknown_result(call, claim, progress.reason)
        await self._runs.settle(claim, RunStatus.NOT_RUN)
        return Refused(Reason.NO_TARGET, progress.reason, INCOMPLETE_RETRY_AFTER)

    async def _send_claimed(self, call: ServiceCall, progress: _CallProgress) -> None:
        """Try targets one after the other until one may have received the call.

        Stops after `MAX_ATTEMPTS` or when no target is available.
        """
        for _ in range(MAX_ATTEMPTS):
            async with self._admission.place_call(call, frozenset(progress.excluded)) as target:
                if isinstance(target, Refused):
                    progress.reason = target.message
                    return
                match await self._send(target, call, progress):
                    case ServiceResponse() as response:
                        progress.response = response
                        return
                    case CallInterrupted():
                        self._report_lost(target)
                        return
                    case CallNotSent():
                        self._report_lost(target)

    async def _settle_unknown_result(
        self, call: ServiceCall, claim: Claimed, reason: str
    ) -> CallOutcome:
        log_events.emit(log_events.RUN_RESULT_UNKNOWN, request=call.request_id, reason=reason)
        await self._runs.settle(claim, RunStatus.UNKNOWN)
        return Failed(Reason.RESULT_UNKNOWN, reason, RunState.UNKNOWN)

    def _report_lost(self, target: Target) -> None:
        self._observer.target_lost(TargetFailure(target.target_id, self._clock.monotonic()))

    def _remaining_seconds(self, request: GenerateRequest | ServiceCall) -> float:
        return max(0.0, (request.deadline - self._clock.monotonic()).total_seconds())


def _refused_outcome(progress: _Progress, refused: Refused) -> GenerateOutcome:
    if not progress.may_have_run:
        return refused
    return _unanswered_outcome(progress, refused.reason, progress.last_reason or refused.message)


def _unanswered_outcome(progress: _Progress, reason: Reason, message: str) -> GenerateOutcome:
    retry_after = None if reason is Reason.QUARANTINED else INCOMPLETE_RETRY_AFTER
    if not progress.may_have_run:
        return Refused(reason, message, retry_after)
    run = RunState.RAN if progress.assembler.offset else RunState.UNKNOWN
    return Failed(reason, message, run, retry_after)


def _failed_call_outcome(reason: str) -> Failed:
    return Failed(Reason.TARGET_FAILED, reason, RunState.UNKNOWN, INCOMPLETE_RETRY_AFTER)
