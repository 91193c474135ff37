"""Readiness and graceful stop of an entry instance."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.lifecycle.const import DRAIN_POLL_INTERVAL
from wasabiwell_entry.coordination.lifecycle.errors import NotReady, Readiness, Ready
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable


class LifecycleCoordinator:
    """Tracks open requests and takes the instance out of service."""

    __slots__ = ("_clock", "_configuration", "_leaving", "_members", "_open", "_own")

    def __init__(
        self, own: Member, members: MemberTable, configuration: ConfigurationState, clock: Clock
    ) -> None:
        self._own = own
        self._members = members
        self._configuration = configuration
        self._clock = clock
        self._open = 0
        self._leaving = trio.Event()

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._open

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
        if self._configuration.version == 0:
            return NotReady("no configuration is in force")
        return Ready()

    def leave(self, reason: str) -> None:
        """Start the graceful stop; a second call has no effect."""
        if self._leaving.is_set():
            return
        log_events.emit(log_events.ENTRY_LEAVING, node=self._own.node_id, reason=reason)
        self._members.put(replace(self._own, status=MemberStatus.LEAVING))
        self._leaving.set()

    async def wait_drained(self, address_ttl: timedelta) -> None:
        """Wait until the instance left, callers forgot its address, and no request is open."""
        await self._leaving.wait()
        await self._clock.sleep(address_ttl)
        while self._open:
            await self._clock.sleep(DRAIN_POLL_INTERVAL)
