"""Target health, derived from the platform's listing and the outcomes of requests."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.health.const import (
    FAILURE_HALF_LIFE,
    INITIAL_PAUSE,
    MAX_PAUSE,
    PRIOR_SUCCESSES,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.targets import ListedTarget, Target


@dataclass(slots=True)
class _TargetState:
    """Health estimate of one target; times are in monotonic seconds."""

    target: Target
    leaving: bool = False
    paused_until: float = 0.0
    consecutive_losses: int = 0
    successes: float = 0.0
    failures: float = 0.0
    updated: float = 0.0


class TargetHealth:
    """Health estimates of one entry instance; implements `TargetHealthPort`."""

    __slots__ = ("_clock", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _TargetState] = {}

    def update(self, listed: list[ListedTarget]) -> None:
        """Update the targets from the platform's listing."""
        states: dict[str, _TargetState] = {}
        for item in listed:
            state = self._states.get(item.target.target_id)
            if state is None or state.target != item.target:
                state = _TargetState(item.target, updated=self._now())
            if item.leaving and not state.leaving:
                log_events.emit(log_events.TARGET_LEAVING, target=item.target.target_id)
            state.leaving = state.leaving or item.leaving
            states[item.target.target_id] = state
        self._states = states

    def listed(self, target: Target) -> bool:
        """Return whether the target is in the platform's listing and not leaving."""
        state = self._states.get(target.target_id)
        return state is not None and state.target == target and not state.leaving

    def usable(self, target: Target) -> bool:
        """Return whether the target may receive requests."""
        state = self._states.get(target.target_id)
        if state is None or state.target != target or state.leaving:
            return False
        return state.paused_until <= self._now()

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
            elif state.paused_until > now:
                counts["paused"] += 1
            else:
                counts["well"] += 1
        return counts

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

    def _record_loss(self, state: _TargetState) -> None:
        now = self._now()
        if state.paused_until > now:
            return
        pause = min(INITIAL_PAUSE * 2**state.consecutive_losses, MAX_PAUSE).total_seconds()
        state.consecutive_losses += 1
        state.failures += 1
        state.paused_until = now + pause
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
