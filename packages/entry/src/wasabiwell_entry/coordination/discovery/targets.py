"""Follows the platform's list of targets; a few instances ask for it and tell the others."""

from collections.abc import Callable
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.discovery.const import (
    FAILED_READ_PAUSE,
    LAGGING_READ_PAUSE,
    OUTAGE_AGE,
    READ_TIMEOUT,
    RETURN_GRACE,
    UNHEARD_LIMIT,
    UNHEARD_STEP,
    WATCH_WAIT,
    WATCHERS,
)
from wasabiwell_entry.coordination.discovery.ports import (
    HistoryLost,
    ListingPort,
    TargetChanges,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import ListingNotice
from wasabiwell_entry.state.listing import NO_LISTING, TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.targets import ListedTarget

TargetObserver = Callable[[list[ListedTarget]], None]


class TargetDiscovery:
    """Keeps the list of targets of one entry instance."""

    __slots__ = (
        "_clock",
        "_confirmed",
        "_followed",
        "_listing",
        "_next_read",
        "_observer",
        "_port",
        "_rank",
        "_returned",
        "_store_away",
        "_tell",
        "_told_to_read",
    )

    def __init__(
        self,
        port: ListingPort,
        rank: Callable[[], int],
        tell: Callable[[ListingNotice], None],
        observer: TargetObserver,
        clock: Clock,
    ) -> None:
        self._port = port
        self._rank = rank
        self._tell = tell
        self._observer = observer
        self._clock = clock
        self._listing = NO_LISTING
        self._followed: int | None = None
        self._confirmed: timedelta | None = None
        self._returned: timedelta | None = None
        self._next_read = timedelta()
        self._store_away = False
        self._told_to_read = trio.Event()

    @property
    def listing(self) -> TargetListing:
        """Return the list as it is known."""
        return self._listing

    def age(self) -> timedelta | None:
        """Return the time since the list was confirmed, or None before that."""
        return None if self._confirmed is None else self._clock.monotonic() - self._confirmed

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            time_left = self._next_read - self._clock.monotonic()
            if time_left <= timedelta():
                await self._ask()
                continue
            with trio.move_on_after(time_left.total_seconds()):
                await self._told_to_read.wait()
                self._told_to_read = trio.Event()

    def receive(self, sender: str, notice: ListingNotice) -> None:
        """Take over what another entry instance was answered."""
        if notice.revision < self._listing.revision:
            return
        known = self._listing.digest()
        targets = dict(self._listing.targets)
        if known != notice.digest:
            if known != notice.base:
                self._followed, self._next_read = None, self._clock.monotonic()
                self._told_to_read.set()
                return
            targets.update({item.target.target_id: item for item in notice.changed})
            for target_id in notice.removed:
                targets.pop(target_id, None)
        self._confirm(self._clock.monotonic())
        self._put(TargetListing(notice.revision, targets))
        if self._followed is not None:
            self._followed = notice.revision

    def full_notice(self) -> ListingNotice | None:
        """Return the whole list for a peer that knows none, or None when it is not known here."""
        listing = self._listing
        if not listing.targets:
            return None
        changed = tuple(listing.targets.values())
        return ListingNotice(listing.revision, NO_LISTING.digest(), listing.digest(), changed, ())

    def _confirm(self, now: timedelta) -> None:
        """Note that the list is up to date, and when to ask next."""
        self._confirmed = now
        rank = self._rank()
        self._next_read = now if rank < WATCHERS else now + UNHEARD_LIMIT + UNHEARD_STEP * rank

    async def _ask(self) -> None:
        """Ask for changes, or for the whole list when the changes are not known."""
        wait = WATCH_WAIT if self._rank() < WATCHERS else timedelta()
        outcome: TargetListing | TargetChanges | HistoryLost | StoreUnavailable
        outcome = StoreUnavailable("no answer in time")
        with trio.move_on_after((READ_TIMEOUT + wait).total_seconds()):
            if self._followed is None:
                outcome = await self._port.targets()
            else:
                outcome = await self._port.changes(self._followed, wait)
        now = self._clock.monotonic()
        match outcome:
            case TargetListing() as listing:
                self._note_store(None)
                self._take_over(listing, now)
            case TargetChanges() as changes:
                self._note_store(None)
                self._take_over(self._apply(changes), now)
            case HistoryLost():
                self._followed = None
            case StoreUnavailable(reason=reason):
                self._note_store(reason)
                self._followed = None
                self._next_read = now + FAILED_READ_PAUSE

    def _apply(self, changes: TargetChanges) -> TargetListing:
        targets = dict(self._listing.targets)
        targets.update({item.target.target_id: item for item in changes.changed})
        for target_id in changes.removed:
            targets.pop(target_id, None)
        return TargetListing(changes.revision, targets)

    def _note_store(self, reason: str | None) -> None:
        if reason is not None and not self._store_away:
            log_events.emit(log_events.STORE_UNAVAILABLE, service="list of targets", reason=reason)
        if reason is None and self._store_away:
            log_events.emit(log_events.STORE_RECOVERED, service="list of targets")
        self._store_away = reason is not None

    def _take_over(self, read: TargetListing, now: timedelta) -> None:
        """Put an answer in force and tell the others."""
        if read.revision < self._listing.revision:
            # An answer of a store that lags behind what another instance was told.
            self._followed = None
            self._next_read = now + LAGGING_READ_PAUSE
            return
        if self._confirmed is not None and now - self._confirmed > OUTAGE_AGE:
            self._returned = now
        before = self._listing
        self._followed = read.revision
        if self._returned is not None and now - self._returned < RETURN_GRACE:
            missing = {key: item for key, item in before.targets.items() if key not in read.targets}
            read = TargetListing(read.revision, {**missing, **read.targets})
            # The missing ones are looked for again when the grace is over.
            self._followed = None if missing else read.revision
        self._confirm(now)
        self._put(read)
        changed = tuple(
            item for key, item in read.targets.items() if before.targets.get(key) != item
        )
        removed = tuple(key for key in before.targets if key not in read.targets)
        self._tell(ListingNotice(read.revision, before.digest(), read.digest(), changed, removed))

    def _put(self, listing: TargetListing) -> None:
        before, self._listing = self._listing, listing
        if before.targets == listing.targets:
            return
        for target_id, item in listing.targets.items():
            if target_id not in before.targets:
                log_events.emit(
                    log_events.TARGET_LISTED, target=target_id, service=item.target.service
                )
        for target_id in before.targets:
            if target_id not in listing.targets:
                log_events.emit(log_events.TARGET_UNLISTED, target=target_id)
        self._observer(list(listing.targets.values()))
