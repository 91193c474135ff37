"""Recovery of configuration, members, targets and marks at start."""

import random
from collections.abc import Callable, Sequence

import trio

from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.lifecycle.const import (
    RECOVERY_ATTEMPTS,
    RECOVERY_PEERS,
    RECOVERY_RETRY_INTERVAL,
)
from wasabiwell_entry.coordination.lifecycle.ports import PeerSnapshot, SnapshotPort
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import (
    InstanceList,
    InstanceRecord,
    StoreUnavailable,
)


class RecoveryCoordinator:
    """Asks several peers, then the table service, then the object store."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_instances",
        "_membership",
        "_peers",
        "_seeds",
        "_take_instances",
    )

    def __init__(
        self,
        membership: MembershipCoordinator,
        configuration: ConfigurationCoordinator,
        peers: SnapshotPort,
        instances: InstanceList,
        seeds: Sequence[str],
        take_instances: Callable[[list[InstanceRecord]], None],
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._peers = peers
        self._instances = instances
        self._seeds = tuple(seeds)
        self._take_instances = take_instances
        self._clock = clock

    async def recover(self) -> None:
        """Take over what running instances know; the newest configuration version counts.

        Several peers are asked, because one of them may lag behind the last accepted version.
        """
        for _ in range(RECOVERY_ATTEMPTS):
            addresses = await self._addresses()
            if not addresses:
                break
            if await self._recover_from(addresses):
                break
            await self._clock.sleep(RECOVERY_RETRY_INTERVAL)
        if self._configuration.state.version:
            return
        if isinstance(await self._configuration.refresh(), StoreUnavailable):
            await self._configuration.load_latest_snapshot()

    async def _addresses(self) -> list[str]:
        own = self._membership.own
        records = await self._instances.instances()
        listed: list[str] = []
        if not isinstance(records, StoreUnavailable):
            entries = [
                record
                for record in records
                if record.role == "entry" and record.instance_id != own.node_id
            ]
            random.shuffle(entries)
            entries.sort(key=lambda record: record.leaving)
            listed = [record.peer_address for record in entries]
        found = dict.fromkeys([*self._seeds, *listed])
        found.pop(own.peer_address, None)
        return list(found)[: RECOVERY_PEERS + len(self._seeds)]

    async def _recover_from(self, addresses: list[str]) -> bool:
        snapshots: list[PeerSnapshot] = []

        async def ask(address: str) -> None:
            match await self._peers.fetch_snapshot(address):
                case PeerSnapshot() as snapshot:
                    snapshots.append(snapshot)
                case PeerUnreachable():
                    pass

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask, address)
        snapshots.sort(key=lambda snapshot: snapshot.configuration.version)
        for snapshot in snapshots:
            self._take_over(snapshot)
        return bool(snapshots)

    def _take_over(self, snapshot: PeerSnapshot) -> None:
        self._membership.merge(snapshot.members, snapshot.marks)
        if snapshot.instances:
            self._take_instances(list(snapshot.instances))
        self._configuration.apply_update(snapshot.configuration)
        self._configuration.apply_confirmation(snapshot.announcement)
        log_events.emit(
            log_events.RECOVERED_FROM_PEER,
            peer=snapshot.sender,
            version=snapshot.configuration.version,
        )
