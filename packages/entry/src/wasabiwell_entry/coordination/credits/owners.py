"""Which entry instance owns the capacity of an engine."""

from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.targets import TargetTable


class EngineOwners:
    """Finds owners from the members and targets that this entry instance knows."""

    __slots__ = ("_members", "_own", "_targets")

    def __init__(self, own: Member, members: MemberTable, targets: TargetTable) -> None:
        self._own = own
        self._members = members
        self._targets = targets

    def owner(self, engine_id: str) -> Member | NoOwner:
        """Return the owner: a live member of the engine's zone, else of its region."""
        status = self._targets.get(engine_id)
        if status is None:
            return NoOwner(engine_id)
        alive = self._members.alive()
        zone = [member for member in alive if member.zone == status.target.zone]
        region = [member for member in alive if member.region == status.target.region]
        return owner_of(f"engine/{engine_id}", zone or region)

    def is_own(self, owner: Member | NoOwner) -> bool:
        """Return whether this entry instance is the owner."""
        return isinstance(owner, Member) and owner.node_id == self._own.node_id

    def others(self) -> list[Member]:
        """Return the other live members."""
        return [item for item in self._members.alive() if item.node_id != self._own.node_id]
