"""Readiness and graceful stop of an entry instance."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.configuration.const import MAX_CONFIRMATION_AGE
from wasabiwell_entry.coordination.lifecycle.const import (
    DEPARTURE_TIME,
    HAND_BACK_TIMEOUT,
    LEAVING_SPREAD_TIME,
)
from wasabiwell_entry.coordination.lifecycle.errors import NotReady, Readiness, Ready
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.stop import GracefulStop
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock

HandBack = Callable[[], Awaitable[None]]


class LifecycleCoordinator:
    """Tracks open requests and takes the instance out of service."""

    __slots__ = ("_clock", "_configuration", "_hand_backs", "_membership", "_stop")

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
        self._stop = GracefulStop(clock)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._stop.open_requests

    @property
    def leaving(self) -> bool:
        """Return whether the graceful stop has begun."""
        return self._stop.leaving

    def on_hand_back(self, hand_back: HandBack) -> None:
        """Call a function after the last request, to return what a part holds."""
        self._hand_backs.append(hand_back)

    def request(self) -> AbstractContextManager[None]:
        """Count a request as open."""
        return self._stop.request()

    def readiness(self) -> Readiness:
        """Tell whether the instance should get requests."""
        if self._stop.leaving:
            return NotReady("the instance is leaving")
        if self._configuration.state.version == 0:
            return NotReady("no configuration is in force")
        age = self._configuration.confirmation_age()
        if age is None:
            return NotReady("the configuration in force has not been confirmed")
        if age > MAX_CONFIRMATION_AGE and not self._membership.reaches_majority():
            return NotReady("the configuration may be old: neither store nor majority is reached")
        return Ready()

    def leave(self, reason: str) -> None:
        """Start the graceful stop; a second call has no effect."""
        if self._stop.leaving:
            return
        log_events.emit(log_events.ENTRY_LEAVING, node=self._membership.own.node_id, reason=reason)
        self._membership.leave()
        self._stop.leave()

    async def wait_drained(self, address_ttl: timedelta, limit: timedelta) -> None:
        """Wait until the instance left, callers forgot its address, and no request is open.

        After `limit` from the begin of the stop, requests that are still open are given up.
        """
        await self._stop.wait_leaving()
        end = self._clock.monotonic() + limit
        await self._clock.sleep(address_ttl + LEAVING_SPREAD_TIME)
        await self._stop.wait_requests_finished(end)
        await self._hand_back()
        self._membership.announce_stop()
        await self._clock.sleep(DEPARTURE_TIME)
        await self._stop.wait_requests_finished(end)
        if self._stop.open_requests:
            log_events.emit(log_events.STREAMS_CUT, count=self._stop.open_requests)

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
