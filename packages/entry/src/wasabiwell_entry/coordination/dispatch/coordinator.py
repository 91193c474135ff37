"""Runs requests on targets: deadline, retries, resume, and calls that run at most once."""

import secrets
from dataclasses import dataclass, field

import trio

from wasabiwell_entry.coordination.dispatch.assembler import AnswerAssembler
from wasabiwell_entry.coordination.dispatch.const import (
    CAPACITY_RETRY_AFTER,
    MAX_ATTEMPTS,
    QUARANTINED_MESSAGE,
    RETRY_DELAY,
    SERVICE_UNAVAILABLE,
)
from wasabiwell_entry.coordination.dispatch.errors import (
    AttemptBroken,
    AttemptFinished,
    AttemptOutcome,
    CallInterrupted,
    CallNotSent,
    TargetDown,
)
from wasabiwell_entry.coordination.dispatch.ports import (
    AdmissionPort,
    EnginePort,
    Placement,
    PlainPort,
    ResponseSink,
    SuspectObserver,
    TargetFailure,
    TargetObserver,
)
from wasabiwell_entry.coordination.dispatch.retries import RetryBudget
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
    """What has happened to a request so far; `started` means that an engine may have run it."""

    assembler: AnswerAssembler = field(default_factory=AnswerAssembler)
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    started: bool = False
    last_reason: str = ""


@dataclass(slots=True)
class _Sending:
    """What has happened to a call so far; `sent` means that a target may have run it."""

    excluded: set[str] = field(default_factory=set)
    sent: bool = False
    answer: ServiceResponse | None = None
    refused: Refused | None = None
    reason: str = "the deadline has passed"


