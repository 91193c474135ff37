"""Target health, derived from the platform's listing and the outcomes of requests."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.health.advice import AdviceTable
from wasabiwell_entry.coordination.health.const import (
    DEPARTURES_PER_NOTICE,
    FAILURE_HALF_LIFE,
    INITIAL_PAUSE,
    MAX_PAUSE,
    PRIOR_SUCCESSES,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict, TargetDepartures
from wasabiwell_entry.state.targets import ListedTarget, Target, TargetAdvice, TargetProcess


@dataclass(slots=True)
class _TargetState:
    """Health estimate of one target; times are in monotonic seconds."""

    target: Target
    leaving: bool = False
    evacuated: bool = False
    paused_until: float = 0.0
    lost_at: float = 0.0
    consecutive_losses: int = 0
    successes: float = 0.0
    failures: float = 0.0
    updated: float = 0.0


class TargetHealth:
    """Health estimates of one entry instance; implements `TargetHealthPort`.

    Targets of evacuated zones are marked at each change, as placement asks for each target of a
    service, of which there may be thousands.

    A pause that a target asks for binds only this entry instance: the target refuses one instance
    of many, and a pause by all would move its whole load at once. The refusal itself is reported to
    the others as a failure.
    """

    __slots__ = ("_advice", "_clock", "_evacuated_zones", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _TargetState] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._advice = AdviceTable(clock)

    def update(self, listed: list[ListedTarget]) -> None:
        """Update the targets from the platform's listing."""
        states: dict[str, _TargetState] = {}
        for item in listed:
            state = self._states.get(item.target.target_id)
            if state is None or state.target != item.target:
                state = _TargetState(item.target, updated=self._now())
                # A target that was unlisted for a while may have announced its departure before.
                state.leaving = self._advice.is_leaving(item.target)
                state.evacuated = item.target.zone in self._evacuated_zones
            if item.leaving and not state.leaving:
                log_events.emit(log_events.TARGET_LEAVING, target=item.target.target_id)
            state.leaving = state.leaving or item.leaving
            states[item.target.target_id] = state
        self._states = states

    def update_evacuated(self, zones: frozenset[str]) -> None:
        """Leave out the targets of these zones from now on, and of no other ones."""
        self._evacuated_zones = zones
        for state in self._states.values():
            state.evacuated = state.target.zone in zones

    def listed(self, target: Target) -> bool:
        """Return whether the target is listed, not leaving or evacuated, and asked for no pause."""
        state = self._states.get(target.target_id)
        if state is None or state.target != target or state.leaving or state.evacuated:
            return False
        return not self._advice.pause_left(target)

    def evacuated(self, target: Target) -> bool:
        """Return whether the target is in an evacuated zone."""
        return target.zone in self._evacuated_zones

    def targets(self) -> list[Target]:
        """Return the targets in the platform's list that are neither leaving nor evacuated."""
        return [
            state.target
            for state in self._states.values()
            if not (state.leaving or state.evacuated)
        ]

    def usable(self, target: Target) -> bool:
        """Return whether the target may receive requests."""
        if not self.listed(target):
            return False
        return self._states[target.target_id].paused_until <= self._now()

    def share(self, target: Target) -> float:
        """Return the part of its usual requests that the target should get, from 0 to 1."""
        return self._advice.share(target)

    def requested_pause(self, target: Target) -> timedelta:
        """Return the rest of the pause for which a target has asked, zero without one."""
        state = self._states.get(target.target_id)
        if state is None or state.target != target or state.leaving or state.evacuated:
            return timedelta()
        return self._advice.pause_left(target)

    def failure_rate(self, target: Target) -> float:
        """Return the recent failure rate of the target, from 0 to 1."""
        state = self._states.get(target.target_id)
        if state is None:
            return 0.0
        self._decay(state)
        return state.failures / (PRIOR_SUCCESSES + state.successes + state.failures)

    def count(self) -> dict[str, float]:
        """Return the number of targets by health state."""
        now = self._now()
        counts = {"well": 0.0, "leaving": 0.0, "paused": 0.0}
        for state in self._states.values():
            if state.leaving:
                counts["leaving"] += 1
            elif state.evacuated:
                counts["evacuated"] = counts.get("evacuated", 0.0) + 1
            elif state.paused_until > now or self._advice.pause_left(state.target):
                counts["paused"] += 1
            else:
                counts["well"] += 1
        return counts

    def record_advice(self, target: Target, advice: TargetAdvice) -> TargetDepartures | None:
        """Record what a target has said of itself; return a departure that was not known."""
        if advice.pause:
            log_events.emit(
                log_events.PAUSE_REQUESTED,
                target=target.target_id,
                requested_s=round(advice.pause.total_seconds(), 2),
                pause_s=round(self._advice.record_pause(target, advice.pause).total_seconds(), 2),
            )
        state = self._states.get(target.target_id)
        listed_as_leaving = state is not None and state.target == target and state.leaving
        if not advice.leaving or not self._advice.record_departure(target.process):
            return None
        self._mark_leaving(target.process)
        return None if listed_as_leaving else TargetDepartures((target.process,))

    def departures(self) -> list[TargetDepartures]:
        """Return the messages with the departures that targets have announced lately."""
        found, size = self._advice.departures(), DEPARTURES_PER_NOTICE
        return [
            TargetDepartures(tuple(found[start : start + size]))
            for start in range(0, len(found), size)
        ]

    def record_departures(self, departures: TargetDepartures) -> None:
        """Record departures that targets have announced to another entry instance."""
        for process in departures.processes:
            if self._advice.record_departure(process):
                self._mark_leaving(process)

    def _mark_leaving(self, process: TargetProcess) -> None:
        state = self._states.get(process.target_id)
        if state is not None and state.target.process == process and not state.leaving:
            state.leaving = True
            log_events.emit(log_events.TARGET_LEAVING, target=process.target_id)

    def record_attempt(self, target_id: str, verdict: AttemptVerdict) -> None:
        """Record the outcome of an attempt, made here or by another entry instance."""
        state = self._states.get(target_id)
        if state is None:
            return
        self._decay(state)
        match verdict:
            case AttemptVerdict.ANSWERED:
                state.successes += 1
                state.consecutive_losses = 0
                state.paused_until = 0.0
            case AttemptVerdict.REFUSED | AttemptVerdict.FAILED:
                state.failures += 1
            case AttemptVerdict.LOST:
                self._record_loss(state)
            case AttemptVerdict.ABANDONED:
                pass

    def loss_pause(self, target_id: str) -> float:
        """Return the seconds for which a lost target still gets no requests."""
        state = self._states.get(target_id)
        return max(0.0, state.paused_until - self._now()) if state is not None else 0.0

    def end_pauses(self, since: timedelta) -> None:
        """End the pauses of targets that were lost after a monotonic time.

        This instance was cut off from all targets then, so that the losses say nothing of them.
        """
        for state in self._states.values():
            if state.paused_until and state.lost_at >= since.total_seconds():
                state.paused_until, state.consecutive_losses = 0.0, 0

    def _record_loss(self, state: _TargetState) -> None:
        now = self._now()
        if state.paused_until > now:
            return
        pause = min(INITIAL_PAUSE * 2**state.consecutive_losses, MAX_PAUSE).total_seconds()
        state.consecutive_losses += 1
        state.failures += 1
        state.paused_until, state.lost_at = now + pause, now
        log_events.emit(
            log_events.TARGET_PAUSED, target=state.target.target_id, pause_s=round(pause, 2)
        )

    def _decay(self, state: _TargetState) -> None:
        now = self._now()
        factor = 0.5 ** ((now - state.updated) / FAILURE_HALF_LIFE.total_seconds())
        state.successes *= factor
        state.failures *= factor
        state.updated = now

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
