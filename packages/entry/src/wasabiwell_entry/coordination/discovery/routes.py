"""Tracks the routes that operators have configured."""

from collections.abc import Callable

import trio

from wasabiwell_entry.coordination.discovery.const import (
    ANNOUNCEMENT_DELAY,
    MAX_ROUTE_RETRY_DELAY,
    MIN_ROUTE_RETRY_DELAY,
    READ_TIMEOUT,
    ROUTE_POLL_MARGIN,
    ROUTE_POLL_WAIT,
)
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    FetchDocument,
    RoutesPort,
    RoutesRead,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable


class RouteDiscovery:
    """Keeps the routes in force at one entry instance; their version never decreases."""

    __slots__ = (
        "_announced_versions",
        "_clock",
        "_document",
        "_fetch",
        "_newer_version_announced",
        "_observer",
        "_poll_scope",
        "_port",
        "_revision",
        "_store_unavailable",
        "_table",
    )

    def __init__(
        self,
        port: RoutesPort,
        fetch: FetchDocument,
        observer: Callable[[RouteTable], None],
        clock: Clock,
    ) -> None:
        self._port = port
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
            outcome = await self._poll()
            match outcome:
                case RoutesRead(revision=revision):
                    self._revision = revision
                    self._apply(outcome)
                    delay = MIN_ROUTE_RETRY_DELAY
                    self._log_store_state(None)
                case ChangeHistoryLost():
                    self._revision = None
                case StoreUnavailable(reason=reason):
                    self._log_store_state(reason)
                    self._revision = None
                    await self._clock.sleep(delay)
                    delay = min(delay * 2, MAX_ROUTE_RETRY_DELAY)

    async def _poll(self) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        """Read the routes, or poll for a change if they have been read before."""
        timeout = READ_TIMEOUT if self._revision is None else ROUTE_POLL_WAIT + ROUTE_POLL_MARGIN
        with trio.CancelScope() as self._poll_scope:
            self._poll_scope.deadline = trio.current_time() + timeout.total_seconds()
            if self._revision is None:
                return await self._port.current()
            return await self._port.changes(self._revision, ROUTE_POLL_WAIT)
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
            address = max(newer, key=lambda item: newer[item])
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
