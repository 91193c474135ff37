"""Hypothesis state machine for reservations on several engines."""

from collections.abc import Sequence
from datetime import timedelta

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from wasabiwell_entry.coordination.admission.ports import Hold, NoCapacity
from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner, EngineOwners
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable
from wasabiwell_entry.coordination.credits.ports import ClaimResponse, CreditReturn
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.credits import LONG_MEMORY_SHARE, CreditClaim
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import EngineLoad, Target, TargetKind, TargetTable

TOKENS = 1_000
LONG_TOKENS = int(TOKENS * LONG_MEMORY_SHARE)
RESERVATION_TTL = timedelta(seconds=30)
ENGINES = ("e-0", "e-1", "e-2")
NODES = st.sampled_from((0, 1))
PARTS = st.lists(
    st.tuples(st.sampled_from(ENGINES), st.sampled_from((200, 350, 700))),
    min_size=1,
    max_size=3,
    unique_by=lambda part: part[0],
)


class FakeMemory:
    """Memory of all engines; reservations that are not released expire."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.held: dict[str, tuple[str, str, int, timedelta]] = {}
        self.calls = 0
        self.refuse_call = 0

    def used(self, engine: str) -> int:
        """Return the reserved memory of an engine."""
        now = self.clock.monotonic()
        self.held = {key: item for key, item in self.held.items() if now < item[3]}
        return sum(item[2] for item in self.held.values() if item[0] == engine)

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory; refuse if it is used up or at call number `refuse_call`."""
        self.calls += 1
        self.refuse_call -= 1
        await trio.lowlevel.checkpoint()
        if self.refuse_call == 0 or self.used(target.target_id) + tokens > TOKENS:
            return ReservationRefused("refused")
        expires = self.clock.monotonic() + RESERVATION_TTL
        self.held[str(self.calls)] = (target.target_id, owner, tokens, expires)
        return Reserved(str(self.calls))

    async def renew(self, target: Target, reservation_id: str) -> None:
        """Restart the lifetime of a reservation unless it has expired."""
        await trio.lowlevel.checkpoint()
        self.used(target.target_id)
        item = self.held.get(reservation_id)
        if item is not None:
            expires = self.clock.monotonic() + RESERVATION_TTL
            self.held[reservation_id] = (*item[:3], expires)

    async def release(self, target: Target, reservation_id: str) -> None:
        """Release memory."""
        await trio.lowlevel.checkpoint()
        self.held.pop(reservation_id, None)


class DirectPeers:
    """Calls owners directly instead of sending messages, which or whose responses may be lost."""

    def __init__(self, owners: dict[str, CreditOwner]) -> None:
        self.owners = owners
        self.lose_request = False
        self.lose_response = False
        self.cancel: trio.CancelScope | None = None

    async def acquire(
        self, owner: Member, claims: Sequence[CreditClaim]
    ) -> list[ClaimResponse] | CreditOwnerUnreachable:
        """Deliver claims; the caller may be cancelled while it waits for the response."""
        if self.lose_request:
            return CreditOwnerUnreachable("lost")
        responses = self.owners[owner.node_id].process_claims(claims)
        if self.cancel is not None:
            self.cancel.cancel()
        await trio.lowlevel.checkpoint()
        return CreditOwnerUnreachable("lost") if self.lose_response else responses

    async def release(
        self, owner: Member, returns: Sequence[CreditReturn]
    ) -> CreditOwnerUnreachable | None:
        """Deliver released credits."""
        self.owners[owner.node_id].accept_returns(returns)
        return None

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | CreditOwnerUnreachable:
        """Report no outstanding credits, as ownership never changes here."""
        return []


