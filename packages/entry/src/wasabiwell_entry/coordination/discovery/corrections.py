"""What one entry instance knows beside the store's list of targets."""

from collections.abc import Collection
from datetime import timedelta

from wasabiwell_entry.coordination.discovery.const import (
    DEPARTED_HOLD,
    DEPARTURE_MEMORY,
    MAX_REMEMBERED_DEPARTURES,
    OUTAGE_THRESHOLD,
    RECOVERY_GRACE,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.listing import TargetListing
from wasabiwell_entry.state.targets import ListedTarget, TargetProcess


class ListingCorrections:
    """Corrects the store's list after an outage, and after the store has returned from a copy.

    Targets that the list lacks then are retained until they had time to register again. Processes
    that this instance has seen leave before a return, and that the copy still lists, are held
    back until their entry is written again, for `DEPARTED_HOLD` at most: the platform removes
    entries without a living process sooner. Each instance judges for itself, so that one that has
    only been late does not make the others use targets which have left.
    """

    __slots__ = (
        "_clock",
        "_departed_at",
        "_grace_ends",
        "_held",
        "_hold_ends",
        "_retained",
        "_returned",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._grace_ends = timedelta()
        self._returned = False
        self._retained: dict[str, ListedTarget] = {}
        self._hold_ends = timedelta()
        self._held: dict[str, ListedTarget] = {}
        self._departed_at: dict[TargetProcess, timedelta] = {}

    def applied_to(self, listing: TargetListing) -> TargetListing:
        """Return the store's list with the corrections."""
        if not self._retained and not self._held:
            return listing
        listed = {key: item for key, item in listing.targets.items() if key not in self._held}
        return TargetListing(listing.revision, {**self._retained, **listed})

    def time_left(self) -> timedelta | None:
        """Return the time until `expire` has to be called, or None without a correction."""
        ends = [self._grace_ends] if self._retained else []
        ends += [self._hold_ends] if self._held else []
        return max(timedelta(), min(ends) - self._clock.monotonic()) if ends else None

    def expire(self, listing: TargetListing) -> bool:
        """End the corrections of a list whose time is over; return whether there were any."""
        now = self._clock.monotonic()
        shown = self.applied_to(listing).targets
        ended = False
        if self._retained and now >= self._grace_ends:
            self._retained, ended = {}, True
        if self._held and now >= self._hold_ends:
            self._held, ended = {}, True
        if ended:
            self._remember_departures(shown, self.applied_to(listing).targets)
        return ended

    def update(
        self,
        before: TargetListing,
        read: TargetListing,
        age: timedelta | None,
        rewritten: Collection[str] = (),
    ) -> None:
        """Determine the corrections of a new list.

        `age` is the time since the list before was confirmed, None for the first list. `rewritten`
        are the ids of targets whose entries were written again without a change.
        """
        now = self._clock.monotonic()
        shown = self.applied_to(before).targets
        returned = age is not None and read.revision.era > before.revision.era
        if returned or (age is not None and age > OUTAGE_THRESHOLD):
            self._grace_ends, self._returned = now + RECOVERY_GRACE, returned
        if returned:
            self._hold_departed(read, now)
        elif self._held:
            self._held = {
                key: item
                for key, item in self._held.items()
                if read.targets.get(key) == item and key not in rewritten and now < self._hold_ends
            }
        self._retain_missing(shown, read, age, returned)
        self._remember_departures(shown, self.applied_to(read).targets)

    def _hold_departed(self, read: TargetListing, now: timedelta) -> None:
        """Hold back the listed processes that have left before the store returned from a copy."""
        for process, departed_at in list(self._departed_at.items()):
            if now - departed_at >= DEPARTURE_MEMORY:
                del self._departed_at[process]
        listed = ((process.target_id, process) for process in self._departed_at)
        self._held = {
            key: read.targets[key]
            for key, process in listed
            if key in read.targets and read.targets[key].target.process == process
        }
        self._hold_ends = now + DEPARTED_HOLD
        if self._held:
            log_events.emit(
                log_events.TARGETS_HELD_BACK,
                targets=" ".join(sorted(self._held)),
                revision=read.revision,
                left_ms=round(DEPARTED_HOLD / timedelta(milliseconds=1)),
            )

    def _retain_missing(
        self,
        shown: dict[str, ListedTarget],
        read: TargetListing,
        age: timedelta | None,
        returned: bool,
    ) -> None:
        now = self._clock.monotonic()
        if now >= self._grace_ends:
            self._retained = {}
            return
        # After a return, a target that the new era has listed and then lacks was removed in it.
        known = self._retained if self._returned and not returned else shown
        missing = {
            key: item for key, item in known.items() if key not in read.targets or key in self._held
        }
        if missing and missing.keys() != self._retained.keys():
            log_events.emit(
                log_events.TARGETS_RETAINED,
                targets=" ".join(sorted(missing)),
                age_ms=round(age / timedelta(milliseconds=1)) if age is not None else None,
                left_ms=round((self._grace_ends - now) / timedelta(milliseconds=1)),
            )
        self._retained = missing

    def _remember_departures(
        self, before: dict[str, ListedTarget], after: dict[str, ListedTarget]
    ) -> None:
        if before is after:
            return
        for key, item in after.items():
            if before.get(key) is not item:
                self._departed_at.pop(item.target.process, None)
        now = self._clock.monotonic()
        for key, item in before.items():
            successor = after.get(key)
            if successor is item:
                continue
            if successor is None or successor.target.process != item.target.process:
                self._departed_at.pop(item.target.process, None)
                self._departed_at[item.target.process] = now
        while len(self._departed_at) > MAX_REMEMBERED_DEPARTURES:
            del self._departed_at[next(iter(self._departed_at))]
