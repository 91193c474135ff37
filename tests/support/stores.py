"""The platform's store in memory, as following its targets and routes sees it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import trio
from wasabiwell_entry.coordination.discovery.ports import (
    HistoryLost,
    RoutesRead,
    TargetChanges,
)
from wasabiwell_entry.state.listing import TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import CallerLimits, RouteTable
from wasabiwell_entry.state.targets import ListedTarget, Target, TargetKind


def listed(names: str) -> dict[str, ListedTarget]:
    """Return targets by id; a tilde after a name tells that it is leaving."""
    found = {}
    for name in names.split():
        key = name.rstrip("~")
        target = Target(key, TargetKind.ENGINE, "s", f"10.0.0.1:{ord(key)}", "r", "z")
        found[key] = ListedTarget(target, name.endswith("~"))
    return found


def names_of(targets: dict[str, ListedTarget]) -> str:
    """Return the text from which `listed` makes these targets."""
    return " ".join(key + ("~" if item.leaving else "") for key, item in sorted(targets.items()))


@dataclass(slots=True)
class FakeStore:
    """A store whose rows change at one revision each; implements `ListingPort`."""

    targets_now: dict[str, ListedTarget]
    revision: int = 1
    history: dict[int, TargetListing] = field(default_factory=dict)
    away: bool = False
    forgotten: int = 0
    asked: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    def list_targets(self, names: str) -> None:
        """Put another list in force."""
        self.history[self.revision] = TargetListing(self.revision, dict(self.targets_now))
        self.revision += 1
        self.targets_now = listed(names)
        self.wake()

    def wake(self) -> None:
        """Answer the queries that are held."""
        self.changed.set()
        self.changed = trio.Event()

    async def targets(self) -> TargetListing | StoreUnavailable:
        """Return the list."""
        self.asked += 1
        await trio.sleep(0.004)
        if self.away:
            return StoreUnavailable("away")
        return TargetListing(self.revision, dict(self.targets_now))

    async def changes(
        self, after: int, wait: timedelta
    ) -> TargetChanges | HistoryLost | StoreUnavailable:
        """Hold a query until something changes."""
        self.asked += 1
        await trio.sleep(0.004)
        if after >= self.revision and not self.away:
            with trio.move_on_after(wait.total_seconds()):
                await self.changed.wait()
        if self.away:
            return StoreUnavailable("away")
        if after < self.forgotten:
            return HistoryLost()
        before = self.history[after].targets if after < self.revision else self.targets_now
        return TargetChanges(
            self.revision,
            tuple(item for key, item in self.targets_now.items() if before.get(key) != item),
            tuple(key for key in before if key not in self.targets_now),
        )


def table_of(version: int) -> RouteTable:
    """Return routes of a version."""
    return RouteTable(version, {}, CallerLimits(), {}, {})


@dataclass(slots=True)
class FakeRoutes:
    """Routes of a store; implements `RoutesPort`. A document is the text of its version."""

    version: int
    revision: int = 1
    away: bool = False
    silent: bool = False
    lost_history: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, version: int) -> None:
        """Put a version in force."""
        self.version = version
        self.revision += 1
        self.wake()

    def wake(self) -> None:
        """Answer the query that is held."""
        self.changed.set()
        self.changed = trio.Event()

    async def current(self) -> RoutesRead | StoreUnavailable:
        """Return the newest routes."""
        await trio.sleep(0.004)
        if self.away:
            return StoreUnavailable("away")
        return self._read()

    async def changes(
        self, after: int, wait: timedelta
    ) -> RoutesRead | HistoryLost | StoreUnavailable:
        """Hold a query until something changes."""
        await trio.sleep(0.004)
        with trio.move_on_after(wait.total_seconds()):
            while after >= self.revision or self.silent:
                await self.changed.wait()
        if self.away:
            return StoreUnavailable("away")
        if self.lost_history:
            self.lost_history = False
            return HistoryLost()
        return self._read()

    def decode(self, document: bytes) -> RouteTable | StoreUnavailable:
        """Return the routes of a document."""
        if not document.isdigit():
            return StoreUnavailable("nonsense")
        return table_of(int(document))

    def _read(self) -> RoutesRead:
        return RoutesRead(self.revision, table_of(self.version), str(self.version).encode())


async def wait_for(condition: Callable[[], bool], milliseconds: int) -> bool:
    """Return whether a condition came true in time; it must still hold at the end."""
    with trio.move_on_after(milliseconds / 1000):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.005)
    return condition()
