"""Assembles the components of an entry instance and runs them."""

import resource
import secrets
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio
import trio_asyncio
from wasabiwell_config import Organisation

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.admission import AdmissionCoordinator
from wasabiwell_entry.coordination.admission.coordinator import AdmissionPorts
from wasabiwell_entry.coordination.admission.load_capacity import LoadBasedCapacity
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.configuration.store import ConfigurationStore
from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner, EngineOwners
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.intake import Intake
from wasabiwell_entry.coordination.intake.coordinator import IntakeLimits, limits_of_machine
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator, RecoveryCoordinator
from wasabiwell_entry.coordination.limits import LimitCoordinator
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.operations import OperationsCoordinator
from wasabiwell_entry.coordination.operations.coordinator import StatusSources
from wasabiwell_entry.coordination.operations.providers import (
    AdmissionQueueProvider,
    EngineCreditProvider,
    SuspectProvider,
)
from wasabiwell_entry.coordination.orders import (
    OrderCoordinator,
    OrderLeases,
    WeightStoreRateLimiter,
)
from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator
from wasabiwell_entry.coordination.quarantine.marks import SuspectGossip
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.routing.errors import UnknownPolicy
from wasabiwell_entry.coordination.routing.policies import LoadAware, Policy, policy_by_name
from wasabiwell_entry.coordination.runs.coordinator import open_run_coordinator
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.coordination.telemetry.instrumented import (
    InstrumentedAdmission,
    InstrumentedDispatcher,
    InstrumentedEngines,
    InstrumentedPlainServices,
    InstrumentedTable,
)
from wasabiwell_entry.coordination.telemetry.records import RequestLog
from wasabiwell_entry.protocol.peer import ACQUIRE_LIMIT
from wasabiwell_entry.settings import Settings, split_address
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock, SystemClock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.counters import Counters
from wasabiwell_entry.state.marks import MarkTable
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.platform import InstanceRecord
from wasabiwell_entry.state.suspects import SuspectTable
from wasabiwell_entry.state.targets import TargetTable
from wasabiwell_entry.tls import TlsContexts, open_tls, warn_of_plaintext
from wasabiwell_entry.transport.http.context import HttpContext, HttpLimits
from wasabiwell_entry.transport.http.server import serve_callers
from wasabiwell_entry.transport.peer.calls import GrpcPeerCalls, register_peer_methods
from wasabiwell_entry.transport.peer.client import open_peer_client
from wasabiwell_entry.transport.peer.codec import CONTROL_TRAFFIC
from wasabiwell_entry.transport.peer.credits import GrpcCreditPeers, serve_credits
from wasabiwell_entry.transport.peer.exchange import GrpcHeartbeatConnector
from wasabiwell_entry.transport.peer.limits import GrpcLimitOwners
from wasabiwell_entry.transport.peer.rate import GrpcWeightRatePeers, serve_weight_rate
from wasabiwell_entry.transport.peer.server import PeerService, serve_peers
from wasabiwell_entry.transport.platform.client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableService,
)
from wasabiwell_entry.transport.target.engine import HttpEngineClient
from wasabiwell_entry.transport.target.orders import HttpOrderClient
from wasabiwell_entry.transport.target.plain import HttpPlainClient
from wasabiwell_entry.transport.target.pools import open_target_pools
from wasabiwell_entry.transport.telemetry.lifetime import open_telemetry, publish_reports


@dataclass(frozen=True, slots=True)
class Instance:
    """The components of an entry instance that have their own tasks or listeners."""

    settings: Settings
    tls: TlsContexts
    http: HttpContext
    membership: MembershipCoordinator
    targets: TargetCoordinator
    configuration: ConfigurationCoordinator
    lifecycle: LifecycleCoordinator
    recovery: RecoveryCoordinator
    credit_owner: CreditOwner
    credit_holder: CreditHolder
    limits: LimitCoordinator
    quarantine: QuarantineCoordinator
    peer_service: PeerService


