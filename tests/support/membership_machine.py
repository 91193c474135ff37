"""Stateful fuzzing of membership over a network in memory, with a mock clock.

A trio run in a thread holds the entry instances; each rule runs to its end inside it.
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
PLACES = [("east", "a"), ("east", "a"), ("east", "b"), ("east", "b"), ("west", "c"), ("west", "c")]
STEP_SECONDS = 0.25
QUIET_SECONDS = 45.0
KEYS = [f"engine-{index}" for index in range(40)]
START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class Node:
    """One running entry instance; also its clock, which stands still while it is paused."""

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
        """Wait for a duration, and until the node is not paused."""
        await trio.sleep(duration.total_seconds())
        await self.running.wait()

    def announcement(self) -> Announcement:
        """Return an empty announcement."""
        return Announcement(0, None)

    def heard(self, sender: Member, announcement: Announcement, elapsed: object) -> None:
        """Ignore it; configuration has a machine of its own."""

    @asynccontextmanager
    async def open(self, member: Member) -> AsyncIterator["Stream"]:
        """Own a stream to another node."""
        yield Stream(self, int(member.node_id))


@dataclass(slots=True)
class Stream:
    """A stream between two nodes; the other side keeps a session for it."""

    node: Node
    peer: int
    session: PeerSession = field(default_factory=PeerSession)
    broken: bool = False

    async def exchange(
        self, heartbeat: Heartbeat, timeout: timedelta
    ) -> Heartbeat | PeerUnreachable:
        """Hand a heartbeat to the peer unless a fault is in the way."""
        network = self.node.network
        await trio.lowlevel.checkpoint()
        peer = network.nodes.get(self.peer)
        if peer is None:
            return PeerUnreachable("refused")
        blocked = (self.node.index, self.peer) in network.blocked
        if self.broken or blocked or not peer.running.is_set():
            return await self._silence(timeout)
        reply = peer.membership.receive(heartbeat, self.session)
        if (self.peer, self.node.index) in network.blocked:
            return await self._silence(timeout)
        return reply

    async def _silence(self, timeout: timedelta) -> PeerUnreachable:
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
        """Return the running nodes, as the instance list does without lag."""
        if self.list_down:
            return StoreUnavailable("outage")
        return [record(index) for index in self.nodes]

    def start(self, index: int, wall_offset: float) -> None:
        """Start a node; its wall clock is off by `wall_offset` seconds."""
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
        """End a node at once."""
        self.nodes.pop(index).scope.cancel()

    async def advance(self, seconds: float) -> None:
        """Let time pass in small steps, each until all tasks wait."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self._clock.jump(STEP_SECONDS)
            await trio.testing.wait_all_tasks_blocked()


def record(index: int) -> InstanceRecord:
    """Return the list's record of a node; ids sort in the order of start."""
    region, zone = PLACES[index]
    return InstanceRecord(
        str(index), "entry", "", f"127.0.0.1:{index}", f"127.0.0.2:{index}", region, zone
    )


class TrioThread:
    """A trio run with a mock clock in a thread; `call` runs a function inside it."""

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
        """Run a coroutine function in the trio run and wait for its end."""
        trio.from_thread.run(function, *arguments, trio_token=self._token)

    def close(self) -> None:
        """End the trio run."""
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()


class MembershipMachine(RuleBasedStateMachine):
    """Losses, pauses, kills, restarts and clock steps, against the set of running nodes."""

    def __init__(self) -> None:
        super().__init__()
        self.trio = TrioThread()
        self.owners: dict[str, str] = {}
        self.agreed: set[str] = set()

    def teardown(self) -> None:
        """End the nodes."""
        self.trio.close()

    @property
    def network(self) -> Network:
        """Return the network of this machine."""
        return self.trio.network

    def do(self, function: Callable[..., None], *arguments: object) -> None:
        """Run a plain function in the trio run."""

        async def run() -> None:
            function(*arguments)
            await trio.testing.wait_all_tasks_blocked()

        self.trio.call(run)

    @initialize()
    def start_all(self) -> None:
        """Start all nodes, and let them agree again after a zone was cut off for long."""
        for index in range(NODES):
            self.do(self.network.start, index, 0.0)
        self.publish_mark(0, True)
        self.become_quiet()
        self.cut_zone("c", 15.0)
        self.become_quiet()

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def lose_one_direction(self, sender: int, receiver: int) -> None:
        """Lose all messages from one node to another."""
        self.network.blocked.add((sender, receiver))

    @rule(zone=st.sampled_from("abc"), seconds=st.sampled_from([0.0, 15.0]))
    def cut_zone(self, zone: str, seconds: float) -> None:
        """Separate a zone from the others, for longer than it takes to declare it dead or not."""
        inside = {index for index, (_, name) in enumerate(PLACES) if name == zone}
        for one in inside:
            for other in set(range(NODES)) - inside:
                self.network.blocked |= {(one, other), (other, one)}
        self.trio.call(self.network.advance, seconds)

    @rule()
    def heal(self) -> None:
        """End all losses."""
        self.network.blocked.clear()

    @rule(index=st.integers(0, NODES - 1))
    def pause(self, index: int) -> None:
        """Stop a node from running, as SIGSTOP does."""
        if index in self.network.nodes:
            self.network.nodes[index].running = trio.Event()

    @rule(index=st.integers(0, NODES - 1))
    def resume(self, index: int) -> None:
        """Let a paused node run again."""
        if index in self.network.nodes:
            self.do(self.network.nodes[index].running.set)

    @precondition(lambda self: len(self.network.nodes) > 2)
    @rule(index=st.integers(0, NODES - 1))
    def kill(self, index: int) -> None:
        """End a node at once."""
        if index in self.network.nodes:
            self.do(self.network.stop, index)

    @rule(index=st.integers(0, NODES - 1), clock_step=st.sampled_from([0.0, -3600.0, 60.0]))
    def restart(self, index: int, clock_step: float) -> None:
        """Start a node anew under its id, with a wall clock that may have stepped."""
        if index in self.network.nodes:
            self.do(self.network.stop, index)
        self.do(self.network.start, index, clock_step)

    @rule(down=st.booleans())
    def list_outage(self, down: bool) -> None:
        """Begin or end an outage of the instance list."""
        self.network.list_down = down

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.trio.call(self.network.advance, seconds)

    @rule(index=st.integers(0, NODES - 1), active=st.booleans())
    def publish_mark(self, index: int, active: bool) -> None:
        """Set or withdraw a mark at one node."""
        node = self.network.nodes.get(index)
        if node is not None:
            lifetime = timedelta(hours=1)
            self.do(node.membership.publish, "leaving-target", "t-1", lifetime, b"", active)

    @rule()
    def become_quiet(self) -> None:
        """End the faults and check that all running members agree with the oracle."""
        self.network.list_down = False
        self.network.blocked.clear()
        for node in self.network.nodes.values():
            self.do(node.running.set)
        self.trio.call(self.network.advance, QUIET_SECONDS)
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
        """Check that owners are the same everywhere and move only where membership changed."""
        views = [
            {key: owner_of(key, node.members.alive()).node_id for key in KEYS}
            for node in self.network.nodes.values()
        ]
        assert all(view == views[0] for view in views)
        for key, before in self.owners.items():
            after = views[0][key]
            moved_without_cause = before in running and after in self.agreed
            assert after == before or not moved_without_cause, (key, before, after)
        self.owners, self.agreed = views[0], running
