"""Attempts to run a request through a peer."""

from collections.abc import Callable
from datetime import timedelta

from wasabiwell_entry.coordination.forwarding.const import PEER_MARGIN, PEER_PAUSE
from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome
from wasabiwell_entry.coordination.forwarding.log_fields import milliseconds, outcome_text
from wasabiwell_entry.coordination.forwarding.ports import PeerPort, ResponseSink
from wasabiwell_entry.coordination.forwarding.progress import Progress
from wasabiwell_entry.coordination.forwarding.relay import OpenRelay, ResponseRelay
from wasabiwell_entry.coordination.forwarding.silence_timeout import SilenceTimeout
from wasabiwell_entry.coordination.forwarding.timing import probe_interval, response_start_timeout
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.counters import ForwardCounters
from wasabiwell_entry.state.forwarding import (
    ForwardedRequest,
    NotRun,
    NotSent,
    PeerAttempt,
    RelayPeer,
)


class PeerAttempts:
    """Sends requests to peers, which run each of them on one target at most."""

    __slots__ = ("_clock", "_counters", "_port", "_relay")

    def __init__(
        self, port: PeerPort, relay: ResponseRelay, counters: ForwardCounters, clock: Clock
    ) -> None:
        self._port = port
        self._relay = relay
        self._counters = counters
        self._clock = clock

    async def send(
        self,
        request: ForwardedRequest,
        peer: RelayPeer,
        sink: ResponseSink,
        progress: Progress,
        can_continue_elsewhere: Callable[[], bool],
    ) -> AttemptOutcome:
        """Send a request to a peer and return how the attempt ended.

        `NotRun` says that a target of the peer has refused the request. The peer takes nothing from
        the retry budget for the first target that it tries, so that a further peer is a retry. A
        peer that refuses the request itself is `NotSent`.
        """
        progress.sends += 1
        progress.runs += 1
        progress.peers.add(peer.address)
        started_at = self._clock.monotonic()
        left = max(timedelta(), request.deadline - started_at)
        retryable = request.route.retryable and progress.runs < request.route.attempts
        first = response_start_timeout(request, left, timedelta(), retryable) + PEER_MARGIN
        silence_timeout = SilenceTimeout(
            request.route, min(left, first), PEER_PAUSE.total_seconds, left, retryable
        )
        attempt = PeerAttempt(
            request=request,
            peer=peer,
            time_left=left,
            silence_timeout=silence_timeout.current,
            probe_interval=probe_interval(request),
            resume_after=progress.last_event,
            can_continue_elsewhere=can_continue_elsewhere,
        )
        log_events.emit(
            log_events.RELAYED,
            request=request.request_id,
            sends=progress.sends,
            peer=peer.address,
            zone=peer.zone,
            left_ms=milliseconds(timedelta(), left),
        )
        items = self._port.attempt(attempt)
        outcome = await self._relay.run(
            request, items, sink, progress, OpenRelay(), silence_timeout
        )
        log_events.emit(
            log_events.RELAY_ENDED,
            request=request.request_id,
            sends=progress.sends,
            peer=peer.address,
            outcome=outcome_text(outcome),
            total_ms=milliseconds(started_at, self._clock.monotonic()),
        )
        match outcome:
            case NotSent():
                progress.runs -= 1
                self._counters.relays["not sent"] += 1
            case NotRun(reason=reason):
                progress.runs -= 1
                self._counters.relays["refused"] += 1
                return NotRun(f"targets of instance {peer.address} refused it: {reason}")
            case _:
                self._counters.relays[type(outcome).__name__.lower()] += 1
        return outcome
