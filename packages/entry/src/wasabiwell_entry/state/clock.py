"""Clock interface, passed to everything that reads the time."""

from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """Source of time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, which can jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start, which never decreases."""

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""


class SystemClock:
    """Wall clock of the machine and monotonic clock of the trio run."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time of the trio run's clock."""
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""
        await trio.sleep(max(0.0, duration.total_seconds()))


class ManualClock:
    """Clock that only tests advance."""

    __slots__ = ("_monotonic", "_now")

    def __init__(self, now: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._now = now
        self._monotonic = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time set by the test."""
        return self._now

    def monotonic(self) -> timedelta:
        """Return the monotonic time set by the test."""
        return self._monotonic

    async def sleep(self, duration: timedelta) -> None:
        """Advance both times by the duration and yield to other tasks."""
        self.advance(duration)
        await trio.lowlevel.checkpoint()

    def advance(self, duration: timedelta) -> None:
        """Move both times forward."""
        self._now += duration
        self._monotonic += duration

    def step_wall_clock(self, offset: timedelta) -> None:
        """Step the wall-clock time by an offset, which can be negative."""
        self._now += offset
