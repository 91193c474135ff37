"""Wires the layers of an entry instance together and runs them."""

import ipaddress
import secrets
import signal
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
import trio_asyncio

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.admission import AdmissionCoordinator
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner, EngineOwners
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator
from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.operations import OperationsCoordinator
from wasabiwell_entry.coordination.operations.coordinator import Sources
from wasabiwell_entry.coordination.orders import OrderCoordinator, OrderLeases, WeightStoreRate
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.coordination.telemetry import (
    ObservedAdmission,
    ObservedDispatcher,
    ObservedEngines,
    ObservedPlain,
    ObservedTable,
    RequestLog,
)
from wasabiwell_entry.settings import Settings, split_address
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock, SystemClock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.counters import Counters
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.targets import TargetTable
from wasabiwell_entry.transport.certificates import Certificates, KeyPair
from wasabiwell_entry.transport.http.context import HttpContext, HttpLimits
from wasabiwell_entry.transport.http.server import serve_callers
from wasabiwell_entry.transport.peer.client import PeerClient, open_peer_client
from wasabiwell_entry.transport.peer.codec import TRAFFIC
from wasabiwell_entry.transport.peer.credits import GrpcCreditPeers, serve_credits
from wasabiwell_entry.transport.peer.rate import GrpcRatePeers, serve_rate
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

CALLER_PROTOCOLS = ("h2", "http/1.1")


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """TLS contexts of an entry instance; None stands for connections without TLS."""

    certificates: Certificates
    callers: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None
    targets: ssl.SSLContext | None
    platform: ssl.SSLContext | None


@dataclass(frozen=True, slots=True)
class Instance:
    """The parts of a running entry instance."""

    settings: Settings
    http: HttpContext
    membership: MembershipCoordinator
    targets: TargetCoordinator
    configuration: ConfigurationCoordinator
    lifecycle: LifecycleCoordinator
    peers: PeerClient
    tls: TlsContexts
    credit_owner: CreditOwner
    credit_holder: CreditHolder
    rate: WeightStoreRate


@asynccontextmanager
async def open_instance(settings: Settings, clock: Clock) -> AsyncIterator[Instance]:
    """Build an entry instance and own its connections until the context ends."""
    tls = _open_tls(settings)
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
        own = _own_member(settings)
        members = MemberTable()
        target_table = TargetTable()
        configuration_state = ConfigurationState()
        counters = Counters()
        records = RequestLog(clock)
        table = ObservedTable(
            HttpTableService(settings.table_url, tls.platform), counters, telemetry
        )
        engines = HttpEngineClient(pools, clock, telemetry)
        targets = TargetCoordinator(target_table, engines, clock)
        membership = MembershipCoordinator(
            own, members, HttpInstanceList(settings.instance_url, tls.platform), clock
        )
        membership.observe(targets.update_instances)
        configuration = ConfigurationCoordinator(table, configuration_state, clock)
        lifecycle = LifecycleCoordinator(own, members, configuration_state, clock)
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
        dispatcher = Dispatcher(
            admission=ObservedAdmission(
                AdmissionCoordinator(
                    Router(target_table, settings.zone, clock), target_table, credit_holder, clock
                ),
                records,
                telemetry,
            ),
            engines=ObservedEngines(engines, records, telemetry),
            plain=ObservedPlain(HttpPlainClient(clock, telemetry, tls.targets), records, telemetry),
            runs=RunCoordinator(
                table, HttpObjectStore(settings.object_url, tls.platform), clock, settings.node_id
            ),
            observer=targets,
            clock=clock,
        )
        operations = OperationsCoordinator(
            Sources(
                own=own,
                configuration=configuration_state,
                members=members,
                targets=target_table,
                lifecycle=lifecycle,
                records=records,
                counters=counters,
                traffic=TRAFFIC,
            )
        )
        rate = WeightStoreRate(settings.weight_loads, own, members, GrpcRatePeers(peers), clock)
        orders = OrderCoordinator(
            OrderLeases(table, clock, settings.node_id), HttpOrderClient(pools), rate, clock
        )
        http = HttpContext(
            dispatcher=ObservedDispatcher(dispatcher, records, counters, telemetry),
            addresses=AddressCoordinator(own, members),
            configuration=configuration_state,
            configuration_coordinator=configuration,
            lifecycle=lifecycle,
            orders=orders,
            targets=target_table,
            clock=clock,
            limits=HttpLimits(settings.max_body_bytes, settings.body_timeout.total_seconds()),
            operations=operations,
            telemetry=telemetry,
            bootstrap_key_hash=settings.bootstrap_key_hash,
        )
        yield Instance(
            settings,
            http,
            membership,
            targets,
            configuration,
            lifecycle,
            peers,
            tls,
            credit_owner,
            credit_holder,
            rate,
        )


