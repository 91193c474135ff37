"""Forwards a request until its whole answer is delivered or nothing more may be tried."""

from dataclasses import dataclass, field, replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.budget import RetryBudget
from wasabiwell_entry.coordination.forwarding.const import (
    EXPECTED_BEFORE_REPEAT,
    MAX_HELD_BYTES,
    MAX_SENDS,
    MIN_TIME_LEFT,
    OBJECTIVES_BEFORE_REPEAT,
    PROBE_PATIENCE,
    REFUSED_RETRY_AFTER,
    REPEAT_SHARE,
    SERVER_ERROR,
)
from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome, Delivered, Held
from wasabiwell_entry.coordination.forwarding.holds import NotReserved, hold_memory
from wasabiwell_entry.coordination.forwarding.ports import ResponseSink, TargetPort
from wasabiwell_entry.coordination.forwarding.silence_timeout import Patience
from wasabiwell_entry.coordination.placement import Placer
from wasabiwell_entry.coordination.placement.const import NO_TARGET_RETRY_AFTER
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.ledger import OpenPlacement, PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
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
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.targets import Target

ForwardOutcome = Forwarded | Refused | Failed


@dataclass(slots=True)
class _Progress:
    """What has happened to a request so far.

    `runs` counts the attempts that may have run. `held` is an answer of a target that another one
    may better. `begun` means that the caller has a part of the answer.
    """

    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    begun: bool = False
    last_event: int | None = None
    held: Held | None = None
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
        """Forward a request and deliver its answer to the sink.

        After a `Failed` the sink may have a part of the answer, which must not look whole.
        """
        progress = _Progress(last_event=request.last_event_id)
        self._budget.count_request(request.service)
        with trio.move_on_after(self._left(request).total_seconds()):
            return await self._forward(request, sink, progress)
        return _gave_up(progress, Reason.DEADLINE_EXCEEDED, progress.reason)

    async def _forward(
        self, request: ForwardedRequest, sink: ResponseSink, progress: _Progress
    ) -> ForwardOutcome:
        while True:
            crashes = self._crashes.crashes(request.fingerprint)
            if self._crashes.refused(request.fingerprint):
                message = f"{crashes} targets died under this request"
                log_events.emit(log_events.NOT_PLACED, request=request.request_id, reason=message)
                return _gave_up(progress, Reason.QUARANTINED, message)
            placement = self._placer.place(
                request, frozenset(progress.excluded), resumed=progress.begun, suspected=crashes > 0
            )
            if isinstance(placement, NoPlacement):
                log_events.emit(
                    log_events.NOT_PLACED, request=request.request_id, reason=placement.reason
                )
                return await self._end(progress, sink, placement.reason, NO_TARGET_RETRY_AFTER)
            outcome = await self._attempt(request, placement, sink, progress)
            match outcome:
                case Delivered(status=status):
                    return Forwarded(status)
                case Held() as held:
                    progress.held = held
                    if held.head.status < SERVER_ERROR or not self._may_run_again(
                        request, progress
                    ):
                        return await _deliver(held, sink)
                case ResponseInterrupted(reason=reason):
                    progress.reason = reason
                    if not self._may_run_again(request, progress):
                        return await self._end(progress, sink, reason, REFUSED_RETRY_AFTER)
                case NotSent(reason=reason) | NotRun(reason=reason):
                    progress.reason = reason
            if not self._may_send_again(request, progress, outcome):
                return await self._end(progress, sink, progress.reason, REFUSED_RETRY_AFTER)

    def _may_run_again(self, request: ForwardedRequest, progress: _Progress) -> bool:
        return request.route.repeatable and progress.runs < request.route.attempts

    def _may_send_again(
        self, request: ForwardedRequest, progress: _Progress, outcome: AttemptOutcome
    ) -> bool:
        """Return whether a further target may be tried; one that was not reached costs nothing."""
        if progress.sends >= MAX_SENDS or self._left(request) < MIN_TIME_LEFT:
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
        async with hold_memory(self._reservations, placement, owner) as held:
            if isinstance(held, NotReserved):
                progress.excluded.update(held.target_ids)
                log_events.emit(
                    log_events.MEMORY_NOT_RESERVED,
                    request=request.request_id,
                    targets=", ".join(held.target_ids),
                )
                return NotSent("memory was not reserved")
            return await self._send(request, held, sink, progress)

    async def _send(
        self,
        request: ForwardedRequest,
        placement: Placement,
        sink: ResponseSink,
        progress: _Progress,
    ) -> AttemptOutcome:
        progress.runs += 1
        target = placement.target
        patience = Patience(
            request.route,
            self._first_patience(request, placement, progress),
            lambda: self._placer.expected_pause(target.target_id),
        )
        attempt = ForwardAttempt(
            request=request,
            target=target,
            helpers=placement.helpers,
            urgency=placement.urgency,
            time_left=self._left(request),
            silence_timeout=patience.current,
            probe_interval=_probe_interval(request),
            resume_after=progress.last_event,
        )
        sent = self._clock.monotonic()
        log_events.emit(
            log_events.ROUTED,
            request=request.request_id,
            sends=progress.sends,
            target=target.target_id,
            **_inputs(attempt, placement),
        )
        with self._ledger.open(request, placement) as opened:
            outcome = await self._relay(attempt, sink, progress, opened, patience)
            if isinstance(outcome, ResponseInterrupted) and outcome.target_lost:
                outcome = await self._confirm_loss(request, target, outcome)
            lost_helpers = _lost_helpers(attempt, outcome)
            opened.verdict = AttemptVerdict.ABANDONED if lost_helpers else _verdict(outcome)
            for target_id in lost_helpers:
                self._ledger.lose_helper(target_id)
        self._log_end(attempt, placement, progress, opened, sent, outcome)
        if isinstance(outcome, NotSent | NotRun):
            progress.runs -= 1
        if opened.verdict is AttemptVerdict.ANSWERED:
            self._crashes.record_success(request.fingerprint)
        else:
            progress.excluded.update(lost_helpers or [target.target_id])
        return outcome

    async def _confirm_loss(
        self, request: ForwardedRequest, target: Target, broken: ResponseInterrupted
    ) -> ResponseInterrupted:
        """Suspect a request when its target is gone; one that only cut a connection is not."""
        if await self._targets.accepts_connections(target):
            return replace(broken, target_lost=False)
        name = f"{target.target_id}@{target.incarnation}"
        self._crashes.record_crash(request.fingerprint, name)
        return broken

    def _log_end(
        self,
        attempt: ForwardAttempt,
        placement: Placement,
        progress: _Progress,
        opened: OpenPlacement,
        sent: timedelta,
        outcome: AttemptOutcome,
    ) -> None:
        """Log how a send ended; a failed one with all that decided it."""
        fields: dict[str, object] = {
            "request": attempt.request.request_id,
            "sends": progress.sends,
            "target": attempt.target.target_id,
            "first_ms": _milliseconds(sent, opened.first_at),
            "pause_ms": round(opened.longest_pause / timedelta(milliseconds=1)),
            "total_ms": _milliseconds(sent, self._clock.monotonic()),
            "outcome": _describe(outcome),
        }
        if opened.verdict is AttemptVerdict.ANSWERED:
            log_events.emit(log_events.ANSWERED, **fields)
            return
        fields |= _inputs(attempt, placement)
        log_events.emit(log_events.SEND_FAILED, verdict=opened.verdict.value, **fields)

    async def _relay(
        self,
        attempt: ForwardAttempt,
        sink: ResponseSink,
        progress: _Progress,
        opened: OpenPlacement,
        patience: Patience,
    ) -> AttemptOutcome:
        head: ResponseHead | None = None
        held: list[bytes] = []
        async with self._targets.attempt(attempt) as items:
            async for item in items:
                match item:
                    case ResponseHead():
                        head = item
                        patience.begin()
                        if _is_stream(attempt.request, head):
                            self._ledger.start_decode(opened)
                            await self._begin(head, sink, progress)
                    case ResponseEvent(event_id=event_id, data=data):
                        broken = _check_order(event_id, progress)
                        if broken is not None:
                            return broken
                        self._ledger.note_event(opened)
                        await sink.send(data)
                    case ResponseChunk(data=data):
                        held.append(data)
                        if sum(map(len, held)) > MAX_HELD_BYTES and head is not None:
                            await self._begin(head, sink, progress)
                            await sink.send(b"".join(held))
                            held.clear()
                    case ResponseEnd():
                        if head is None:
                            return ResponseInterrupted("the answer has no head")
                        if not progress.begun:
                            return Held(head, b"".join(held))
                        if held:
                            await sink.send(b"".join(held))
                        await sink.finish()
                        return Delivered(head.status)
                    case NotSent() | NotRun() | ResponseInterrupted():
                        return item
        return ResponseInterrupted("the answer has no end")

    async def _begin(self, head: ResponseHead, sink: ResponseSink, progress: _Progress) -> None:
        """Deliver the head once; a resumed answer keeps that of its first target."""
        if not progress.begun:
            progress.begun = True
            await sink.begin(head)

    async def _end(
        self, progress: _Progress, sink: ResponseSink, reason: str, retry_after: timedelta
    ) -> ForwardOutcome:
        """End a request for which nothing more is tried."""
        if progress.held is not None and not progress.begun:
            return await _deliver(progress.held, sink)
        if progress.runs == 0 and not progress.begun:
            return Refused(Reason.NO_CAPACITY, reason, retry_after)
        return _gave_up(progress, Reason.TARGET_FAILED, reason)

    def _first_patience(
        self, request: ForwardedRequest, placement: Placement, progress: _Progress
    ) -> timedelta:
        """Return how long a target may take to begin its answer."""
        left = self._left(request)
        if not request.route.repeatable or progress.runs >= request.route.attempts:
            return left
        expected = timedelta(seconds=placement.expected_seconds)
        least = max(
            request.route.objective * OBJECTIVES_BEFORE_REPEAT,
            expected * EXPECTED_BEFORE_REPEAT,
        )
        return min(left, max(least, left * REPEAT_SHARE))

    def _left(self, request: ForwardedRequest) -> timedelta:
        return max(timedelta(), request.deadline - self._clock.monotonic())


