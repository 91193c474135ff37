"""Finds out what an entry instance learns of the placements of others, and its rank for a target.

The instances are arranged on a ring by the hashes of their addresses. The rank of an instance for a
target is its distance on the ring from the hash of the target, so that few ranks change when an
instance joins or leaves, and instances whose views differ a little select mostly the same ones.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

import xxhash

from wasabiwell_entry.coordination.exchange.zone_locality import ZoneLocality
from wasabiwell_entry.coordination.pacing.cold_limit import (
    Hearing,
    Informed,
    InformedInPart,
    InformedInZone,
    Uninformed,
    Unreported,
)
from wasabiwell_entry.coordination.pacing.const import (
    FREQUENT_STATE_SECONDS,
    MIN_HEARD_FRACTION,
    RING_LIFETIME_SECONDS,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.targets import Target


class Ring:
    """Positions of instances on the ring."""

    __slots__ = ("_own", "_points")

    def __init__(self, own: str, others: list[str]) -> None:
        self._own = _point(own)
        self._points = sorted({self._own, *map(_point, others)})

    def __len__(self) -> int:
        return len(self._points)

    def rank(self, key: str) -> int:
        """Return the number of instances between a key and this instance."""
        start = bisect_left(self._points, _point(key))
        return (bisect_left(self._points, self._own) - start) % len(self._points)


@dataclass(frozen=True, slots=True)
class _Rings:
    """Rings of all instances known in the last minute, of the reachable ones, and of the zone's."""

    built_at: float
    known: Ring
    reachable: Ring
    zone: Ring
    hears_most: bool
    hears_all: bool
    zone_local: dict[str, bool] = field(default_factory=dict)
    """Whether placements of a service are zone-local, which takes a pass over its targets."""


class FleetHearing:
    """Implements `HearingPort` for one entry instance; its node table keeps peers for a minute."""

    __slots__ = ("_clock", "_nodes", "_own_address", "_rings", "_zones")

    def __init__(
        self, own_address: str, nodes: NodeTable, zones: ZoneLocality, clock: Clock
    ) -> None:
        self._own_address = own_address
        self._nodes = nodes
        self._zones = zones
        self._clock = clock
        self._rings: _Rings | None = None

    def hearing(self, target: Target, reported: bool) -> Hearing:
        """Return what this instance learns of the placements that others make on a target."""
        rings = self._current_rings()
        key = target.target_id
        if not rings.hears_most:
            return Uninformed(rings.known.rank(key))
        if not reported and self._zones.large_fleet:
            return Unreported(rings.known.rank(key))
        zone_local = rings.zone_local.get(target.service)
        if zone_local is None:
            zone_local = rings.zone_local[target.service] = self._zones.in_use(target.service)
        if zone_local and not self._zones.is_own_zone(target.zone):
            return Uninformed(rings.known.rank(key))
        ring = rings.zone if zone_local else rings.reachable
        if not rings.hears_all:
            return InformedInPart(len(ring), ring.rank(key))
        if zone_local:
            return InformedInZone(len(ring), ring.rank(key))
        return Informed(len(ring), ring.rank(key))

    def _current_rings(self) -> _Rings:
        now = self._clock.monotonic().total_seconds()
        rings = self._rings
        if rings is None or now - rings.built_at >= RING_LIFETIME_SECONDS:
            rings = self._rings = self._build(now)
        return rings

    def _build(self, now: float) -> _Rings:
        known = [node for node in self._nodes if node.state is not None]
        reachable = [node for node in self._nodes.reachable(now) if node.state is not None]
        zone = [
            node
            for node in reachable
            if node.state is not None and self._zones.is_own_zone(node.state.zone)
        ]
        return _Rings(
            now,
            self._ring(known),
            self._ring(reachable),
            self._ring(zone),
            _hears_most(known, reachable),
            len(reachable) == len(known),
        )

    def _ring(self, nodes: list[Node]) -> Ring:
        return Ring(self._own_address, [node.address for node in nodes])


def _hears_most(known: list[Node], reachable: list[Node]) -> bool:
    """Return whether an instance hears from at least half of the peers that it knows.

    In a large fleet most peers send their states seldom; those that send them often show a
    partition much sooner.
    """

    def enough(heard: int, expected: int) -> bool:
        return heard >= expected * MIN_HEARD_FRACTION

    frequent = [node for node in known if node.silence_timeout <= FREQUENT_STATE_SECONDS]
    heard = {node.address for node in reachable}
    return enough(len(reachable), len(known)) and enough(
        sum(1 for node in frequent if node.address in heard), len(frequent)
    )


def _point(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
