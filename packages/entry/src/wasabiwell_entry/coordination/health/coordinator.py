"""Target health, derived from the platform's listing and the outcomes of requests."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.health.const import (
    DEPARTURE_LIFETIME,
    FAILURE_HALF_LIFE,
    INITIAL_PAUSE,
    MAX_DEPARTURES,
    MAX_PAUSE,
    MAX_REQUESTED_PAUSE,
    PRIOR_SUCCESSES,
    RETURN_TIME,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict, TargetDeparture
from wasabiwell_entry.state.targets import ListedTarget, Target, TargetAdvice


@dataclass(slots=True)
class _TargetState:
    """Health estimate of one target; times are in monotonic seconds.

    `paused_until` follows from losses, `requested_until` is the end of the last pause for which the
    target has asked this entry instance.
    """

    target: Target
    leaving: bool = False
    paused_until: float = 0.0
    requested_until: float | None = None
    consecutive_losses: int = 0
    successes: float = 0.0
    failures: float = 0.0
    updated: float = 0.0


class TargetHealth:
    """Health estimates of one entry instance; implements `TargetHealthPort`.

    A pause that a target asks for binds only this entry instance: the target refuses one instance
    of many, and a pause by all would move its whole load at once. The refusal itself is reported to
    the others as a failure.
    """

    __slots__ = ("_clock", "_departures", "_states")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _TargetState] = {}
        self._departures: dict[TargetDeparture, float] = {}

    def update(self, listed: list[ListedTarget]) -> None:
        """Update the targets from the platform's listing."""
        states: dict[str, _TargetState] = {}
        for item in listed:
            state = self._states.get(item.target.target_id)
            if state is None or state.target != item.target:
                state = _TargetState(item.target, updated=self._now())
                # A target that was unlisted for a while may have announced its departure before.
                state.leaving = _departure(item.target) in self._departures
            if item.leaving and not state.leaving:
                log_events.emit(log_events.TARGET_LEAVING, target=item.target.target_id)
            state.leaving = state.leaving or item.leaving
            states[item.target.target_id] = state
        self._states = states

    def listed(self, target: Target) -> bool:
        """Return whether the target is listed, and neither leaving nor in a requested pause."""
        state = self._states.get(target.target_id)
        if state is None or state.target != target or state.leaving:
            return False
        return state.requested_until is None or state.requested_until <= self._now()

    def usable(self, target: Target) -> bool:
        """Return whether the target may receive requests."""
        if not self.listed(target):
            return False
        return self._states[target.target_id].paused_until <= self._now()

    def share(self, target: Target) -> float:
        """Return the part of its usual requests that the target should get, from 0 to 1.

        It grows after a requested pause, so that not everything that waited comes back at once.
        """
        state = self._states.get(target.target_id)
        if state is None or state.requested_until is None:
            return 1.0
        returned = (self._now() - state.requested_until) / RETURN_TIME.total_seconds()
        return min(1.0, max(0.0, returned))

    def requested_pause(self, target: Target) -> timedelta | None:
        """Return the rest of the pause for which a target has asked, or None without one."""
        state = self._states.get(target.target_id)
        if state is None or state.target != target or state.leaving:
            return None
        if state.requested_until is None or state.requested_until <= self._now():
            return None
        return timedelta(seconds=state.requested_until - self._now())

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
            elif max(state.paused_until, state.requested_until or 0.0) > now:
                counts["paused"] += 1
            else:
                counts["well"] += 1
        return counts

    def record_advice(self, target: Target, advice: TargetAdvice) -> TargetDeparture | None:
        """Record what a target has said of itself; return a departure that was not known."""
        state = self._states.get(target.target_id)
        known = state is not None and state.target == target
        if known and advice.pause > timedelta():
            self._record_requested_pause(self._states[target.target_id], advice.pause)
        departure = _departure(target)
        if not advice.leaving or departure in self._departures:
            return None
        listed_as_leaving = known and self._states[target.target_id].leaving
        self.record_departure(departure)
        return None if listed_as_leaving else departure

    def departures(self) -> list[TargetDeparture]:
        """Return the departures that targets have announced lately."""
        return list(self._departures)

    def record_departure(self, departure: TargetDeparture) -> None:
        """Record that a target is leaving, as announced here or to another entry instance."""
        now = self._now()
        self._departures = {
            item: at
            for item, at in self._departures.items()
            if now - at < DEPARTURE_LIFETIME.total_seconds()
        }
        if len(self._departures) >= MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._departures[departure] = now
        state = self._states.get(departure.target_id)
        if state is not None and _departure(state.target) == departure and not state.leaving:
            state.leaving = True
            log_events.emit(log_events.TARGET_LEAVING, target=departure.target_id)

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

    def _record_requested_pause(self, state: _TargetState, requested: timedelta) -> None:
        pause = min(requested, MAX_REQUESTED_PAUSE)
        state.requested_until = max(
            state.requested_until or 0.0, self._now() + pause.total_seconds()
        )
        log_events.emit(
            log_events.PAUSE_REQUESTED,
            target=state.target.target_id,
            requested_s=round(requested.total_seconds(), 2),
            pause_s=round(pause.total_seconds(), 2),
        )

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


def _departure(target: Target) -> TargetDeparture:
    return TargetDeparture(target.target_id, target.incarnation, target.address)
