"""Wires the layers of an entry instance together and runs them."""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
import trio_asyncio

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.admission import AdmissionCoordinator
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.quarantine import QuarantineCoordinator
from wasabiwell_entry.coordination.quarantine.ports import NoSpreading
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.runs import open_run_coordinator
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.settings import Settings, split_address
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock, SystemClock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.suspects import SuspectTable
from wasabiwell_entry.state.targets import TargetTable
from wasabiwell_entry.transport.http.context import HttpContext, HttpLimits
from wasabiwell_entry.transport.http.server import serve_callers
from wasabiwell_entry.transport.peer.client import PeerClient, open_peer_client
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
    quarantine: QuarantineCoordinator
    peers: PeerClient


@asynccontextmanager
async def open_instance(settings: Settings, clock: Clock) -> AsyncIterator[Instance]:
    """Build an entry instance and own its connections until the context ends."""
    table = HttpTableService(settings.table_url)
    objects = HttpObjectStore(settings.object_url)
    async with (
        trio_asyncio.open_loop(),
        open_target_pools() as pools,
        open_peer_client() as peers,
        open_run_coordinator(table, objects, clock, settings.node_id) as runs,
    ):
        own = _own_member(settings)
        members = MemberTable()
        target_table = TargetTable()
        configuration_state = ConfigurationState()
        engines = HttpEngineClient(pools, clock)
        targets = TargetCoordinator(target_table, engines, clock)
        membership = MembershipCoordinator(
            own, members, HttpInstanceList(settings.instance_url), clock
        )
        membership.observe(targets.update_instances)
        configuration = ConfigurationCoordinator(table, configuration_state, clock)
        lifecycle = LifecycleCoordinator(own, members, configuration_state, clock)
        quarantine = QuarantineCoordinator(
            table, SuspectTable(), NoSpreading(), lambda: len(members), clock
        )
        dispatcher = Dispatcher(
            admission=AdmissionCoordinator(
                Router(target_table, settings.zone, clock), target_table, engines
            ),
            engines=engines,
            plain=HttpPlainClient(clock),
            runs=runs,
            observer=targets,
            suspects=quarantine,
            clock=clock,
        )
        http = HttpContext(
            dispatcher=dispatcher,
            addresses=AddressCoordinator(own, members),
            configuration=configuration_state,
            configuration_coordinator=configuration,
            lifecycle=lifecycle,
            clock=clock,
            limits=HttpLimits(settings.max_body_bytes, settings.body_timeout.total_seconds()),
            status=lambda: _status(settings, configuration_state, members, target_table, lifecycle),
        )
        yield Instance(
            settings, http, membership, targets, configuration, lifecycle, quarantine, peers
        )


async def run_instance(settings: Settings) -> None:
    """Run an entry instance until SIGTERM and the end of its requests."""
    async with open_instance(settings, SystemClock()) as instance:
        peer_host, peer_port = split_address(settings.peer_address)
        async with serve_peers(PeerService(), peer_host, peer_port), trio.open_nursery() as nursery:
            nursery.start_soon(instance.membership.run)
            nursery.start_soon(instance.targets.run)
            nursery.start_soon(instance.configuration.run)
            nursery.start_soon(instance.quarantine.run)
            nursery.start_soon(_leave_on_signal, instance.lifecycle)
            log_events.emit(
                log_events.ENTRY_STARTED, node=settings.node_id, address=settings.caller_address
            )
            host, port = split_address(settings.caller_address)
            await serve_callers(instance.http, host, port, lambda: _drained(instance))
            nursery.cancel_scope.cancel()
    log_events.emit(log_events.ENTRY_STOPPED, node=settings.node_id)


async def _drained(instance: Instance) -> None:
    await instance.lifecycle.wait_drained(instance.settings.address_ttl)


async def _leave_on_signal(lifecycle: LifecycleCoordinator) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            lifecycle.leave(f"signal {signal.Signals(number).name}")


def _own_member(settings: Settings) -> Member:
    return Member(
        node_id=settings.node_id,
        incarnation=1,
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
