"""Tracks the routes that operators have configured."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio

from wasabiwell_entry.coordination.discovery.confirmation import RouteConfirmation
from wasabiwell_entry.coordination.discovery.const import (
    ANNOUNCEMENT_DELAY,
    ANNOUNCEMENT_LIFETIME,
    FOLLOWER_POLL_MARGIN,
    FOLLOWER_POLL_WAIT,
    LATE_READ_MARGIN,
    MAX_ROUTE_RETRY_DELAY,
    MIN_ROUTE_RETRY_DELAY,
    OLD_PROOF_AGE,
    READ_TIMEOUT,
    ROLE_CHECK_INTERVAL,
    ROUTE_POLL_MARGIN,
    ROUTE_POLL_WAIT,
    SLOW_FETCH_DELAY,
)
from wasabiwell_entry.coordination.discovery.eras import StoreEras
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    FetchDocument,
    FleetView,
    RoutesPort,
    RoutesRead,
    StoreRole,
    UnreadableRoutes,
)
from wasabiwell_entry.coordination.discovery.proof_log import (
    ProofSource,
    RejectedVersion,
    RejectionReason,
    RouteProof,
    RouteProofLog,
)
from wasabiwell_entry.coordination.evacuation import EvacuationTable
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.evacuations import EvacuationRows, Evacuations
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable
from wasabiwell_entry.state.store_revision import NO_REVISION, StoreRevision


class RouteDiscovery:
    """Keeps the routes in force at one entry instance; their version never decreases.

    A listener of a large fleet reads the store only at its start, and while no follower confirms
    that its routes are current. If the followers report that they cannot reach the store, the
    listeners take turns; one that reaches it confirms the routes in their place. An instance that
    cannot fetch a newer version from the peer that has announced it reads the store at once, and
    one whose fetch is slow reads it beside the fetch, which ends if the store responds first.
    """

    __slots__ = (
        "_announced_at",
        "_announced_versions",
        "_clock",
        "_confirmation",
        "_document",
        "_eras",
        "_evacuations",
        "_fetch",
        "_fetch_scope",
        "_fleet",
        "_highest_announced",
        "_holding_poll",
        "_newer_version_announced",
        "_observer",
        "_poll_scope",
        "_port",
        "_preferred_address",
        "_proof_log",
        "_proved",
        "_revision",
        "_store_unavailable",
        "_stored_zones",
        "_table",
    )

    def __init__(
        self,
        port: RoutesPort,
        fetch: FetchDocument,
        observer: Callable[[RouteTable], None],
        fleet: FleetView,
        clock: Clock,
        random: Random | None = None,
        eras: StoreEras | None = None,
        evacuations: EvacuationTable | None = None,
    ) -> None:
        self._port = port
        self._eras = eras or StoreEras(clock)
        self._evacuations = evacuations or EvacuationTable(clock)
        self._stored_zones: frozenset[str] = frozenset()
        self._fleet = fleet
        self._confirmation = RouteConfirmation(fleet, clock, random or Random())
        self._proof_log = RouteProofLog(clock)
        self._holding_poll = False
        self._preferred_address = ""
        self._fetch = fetch
        self._observer = observer
        self._clock = clock
        self._table = NO_ROUTES
        self._document = b""
        self._revision: StoreRevision | None = None
        self._announced_versions: dict[str, int] = {}
        self._highest_announced = 0
        self._announced_at = timedelta()
        self._newer_version_announced = trio.Event()
        self._proved = trio.Event()
        self._poll_scope = trio.CancelScope()
        self._fetch_scope = trio.CancelScope()
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
        return self._confirmation.age()

    async def wait_until_current(self, limit: timedelta) -> bool:
        """Wait until the routes are the newest ones known now; return False at the limit.

        A request that older routes do not allow may be allowed by a version that others have.
        Versions that are announced during the wait do not count.
        """
        newest = self._newest_known()
        with trio.move_on_after(limit.total_seconds()):
            while not self._has_current(newest):
                await self._proved.wait()
        return self._has_current(newest)

    def _newest_known(self) -> int:
        """Return the newest version that this instance has, or that others announced lately."""
        if self._clock.monotonic() - self._announced_at < ANNOUNCEMENT_LIFETIME:
            return max(self._highest_announced, self._table.version)
        return self._table.version

    def _has_current(self, version: int) -> bool:
        """Return whether a version or a later one is in force, and its last proof is not old."""
        age = self.age()
        return self._table.version >= version and age is not None and age < OLD_PROOF_AGE

    def record_confirmation(
        self,
        control_address: str,
        version: int,
        own_zone: bool,
        has_evacuations: bool = True,
    ) -> None:
        """Record that a peer has just read the store, which has this version.

        A confirmation without the evacuations comes from an older build. It does not count, so that
        one of the instances that follow evacuations reads the store and tells the others.
        """
        if own_zone:
            self._preferred_address = control_address
        self.record_announcement(control_address, version)
        if not has_evacuations:
            return
        if version > self._table.version:
            self._confirmation.expect(version)
        if version != self._table.version:
            return
        self._confirmation.confirm()
        self._wake_waiting()
        self._proof_log.record_proof(RouteProof(ProofSource.CONFIRMATION, control_address, version))
        if self._holding_poll and self._fleet.role() is StoreRole.LISTENER:
            self._poll_scope.cancel()

    def record_unreachable(self) -> None:
        """Record that a peer that follows the store cannot read it."""
        self._confirmation.record_unreachable()

    def record_announcement(self, control_address: str, version: int) -> None:
        """Record the version that a peer has in force."""
        if version > self._table.version:
            self._highest_announced = max(self._highest_announced, version)
            self._announced_at = self._clock.monotonic()
            self._announced_versions[control_address] = version
            self._newer_version_announced.set()

    async def run(self) -> None:
        """Track the routes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_announcements)
            nursery.start_soon(self._proof_log.report_old_proofs)
            await self._poll_store()

    async def _poll_store(self) -> None:
        delay = MIN_ROUTE_RETRY_DELAY
        poll_failed = False
        while True:
            if await self._confirmation.wait_until_due():
                # The store keeps its history for seconds only.
                self._revision = None
            outcome = await self._poll()
            match outcome:
                case RoutesRead(revision=revision):
                    self._eras.record(revision, "the store")
                    # Only a poll shows that polls work again.
                    poll_failed = poll_failed and self._revision is None
                    # Applied first, so that routes that cannot be applied are read again.
                    self._apply(outcome, "store")
                    self._end_useless_fetch()
                    self._record_own_proof(outcome)
                    changed = self._record_evacuations(revision, outcome.evacuations)
                    # The first reads of instances that start together are no news for each other.
                    is_news = changed and self._revision is not None
                    self._revision = revision
                    delay = MIN_ROUTE_RETRY_DELAY
                    self._log_store_state(None)
                    if self._confirmation.record_read() or is_news:
                        self._fleet.confirm(self._table.version)
                    self._wake_waiting()
                case ChangeHistoryLost():
                    self._revision = None
                case StoreUnavailable() if self._revision is not None and not poll_failed:
                    # A long poll may end with its connection; a read shows whether the store works.
                    self._revision, poll_failed = None, True
                case StoreUnavailable(reason=reason):
                    if isinstance(outcome, UnreadableRoutes):
                        self._record_unreadable(outcome)
                    self._log_store_state(reason)
                    self._revision = None
                    self._confirmation.record_failed_read()
                    if self._fleet.role() is StoreRole.LISTENER:
                        continue
                    await self._clock.sleep(delay)
                    delay = min(delay * 2, MAX_ROUTE_RETRY_DELAY)

    def _record_evacuations(self, revision: StoreRevision, rows: EvacuationRows) -> bool:
        """Record the evacuations of a read; return whether they were not known."""
        before = frozenset() if self._revision is None else self._stored_zones
        self._stored_zones = rows.applied_to(before)
        return self._evacuations.record(Evacuations(revision, self._stored_zones), "the store")

    def _record_unreadable(self, read: UnreadableRoutes) -> None:
        """Record the evacuations beside routes that cannot be decoded, and tell the others.

        Nothing is confirmed then, so the states tell them.
        """
        if self._record_evacuations(read.revision, read.evacuations) and self.age() is not None:
            self._fleet.send_state()

    def _record_own_proof(self, read: RoutesRead) -> None:
        """Log what the store returned; a poll that ended without a change returns no table."""
        source = ProofSource.READ if self._revision is None else ProofSource.POLL
        if read.table is None and source is ProofSource.READ:
            self._log_rejection(None, "store", RejectionReason.MISSING)
        self._proof_log.record_proof(RouteProof(source, "", self._table.version))

    async def _poll(self) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        """Read the routes, or poll for a change if they have been read before."""
        wait, margin = ROUTE_POLL_WAIT, ROUTE_POLL_MARGIN
        if self._fleet.role() is StoreRole.FOLLOWER:
            wait, margin = FOLLOWER_POLL_WAIT, FOLLOWER_POLL_MARGIN
        if self._revision is None:
            wait, margin = timedelta(), READ_TIMEOUT
        with trio.CancelScope() as self._poll_scope:
            self._poll_scope.deadline = trio.current_time() + (wait + margin).total_seconds()
            return await self._read(wait)
        if self._revision is None and trio.current_time() >= self._poll_scope.deadline:
            return StoreUnavailable("no response in time")
        # The poll was cancelled, or its connection may be silent while new ones work.
        return ChangeHistoryLost()

    async def _read(self, wait: timedelta) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        outcome: RoutesRead | ChangeHistoryLost | StoreUnavailable
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_late_read, wait + LATE_READ_MARGIN)
            if wait > FOLLOWER_POLL_WAIT:
                nursery.start_soon(self._end_poll_as_follower)
                nursery.start_soon(self._end_unconfirmed_poll)
            if self._revision is None:
                outcome = await self._port.current()
            else:
                self._holding_poll = True
                try:
                    outcome = await self._port.changes(self._revision, wait)
                finally:
                    self._holding_poll = False
            nursery.cancel_scope.cancel()
        if isinstance(outcome, UnreadableRoutes):
            self._log_rejection(None, "store", RejectionReason.UNDECODABLE)
        if isinstance(outcome, StoreUnavailable) and self._revision is None:
            self._report_failure()
        return outcome

    async def _end_poll_as_follower(self) -> None:
        """End the poll once this instance is a follower, whose confirmations others need."""
        while self._fleet.role() is not StoreRole.FOLLOWER:
            await self._clock.sleep(ROLE_CHECK_INTERVAL)
        self._poll_scope.cancel()

    async def _end_unconfirmed_poll(self) -> None:
        """End the poll when nothing else shows that the routes are current.

        The connection of a poll may be open and silent; a read on another one follows.
        """
        await self._confirmation.wait_until_unconfirmed()
        self._poll_scope.cancel()

    async def _report_late_read(self, expected: timedelta) -> None:
        """Tell the listeners of a late response before they miss its confirmation."""
        await self._clock.sleep(expected)
        self._report_failure()

    def _report_failure(self) -> None:
        if self._fleet.role() is StoreRole.FOLLOWER:
            self._fleet.report_failure()

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
            if self._holding_poll:
                # The poll may be stuck on a connection that no longer responds.
                self._poll_scope.cancel()
            await self._fetch_from(address, newer[address])
            if newer[address] > self._table.version:
                self._confirmation.request_read()
            await self._clock.sleep(ANNOUNCEMENT_DELAY)

    async def _fetch_from(self, address: str, version: int) -> None:
        """Fetch a version of the routes from a peer, and read the store too if that is slow.

        The fetch has no timeout while bytes arrive, as the store may be unavailable.
        """
        document: bytes | StoreUnavailable | None = None
        with trio.CancelScope() as self._fetch_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_beside_slow_fetch, address, version)
                document = await self._fetch(address)
                nursery.cancel_scope.cancel()
        # None if the store has returned the version first.
        if document is not None:
            self._apply_fetched(document, address)

    async def _read_beside_slow_fetch(self, address: str, version: int) -> None:
        await self._clock.sleep(SLOW_FETCH_DELAY)
        log_events.emit(
            log_events.ROUTES_FETCH_SLOW,
            peer=address,
            version=version,
            elapsed_ms=SLOW_FETCH_DELAY // timedelta(milliseconds=1),
        )
        self._confirmation.request_read()

    def _end_useless_fetch(self) -> None:
        """End a fetch once no announced version is newer, so that the peer's link is free."""
        if all(version <= self._table.version for version in self._announced_versions.values()):
            self._fetch_scope.cancel()

    def _apply_fetched(self, document: bytes | StoreUnavailable, address: str) -> None:
        """Apply the routes of a peer, which is not asked again if they are not those announced."""
        if isinstance(document, StoreUnavailable):
            log_events.emit(log_events.ROUTES_NOT_FETCHED, peer=address, reason=document.reason)
            self._forget_announcement(address, RejectionReason.FETCH_FAILED)
            return
        table = self._port.decode(document)
        if isinstance(table, UnreadableRoutes):
            log_events.emit(log_events.ROUTES_UNREADABLE, source=address, reason=table.reason)
            self._forget_announcement(address, RejectionReason.UNDECODABLE)
            return
        self._apply(RoutesRead(NO_REVISION, table, document), address)
        if table.version < self._announced_versions.get(address, 0):
            self._forget_announcement(address, RejectionReason.PEER_BEHIND)

    def _forget_announcement(self, address: str, reason: RejectionReason) -> None:
        """Log why an announced version is not applied; another peer may send it."""
        version = self._announced_versions.pop(address, None)
        self._log_rejection(version, address, reason)

    def _apply(self, read: RoutesRead, source: str) -> None:
        """Apply routes from the store or a peer if they are newer."""
        if read.table is None or read.table.version <= self._table.version:
            if read.table is not None and read.table.version < self._table.version:
                self._log_rejection(read.table.version, source, RejectionReason.LOWER)
            return
        self._observer(read.table)
        self._table, self._document = read.table, read.document
        self._confirmation.record_version(read.table.version)
        self._wake_waiting()
        log_events.emit(
            log_events.CONFIGURATION_IN_FORCE,
            version=read.table.version,
            source=source,
            size_bytes=len(read.document),
        )

    def _wake_waiting(self) -> None:
        self._proved.set()
        self._proved = trio.Event()

    def _log_rejection(self, version: int | None, source: str, reason: RejectionReason) -> None:
        rejected = RejectedVersion(version, source, reason)
        self._proof_log.record_rejection(rejected, self._table.version)

    def _log_store_state(self, reason: str | None) -> None:
        if reason is not None and not self._store_unavailable:
            log_events.emit(log_events.STORE_UNAVAILABLE, service="routes", reason=reason)
        if reason is None and self._store_unavailable:
            log_events.emit(log_events.STORE_RECOVERED, service="routes")
        self._store_unavailable = reason is not None
