"""Assigns monitors to the entry instances of a large fleet."""

from collections.abc import Iterable

import xxhash

from wasabiwell_entry.coordination.exchange.const import MONITORS, REQUESTED_MONITORING_TIME


class MonitorRing:
    """Hash ring of instances; the `MONITORS` successors of an instance monitor it.

    The positions are hashes of addresses, which spreads the monitors of an instance over the zones,
    because a whole zone may become unreachable. An instance whose known instances differ from those
    of a monitor may not regard it as one; the monitor then requests frequent states, which it gets
    for `REQUESTED_MONITORING_TIME`.
    """

    __slots__ = (
        "_monitored_since",
        "_own",
        "_positions",
        "_requested_at",
        "_ring_monitors",
        "monitors",
    )

    def __init__(self, own_address: str) -> None:
        self._own = own_address
        self._positions = {own_address: _position(own_address)}
        self._monitored_since: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._ring_monitors: frozenset[str] = frozenset()
        self.monitors: frozenset[str] = frozenset()

    def update(self, addresses: Iterable[str], now: float) -> bool:
        """Set the reachable instances; return whether the monitors of this instance changed.

        `now` is a monotonic time in seconds.
        """
        names = {self._own, *addresses}
        if names != self._positions.keys():
            self._rebuild(names, now)
        return self.update_monitors(now)

    def _rebuild(self, names: set[str], now: float) -> None:
        self._positions = {
            name: self._positions[name] if name in self._positions else _position(name)
            for name in names
        }
        ring = sorted(names, key=self._positions.__getitem__)
        own = ring.index(self._own)
        count = min(MONITORS, len(ring) - 1)
        monitored = {ring[(own - step) % len(ring)] for step in range(1, count + 1)}
        self._monitored_since = {
            address: self._monitored_since.get(address, now) for address in monitored
        }
        self._ring_monitors = frozenset(
            ring[(own + step) % len(ring)] for step in range(1, count + 1)
        )

    def update_monitors(self, now: float) -> bool:
        """Drop expired monitoring requests; return whether the monitors changed."""
        self._requested_at = {
            address: requested_at
            for address, requested_at in self._requested_at.items()
            if now - requested_at < REQUESTED_MONITORING_TIME.total_seconds()
        }
        previous, self.monitors = self.monitors, self._ring_monitors | self._requested_at.keys()
        return self.monitors != previous

    def monitored(self) -> dict[str, float]:
        """Return the instances to monitor, each with the monotonic second of its assignment."""
        return dict(self._monitored_since)

    def add_requested(self, address: str, now: float) -> None:
        """Add a monitor that has requested frequent states."""
        self._requested_at[address] = now


def _position(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())
