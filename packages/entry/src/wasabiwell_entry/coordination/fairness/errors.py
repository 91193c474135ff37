"""Outcomes of fair sharing."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Sufficient:
    """The service has capacity: the request is served as without fair sharing."""


@dataclass(frozen=True, slots=True)
class Ordered:
    """The service is short of capacity: targets order the request by this urgency."""

    urgency: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is rejected, and may be sent again after `retry_after`."""

    reason: str
    retry_after: timedelta


SharingDecision = Sufficient | Ordered | Rejected
