"""Outcomes of orders to engines."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to give one engine orders until `until`, a monotonic time of this entry."""

    engine_id: str
    attempt_id: str
    fencing: int
    until: timedelta


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Another holder has the lease, or may have it; ask again after `retry_after`."""

    holder: str
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The table service did not confirm a lease; no order was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease has too little time left for an order; no order was sent."""


@dataclass(frozen=True, slots=True)
class OrderAcknowledged:
    """The engine acknowledged the order."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine refused the order, or it was not sent; it has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderUnacknowledged:
    """The order was sent and no acknowledgement came."""

    reason: str


@dataclass(frozen=True, slots=True)
class RateLimitReached:
    """The weight store's rate is used up; no order was sent."""

    retry_after: timedelta


LeaseOutcome = Lease | LeaseHeld | LeaseUnavailable
SendOutcome = OrderAcknowledged | OrderRefused | OrderUnacknowledged | LeaseExpired
OrderOutcome = SendOutcome | LeaseHeld | LeaseUnavailable | RateLimitReached
