"""Outcomes of queueing."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The organisation has the most requests waiting that it may have."""

    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable:
    """The estimated wait ends after the request's deadline."""

    wait: timedelta