async def run_instance(settings: Settings) -> None:
    """Run an entry instance until SIGTERM and the end of its requests."""
    async with open_instance(settings, SystemClock()) as instance:
        peer_host, peer_port = split_address(settings.peer_address)
        service = PeerService()
        serve_credits(service, instance.credit_owner, instance.credit_holder)
        serve_rate(service, instance.rate)
        _warn_of_plaintext(settings)
        async with (
            serve_peers(service, peer_host, peer_port, instance.tls.peer_server),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(instance.tls.certificates.run)
            nursery.start_soon(instance.membership.run)
            nursery.start_soon(instance.targets.run)
            nursery.start_soon(instance.configuration.run)
            nursery.start_soon(instance.credit_owner.run)
            nursery.start_soon(instance.credit_holder.run)
            nursery.start_soon(_leave_on_signal, instance.lifecycle)
            nursery.start_soon(
                publish_reports, instance.http.telemetry, instance.http.operations.report
            )
            log_events.emit(
                log_events.ENTRY_STARTED, node=settings.node_id, address=settings.caller_address
            )
            host, port = split_address(settings.caller_address)
            await serve_callers(
                instance.http, host, port, lambda: _drained(instance), instance.tls.callers
            )
            nursery.cancel_scope.cancel()
    log_events.emit(log_events.ENTRY_STOPPED, node=settings.node_id)


async def _drained(instance: Instance) -> None:
    await instance.lifecycle.wait_drained(instance.settings.address_ttl)


async def _leave_on_signal(lifecycle: LifecycleCoordinator) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            lifecycle.leave(f"signal {signal.Signals(number).name}")


def _open_tls(settings: Settings) -> TlsContexts:
    certificates = Certificates()
    peer_server = peer_client = None
    if settings.peer_tls_certificate:
        pair = KeyPair(settings.peer_tls_certificate, settings.peer_tls_key)
        peer_server = certificates.peer_server(pair, settings.peer_tls_ca)
        peer_client = certificates.peer_client(pair, settings.peer_tls_ca)
    pair = KeyPair(settings.tls_certificate, settings.tls_key)
    return TlsContexts(
        certificates=certificates,
        callers=certificates.server(pair, CALLER_PROTOCOLS) if pair.certificate else None,
        peer_server=peer_server,
        peer_client=peer_client,
        targets=certificates.client(settings.target_ca) if settings.target_ca else None,
        platform=certificates.client(settings.platform_ca) if settings.platform_ca else None,
    )


def _warn_of_plaintext(settings: Settings) -> None:
    listeners = (
        (settings.caller_address, settings.tls_certificate),
        (settings.peer_address, settings.peer_tls_certificate),
    )
    for address, certificate in listeners:
        host = ipaddress.ip_address(split_address(address)[0].strip("[]"))
        if not certificate and not host.is_loopback:
            log_events.emit(log_events.PLAINTEXT_LISTENER, address=address)


def _own_member(settings: Settings) -> Member:
    return Member(
        node_id=settings.node_id,
        incarnation=1,
        region=settings.region,
        zone=settings.zone,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
    )
