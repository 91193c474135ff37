"""The holder's side of credits: capacity that this entry instance may use."""

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
    LONGEST_SHORTAGE_INTERVAL,
    MAINTENANCE_INTERVAL,
    MAX_CLAIMS,
    MAX_SHORTAGES,
    RENEW_BEFORE,
    SHORTAGE_INTERVAL,
    STOP_TIMEOUT,
)
from wasabiwell_entry.coordination.credits.errors import CreditRefused, OwnerUnreachable
from wasabiwell_entry.coordination.credits.fallback import fallback_amount
from wasabiwell_entry.coordination.credits.owner import CreditOwner
from wasabiwell_entry.coordination.credits.owners import EngineOwners
from wasabiwell_entry.coordination.credits.ports import (
    ClaimAnswer,
    CreditGranted,
    CreditPeers,
    CreditReturn,
)
from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.coordination.reservations.errors import Reserved
from wasabiwell_entry.coordination.reservations.ports import ReservationPort
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
    """One owner and the task that sends it claims."""

    owner: Member
    wake: trio.Event = field(default_factory=trio.Event)
    unreachable_since: timedelta | None = None
    fallen_back: bool = False
    shortages: int = 0

    def pause(self) -> timedelta:
        """Return the time until the next message; it doubles while the owner is short."""
        if self.shortages == 0:
            return CLAIM_INTERVAL
        return min(LONGEST_SHORTAGE_INTERVAL, SHORTAGE_INTERVAL * (1 << (self.shortages - 1)))


