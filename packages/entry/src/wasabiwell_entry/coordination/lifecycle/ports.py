"""Interfaces that start and stop require from other layers."""

from dataclasses import dataclass
from typing import Protocol

from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state.configuration import ConfigurationUpdate
from wasabiwell_entry.state.heartbeats import Announcement
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.platform import InstanceRecord


@dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """State that a running entry instance sends to one that starts."""

    sender: str
    announcement: Announcement
    configuration: ConfigurationUpdate
    members: tuple[Member, ...]
    marks: tuple[Mark, ...]
    instances: tuple[InstanceRecord, ...]


class SnapshotPort(Protocol):
    """Fetches snapshots from running entry instances."""

    async def fetch_snapshot(self, address: str) -> PeerSnapshot | PeerUnreachable:
        """Return the snapshot of the entry instance at a peer address."""
