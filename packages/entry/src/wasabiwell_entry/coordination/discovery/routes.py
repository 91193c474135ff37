"""Follows the routes that operators put in force."""

from collections.abc import Callable

import trio

from wasabiwell_entry.coordination.discovery.const import (
    ANNOUNCED_WAIT,
    MAX_ROUTE_RETRY_PAUSE,
    READ_TIMEOUT,
    ROUTE_RETRY_PAUSE,
    ROUTE_WAIT,
    ROUTE_WAIT_MARGIN,
)
from wasabiwell_entry.coordination.discovery.ports import (
    FetchDocument,
    HistoryLost,
    RoutesPort,
    RoutesRead,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable


class RouteDiscovery:
    """Keeps the routes in force at one entry instance; versions only grow."""

    __slots__ = (
        "_announced",
        "_clock",
        "_document",
        "_fetch",
        "_newer_announced",
        "_observer",
        "_port",
        "_query",
        "_revision",
        "_store_away",
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
        self._announced: dict[str, int] = {}
        self._newer_announced = trio.Event()
        self._query = trio.CancelScope()
        self._store_away = False

    @property
    def table(self) -> RouteTable:
        """Return the routes in force."""
        return self._table

    @property
    def document(self) -> bytes:
        """Return what the routes in force were decoded from, empty before the first."""
        return self._document

    def record_announcement(self, control_address: str, version: int) -> None:
        """Note the version that a peer has in force."""
        if version > self._table.version:
            self._announced[control_address] = version
            self._newer_announced.set()

    async def run(self) -> None:
        """Follow the routes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_announcements)
            await self._follow_store()

    async def _follow_store(self) -> None:
        pause = ROUTE_RETRY_PAUSE
        while True:
            outcome = await self._next_read()
            match outcome:
                case RoutesRead(revision=revision):
                    self._revision = revision
                    self._put(outcome)
                    pause = ROUTE_RETRY_PAUSE
                    self._note_store(None)
                case HistoryLost():
                    self._revision = None
                case StoreUnavailable(reason=reason):
                    self._note_store(reason)
                    self._revision = None
                    await self._clock.sleep(pause)
                    pause = min(pause * 2, MAX_ROUTE_RETRY_PAUSE)

    async def _next_read(self) -> RoutesRead | HistoryLost | StoreUnavailable:
        """Read the routes, or wait for a change when they were read before."""
        bound = READ_TIMEOUT if self._revision is None else ROUTE_WAIT + ROUTE_WAIT_MARGIN
        with trio.CancelScope() as self._query:
            self._query.deadline = trio.current_time() + bound.total_seconds()
            if self._revision is None:
                return await self._port.current()
            return await self._port.changes(self._revision, ROUTE_WAIT)
        return HistoryLost()

    async def _follow_announcements(self) -> None:
        """Bring in versions that peers have and the own query has not brought."""
        while True:
            newer = {
                address: version
                for address, version in self._announced.items()
                if version > self._table.version
            }
            self._announced = dict(newer)
            if not newer:
                await self._newer_announced.wait()
                self._newer_announced = trio.Event()
                continue
            await self._clock.sleep(ANNOUNCED_WAIT)
            address = max(newer, key=lambda item: newer[item])
            if newer[address] <= self._table.version:
                continue
            # The query may hang on a connection that has gone silent.
            self._query.cancel()
            await self._fetch_from(address)
            await self._clock.sleep(ANNOUNCED_WAIT)

    async def _fetch_from(self, address: str) -> None:
        document = await self._fetch(address)
        if isinstance(document, StoreUnavailable):
            log_events.emit(log_events.ROUTES_NOT_FETCHED, peer=address, reason=document.reason)
            return
        table = self._port.decode(document)
        if isinstance(table, StoreUnavailable):
            log_events.emit(log_events.ROUTES_UNREADABLE, source=address, reason=table.reason)
            return
        self._put(RoutesRead(0, table, document))

    def _put(self, read: RoutesRead) -> None:
        """Put newer routes in force."""
        if read.table is None or read.table.version <= self._table.version:
            return
        self._table, self._document = read.table, read.document
        log_events.emit(log_events.CONFIGURATION_IN_FORCE, version=read.table.version)
        self._observer(read.table)

    def _note_store(self, reason: str | None) -> None:
        if reason is not None and not self._store_away:
            log_events.emit(log_events.STORE_UNAVAILABLE, service="routes", reason=reason)
        if reason is None and self._store_away:
            log_events.emit(log_events.STORE_RECOVERED, service="routes")
        self._store_away = reason is not None
