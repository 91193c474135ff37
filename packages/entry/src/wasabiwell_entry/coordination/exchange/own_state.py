"""State that an entry instance sends to the others about itself."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.evacuations import NO_EVACUATIONS, Evacuations
from wasabiwell_entry.state.exchange import (
    FEATURES,
    MAX_INCARNATION,
    NodeState,
    RetryBudgetUse,
)


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Region, zone and addresses of an entry instance."""

    region: str
    zone: str
    caller_address: str
    control_address: str


@dataclass(frozen=True, slots=True)
class StateSources:
    """Functions that return the current values of a state."""

    leaving: Callable[[], bool]
    routes_version: Callable[[], int]
    has_listing: Callable[[], bool]
    knows_targets: Callable[[], bool]
    uses: Callable[[], tuple[RetryBudgetUse, ...]]
    placed: Callable[[], tuple[str, ...]]
    peers: Callable[[], int]
    reaches_targets: Callable[[], bool] = lambda: True
    capacity: Callable[[], int] = lambda: 0
    evacuations: Callable[[], Evacuations] = lambda: NO_EVACUATIONS


class OwnState:
    """Builds the states of this instance, with increasing sequence numbers."""

    __slots__ = ("_identity", "_incarnation", "_sequence", "_sources")

    def __init__(self, identity: NodeIdentity, sources: StateSources, clock: Clock) -> None:
        self._identity = identity
        self._sources = sources
        self._incarnation = int(clock.now().timestamp() * 1000)
        self._sequence = 0

    @property
    def serving(self) -> bool:
        """Return whether callers may use this instance.

        It has learned the routes and the list of targets, which may be empty, and is not leaving.
        """
        sources = self._sources
        return sources.routes_version() > 0 and sources.has_listing() and not sources.leaving()

    def raise_incarnation(self, known: int) -> bool:
        """Exceed an incarnation that a peer knows; return False if this one is not lower.

        One that no clock leads to is ignored, as no state could exceed it or be encoded then.
        """
        if known <= self._incarnation or known > MAX_INCARNATION:
            return False
        self._incarnation = known + 1
        return True

    def current(self) -> NodeState:
        """Return the current state, with the next sequence number."""
        self._sequence += 1
        evacuations = self._sources.evacuations()
        return NodeState(
            incarnation=self._incarnation,
            sequence=self._sequence,
            region=self._identity.region,
            zone=self._identity.zone,
            caller_address=self._identity.caller_address,
            control_address=self._identity.control_address,
            serving=self.serving,
            leaving=self._sources.leaving(),
            routes_version=self._sources.routes_version(),
            knows_targets=self._sources.knows_targets(),
            uses=self._sources.uses(),
            placed=self._sources.placed(),
            peers=self._sources.peers(),
            reaches_targets=self._sources.reaches_targets(),
            features=FEATURES,
            capacity=self._sources.capacity(),
            evacuation_era=evacuations.revision.era,
            evacuation_number=evacuations.revision.number,
            evacuated_zones=tuple(sorted(evacuations.zones)),
        )
