"""Limits the requests a second to each cold target over all entry instances.

Times are monotonic seconds. The sum over all instances stays below
`rate` x `overage` + `slack` a second without a message for each pair of instances and targets,
because only a few selected instances send to a cold target, each with a token bucket:

- Informed instances count the arrivals that they know of, and admit below `rate`. What they send
  before they hear of each other is bounded by their number and the depth of their buckets: by the
  whole excess over `rate`, without `slack` where instances of other zones are uninformed, and by
  half of `rate` x (`overage` - 1) while an instance that was known a minute ago is not heard.
- Uninformed instances, of which `slack` are selected, have one token each. Their refill in total is
  the other half of `rate` x (`overage` - 1).
- If placements for a service are not reported at all, the selected instances share `rate` by the
  refill of their buckets, and the excess by their depth.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

from wasabiwell_entry.coordination.pacing.const import (
    ARRIVAL_WINDOW_SECONDS,
    IN_FLIGHT_SHARE,
    INFORMED_REFILL_FACTOR,
)


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Tolerances of the limit: a factor of the rate, and a number of requests a second."""

    overage: float = 1.5
    slack: float = 5.0


@dataclass(frozen=True, slots=True)
class Informed:
    """This instance learns of all placements on the target.

    `instances` may place requests on it; `rank` is that of this one among them for the target,
    from 0.
    """

    instances: int
    rank: int


@dataclass(frozen=True, slots=True)
class InformedInZone:
    """As `Informed`, but the instances of other zones do not learn of the placements."""

    instances: int
    rank: int


@dataclass(frozen=True, slots=True)
class InformedInPart:
    """As `Informed`, but an instance that was known lately is not heard and may be cut off."""

    instances: int
    rank: int


@dataclass(frozen=True, slots=True)
class Uninformed:
    """This instance may miss placements on the target, which others make or count."""

    rank: int


@dataclass(frozen=True, slots=True)
class Unreported:
    """No instance learns of the placements on the target."""

    rank: int


Hearing = Informed | InformedInZone | InformedInPart | Uninformed | Unreported
"""What this instance learns of the placements that others make on a target."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Token bucket of one instance for one target; `refill` is in tokens a second."""

    depth: float
    refill: float


def grant_of(hearing: Hearing, rate: float, limits: ColdLimits) -> Grant | None:
    """Return the bucket of an instance, or None if it is not selected for the target."""
    excess = rate * max(0.0, limits.overage - 1.0)
    match hearing:
        case Informed(instances=1):
            # Nothing is in flight without other instances: the arrivals are the limit.
            return Grant(rate, rate * INFORMED_REFILL_FACTOR)
        case Informed():
            return _informed_grant(hearing, rate, excess + limits.slack)
        case InformedInZone():
            return _informed_grant(hearing, rate, excess)
        case InformedInPart():
            return _informed_grant(hearing, rate, excess * IN_FLIGHT_SHARE)
        case Uninformed(rank=rank):
            senders = int(limits.slack)
            grant = Grant(1.0, excess * (1.0 - IN_FLIGHT_SHARE) / max(1, senders))
        case Unreported(rank=rank):
            senders = max(1, int(excess + limits.slack))
            grant = Grant(1.0, rate / senders)
    return grant if rank < senders else None


def _informed_grant(
    hearing: Informed | InformedInZone | InformedInPart, rate: float, in_flight: float
) -> Grant | None:
    senders = max(1, min(hearing.instances, int(in_flight)))
    if hearing.rank >= senders:
        return None
    return Grant(max(1.0, in_flight / senders), rate * INFORMED_REFILL_FACTOR / senders)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated: float

    def fill(self, grant: Grant, now: float) -> None:
        seconds = max(0.0, now - self.updated)
        self.tokens = min(grant.depth, self.tokens + seconds * grant.refill)
        self.updated = max(self.updated, now)


@dataclass(slots=True)
class ColdLimiter:
    """Admits requests of one entry instance to cold targets.

    It keeps the last arrivals at each cold target, as many as the limit allows in a second.
    """

    limits: ColdLimits
    _arrivals: dict[str, deque[float]] = field(default_factory=dict)
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def record_arrival(self, target_id: str, rate: float, at: float) -> None:
        """Record a request, or a segment of one, that any instance has sent to a cold target."""
        arrivals = self._arrivals.get(target_id)
        if arrivals is None:
            arrivals = self._arrivals[target_id] = deque(maxlen=max(1, ceil(rate)))
        arrivals.append(at)

    def take(self, target_id: str, rate: float, hearing: Hearing, now: float) -> None:
        """Record a request that this instance sends to a cold target."""
        self.record_arrival(target_id, rate, now)
        grant = grant_of(hearing, rate, self.limits)
        if grant is not None:
            self._bucket(target_id, grant, now).tokens -= 1.0

    def wait(self, target_id: str, rate: float, hearing: Hearing, now: float) -> float | None:
        """Return the seconds until a request is admitted, 0 now, None for an unselected instance.

        Whether a wait is enough depends on the requests of others in the meantime.
        """
        grant = grant_of(hearing, rate, self.limits)
        if grant is None:
            return None
        tokens = self._bucket(target_id, grant, now).tokens
        wait = 0.0
        if tokens < 1.0:
            wait = (1.0 - tokens) / grant.refill if grant.refill > 0 else ARRIVAL_WINDOW_SECONDS
        arrivals = self._arrivals.get(target_id)
        if arrivals is not None and len(arrivals) >= rate:
            # Messages may be received out of order, so the first one need not be the oldest.
            wait = max(wait, min(arrivals) + ARRIVAL_WINDOW_SECONDS - now)
        return max(0.0, wait)

    def forget(self, target_id: str) -> None:
        """Forget a target that is no longer cold."""
        self._arrivals.pop(target_id, None)
        self._buckets.pop(target_id, None)

    def retain(self, target_ids: Collection[str]) -> None:
        """Forget all targets except for these."""
        for target_id in [key for key in self._arrivals if key not in target_ids]:
            self.forget(target_id)
        for target_id in [key for key in self._buckets if key not in target_ids]:
            self.forget(target_id)

    def _bucket(self, target_id: str, grant: Grant, now: float) -> _Bucket:
        bucket = self._buckets.get(target_id)
        if bucket is None:
            bucket = self._buckets[target_id] = _Bucket(grant.depth, now)
        bucket.fill(grant, now)
        return bucket
