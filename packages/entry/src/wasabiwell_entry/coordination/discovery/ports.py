"""What following the platform's store needs of the other layers and capabilities."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.state.listing import TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import RouteTable
from wasabiwell_entry.state.targets import ListedTarget


@dataclass(frozen=True, slots=True)
class RoutesRead:
    """Routes as they were read; `revision` is the place from which changes are followed.

    `table` is None when nothing was configured or changed. `document` is what the table was
    decoded from, for peers that cannot read it themselves.
    """

    revision: int
    table: RouteTable | None
    document: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has forgotten the changes after a revision."""


@dataclass(frozen=True, slots=True)
class TargetChanges:
    """Changes of the list of targets up to a revision; `removed` are ids."""

    revision: int
    changed: tuple[ListedTarget, ...]
    removed: tuple[str, ...]


class ListingPort(Protocol):
    """The platform's list of targets."""

    async def targets(self) -> TargetListing | StoreUnavailable:
        """Return the list."""

    async def changes(
        self, after: int, wait: timedelta
    ) -> TargetChanges | HistoryLost | StoreUnavailable:
        """Wait for changes after a revision, at most for a time."""


class RoutesPort(Protocol):
    """The routes that operators put in force."""

    async def current(self) -> RoutesRead | StoreUnavailable:
        """Return the newest routes."""

    async def changes(
        self, after: int, wait: timedelta
    ) -> RoutesRead | HistoryLost | StoreUnavailable:
        """Wait for a change after a revision, at most for a time."""

    def decode(self, document: bytes) -> RouteTable | StoreUnavailable:
        """Return the routes of a document that a peer has read."""


FetchDocument = Callable[[str], Awaitable[bytes | StoreUnavailable]]
"""Returns the document of the routes in force at the entry instance with a control address."""
