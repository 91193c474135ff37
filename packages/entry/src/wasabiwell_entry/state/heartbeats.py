"""Heartbeats that entry instances exchange once a second."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member


@dataclass(frozen=True, slots=True)
class Announcement:
    """Configuration version of an entry instance and the time since it was last confirmed.

    `confirmation_age` is None when the version was never confirmed.
    """

    version: int
    confirmation_age: timedelta | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Gossip message; `digest` covers all members and marks in the sender's tables."""

    sender: str
    incarnation: int
    digest: int
    announcement: Announcement
    members: tuple[Member, ...] = ()
    marks: tuple[Mark, ...] = ()
