"""Decides how long the routes count as current, and when an instance reads the store again."""

from datetime import timedelta
from random import Random

import trio

from wasabiwell_entry.coordination.discovery.const import (
    CONFIRMATION_TIMEOUT,
    MAX_ROUTE_RETRY_DELAY,
    STORE_SEARCH_RATE,
    TAKEOVER_SPREAD,
    TURN_CHECK_INTERVAL,
    UNREACHABLE_REPORT_LIFETIME,
)
from wasabiwell_entry.coordination.discovery.ports import FleetView, StoreRole
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


class RouteConfirmation:
    """Time of the last confirmation of the routes, and of the last failures to read them.

    A listener reads the store when no confirmation has come in time, and so does an independent
    instance, whose long poll may be on a connection that is open and silent. If followers report
    that the store cannot be reached, these take turns over a time that grows with the fleet, as
    each of them that reaches the store confirms the routes for all. One whose own read has failed
    and that hears of no outage may be cut off from the others, and one that knows its routes to be
    outdated does not wait.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_expected_at",
        "_expected_version",
        "_fleet",
        "_random",
        "_read_failed",
        "_read_requested",
        "_unreachable_at",
    )

    def __init__(self, fleet: FleetView, clock: Clock, random: Random) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._confirmed_at: timedelta | None = None
        self._expected_version = 0
        self._expected_at = timedelta()
        self._unreachable_at: timedelta | None = None
        self._read_failed = False
        self._read_requested = trio.Event()

    def age(self) -> timedelta | None:
        """Return the time since the routes were last confirmed, or None if they never were."""
        return None if self._confirmed_at is None else self._clock.monotonic() - self._confirmed_at

    def confirm(self) -> None:
        """Record that the routes are the newest ones."""
        self._confirmed_at = self._clock.monotonic()

    def expect(self, version: int) -> None:
        """Record that a version is the newest one, which this instance does not have yet.

        A message about an older one has been delayed.
        """
        if version >= self._expected_version:
            self._expected_version, self._expected_at = version, self._clock.monotonic()

    def record_version(self, version: int) -> None:
        """Record that a version is in force; it is as old as the proof that it was the newest."""
        if version == self._expected_version:
            before = self._confirmed_at
            self._confirmed_at = max(before or self._expected_at, self._expected_at)

    def record_read(self) -> bool:
        """Record an own read; return whether the other instances have to be told of it.

        The first reads of instances that start together are no news for each other.
        """
        expected = self._confirmed_at is None and not self._read_failed
        age = self.age()
        unconfirmed = age is not None and age >= CONFIRMATION_TIMEOUT
        self.confirm()
        self._read_failed = False
        match self._fleet.role():
            case StoreRole.FOLLOWER:
                return True
            case StoreRole.LISTENER:
                return not expected
            case StoreRole.INDEPENDENT:
                return unconfirmed

    def record_failed_read(self) -> None:
        """Record that an own read has failed."""
        self._read_failed = True

    def request_read(self) -> None:
        """Let this instance read the store without waiting for a confirmation or its turn."""
        self._read_requested.set()

    def record_unreachable(self) -> None:
        """Record that a follower cannot read the store."""
        self._unreachable_at = self._clock.monotonic()

    async def wait_until_due(self) -> bool:
        """Wait until this instance has to read the store; return whether it relied on others."""
        waited = False
        while self._fleet.role() is StoreRole.LISTENER:
            age = self.age()
            if self._read_requested.is_set():
                self._read_requested = trio.Event()
                return True
            if age is not None and age < CONFIRMATION_TIMEOUT:
                waited = True
                await self._pause(CONFIRMATION_TIMEOUT - age)
            elif age is None and not self._read_failed:
                return waited
            elif await self._wait_for_turn():
                return True
        return waited

    async def wait_until_unconfirmed(self) -> None:
        """Wait until this instance in a long poll has to read the store beside it.

        That is if a read was requested, or at its turn if no confirmation has come in time.
        """
        while True:
            age = self.age()
            if self._read_requested.is_set():
                self._read_requested = trio.Event()
                return
            if age is not None and age < CONFIRMATION_TIMEOUT:
                await self._pause(CONFIRMATION_TIMEOUT - age)
            elif await self._wait_for_turn():
                return

    async def _wait_for_turn(self) -> bool:
        """Wait for the turn of this instance; return False if it does not have to read any more."""
        started_at, position = self._clock.monotonic(), self._random.random()
        while (waited := self._clock.monotonic() - started_at) < self._longest_wait() * position:
            await self._pause(min(self._longest_wait() * position - waited, TURN_CHECK_INTERVAL))
            if self._read_requested.is_set():
                return False
            age = self.age()
            if age is not None and age < CONFIRMATION_TIMEOUT:
                return False
            if self._fleet.role() is StoreRole.FOLLOWER:
                return False
        self._log_turn(waited)
        return True

    async def _pause(self, duration: timedelta) -> None:
        """Wait for a duration, or until a read is requested."""
        with trio.move_on_after(duration.total_seconds()):
            await self._read_requested.wait()

    def _longest_wait(self) -> timedelta:
        if self._has_unreachable_report():
            # The mean wait is half of the longest one.
            return timedelta(seconds=2 * self._fleet.size() / STORE_SEARCH_RATE)
        return MAX_ROUTE_RETRY_DELAY if self._read_failed else TAKEOVER_SPREAD

    def _has_unreachable_report(self) -> bool:
        if self._unreachable_at is None:
            return False
        return self._clock.monotonic() - self._unreachable_at < UNREACHABLE_REPORT_LIFETIME

    def _log_turn(self, waited: timedelta) -> None:
        age = self.age()
        log_events.emit(
            log_events.ROUTES_UNCONFIRMED,
            age_ms=round(age / timedelta(milliseconds=1)) if age is not None else None,
            waited_ms=round(waited / timedelta(milliseconds=1)),
            unreachable=self._has_unreachable_report(),
            read_failed=self._read_failed,
        )
