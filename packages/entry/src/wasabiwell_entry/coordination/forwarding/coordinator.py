"""Forwards a request until its whole response is delivered or no further attempt is allowed."""

from dataclasses import dataclass, field, replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.budget import RetryBudget
from wasabiwell_entry.coordination.forwarding.const import (
    MAX_BUFFERED_BYTES,
    MAX_EVENTS_BEFORE_CRASH,
    MAX_SENDS,
    MIN_EXPECTED_BEFORE_RETRY,
    MIN_OBJECTIVES_BEFORE_RETRY,
    MIN_TIME_LEFT,
    PROBE_MARGIN,
    REFUSED_RETRY_AFTER,
    RETRY_TIME_SHARE,
    SERVER_ERROR,
)
from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome, Buffered, Delivered
from wasabiwell_entry.coordination.forwarding.helper_memory import (
    NotReserved,
    reserve_helper_memory,
)
from wasabiwell_entry.coordination.forwarding.log_fields import (
    milliseconds,
    outcome_text,
    placement_fields,
    probe_text,
)
from wasabiwell_entry.coordination.forwarding.ports import ResponseSink, TargetPort
from wasabiwell_entry.coordination.forwarding.silence_timeout import SilenceTimeout
from wasabiwell_entry.coordination.placement import Placer
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.ledger import OpenPlacement, PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.quarantine.errors import RefusedCause, SuspectedCause
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.forwarding import (
    ForwardAttempt,
    Forwarded,
    ForwardedRequest,
    NotRun,
    NotSent,
    ResponseChunk,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    ResponseInterrupted,
)
from wasabiwell_entry.state.outcomes import Failed, Reason, Refused, RunState
from wasabiwell_entry.state.probes import TargetAlive, TargetDown, TargetSilent
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.targets import Target

ForwardOutcome = Forwarded | Refused | Failed


@dataclass(slots=True)
class _Progress:
    """State of a request over its attempts.

    `sends` counts all attempts, `runs` those that may have run on a target. `last_event` is the id
    of the last event that the caller has. `buffered` is a response that is delivered unless a retry
    gets a better one. `response_started` means that a part of the response was delivered to the
    caller.
    """

    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    response_started: bool = False
    last_event: int | None = None
    buffered: Buffered | None = None
    reason: str = "the deadline has passed"


