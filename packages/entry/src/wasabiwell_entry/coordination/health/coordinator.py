"""Beliefs about targets, from the platform's list and from how requests fared on them."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.health.const import (
    FAILURE_HALF_LIFE,
    FIRST_PAUSE,
    MAX_PAUSE,
    PRIOR_ANSWERS,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict
from wasabiwell_entry.state.targets import ListedTarget, Target


@dataclass(slots=True)
class _Belief:
    """What is believed of one target; times are in monotonic seconds."""

    target: Target
    leaving: bool = False
    lost_until: float = 0.0
    losses: int = 0
    answers: float = 0.0
    failures: float = 0.0
    updated: float = 0.0


class TargetHealth:
    """Keeps the beliefs of one entry instance; implements `TargetHealthPort`."""

    __slots__ = ("_beliefs", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beliefs: dict[str, _Belief] = {}

    def update(self, listed: list[ListedTarget]) -> None:
        """Take over the platform's list."""
        beliefs: dict[str, _Belief] = {}
        for item in listed:
            belief = self._beliefs.get(item.target.target_id)
            if belief is None or belief.target != item.target:
                belief = _Belief(item.target, updated=self._now())
            if item.leaving and not belief.leaving:
                log_events.emit(log_events.TARGET_LEAVING, target=item.target.target_id)
            belief.leaving = belief.leaving or item.leaving
            beliefs[item.target.target_id] = belief
        self._beliefs = beliefs

    def listed(self, target: Target) -> bool:
        """Return whether the target is in the platform's list and is not leaving."""
        belief = self._beliefs.get(target.target_id)
        return belief is not None and belief.target == target and not belief.leaving

    def usable(self, target: Target) -> bool:
        """Return whether the target should get requests."""
        belief = self._beliefs.get(target.target_id)
        if belief is None or belief.target != target or belief.leaving:
            return False
        return belief.lost_until <= self._now()

    def failure_rate(self, target: Target) -> float:
        """Return the recent share of requests that the target failed, from 0 to 1."""
        belief = self._beliefs.get(target.target_id)
        if belief is None:
            return 0.0
        self._decay(belief)
        return belief.failures / (PRIOR_ANSWERS + belief.answers + belief.failures)

    def count(self) -> dict[str, float]:
        """Return the number of targets by what is believed of them."""
        now = self._now()
        counts = {"well": 0.0, "leaving": 0.0, "paused": 0.0}
        for belief in self._beliefs.values():
            if belief.leaving:
                counts["leaving"] += 1
            elif belief.lost_until > now:
                counts["paused"] += 1
            else:
                counts["well"] += 1
        return counts

    def record_attempt(self, target_id: str, verdict: AttemptVerdict) -> None:
        """Take over how a target did on a request, here or at another entry instance."""
        belief = self._beliefs.get(target_id)
        if belief is None:
            return
        self._decay(belief)
        match verdict:
            case AttemptVerdict.ANSWERED:
                belief.answers += 1
                belief.losses = 0
                belief.lost_until = 0.0
            case AttemptVerdict.REFUSED | AttemptVerdict.FAILED:
                belief.failures += 1
            case AttemptVerdict.LOST:
                self._lose(belief)
            case AttemptVerdict.ABANDONED:
                pass

    def _lose(self, belief: _Belief) -> None:
        now = self._now()
        if belief.lost_until > now:
            return
        pause = min(FIRST_PAUSE * 2**belief.losses, MAX_PAUSE).total_seconds()
        belief.losses += 1
        belief.failures += 1
        belief.lost_until = now + pause
        log_events.emit(
            log_events.TARGET_PAUSED, target=belief.target.target_id, pause_s=round(pause, 2)
        )

    def _decay(self, belief: _Belief) -> None:
        now = self._now()
        factor = 0.5 ** ((now - belief.updated) / FAILURE_HALF_LIFE.total_seconds())
        belief.answers *= factor
        belief.failures *= factor
        belief.updated = now

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
