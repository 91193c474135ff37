"""Outcomes of orders to engines."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Lease:
    """The exclusive right to send orders to one engine.

    It ends at `expires_at`, a time of this entry instance's monotonic clock.
    """

    engine_id: str
    attempt_id: str
    fencing: int
    expires_at: timedelta


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """Another holder has the lease, or may have it; retry after `retry_after`."""

    holder: str
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The table service did not confirm a lease; no order was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease expires too soon for an order, or has expired; no order was sent."""


@dataclass(frozen=True, slots=True)
class OrderAcknowledged:
    """The engine acknowledged the order."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine refused the order, or the order was not sent; it has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderUnacknowledged:
    """The order was sent and not acknowledged; it may or may not have an effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class RateLimitReached:
    """The rate limit of the weight store is reached; no order was sent."""

    retry_after: timedelta


LeaseOutcome = Lease | LeaseHeld | LeaseUnavailable
SendOutcome = OrderAcknowledged | OrderRefused | OrderUnacknowledged | LeaseExpired
OrderOutcome = SendOutcome | LeaseHeld | LeaseUnavailable | RateLimitReached
