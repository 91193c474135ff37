"""Follows the other entry instances."""

from collections.abc import Callable

from wasabiwell_entry.coordination.membership.const import INSTANCE_LIST_INTERVAL
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable
from wasabiwell_entry.state.platform import InstanceList, InstanceRecord, StoreUnavailable


class MembershipCoordinator:
    """Keeps the member table of one entry instance."""

    __slots__ = ("_clock", "_instances", "_members", "_observers", "_own")

    def __init__(
        self, own: Member, members: MemberTable, instances: InstanceList, clock: Clock
    ) -> None:
        self._own = own
        self._members = members
        self._instances = instances
        self._clock = clock
        self._observers: list[Callable[[list[InstanceRecord]], None]] = []
        members.put(own)

    def observe(self, observer: Callable[[list[InstanceRecord]], None]) -> None:
        """Call an observer with each read of the instance list."""
        self._observers.append(observer)

    async def run(self) -> None:
        """Follow the instance list until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(INSTANCE_LIST_INTERVAL)

    async def refresh(self) -> StoreUnavailable | None:
        """Read the instance list once."""
        records = await self._instances.instances()
        if isinstance(records, StoreUnavailable):
            return records
        for observer in self._observers:
            observer(records)
        self._update(records)
        return None

    def _update(self, records: list[InstanceRecord]) -> None:
        listed = {record.instance_id: record for record in records if record.role == "entry"}
        for member in self._members:
            if member.node_id not in listed and member.node_id != self._own.node_id:
                self._members.remove(member.node_id)
        for record in listed.values():
            if record.instance_id != self._own.node_id:
                self._members.put(_member(record))


def _member(record: InstanceRecord) -> Member:
    return Member(
        node_id=record.instance_id,
        incarnation=0,
        region=record.region,
        zone=record.zone,
        caller_address=record.address,
        peer_address=record.peer_address,
        status=MemberStatus.LEAVING if record.leaving else MemberStatus.ALIVE,
    )
