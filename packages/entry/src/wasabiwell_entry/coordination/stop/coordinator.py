"""Open requests of an entry instance, and the order to leave."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.stop.const import DRAIN_POLL_INTERVAL, END_MARGIN, LISTEN_TIME
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


class GracefulStop:
    """Counts open requests and tells when the instance is leaving."""

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
        """Begin to leave; a second call has no effect."""
        self._leaving.set()

    async def wait_leaving(self) -> None:
        """Return when the instance is leaving."""
        await self._leaving.wait()

    async def wait_requests_finished(self, end: timedelta) -> None:
        """Return when no request is open, or at a monotonic time."""
        while self._open and self._clock.monotonic() < end:
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    async def wait_listeners_close(self) -> None:
        """Return when a leaving instance should accept no more connections."""
        await self.wait_leaving()
        await self._clock.sleep(LISTEN_TIME)

    def drain_timeout(self, grace: timedelta) -> timedelta:
        """Return how long open requests may take after the last connection was accepted."""
        return max(timedelta(), grace - LISTEN_TIME - END_MARGIN)

    async def log_aborted_requests(self, grace: timedelta) -> None:
        """Log the requests that are still open when the time of a leaving instance is over."""
        await self.wait_listeners_close()
        await self.wait_requests_finished(self._clock.monotonic() + self.drain_timeout(grace))
        if self._open:
            log_events.emit(log_events.STREAMS_CUT, count=self._open)
