"""Forwards a request until its whole response is delivered or no further attempt is allowed."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.budget import RetryBudget
from wasabiwell_entry.coordination.forwarding.assessment import AttemptAssessor, verdict_on_target
from wasabiwell_entry.coordination.forwarding.const import (
    MAX_SENDS,
    MIN_TIME_LEFT,
    REFUSED_RETRY_AFTER,
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
)
from wasabiwell_entry.coordination.forwarding.peer_attempts import PeerAttempts
from wasabiwell_entry.coordination.forwarding.ports import PeerPort, ResponseSink, TargetPort
from wasabiwell_entry.coordination.forwarding.progress import Progress
from wasabiwell_entry.coordination.forwarding.relay import ResponseRelay, deliver_buffered
from wasabiwell_entry.coordination.forwarding.silence_timeout import SilenceTimeout
from wasabiwell_entry.coordination.forwarding.timing import probe_interval, response_start_timeout
from wasabiwell_entry.coordination.forwarding.ways import Direct, ThroughPeer, WayChooser
from wasabiwell_entry.coordination.placement import Placer
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.ledger import OpenPlacement, PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.quarantine.errors import RefusedCause, SuspectedCause
from wasabiwell_entry.coordination.reachability import (
    ReachabilityProber,
    RelayPeers,
    TargetReachability,
)
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.coordination.stop import GracefulStop
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.counters import ForwardCounters
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.forwarding import (
    ForwardAttempt,
    Forwarded,
    ForwardedRequest,
    NotRun,
    NotSent,
    ResponseInterrupted,
)
from wasabiwell_entry.state.outcomes import Failed, Reason, Refused, RunState

ForwardOutcome = Forwarded | Refused | Failed


@dataclass(frozen=True, slots=True)
class PeerRoutes:
    """What a forwarder needs to send requests through peers while it reaches no target."""

    reachability: TargetReachability
    prober: ReachabilityProber
    choice: RelayPeers
    port: PeerPort
    counters: ForwardCounters


class Forwarder:
    """Forwards the requests of one entry instance."""

    __slots__ = (
        "_assessor",
        "_budget",
        "_clock",
        "_crashes",
        "_ledger",
        "_peers",
        "_placer",
        "_relay",
        "_reservations",
        "_stop",
        "_targets",
        "_ways",
    )

    def __init__(
        self,
        placer: Placer,
        ledger: PlacementLedger,
        targets: TargetPort,
        peers: PeerRoutes,
        reservations: EngineReservations,
        budget: RetryBudget,
        crashes: CrashCounts,
        stop: GracefulStop,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._ledger = ledger
        self._targets = targets
        self._relay = ResponseRelay(ledger, crashes)
        self._assessor = AttemptAssessor(targets, peers.prober, ledger, crashes)
        self._ways = WayChooser(placer, peers.reachability, peers.choice)
        self._peers = PeerAttempts(peers.port, self._relay, peers.counters, clock)
        self._reservations = reservations
        self._stop = stop
        self._crashes = crashes
        self._budget = budget
        self._clock = clock

    async def forward(self, request: ForwardedRequest, sink: ResponseSink) -> ForwardOutcome:
        """Forward a request and deliver its response to the sink.

        After a `Failed` the sink may have received a part of the response, which must not be
        completed as if it were the whole response.
        """
        progress = Progress(last_event=request.last_event_id)
        if request.relayed_by is None:
            self._budget.count_request(request.service)
        with self._stop.abortable(self._time_left(request)):
            return await self._forward(request, sink, progress)
        if self._stop.aborting:
            return _unanswered_outcome(
                progress, Reason.NOT_READY, "the instance stops", retry_after=timedelta()
            )
        return _unanswered_outcome(progress, Reason.DEADLINE_EXCEEDED, progress.reason)

    async def _forward(
        self, request: ForwardedRequest, sink: ResponseSink, progress: Progress
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
            way = self._ways.choose(request, progress, isinstance(assessment, SuspectedCause))
            match way:
                case NoPlacement(reason=reason, retry_after=retry_after):
                    log_events.emit(
                        log_events.NOT_PLACED,
                        request=request.request_id,
                        reason=reason,
                        retry_after_ms=milliseconds(timedelta(), retry_after),
                    )
                    return await self._finish_unanswered(progress, sink, reason, retry_after)
                case ThroughPeer(peer=peer):
                    outcome = await self._peers.send(
                        request,
                        peer,
                        sink,
                        progress,
                        lambda: (
                            self._may_go_on(request, progress)
                            and self._ways.peer_would_continue(progress)
                        ),
                    )
                case Direct(placement=placement):
                    outcome = await self._attempt(request, placement, sink, progress)
            match outcome:
                case Delivered(status=status):
                    return Forwarded(status)
                case Buffered() as buffered:
                    progress.buffered = buffered
                    if buffered.head.status < SERVER_ERROR or not self._may_retry(
                        request, progress
                    ):
                        return await deliver_buffered(buffered, sink)
                case ResponseInterrupted(reason=reason):
                    progress.reason = reason
                    if not self._may_retry(request, progress):
                        return await self._finish_unanswered(
                            progress, sink, reason, REFUSED_RETRY_AFTER
                        )
                case NotRun(reason=reason):
                    progress.reason, progress.arrived = reason, True
                case NotSent(reason=reason):
                    progress.reason = reason
            if not self._may_try_another_target(request, progress, outcome):
                return await self._finish_unanswered(
                    progress, sink, progress.reason, REFUSED_RETRY_AFTER
                )

    def _may_retry(self, request: ForwardedRequest, progress: Progress) -> bool:
        return request.route.retryable and progress.runs < request.route.attempts

    def _may_go_on(self, request: ForwardedRequest, progress: Progress) -> bool:
        """Return whether a silent target or peer may be given up, if another would take over.

        Giving up cannot be undone, so nothing may be left to chance: another target with a free
        slot and free memory must be known too, and the retry budget must have room.
        """
        return (
            self._may_retry(request, progress)
            and progress.sends < MAX_SENDS
            and self._time_left(request) >= MIN_TIME_LEFT
            and self._budget.has_room(request.service)
            and not isinstance(self._crashes.assess(request), RefusedCause)
        )

    def _may_try_another_target(
        self, request: ForwardedRequest, progress: Progress, outcome: AttemptOutcome
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
        progress: Progress,
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
        progress: Progress,
    ) -> AttemptOutcome:
        progress.runs += 1
        target = placement.target
        retryable = self._may_retry(request, progress)
        left = self._time_left(request)
        expected = timedelta(seconds=placement.expected_seconds)
        silence_timeout = SilenceTimeout(
            request.route,
            response_start_timeout(request, left, expected, retryable),
            lambda: self._placer.expected_pause(target.target_id),
            left,
            retryable,
        )
        attempt = ForwardAttempt(
            request=request,
            target=target,
            helpers=placement.helpers,
            urgency=placement.urgency,
            time_left=self._time_left(request),
            silence_timeout=silence_timeout.current,
            probe_interval=probe_interval(request),
            resume_after=progress.last_event,
            can_continue_elsewhere=lambda: (
                self._may_go_on(request, progress)
                and self._ways.would_continue(request, progress, target.target_id)
            ),
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
            outcome = await self._relay.run(
                request, self._targets.attempt(attempt), sink, progress, opened, silence_timeout
            )
            if isinstance(outcome, ResponseInterrupted):
                outcome = await self._assessor.assess_interruption(attempt, opened, outcome)
            refusing_helpers = await self._assessor.assess_helpers(attempt, outcome)
            opened.verdict = (
                AttemptVerdict.ABANDONED if refusing_helpers else verdict_on_target(outcome)
            )
        self._log_outcome(attempt, placement, progress, opened, sent_at, outcome)
        if isinstance(outcome, NotSent | NotRun):
            progress.runs -= 1
        if opened.verdict is AttemptVerdict.ANSWERED:
            self._crashes.record_success(request)
        else:
            progress.excluded.update(item.target_id for item in refusing_helpers or [target])
        return outcome

    def _log_outcome(
        self,
        attempt: ForwardAttempt,
        placement: Placement,
        progress: Progress,
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

    async def _finish_unanswered(
        self, progress: Progress, sink: ResponseSink, reason: str, retry_after: timedelta
    ) -> ForwardOutcome:
        """Return the outcome of a request for which no further target is tried."""
        if progress.buffered is not None and not progress.response_started:
            return await deliver_buffered(progress.buffered, sink)
        if progress.runs == 0 and not progress.response_started:
            return Refused(Reason.NO_CAPACITY, reason, retry_after, arrived=progress.arrived)
        return _unanswered_outcome(progress, Reason.TARGET_FAILED, reason)

    def _time_left(self, request: ForwardedRequest) -> timedelta:
        return max(timedelta(), request.deadline - self._clock.monotonic())


def _unanswered_outcome(
    progress: Progress,
    reason: Reason,
    message: str,
    retry_after: timedelta = REFUSED_RETRY_AFTER,
) -> Refused | Failed:
    if progress.runs == 0 and not progress.response_started:
        return Refused(reason, message, retry_after, arrived=progress.arrived)
    return Failed(reason, message, RunState.UNKNOWN)
