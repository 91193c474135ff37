"""Decides whether this instance is cut off from all targets."""

from collections.abc import Callable
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.reachability.const import (
    FAILED_TARGETS,
    FAILURE_LIFETIME,
    SUSPECTED_TARGETS,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import Target


class TargetReachability:
    """Counts failed connections to different targets since the last one that was accepted.

    Only new connections are evidence: open ones may live on while new ones are refused.
    """

    __slots__ = (
        "_accepted_at",
        "_clock",
        "_cut_off_at",
        "_ended",
        "_failures",
        "_first_failure_at",
        "_listed",
        "_started",
        "_wake",
    )

    def __init__(
        self,
        listed: Callable[[], list[Target]],
        started: Callable[[], None],
        ended: Callable[[timedelta], None],
        clock: Clock,
    ) -> None:
        """Take a function that returns the listed targets that are not leaving, and callbacks.

        `started` is called when the instance becomes cut off. `ended` is called when it no longer
        is, with the monotonic time of the first failed connection.
        """
        self._listed = listed
        self._started = started
        self._ended = ended
        self._clock = clock
        self._failures: dict[str, timedelta] = {}
        self._first_failure_at = timedelta()
        self._accepted_at = clock.monotonic()
        self._cut_off_at: timedelta | None = None
        self._wake = trio.Event()

    @property
    def cut_off(self) -> bool:
        """Return whether this instance counts as cut off from all targets."""
        return self._cut_off_at is not None

    @property
    def suspected(self) -> bool:
        """Return whether lost targets may be due to this instance and not to the targets."""
        self._forget_old_failures()
        return self.cut_off or len(self._failures) >= SUSPECTED_TARGETS

    @property
    def failed(self) -> frozenset[str]:
        """Return the ids of the targets that failed since a connection was accepted."""
        return frozenset(self._failures)

    def listed(self) -> list[Target]:
        """Return the listed targets that are not leaving."""
        return self._listed()

    async def wait_failure(self) -> None:
        """Wait until a connection fails, or return at once while the instance is cut off."""
        if self.cut_off:
            return
        self._wake = trio.Event()
        await self._wake.wait()

    def record_connection(self, target: Target, accepted: bool) -> None:
        """Record whether a target accepted a new connection."""
        if accepted:
            self._record_accepted(target)
        else:
            self._record_failed(target)

    def _record_accepted(self, target: Target) -> None:
        now = self._clock.monotonic()
        self._accepted_at = now
        self._failures.clear()
        if self._cut_off_at is None:
            return
        since, self._cut_off_at = self._cut_off_at, None
        log_events.emit(
            log_events.TARGETS_REACHABLE,
            target=target.target_id,
            after_ms=round((now - since) / timedelta(milliseconds=1)),
        )
        self._ended(self._first_failure_at)

    def _record_failed(self, target: Target) -> None:
        if self.cut_off:
            return
        now = self._clock.monotonic()
        listed = {item.target_id for item in self._listed()}
        if target.target_id not in listed:
            return
        self._forget_old_failures()
        if not self._failures:
            self._first_failure_at = now
        self._failures[target.target_id] = now
        self._wake.set()
        if len(self._failures) < min(FAILED_TARGETS, len(listed)):
            return
        self._cut_off_at = now
        log_events.emit(
            log_events.TARGETS_UNREACHABLE,
            targets=" ".join(sorted(self._failures)),
            listed=len(listed),
            within_ms=round((now - self._first_failure_at) / timedelta(milliseconds=1)),
            accepted_ms=round((now - self._accepted_at) / timedelta(milliseconds=1)),
        )
        self._started()

    def _forget_old_failures(self) -> None:
        oldest = self._clock.monotonic() - FAILURE_LIFETIME
        self._failures = {key: at for key, at in self._failures.items() if at >= oldest}
