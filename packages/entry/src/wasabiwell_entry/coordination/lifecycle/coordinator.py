"""Readiness and graceful stop of an entry instance."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.configuration.const import MAX_CONFIRMATION_AGE
from wasabiwell_entry.coordination.lifecycle.const import (
    DEPARTURE_TIME,
    DRAIN_POLL_INTERVAL,
    HAND_BACK_TIMEOUT,
    LEAVING_SPREAD_TIME,
)
from wasabiwell_entry.coordination.lifecycle.errors import NotReady, Readiness, Ready
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock

HandBack = Callable[[], Awaitable[None]]


class LifecycleCoordinator:
    """Tracks open requests and takes the instance out of service."""

    __slots__ = ("_clock", "_configuration", "_hand_backs", "_leaving", "_membership", "_open")

    def __init__(
        self,
        membership: MembershipCoordinator,
        configuration: ConfigurationCoordinator,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._hand_backs: list[HandBack] = []
        self._clock = clock
        self._open = 0
        self._leaving = trio.Event()

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._open

    @property
    def leaving(self) -> bool:
        """Return whether the graceful stop has begun."""
        return self._leaving.is_set()

    def on_hand_back(self, hand_back: HandBack) -> None:
        """Call a function after the last request, to return what a part holds."""
        self._hand_backs.append(hand_back)

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as open."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1

    def readiness(self) -> Readiness:
        """Tell whether the instance should get requests."""
        if self._leaving.is_set():
            return NotReady("the instance is leaving")
        if self._configuration.state.version == 0:
            return NotReady("no configuration is in force")
        age = self._configuration.confirmation_age()
        if age is None:
            return NotReady("the configuration in force has not been confirmed")
        if age > MAX_CONFIRMATION_AGE and not self._membership.hears_majority():
            return NotReady("the configuration may be old: neither store nor majority is reached")
        return Ready()

    def leave(self, reason: str) -> None:
        """Start the graceful stop; a second call has no effect."""
        if self._leaving.is_set():
            return
        log_events.emit(log_events.ENTRY_LEAVING, node=self._membership.own.node_id, reason=reason)
        self._membership.leave()
        self._leaving.set()

    async def wait_drained(self, address_ttl: timedelta, limit: timedelta) -> None:
        """Wait until the instance left, callers forgot its address, and no request is open.

        After `limit` from the begin of the stop, requests that are still open are given up.
        """
        await self._leaving.wait()
        end = self._clock.monotonic() + limit
        await self._clock.sleep(address_ttl + LEAVING_SPREAD_TIME)
        await self._wait_no_request(end)
        await self._hand_back()
        self._membership.depart()
        await self._clock.sleep(DEPARTURE_TIME)
        await self._wait_no_request(end)
        if self._open:
            log_events.emit(log_events.STREAMS_CUT, count=self._open)

    async def _wait_no_request(self, end: timedelta) -> None:
        while self._open and self._clock.monotonic() < end:
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    async def _hand_back(self) -> None:
        """Let each part return what it holds; one that fails or hangs does not stop the others."""
        for hand_back in self._hand_backs:
            with trio.move_on_after(HAND_BACK_TIMEOUT.total_seconds()) as scope:
                try:
                    await hand_back()
                except Exception as error:
                    log_events.emit(log_events.HAND_BACK_FAILED, error=repr(error))
            if scope.cancelled_caught:
                log_events.emit(log_events.HAND_BACK_FAILED, error="timeout")
