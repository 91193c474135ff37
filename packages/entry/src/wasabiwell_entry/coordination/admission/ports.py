"""Interfaces that admission requires from other layers and capabilities."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from wasabiwell_config import Organisation

from wasabiwell_entry.state.sizes import SizeClass


@dataclass(frozen=True, slots=True)
class Hold:
    """One slot and memory for `tokens` tokens of an engine, allocated to one request.

    `reservation_id` identifies memory that `hold_all` reserved at the engine; it is empty for
    holds that exist only at this entry instance.
    """

    hold_id: int
    target_id: str
    tokens: int
    reservation_id: str = ""


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """The engine currently has no capacity available to this entry instance."""

    reason: str


class CapacityPort(Protocol):
    """Engine capacity available to this entry instance."""

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold locally available capacity without messages to other instances."""

    def report_demand(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Record unmet demand, for which capacity is requested in the background."""

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold capacity of all given engines or of none, in ascending order of target id."""

    def release(self, hold: Hold) -> None:
        """Release a hold; releasing it again has no effect."""

    def on_change(self, observer: Callable[[], None]) -> None:
        """Register an observer that is called when capacity may have become available."""


@dataclass(frozen=True, slots=True)
class LimitLease:
    """Permission to run one request within an organisation's limits."""

    organisation: str
    size: SizeClass
    tokens: int


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The organisation has reached the named limit."""

    limit: str
    retry_after: timedelta


class LimitPort(Protocol):
    """Organisation limits that are enforced across all entry instances."""

    async def ensure_share(self, organisation: Organisation, size: SizeClass) -> None:
        """Obtain a share of the limits if none is held, without a message per request."""

    def try_acquire(
        self, organisation: Organisation, tokens: int, size: SizeClass
    ) -> LimitLease | LimitExceeded:
        """Acquire a lease for one request of `tokens` prompt and output tokens."""

    def release_lease(self, lease: LimitLease) -> None:
        """Release the lease of a request that has ended."""
