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
    """Recovers state from several peers, else from the table service or the object store."""

    __slots__ = (
        "_apply_instances",
        "_clock",
        "_configuration",
        "_instances",
        "_membership",
        "_peers",
        "_seeds",
    )

    def __init__(
        self,
        membership: MembershipCoordinator,
        configuration: ConfigurationCoordinator,
        peers: SnapshotPort,
        instances: InstanceList,
        seeds: Sequence[str],
        apply_instances: Callable[[list[InstanceRecord]], None],
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._peers = peers
        self._instances = instances
        self._seeds = tuple(seeds)
        self._apply_instances = apply_instances
        self._clock = clock

    async def recover(self) -> None:
        """Merge the state of running instances; the newest configuration version wins.

        Several peers are queried, because one of them may lag behind the last accepted version.
        """
        for _ in range(RECOVERY_ATTEMPTS):
            addresses = await self._addresses()
            if not addresses:
                break
            if await self._fetch_and_apply(addresses):
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
        addresses = dict.fromkeys([*self._seeds, *listed])
        addresses.pop(own.peer_address, None)
        return list(addresses)[: RECOVERY_PEERS + len(self._seeds)]

    async def _fetch_and_apply(self, addresses: list[str]) -> bool:
        snapshots: list[PeerSnapshot] = []

        async def fetch(address: str) -> None:
            match await self._peers.fetch_snapshot(address):
                case PeerSnapshot() as snapshot:
                    snapshots.append(snapshot)
                case PeerUnreachable():
                    pass

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(fetch, address)
        snapshots.sort(key=lambda snapshot: snapshot.configuration.version)
        for snapshot in snapshots:
            self._apply_snapshot(snapshot)
        return bool(snapshots)

    def _apply_snapshot(self, snapshot: PeerSnapshot) -> None:
        self._membership.merge(snapshot.members, snapshot.marks)
        if snapshot.instances:
            self._apply_instances(list(snapshot.instances))
        self._configuration.apply_update(snapshot.configuration)
        self._configuration.apply_confirmation(snapshot.announcement)
        log_events.emit(
            log_events.RECOVERED_FROM_PEER,
            peer=snapshot.sender,
            version=snapshot.configuration.version,
        )
