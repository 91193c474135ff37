"""Holder side of credits: engine capacity leased to this entry instance."""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.admission.ports import Hold, NoCapacity
from wasabiwell_entry.coordination.credits.const import (
    CLAIM_INTERVAL,
    CREDIT_LIFETIME,
    IDLE_WINDOW,
    MAINTENANCE_INTERVAL,
    MAX_CLAIMS_PER_MESSAGE,
    MAX_CONSECUTIVE_SHORTAGES,
    MAX_SHORTAGE_BACKOFF,
    RENEW_BEFORE,
    SHORTAGE_BACKOFF,
    STOP_TIMEOUT,
)
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable, CreditRefused
from wasabiwell_entry.coordination.credits.fallback import fallback_amount
from wasabiwell_entry.coordination.credits.owner import CreditOwner
from wasabiwell_entry.coordination.credits.owners import EngineOwners
from wasabiwell_entry.coordination.credits.ports import (
    ClaimResponse,
    CreditGranted,
    CreditPeers,
    CreditReturn,
)
from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.coordination.reservations.errors import Reserved
from wasabiwell_entry.coordination.reservations.ports import ReservationPort
from wasabiwell_entry.coordination.supervision import Supervisor
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.credits import (
    ZERO_AMOUNT,
    Amount,
    CreditClaim,
    CreditPool,
    engine_capacity,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import TargetTable


@dataclass(slots=True)
class _OwnerLink:
    """State of the task that sends claims to one owner."""

    owner: Member
    wake: trio.Event = field(default_factory=trio.Event)
    unreachable_since: timedelta | None = None
    using_fallback: bool = False
    consecutive_shortages: int = 0

    def backoff(self) -> timedelta:
        """Return the delay before the next message, doubled with each shortage."""
        if self.consecutive_shortages == 0:
            return CLAIM_INTERVAL
        return min(MAX_SHORTAGE_BACKOFF, SHORTAGE_BACKOFF * (1 << (self.consecutive_shortages - 1)))


class CreditHolder:
    """Allocates leased engine capacity to requests without messages; implements `CapacityPort`.

    `holder_id` is unique to this run of the entry instance, because sequence numbers restart with
    each run.
    """

    __slots__ = (
        "_clock",
        "_hold_ids",
        "_holder_id",
        "_links",
        "_observers",
        "_owner",
        "_owners",
        "_peers",
        "_pools",
        "_reservations",
        "_targets",
        "_wake",
        "_window_end",
    )

    def __init__(
        self,
        holder_id: str,
        owners: EngineOwners,
        owner: CreditOwner,
        peers: CreditPeers,
        targets: TargetTable,
        reservations: ReservationPort,
        clock: Clock,
    ) -> None:
        self._holder_id = holder_id
        self._owners = owners
        self._owner = owner
        self._peers = peers
        self._targets = targets
        self._reservations = EngineReservations(reservations, Supervisor(clock), clock)
        self._clock = clock
        self._pools: dict[str, CreditPool] = {}
        self._links: dict[str, _OwnerLink] = {}
        self._observers: list[Callable[[], None]] = []
        self._hold_ids = itertools.count(1)
        self._wake = trio.Event()
        self._window_end = clock.monotonic() + IDLE_WINDOW
        owner.on_change(self._notify)

    @property
    def holder_id(self) -> str:
        """Return the id that identifies this run of the entry instance to owners."""
        return self._holder_id

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold locally available capacity.

        For an engine that this entry instance owns, missing credit is claimed by a direct call.
        """
        pool = self._pool(target_id)
        amount = _request_amount(tokens, size)
        hold_id = next(self._hold_ids)
        now = self._clock.monotonic()
        if pool.take(hold_id, amount, now):
            return Hold(hold_id, target_id, tokens)
        owner = self._owners.owner(target_id)
        if self._owners.is_own(owner):
            pool.record_demand(amount, self._reported_capacity(target_id))
            self._claim_locally([pool])
        elif isinstance(owner, NoOwner):
            pool.record_demand(amount, self._reported_capacity(target_id))
            self._use_fallback(pool)
        if pool.take(hold_id, amount, now):
            return Hold(hold_id, target_id, tokens)
        return NoCapacity(f"not enough credit of engine {target_id}")

    def report_demand(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Record the unmet demand of one request, to be included in the next claim."""
        pool = self._pool(target_id)
        pool.record_demand(_request_amount(tokens, size), self._reported_capacity(target_id))
        owner = self._owners.owner(target_id)
        if isinstance(owner, Member) and owner.node_id in self._links:
            self._links[owner.node_id].wake.set()
        else:
            self._wake.set()

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold credit and engine memory of all given engines or of none.

        To avoid deadlocks between two prompts, engines are processed in ascending order of id, and
        capacity is never waited for while another part is held.
        """
        held: list[Hold] = []
        try:
            for target_id, tokens in sorted(parts):
                hold = await self._hold_part(target_id, tokens, size)
                if isinstance(hold, NoCapacity):
                    self._release_all(held)
                    return hold
                held.append(hold)
        except BaseException:
            self._release_all(held)
            raise
        return tuple(held)

    def release(self, hold: Hold) -> None:
        """Release a hold; its memory at the engine is released in the background."""
        if not self._pool(hold.target_id).release_hold(hold.hold_id):
            return
        self._reservations.release(hold.reservation_id)
        self._notify()

    def on_change(self, observer: Callable[[], None]) -> None:
        """Register an observer that is called when capacity may have become available."""
        self._observers.append(observer)

    def credits(self) -> list[tuple[str, Amount]]:
        """Return the ids and valid amounts of all engines for which credit is held."""
        now = self._clock.monotonic()
        valid = [(pool.engine_id, pool.valid(now)) for pool in self._pools.values()]
        return [(engine_id, amount) for engine_id, amount in valid if amount != ZERO_AMOUNT]

    def outstanding(self, engine_ids: Sequence[str]) -> list[CreditClaim]:
        """Return the credit and usage of the given engines, for their new owner."""
        now = self._clock.monotonic()
        return [
            self._pools[engine_id].outstanding(now)
            for engine_id in engine_ids
            if engine_id in self._pools
        ]

    async def run(self) -> None:
        """Adjust credit to demand until cancelled, then release all credit."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._reservations.run)
                while True:
                    self._maintain(nursery)
                    with trio.move_on_after(MAINTENANCE_INTERVAL.total_seconds()):
                        await self._wake.wait()
                    self._wake = trio.Event()
        finally:
            with trio.move_on_after(STOP_TIMEOUT.total_seconds(), shield=True):
                await self._release_all_credit()

    def _maintain(self, nursery: trio.Nursery) -> None:
        self._owners.refresh()
        now = self._clock.monotonic()
        if now >= self._window_end:
            self._window_end = now + IDLE_WINDOW
            for pool in self._pools.values():
                pool.rotate_window()
        locally_owned: list[CreditPool] = []
        for pool in list(self._pools.values()):
            match self._owners.owner(pool.engine_id):
                case NoOwner():
                    self._drop_if_unused(pool)
                case owner if self._owners.is_own(owner):
                    locally_owned.append(pool)
                case owner:
                    self._wake_link(owner, pool, nursery)
        self._claim_locally(
            [pool for pool in locally_owned if pool.amount != ZERO_AMOUNT or pool.wanted().slots]
        )

    def _drop_if_unused(self, pool: CreditPool) -> None:
        if self._targets.get(pool.engine_id) is None and not pool.open_holds:
            del self._pools[pool.engine_id]

    def _wake_link(self, owner: Member, pool: CreditPool, nursery: trio.Nursery) -> None:
        if not self._needs_message(pool):
            return
        link = self._links.get(owner.node_id)
        if link is None or link.owner != owner:
            link = _OwnerLink(owner)
            self._links[owner.node_id] = link
            nursery.start_soon(self._run_link, link)
        link.wake.set()

    async def _run_link(self, link: _OwnerLink) -> None:
        """Send claims to one owner until it owns no engine that this instance uses."""
        while self._links.get(link.owner.node_id) is link:
            pools = self._pools_owned_by(link.owner)
            if not pools:
                break
            pending = [pool for pool in pools if self._needs_message(pool)]
            if pending:
                # The message is sent anyway, so renewing further credits in it costs little.
                others = [
                    pool for pool in pools if pool not in pending and pool.wanted() != ZERO_AMOUNT
                ]
                await self._send_claims(link, [*pending, *others][:MAX_CLAIMS_PER_MESSAGE])
            else:
                await link.wake.wait()
                link.wake = trio.Event()
        if self._links.get(link.owner.node_id) is link:
            del self._links[link.owner.node_id]

    def _pools_owned_by(self, owner: Member) -> list[CreditPool]:
        return [
            pool
            for pool in self._pools.values()
            if (current_owner := self._owners.owner(pool.engine_id)) == owner
            and not self._owners.is_own(current_owner)
        ]

    def _needs_message(self, pool: CreditPool) -> bool:
        """Return whether a pool needs a message to its owner: a claim, renewal or release."""
        now = self._clock.monotonic()
        wanted, valid = pool.wanted(), pool.valid(now)
        if pool.unmet_demand != ZERO_AMOUNT or not wanted.covers(valid):
            return True
        return wanted != ZERO_AMOUNT and pool.expires - now < RENEW_BEFORE

    async def _send_claims(self, link: _OwnerLink, pools: list[CreditPool]) -> None:
        now = self._clock.monotonic()
        unused = [pool for pool in pools if pool.wanted() == ZERO_AMOUNT]
        if unused:
            await self._peers.release(link.owner, [self._make_return(pool) for pool in unused])
        wanted = {pool.engine_id: pool for pool in pools if pool.wanted() != ZERO_AMOUNT}
        if not wanted:
            return
        claims = [pool.claim(now) for pool in wanted.values()]
        responses = await self._peers.acquire(link.owner, claims)
        if isinstance(responses, CreditOwnerUnreachable):
            self._use_fallback_for_owner(link, claims, responses.reason)
            complete = False
        else:
            link.unreachable_since = None
            link.using_fallback = False
            complete = self._apply_responses(claims, responses)
        link.consecutive_shortages = (
            0 if complete else min(link.consecutive_shortages + 1, MAX_CONSECUTIVE_SHORTAGES)
        )
        self._notify()
        await self._clock.sleep(link.backoff())

    def _apply_responses(
        self, claims: Sequence[CreditClaim], responses: Sequence[ClaimResponse]
    ) -> bool:
        """Apply the responses to claims; return whether all claims were granted in full."""
        wanted = {claim.engine_id: claim.wanted for claim in claims}
        complete = True
        for response in responses:
            match response:
                case CreditGranted(engine_id=engine_id, sequence=sequence, amount=amount):
                    pool = self._pools.get(engine_id)
                    if pool is not None:
                        pool.granted(sequence, amount)
                    complete = complete and amount.covers(wanted[engine_id])
                case CreditRefused():
                    complete = False
        return complete

    def _claim_locally(self, pools: list[CreditPool]) -> None:
        now = self._clock.monotonic()
        claims = [pool.claim(now) for pool in pools]
        self._apply_responses(claims, self._owner.process_claims(claims))

    def _use_fallback_for_owner(
        self, link: _OwnerLink, claims: Sequence[CreditClaim], reason: str
    ) -> None:
        """Use the fallback once an owner has not responded for the lifetime of a credit.

        By then the credits it granted to others have expired, so that the engine's load report
        covers all usage.
        """
        now = self._clock.monotonic()
        if link.unreachable_since is None:
            link.unreachable_since = now
        if now - link.unreachable_since < CREDIT_LIFETIME:
            return
        if not link.using_fallback:
            link.using_fallback = True
            log_events.emit(
                log_events.CREDIT_OWNER_UNREACHABLE, owner=link.owner.node_id, reason=reason
            )
        for claim in claims:
            self._use_fallback(self._pool(claim.engine_id), claim.wanted - claim.used)

    def _use_fallback(self, pool: CreditPool, demand: Amount | None = None) -> None:
        """Use a share of the capacity that the engine reports as free, without an owner's grant."""
        status = self._targets.get(pool.engine_id)
        load = status.load if status is not None else None
        now = self._clock.monotonic()
        if load is None or now - load.reported > CREDIT_LIFETIME:
            return
        members = 1 + len(self._owners.other_members())
        extra = fallback_amount(load, members, demand or pool.unmet_demand)
        pool.unmet_demand = ZERO_AMOUNT
        pool.assume(pool.used + extra, now)

    async def _hold_part(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        status = self._targets.get(target_id)
        if status is None:
            return NoCapacity(f"unknown engine {target_id}")
        hold = self.try_hold(target_id, tokens, size)
        if isinstance(hold, NoCapacity):
            await self._claim_now(target_id, tokens, size)
            hold = self.try_hold(target_id, tokens, size)
        if isinstance(hold, NoCapacity):
            return hold
        outcome = await self._reservations.reserve(status.target, self._holder_id, tokens)
        if not isinstance(outcome, Reserved):
            self.release(hold)
            return NoCapacity(outcome.reason)
        return replace(hold, reservation_id=outcome.reservation_id)

    async def _claim_now(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Claim one request's capacity from the owner and wait for the response."""
        owner = self._owners.owner(target_id)
        if isinstance(owner, NoOwner) or self._owners.is_own(owner):
            return
        pool = self._pool(target_id)
        pool.record_demand(_request_amount(tokens, size), self._reported_capacity(target_id))
        claim = pool.claim(self._clock.monotonic())
        responses = await self._peers.acquire(owner, [claim])
        if not isinstance(responses, CreditOwnerUnreachable):
            self._apply_responses([claim], responses)

    def _release_all(self, holds: Sequence[Hold]) -> None:
        for hold in holds:
            self.release(hold)

    async def process_reservations(self) -> None:
        """Release the engine memory of released holds and renew that of open ones."""
        await self._reservations.process_pending()

    async def _release_all_credit(self) -> None:
        for pool in list(self._pools.values()):
            owner = self._owners.owner(pool.engine_id)
            if isinstance(owner, NoOwner) or pool.amount == ZERO_AMOUNT:
                continue
            if self._owners.is_own(owner):
                self._owner.accept_returns([self._make_return(pool)])
            else:
                await self._peers.release(owner, [self._make_return(pool)])

    def _make_return(self, pool: CreditPool) -> CreditReturn:
        return CreditReturn(pool.engine_id, self._holder_id, pool.release_all())

    def _pool(self, engine_id: str) -> CreditPool:
        pool = self._pools.get(engine_id)
        if pool is None:
            pool = CreditPool(engine_id, self._holder_id, CREDIT_LIFETIME)
            self._pools[engine_id] = pool
        return pool

    def _reported_capacity(self, engine_id: str) -> Amount:
        """Return the total capacity of an engine from its last load report."""
        status = self._targets.get(engine_id)
        if status is None or status.load is None:
            return ZERO_AMOUNT
        return engine_capacity(status.load.slots, status.load.total_tokens)

    def _notify(self) -> None:
        for pool in self._pools.values():
            pool.discard_repeated_demand()
        for observer in self._observers:
            observer()


def _request_amount(tokens: int, size: SizeClass) -> Amount:
    return Amount(1, tokens, tokens if size is SizeClass.LONG else 0)
