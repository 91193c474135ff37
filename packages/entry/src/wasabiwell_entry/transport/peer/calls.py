"""Configuration and recovery calls between entry instances."""

from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.lifecycle.ports import PeerSnapshot
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.protocol.peer import (
    EXCHANGE,
    FETCH_CONFIGURATION,
    FETCH_SNAPSHOT,
    PUSH_CONFIGURATION,
    ConfigurationQuery,
    SnapshotQuery,
    VersionAck,
)
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationUpdate
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.transport.peer.client import PeerClient, PeerUnavailable
from wasabiwell_entry.transport.peer.exchange import exchange_handler
from wasabiwell_entry.transport.peer.server import PeerService


class GrpcPeerCalls:
    """Unary calls to other entry instances; implements ports of configuration and lifecycle."""

    __slots__ = ("_client", "_own_id")

    def __init__(self, client: PeerClient, own_id: str) -> None:
        self._client = client
        self._own_id = own_id

    async def push(self, member: Member, delta: ConfigurationDelta) -> int | PeerUnreachable:
        """Send a delta to a peer and return the version that is active there."""
        reply = await self._client.call(member.peer_address, PUSH_CONFIGURATION, delta)
        match reply:
            case PeerUnavailable(reason=reason):
                return PeerUnreachable(reason)
            case VersionAck(version=version):
                return version

    async def fetch(self, member: Member, since: int) -> ConfigurationUpdate | PeerUnreachable:
        """Return the changes of the peer's configuration after the version `since`."""
        query = ConfigurationQuery(since)
        reply = await self._client.call(member.peer_address, FETCH_CONFIGURATION, query)
        return PeerUnreachable(reply.reason) if isinstance(reply, PeerUnavailable) else reply

    async def fetch_snapshot(self, address: str) -> PeerSnapshot | PeerUnreachable:
        """Return the state snapshot of the entry instance at a peer address."""
        reply = await self._client.call(address, FETCH_SNAPSHOT, SnapshotQuery(self._own_id))
        return PeerUnreachable(reply.reason) if isinstance(reply, PeerUnavailable) else reply


def register_peer_methods(
    service: PeerService,
    membership: MembershipCoordinator,
    members: MemberTable,
    configuration: ConfigurationCoordinator,
    targets: TargetCoordinator,
) -> None:
    """Register the handlers of membership, configuration and recovery."""

    async def push_configuration(delta: ConfigurationDelta) -> VersionAck:
        return VersionAck(configuration.apply_pushed_delta(delta))

    async def fetch_configuration(query: ConfigurationQuery) -> ConfigurationUpdate:
        return configuration.state.update_since(query.since)

    async def fetch_snapshot(query: SnapshotQuery) -> PeerSnapshot:
        return PeerSnapshot(
            sender=membership.own.node_id,
            announcement=configuration.announcement(),
            configuration=configuration.state.update_since(0),
            members=tuple(members),
            marks=tuple(membership.marks()),
            instances=tuple(targets.instances()),
        )

    service.handle_stream(EXCHANGE, exchange_handler(membership))
    service.handle(PUSH_CONFIGURATION, push_configuration)
    service.handle(FETCH_CONFIGURATION, fetch_configuration)
    service.handle(FETCH_SNAPSHOT, fetch_snapshot)