async def _deliver(held: Held, sink: ResponseSink) -> Forwarded:
    await sink.begin(held.head)
    if held.body:
        await sink.send(held.body)
    await sink.finish()
    return Forwarded(held.head.status)


def _is_stream(request: ForwardedRequest, head: ResponseHead) -> bool:
    return request.route.kind is RouteKind.STREAM and head.status < 300


def _probe_interval(request: ForwardedRequest) -> timedelta:
    route = request.route
    pause = route.event_gap if route.kind is RouteKind.STREAM else route.objective
    return pause + PROBE_PATIENCE


def _check_order(event_id: int | None, progress: _Progress) -> ResponseInterrupted | None:
    """Return why an event does not follow the last one, and note it otherwise."""
    if event_id is None:
        return None
    if progress.last_event is not None and event_id != progress.last_event + 1:
        return ResponseInterrupted(f"event {event_id} came after event {progress.last_event}")
    progress.last_event = event_id
    return None


def _gave_up(progress: _Progress, reason: Reason, message: str) -> Refused | Failed:
    if progress.runs == 0 and not progress.begun:
        return Refused(reason, message, REFUSED_RETRY_AFTER)
    return Failed(reason, message, RunState.UNKNOWN)


def _verdict(outcome: AttemptOutcome) -> AttemptVerdict:
    match outcome:
        case Delivered():
            return AttemptVerdict.ANSWERED
        case Held(head=head):
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


