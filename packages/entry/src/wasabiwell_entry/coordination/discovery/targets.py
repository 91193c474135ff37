"""Follows the platform's list of targets; a few instances read it and tell the others."""

from collections.abc import Callable
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.discovery.const import (
    CHECK_INTERVAL,
    FAILED_READ_PAUSE,
    OUTAGE_AGE,
    READ_TIMEOUT,
    RETURN_GRACE,
    SILENT_HEARTBEATS,
    UNHEARD_LIMIT,
    UNHEARD_STEP,
    WATCH_INTERVAL,
    WATCHERS,
)
from wasabiwell_entry.coordination.discovery.ports import ListingPort
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import ListingNotice
from wasabiwell_entry.state.listing import NO_LISTING, TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.targets import ListedTarget

TargetObserver = Callable[[list[ListedTarget], frozenset[str]], None]


class TargetDiscovery:
    """Keeps the list of targets of one entry instance."""

    __slots__ = (
        "_clock",
        "_confirmed",
        "_heartbeat_interval",
        "_heartbeats",
        "_listing",
        "_next_read",
        "_observer",
        "_port",
        "_rank",
        "_returned",
        "_silent",
        "_store_away",
        "_tell",
    )

    def __init__(
        self,
        port: ListingPort,
        rank: Callable[[], int],
        tell: Callable[[ListingNotice], None],
        observer: TargetObserver,
        heartbeat_interval: timedelta,
        clock: Clock,
    ) -> None:
        self._port = port
        self._rank = rank
        self._tell = tell
        self._observer = observer
        self._heartbeat_interval = heartbeat_interval
        self._clock = clock
        self._listing = NO_LISTING
        self._silent: frozenset[str] = frozenset()
        self._heartbeats: dict[str, tuple[int, timedelta]] = {}
        self._confirmed: timedelta | None = None
        self._returned: timedelta | None = None
        self._next_read = timedelta()
        self._store_away = False

    @property
    def listing(self) -> TargetListing:
        """Return the list as it is known."""
        return self._listing

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            if self._is_due():
                await self._read()
            await self._clock.sleep(CHECK_INTERVAL)

    def receive(self, sender: str, notice: ListingNotice) -> None:
        """Take over what another entry instance has read."""
        if notice.revision < self._listing.revision:
            return
        known = self._listing.digest()
        targets = dict(self._listing.targets)
        if known != notice.digest:
            if known != notice.base:
                self._next_read = self._clock.monotonic()
                return
            targets.update({item.target.target_id: item for item in notice.changed})
            for target_id in notice.removed:
                targets.pop(target_id, None)
        self._confirmed = self._clock.monotonic()
        self._put(TargetListing(notice.revision, targets), frozenset(notice.silent))
        if self._rank() >= WATCHERS:
            self._next_read = self._confirmed + UNHEARD_LIMIT + UNHEARD_STEP * self._rank()

    def _is_due(self) -> bool:
        return self._clock.monotonic() >= self._next_read

    async def _read(self) -> None:
        begun = self._clock.monotonic()
        outcome: TargetListing | StoreUnavailable = StoreUnavailable("no answer in time")
        with trio.move_on_after(READ_TIMEOUT.total_seconds()):
            outcome = await self._port.targets()
        now = self._clock.monotonic()
        if isinstance(outcome, StoreUnavailable):
            if not self._store_away:
                self._store_away = True
                log_events.emit(
                    log_events.STORE_UNAVAILABLE, service="list of targets", reason=outcome.reason
                )
            self._next_read = now + FAILED_READ_PAUSE
            return
        if self._store_away:
            self._store_away = False
            log_events.emit(log_events.STORE_RECOVERED, service="list of targets")
        self._next_read = begun + self._read_interval()
        if outcome.revision < self._listing.revision:
            return
        self._take_over(outcome, now)

    def _read_interval(self) -> timedelta:
        rank = self._rank()
        if rank < WATCHERS:
            return WATCH_INTERVAL
        return UNHEARD_LIMIT + UNHEARD_STEP * rank

    def _take_over(self, read: TargetListing, now: timedelta) -> None:
        """Put a read in force and tell the others."""
        if self._confirmed is not None and now - self._confirmed > OUTAGE_AGE:
            self._returned = now
        self._confirmed = now
        before = self._listing
        if self._returned is not None and now - self._returned < RETURN_GRACE:
            missing = {key: item for key, item in before.targets.items() if key not in read.targets}
            read = TargetListing(read.revision, {**missing, **read.targets})
        self._put(read, self._find_silent(read, now))
        changed = tuple(
            item for key, item in read.targets.items() if not _same(before.targets.get(key), item)
        )
        removed = tuple(key for key in before.targets if key not in read.targets)
        silent = tuple(sorted(self._silent))
        self._tell(
            ListingNotice(read.revision, before.digest(), read.digest(), changed, removed, silent)
        )

    def _put(self, listing: TargetListing, silent: frozenset[str]) -> None:
        changed = (
            silent != self._silent
            or listing.targets.keys() != self._listing.targets.keys()
            or any(
                not _same(self._listing.targets[key], item) for key, item in listing.targets.items()
            )
        )
        if changed:
            _log_difference(self._listing, listing)
        self._listing, self._silent = listing, silent
        if changed:
            self._observer(list(listing.targets.values()), silent)

    def _find_silent(self, read: TargetListing, now: timedelta) -> frozenset[str]:
        """Return the targets whose last sign of life is old; after an outage all begin anew."""
        known = self._heartbeats if self._returned is None or self._returned != now else {}
        self._heartbeats = {}
        for target_id, item in read.targets.items():
            seen = known.get(target_id)
            fresh = seen is None or seen[0] != item.heartbeat
            self._heartbeats[target_id] = (item.heartbeat, now) if fresh or seen is None else seen
        limit = now - self._heartbeat_interval * SILENT_HEARTBEATS
        return frozenset(key for key, (_, since) in self._heartbeats.items() if since < limit)


def _same(known: ListedTarget | None, item: ListedTarget) -> bool:
    return known is not None and (known.target, known.leaving) == (item.target, item.leaving)


def _log_difference(before: TargetListing, after: TargetListing) -> None:
    for target_id, item in after.targets.items():
        if target_id not in before.targets:
            log_events.emit(log_events.TARGET_LISTED, target=target_id, service=item.target.service)
    for target_id in before.targets:
        if target_id not in after.targets:
            log_events.emit(log_events.TARGET_UNLISTED, target=target_id)
