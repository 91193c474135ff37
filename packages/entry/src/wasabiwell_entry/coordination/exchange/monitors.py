"""Chooses which entry instances of a large fleet watch which others."""

from collections.abc import Iterable

import xxhash

from wasabiwell_entry.coordination.exchange.const import MONITORS, REQUESTED_WATCH_TIME


class MonitorRing:
    """Instances in the order of the hashes of their addresses; those after one watch it.

    Hashes spread the monitors of an instance over zones, which may be cut off as a whole. An
    instance that knows of others than its monitors do may miss one of them; that one asks for its
    states, and gets them often for a time.
    """

    __slots__ = ("_asked", "_chosen", "_own", "_positions", "_watched", "monitors")

    def __init__(self, own_address: str) -> None:
        self._own = own_address
        self._positions = {own_address: _position(own_address)}
        self._watched: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._chosen: frozenset[str] = frozenset()
        self.monitors: frozenset[str] = frozenset()

    def update(self, addresses: Iterable[str], now: float) -> bool:
        """Take over the instances that are heard; return whether the own monitors changed.

        `now` is a monotonic time in seconds.
        """
        names = {self._own, *addresses}
        if names != self._positions.keys():
            self._place(names, now)
        return self.update_monitors(now)

    def _place(self, names: set[str], now: float) -> None:
        self._positions = {
            name: self._positions[name] if name in self._positions else _position(name)
            for name in names
        }
        ring = sorted(names, key=self._positions.__getitem__)
        own = ring.index(self._own)
        reach = min(MONITORS, len(ring) - 1)
        watched = {ring[(own - step) % len(ring)] for step in range(1, reach + 1)}
        self._watched = {address: self._watched.get(address, now) for address in watched}
        self._chosen = frozenset(ring[(own + step) % len(ring)] for step in range(1, reach + 1))

    def update_monitors(self, now: float) -> bool:
        """Drop the requests to watch whose time is over; return whether the monitors changed."""
        self._asked = {
            address: asked
            for address, asked in self._asked.items()
            if now - asked < REQUESTED_WATCH_TIME.total_seconds()
        }
        known, self.monitors = self.monitors, self._chosen | self._asked.keys()
        return self.monitors != known

    def watched(self) -> dict[str, float]:
        """Return the instances to watch, with the monotonic second since when each is watched."""
        return dict(self._watched)

    def ask(self, address: str, now: float) -> None:
        """Add an instance that watches this one, as it has told."""
        self._asked[address] = now


def _position(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())
