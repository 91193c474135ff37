"""Readiness and graceful stop of an entry instance."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.configuration.const import MAX_CONFIRMATION_AGE
from wasabiwell_entry.coordination.lifecycle.const import (
    DEPARTURE_PROPAGATION_TIME,
    LEAVING_PROPAGATION_TIME,
    RELEASE_TIMEOUT,
)
from wasabiwell_entry.coordination.lifecycle.errors import NotReady, Readiness, Ready
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.stop import GracefulStop
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock

ReleaseCallback = Callable[[], Awaitable[None]]


class LifecycleCoordinator:
    """Reports readiness, tracks open requests and shuts the instance down gracefully."""

    __slots__ = ("_clock", "_configuration", "_membership", "_release_callbacks", "_stop")

    def __init__(
        self,
        membership: MembershipCoordinator,
        configuration: ConfigurationCoordinator,
        clock: Clock,
        drain_limit: timedelta,
    ) -> None:
        """Take the time from the start of a stop after which open requests are aborted."""
        self._membership = membership
        self._configuration = configuration
        self._release_callbacks: list[ReleaseCallback] = []
        self._clock = clock
        self._stop = GracefulStop(clock, drain_limit)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._stop.open_requests

    @property
    def leaving(self) -> bool:
        """Return whether the graceful stop has begun."""
        return self._stop.leaving

    def on_release(self, release: ReleaseCallback) -> None:
        """Register a callback that releases held resources after the last request has ended."""
        self._release_callbacks.append(release)

    def request(self) -> AbstractContextManager[None]:
        """Count a request as open."""
        return self._stop.request()

    def readiness(self) -> Readiness:
        """Return whether the instance should get requests."""
        if self._stop.leaving:
            return NotReady("the instance is leaving")
        if self._configuration.state.version == 0:
            return NotReady("no configuration is in force")
        age = self._configuration.confirmation_age()
        if age is None:
            return NotReady("the configuration in force has not been confirmed")
        if age > MAX_CONFIRMATION_AGE and not self._membership.reaches_majority():
            return NotReady(
                "the configuration may be outdated: neither the store nor a majority of members "
                "is reachable"
            )
        return Ready()

    def leave(self, reason: str) -> None:
        """Start the graceful stop; further calls have no effect."""
        if self._stop.leaving:
            return
        log_events.emit(log_events.ENTRY_LEAVING, node=self._membership.own.node_id, reason=reason)
        self._membership.leave()
        self._stop.leave()

    async def wait_drained(self, address_ttl: timedelta) -> None:
        """Wait until the instance is leaving, its address has expired and no request is open.

        Requests that are still open at the drain limit are aborted.
        """
        await self._stop.wait_leaving()
        await self._clock.sleep(address_ttl + LEAVING_PROPAGATION_TIME)
        await self._stop.wait_requests_finished()
        await self._release_held()
        self._membership.announce_stop()
        await self._clock.sleep(DEPARTURE_PROPAGATION_TIME)
        await self._stop.wait_requests_finished()
        if self._stop.open_requests:
            log_events.emit(log_events.STREAMS_CUT, count=self._stop.open_requests)

    async def _release_held(self) -> None:
        """Run the release callbacks; one that fails or hangs does not block the others."""
        for release in self._release_callbacks:
            with trio.move_on_after(RELEASE_TIMEOUT.total_seconds()) as scope:
                try:
                    await release()
                except Exception as error:
                    log_events.emit(log_events.HAND_BACK_FAILED, error=repr(error))
            if scope.cancelled_caught:
                log_events.emit(log_events.HAND_BACK_FAILED, error="timeout")
