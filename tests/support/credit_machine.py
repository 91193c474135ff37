"""Hypothesis state machine for credits: real owners and pools with a faulty network."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from wasabiwell_entry.coordination.credits import CreditOwner, EngineOwners
from wasabiwell_entry.coordination.credits.const import CREDIT_LIFETIME, REPORT_LAG
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable
from wasabiwell_entry.coordination.credits.ports import CreditGranted, CreditReturn
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.credits import (
    ZERO_AMOUNT,
    Amount,
    CreditClaim,
    CreditPool,
    engine_capacity,
)
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable
from wasabiwell_entry.state.targets import EngineLoad, Target, TargetKind, TargetTable

SLOTS = 2
TOKENS = 1_000
CAPACITY = engine_capacity(SLOTS, TOKENS)
ENGINE = "e-1"
NAMES = ("n-0", "n-1", "n-2")
NODES = st.sampled_from(range(len(NAMES)))
DELIVERIES = st.sampled_from(("whole", "whole", "lost", "late", "answer late"))
IDLE_MILLISECONDS = 900
PICKS = st.integers(min_value=0, max_value=20)


@dataclass(slots=True)
class Message:
    """A message in flight: a claim or release to an owner, or a grant to a holder."""

    receiver: int
    sender: int
    content: CreditClaim | CreditReturn | CreditGranted


@dataclass(slots=True)
class Network:
    """Responds to the queries of a new owner, except for the nodes in `unreachable`."""

    pools: list[CreditPool]
    clock: ManualClock
    unreachable: set[int] = field(default_factory=set)

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | CreditOwnerUnreachable:
        """Return the outstanding credit of one node."""
        index = NAMES.index(holder.node_id)
        if index in self.unreachable:
            return CreditOwnerUnreachable("lost")
        return [self.pools[index].outstanding(self.clock.monotonic())]


class CreditMachine(RuleBasedStateMachine):
    """Three entry instances share one engine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.clock.advance(timedelta(minutes=1))
        self.members = [Member(name, 1, "r", "z", "", name) for name in NAMES]
        self.views = [MemberTable() for _ in NAMES]
        self.targets = TargetTable()
        self.targets.put(Target(ENGINE, TargetKind.ENGINE, "s", "", "r", "z"))
        self.pools = [CreditPool(ENGINE, name, CREDIT_LIFETIME) for name in NAMES]
        self.network = Network(self.pools, self.clock)
        self.owners = [
            EngineOwners(member, view, self.targets)
            for member, view in zip(self.members, self.views, strict=True)
        ]
        self.credit_owners = [
            CreditOwner(owners, self.targets, self.network, self.clock) for owners in self.owners
        ]
        self.holds: list[tuple[int, int, Amount]] = []
        self.messages: list[Message] = []
        self.next_hold = 0
        self.isolated: int | None = None
        self.departed: int | None = None
        self.split_until = timedelta()
        self._set_views()
        self._report()

    @rule(node=NODES, tokens=st.sampled_from((100, 350, 500)), long=st.booleans())
    def take(self, node: int, tokens: int, long: bool) -> None:
        """Start a request, or record its demand."""
        amount = Amount(1, tokens, tokens if long else 0)
        self.next_hold += 1
        if self.pools[node].take(self.next_hold, amount, self.clock.monotonic()):
            self.holds.append((node, self.next_hold, amount))
        else:
            self.pools[node].record_demand(amount, CAPACITY)

    @rule(
        node=NODES, count=st.integers(1, 2), tokens=st.sampled_from((100, 500)), delivery=DELIVERIES
    )
    def take_and_exchange(self, node: int, count: int, tokens: int, delivery: str) -> None:
        """Start requests and claim credit for those that did not get any."""
        for _ in range(count):
            self.take(node, tokens, False)
        self.exchange(node, delivery)

    @rule(node=NODES)
    def finish(self, node: int) -> None:
        """End the requests of a node; releasing a hold twice has no effect."""
        for owner, hold_id, _ in self.holds:
            if owner == node:
                assert self.pools[node].release_hold(hold_id)
                assert not self.pools[node].release_hold(hold_id)
        self.holds = [item for item in self.holds if item[0] != node]

    @rule(node=NODES)
    def send(self, node: int) -> None:
        """Send a claim, or a release if no credit is wanted."""
        pool = self.pools[node]
        owner = self.owners[node].owner(ENGINE)
        receiver = NAMES.index(owner.node_id)
        content: CreditClaim | CreditReturn = (
            CreditReturn(ENGINE, pool.holder, pool.release_all())
            if pool.wanted() == ZERO_AMOUNT
            else pool.claim(self.clock.monotonic())
        )
        self.messages.append(Message(receiver, node, content))

    @rule(node=NODES, delivery=DELIVERIES)
    def exchange(self, node: int, delivery: str) -> None:
        """Send a claim; the claim or its response may be lost or delayed."""
        self.send(node)
        if delivery != "late":
            message = self.messages.pop()
            if delivery == "lost":
                return
            before = len(self.messages)
            self._deliver(message)
            if len(self.messages) > before and delivery == "whole":
                self._deliver(self.messages.pop())

    @precondition(lambda self: self.messages)
    @rule(pick=PICKS, duplicate=st.booleans())
    def deliver(self, pick: int, duplicate: bool) -> None:
        """Deliver any message in flight; a duplicate stays in flight as well."""
        index = pick % len(self.messages)
        message = self.messages[index] if duplicate else self.messages.pop(index)
        self._deliver(message)

    @precondition(lambda self: self.messages)
    @rule(pick=PICKS)
    def lose(self, pick: int) -> None:
        """Drop a message."""
        self.messages.pop(pick % len(self.messages))

    @rule(milliseconds=st.sampled_from((200, 1_000, 1_000, 1_600, 3_000, 4_000)))
    def advance(self, milliseconds: int) -> None:
        """Advance the clock; a long step is a pause of all entry instances."""
        self.clock.advance(timedelta(milliseconds=milliseconds))
        for pool in self.pools:
            pool.rotate_window()
            if milliseconds > IDLE_MILLISECONDS:
                pool.rotate_window()
        self._report()

    @rule(node=NODES)
    def leave(self, node: int) -> None:
        """Change which node has left, which moves the engine to another owner."""
        if self.isolated is None:
            self.departed = None if self.departed == node else node
            self._set_views()

    @rule(node=NODES)
    def isolate(self, node: int) -> None:
        """Partition a node from the others, so that the engine may have two owners."""
        if self.clock.monotonic() >= self.split_until and self.isolated is None:
            self.isolated = node
            self._set_views()

    @precondition(lambda self: self.isolated is not None)
    @rule()
    def heal(self) -> None:
        """End the network partition."""
        self.isolated = None
        self.split_until = self.clock.monotonic() + CREDIT_LIFETIME
        self._set_views()

    @rule(node=NODES, lost=st.sets(NODES, max_size=1))
    def collect(self, node: int, lost: set[int]) -> None:
        """Collect outstanding credits for an owner; some members may not respond."""
        self.network.unreachable = lost
        trio.run(self.credit_owners[node].collect)

    @invariant()
    def never_more_than_the_capacity(self) -> None:
        """Check that the valid credit of all holders is within the engine's capacity.

        During a partition and for one lifetime after it, two owners may lease it twice.
        """
        now = self.clock.monotonic()
        spendable = ZERO_AMOUNT
        for pool in self.pools:
            spendable += pool.valid(now)
        split = self.isolated is not None or now < self.split_until
        limit = CAPACITY + CAPACITY if split else CAPACITY
        assert limit.covers(spendable), (spendable, limit)

    @invariant()
    def holds_are_counted(self) -> None:
        """Check that the usage of each pool equals that of its open requests."""
        for node, pool in enumerate(self.pools):
            used = ZERO_AMOUNT
            for owner, _, amount in self.holds:
                used += amount if owner == node else ZERO_AMOUNT
            assert pool.used == used

    def teardown(self) -> None:
        """End all requests and check that every credit expires after its lifetime."""
        for node, hold_id, _ in self.holds:
            self.pools[node].release_hold(hold_id)
        self.holds = []
        self.clock.advance(CREDIT_LIFETIME + REPORT_LAG)
        for pool, credit_owner in zip(self.pools, self.credit_owners, strict=True):
            assert pool.used == ZERO_AMOUNT
            assert pool.valid(self.clock.monotonic()) == ZERO_AMOUNT
            assert credit_owner.outstanding(ENGINE) == ZERO_AMOUNT

    def owner_index(self) -> int:
        """Return the index of the node that owns the engine in the view of node 0."""
        return NAMES.index(self.owners[0].owner(ENGINE).node_id)

    def _deliver(self, message: Message) -> None:
        if self.isolated in (message.sender, message.receiver) and (
            message.sender != message.receiver
        ):
            return
        match message.content:
            case CreditClaim() as claim:
                (response,) = self.credit_owners[message.receiver].process_claims([claim])
                if isinstance(response, CreditGranted):
                    self.messages.append(Message(message.sender, message.receiver, response))
            case CreditReturn() as item:
                self.credit_owners[message.receiver].accept_returns([item])
            case CreditGranted(sequence=sequence, amount=amount):
                self.pools[message.receiver].granted(sequence, amount)

    def _set_views(self) -> None:
        for node, view in enumerate(self.views):
            for other, member in enumerate(self.members):
                apart = other != node and self.isolated in (node, other)
                gone = apart or (other == self.departed and self.isolated is None)
                status = MemberStatus.DEAD if gone else MemberStatus.ALIVE
                view.put(Member(member.node_id, 1, "r", "z", "", member.peer_address, status))
        for owners, credit_owner in zip(self.owners, self.credit_owners, strict=True):
            owners.refresh()
            credit_owner.refresh()

    def _report(self) -> None:
        used = ZERO_AMOUNT
        for _, _, amount in self.holds:
            used += amount
        status = self.targets.get(ENGINE)
        assert status is not None
        now = self.clock.monotonic()
        free = TOKENS - used.tokens
        status.load = EngineLoad(now, SLOTS, used.slots, 0, TOKENS, free)
