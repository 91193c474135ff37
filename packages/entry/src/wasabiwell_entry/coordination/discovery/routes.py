"""Tracks the routes that operators have configured."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio

from wasabiwell_entry.coordination.discovery.const import (
    ANNOUNCEMENT_DELAY,
    CONFIRMATION_TIMEOUT,
    FOLLOWER_POLL_MARGIN,
    FOLLOWER_POLL_WAIT,
    MAX_ROUTE_RETRY_DELAY,
    MIN_ROUTE_RETRY_DELAY,
    READ_TIMEOUT,
    ROUTE_POLL_MARGIN,
    ROUTE_POLL_WAIT,
    STORE_SEARCH_RATE,
    TAKEOVER_SPREAD,
    TURN_CHECK_INTERVAL,
)
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    FetchDocument,
    FleetView,
    RoutesPort,
    RoutesRead,
    StoreRole,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable


class RouteDiscovery:
    """Keeps the routes in force at one entry instance; their version never decreases.

    A listener of a large fleet reads the store only at its start, and while no follower confirms
    that its routes are current. If the followers report that they cannot reach the store, the
    listeners take turns; one that reaches it confirms the routes in their place.
    """

    __slots__ = (
        "_announced_versions",
        "_clock",
        "_confirmed_at",
        "_document",
        "_fetch",
        "_fleet",
        "_holding_poll",
        "_newer_version_announced",
        "_observer",
        "_poll_scope",
        "_port",
        "_preferred_address",
        "_random",
        "_revision",
        "_store_unavailable",
        "_table",
        "_unreachable_at",
    )

    def __init__(
        self,
        port: RoutesPort,
        fetch: FetchDocument,
        observer: Callable[[RouteTable], None],
        fleet: FleetView,
        clock: Clock,
        random: Random | None = None,
    ) -> None:
        self._port = port
        self._fleet = fleet
        self._random = random or Random()
        self._holding_poll = False
        self._confirmed_at: timedelta | None = None
        self._unreachable_at: timedelta | None = None
        self._preferred_address = ""
        self._fetch = fetch
        self._observer = observer
        self._clock = clock
        self._table = NO_ROUTES
        self._document = b""
        self._revision: int | None = None
        self._announced_versions: dict[str, int] = {}
        self._newer_version_announced = trio.Event()
        self._poll_scope = trio.CancelScope()
        self._store_unavailable = False

    @property
    def table(self) -> RouteTable:
        """Return the routes in force."""
        return self._table

    @property
    def document(self) -> bytes:
        """Return the encoded routes in force, empty before the first ones are read."""
        return self._document

    def age(self) -> timedelta | None:
        """Return the time since the routes were last confirmed, or None if they never were."""
        return None if self._confirmed_at is None else self._clock.monotonic() - self._confirmed_at

    def record_confirmation(self, control_address: str, version: int, own_zone: bool) -> None:
        """Record that a peer has just read the store, which has this version."""
        if own_zone:
            self._preferred_address = control_address
        self.record_announcement(control_address, version)
        if version != self._table.version:
            return
        self._confirmed_at = self._clock.monotonic()
        if self._holding_poll and self._fleet.role() is StoreRole.LISTENER:
            self._poll_scope.cancel()

    def record_unreachable(self) -> None:
        """Record that a peer that follows the store cannot read it."""
        self._unreachable_at = self._clock.monotonic()

    def record_announcement(self, control_address: str, version: int) -> None:
        """Record the version that a peer has in force."""
        if version > self._table.version:
            self._announced_versions[control_address] = version
            self._newer_version_announced.set()

    async def run(self) -> None:
        """Track the routes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_announcements)
            await self._poll_store()

    async def _poll_store(self) -> None:
        delay = MIN_ROUTE_RETRY_DELAY
        while True:
            await self._wait_to_poll()
            outcome = await self._poll()
            match outcome:
                case RoutesRead(revision=revision):
                    self._revision = revision
                    self._apply(outcome)
                    delay = MIN_ROUTE_RETRY_DELAY
                    self._log_store_state(None)
                    self._confirm()
                case ChangeHistoryLost():
                    self._revision = None
                case StoreUnavailable(reason=reason):
                    self._log_store_state(reason)
                    self._revision = None
                    if self._fleet.role() is StoreRole.FOLLOWER:
                        self._fleet.report_failure()
                    await self._clock.sleep(delay)
                    delay = min(delay * 2, MAX_ROUTE_RETRY_DELAY)

    def _confirm(self) -> None:
        """Confirm the routes after a read, for the others if they rely on this instance."""
        first_read = self._confirmed_at is None
        self._confirmed_at = self._clock.monotonic()
        match self._fleet.role():
            case StoreRole.FOLLOWER:
                self._fleet.confirm(self._table.version)
            case StoreRole.LISTENER if not first_read:
                self._fleet.confirm(self._table.version)
            case _:
                pass

    async def _wait_to_poll(self) -> None:
        """Wait while this instance is a listener whose routes are confirmed by others."""
        while self._confirmed_at is not None and self._fleet.role() is StoreRole.LISTENER:
            time_left = CONFIRMATION_TIMEOUT - (self._clock.monotonic() - self._confirmed_at)
            if time_left > timedelta():
                await self._clock.sleep(time_left)
            elif await self._wait_for_turn():
                # The store keeps its history for seconds only.
                self._revision = None
                return

    async def _wait_for_turn(self) -> bool:
        """Wait for the turn of this listener; return False if a confirmation came before it."""
        now = self._clock.monotonic()
        longest = TAKEOVER_SPREAD
        if self._unreachable_at is not None and now - self._unreachable_at < CONFIRMATION_TIMEOUT:
            # The mean wait is half of the longest one.
            longest = timedelta(seconds=2 * self._fleet.size() / STORE_SEARCH_RATE)
        end = now + longest * self._random.random()
        while (time_left := end - self._clock.monotonic()) > timedelta():
            if self._is_confirmed():
                return False
            await self._clock.sleep(min(time_left, TURN_CHECK_INTERVAL))
        return not self._is_confirmed()

    def _is_confirmed(self) -> bool:
        age = self.age()
        return age is not None and age < CONFIRMATION_TIMEOUT

    async def _poll(self) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        """Read the routes, or poll for a change if they have been read before."""
        wait, margin = ROUTE_POLL_WAIT, ROUTE_POLL_MARGIN
        if self._fleet.role() is StoreRole.FOLLOWER:
            wait, margin = FOLLOWER_POLL_WAIT, FOLLOWER_POLL_MARGIN
        timeout = READ_TIMEOUT if self._revision is None else wait + margin
        with trio.CancelScope() as self._poll_scope:
            self._poll_scope.deadline = trio.current_time() + timeout.total_seconds()
            if self._revision is None:
                return await self._port.current()
            self._holding_poll = True
            try:
                return await self._port.changes(self._revision, wait)
            finally:
                self._holding_poll = False
        return ChangeHistoryLost()

    async def _follow_announcements(self) -> None:
        """Fetch announced versions from peers unless the store returns them first."""
        while True:
            newer = {
                address: version
                for address, version in self._announced_versions.items()
                if version > self._table.version
            }
            self._announced_versions = dict(newer)
            if not newer:
                await self._newer_version_announced.wait()
                self._newer_version_announced = trio.Event()
                continue
            await self._clock.sleep(ANNOUNCEMENT_DELAY)
            address = max(newer, key=lambda item: (newer[item], item == self._preferred_address))
            if newer[address] <= self._table.version:
                continue
            # The poll may be stuck on a connection that no longer responds.
            self._poll_scope.cancel()
            await self._fetch_from(address)
            await self._clock.sleep(ANNOUNCEMENT_DELAY)

    async def _fetch_from(self, address: str) -> None:
        document = await self._fetch(address)
        if isinstance(document, StoreUnavailable):
            log_events.emit(log_events.ROUTES_NOT_FETCHED, peer=address, reason=document.reason)
            self._announced_versions.pop(address, None)
            return
        table = self._port.decode(document)
        if isinstance(table, StoreUnavailable):
            log_events.emit(log_events.ROUTES_UNREADABLE, source=address, reason=table.reason)
            return
        self._apply(RoutesRead(0, table, document))

    def _apply(self, read: RoutesRead) -> None:
        """Apply routes if they are newer."""
        if read.table is None or read.table.version <= self._table.version:
            return
        self._table, self._document = read.table, read.document
        log_events.emit(log_events.CONFIGURATION_IN_FORCE, version=read.table.version)
        self._observer(read.table)

    def _log_store_state(self, reason: str | None) -> None:
        if reason is not None and not self._store_unavailable:
            log_events.emit(log_events.STORE_UNAVAILABLE, service="routes", reason=reason)
        if reason is None and self._store_unavailable:
            log_events.emit(log_events.STORE_RECOVERED, service="routes")
        self._store_unavailable = reason is not None
