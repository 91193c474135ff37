"""Enforces organisation limits across entry instances by leasing shares of them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import trio
from wasabiwell_config import Limits, Organisation

from wasabiwell_entry.coordination.admission.ports import LimitExceeded, LimitLease
from wasabiwell_entry.coordination.limits.const import (
    BURST_PERIOD,
    IDLE_TIMEOUT,
    RENEW_INTERVAL,
    SHARE_LIFETIME,
    SHARE_REQUEST_INTERVAL,
)
from wasabiwell_entry.coordination.limits.errors import LimitOwnerUnreachable
from wasabiwell_entry.coordination.limits.ports import LimitOwnerPort
from wasabiwell_entry.coordination.limits.shares import (
    LimitDemand,
    LimitGrant,
    LimitRequest,
    LimitShare,
    OwnedLimit,
)
from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.sizes import SizeClass


@dataclass(slots=True)
class _Bucket:
    """Token bucket; the last request may push `level` below zero."""

    level: float
    updated: timedelta

    def refill(self, rate: float, now: timedelta) -> None:
        """Add the tokens accrued since the last update, up to the burst size."""
        self.level += rate * (now - self.updated).total_seconds()
        self.level = min(self.level, max(1.0, rate * BURST_PERIOD.total_seconds()))
        self.updated = now


@dataclass(slots=True)
class _HeldLimit:
    """Limit state of one organisation at a holder; points in time are monotonic.

    `requests` and `tokens` are the buckets of the two rates. `expires` is the end of the share's
    lifetime. `refused_at` is the time of the last share request, None if its share was sufficient.
    `rate_exhausted` is set when a bucket had to refuse a request. `running_long` and `waiting_long`
    count long requests. The `demand_*` fields cover the time since the last share request.
    """

    organisation: Organisation
    requests: _Bucket
    tokens: _Bucket
    share: LimitShare | None = None
    expires: timedelta = timedelta()
    refused_at: timedelta | None = None
    rate_exhausted: bool = False
    last_used: timedelta = timedelta()
    running_long: int = 0
    waiting_long: int = 0
    demand_since: timedelta = timedelta()
    demand_requests: int = 0
    demand_tokens: int = 0
    request_lock: trio.Lock = field(default_factory=trio.Lock)


class LimitCoordinator:
    """Holder and owner side of organisation limits at one entry instance."""

    __slots__ = ("_clock", "_held", "_members", "_organisation", "_own", "_owned", "_port")

    def __init__(
        self,
        own: Member,
        members: MemberTable,
        organisation: Callable[[str], Organisation | None],
        port: LimitOwnerPort,
        clock: Clock,
    ) -> None:
        self._own = own
        self._members = members
        self._organisation = organisation
        self._port = port
        self._clock = clock
        self._held: dict[str, _HeldLimit] = {}
        self._owned: dict[str, OwnedLimit] = {}

    async def run(self) -> None:
        """Renew the shares in use periodically until cancelled."""
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self.renew()

    async def renew(self) -> None:
        """Renew the shares in use, with one message to each owner."""
        now = self._clock.monotonic()
        self._remove_idle(now)
        by_owner: dict[str, tuple[Member, list[_HeldLimit]]] = {}
        for held in self._held.values():
            owner = self._owner(held.organisation.name)
            if owner is not None:
                by_owner.setdefault(owner.node_id, (owner, []))[1].append(held)
        async with trio.open_nursery() as nursery:
            for owner, items in by_owner.values():
                nursery.start_soon(self._acquire, owner, items)

    async def ensure_share(self, organisation: Organisation, size: SizeClass) -> None:
        """Request a share if none is valid, a rate is exhausted or a long request exceeds it."""
        if organisation.limits == Limits():
            return
        held = self._ensure_held(organisation)
        long = size is SizeClass.LONG
        held.waiting_long += long
        try:
            if self._needs_share(held):
                async with held.request_lock:
                    await self._request_share(held)
        finally:
            held.waiting_long -= long

    async def _request_share(self, held: _HeldLimit) -> None:
        """Request a share, at most once per interval after one that was insufficient."""
        now = self._clock.monotonic()
        recently = held.refused_at is not None and now - held.refused_at < SHARE_REQUEST_INTERVAL
        owner = self._owner(held.organisation.name)
        if recently or owner is None or not self._needs_share(held):
            return
        rate_requested = held.rate_exhausted
        await self._acquire(owner, [held])
        held.refused_at = now if rate_requested or self._needs_share(held) else None

    def try_acquire(
        self, organisation: Organisation, tokens: int, size: SizeClass
    ) -> LimitLease | LimitExceeded:
        """Acquire a lease for one request of `tokens` prompt and output tokens."""
        lease = LimitLease(organisation.name, size, tokens)
        if organisation.limits == Limits():
            return lease
        held, now = self._ensure_held(organisation), self._clock.monotonic()
        held.last_used = now
        held.demand_requests += 1
        held.demand_tokens += tokens
        share = self._current_share(held, now)
        if size is SizeClass.LONG and share.longs is not None and held.running_long >= share.longs:
            return LimitExceeded("concurrent long requests", SHARE_REQUEST_INTERVAL)
        for name, rate, bucket in (
            ("requests per second", share.requests_per_second, held.requests),
            ("tokens per second", share.tokens_per_second, held.tokens),
        ):
            if rate is not None:
                bucket.refill(rate, now)
                # A request larger than the burst passes when the bucket is full and overdraws it.
                needed = min(1.0 if bucket is held.requests else float(tokens), _burst(rate))
                if bucket.level < needed:
                    held.rate_exhausted = True
                    return LimitExceeded(name, _refill_time(needed - bucket.level, rate))
        held.requests.level -= 1.0
        held.tokens.level -= tokens
        held.running_long += size is SizeClass.LONG
        return lease

    def release_lease(self, lease: LimitLease) -> None:
        """Release the lease of a request that has ended."""
        held = self._held.get(lease.organisation)
        if held is not None and lease.size is SizeClass.LONG:
            held.running_long = max(0, held.running_long - 1)

    async def serve(self, request: LimitRequest) -> LimitGrant:
        """Handle the share request of another entry instance; see `grant`."""
        return self.grant(request)

    def grant(self, request: LimitRequest) -> LimitGrant:
        """Grant shares of the limits of the requested organisations.

        The owner in each region divides a part of the limit, which is the region's fraction of the
        live members.
        """
        now = self._clock.monotonic()
        members = self._region_members()
        fraction = len(members) / max(1, len(self._members.alive()))
        shares = []
        for demand in request.demands:
            organisation = self._organisation(demand.organisation)
            if organisation is None:
                continue
            owned = self._owned.setdefault(demand.organisation, OwnedLimit())
            limits = _scale_limits(organisation.limits, fraction)
            shares.append(owned.grant(request.node_id, demand, limits, len(members), now))
        return LimitGrant(shares)

    async def _acquire(self, owner: Member, items: list[_HeldLimit]) -> None:
        now = self._clock.monotonic()
        request = LimitRequest(self._own.node_id, [_demand(held, now) for held in items])
        for held in items:
            held.rate_exhausted = False
        if owner.node_id == self._own.node_id:
            grant: LimitGrant | LimitOwnerUnreachable = self.grant(request)
        else:
            grant = await self._port.acquire(owner, request)
        if isinstance(grant, LimitOwnerUnreachable):
            return
        for share in grant.shares:
            held_limit = self._held.get(share.organisation)
            if held_limit is not None:
                held_limit.share = share
                held_limit.expires = now + share.lifetime

    def _current_share(self, held: _HeldLimit, now: timedelta) -> LimitShare:
        """Return the valid share, or else the limit divided by the number of live members."""
        if held.share is not None and held.expires > now:
            return held.share
        limits, members = held.organisation.limits, max(1, len(self._members.alive()))
        return LimitShare(
            held.organisation.name,
            _divide(limits.requests_per_second, members),
            _divide(limits.tokens_per_second, members),
            None if limits.concurrent_long is None else limits.concurrent_long // members,
            SHARE_LIFETIME,
        )

    def _needs_share(self, held: _HeldLimit) -> bool:
        if held.rate_exhausted or held.share is None or held.expires <= self._clock.monotonic():
            return True
        longs = held.share.longs
        return longs is not None and held.running_long + held.waiting_long > longs

    def _ensure_held(self, organisation: Organisation) -> _HeldLimit:
        now = self._clock.monotonic()
        held = self._held.get(organisation.name)
        if held is None:
            members = max(1, len(self._members.alive()))
            limits = organisation.limits
            # A new holder starts with an equal share of one burst, not with the whole burst.
            held = _HeldLimit(
                organisation,
                _Bucket(_initial_level(limits.requests_per_second, members), now),
                _Bucket(_initial_level(limits.tokens_per_second, members), now),
                last_used=now,
                demand_since=now,
            )
            self._held[organisation.name] = held
        held.organisation = organisation
        return held

    def _remove_idle(self, now: timedelta) -> None:
        self._held = {
            name: held
            for name, held in self._held.items()
            if held.running_long or now - held.last_used < IDLE_TIMEOUT
        }

    def _owner(self, organisation: str) -> Member | None:
        owner = owner_of(f"organisation/{organisation}", self._region_members())
        return None if isinstance(owner, NoOwner) else owner

    def _region_members(self) -> list[Member]:
        return [item for item in self._members.alive() if item.region == self._own.region]


def _demand(held: _HeldLimit, now: timedelta) -> LimitDemand:
    """Return the demand since the last share request and reset the counters."""
    seconds = max(1.0, (now - held.demand_since).total_seconds())
    demand = LimitDemand(
        held.organisation.name,
        held.demand_requests / seconds,
        held.demand_tokens / seconds,
        held.running_long + held.waiting_long,
    )
    held.demand_since, held.demand_requests, held.demand_tokens = now, 0, 0
    return demand


def _scale_limits(limits: Limits, fraction: float) -> Limits:
    return Limits(
        requests_per_second=_divide(limits.requests_per_second, 1 / fraction),
        tokens_per_second=_divide(limits.tokens_per_second, 1 / fraction),
        concurrent_long=(
            None if limits.concurrent_long is None else round(limits.concurrent_long * fraction)
        ),
    )


def _divide(limit: float | None, divisor: float) -> float | None:
    return None if limit is None else limit / divisor


def _burst(rate: float) -> float:
    return max(1.0, rate * BURST_PERIOD.total_seconds())


def _initial_level(limit: float | None, members: int) -> float:
    return 0.0 if limit is None else _burst(limit / members)


def _refill_time(missing: float, rate: float) -> timedelta:
    return min(timedelta(seconds=missing / rate), SHARE_LIFETIME) if rate > 0 else SHARE_LIFETIME