class ReservationMachine(RuleBasedStateMachine):
    """Two entry instances reserve memory for prompts that span several engines."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.memory = FakeMemory(self.clock)
        self.targets, self.members = TargetTable(), MemberTable()
        for name in ENGINES:
            self.targets.put(Target(name, TargetKind.ENGINE, "s", "", "r", "z"))
        for node in range(2):
            self.members.put(Member(f"n-{node}", 1, "r", "z", "", ""))
        self.credit_owners: dict[str, CreditOwner] = {}
        self.peers = DirectPeers(self.credit_owners)
        self.restarts = 0
        self.expired = False
        self.holders: list[CreditHolder] = []
        self.open: list[tuple[int, tuple[Hold, ...]]] = []
        for node, member in enumerate(self.members):
            owners = EngineOwners(member, self.members, self.targets)
            self.credit_owners[member.node_id] = CreditOwner(
                owners, self.targets, self.peers, self.clock
            )
            self.holders.append(self._holder(node))
        self.report()
        for credit_owner in self.credit_owners.values():
            credit_owner.refresh()
            trio.run(credit_owner.collect)

    def _holder(self, node: int) -> CreditHolder:
        member = self.members.get(f"n-{node}")
        assert member is not None
        return CreditHolder(
            f"n-{node}/{self.restarts}",
            EngineOwners(member, self.members, self.targets),
            self.credit_owners[member.node_id],
            self.peers,
            self.targets,
            self.memory,
            self.clock,
        )

    @rule(
        node=NODES,
        parts=PARTS,
        refuse=st.integers(0, 3),
        lose=st.sampled_from(("nothing", "request", "answer")),
        cancel=st.booleans(),
    )
    def hold_all(
        self, node: int, parts: list[tuple[str, int]], refuse: int, lose: str, cancel: bool
    ) -> None:
        """Hold several engines, with refusals, message loss and cancellation."""
        self.memory.refuse_call = refuse
        self.peers.lose_request, self.peers.lose_response = lose == "request", lose == "answer"

        async def hold() -> tuple[Hold, ...] | NoCapacity | None:
            with trio.CancelScope() as scope:
                self.peers.cancel = scope if cancel else None
                return await self.holders[node].hold_all(parts, SizeClass.LONG)
            return None

        outcome = trio.run(hold)
        if isinstance(outcome, tuple):
            names = [item.target_id for item in outcome]
            assert names == sorted(name for name, _ in parts)
            self.open.append((node, outcome))
        self.settle(node)

    @precondition(lambda self: self.open)
    @rule(pick=st.integers(0, 9))
    def release(self, pick: int) -> None:
        """End a request."""
        node, holds = self.open.pop(pick % len(self.open))
        for hold in holds:
            self.holders[node].release(hold)
        self.settle(node)

    @rule(node=NODES)
    def crash(self, node: int) -> None:
        """Replace an entry instance; the old one releases none of its reservations."""
        self.restarts += 1
        self.open = [item for item in self.open if item[0] != node]
        self.holders[node] = self._holder(node)

    @rule(seconds=st.sampled_from((1, 5, 25, 31)))
    def advance(self, seconds: int) -> None:
        """Advance the clock with renewals, or pause for longer than a reservation's lifetime."""
        pauses = seconds > RESERVATION_TTL.total_seconds()
        for _ in range(1 if pauses else seconds):
            self.clock.advance(timedelta(seconds=seconds if pauses else 1))
            for node in range(2):
                self.settle(node)
        self.expired = self.expired or pauses
        self.report()

    def settle(self, node: int) -> None:
        """Make an entry instance release the memory of released holds."""
        trio.run(self.holders[node].process_reservations)

    @invariant()
    def engines_hold_exactly_the_open_reservations(self) -> None:
        """Check that live reservations match the open holds, apart from those of crashed holders.

        After a pause longer than the lifetime, reservations of open holds may be missing.
        """
        for engine in ENGINES:
            self.memory.used(engine)
        crashed = {
            key
            for key, item in self.memory.held.items()
            if item[1] not in {f"n-{node}/{self._incarnation(node)}" for node in range(2)}
        }
        wanted = {hold.reservation_id for _, holds in self.open for hold in holds}
        live = set(self.memory.held) - crashed
        assert live <= wanted, (self.memory.held, wanted)
        assert self.expired or live == wanted, (self.memory.held, wanted)

    @invariant()
    def long_prompts_leave_headroom(self) -> None:
        """Check that long prompts of live instances stay within their memory share."""
        for engine in ENGINES:
            held = sum(
                hold.tokens
                for _, holds in self.open
                for hold in holds
                if hold.target_id == engine and hold.reservation_id in self.memory.held
            )
            assert held <= LONG_TOKENS, (engine, held)

    def teardown(self) -> None:
        """Release all holds and check that all memory is free again."""
        for node, holds in self.open:
            for hold in holds:
                self.holders[node].release(hold)
                self.holders[node].release(hold)
        for node in range(2):
            self.settle(node)
        self.clock.advance(RESERVATION_TTL)
        for engine in ENGINES:
            assert self.memory.used(engine) == 0
            for holder in self.holders:
                assert all(claim.used.tokens == 0 for claim in holder.outstanding([engine]))

    def _incarnation(self, node: int) -> str:
        return self.holders[node].holder_id.rpartition("/")[2]

    def report(self) -> None:
        """Update the load reports of all engines."""
        now = self.clock.monotonic()
        for status in self.targets:
            free = TOKENS - self.memory.used(status.target.target_id)
            status.load = EngineLoad(now, 8, 0, 0, TOKENS, free)
