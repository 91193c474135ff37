"""What membership needs of the other layers."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.heartbeats import Announcement, Heartbeat
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member


class PeerStream(Protocol):
    """One stream to a peer."""

    async def exchange(
        self, heartbeat: Heartbeat, timeout: timedelta
    ) -> Heartbeat | PeerUnreachable:
        """Send a heartbeat and return the peer's; after `PeerUnreachable` the stream is of no use."""


class PeerPort(Protocol):
    """Streams to peers."""

    def open(self, member: Member) -> AbstractAsyncContextManager[PeerStream]:
        """Own a stream on a new connection; it connects with the first exchange."""


class AnnouncementPort(Protocol):
    """Configuration versions that heartbeats carry."""

    def announcement(self) -> Announcement:
        """Return what this entry instance announces."""

    def heard(self, sender: Member, announcement: Announcement, elapsed: timedelta | None) -> None:
        """Note what a peer announced.

        `elapsed` is the longest time for which the message can have been under way, or None
        when it is not known.
        """


class MarkPort(Protocol):
    """Marks that all entry instances share; `MembershipCoordinator` implements it."""

    def publish(
        self, kind: str, key: str, lifetime: timedelta, value: bytes = b"", active: bool = True
    ) -> Mark:
        """Set or withdraw a mark at all entry instances."""

    def subscribe(self, kind: str, subscriber: Callable[[Mark], None]) -> None:
        """Call a subscriber with each new mark of a kind, from here or from a peer."""

    def mark(self, kind: str, key: str) -> Mark | None:
        """Return the mark of a key, withdrawn ones included."""
