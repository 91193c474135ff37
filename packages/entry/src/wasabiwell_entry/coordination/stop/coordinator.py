"""Tracks open requests and times the steps of a graceful stop."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.stop.const import (
    ACCEPT_DURATION,
    COMPLETION_MARGIN,
    DRAIN_POLL_INTERVAL,
    FAILURE_SEND_DURATION,
    LATE_HANDLING,
    UNBOUNDED_ACCEPT_DURATION,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import Reason, Refused


class GracefulStop:
    """Counts open requests, signals that the instance is leaving, and refuses late requests."""

    __slots__ = (
        "_abortable",
        "_clock",
        "_drain_limit",
        "_handled_at",
        "_leaving",
        "_leaving_since",
        "_open",
    )

    def __init__(self, clock: Clock, drain_limit: timedelta) -> None:
        """Take the time from the start of the stop after which open requests are aborted."""
        self._clock = clock
        self._drain_limit = drain_limit
        self._open = 0
        self._abortable: set[trio.CancelScope] = set()
        self._leaving = trio.Event()
        self._leaving_since = timedelta()
        self._handled_at = timedelta()

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._open

    @property
    def leaving(self) -> bool:
        """Return whether the instance is leaving."""
        return self._leaving.is_set()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as open."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    @contextmanager
    def abortable(self, time_left: timedelta) -> Iterator[None]:
        """Cancel the block after a time, or when the open requests are aborted.

        The caller can then still be told that its request has failed.
        """
        with trio.move_on_after(time_left.total_seconds()) as scope:
            self._abortable.add(scope)
            try:
                yield
            finally:
                self._abortable.discard(scope)

    @property
    def aborting(self) -> bool:
        """Return whether the open requests are being aborted."""
        return self.leaving and self._clock.monotonic() >= self._abort_at

    def leave(self, since: timedelta | None = None) -> None:
        """Start the graceful stop, by default now; further calls have no effect.

        `since` is the monotonic time from which whoever stops the process may count its grace
        period.
        """
        if self.leaving:
            return
        self._handled_at = self._clock.monotonic()
        self._leaving_since = self._handled_at if since is None else since
        late = self._handled_at - self._leaving_since
        if late > LATE_HANDLING:
            log_events.emit(log_events.STOP_HANDLED_LATE, late_s=f"{late.total_seconds():.1f}")
        self._leaving.set()

    def admit(self, retryable: bool, deadline: timedelta) -> Refused | None:
        """Return why a request that has just arrived cannot be taken, or None if it can.

        A request is refused if it may still run, by its monotonic `deadline`, when the leaving
        instance aborts the open ones. A retryable one is refused only if it comes late.
        """
        if not self.leaving:
            return None
        now = self._clock.monotonic()
        if deadline + COMPLETION_MARGIN <= self._abort_at:
            return None
        if retryable and now - self._leaving_since < UNBOUNDED_ACCEPT_DURATION:
            return None
        time_left = max(timedelta(), self._abort_at - now)
        limit = max(timedelta(), deadline - now)
        return Refused(
            Reason.NOT_READY,
            f"the instance is leaving and ends in {time_left / timedelta(seconds=1):.1f} s, the "
            f"request may take {limit / timedelta(seconds=1):.1f} s",
            # Other instances take the request at once.
            retry_after=timedelta(),
        )

    async def wait_leaving(self) -> None:
        """Wait until the graceful stop has started."""
        await self._leaving.wait()

    async def wait_requests_finished(self) -> None:
        """Wait until no request is open, at most until the open ones are to be aborted."""
        while self._open and self._clock.monotonic() < self._abort_at:
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    async def wait_listeners_close(self) -> None:
        """Wait until the leaving instance should close its listeners.

        They stay open for the time in which callers learn that the address is gone, but not after
        the open requests are aborted.
        """
        await self.wait_leaving()
        closes_at = min(self._handled_at + ACCEPT_DURATION, self._abort_at)
        await self._clock.sleep(max(timedelta(), closes_at - self._clock.monotonic()))

    def drain_timeout(self) -> timedelta:
        """Return how long the connections of a leaving instance may stay open from now on."""
        time_left = self._abort_at - self._clock.monotonic()
        return max(timedelta(), time_left) + FAILURE_SEND_DURATION

    async def abort_open_requests(self) -> None:
        """Abort the requests that are open at the end of the stop, so that each is answered."""
        await self.wait_listeners_close()
        await self.wait_requests_finished()
        if self._open:
            log_events.emit(log_events.STREAMS_CUT, count=self._open)
        for scope in self._abortable:
            scope.cancel()

    @property
    def _abort_at(self) -> timedelta:
        """Return the monotonic time at which a leaving instance aborts its open requests."""
        return self._leaving_since + self._drain_limit
