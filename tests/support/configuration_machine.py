"""Stateful fuzzing of the versioned configuration with an in-memory table service and peers."""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from wasabiwell_config import Configuration, OperatorKey, hash_key, items_of
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator, coordinator, store
from wasabiwell_entry.coordination.configuration.errors import (
    Accepted,
    AcceptedNotShared,
    Conflict,
)
from wasabiwell_entry.coordination.configuration.store import ConfigurationStore
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.configuration import (
    ConfigurationDelta,
    ConfigurationState,
    ConfigurationUpdate,
)
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.platform import Row, StoreUnavailable

from support.fakes import FakeObjects, FakeTable

NODES = 4
NAMES = ["ada", "bo", "cy"]
SNAPSHOT_VERSIONS = 3
RETAINED_DELTA_ROWS = 2
"""Small values, so that short sequences reach snapshots and deleted rows."""


@dataclass(slots=True)
class StaleReadTable(FakeTable):
    """A table service whose next reads can return outdated rows."""

    stale_reads: int = 0
    stale_rows: dict[str, Row] = field(default_factory=dict)

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the existing rows, or the outdated ones for a stale read."""
        if self.stale_reads > 0 and not self.unavailable:
            self.stale_reads -= 1
            return {key: self.stale_rows[key] for key in keys if key in self.stale_rows}
        return await FakeTable.read(self, keys)


@dataclass(slots=True)
class Node:
    """An entry instance with its configuration."""

    member: Member
    state: ConfigurationState
    configuration: ConfigurationCoordinator


class Peers:
    """Peer calls between the nodes of the machine."""

    def __init__(self, machine: "ConfigurationMachine", index: int) -> None:
        self._machine = machine
        self._index = index

    async def push(self, member: Member, delta: ConfigurationDelta) -> int | PeerUnreachable:
        """Push a delta to a node."""
        await trio.lowlevel.checkpoint()
        if (self._index, int(member.node_id)) in self._machine.unreachable:
            return PeerUnreachable("unreachable")
        return self._machine.nodes[int(member.node_id)].configuration.apply_pushed_delta(delta)

    async def fetch(self, member: Member, since: int) -> ConfigurationUpdate | PeerUnreachable:
        """Fetch an update from a node."""
        await trio.lowlevel.checkpoint()
        if (self._index, int(member.node_id)) in self._machine.unreachable:
            return PeerUnreachable("unreachable")
        return self._machine.nodes[int(member.node_id)].state.update_since(since)


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent changes, lost replies, stale reads, restarts and lagging peers."""

    def __init__(self) -> None:
        super().__init__()
        self.patches = ExitStack()
        for module in (coordinator, store):
            for name in ("SNAPSHOT_VERSIONS", "RETAINED_DELTA_ROWS"):
                if hasattr(module, name):
                    self.patches.enter_context(patch.object(module, name, globals()[name]))
        self.table, self.objects, self.clock = StaleReadTable(), FakeObjects(), ManualClock()
        self.members = MemberTable()
        self.unreachable: set[tuple[int, int]] = set()
        self.nodes: dict[int, Node] = {}
        self.last_version: dict[int, int] = {}
        self.committed: dict[int, ConfigurationDelta] = {}
        self.accepted: dict[int, dict[str, bytes | None]] = {}
        self.key_number = 0
        for index in range(NODES):
            self.members.put(Member(str(index), 1, "r", "z", f"c:{index}", f"p:{index}"))
            self.start(index)

    def teardown(self) -> None:
        """Restore the patched constants."""
        self.patches.close()

    def start(self, index: int) -> None:
        """Start a node without any state."""
        member = self.members.get(str(index))
        assert member is not None
        state = ConfigurationState()
        self.nodes[index] = Node(
            member,
            state,
            ConfigurationCoordinator(
                member,
                self.members,
                ConfigurationStore(self.table, self.objects),
                state,
                Peers(self, index),
                self.clock,
            ),
        )
        self.last_version[index] = 0

    def run(self, *calls: Callable[[], Awaitable[Any]]) -> list[Any]:
        """Run calls concurrently and return their results in the order of the calls."""
        results: dict[int, Any] = {}

        async def main() -> None:
            async def run_one(position: int, call: Callable[[], Awaitable[Any]]) -> None:
                results[position] = await call()

            async with trio.open_nursery() as nursery:
                for position, call in enumerate(calls):
                    nursery.start_soon(run_one, position, call)

        trio.run(main)
        self.record_committed()
        return [results[position] for position in range(len(calls))]

    def record_committed(self) -> None:
        """Record each delta row before it can be deleted; a row must never change."""
        for key, row in self.table.rows.items():
            if key.startswith("config/delta/"):
                delta = store._decode(key, row.value, ConfigurationDelta)
                assert self.committed.setdefault(delta.version, delta) == delta

    def change(self, name: str) -> dict[str, bytes | None]:
        """Return a unique change of an item."""
        self.key_number += 1
        operator = OperatorKey(name=name, key_hash=hash_key(str(self.key_number)))
        return dict(items_of(Configuration(operators=(operator,))))

    def record_outcome(self, outcome: Any, changes: dict[str, bytes | None]) -> None:
        """Record an accepted change."""
        if isinstance(outcome, Accepted | AcceptedNotShared):
            assert outcome.version not in self.accepted, "one version was accepted twice"
            self.accepted[outcome.version] = changes

    @initialize()
    def start_with_versions(self) -> None:
        """Commit more versions than the number of retained delta rows."""
        for index in range(2 * SNAPSHOT_VERSIONS):
            self.apply(index % NODES, NAMES[index % len(NAMES)], 0, 0, 0, 0)

    @rule(
        index=st.integers(0, NODES - 1),
        name=st.sampled_from(NAMES),
        versions_behind=st.integers(0, 3),
        lost=st.sampled_from([0, 0, 1, 2, 5]),
        dropped=st.sampled_from([0, 0, 1]),
        stale=st.sampled_from([0, 0, 1, 2]),
    )
    def apply(
        self, index: int, name: str, versions_behind: int, lost: int, dropped: int, stale: int
    ) -> None:
        """Apply a change to an older version; only later changes of its items are conflicts."""
        self.table.lose_replies, self.table.drop_writes = lost, dropped
        self.table.stale_reads = stale
        node, changes = self.nodes[index], self.change(name)
        base = max(0, node.state.version - versions_behind)
        outcome = self.run(lambda: node.configuration.apply(base, changes))[0]
        self.record_outcome(outcome, changes)
        self.end_faults()
        if isinstance(outcome, Conflict) and not stale:
            touched = {
                path
                for version, delta in self.committed.items()
                if version > base
                for path in delta.changes
            }
            removed = base < max(self.committed, default=0) - RETAINED_DELTA_ROWS
            assert touched & set(changes) or removed, outcome

    @rule(
        first=st.integers(0, NODES - 1),
        second=st.integers(0, NODES - 1),
        same=st.booleans(),
        lost=st.sampled_from([0, 0, 1, 2]),
    )
    def race(self, first: int, second: int, same: bool, lost: int) -> None:
        """Apply two changes concurrently; of two changes of one item at most one succeeds."""
        self.run(*(self.nodes[index].configuration.refresh for index in (first, second)))
        self.table.lose_replies = lost
        one, two = self.change("ada"), self.change("ada" if same else "bo")
        nodes = (self.nodes[first], self.nodes[second])
        bases = [node.state.version for node in nodes]
        outcomes = self.run(
            lambda: nodes[0].configuration.apply(bases[0], one),
            lambda: nodes[1].configuration.apply(bases[1], two),
        )
        self.record_outcome(outcomes[0], one)
        self.record_outcome(outcomes[1], two)
        self.end_faults()
        accepted = [item for item in outcomes if isinstance(item, Accepted | AcceptedNotShared)]
        assert not same or len(accepted) <= 1, outcomes
        assert same or self.table.unavailable or len(accepted) == 2, outcomes

    def end_faults(self) -> None:
        """End the faults of the table service."""
        self.table.lose_replies = self.table.drop_writes = self.table.stale_reads = 0

    @rule(index=st.integers(0, NODES - 1))
    def refresh(self, index: int) -> None:
        """Apply newer versions of the table service on a node."""
        self.run(self.nodes[index].configuration.refresh)

    @rule(down=st.booleans(), objects_down=st.booleans())
    def set_outages(self, down: bool, objects_down: bool) -> None:
        """Start or end outages of the table service and the object store."""
        self.table.unavailable, self.objects.unavailable = down, objects_down

    @rule()
    def record_stale_rows(self) -> None:
        """Record the rows that stale reads return."""
        self.table.stale_rows = dict(self.table.rows)

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def block_calls(self, sender: int, receiver: int) -> None:
        """Block calls from one node to another."""
        self.unreachable.add((sender, receiver))

    @rule()
    def heal(self) -> None:
        """Unblock all calls."""
        self.unreachable.clear()

    @rule(index=st.integers(0, NODES - 1), source=st.integers(0, NODES - 1))
    def restart(self, index: int, source: int) -> None:
        """Restart an instance without state; it recovers from a peer or else from the stores."""
        peer = self.nodes[source]
        self.start(index)
        node = self.nodes[index]
        if source != index:
            node.configuration.apply_update(peer.state.update_since(0))
            node.configuration.apply_confirmation(peer.configuration.announcement())
        elif isinstance(self.run(node.configuration.refresh)[0], StoreUnavailable):
            self.run(node.configuration.load_latest_snapshot)
            assert node.configuration.confirmation_age() is None

    @rule(index=st.integers(0, NODES - 1), source=st.integers(0, NODES - 1))
    def fetch(self, index: int, source: int) -> None:
        """Fetch newer versions from a node."""
        node, peer = self.nodes[index], self.nodes[source]
        update = peer.state.update_since(node.state.version)
        node.configuration.apply_update(update)

    @rule()
    def check_convergence(self) -> None:
        """End all faults and check that every instance has the newest version."""
        self.table.unavailable = self.objects.unavailable = False
        self.end_faults()
        self.unreachable.clear()
        self.run(*(node.configuration.refresh for node in self.nodes.values()))
        newest = max(self.committed, default=0)
        assert {node.state.version for node in self.nodes.values()} == {newest}

    @invariant()
    def versions_never_decrease(self) -> None:
        """Compare each version with the last one on the same instance."""
        for index, node in self.nodes.items():
            assert node.state.version >= self.last_version[index], (
                "the version of an instance decreased"
            )
            self.last_version[index] = node.state.version

    @invariant()
    def states_match_the_committed_versions(self) -> None:
        """Compare the items in effect with the accumulated committed deltas."""
        for node in self.nodes.values():
            assert node.state.items == self.items_at(node.state.version)

    @invariant()
    def accepted_changes_persist(self) -> None:
        """Compare each accepted change with the committed one of its version."""
        for version, changes in self.accepted.items():
            assert self.committed[version].changes == changes

    def items_at(self, version: int) -> dict[str, bytes]:
        """Return the expected items of a version."""
        items: dict[str, bytes] = {}
        for number in range(1, version + 1):
            items.update(self.committed[number].changes)  # no rule deletes an item
        return items
