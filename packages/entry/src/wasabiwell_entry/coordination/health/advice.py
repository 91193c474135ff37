"""What targets have said of themselves, by process."""

from datetime import timedelta

from wasabiwell_entry.coordination.health.const import (
    ADVICE_LIFETIME,
    MAX_ADVISING_TARGETS,
    MAX_REQUESTED_PAUSE,
    RETURN_TIME,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import Target, TargetProcess


class AdviceTable:
    """Announced departures and requested pauses of the processes of targets.

    They are kept apart from the list of targets, because a target may be missing there for a while,
    and bind no process that starts later under the same id or address.
    """

    __slots__ = ("_clock", "_departed_at", "_paused_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._departed_at: dict[TargetProcess, timedelta] = {}
        self._paused_until: dict[TargetProcess, timedelta] = {}

    def departures(self) -> list[TargetProcess]:
        """Return the processes that have announced their departure lately."""
        self._forget_old()
        return list(self._departed_at)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has announced its departure."""
        return target.process in self._departed_at

    def record_departure(self, process: TargetProcess) -> bool:
        """Record a departure; return whether it was not known."""
        self._forget_old()
        known = process in self._departed_at
        if not known:
            _limit(self._departed_at)
            self._departed_at[process] = self._clock.monotonic()
        return not known

    def record_pause(self, target: Target, requested: timedelta) -> timedelta:
        """Record a requested pause, and return how long it lasts; a longer one stays in force."""
        pause = min(requested, MAX_REQUESTED_PAUSE)
        until = self._clock.monotonic() + pause
        before = self._paused_until.pop(target.process, timedelta())
        _limit(self._paused_until)
        self._paused_until[target.process] = max(before, until)
        return pause

    def pause_left(self, target: Target) -> timedelta:
        """Return the rest of the pause that a target has requested, zero without one."""
        if not self._paused_until:
            return timedelta()
        until = self._paused_until.get(target.process)
        return max(timedelta(), until - self._clock.monotonic()) if until else timedelta()

    def share(self, target: Target) -> float:
        """Return the part of its usual requests that a target should get, from 0 to 1.

        It grows after a requested pause, so that not everything that waited comes back at once.
        """
        until = self._paused_until.get(target.process) if self._paused_until else None
        if until is None:
            return 1.0
        return min(1.0, max(0.0, (self._clock.monotonic() - until) / RETURN_TIME))

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        for process, departed_at in list(self._departed_at.items()):
            if now - departed_at >= ADVICE_LIFETIME:
                del self._departed_at[process]
        for process, until in list(self._paused_until.items()):
            if now - until >= ADVICE_LIFETIME:
                del self._paused_until[process]


def _limit(table: dict[TargetProcess, timedelta]) -> None:
    """Drop the oldest entry of a full table."""
    if len(table) >= MAX_ADVISING_TARGETS:
        del table[next(iter(table))]
