"""Finds out what a failed attempt says about its target and its helpers."""

from dataclasses import replace

from wasabiwell_entry.coordination.forwarding.const import MAX_EVENTS_BEFORE_CRASH, SERVER_ERROR
from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome, Buffered, Delivered
from wasabiwell_entry.coordination.forwarding.log_fields import probe_text
from wasabiwell_entry.coordination.forwarding.ports import TargetPort
from wasabiwell_entry.coordination.placement.ledger import OpenPlacement, PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.reachability import ReachabilityProber
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.forwarding import (
    ForwardAttempt,
    NotRun,
    NotSent,
    ResponseInterrupted,
)
from wasabiwell_entry.state.probes import TargetAlive, TargetDown, TargetSilent
from wasabiwell_entry.state.targets import Target


class AttemptAssessor:
    """Probes targets after failed attempts, and records crashes and lost helpers."""

    __slots__ = ("_crashes", "_ledger", "_prober", "_targets")

    def __init__(
        self,
        targets: TargetPort,
        prober: ReachabilityProber,
        ledger: PlacementLedger,
        crashes: CrashCounts,
    ) -> None:
        self._targets = targets
        self._prober = prober
        self._ledger = ledger
        self._crashes = crashes

    async def assess_interruption(
        self, attempt: ForwardAttempt, opened: OpenPlacement, interruption: ResponseInterrupted
    ) -> ResponseInterrupted:
        """Record a crash if the target is down, but not if it only cut the connection.

        A target that does not react hangs, or the network is interrupted for all of its requests,
        so that this accuses none of them. Nor does one that is down while no other target is
        reachable: this instance is cut off from all of them then. A crash does not count against a
        response that had progressed, as a request crashes its target when it begins to run.
        """
        request, target = attempt.request, attempt.target
        name = f"{target.target_id}@{target.incarnation}"
        probe = await self._targets.probe(target) if interruption.target_lost else None
        crashed = (
            isinstance(probe, TargetDown)
            and opened.events <= MAX_EVENTS_BEFORE_CRASH
            and await self._prober.reaches_another(target)
        )
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

    async def assess_helpers(
        self, attempt: ForwardAttempt, outcome: AttemptOutcome
    ) -> list[Target]:
        """Return the helpers that the lead names as the cause of its refusal.

        One that runs refuses its part because it helps others or is leaving, and is not lost.
        """
        refusing_helpers = _refusing_helpers(attempt, outcome)
        for helper in refusing_helpers:
            probe = await self._targets.probe(helper)
            log_events.emit(
                log_events.HELPER_REFUSED,
                request=attempt.request.request_id,
                lead=attempt.target.target_id,
                helper=helper.target_id,
                probe=probe_text(probe),
            )
            if not isinstance(probe, TargetAlive):
                self._ledger.record_lost_helper(helper.target_id)
        return refusing_helpers


def verdict_on_target(outcome: AttemptOutcome) -> AttemptVerdict:
    """Return what the outcome of an attempt says about its target."""
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


def _refusing_helpers(attempt: ForwardAttempt, outcome: AttemptOutcome) -> list[Target]:
    at_fault = outcome.at_fault if isinstance(outcome, NotRun) else None
    helpers = [helper.target for helper in attempt.helpers]
    return [item for item in helpers if item.address == at_fault]
