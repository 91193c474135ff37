"""Table of the evacuated zones of one entry instance."""

from collections.abc import Callable
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.evacuation.const import MAX_ZONES, RESTORE_RETENTION
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.evacuations import NO_EVACUATIONS, Evacuations

ZonesObserver = Callable[[frozenset[str]], None]
ZoneObserver = Callable[[str], None]


class EvacuationTable:
    """The evacuations that the store has, and those that a copy of it lacks.

    Each record is the whole state at a revision, so that late and repeated ones do no harm. Peers
    are told what the store has; each instance retains for itself what a later era lacks. A zone
    that an era has had and then lacks was returned to service by the operator, at once.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_in_force",
        "_observers",
        "_retained",
        "_retention_changed",
        "_return_observers",
        "_used",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current = NO_EVACUATIONS
        self._in_force: frozenset[str] = frozenset()
        self._retained: dict[str, timedelta] = {}
        self._retention_changed = trio.Event()
        self._observers: list[ZonesObserver] = []
        self._return_observers: list[ZoneObserver] = []
        self._used = False

    @property
    def current(self) -> Evacuations:
        """Return the newest evacuations that the store is known to have."""
        return self._current

    @property
    def announced(self) -> Evacuations:
        """Return what states tell peers: nothing unless a zone has been evacuated since the start.

        It keeps the states of fleets without evacuations as small as they were.
        """
        return self._current if self._used else NO_EVACUATIONS

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones whose targets get no requests."""
        return self._in_force

    def evacuated(self, zone: str) -> bool:
        """Return whether the targets of a zone get no requests."""
        return zone in self._in_force

    def observe(self, observer: ZonesObserver) -> None:
        """Call an observer with all evacuated zones after each change of them."""
        self._observers.append(observer)

    def observe_returns(self, observer: ZoneObserver) -> None:
        """Call an observer with each zone that returns to service, after the others are told."""
        self._return_observers.append(observer)

    def record(self, evacuations: Evacuations, source: str) -> bool:
        """Record what the store or a peer tells; return whether the store's zones have changed."""
        before = self._current
        if evacuations.revision <= before.revision:
            return False
        if len(evacuations.zones) > MAX_ZONES:
            evacuations = _limited(evacuations)
        self._current = evacuations
        self._used = self._used or bool(evacuations.zones)
        if evacuations.revision.era > before.revision.era:
            self._retain_missing(evacuations, before)
        for zone in evacuations.zones:
            self._retained.pop(zone, None)
        self._publish(source)
        return evacuations.zones != before.zones

    def expire(self) -> None:
        """Return the zones to service whose retention has ended."""
        now = self._clock.monotonic()
        self._retained = {zone: until for zone, until in self._retained.items() if until > now}
        self._publish("the end of the retention")

    async def run(self) -> None:
        """End retentions in time until cancelled."""
        while True:
            if not self._retained:
                self._retention_changed = trio.Event()
                await self._retention_changed.wait()
                continue
            left = min(self._retained.values()) - self._clock.monotonic()
            await self._clock.sleep(max(timedelta(), left))
            self.expire()

    def counts(self) -> dict[str, float]:
        """Return the number of zones that the store has as evacuated, and of those retained."""
        return {"stored": len(self._current.zones), "retained": len(self._retained)}

    def _retain_missing(self, evacuations: Evacuations, before: Evacuations) -> None:
        missing = self._in_force - evacuations.zones
        if not missing:
            return
        until = self._clock.monotonic() + RESTORE_RETENTION
        self._retained.update(dict.fromkeys(missing, until))
        self._retention_changed.set()
        log_events.emit(
            log_events.EVACUATIONS_RETAINED,
            zones=" ".join(sorted(missing)),
            revision=evacuations.revision,
            revision_before=before.revision,
            left_ms=round(RESTORE_RETENTION / timedelta(milliseconds=1)),
        )

    def _publish(self, source: str) -> None:
        """Put the zones in force; the log lines have the source and the revision."""
        before, after = self._in_force, self._current.zones | self._retained.keys()
        if before == after:
            return
        self._in_force = after
        revision = self._current.revision
        for zone in sorted(after - before):
            log_events.emit(log_events.ZONE_EVACUATED, zone=zone, source=source, revision=revision)
        for zone in sorted(before - after):
            log_events.emit(log_events.ZONE_RETURNED, zone=zone, source=source, revision=revision)
        for observer in self._observers:
            observer(after)
        for zone in sorted(before - after):
            for return_observer in self._return_observers:
                return_observer(zone)


def _limited(evacuations: Evacuations) -> Evacuations:
    """Return the evacuations of the first zones by name, the same at all instances."""
    zones = sorted(evacuations.zones)
    log_events.emit(
        log_events.EVACUATIONS_LIMITED, zones=len(zones), used=MAX_ZONES, first=zones[MAX_ZONES]
    )
    return Evacuations(evacuations.revision, frozenset(zones[:MAX_ZONES]))
