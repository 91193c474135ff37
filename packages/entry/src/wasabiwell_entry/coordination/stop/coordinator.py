"""Tracks open requests and times the steps of a graceful stop."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.stop.const import (
    ACCEPT_DURATION,
    DRAIN_POLL_INTERVAL,
    TERMINATION_MARGIN,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


class GracefulStop:
    """Counts open requests and signals that the instance is leaving."""

    __slots__ = ("_clock", "_leaving", "_open")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open = 0
        self._leaving = trio.Event()

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

    def leave(self) -> None:
        """Start the graceful stop; further calls have no effect."""
        self._leaving.set()

    async def wait_leaving(self) -> None:
        """Wait until the graceful stop has started."""
        await self._leaving.wait()

    async def wait_requests_finished(self, end: timedelta) -> None:
        """Wait until no request is open, at most until the monotonic time `end`."""
        while self._open and self._clock.monotonic() < end:
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    async def wait_listeners_close(self) -> None:
        """Wait until the leaving instance should close its listeners."""
        await self.wait_leaving()
        await self._clock.sleep(ACCEPT_DURATION)

    def drain_timeout(self, grace: timedelta) -> timedelta:
        """Return how long open requests may run on after the listeners are closed."""
        return max(timedelta(), grace - ACCEPT_DURATION - TERMINATION_MARGIN)

    async def log_aborted_requests(self, grace: timedelta) -> None:
        """Log how many requests are still open at the end of the drain timeout."""
        await self.wait_listeners_close()
        await self.wait_requests_finished(self._clock.monotonic() + self.drain_timeout(grace))
        if self._open:
            log_events.emit(log_events.STREAMS_CUT, count=self._open)
