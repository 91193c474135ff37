"""Counts the requests and retries of each service over all entry instances."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_entry.coordination.budget.const import BUCKETS_PER_WINDOW, USABLE_FRACTION
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import RetryBudgetUse, RetryNotice


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Allows `ratio` times the requests of a service plus `slack` as retries per window."""

    ratio: float
    slack: float
    window: timedelta


@dataclass(slots=True)
class _Counts:
    """Request and retry counts of one service by time bucket."""

    requests: dict[int, int] = field(default_factory=dict)
    retries: dict[int, int] = field(default_factory=dict)


class RetryBudget:
    """Allows retries while the total of all entry instances stays within the limits."""

    __slots__ = ("_clock", "_counts", "_limits", "_peer_usage", "_publish", "refusals")

    def __init__(
        self,
        limits: BudgetLimits,
        peer_usage: Callable[[], Iterable[tuple[RetryBudgetUse, ...]]],
        publish: Callable[[RetryNotice], None],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._peer_usage = peer_usage
        self._publish = publish
        self._clock = clock
        self._counts: dict[str, _Counts] = {}
        self.refusals = 0

    def count_request(self, service: str) -> None:
        """Count a request of a caller."""
        _increment(self._service_counts(service).requests, self._bucket())

    def has_room(self, service: str) -> bool:
        """Return whether the budget allows one more retry."""
        peers = [use for uses in self._peer_usage() for use in uses if use.service == service]
        own = self._usage(service)
        requests = own.requests + sum(use.requests for use in peers)
        retries = own.retries + sum(use.retries for use in peers)
        allowed = USABLE_FRACTION * (self._limits.ratio * requests + self._limits.slack)
        return retries + 1 <= allowed

    def try_consume(self, service: str) -> bool:
        """Count a retry, or return False if the budget is exhausted."""
        if not self.has_room(service):
            self.refusals += 1
            return False
        _increment(self._service_counts(service).retries, self._bucket())
        self._publish(RetryNotice(service))
        return True

    def uses(self) -> tuple[RetryBudgetUse, ...]:
        """Return the counts of this entry instance in the last window."""
        return tuple(self._usage(service) for service in sorted(self._counts))

    def _usage(self, service: str) -> RetryBudgetUse:
        counts = self._service_counts(service)
        oldest = self._bucket() - BUCKETS_PER_WINDOW
        return RetryBudgetUse(
            service, _sum_since(counts.requests, oldest), _sum_since(counts.retries, oldest)
        )

    def _service_counts(self, service: str) -> _Counts:
        return self._counts.setdefault(service, _Counts())

    def _bucket(self) -> int:
        return self._clock.monotonic() // (self._limits.window / BUCKETS_PER_WINDOW)


def _increment(buckets: dict[int, int], bucket: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + 1


def _sum_since(buckets: dict[int, int], oldest: int) -> int:
    for bucket in [bucket for bucket in buckets if bucket < oldest]:
        del buckets[bucket]
    return sum(buckets.values())
