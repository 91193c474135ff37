"""Stateful fuzzing of membership over an in-memory network, with a mock clock.

The entry instances run in a trio loop in a thread; each rule is executed inside that loop.
"""

import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import trio
import trio.testing
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.membership.coordinator import PeerSession
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.heartbeats import Announcement, Heartbeat
from wasabiwell_entry.state.marks import MarkTable
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable
from wasabiwell_entry.state.platform import InstanceRecord, StoreUnavailable

NODES = 6
ZONES = [("east", "a"), ("east", "a"), ("east", "b"), ("east", "b"), ("west", "c"), ("west", "c")]
STEP_SECONDS = 0.25
CONVERGENCE_SECONDS = 45.0
KEYS = [f"engine-{index}" for index in range(40)]
START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class Node:
    """A running entry instance and its clock; sleeping tasks do not resume during a pause."""

    index: int
    network: "Network"
    wall_offset: timedelta
    running: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    members: MemberTable = field(default_factory=MemberTable)
    marks: MarkTable = field(default_factory=MarkTable)
    membership: MembershipCoordinator = field(init=False)

    def now(self) -> datetime:
        """Return the wall-clock time with the offset of this node."""
        return START + timedelta(seconds=trio.current_time()) + self.wall_offset

    def monotonic(self) -> timedelta:
        """Return the time of the mock clock."""
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration, and then until the node is not paused."""
        await trio.sleep(duration.total_seconds())
        await self.running.wait()

    def announcement(self) -> Announcement:
        """Return an empty announcement."""
        return Announcement(0, None)

    def receive_announcement(
        self, sender: Member, announcement: Announcement, elapsed: object
    ) -> None:
        """Ignore the announcement; the configuration is tested by its own machine."""

    @asynccontextmanager
    async def open(self, member: Member) -> AsyncIterator["Stream"]:
        """Return a context with a stream to another node."""
        yield Stream(self, int(member.node_id))


@dataclass(slots=True)
class Stream:
    """A stream to another node, with the session of the receiving side."""

    node: Node
    peer: int
    session: PeerSession = field(default_factory=PeerSession)
    broken: bool = False

    async def exchange(
        self, heartbeat: Heartbeat, timeout: timedelta
    ) -> Heartbeat | PeerUnreachable:
        """Deliver a heartbeat to the peer unless a fault prevents it."""
        network = self.node.network
        await trio.lowlevel.checkpoint()
        peer = network.nodes.get(self.peer)
        if peer is None:
            return PeerUnreachable("refused")
        blocked = (self.node.index, self.peer) in network.blocked
        if self.broken or blocked or not peer.running.is_set():
            return await self._time_out(timeout)
        reply = peer.membership.receive(heartbeat, self.session)
        if (self.peer, self.node.index) in network.blocked:
            return await self._time_out(timeout)
        return reply

    async def _time_out(self, timeout: timedelta) -> PeerUnreachable:
        self.broken = True
        await self.node.sleep(timeout)
        return PeerUnreachable("timeout")


class Network:
    """Running nodes, blocked directions, and the instance list."""

    def __init__(self, nursery: trio.Nursery, clock: trio.testing.MockClock) -> None:
        self.nodes: dict[int, Node] = {}
        self.blocked: set[tuple[int, int]] = set()
        self.list_down = False
        self._nursery = nursery
        self._clock = clock

    async def instances(self) -> list[InstanceRecord] | StoreUnavailable:
        """Return the running nodes, as an instance list without delay would."""
        if self.list_down:
            return StoreUnavailable("outage")
        return [record(index) for index in self.nodes]

    def start(self, index: int, wall_offset: float) -> None:
        """Start a node with a wall clock offset in seconds."""
        node = Node(index, self, timedelta(seconds=wall_offset))
        node.running.set()
        listed = record(index)
        own = Member(
            node_id=listed.instance_id,
            incarnation=int(node.now().timestamp() * 1000),
            region=listed.region,
            zone=listed.zone,
            caller_address=listed.address,
            peer_address=listed.peer_address,
        )
        node.membership = MembershipCoordinator(
            own, node.members, node.marks, self, node, node, node
        )
        self.nodes[index] = node
        self._nursery.start_soon(self._run, node)

    async def _run(self, node: Node) -> None:
        with node.scope:
            await node.membership.run()

    def stop(self, index: int) -> None:
        """Stop a node immediately."""
        self.nodes.pop(index).scope.cancel()

    async def advance(self, seconds: float) -> None:
        """Advance the clock in small steps, and run all tasks until they wait after each."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self._clock.jump(STEP_SECONDS)
            await trio.testing.wait_all_tasks_blocked()


def record(index: int) -> InstanceRecord:
    """Return the instance list record of a node; node ids sort by index."""
    region, zone = ZONES[index]
    return InstanceRecord(
        str(index), "entry", "", f"127.0.0.1:{index}", f"127.0.0.2:{index}", region, zone
    )


