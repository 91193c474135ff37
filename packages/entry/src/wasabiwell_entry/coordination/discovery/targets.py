"""Tracks the platform's list of targets; a few instances poll it and notify the others."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.discovery.const import (
    FAILED_READ_DELAY,
    FIRST_POLL_DELAY,
    LISTING_POLL_MARGIN,
    LISTING_POLL_WAIT,
    MISMATCH_READ_DELAY,
    MISMATCH_READ_STEP,
    NOTICE_TIMEOUT,
    NOTICE_TIMEOUT_SPREAD,
    READ_TIMEOUT,
    RECONNECT_READS,
    RECONNECT_TIMEOUT,
    STALE_READ_DELAY,
    STORE_SEARCH_RATE,
    WATCHER_COUNT,
)
from wasabiwell_entry.coordination.discovery.corrections import ListingCorrections
from wasabiwell_entry.coordination.discovery.eras import StoreEras
from wasabiwell_entry.coordination.discovery.ports import (
    ChangeHistoryLost,
    ListingPort,
    TargetChanges,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import ListingNotice
from wasabiwell_entry.state.listing import NO_LISTING, TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.store_revision import NO_REVISION, StoreRevision
from wasabiwell_entry.state.targets import ListedTarget

TargetObserver = Callable[[list[ListedTarget]], None]


class TargetDiscovery:
    """Keeps the list of targets of one entry instance.

    Notices carry the list as the store has it; each instance applies its own corrections to it.
    Lists and notices are ordered by the store's revision, so those of an older era are dropped once
    the store is known to have returned from a copy.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_corrections",
        "_digest",
        "_eras",
        "_fleet_size",
        "_listing",
        "_may_notify",
        "_missed_revision",
        "_next_read_at",
        "_notify",
        "_observed",
        "_observer",
        "_port",
        "_rank",
        "_read_requested",
        "_reconnect_reads",
        "_rewrite_observer",
        "_store_unavailable",
        "_tracked_revision",
    )

    def __init__(
        self,
        port: ListingPort,
        rank: Callable[[], int],
        notify: Callable[[ListingNotice], None],
        observer: TargetObserver,
        clock: Clock,
        fleet_size: Callable[[], int] = lambda: 1,
        may_notify: Callable[[], bool] = lambda: True,
        eras: StoreEras | None = None,
        rewrite_observer: Callable[[Collection[str]], None] = lambda target_ids: None,
    ) -> None:
        """Create an empty list.

        `rewrite_observer` takes the ids of targets whose entries were written again without a
        change, as one that says how long its target is cold then says it of a new time.
        `may_notify` is False while this instance does not know the others, and cannot tell whether
        it is one of the watchers.
        """
        self._port = port
        self._fleet_size = fleet_size
        self._may_notify = may_notify
        self._rank = rank
        self._notify = notify
        self._observer = observer
        self._rewrite_observer = rewrite_observer
        self._observed = True
        self._clock = clock
        self._listing = NO_LISTING
        self._digest = NO_LISTING.digest()
        self._eras = eras or StoreEras(clock)
        self._corrections = ListingCorrections(clock)
        self._missed_revision = NO_REVISION
        self._tracked_revision: StoreRevision | None = None
        self._confirmed_at: timedelta | None = None
        self._next_read_at = timedelta()
        self._store_unavailable = False
        self._read_requested = trio.Event()
        self._reconnect_reads = 0

    @property
    def listing(self) -> TargetListing:
        """Return the current list with the corrections of this instance."""
        return self._corrections.applied_to(self._listing)

    def age(self) -> timedelta | None:
        """Return the time since the list was last confirmed, or None if it never was."""
        return None if self._confirmed_at is None else self._clock.monotonic() - self._confirmed_at

    async def run(self) -> None:
        """Track the list until cancelled."""
        while True:
            now = self._clock.monotonic()
            before = self.listing.targets
            if self._corrections.expire(self._listing):
                self._publish(before)
            time_left = self._next_read_at - now
            if time_left <= timedelta():
                if not self._postpone_read():
                    await self._read()
                continue
            correction_left = self._corrections.time_left()
            if correction_left is not None:
                time_left = min(time_left, correction_left)
            with trio.move_on_after(time_left.total_seconds()):
                await self._read_requested.wait()
                self._read_requested = trio.Event()

    def receive(self, sender: str, notice: ListingNotice) -> None:
        """Apply a notice of a read that another entry instance has made."""
        self._eras.record(notice.revision, sender)
        if notice.revision < self._listing.revision:
            if notice.era < self._listing.revision.era:
                self._eras.record_outdated(notice.revision, self._listing.revision, sender)
            return
        listing, digest = TargetListing(notice.revision, self._listing.targets), self._digest
        if digest != notice.digest and (notice.changed or notice.removed):
            # Watchers report the same changes in different parts, so the base may differ.
            listing = _changed(listing, notice.changed, notice.removed)
            digest = listing.digest()
        elif digest == notice.digest:
            listing = _with_cold_times(listing, notice.changed)
        if digest != notice.digest:
            self._record_missed(sender, notice.revision)
            return
        self._missed_revision = NO_REVISION
        age = self.age()
        self._confirm(self._clock.monotonic())
        self._replace(listing, digest, age, notice.rewritten)
        if self._tracked_revision is not None:
            self._tracked_revision = notice.revision

    def _record_missed(self, sender: str, revision: StoreRevision) -> None:
        """Schedule one read of the whole list after notices that could not be applied."""
        scheduled = self._missed_revision > NO_REVISION
        self._missed_revision = max(self._missed_revision, revision)
        self._tracked_revision = None
        if not scheduled:
            delay = MISMATCH_READ_DELAY + MISMATCH_READ_STEP * self._rank()
            self._next_read_at = self._clock.monotonic() + delay
            self._read_requested.set()
            log_events.emit(
                log_events.LISTING_GAP,
                sender=sender,
                revision=revision,
                own_revision=self._listing.revision,
                delay_ms=round(delay / timedelta(milliseconds=1)),
            )

    def full_notice(self) -> ListingNotice | None:
        """Return the whole list for a peer that has none, or None when it is empty here."""
        listing = self._listing
        if not listing.targets:
            return None
        changed = tuple(listing.targets.values())
        revision, base = listing.revision, NO_LISTING.digest()
        return ListingNotice(revision.number, base, self._digest, changed, (), revision.era)

    def _confirm(self, now: timedelta) -> None:
        """Record that the list is up to date, and schedule the next read."""
        self._confirmed_at = now
        rank = self._rank()
        self._next_read_at = now if rank < WATCHER_COUNT else now + self._notice_timeout(rank)

    def _notice_timeout(self, rank: int) -> timedelta:
        """Return the time without a notice after which an instance of this rank reads the list."""
        return NOTICE_TIMEOUT + NOTICE_TIMEOUT_SPREAD * min(1.0, rank / self._fleet_size())

    def _postpone_read(self) -> bool:
        """Schedule a later read if this instance has turned out not to be a watcher."""
        if self._confirmed_at is None or self._tracked_revision is None:
            return False
        rank = self._rank()
        due = self._confirmed_at + self._notice_timeout(rank)
        if rank < WATCHER_COUNT or due <= self._clock.monotonic():
            return False
        self._next_read_at = due
        return True

    async def _read(self) -> None:
        """Poll for changes, or read the whole list when changes cannot be tracked."""
        wait = LISTING_POLL_WAIT if self._rank() < WATCHER_COUNT else timedelta()
        correction_left = self._corrections.time_left()
        if correction_left is not None:
            wait = min(wait, correction_left)
        outcome: TargetListing | TargetChanges | ChangeHistoryLost | StoreUnavailable
        outcome = StoreUnavailable("no response in time")
        timeout = self._read_timeout(wait)
        with trio.move_on_after(timeout.total_seconds()) as limit:
            if self._tracked_revision is None:
                outcome = await self._port.targets()
            else:
                outcome = await self._port.changes(self._tracked_revision, wait)
        now = self._clock.monotonic()
        if not isinstance(outcome, StoreUnavailable):
            self._reconnect_reads = 0
        match outcome:
            case TargetListing() as listing:
                self._log_store_state(None)
                self._apply_read(listing, now)
            case TargetChanges() as changes:
                self._log_store_state(None)
                known = self._listing.targets
                # Instances of an older build know no cold time: the rest of the entry counts.
                rewritten = tuple(
                    item.target.target_id
                    for item in changes.changed
                    if _same_but_cold_time(known.get(item.target.target_id), item)
                )
                self._apply_read(self._with_changes(changes), now, rewritten)
            case ChangeHistoryLost():
                self._tracked_revision = None
            case StoreUnavailable(reason=reason):
                # The connection of a poll may be open and silent while new ones work.
                became_silent = limit.cancelled_caught and not self._store_unavailable
                if became_silent and self._rank() < WATCHER_COUNT:
                    self._reconnect_reads = RECONNECT_READS
                elif self._reconnect_reads:
                    self._reconnect_reads -= 1
                self._log_store_state(reason)
                self._tracked_revision = None
                delay = timedelta() if self._reconnect_reads else self._failed_read_delay()
                self._next_read_at = now + delay

    def _read_timeout(self, wait: timedelta) -> timedelta:
        """Return the timeout of the next read, or of a poll that may last for `wait`."""
        if self._tracked_revision is not None:
            return wait + LISTING_POLL_MARGIN
        return RECONNECT_TIMEOUT if self._reconnect_reads > 1 else READ_TIMEOUT

    def _failed_read_delay(self) -> timedelta:
        """Return the time until the next read.

        Those who are not watchers take turns, unless they know that they have missed a change.
        """
        if self._rank() < WATCHER_COUNT or self._missed_revision > NO_REVISION:
            return FAILED_READ_DELAY
        turn = timedelta(seconds=self._fleet_size() / STORE_SEARCH_RATE)
        return max(FAILED_READ_DELAY, turn)

    def _with_changes(self, changes: TargetChanges) -> TargetListing:
        listing = TargetListing(changes.revision, self._listing.targets)
        return _changed(listing, changes.changed, changes.removed)

    def _log_store_state(self, reason: str | None) -> None:
        if reason is not None and not self._store_unavailable:
            log_events.emit(log_events.STORE_UNAVAILABLE, service="list of targets", reason=reason)
        if reason is None and self._store_unavailable:
            log_events.emit(log_events.STORE_RECOVERED, service="list of targets")
        self._store_unavailable = reason is not None

    def _apply_read(
        self, read: TargetListing, now: timedelta, rewritten: tuple[str, ...] = ()
    ) -> None:
        """Apply the result of a read and notify the other instances."""
        self._eras.record(read.revision, "the store")
        if read.revision < self._listing.revision:
            # The store lags behind a read of another instance, or its answer was late.
            self._eras.record_outdated(read.revision, self._listing.revision, "the store")
            self._tracked_revision = None
            self._next_read_at = now + STALE_READ_DELAY
            return
        before, digest_before = self._listing, self._digest
        takes_over = self._watchers_are_silent(now)
        self._tracked_revision = read.revision
        age = self.age()
        missed_revision, self._missed_revision = self._missed_revision, NO_REVISION
        self._confirm(now)
        if before is NO_LISTING:
            self._next_read_at = max(self._next_read_at, now + FIRST_POLL_DELAY)
        unchanged = read.targets is before.targets
        self._replace(read, digest_before if unchanged else read.digest(), age, rewritten)
        if missed_revision > read.revision:
            self._record_missed("", missed_revision)
        notifies = takes_over or self._rank() < WATCHER_COUNT
        if not notifies or not self._may_notify():
            # The watchers tell the others; a first read or a repaired gap is no news.
            return
        changed = tuple(
            item for key, item in read.targets.items() if before.targets.get(key) != item
        )
        removed = tuple(key for key in before.targets if key not in read.targets)
        revision = read.revision
        self._notify(
            ListingNotice(
                revision.number,
                digest_before,
                self._digest,
                changed,
                removed,
                revision.era,
                rewritten,
            )
        )

    def _watchers_are_silent(self, now: timedelta) -> bool:
        """Return whether a read is made because no watcher has confirmed the list in time."""
        if self._confirmed_at is None or self._missed_revision > NO_REVISION:
            return False
        return now - self._confirmed_at >= NOTICE_TIMEOUT

    def _replace(
        self,
        listing: TargetListing,
        digest: int,
        age: timedelta | None,
        rewritten: Collection[str],
    ) -> None:
        """Replace the store's list; `age` is the time since the one before was confirmed."""
        before = self.listing.targets
        self._corrections.update(self._listing, listing, age, rewritten)
        self._listing, self._digest = listing, digest
        self._publish(before)
        if rewritten:
            self._rewrite_observer(rewritten)

    def _publish(self, before: dict[str, ListedTarget]) -> None:
        """Tell the observer of the list if it differs from the one before."""
        after = self.listing.targets
        if self._observed and (before is after or before == after):
            return
        self._observed = False
        for target_id, item in after.items():
            if target_id not in before:
                log_events.emit(
                    log_events.TARGET_LISTED, target=target_id, service=item.target.service
                )
        for target_id in before:
            if target_id not in after:
                log_events.emit(log_events.TARGET_UNLISTED, target=target_id)
        self._observer(list(after.values()))
        self._observed = True


def _same_but_cold_time(known: ListedTarget | None, item: ListedTarget) -> bool:
    return known is not None and replace(known, cold_ms=item.cold_ms) == item


def _with_cold_times(listing: TargetListing, changed: Iterable[ListedTarget]) -> TargetListing:
    """Return a list with changed cold times, which are not part of its digest.

    The digest shows that the rest of the list is the same, so entries that differ in more are old.
    """
    known = listing.targets
    return _changed(
        listing,
        [
            item
            for item in changed
            if (before := known.get(item.target.target_id)) != item
            and _same_but_cold_time(before, item)
        ],
        (),
    )


def _changed(
    listing: TargetListing, changed: Iterable[ListedTarget], removed: Iterable[str]
) -> TargetListing:
    """Return a list with changes; without any it shares its targets with the one before."""
    changed, removed = list(changed), list(removed)
    if not changed and not removed:
        return listing
    targets = dict(listing.targets)
    targets.update({item.target.target_id: item for item in changed})
    for target_id in removed:
        targets.pop(target_id, None)
    return TargetListing(listing.revision, targets)
