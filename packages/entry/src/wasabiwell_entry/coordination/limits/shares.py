"""Shares of organisation limits: the messages, and how an owner divides a limit."""

from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_config import Limits

from wasabiwell_entry.coordination.limits.const import MIN_DEMAND_FRACTION, SHARE_LIFETIME


@dataclass(frozen=True, slots=True)
class LimitDemand:
    """A holder's demand: request and token rates, and concurrent long requests."""

    organisation: str
    requests_per_second: float
    tokens_per_second: float
    longs: int


@dataclass(frozen=True, slots=True)
class LimitRequest:
    """A holder's demand for all organisations that one instance owns."""

    node_id: str
    demands: list[LimitDemand]


@dataclass(frozen=True, slots=True)
class LimitShare:
    """A share of an organisation's limits, valid for `lifetime`; None means unlimited."""

    organisation: str
    requests_per_second: float | None
    tokens_per_second: float | None
    longs: int | None
    lifetime: timedelta


@dataclass(frozen=True, slots=True)
class LimitGrant:
    """Granted shares, in the order of the demands; unknown organisations are omitted."""

    shares: list[LimitShare]


@dataclass(slots=True)
class _Holder:
    demand: LimitDemand
    share: LimitShare
    expires: timedelta


@dataclass(slots=True)
class OwnedLimit:
    """Shares of one organisation's limits that the owner has granted."""

    holders: dict[str, _Holder] = field(default_factory=dict)

    def grant(
        self, node_id: str, demand: LimitDemand, limits: Limits, members: int, now: timedelta
    ) -> LimitShare:
        """Grant a share in proportion to demand; unexpired shares never exceed the limits."""
        self.holders = {
            name: holder for name, holder in self.holders.items() if holder.expires > now
        }
        others = [holder for name, holder in self.holders.items() if name != node_id]
        share = LimitShare(
            demand.organisation,
            _rate_share(
                limits.requests_per_second,
                demand.requests_per_second,
                [
                    (item.demand.requests_per_second, item.share.requests_per_second)
                    for item in others
                ],
                members,
            ),
            _rate_share(
                limits.tokens_per_second,
                demand.tokens_per_second,
                [(item.demand.tokens_per_second, item.share.tokens_per_second) for item in others],
                members,
            ),
            _long_share(limits.concurrent_long, demand.longs, others),
            SHARE_LIFETIME,
        )
        self.holders[node_id] = _Holder(demand, share, now + SHARE_LIFETIME)
        return share


def _rate_share(
    limit: float | None, demand: float, others: list[tuple[float, float | None]], members: int
) -> float | None:
    if limit is None:
        return None
    floor = MIN_DEMAND_FRACTION * limit / max(1, members)
    requested = max(demand, floor)
    # One extra member, so that a starting instance finds a share that is not leased yet.
    absent = 1 + max(0, members - 1 - len(others))
    total = requested + absent * floor + sum(max(other, floor) for other, _ in others)
    available = limit - sum(share or 0.0 for _, share in others)
    return max(0.0, min(limit * requested / total, available))


def _long_share(limit: int | None, wanted: int, others: list[_Holder]) -> int | None:
    if limit is None:
        return None
    return max(0, min(wanted, limit - sum(item.share.longs or 0 for item in others)))
