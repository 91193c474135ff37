"""Owner side of credits: leases out the capacity of owned engines."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.credits.const import (
    COLLECT_CONCURRENCY,
    CREDIT_LIFETIME,
    MAINTENANCE_INTERVAL,
    OWNERSHIP_SCAN_INTERVAL,
    REPORT_LAG,
)
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable, CreditRefused
from wasabiwell_entry.coordination.credits.owners import EngineOwners
from wasabiwell_entry.coordination.credits.ports import (
    ClaimResponse,
    CreditGranted,
    CreditPeers,
    CreditReturn,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.credits import (
    ZERO_AMOUNT,
    Amount,
    CreditClaim,
    CreditLedger,
    engine_capacity,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.targets import EngineLoad, TargetTable


@dataclass(slots=True)
class _OwnedEngine:
    """Ledger of an owned engine.

    Until `ready_at`, credits that the previous owner granted may still be valid.
    """

    ledger: CreditLedger
    ready_at: timedelta
    collected: bool = False


@dataclass(slots=True)
class _CollectedClaims:
    """Claims that the other members reported; `complete` is set if all of them responded."""

    claims: list[CreditClaim] = field(default_factory=list)
    complete: bool = True


class CreditOwner:
    """Answers the claims of all holders, including this entry instance."""

    __slots__ = (
        "_clock",
        "_engines",
        "_next_ownership_scan",
        "_observers",
        "_owners",
        "_peers",
        "_targets",
        "_wake",
    )

    def __init__(
        self, owners: EngineOwners, targets: TargetTable, peers: CreditPeers, clock: Clock
    ) -> None:
        self._owners = owners
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._engines: dict[str, _OwnedEngine] = {}
        self._observers: list[Callable[[], None]] = []
        self._wake = trio.Event()
        self._next_ownership_scan = clock.monotonic()

    def on_change(self, observer: Callable[[], None]) -> None:
        """Register an observer, called when capacity of an owned engine may be available."""
        self._observers.append(observer)

    def process_claims(self, claims: Sequence[CreditClaim]) -> list[ClaimResponse]:
        """Grant or refuse the claims of one holder."""
        return [self._process_claim(claim) for claim in claims]

    def accept_returns(self, returns: Sequence[CreditReturn]) -> None:
        """Remove credits that a holder releases."""
        for item in returns:
            engine = self._engines.get(item.engine_id)
            if engine is not None:
                engine.ledger.release(item.holder, item.sequence)
        self._notify()

    async def run(self) -> None:
        """Collect outstanding credits of newly owned engines until cancelled."""
        while True:
            self.refresh()
            await self.collect()
            self._notify()
            with trio.move_on_after(MAINTENANCE_INTERVAL.total_seconds()):
                await self._wake.wait()
            self._wake = trio.Event()

    def refresh(self) -> None:
        """Apply ownership changes; an engine that is owned again gets a new ledger."""
        self._owners.refresh()
        for engine_id in list(self._engines):
            if not self._owners.is_own(self._owners.owner(engine_id)):
                del self._engines[engine_id]
        now = self._clock.monotonic()
        if now >= self._next_ownership_scan:
            self._next_ownership_scan = now + OWNERSHIP_SCAN_INTERVAL
            for engine_id in self._owners.own_engines():
                self._ensure_engine(engine_id)

    def outstanding(self, engine_id: str) -> Amount:
        """Return the total unexpired credit of an owned engine."""
        engine = self._engines.get(engine_id)
        if engine is None:
            return ZERO_AMOUNT
        engine.ledger.expire(self._clock.monotonic())
        return engine.ledger.outstanding()

    def _process_claim(self, claim: CreditClaim) -> ClaimResponse:
        if not self._owners.is_own(self._owners.owner(claim.engine_id)):
            return CreditRefused(claim.engine_id, "another entry instance owns the engine")
        status = self._targets.get(claim.engine_id)
        if status is None or status.load is None:
            return CreditRefused(claim.engine_id, "the engine has not reported its load")
        engine = self._ensure_engine(claim.engine_id)
        engine.ledger.report(*_load_amounts(status.load))
        now = self._clock.monotonic()
        if status.leaving or now < engine.ready_at:
            credit = engine.ledger.recover(claim, now)
        else:
            credit = engine.ledger.apply(claim, now)
        return CreditGranted(claim.engine_id, credit.credit_id, credit.amount)

    def _ensure_engine(self, engine_id: str) -> _OwnedEngine:
        engine = self._engines.get(engine_id)
        if engine is None:
            engine = _OwnedEngine(
                CreditLedger(engine_id, CREDIT_LIFETIME + REPORT_LAG),
                self._clock.monotonic() + CREDIT_LIFETIME,
            )
            self._engines[engine_id] = engine
            self._wake.set()
        return engine

    async def collect(self) -> None:
        """Query the other members for credits of newly owned engines.

        The credits of a member that does not respond may be valid for one more lifetime, during
        which the owner only renews credits and grants no new capacity.
        """
        pending = [key for key, engine in self._engines.items() if not engine.collected]
        if not pending:
            return
        collection = await self._collect_from_members(pending)
        now = self._clock.monotonic()
        for claim in collection.claims:
            engine = self._engines.get(claim.engine_id)
            if engine is not None:
                engine.ledger.record(claim, now)
        for engine_id in pending:
            engine = self._engines.get(engine_id)
            if engine is not None:
                engine.collected = True
                if collection.complete:
                    engine.ready_at = now

    async def _collect_from_members(self, engine_ids: list[str]) -> _CollectedClaims:
        collection = _CollectedClaims()
        limiter = trio.CapacityLimiter(COLLECT_CONCURRENCY)
        async with trio.open_nursery() as nursery:
            for member in self._owners.other_members():
                nursery.start_soon(
                    self._collect_from_member, member, engine_ids, collection, limiter
                )
        return collection

    async def _collect_from_member(
        self,
        member: Member,
        engine_ids: list[str],
        collection: _CollectedClaims,
        limiter: trio.CapacityLimiter,
    ) -> None:
        async with limiter:
            match await self._peers.outstanding(member, engine_ids):
                case CreditOwnerUnreachable():
                    collection.complete = False
                case claims:
                    collection.claims += claims

    def _notify(self) -> None:
        for observer in self._observers:
            observer()


def _load_amounts(load: EngineLoad) -> tuple[Amount, Amount]:
    """Return capacity and usage from a load report, which does not break out long prompts."""
    used = Amount(load.running + load.queued, load.total_tokens - load.free_tokens)
    return engine_capacity(load.slots, load.total_tokens), used
