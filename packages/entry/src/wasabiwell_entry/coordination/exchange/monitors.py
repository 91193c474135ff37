"""Chooses which entry instances of a large fleet watch which others."""

from collections.abc import Iterable

import xxhash

from wasabiwell_entry.coordination.exchange.const import MONITORS


class MonitorRing:
    """Instances in the order of the hashes of their addresses; those after one watch it.

    Hashes spread the monitors of an instance over zones, which may be cut off as a whole. An
    instance that knows of others than its monitors do may miss one of them; that one reports its
    silence, and gets its states from then on.
    """

    __slots__ = ("_asked", "_own", "_positions", "_watched", "monitors")

    def __init__(self, own_address: str) -> None:
        self._own = own_address
        self._positions = {own_address: _position(own_address)}
        self._watched: dict[str, float] = {}
        self._asked: set[str] = set()
        self.monitors: frozenset[str] = frozenset()

    def update(self, addresses: Iterable[str], now: float) -> bool:
        """Take over the instances that are heard; return whether the own monitors changed.

        `now` is a monotonic time in seconds.
        """
        names = {self._own, *addresses}
        self._positions = {
            name: self._positions[name] if name in self._positions else _position(name)
            for name in names
        }
        ring = sorted(names, key=self._positions.__getitem__)
        own = ring.index(self._own)
        reach = min(MONITORS, len(ring) - 1)
        watched = {ring[(own - step) % len(ring)] for step in range(1, reach + 1)}
        self._watched = {address: self._watched.get(address, now) for address in watched}
        self._asked &= set(ring)
        monitors = {ring[(own + step) % len(ring)] for step in range(1, reach + 1)}
        known, self.monitors = self.monitors, frozenset(monitors | self._asked)
        return self.monitors != known

    def watched(self) -> dict[str, float]:
        """Return the instances to watch, with the monotonic second since when each is watched."""
        return dict(self._watched)

    def watch_anew(self, now: float) -> None:
        """Count the silence of the watched instances from a monotonic second on."""
        self._watched = dict.fromkeys(self._watched, now)

    def ask(self, address: str) -> None:
        """Add an instance that watches this one, which its report has shown."""
        self._asked.add(address)


def _position(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())