def _lost_helpers(attempt: ForwardAttempt, outcome: AttemptOutcome) -> list[str]:
    """Return the ids of the helpers to which a lead puts down that it did not run a request."""
    at_fault = outcome.at_fault if isinstance(outcome, NotRun) else None
    helpers = [helper.target for helper in attempt.helpers]
    return [item.target_id for item in helpers if item.address == at_fault]


def _inputs(attempt: ForwardAttempt, placement: Placement) -> dict[str, object]:
    """Return what decided where a request was sent."""
    size = attempt.request.size
    helpers = [
        f"{helper.target.target_id}:{helper.kv_tokens}".removesuffix(":0")
        for helper in attempt.helpers
    ]
    return {
        "route": attempt.request.route.name,
        "routes": attempt.request.routes_version,
        "prompt": size.prompt if size is not None else 0,
        "helpers": " ".join(helpers),
        "expected_ms": round(placement.expected_seconds * 1000),
        "left_ms": round(attempt.time_left / timedelta(milliseconds=1)),
    }


def _milliseconds(since: timedelta, until: timedelta | None) -> int | None:
    return None if until is None else round((until - since) / timedelta(milliseconds=1))


def _describe(outcome: AttemptOutcome) -> str:
    match outcome:
        case Delivered(status=status):
            return f"status {status}"
        case Held(head=head):
            return f"status {head.status}"
        case NotSent(reason=reason):
            return f"not sent: {reason}"
        case NotRun(reason=reason, at_fault=None):
            return f"not run: {reason}"
        case NotRun(reason=reason, at_fault=at_fault):
            return f"not run: {reason}, at fault: {at_fault}"
        case ResponseInterrupted(reason=reason):
            return f"broken: {reason}"
