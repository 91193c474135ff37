"""Counts requests and repeated sends of each service over all entry instances."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_entry.coordination.budget.const import BUCKETS, USABLE_SHARE
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import RetryBudgetUse, RetryNotice


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """In a window, repeats may be `ratio` of the requests of a service and `slack` more."""

    ratio: float
    slack: float
    window: timedelta


@dataclass(slots=True)
class _Counts:
    """Requests and repeats by number of the bucket of time."""

    requests: dict[int, int] = field(default_factory=dict)
    retries: dict[int, int] = field(default_factory=dict)


class RetryBudget:
    """Allows repeated sends while all entry instances together stay within the limits."""

    __slots__ = ("_clock", "_counts", "_limits", "_peer_uses", "_tell", "refusals")

    def __init__(
        self,
        limits: BudgetLimits,
        peer_uses: Callable[[], Iterable[tuple[RetryBudgetUse, ...]]],
        tell: Callable[[RetryNotice], None],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._peer_uses = peer_uses
        self._tell = tell
        self._clock = clock
        self._counts: dict[str, _Counts] = {}
        self.refusals = 0

    def count_request(self, service: str) -> None:
        """Count a caller's request."""
        _increment(self._of(service).requests, self._bucket())

    def try_consume(self, service: str) -> bool:
        """Count a repeated send, or return False when the budget is used up."""
        peers = [use for uses in self._peer_uses() for use in uses if use.service == service]
        own = self._use(service)
        requests = own.requests + sum(use.requests for use in peers)
        repeats = own.retries + sum(use.retries for use in peers)
        allowed = USABLE_SHARE * (self._limits.ratio * requests + self._limits.slack)
        if repeats + 1 > allowed:
            self.refusals += 1
            return False
        _increment(self._of(service).retries, self._bucket())
        self._tell(RetryNotice(service))
        return True

    def uses(self) -> tuple[RetryBudgetUse, ...]:
        """Return the own counts in the last window."""
        return tuple(self._use(service) for service in sorted(self._counts))

    def _use(self, service: str) -> RetryBudgetUse:
        counts = self._of(service)
        oldest = self._bucket() - BUCKETS
        return RetryBudgetUse(
            service, _sum_since(counts.requests, oldest), _sum_since(counts.retries, oldest)
        )

    def _of(self, service: str) -> _Counts:
        return self._counts.setdefault(service, _Counts())

    def _bucket(self) -> int:
        return self._clock.monotonic() // (self._limits.window / BUCKETS)


def _increment(buckets: dict[int, int], bucket: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + 1


def _sum_since(buckets: dict[int, int], oldest: int) -> int:
    for bucket in [bucket for bucket in buckets if bucket < oldest]:
        del buckets[bucket]
    return sum(buckets.values())
