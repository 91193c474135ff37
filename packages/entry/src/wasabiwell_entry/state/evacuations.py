"""Availability zones whose targets get no requests."""

from dataclasses import dataclass

from wasabiwell_entry.state.store_revision import NO_REVISION, StoreRevision


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones at a revision of the store."""

    revision: StoreRevision
    zones: frozenset[str]


NO_EVACUATIONS = Evacuations(NO_REVISION, frozenset())
"""Used until the store has been read."""


@dataclass(frozen=True, slots=True)
class EvacuationRows:
    """Rows of evacuations in a read of the store.

    `evacuated` are the zones whose rows were read, `ended` those whose rows were removed since the
    read before.
    """

    evacuated: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()

    def applied_to(self, zones: frozenset[str]) -> frozenset[str]:
        """Return the evacuated zones after a read that continues from one with `zones`."""
        return (zones - self.ended) | self.evacuated


NO_EVACUATION_ROWS = EvacuationRows()