class TrioThread:
    """A trio loop with a mock clock in a thread; `call` runs a function inside it."""

    def __init__(self) -> None:
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._main)
        self._thread.start()
        self._ready.wait()

    def _main(self) -> None:
        clock = trio.testing.MockClock()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                self.network = Network(nursery, clock)
                self._token = trio.lowlevel.current_trio_token()
                self._scope = nursery.cancel_scope
                self._ready.set()
                await trio.sleep_forever()

        trio.run(main, clock=clock)

    def call(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run an async function in the trio loop and wait until it returns."""
        trio.from_thread.run(function, *arguments, trio_token=self._token)

    def close(self) -> None:
        """Stop the trio loop."""
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()


class MembershipMachine(RuleBasedStateMachine):
    """Message loss, pauses, kills, restarts and clock steps; the running nodes are the oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.trio = TrioThread()
        self.owners: dict[str, str] = {}
        self.converged: set[str] = set()

    def teardown(self) -> None:
        """Stop the nodes."""
        self.trio.close()

    @property
    def network(self) -> Network:
        """Return the network of this machine."""
        return self.trio.network

    def call_sync(self, function: Callable[..., None], *arguments: object) -> None:
        """Run a synchronous function in the trio loop."""

        async def run() -> None:
            function(*arguments)
            await trio.testing.wait_all_tasks_blocked()

        self.trio.call(run)

    @initialize()
    def start_all(self) -> None:
        """Start all nodes and check that they converge after a long partition of a zone."""
        for index in range(NODES):
            self.call_sync(self.network.start, index, 0.0)
        self.publish_mark(0, True)
        self.check_convergence()
        self.isolate_zone("c", 15.0)
        self.check_convergence()

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def block_direction(self, sender: int, receiver: int) -> None:
        """Drop all messages from one node to another."""
        self.network.blocked.add((sender, receiver))

    @rule(zone=st.sampled_from("abc"), seconds=st.sampled_from([0.0, 15.0]))
    def isolate_zone(self, zone: str, seconds: float) -> None:
        """Partition a zone, optionally for longer than it takes to declare its members dead."""
        inside = {index for index, (_, name) in enumerate(ZONES) if name == zone}
        for one in inside:
            for other in set(range(NODES)) - inside:
                self.network.blocked |= {(one, other), (other, one)}
        self.trio.call(self.network.advance, seconds)

    @rule()
    def heal(self) -> None:
        """Deliver all messages again."""
        self.network.blocked.clear()

    @rule(index=st.integers(0, NODES - 1))
    def pause(self, index: int) -> None:
        """Pause a node, like SIGSTOP."""
        if index in self.network.nodes:
            self.network.nodes[index].running = trio.Event()

    @rule(index=st.integers(0, NODES - 1))
    def resume(self, index: int) -> None:
        """Resume a paused node."""
        if index in self.network.nodes:
            self.call_sync(self.network.nodes[index].running.set)

    @precondition(lambda self: len(self.network.nodes) > 2)
    @rule(index=st.integers(0, NODES - 1))
    def kill(self, index: int) -> None:
        """Stop a node immediately."""
        if index in self.network.nodes:
            self.call_sync(self.network.stop, index)

    @rule(index=st.integers(0, NODES - 1), clock_step=st.sampled_from([0.0, -3600.0, 60.0]))
    def restart(self, index: int, clock_step: float) -> None:
        """Restart a node with the same id and a wall clock that may have stepped."""
        if index in self.network.nodes:
            self.call_sync(self.network.stop, index)
        self.call_sync(self.network.start, index, clock_step)

    @rule(down=st.booleans())
    def set_list_outage(self, down: bool) -> None:
        """Start or end an outage of the instance list."""
        self.network.list_down = down

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.trio.call(self.network.advance, seconds)

    @rule(index=st.integers(0, NODES - 1), active=st.booleans())
    def publish_mark(self, index: int, active: bool) -> None:
        """Set or withdraw a mark on one node."""
        node = self.network.nodes.get(index)
        if node is not None:
            lifetime = timedelta(hours=1)
            self.call_sync(node.membership.publish, "leaving-target", "t-1", lifetime, b"", active)

    @rule()
    def check_convergence(self) -> None:
        """End all faults and check that all running members agree with the oracle."""
        self.network.list_down = False
        self.network.blocked.clear()
        for node in self.network.nodes.values():
            self.call_sync(node.running.set)
        self.trio.call(self.network.advance, CONVERGENCE_SECONDS)
        running = {str(index) for index in self.network.nodes}
        for node in self.network.nodes.values():
            statuses = {member.node_id: member.status for member in node.members}
            alive = {name for name, status in statuses.items() if status is MemberStatus.ALIVE}
            assert alive == running, (node.index, statuses)
            assert len(node.members.serving()) == len(running), (node.index, statuses)
        marks = {tuple(node.marks) for node in self.network.nodes.values()}
        assert len(marks) == 1, marks
        self.check_owners(running)

    def check_owners(self, running: set[str]) -> None:
        """Check that all nodes agree on owners, and that owners move only if membership changed."""
        views = [
            {key: owner_of(key, node.members.alive()).node_id for key in KEYS}
            for node in self.network.nodes.values()
        ]
        assert all(view == views[0] for view in views)
        for key, before in self.owners.items():
            after = views[0][key]
            moved_without_cause = before in running and after in self.converged
            assert after == before or not moved_without_cause, (key, before, after)
        self.owners, self.converged = views[0], running