@asynccontextmanager
async def open_instance(settings: Settings, clock: Clock) -> AsyncIterator[Instance]:
    """Build an entry instance and keep its connections open until the context exits."""
    tls = open_tls(settings)
    counters = Counters()
    records = RequestLog(clock)
    objects = HttpObjectStore(settings.object_url, tls.platform)
    instances = HttpInstanceList(settings.instance_url, tls.platform)
    async with (
        trio_asyncio.open_loop(),
        open_target_pools(tls.targets) as pools,
        open_telemetry(
            settings.otlp_endpoint,
            settings.otlp_interval,
            settings.otlp_sample_ratio,
            settings.node_id,
            settings.zone,
        ) as telemetry,
        open_peer_client(telemetry, tls.peer_client) as peers,
    ):
        own = _own_member(settings, clock)
        members = MemberTable()
        target_table = TargetTable()
        configuration_state = ConfigurationState()
        table = InstrumentedTable(
            HttpTableService(settings.table_url, tls.platform), counters, telemetry
        )
        engines = HttpEngineClient(pools, clock, telemetry)
        peer_calls = GrpcPeerCalls(peers, settings.node_id)
        configuration = ConfigurationCoordinator(
            own, members, ConfigurationStore(table, objects), configuration_state, peer_calls, clock
        )
        membership = MembershipCoordinator(
            own,
            members,
            MarkTable(),
            instances,
            GrpcHeartbeatConnector(tls.peer_client),
            configuration,
            clock,
        )
        targets = TargetCoordinator(target_table, engines, membership, clock, settings.node_id)
        membership.observe(targets.update_instances)
        lifecycle = LifecycleCoordinator(membership, configuration, clock, settings.drain_limit)
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
        owners = EngineOwners(own, members, target_table)
        credit_peers = GrpcCreditPeers(peers)
        credit_owner = CreditOwner(owners, target_table, credit_peers, clock)
        credit_holder = CreditHolder(
            f"{settings.node_id}/{secrets.token_hex(4)}",
            owners,
            credit_owner,
            credit_peers,
            target_table,
            engines,
            clock,
        )

        def organisation(name: str) -> Organisation | None:
            return configuration_state.view.organisation(name)

        limits = LimitCoordinator(own, members, organisation, GrpcLimitOwners(peers), clock)
        policy = _policy(settings)
        match policy:
            case LoadAware(shares_credits=True):
                capacity: CreditHolder | LoadBasedCapacity = credit_holder
            case _:
                capacity = LoadBasedCapacity(target_table, clock, lambda: len(members.alive()))
        admission = AdmissionCoordinator(
            Router(
                target_table,
                settings.zone,
                clock,
                policy,
                lambda: configuration_state.view.evacuated_zones,
            ),
            target_table,
            AdmissionPorts(engines, capacity, limits, organisation),
            clock,
        )
        targets.observe(admission.capacity_changed)
        suspect_gossip = SuspectGossip(membership, clock)
        quarantine = QuarantineCoordinator(
            table, SuspectTable(), suspect_gossip, lambda: len(members), clock
        )
        suspect_gossip.subscribe(quarantine.merge_remote, quarantine.remove)
        rate = WeightStoreRateLimiter(
            settings.weight_loads, own, members, GrpcWeightRatePeers(peers), clock
        )
        peer_service = PeerService()
        register_peer_methods(peer_service, membership, members, configuration, targets)
        serve_credits(peer_service, credit_owner, credit_holder)
        serve_weight_rate(peer_service, rate)
        peer_service.handle(ACQUIRE_LIMIT, limits.serve)
        shared_capacity = EngineCreditProvider(owners, credit_owner, credit_holder)
        operations = OperationsCoordinator(
            StatusSources(
                own=own,
                configuration=configuration_state,
                members=members,
                targets=target_table,
                target_coordinator=targets,
                lifecycle=lifecycle,
                records=records,
                counters=counters,
                traffic=CONTROL_TRAFFIC,
                queues=AdmissionQueueProvider(admission),
                credits=shared_capacity,
                owners=shared_capacity,
                quarantine=SuspectProvider(quarantine),
            )
        )
        async with open_run_coordinator(table, objects, clock, settings.node_id) as runs:
            dispatcher = Dispatcher(
                admission=InstrumentedAdmission(admission, records, telemetry),
                engines=InstrumentedEngines(engines, records, telemetry),
                plain=InstrumentedPlainServices(
                    HttpPlainClient(clock, telemetry, tls.targets), records, telemetry
                ),
                runs=runs,
                observer=targets,
                suspects=quarantine,
                clock=clock,
            )
            http = HttpContext(
                dispatcher=InstrumentedDispatcher(dispatcher, records, counters, telemetry),
                addresses=AddressCoordinator(own, members, settings.address_ttl),
                configuration=configuration_state,
                configuration_coordinator=configuration,
                lifecycle=lifecycle,
                orders=OrderCoordinator(
                    OrderLeases(table, clock, settings.node_id), HttpOrderClient(pools), rate, clock
                ),
                targets=target_table,
                clock=clock,
                limits=HttpLimits(settings.max_body_bytes, settings.body_timeout.total_seconds()),
                operations=operations,
                telemetry=telemetry,
                bootstrap_key_hash=settings.bootstrap_key_hash,
                intake=Intake(_intake_limits(settings), clock),
            )
            yield Instance(
                settings,
                tls,
                http,
                membership,
                targets,
                configuration,
                lifecycle,
                recovery,
                credit_owner,
                credit_holder,
                limits,
                quarantine,
                peer_service,
            )


