"""Reasons for which a request is not queued."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The organisation has reached its maximum number of queued requests."""

    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable:
    """The estimated wait exceeds the request's deadline."""

    wait: timedelta
