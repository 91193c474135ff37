"""Selects the addresses of a response by the capacity of the entry instances."""

from collections.abc import Sequence
from itertools import islice

import xxhash

from wasabiwell_entry.coordination.addresses.const import (
    MAX_HASH,
    MIN_ADDRESSES,
    ROTATION_PERIOD,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.members import Member

ROTATION_SEED = 1
"""Makes the hash of the rotation independent of the one by which members are ordered."""


class CapacityWeighting:
    """Names each address in a part of the responses that is proportional to its capacity.

    Callers choose one address of a response at random, so an address gets callers in proportion to
    how often it is named. Each address has a phase by caller, which advances with the time; it is
    named while its phase is below its capacity as a part of the highest one. The wall clock keeps
    the responses of different instances alike.
    """

    __slots__ = ("_clock", "_limit")

    def __init__(self, limit: int, clock: Clock) -> None:
        """Take the highest number of addresses in a response."""
        self._limit = limit
        self._clock = clock

    def select(self, ordered: Sequence[Member], spread_key: str) -> Sequence[Member]:
        """Return the members to name of all, which are ordered by proximity to the caller.

        With equal or unknown capacities they are the first ones.
        """
        capacities = _capacities(ordered)
        if len(ordered) <= MIN_ADDRESSES or min(capacities) == max(capacities):
            return ordered[: self._limit]
        highest = max(capacities)
        elapsed = self._clock.now().timestamp() / ROTATION_PERIOD.total_seconds()
        delayed: list[tuple[float, int]] = []
        named: list[int] = []
        considered = _considered(capacities, self._limit)
        for index, capacity in enumerate(islice(capacities, considered)):
            share = capacity / highest
            phase = (_initial_phase(spread_key, ordered[index]) + elapsed) % 1.0
            if share >= 1.0 or phase < share:
                named.append(index)
            else:
                delayed.append(((1.0 - phase) / share, index))
        missing = min(MIN_ADDRESSES, self._limit) - len(named)
        if missing > 0:
            # Those that are named next, of which those with more capacity are more.
            named += [index for _, index in sorted(delayed)[:missing]]
            named.sort()
        return [ordered[index] for index in named[: self._limit]]


def _capacities(members: Sequence[Member]) -> list[float]:
    """Return the capacities; an unknown one counts as the mean of the known ones."""
    known = [member.capacity for member in members if member.capacity > 0]
    mean = sum(known) / len(known) if known else 1.0
    return [member.capacity if member.capacity > 0 else mean for member in members]


def _considered(capacities: Sequence[float], limit: int) -> int:
    """Return how many of the first members may be named in a response.

    They have the part of the fleet's capacity that the first `limit` of equal members have, so that
    callers are sent to other zones as seldom as with equal members, and more often from a zone with
    little capacity.
    """
    if len(capacities) <= limit:
        return len(capacities)
    budget = sum(capacities) * limit / len(capacities)
    total = 0.0
    for index, capacity in enumerate(capacities):
        # A member at the bound counts if half of it is within: large ones have no advantage.
        if total + capacity / 2 > budget and index >= MIN_ADDRESSES:
            return index
        total += capacity
    return len(capacities)


def _initial_phase(spread_key: str, member: Member) -> float:
    key = f"{spread_key}\0{member.node_id}".encode()
    return xxhash.xxh3_64_intdigest(key, seed=ROTATION_SEED) / MAX_HASH