def _intake_limits(settings: Settings) -> IntakeLimits:
    """Return the bounds of what callers send; all ports of this front end are for callers."""
    descriptors = settings.file_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limits = limits_of_machine(0, 0 if descriptors == resource.RLIM_INFINITY else descriptors)
    return replace(limits, buffered_bytes=int(settings.buffer_mb * 1_000_000))


async def run_instance(settings: Settings) -> None:
    """Run an entry instance until it leaves, on a signal for example, and has drained."""
    async with open_instance(settings, SystemClock()) as instance:
        warn_of_plaintext(settings)
        await instance.recovery.recover()
        peer_host, peer_port = split_address(settings.peer_listen or settings.peer_address)
        async with (
            serve_peers(instance.peer_service, peer_host, peer_port, instance.tls.peer_server),
            trio.open_nursery() as nursery,
        ):
            _start_tasks(instance, nursery)
            log_events.emit(
                log_events.ENTRY_STARTED, node=settings.node_id, address=settings.caller_address
            )
            host, port = split_address(settings.caller_address)
            await serve_callers(
                instance.http, host, port, lambda: _wait_drained(instance), instance.tls.callers
            )
            nursery.cancel_scope.cancel()
    log_events.emit(log_events.ENTRY_STOPPED, node=settings.node_id)


def _start_tasks(instance: Instance, nursery: trio.Nursery) -> None:
    nursery.start_soon(instance.tls.certificates.run)
    nursery.start_soon(instance.membership.run)
    nursery.start_soon(instance.targets.run)
    nursery.start_soon(instance.configuration.run)
    nursery.start_soon(instance.credit_owner.run)
    nursery.start_soon(instance.credit_holder.run)
    nursery.start_soon(instance.limits.run)
    nursery.start_soon(instance.quarantine.run)
    nursery.start_soon(_leave_on_signal, instance.lifecycle)
    nursery.start_soon(publish_reports, instance.http.telemetry, instance.http.operations.report)


async def _wait_drained(instance: Instance) -> None:
    settings = instance.settings
    await instance.lifecycle.wait_drained(settings.address_ttl)


async def _leave_on_signal(lifecycle: LifecycleCoordinator) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            lifecycle.leave(f"signal {signal.Signals(number).name}")


def _leave_when_listed(
    node_id: str, lifecycle: LifecycleCoordinator
) -> Callable[[list[InstanceRecord]], None]:
    """Return an observer that stops this instance when the list changes its state to leaving.

    An instance that is listed as leaving from the start has replaced another one with the same node
    id, and the list still shows its predecessor.
    """
    was_active = False

    def observe(records: list[InstanceRecord]) -> None:
        nonlocal was_active
        for record in records:
            if record.instance_id == node_id and record.role == "entry":
                if record.leaving and was_active:
                    lifecycle.leave("the instance list shows it as leaving")
                was_active = was_active or not record.leaving

    return observe


def _policy(settings: Settings) -> Policy:
    """Return the routing policy of the settings, which were validated at start."""
    policy = policy_by_name(settings.policy)
    assert not isinstance(policy, UnknownPolicy), policy
    return policy


def _own_member(settings: Settings, clock: Clock) -> Member:
    """Return this instance as a member; its incarnation is the start time in milliseconds.

    When the clock has been set back since the previous start, peers still have the higher old
    incarnation; membership receives it from them and then uses a higher one.
    """
    return Member(
        node_id=settings.node_id,
        incarnation=int(clock.now().timestamp() * 1000),
        region=settings.region,
        zone=settings.zone,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
    )
