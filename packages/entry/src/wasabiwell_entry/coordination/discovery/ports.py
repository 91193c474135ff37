"""Interfaces that discovery requires from other layers and capabilities."""

import enum
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.state.evacuations import NO_EVACUATION_ROWS, EvacuationRows
from wasabiwell_entry.state.listing import TargetListing
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import RouteTable, ServiceSettings
from wasabiwell_entry.state.store_revision import NO_REVISION, StoreRevision
from wasabiwell_entry.state.targets import ListedTarget


class StoreRole(enum.Enum):
    """How an entry instance learns of changes in the store.

    In a large fleet a few followers read the store often and tell the listeners. In a small one
    all others hold a long poll of their own, and the confirmations of its follower show that
    the connection of the poll has not missed a change.
    """

    INDEPENDENT = "independent"
    FOLLOWER = "follower"
    LISTENER = "listener"


@dataclass(frozen=True, slots=True)
class RoutesRead:
    """Result of a read of the routes; `revision` is where polling for changes continues.

    `table` is None when nothing is configured or nothing has changed. `document` is the encoded
    table, for peers that cannot read it from the store. `evacuations` are the rows of evacuated
    zones, all of them if the read does not continue from an earlier one.
    """

    revision: StoreRevision
    table: RouteTable | None
    document: bytes = field(default=b"", repr=False)
    evacuations: EvacuationRows = NO_EVACUATION_ROWS


@dataclass(frozen=True, slots=True)
class UnreadableRoutes(StoreUnavailable):
    """A document of the routes cannot be decoded; `reason` says why.

    If it was read from the store, `revision` and `evacuations` are those of the read.
    """

    revision: StoreRevision = NO_REVISION
    evacuations: EvacuationRows = NO_EVACUATION_ROWS


@dataclass(frozen=True, slots=True)
class ChangeHistoryLost:
    """The changes after a revision are not available; the whole list has to be read again.

    The store has discarded them, or it has returned from a copy since the revision.
    """


@dataclass(frozen=True, slots=True)
class TargetChanges:
    """Changes of the list of targets up to a revision; `removed` are target ids.

    `changed` also has the targets whose entries were written again without a change.
    """

    revision: StoreRevision
    changed: tuple[ListedTarget, ...]
    removed: tuple[str, ...]


class ListingPort(Protocol):
    """The platform's list of targets."""

    async def targets(self) -> TargetListing | StoreUnavailable:
        """Return the list."""

    async def changes(
        self, after: StoreRevision, wait: timedelta
    ) -> TargetChanges | ChangeHistoryLost | StoreUnavailable:
        """Wait for changes after a revision, for at most `wait`."""


class RoutesPort(Protocol):
    """The routes that operators have configured."""

    async def current(self) -> RoutesRead | StoreUnavailable:
        """Return the newest routes."""

    async def changes(
        self, after: StoreRevision, wait: timedelta
    ) -> RoutesRead | ChangeHistoryLost | StoreUnavailable:
        """Wait for a change after a revision, for at most `wait`."""

    def decode(self, document: bytes) -> RouteTable | UnreadableRoutes:
        """Decode the routes in a document that a peer has sent."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """What discovery needs to know of the other entry instances.

    `role` and `size` are those of now. `confirm` tells the others the version of the routes that
    was read, `report_failure` that this follower could not read the store, and `send_state` the
    state of this instance, with its evacuated zones.
    """

    role: Callable[[], StoreRole]
    size: Callable[[], int]
    confirm: Callable[[int], None]
    report_failure: Callable[[], None]
    send_state: Callable[[], None] = lambda: None


FetchDocument = Callable[[str], Awaitable[bytes | StoreUnavailable]]
"""Fetches the document of the routes in force from the entry instance at a control address."""


class TargetPacingUpdates(Protocol):
    """Receiver of the targets and services for which cold targets are limited."""

    def update_services(self, services: Mapping[str, ServiceSettings]) -> None:
        """Apply the services of new routes."""

    def update_targets(self, listed: list[ListedTarget]) -> None:
        """Apply a list of targets."""
