"""State machine of orders: real leases in a faulty table service, and delayed orders."""

from dataclasses import dataclass
from datetime import timedelta

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from wasabiwell_config import Fencing
from wasabiwell_entry.coordination.orders import (
    OrderCoordinator,
    OrderLeases,
    WeightStoreRateLimiter,
)
from wasabiwell_entry.coordination.orders.const import LEASE_LIFETIME, ORDER_TIMEOUT
from wasabiwell_entry.coordination.orders.errors import (
    Lease,
    OrderAcknowledged,
    OrderRefused,
    OrderUnacknowledged,
)
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.orders import ChangeRole, EngineOrder
from wasabiwell_entry.state.targets import Target, TargetKind

from support.fakes import FakeTable

ENGINE = Target("e-1", TargetKind.ENGINE, "s", "", "r", "z")
NODES = st.sampled_from(range(3))
PICKS = st.integers(min_value=0, max_value=9)


@dataclass(frozen=True, slots=True)
class DelayedOrder:
    """A delayed order; an engine that ignores fencing numbers applies it until `expires_at`."""

    fencing: int
    expires_at: timedelta


class FakeEngine:
    """An engine that records the fencing numbers of the orders that it applies."""

    def __init__(self, clock: ManualClock, fencing: Fencing) -> None:
        self.clock = clock
        self.fencing = fencing
        self.applied: list[int] = []
        self.delayed: list[DelayedOrder] = []
        self.delay_next = False

    async def send(
        self, target: Target, order: EngineOrder, fencing: int, timeout: timedelta
    ) -> OrderAcknowledged | OrderRefused | OrderUnacknowledged:
        """Apply an order now, or keep it for later and do not acknowledge it."""
        if self.delay_next:
            self.delayed.append(DelayedOrder(fencing, self.clock.monotonic() + timeout))
            return OrderUnacknowledged("no acknowledgement")
        return OrderAcknowledged() if self.apply(fencing) else OrderRefused("old fencing number")

    def apply(self, fencing: int) -> bool:
        """Apply an order, unless the engine checks fencing numbers and this one is old."""
        if self.fencing is Fencing.REFUSED and self.applied and fencing < max(self.applied):
            return False
        self.applied.append(fencing)
        return True


class OrderMachine(RuleBasedStateMachine):
    """Three entry instances send orders to one engine."""

    @initialize(fencing=st.sampled_from(Fencing))
    def start(self, fencing: Fencing) -> None:
        """Create the leases and coordinators for an engine with or without fencing."""
        self.clock = ManualClock()
        self.table = FakeTable()
        self.fencing = fencing
        self.engine = FakeEngine(self.clock, fencing)
        self.leases = [OrderLeases(self.table, self.clock, f"n-{node}") for node in range(3)]
        member = Member("n-0", 1, "r", "z", "", "")
        rate = WeightStoreRateLimiter(10, member, MemberTable(), None, self.clock)
        self.coordinators = [
            OrderCoordinator(leases, self.engine, rate, self.clock) for leases in self.leases
        ]
        self.held: list[tuple[int, Lease]] = []
        self.numbers: list[int] = []

    @rule(node=NODES)
    def acquire(self, node: int) -> None:
        """Acquire the lease and keep it, like a paused holder."""
        outcome = trio.run(self.leases[node].acquire, ENGINE.target_id, self.fencing)
        if isinstance(outcome, Lease):
            self.held.append((node, outcome))
            self.numbers.append(outcome.fencing)

    @precondition(lambda self: self.held)
    @rule(pick=PICKS, delay=st.booleans())
    def send(self, pick: int, delay: bool) -> None:
        """Send an order under a lease that was acquired at any earlier time."""
        node, lease = self.held[pick % len(self.held)]
        self.engine.delay_next = delay
        trio.run(self.coordinators[node].send, lease, ENGINE, ChangeRole("prefill"), self.fencing)

    @rule(node=NODES, delay=st.booleans())
    def issue(self, node: int, delay: bool) -> None:
        """Acquire the lease, send an order and release the lease."""
        self.engine.delay_next = delay
        trio.run(self.coordinators[node].issue, ENGINE, ChangeRole("decode"), self.fencing)

    @precondition(lambda self: self.engine.delayed)
    @rule(pick=PICKS)
    def deliver(self, pick: int) -> None:
        """Deliver a delayed order to the engine."""
        order = self.engine.delayed.pop(pick % len(self.engine.delayed))
        if self.fencing is Fencing.REFUSED or self.clock.monotonic() < order.expires_at:
            self.engine.apply(order.fencing)

    @rule(seconds=st.integers(1, 21))
    def advance(self, seconds: int) -> None:
        """Let time pass."""
        self.clock.advance(timedelta(seconds=seconds))

    @rule(seconds=st.integers(-100, 100))
    def step_wall_clock(self, seconds: int) -> None:
        """Step the wall clock, which leases must not depend on."""
        self.clock.step_wall_clock(timedelta(seconds=seconds))

    @rule(lose=st.booleans(), drop=st.booleans(), down=st.booleans())
    def set_faults(self, lose: bool, drop: bool, down: bool) -> None:
        """Set the faults of the table service."""
        self.table.lose_replies, self.table.drop_writes = int(lose), int(drop)
        self.table.unavailable = down

    @invariant()
    def orders_apply_in_lease_order(self) -> None:
        """Check that no order of an older lease has effect after one of a newer lease."""
        applied = getattr(self, "engine", None) and self.engine.applied
        assert not applied or applied == sorted(applied), applied

    @invariant()
    def fencing_numbers_are_unique(self) -> None:
        """Check that no two leases have the same fencing number."""
        numbers = getattr(self, "numbers", [])
        assert len(numbers) == len(set(numbers)), numbers

    def teardown(self) -> None:
        """Check that a lease that was never released does not block the engine forever."""
        self.table.unavailable, self.table.lose_replies, self.table.drop_writes = False, 0, 0
        outcome = trio.run(self.leases[0].acquire, ENGINE.target_id, self.fencing)
        if isinstance(outcome, Lease):
            return
        self.clock.advance(LEASE_LIFETIME + ORDER_TIMEOUT + timedelta(seconds=1))
        outcome = trio.run(self.leases[0].acquire, ENGINE.target_id, self.fencing)
        assert isinstance(outcome, Lease), outcome