class Dispatcher:
    """Front door of the coordination layer for requests of callers."""

    __slots__ = (
        "_admission",
        "_clock",
        "_engines",
        "_observer",
        "_plain",
        "_retries",
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
        self._retries = RetryBudget()

    async def generate(self, request: GenerateRequest, sink: ResponseSink) -> GenerateOutcome:
        """Run a request on engines and deliver its tokens to the sink."""
        progress = _Progress()
        with trio.move_on_after(self._remaining_seconds(request)):
            return await self._generate(request, sink, progress)
        return _give_up(progress, Reason.DEADLINE_EXCEEDED, "the deadline has passed")

    async def call(self, call: ServiceCall) -> CallOutcome:
        """Run a call on a plain service, at most once when it is not idempotent."""
        if call.idempotent:
            return await self._call_idempotent(call)
        return await self._call_once(call)

    async def _generate(
        self, request: GenerateRequest, sink: ResponseSink, progress: _Progress
    ) -> GenerateOutcome:
        self._retries.count_first_attempt()
        while True:
            if self._suspects.quarantined(request.fingerprint):
                return _give_up(progress, Reason.QUARANTINED, QUARANTINED_MESSAGE)
            excluded = frozenset(progress.excluded)
            async with self._admission.admit(request, excluded) as placement:
                if isinstance(placement, Refused):
                    return _refusal(progress, placement)
                target_id = placement.target.target_id
                async with self._suspects.exclusive_retry(request.fingerprint, target_id):
                    if self._suspects.quarantined(request.fingerprint):
                        return _give_up(progress, Reason.QUARANTINED, QUARANTINED_MESSAGE)
                    if await self._died_before_turn(request, placement.target):
                        progress.excluded.add(target_id)
                        continue
                    outcome = await self._attempt(request, sink, progress, placement)
            match outcome:
                case AttemptFinished(end=end):
                    await self._suspects.record_success(request.fingerprint)
                    return Finished(end.tokens, end.finish_reason)
                case AttemptBroken(broken=broken):
                    progress.last_reason = broken.reason
            if progress.attempts >= MAX_ATTEMPTS or not self._retries.take():
                return _give_up(progress, Reason.TARGET_FAILED, progress.last_reason)
            await self._clock.sleep(RETRY_DELAY)

    async def _died_before_turn(self, request: GenerateRequest, target: Target) -> bool:
        """Return whether a target died while a suspect waited for its turn on it.

        A send to it would fail as if the suspect had crashed it.
        """
        if not self._suspects.suspected(request.fingerprint):
            return False
        if not isinstance(await self._engines.probe(target), TargetDown):
            return False
        self._lost(target)
        return True

    async def _attempt(
        self,
        request: GenerateRequest,
        sink: ResponseSink,
        progress: _Progress,
        placement: Placement,
    ) -> AttemptOutcome:
        progress.attempts += 1
        target = placement.target
        attempt = Attempt(
            attempt_id=f"{request.request_id}-{secrets.token_hex(4)}",
            request=request,
            priority=placement.priority,
            resume_offset=progress.assembler.offset,
            generated=progress.assembler.text,
            reservation_id=placement.reservation_id,
            shards=placement.shards,
        )
        started_before = progress.started
        progress.started = True
        outcome = await self._relay(target, attempt, sink, progress)
        if isinstance(outcome, AttemptBroken):
            if not outcome.broken.silent:
                progress.excluded.add(target.target_id)
            if outcome.broken.refused:
                progress.started = started_before
            await self._note_broken(target, attempt, outcome.broken)
        return outcome

    async def _relay(
        self, target: Target, attempt: Attempt, sink: ResponseSink, progress: _Progress
    ) -> AttemptOutcome:
        async with self._engines.generate(target, attempt) as items:
            async for item in items:
                match item:
                    case TokenFrame():
                        if (broken := progress.assembler.accept(item)) is not None:
                            return AttemptBroken(broken)
                        self._observer.target_answered(target.target_id)
                        await sink.send(item)
                    case EndFrame():
                        if (broken := progress.assembler.verify(item)) is not None:
                            return AttemptBroken(broken)
                        return AttemptFinished(item)
                    case StreamInterrupted():
                        return AttemptBroken(item)
        return AttemptBroken(StreamInterrupted("the stream ended without an end mark"))

    async def _note_broken(
        self, target: Target, attempt: Attempt, broken: StreamInterrupted
    ) -> None:
        log_events.emit(
            log_events.ATTEMPT_FAILED,
            request=attempt.request.request_id,
            attempt=attempt.attempt_id,
            target=target.target_id,
            reason=without_target_text(broken.reason),
        )
        if not broken.target_lost:
            return
        self._observer.target_lost(TargetFailure(target.target_id, self._clock.monotonic()))
        if broken.refused:
            return
        # Only a target that is gone counts: a cut network would make suspects of all requests.
        if isinstance(await self._engines.probe(target), TargetDown):
            await self._suspects.record_crash(attempt.request.fingerprint, target.target_id)

    async def _call_idempotent(self, call: ServiceCall) -> CallOutcome:
        self._retries.count_first_attempt()
        sending = _Sending()
        with trio.move_on_after(self._remaining_seconds(call)):
            await self._send_idempotent(call, sending)
        if sending.answer is not None:
            return sending.answer
        if sending.refused is not None and not sending.sent:
            return sending.refused
        if sending.sent:
            return _call_failed(sending.reason)
        return Refused(Reason.TARGET_FAILED, sending.reason, CAPACITY_RETRY_AFTER)

    async def _send_idempotent(self, call: ServiceCall, sending: _Sending) -> None:
        """Send a call to one target after the other until one answers other than with 503."""
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._retries.take():
                return
            async with self._admission.place_call(call, frozenset(sending.excluded)) as target:
                if isinstance(target, Refused):
                    sending.refused = target
                    return
                match await self._send(target, call, sending):
                    case ServiceResponse(status=status) as answer:
                        sending.answer = answer
                        if status != SERVICE_UNAVAILABLE:
                            return
                    case CallNotSent() | CallInterrupted():
                        self._lost(target)

    async def _send(
        self, target: Target, call: ServiceCall, sending: _Sending
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once; it counts as sent from here on unless the opposite is proved."""
        sent_before = sending.sent
        sending.excluded.add(target.target_id)
        sending.sent = True
        outcome = await self._plain.call(target, call)
        match outcome:
            case CallNotSent(reason=reason):
                sending.sent = sent_before
                sending.reason = reason
            case CallInterrupted(reason=reason):
                sending.reason = reason
        return outcome

    async def _call_once(self, call: ServiceCall) -> CallOutcome:
        match await self._runs.claim(call):
            case Claimed() as claim:
                return await self._run_claimed(call, claim)
            case outcome:
                return outcome

    async def _run_claimed(self, call: ServiceCall, claim: Claimed) -> CallOutcome:
        """Send a claimed call and settle its record; settling is not bound to the deadline."""
        sending = _Sending()
        with trio.move_on_after(self._remaining_seconds(call)):
            await self._send_claimed(call, sending)
        if sending.answer is not None:
            await self._runs.settle(claim, RunStatus.DONE, sending.answer)
            return sending.answer
        if sending.sent:
            return await self._unknown_result(call, claim, sending.reason)
        await self._runs.settle(claim, RunStatus.NOT_RUN)
        return Refused(Reason.NO_TARGET, sending.reason, CAPACITY_RETRY_AFTER)

    async def _send_claimed(self, call: ServiceCall, sending: _Sending) -> None:
        """Send a call to one target after the other until one may have received it."""
        for _ in range(MAX_ATTEMPTS):
            async with self._admission.place_call(call, frozenset(sending.excluded)) as target:
                if isinstance(target, Refused):
                    sending.reason = target.message
                    return
                match await self._send(target, call, sending):
                    case ServiceResponse() as answer:
                        sending.answer = answer
                        return
                    case CallInterrupted():
                        self._lost(target)
                        return
                    case CallNotSent():
                        self._lost(target)

    async def _unknown_result(self, call: ServiceCall, claim: Claimed, reason: str) -> CallOutcome:
        log_events.emit(log_events.RUN_RESULT_UNKNOWN, request=call.request_id, reason=reason)
        await self._runs.settle(claim, RunStatus.UNKNOWN)
        return Failed(Reason.RESULT_UNKNOWN, reason, RunState.UNKNOWN)

    def _lost(self, target: Target) -> None:
        self._observer.target_lost(TargetFailure(target.target_id, self._clock.monotonic()))

    def _remaining_seconds(self, request: GenerateRequest | ServiceCall) -> float:
        return max(0.0, (request.deadline - self._clock.monotonic()).total_seconds())


def _refusal(progress: _Progress, refused: Refused) -> GenerateOutcome:
    if not progress.started:
        return refused
    return _give_up(progress, refused.reason, progress.last_reason or refused.message)


def _give_up(progress: _Progress, reason: Reason, message: str) -> GenerateOutcome:
    retry_after = None if reason is Reason.QUARANTINED else CAPACITY_RETRY_AFTER
    if not progress.started:
        return Refused(reason, message, retry_after)
    run = RunState.RAN if progress.assembler.offset else RunState.UNKNOWN
    return Failed(reason, message, run, retry_after)


def _call_failed(reason: str) -> Failed:
    return Failed(Reason.TARGET_FAILED, reason, RunState.UNKNOWN, CAPACITY_RETRY_AFTER)
