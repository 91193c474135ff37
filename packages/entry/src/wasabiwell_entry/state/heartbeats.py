"""What entry instances tell each other once a second."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member


@dataclass(frozen=True, slots=True)
class Announcement:
    """Configuration version of an entry instance and the age of its confirmation.

    The age is None as long as the version was never confirmed.
    """

    version: int
    confirmation_age: timedelta | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One message of an exchange; `digest` covers the members and marks that the sender knows."""

    sender: str
    incarnation: int
    digest: int
    announcement: Announcement
    members: tuple[Member, ...] = ()
    marks: tuple[Mark, ...] = ()
