"""What admission needs of other capabilities and layers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from wasabiwell_config import Organisation

from wasabiwell_entry.state.sizes import SizeClass


@dataclass(frozen=True, slots=True)
class Hold:
    """One slot and `tokens` tokens of memory of an engine, held by this entry instance.

    `reservation_id` names the memory that `hold_all` reserved at the engine itself.
    """

    hold_id: int
    target_id: str
    tokens: int
    reservation_id: str = ""


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """The engine has no capacity that this entry instance may use now."""

    reason: str


class CapacityPort(Protocol):
    """Capacity of engines that this entry instance may use."""

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold capacity that is at hand here, without a message to another instance."""

    def report_demand(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Note unmet demand; more capacity is asked for in the background."""

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold capacity of several engines, all or nothing, in ascending order of target id."""

    def release(self, hold: Hold) -> None:
        """Give a hold back; a second release of one hold has no effect."""

    def on_change(self, observer: Callable[[], None]) -> None:
        """Call an observer whenever capacity may have become available."""


@dataclass(frozen=True, slots=True)
class LimitLease:
    """Leave to run one request within an organisation's limits."""

    organisation: str
    size: SizeClass
    tokens: int


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """A limit of the organisation is used up."""

    limit: str
    retry_after: timedelta


class LimitPort(Protocol):
    """Limits of organisations, shared over entry instances."""

    async def ensure_share(self, organisation: Organisation, size: SizeClass) -> None:
        """Obtain a share when none is held; it sends no message for each request."""

    def try_acquire(
        self, organisation: Organisation, tokens: int, size: SizeClass
    ) -> LimitLease | LimitExceeded:
        """Take leave for one request of `tokens` tokens, prompt and answer together."""

    def release_lease(self, lease: LimitLease) -> None:
        """Tell that a request has ended."""
