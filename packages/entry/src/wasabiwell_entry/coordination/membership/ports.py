"""Interfaces that membership requires from other layers."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.heartbeats import Announcement, Heartbeat
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member


class PeerStream(Protocol):
    """Heartbeat stream to a peer."""

    async def exchange(
        self, heartbeat: Heartbeat, timeout: timedelta
    ) -> Heartbeat | PeerUnreachable:
        """Send a heartbeat and return the reply; the stream is unusable after `PeerUnreachable`."""


class PeerPort(Protocol):
    """Opens heartbeat streams to peers."""

    def open(self, member: Member) -> AbstractAsyncContextManager[PeerStream]:
        """Return a context with a stream; it connects on the first exchange."""


class AnnouncementPort(Protocol):
    """Configuration versions announced in heartbeats."""

    def announcement(self) -> Announcement:
        """Return the announcement of this entry instance."""

    def receive_announcement(
        self, sender: Member, announcement: Announcement, elapsed: timedelta | None
    ) -> None:
        """Record the announcement of a peer.

        `elapsed` is an upper bound on the message's time in transit, or None if unknown.
        """


class MarkPort(Protocol):
    """Marks shared by all entry instances; implemented by `MembershipCoordinator`."""

    def publish(
        self, kind: str, key: str, lifetime: timedelta, value: bytes = b"", active: bool = True
    ) -> Mark:
        """Set or withdraw a mark on all entry instances."""

    def subscribe(self, kind: str, subscriber: Callable[[Mark], None]) -> None:
        """Call a subscriber with each new mark of a kind, set locally or by a peer."""

    def mark(self, kind: str, key: str) -> Mark | None:
        """Return the mark of a key, withdrawn ones included."""
