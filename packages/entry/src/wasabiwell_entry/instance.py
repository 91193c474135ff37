"""Wires the layers of an entry instance together and runs them."""

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
import trio_asyncio

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.admission import AdmissionCoordinator
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.configuration.store import ConfigurationStore
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator, RecoveryCoordinator
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.settings import Settings, split_address
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock, SystemClock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.marks import MarkTable
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.platform import InstanceRecord
from wasabiwell_entry.state.targets import TargetTable
from wasabiwell_entry.transport.http.context import HttpContext, HttpLimits
from wasabiwell_entry.transport.http.server import serve_callers
from wasabiwell_entry.transport.peer.calls import GrpcPeerCalls, register_peer_methods
from wasabiwell_entry.transport.peer.client import PeerClient, open_peer_client
from wasabiwell_entry.transport.peer.exchange import GrpcPeers
from wasabiwell_entry.transport.peer.server import PeerService, serve_peers
from wasabiwell_entry.transport.platform.client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from wasabiwell_entry.transport.target.engine import HttpEngineClient
from wasabiwell_entry.transport.target.plain import HttpPlainClient
from wasabiwell_entry.transport.target.pools import open_target_pools


@dataclass(frozen=True, slots=True)
class Instance:
    """The parts of a running entry instance."""

    settings: Settings
    http: HttpContext
    membership: MembershipCoordinator
    targets: TargetCoordinator
    configuration: ConfigurationCoordinator
    lifecycle: LifecycleCoordinator
    recovery: RecoveryCoordinator
    peers: PeerClient
    peer_service: PeerService


@asynccontextmanager
async def open_instance(settings: Settings, clock: Clock) -> AsyncIterator[Instance]:
    """Build an entry instance and own its connections until the context ends."""
    async with (
        trio_asyncio.open_loop(),
        open_target_pools() as pools,
        open_peer_client() as peers,
    ):
        own = _own_member(settings, clock)
        members = MemberTable()
        target_table = TargetTable()
        configuration_state = ConfigurationState()
        table = HttpTableService(settings.table_url)
        engines = HttpEngineClient(pools, clock)
        objects = HttpObjectStore(settings.object_url)
        instances = HttpInstanceList(settings.instance_url)
        peer_calls = GrpcPeerCalls(peers, settings.node_id)
        configuration = ConfigurationCoordinator(
            own, members, ConfigurationStore(table, objects), configuration_state, peer_calls, clock
        )
        membership = MembershipCoordinator(
            own, members, MarkTable(), instances, GrpcPeers(), configuration, clock
        )
        targets = TargetCoordinator(target_table, engines, membership, clock, settings.node_id)
        membership.observe(targets.update_instances)
        lifecycle = LifecycleCoordinator(membership, configuration, clock)
        membership.observe(_leave_when_listed(settings.node_id, lifecycle))
        recovery = RecoveryCoordinator(
            membership,
            configuration,
            peer_calls,
            instances,
            settings.seeds,
            targets.update_instances,
            clock,
        )
        peer_service = PeerService()
        register_peer_methods(peer_service, membership, members, configuration, targets)
        dispatcher = Dispatcher(
            admission=AdmissionCoordinator(
                Router(target_table, settings.zone, clock), target_table, engines
            ),
            engines=engines,
            plain=HttpPlainClient(clock),
            runs=RunCoordinator(table, objects, clock, settings.node_id),
            observer=targets,
            clock=clock,
        )
        http = HttpContext(
            dispatcher=dispatcher,
            addresses=AddressCoordinator(own, members, settings.address_ttl),
            configuration=configuration_state,
            configuration_coordinator=configuration,
            lifecycle=lifecycle,
            targets=targets,
            clock=clock,
            limits=HttpLimits(settings.max_body_bytes, settings.body_timeout.total_seconds()),
            status=lambda: _status(settings, configuration_state, members, target_table, lifecycle),
        )
        yield Instance(
            settings,
            http,
            membership,
            targets,
            configuration,
            lifecycle,
            recovery,
            peers,
            peer_service,
        )


async def run_instance(settings: Settings) -> None:
    """Run an entry instance until SIGTERM and the end of its requests."""
    async with open_instance(settings, SystemClock()) as instance:
        peer_host, peer_port = split_address(settings.peer_listen or settings.peer_address)
        await instance.recovery.recover()
        async with (
            serve_peers(instance.peer_service, peer_host, peer_port),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(instance.membership.run)
            nursery.start_soon(instance.targets.run)
            nursery.start_soon(instance.configuration.run)
            nursery.start_soon(_leave_on_signal, instance.lifecycle)
            log_events.emit(
                log_events.ENTRY_STARTED, node=settings.node_id, address=settings.caller_address
            )
            host, port = split_address(settings.caller_address)
            await serve_callers(instance.http, host, port, lambda: _drained(instance))
            nursery.cancel_scope.cancel()
    log_events.emit(log_events.ENTRY_STOPPED, node=settings.node_id)


async def _drained(instance: Instance) -> None:
    settings = instance.settings
    await instance.lifecycle.wait_drained(settings.address_ttl, settings.drain_limit)


def _leave_when_listed(
    node_id: str, lifecycle: LifecycleCoordinator
) -> Callable[[list[InstanceRecord]], None]:
    """Return an observer that stops this instance when the list begins to show it as leaving.

    An instance that is listed as leaving at its first look has been replaced under its node id,
    and the list still shows its predecessor.
    """
    was_staying = False

    def observe(records: list[InstanceRecord]) -> None:
        nonlocal was_staying
        for record in records:
            if record.instance_id == node_id and record.role == "entry":
                if record.leaving and was_staying:
                    lifecycle.leave("the instance list shows it as leaving")
                was_staying = was_staying or not record.leaving

    return observe


async def _leave_on_signal(lifecycle: LifecycleCoordinator) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            lifecycle.leave(f"signal {signal.Signals(number).name}")


def _own_member(settings: Settings, clock: Clock) -> Member:
    """Return this instance; a start at a later time has a higher incarnation.

    When the clock stepped back, peers tell the old incarnation and membership exceeds it.
    """
    return Member(
        node_id=settings.node_id,
        incarnation=int(clock.now().timestamp() * 1000),
        region=settings.region,
        zone=settings.zone,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
    )


def _status(
    settings: Settings,
    configuration: ConfigurationState,
    members: MemberTable,
    targets: TargetTable,
    lifecycle: LifecycleCoordinator,
) -> dict[str, object]:
    return {
        "node_id": settings.node_id,
        "zone": settings.zone,
        "configuration_version": configuration.version,
        "open_requests": lifecycle.open_requests,
        "members": [
            {"node_id": member.node_id, "zone": member.zone, "status": member.status.value}
            for member in members
        ],
        "targets": [
            {
                "target_id": status.target.target_id,
                "service": status.target.service,
                "zone": status.target.zone,
                "leaving": status.leaving,
                "lost": status.lost_at is not None,
                "outstanding": status.outstanding,
            }
            for status in targets
        ],
    }
