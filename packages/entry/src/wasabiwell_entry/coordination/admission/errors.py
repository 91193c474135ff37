"""Outcomes of reserving memory on engines and of queueing."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReservationRefused:
    """An engine has not enough free memory now."""

    reason: str


@dataclass(frozen=True, slots=True)
class Reserved:
    """Memory is held under this id until it is released or expires."""

    reservation_id: str


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The organisation has the most requests waiting that it may have."""

    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable:
    """The estimated wait ends after the request's deadline."""

    wait: timedelta