class CreditHolder:
    """Holds credit of engines and spends it without messages; implements `CapacityPort`.

    `holder_id` is unique to this run of the entry instance, because sequences start anew with it.
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
        self._reservations = EngineReservations(reservations, clock)
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
        """Return the id under which owners know this run of the entry instance."""
        return self._holder_id

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold capacity at hand; an engine that this entry instance owns is asked in place."""
        pool = self._pool(target_id)
        amount = _amount(tokens, size)
        hold_id = next(self._hold_ids)
        now = self._clock.monotonic()
        if pool.take(hold_id, amount, now):
            return Hold(hold_id, target_id, tokens)
        owner = self._owners.owner(target_id)
        if self._owners.is_own(owner):
            pool.record_demand(amount, self._capacity(target_id))
            self._claim_own([pool])
        elif isinstance(owner, NoOwner):
            pool.record_demand(amount, self._capacity(target_id))
            self._fall_back(pool)
        if pool.take(hold_id, amount, now):
            return Hold(hold_id, target_id, tokens)
        return NoCapacity(f"no credit of engine {target_id} is at hand")

    def request(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Note unmet demand of one request; the next message to the owner includes it."""
        pool = self._pool(target_id)
        pool.record_demand(_amount(tokens, size), self._capacity(target_id))
        owner = self._owners.owner(target_id)
        if isinstance(owner, Member) and owner.node_id in self._links:
            self._links[owner.node_id].wake.set()
        else:
            self._wake.set()

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold credit and engine memory of several engines, or nothing.

        Engines are taken in ascending order of id, and nothing is waited for while a part is
        held, so that two prompts cannot wait for each other.
        """
        held: list[Hold] = []
        try:
            for target_id, tokens in sorted(parts):
                hold = await self._hold_part(target_id, tokens, size)
                if isinstance(hold, NoCapacity):
                    self._release(held)
                    return hold
                held.append(hold)
        except BaseException:
            self._release(held)
            raise
        return tuple(held)

    def release(self, hold: Hold) -> None:
        """Give a hold back; its memory at the engine is returned in the background."""
        if not self._pool(hold.target_id).give_back(hold.hold_id):
            return
        self._reservations.give_back(hold.reservation_id)
        self._notify()

    def on_change(self, observer: Callable[[], None]) -> None:
        """Call an observer whenever capacity may have become available."""
        self._observers.append(observer)

    def credits(self) -> list[tuple[str, Amount]]:
        """Return the valid credit of each engine of which any is held."""
        now = self._clock.monotonic()
        valid = [(pool.engine_id, pool.valid(now)) for pool in self._pools.values()]
        return [(engine_id, amount) for engine_id, amount in valid if amount != ZERO_AMOUNT]

    def outstanding(self, engine_ids: Sequence[str]) -> list[CreditClaim]:
        """Return the credit and use of engines, for their new owner."""
        now = self._clock.monotonic()
        return [
            self._pools[engine_id].outstanding(now)
            for engine_id in engine_ids
            if engine_id in self._pools
        ]

    async def run(self) -> None:
        """Keep credit in step with demand until cancelled, then give all of it back."""
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
                await self._return_credit()

    def _maintain(self, nursery: trio.Nursery) -> None:
        self._owners.refresh()
        now = self._clock.monotonic()
        if now >= self._window_end:
            self._window_end = now + IDLE_WINDOW
            for pool in self._pools.values():
                pool.rotate_window()
        own: list[CreditPool] = []
        for pool in list(self._pools.values()):
            match self._owners.owner(pool.engine_id):
                case NoOwner():
                    self._forget(pool)
                case owner if self._owners.is_own(owner):
                    own.append(pool)
                case owner:
                    self._wake_link(owner, pool, nursery)
        self._claim_own([pool for pool in own if pool.amount != ZERO_AMOUNT or pool.wanted().slots])

    def _forget(self, pool: CreditPool) -> None:
        if self._targets.get(pool.engine_id) is None and not pool.open_holds:
            del self._pools[pool.engine_id]

    def _wake_link(self, owner: Member, pool: CreditPool, nursery: trio.Nursery) -> None:
        if not self._due(pool):
            return
        link = self._links.get(owner.node_id)
        if link is None or link.owner != owner:
            link = _OwnerLink(owner)
            self._links[owner.node_id] = link
            nursery.start_soon(self._serve_link, link)
        link.wake.set()

    async def _serve_link(self, link: _OwnerLink) -> None:
        """Send claims to one owner until it owns no engine that is in use here."""
        while self._links.get(link.owner.node_id) is link:
            pools = self._pools_of(link.owner)
            if not pools:
                break
            due = [pool for pool in pools if self._due(pool)]
            if due:
                # Renewing the others too costs little in a message that is sent anyway.
                others = [
                    pool for pool in pools if pool not in due and pool.wanted() != ZERO_AMOUNT
                ]
                await self._exchange(link, [*due, *others][:MAX_CLAIMS])
            else:
                await link.wake.wait()
                link.wake = trio.Event()
        if self._links.get(link.owner.node_id) is link:
            del self._links[link.owner.node_id]

    def _pools_of(self, owner: Member) -> list[CreditPool]:
        return [
            pool
            for pool in self._pools.values()
            if (found := self._owners.owner(pool.engine_id)) == owner
            and not self._owners.is_own(found)
        ]

    def _due(self, pool: CreditPool) -> bool:
        """Return whether the owner must hear of a pool: demand, renewal, or a return."""
        now = self._clock.monotonic()
        wanted, valid = pool.wanted(), pool.valid(now)
        if pool.unmet_demand != ZERO_AMOUNT or not wanted.covers(valid):
            return True
        return wanted != ZERO_AMOUNT and pool.expires - now < RENEW_BEFORE

    async def _exchange(self, link: _OwnerLink, pools: list[CreditPool]) -> None:
        now = self._clock.monotonic()
        unused = [pool for pool in pools if pool.wanted() == ZERO_AMOUNT]
        if unused:
            await self._peers.release(link.owner, [self._return_of(pool) for pool in unused])
        wanted = {pool.engine_id: pool for pool in pools if pool.wanted() != ZERO_AMOUNT}
        if not wanted:
            return
        claims = [pool.claim(now) for pool in wanted.values()]
        answers = await self._peers.acquire(link.owner, claims)
        if isinstance(answers, OwnerUnreachable):
            self._fall_back_from(link, claims, answers.reason)
            complete = False
        else:
            link.unreachable_since = None
            link.fallen_back = False
            complete = self._take_over(claims, answers)
        link.shortages = 0 if complete else min(link.shortages + 1, MAX_SHORTAGES)
        self._notify()
        await self._clock.sleep(link.pause())

    def _take_over(self, claims: Sequence[CreditClaim], answers: Sequence[ClaimAnswer]) -> bool:
        """Take over the answers to claims; return whether all claims were granted in full."""
        wanted = {claim.engine_id: claim.wanted for claim in claims}
        complete = True
        for answer in answers:
            match answer:
                case CreditGranted(engine_id=engine_id, sequence=sequence, amount=amount):
                    pool = self._pools.get(engine_id)
                    if pool is not None:
                        pool.granted(sequence, amount)
                    complete = complete and amount.covers(wanted[engine_id])
                case CreditRefused():
                    complete = False
        return complete

    def _claim_own(self, pools: list[CreditPool]) -> None:
        now = self._clock.monotonic()
        claims = [pool.claim(now) for pool in pools]
        self._take_over(claims, self._owner.answer(claims))

    def _fall_back_from(self, link: _OwnerLink, claims: Sequence[CreditClaim], reason: str) -> None:
        """Use the fallback when an owner has not answered for a credit's lifetime.

        By then its own credits to others have expired, so the engine's report shows all use.
        """
        now = self._clock.monotonic()
        if link.unreachable_since is None:
            link.unreachable_since = now
        if now - link.unreachable_since < CREDIT_LIFETIME:
            return
        if not link.fallen_back:
            link.fallen_back = True
            log_events.emit(
                log_events.CREDIT_OWNER_UNREACHABLE, owner=link.owner.node_id, reason=reason
            )
        for claim in claims:
            self._fall_back(self._pool(claim.engine_id), claim.wanted - claim.used)

    def _fall_back(self, pool: CreditPool, demand: Amount | None = None) -> None:
        """Use a share of what the engine reports as free, because no owner can be asked."""
        status = self._targets.get(pool.engine_id)
        load = status.load if status is not None else None
        now = self._clock.monotonic()
        if load is None or now - load.reported > CREDIT_LIFETIME:
            return
        members = 1 + len(self._owners.others())
        extra = fallback_amount(load, members, demand or pool.unmet_demand)
        pool.unmet_demand = ZERO_AMOUNT
        pool.assume(pool.used + extra, now)

    async def _hold_part(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        status = self._targets.get(target_id)
        if status is None:
            return NoCapacity(f"engine {target_id} is not known")
        hold = self.try_hold(target_id, tokens, size)
        if isinstance(hold, NoCapacity):
            await self._ask_now(target_id, tokens, size)
            hold = self.try_hold(target_id, tokens, size)
        if isinstance(hold, NoCapacity):
            return hold
        outcome = await self._reservations.reserve(status.target, self._holder_id, tokens)
        if not isinstance(outcome, Reserved):
            self.release(hold)
            return NoCapacity(outcome.reason)
        return replace(hold, reservation_id=outcome.reservation_id)

    async def _ask_now(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Ask the owner for one request's capacity and wait for its answer."""
        owner = self._owners.owner(target_id)
        if isinstance(owner, NoOwner) or self._owners.is_own(owner):
            return
        pool = self._pool(target_id)
        pool.record_demand(_amount(tokens, size), self._capacity(target_id))
        claim = pool.claim(self._clock.monotonic())
        answers = await self._peers.acquire(owner, [claim])
        if not isinstance(answers, OwnerUnreachable):
            self._take_over([claim], answers)

    def _release(self, holds: Sequence[Hold]) -> None:
        for hold in holds:
            self.release(hold)

    async def settle_reservations(self) -> None:
        """Return the engine memory of released holds and renew that of open ones."""
        await self._reservations.settle()

    async def _return_credit(self) -> None:
        for pool in list(self._pools.values()):
            owner = self._owners.owner(pool.engine_id)
            if isinstance(owner, NoOwner) or pool.amount == ZERO_AMOUNT:
                continue
            if self._owners.is_own(owner):
                self._owner.accept_returns([self._return_of(pool)])
            else:
                await self._peers.release(owner, [self._return_of(pool)])

    def _return_of(self, pool: CreditPool) -> CreditReturn:
        return CreditReturn(pool.engine_id, self._holder_id, pool.release_all())

    def _pool(self, engine_id: str) -> CreditPool:
        pool = self._pools.get(engine_id)
        if pool is None:
            pool = CreditPool(engine_id, self._holder_id, CREDIT_LIFETIME)
            self._pools[engine_id] = pool
        return pool

    def _capacity(self, engine_id: str) -> Amount:
        """Return the whole capacity of an engine, as it was reported last."""
        status = self._targets.get(engine_id)
        if status is None or status.load is None:
            return ZERO_AMOUNT
        return engine_capacity(status.load.slots, status.load.total_tokens)

    def _notify(self) -> None:
        for pool in self._pools.values():
            pool.discard_repeated_demand()
        for observer in self._observers:
            observer()


def _amount(tokens: int, size: SizeClass) -> Amount:
    return Amount(1, tokens, tokens if size is SizeClass.LONG else 0)