class Forwarder:
    """Forwards the requests of one entry instance."""

    __slots__ = (
        "_budget",
        "_clock",
        "_crashes",
        "_ledger",
        "_placer",
        "_reservations",
        "_targets",
    )

    def __init__(
        self,
        placer: Placer,
        ledger: PlacementLedger,
        targets: TargetPort,
        reservations: EngineReservations,
        budget: RetryBudget,
        crashes: CrashCounts,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._ledger = ledger
        self._targets = targets
        self._reservations = reservations
        self._crashes = crashes
        self._budget = budget
        self._clock = clock

    async def forward(self, request: ForwardedRequest, sink: ResponseSink) -> ForwardOutcome:
        """Forward a request and deliver its response to the sink.

        After a `Failed` the sink may have received a part of the response, which must not be
        completed as if it were the whole response.
        """
        progress = _Progress(last_event=request.last_event_id)
        self._budget.count_request(request.service)
        with trio.move_on_after(self._time_left(request).total_seconds()):
            return await self._forward(request, sink, progress)
        return _unanswered_outcome(progress, Reason.DEADLINE_EXCEEDED, progress.reason)

    async def _forward(
        self, request: ForwardedRequest, sink: ResponseSink, progress: _Progress
    ) -> ForwardOutcome:
        while True:
            assessment = self._crashes.assess(request)
            if isinstance(assessment, RefusedCause):
                message = f"{assessment.cause} crashed targets {assessment.crashes} times"
                log_events.emit(
                    log_events.NOT_PLACED,
                    request=request.request_id,
                    reason=message,
                    retry_after_ms=milliseconds(timedelta(), assessment.time_left),
                )
                return _unanswered_outcome(
                    progress, Reason.QUARANTINED, message, assessment.time_left
                )
            placement = self._placer.place(
                request,
                frozenset(progress.excluded),
                resumed=progress.response_started,
                suspected=isinstance(assessment, SuspectedCause),
            )
            if isinstance(placement, NoPlacement):
                log_events.emit(
                    log_events.NOT_PLACED,
                    request=request.request_id,
                    reason=placement.reason,
                    retry_after_ms=milliseconds(timedelta(), placement.retry_after),
                )
                return await self._finish_unanswered(
                    progress, sink, placement.reason, placement.retry_after
                )
            outcome = await self._attempt(request, placement, sink, progress)
            match outcome:
                case Delivered(status=status):
                    return Forwarded(status)
                case Buffered() as buffered:
                    progress.buffered = buffered
                    if buffered.head.status < SERVER_ERROR or not self._may_retry(
                        request, progress
                    ):
                        return await _deliver_buffered(buffered, sink)
                case ResponseInterrupted(reason=reason):
                    progress.reason = reason
                    if not self._may_retry(request, progress):
                        return await self._finish_unanswered(
                            progress, sink, reason, REFUSED_RETRY_AFTER
                        )
                case NotSent(reason=reason) | NotRun(reason=reason):
                    progress.reason = reason
            if not self._may_try_another_target(request, progress, outcome):
                return await self._finish_unanswered(
                    progress, sink, progress.reason, REFUSED_RETRY_AFTER
                )

    def _may_retry(self, request: ForwardedRequest, progress: _Progress) -> bool:
        return request.route.retryable and progress.runs < request.route.attempts

    def _may_try_another_target(
        self, request: ForwardedRequest, progress: _Progress, outcome: AttemptOutcome
    ) -> bool:
        """Return whether another target may be tried.

        An attempt that did not reach its target takes nothing from the retry budget.
        """
        if progress.sends >= MAX_SENDS or self._time_left(request) < MIN_TIME_LEFT:
            return False
        if isinstance(outcome, NotSent):
            return True
        if self._budget.try_consume(request.service):
            return True
        log_events.emit(log_events.REPEAT_BUDGET_USED, request=request.request_id)
        return False

    async def _attempt(
        self,
        request: ForwardedRequest,
        placement: Placement,
        sink: ResponseSink,
        progress: _Progress,
    ) -> AttemptOutcome:
        progress.sends += 1
        owner = f"{request.request_id}-{progress.sends}"
        async with reserve_helper_memory(self._reservations, placement, owner) as reserved:
            if isinstance(reserved, NotReserved):
                progress.excluded.update(reserved.target_ids)
                log_events.emit(
                    log_events.MEMORY_NOT_RESERVED,
                    request=request.request_id,
                    targets=", ".join(reserved.target_ids),
                )
                return NotSent("memory was not reserved")
            return await self._send(request, reserved, sink, progress)

    async def _send(
        self,
        request: ForwardedRequest,
        placement: Placement,
        sink: ResponseSink,
        progress: _Progress,
    ) -> AttemptOutcome:
        progress.runs += 1
        target = placement.target
        retryable = self._may_retry(request, progress)
        silence_timeout = SilenceTimeout(
            request.route,
            self._response_start_timeout(request, placement, progress),
            lambda: self._placer.expected_pause(target.target_id),
            self._time_left(request),
            retryable,
        )
        attempt = ForwardAttempt(
            request=request,
            target=target,
            helpers=placement.helpers,
            urgency=placement.urgency,
            time_left=self._time_left(request),
            silence_timeout=silence_timeout.current,
            probe_interval=_probe_interval(request),
            resume_after=progress.last_event,
            retryable=retryable,
        )
        sent_at = self._clock.monotonic()
        log_events.emit(
            log_events.ROUTED,
            request=request.request_id,
            sends=progress.sends,
            target=target.target_id,
            **placement_fields(attempt, placement),
        )
        with self._ledger.open(request, placement) as opened:
            outcome = await self._relay(attempt, sink, progress, opened, silence_timeout)
            if isinstance(outcome, ResponseInterrupted):
                outcome = await self._assess_interruption(attempt, opened, outcome)
            blamed_helpers = _blamed_helpers(attempt, outcome)
            opened.verdict = AttemptVerdict.ABANDONED if blamed_helpers else _verdict(outcome)
            for helper in blamed_helpers:
                # A helper that runs refuses its part because it helps others or is leaving.
                probe = await self._targets.probe(helper)
                log_events.emit(
                    log_events.HELPER_REFUSED,
                    request=request.request_id,
                    lead=target.target_id,
                    helper=helper.target_id,
                    probe=probe_text(probe),
                )
                if not isinstance(probe, TargetAlive):
                    self._ledger.record_lost_helper(helper.target_id)
        self._log_outcome(attempt, placement, progress, opened, sent_at, outcome)
        if isinstance(outcome, NotSent | NotRun):
            progress.runs -= 1
        if opened.verdict is AttemptVerdict.ANSWERED:
            self._crashes.record_success(request)
        else:
            progress.excluded.update(item.target_id for item in blamed_helpers or [target])
        return outcome

    async def _assess_interruption(
        self, attempt: ForwardAttempt, opened: OpenPlacement, interruption: ResponseInterrupted
    ) -> ResponseInterrupted:
        """Record a crash if the target is down, but not if it only cut the connection.

        A target that does not react hangs, or the network is interrupted for all of its requests,
        so that this accuses none of them. A crash does not count against a response that had
        progressed, as a request crashes its target when it begins to run.
        """
        request, target = attempt.request, attempt.target
        name = f"{target.target_id}@{target.incarnation}"
        probe = await self._targets.probe(target) if interruption.target_lost else None
        crashed = isinstance(probe, TargetDown) and opened.events <= MAX_EVENTS_BEFORE_CRASH
        log_events.emit(
            log_events.INTERRUPTION_ASSESSED,
            request=request.request_id,
            fingerprint=request.fingerprint,
            parts=" ".join(request.prompt_parts),
            target=name,
            reason=interruption.reason,
            connection_lost=interruption.target_lost,
            probe=probe_text(probe),
            events=opened.events,
            crashed=crashed,
        )
        if crashed:
            self._crashes.record_crash(request, name)
        return replace(interruption, target_lost=isinstance(probe, TargetDown | TargetSilent))

    def _log_outcome(
        self,
        attempt: ForwardAttempt,
        placement: Placement,
        progress: _Progress,
        opened: OpenPlacement,
        sent_at: timedelta,
        outcome: AttemptOutcome,
    ) -> None:
        """Log the outcome of a send, for a failed one with the inputs of its placement."""
        fields: dict[str, object] = {
            "request": attempt.request.request_id,
            "sends": progress.sends,
            "target": attempt.target.target_id,
            "first_ms": milliseconds(sent_at, opened.first_at),
            "pause_ms": round(opened.longest_gap / timedelta(milliseconds=1)),
            "total_ms": milliseconds(sent_at, self._clock.monotonic()),
            "outcome": outcome_text(outcome),
        }
        if opened.verdict is AttemptVerdict.ANSWERED:
            log_events.emit(log_events.ANSWERED, **fields)
            return
        fields |= placement_fields(attempt, placement)
        log_events.emit(log_events.SEND_FAILED, verdict=opened.verdict.value, **fields)

    async def _relay(
        self,
        attempt: ForwardAttempt,
        sink: ResponseSink,
        progress: _Progress,
        opened: OpenPlacement,
        silence_timeout: SilenceTimeout,
    ) -> AttemptOutcome:
        head: ResponseHead | None = None
        buffer: list[bytes] = []
        buffered_bytes = 0
        async with self._targets.attempt(attempt) as items:
            async for item in items:
                match item:
                    case ResponseHead():
                        head = item
                        silence_timeout.begin()
                        if _is_stream(attempt.request, head):
                            self._ledger.start_decode(opened)
                            await self._begin_response(head, sink, progress)
                        elif progress.response_started:
                            # The body of a failure would become a part of the caller's stream.
                            return ResponseInterrupted(
                                f"status {head.status} in place of the rest of the stream"
                            )
                    case ResponseEvent(event_id=event_id, data=data):
                        interruption = _check_order(event_id, progress)
                        if interruption is not None:
                            return interruption
                        self._ledger.record_event(opened)
                        if opened.events == MAX_EVENTS_BEFORE_CRASH + 1:
                            # A request that progresses does not crash its target, so it clears
                            # its prompt parts before it ends.
                            self._crashes.record_success(attempt.request)
                        await sink.send(data)
                    case ResponseChunk(data=data):
                        buffer.append(data)
                        buffered_bytes += len(data)
                        if buffered_bytes > MAX_BUFFERED_BYTES and head is not None:
                            await self._begin_response(head, sink, progress)
                            await sink.send(b"".join(buffer))
                            buffer.clear()
                            buffered_bytes = 0
                    case ResponseEnd():
                        if head is None:
                            return ResponseInterrupted("the response has no head")
                        if _has_no_event(attempt.request, head, progress, opened):
                            return ResponseInterrupted("the stream has no event")
                        if not progress.response_started:
                            return Buffered(head, b"".join(buffer))
                        if buffer:
                            await sink.send(b"".join(buffer))
                        await sink.finish()
                        return Delivered(head.status)
                    case NotSent() | NotRun() | ResponseInterrupted():
                        return item
        return ResponseInterrupted("the response has no end")

    async def _begin_response(
        self, head: ResponseHead, sink: ResponseSink, progress: _Progress
    ) -> None:
        """Deliver the head unless an earlier attempt has delivered one before it was resumed."""
        if not progress.response_started:
            progress.response_started = True
            await sink.begin(head)

    async def _finish_unanswered(
        self, progress: _Progress, sink: ResponseSink, reason: str, retry_after: timedelta
    ) -> ForwardOutcome:
        """Return the outcome of a request for which no further target is tried."""
        if progress.buffered is not None and not progress.response_started:
            return await _deliver_buffered(progress.buffered, sink)
        if progress.runs == 0 and not progress.response_started:
            return Refused(Reason.NO_CAPACITY, reason, retry_after)
        return _unanswered_outcome(progress, Reason.TARGET_FAILED, reason)

    def _response_start_timeout(
        self, request: ForwardedRequest, placement: Placement, progress: _Progress
    ) -> timedelta:
        """Return how long a target may be silent before its response begins."""
        left = self._time_left(request)
        if not self._may_retry(request, progress):
            return left
        expected = timedelta(seconds=placement.expected_seconds)
        minimum = max(
            request.route.objective * MIN_OBJECTIVES_BEFORE_RETRY,
            expected * MIN_EXPECTED_BEFORE_RETRY,
        )
        return min(left, max(minimum, left * RETRY_TIME_SHARE))

    def _time_left(self, request: ForwardedRequest) -> timedelta:
        return max(timedelta(), request.deadline - self._clock.monotonic())


async def _deliver_buffered(buffered: Buffered, sink: ResponseSink) -> Forwarded:
    await sink.begin(buffered.head)
    if buffered.body:
        await sink.send(buffered.body)
    await sink.finish()
    return Forwarded(buffered.head.status)


def _is_stream(request: ForwardedRequest, head: ResponseHead) -> bool:
    return request.route.kind is RouteKind.STREAM and head.status < 300


def _has_no_event(
    request: ForwardedRequest, head: ResponseHead, progress: _Progress, opened: OpenPlacement
) -> bool:
    """Return whether a stream ended without any event, in this attempt or before it."""
    return _is_stream(request, head) and opened.events == 0 and progress.last_event is None


def _probe_interval(request: ForwardedRequest) -> timedelta:
    route = request.route
    allowed_silence = route.event_gap if route.kind is RouteKind.STREAM else route.objective
    return allowed_silence + PROBE_MARGIN


def _check_order(event_id: int | None, progress: _Progress) -> ResponseInterrupted | None:
    """Record the id of an event, or return an error when it does not follow the last one."""
    if event_id is None:
        return None
    if progress.last_event is not None and event_id != progress.last_event + 1:
        return ResponseInterrupted(f"event {event_id} came after event {progress.last_event}")
    progress.last_event = event_id
    return None


def _unanswered_outcome(
    progress: _Progress,
    reason: Reason,
    message: str,
    retry_after: timedelta = REFUSED_RETRY_AFTER,
) -> Refused | Failed:
    if progress.runs == 0 and not progress.response_started:
        return Refused(reason, message, retry_after)
    return Failed(reason, message, RunState.UNKNOWN)


def _verdict(outcome: AttemptOutcome) -> AttemptVerdict:
    match outcome:
        case Delivered():
            return AttemptVerdict.ANSWERED
        case Buffered(head=head):
            failed = head.status >= SERVER_ERROR
            return AttemptVerdict.FAILED if failed else AttemptVerdict.ANSWERED
        case NotSent():
            return AttemptVerdict.LOST
        case NotRun(replaced=True):
            return AttemptVerdict.LOST
        case NotRun():
            return AttemptVerdict.REFUSED
        case ResponseInterrupted(target_lost=True):
            return AttemptVerdict.LOST
        case ResponseInterrupted():
            return AttemptVerdict.FAILED


def _blamed_helpers(attempt: ForwardAttempt, outcome: AttemptOutcome) -> list[Target]:
    """Return the helpers that a lead names as the cause of its refusal."""
    at_fault = outcome.at_fault if isinstance(outcome, NotRun) else None
    helpers = [helper.target for helper in attempt.helpers]
    return [item for item in helpers if item.address == at_fault]
