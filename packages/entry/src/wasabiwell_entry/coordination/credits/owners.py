"""Determines which entry instance owns the capacity of an engine."""

from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.targets import Target, TargetKind, TargetTable


class EngineOwners:
    """Computes engine owners from this entry instance's tables of members and targets.

    Owners are cached, because hashing all members of a zone costs more than all other work of
    acquiring capacity for a request. The credit owner and the credit holder call `refresh`
    periodically, which clears the cache after the members have changed.
    """

    __slots__ = ("_alive", "_cache", "_members", "_own", "_targets")

    def __init__(self, own: Member, members: MemberTable, targets: TargetTable) -> None:
        self._own = own
        self._members = members
        self._targets = targets
        self._alive = members.alive()
        self._cache: dict[str, tuple[Target, Member | NoOwner]] = {}

    def refresh(self) -> None:
        """Clear the cache if the live members have changed."""
        alive = self._members.alive()
        if alive != self._alive:
            self._alive = alive
            self._cache.clear()

    def owner(self, engine_id: str) -> Member | NoOwner:
        """Return the owner, a live member in the engine's zone or else in its region.

        Returns `NoOwner` if the engine is unknown or its region has no live member.
        """
        status = self._targets.get(engine_id)
        if status is None:
            self._cache.pop(engine_id, None)
            return NoOwner(engine_id)
        cached = self._cache.get(engine_id)
        if cached is None or cached[0] is not status.target:
            cached = status.target, self._find(status.target)
            self._cache[engine_id] = cached
        return cached[1]

    def is_own(self, owner: Member | NoOwner) -> bool:
        """Return whether the given owner is this entry instance."""
        return isinstance(owner, Member) and owner.node_id == self._own.node_id

    def own_engines(self) -> list[str]:
        """Return the ids of the engines that this entry instance owns."""
        return [
            status.target.target_id
            for status in self._targets
            if status.target.kind is TargetKind.ENGINE
            and self.is_own(self.owner(status.target.target_id))
        ]

    def other_members(self) -> list[Member]:
        """Return the other live members."""
        return [item for item in self._alive if item.node_id != self._own.node_id]

    def _find(self, target: Target) -> Member | NoOwner:
        zone = [member for member in self._alive if member.zone == target.zone]
        region = [member for member in self._alive if member.region == target.region]
        return owner_of(f"engine/{target.target_id}", zone or region)
