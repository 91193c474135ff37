"""Measures the number and the CPU time of the peer messages for credits."""

import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import click
import trio
import trio_asyncio
from wasabiwell_entry.coordination.admission.ports import Hold
from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner, EngineOwners
from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable
from wasabiwell_entry.coordination.credits.ports import ClaimResponse, CreditReturn
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.credits import Amount, CreditClaim
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import EngineLoad, Target, TargetKind, TargetTable
from wasabiwell_entry.transport.peer.client import open_peer_client
from wasabiwell_entry.transport.peer.credits import GrpcCreditPeers, serve_credits
from wasabiwell_entry.transport.peer.server import PeerService, serve_peers

from wasabiwell_standins.fleet import HOST, free_ports

SLOTS = 32
TOKENS = 400_000
REQUEST_TOKENS = 2_000
LOAD_SECONDS = 0.5


class CountingPeers:
    """Counts the messages to other entry instances."""

    def __init__(self, inner: GrpcCreditPeers) -> None:
        self.messages = 0
        self._inner = inner

    async def acquire(
        self, owner: Member, claims: Sequence[CreditClaim]
    ) -> list[ClaimResponse] | CreditOwnerUnreachable:
        """Send claims to an owner."""
        self.messages += 1
        return await self._inner.acquire(owner, claims)

    async def release(
        self, owner: Member, returns: Sequence[CreditReturn]
    ) -> CreditOwnerUnreachable | None:
        """Return credits to an owner."""
        self.messages += 1
        return await self._inner.release(owner, returns)

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | CreditOwnerUnreachable:
        """Query the outstanding credits of a holder, as a new owner does."""
        self.messages += 1
        return await self._inner.outstanding(holder, engine_ids)


class NoReservations:
    """Refuses all reservations, because the measured requests fit on one engine."""

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Return a refusal."""
        return ReservationRefused("not measured")

    async def renew(self, target: Target, reservation_id: str) -> None:
        """Do nothing."""

    async def release(self, target: Target, reservation_id: str) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Node:
    """Credit owner and holder of one entry instance, with statistics of its requests.

    `waits` holds the time that each request waited for capacity, in seconds.
    """

    owner: CreditOwner
    holder: CreditHolder
    peers: CountingPeers
    requests: int = 0
    waits: list[float] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def notify_change(self) -> None:
        """Wake all requests that wait for capacity."""
        self.changed.set()
        self.changed = trio.Event()


@dataclass(slots=True)
class Cluster:
    """Entry instances in one process, connected over loopback, that share simulated engines.

    `running` holds the number of running requests by engine.
    """

    members: MemberTable
    targets: TargetTable
    running: dict[str, int]
    nodes: list[Node]


@asynccontextmanager
async def open_cluster(entries: int, engines: int) -> AsyncIterator[Cluster]:
    """Yield a cluster whose peer servers run until the context exits."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(trio_asyncio.open_loop())
        clock = SystemClock()
        cluster = Cluster(MemberTable(), TargetTable(), {}, [])
        for index in range(engines):
            name = f"engine-{index}"
            cluster.targets.put(Target(name, TargetKind.ENGINE, "s", "", "r", "z"))
            cluster.running[name] = 0
        report_load(cluster)
        ports = free_ports(entries)
        for index, port in enumerate(ports):
            cluster.members.put(Member(f"n-{index}", 1, "r", "z", "", f"{HOST}:{port}"))
        for member, port in zip(cluster.members, ports, strict=True):
            client = await stack.enter_async_context(open_peer_client())
            peers = CountingPeers(GrpcCreditPeers(client))
            owners = EngineOwners(member, cluster.members, cluster.targets)
            owner = CreditOwner(owners, cluster.targets, peers, clock)
            holder = CreditHolder(
                member.node_id, owners, owner, peers, cluster.targets, NoReservations(), clock
            )
            service = PeerService()
            serve_credits(service, owner, holder)
            await stack.enter_async_context(serve_peers(service, HOST, port))
            node = Node(owner, holder, peers)
            holder.on_change(node.notify_change)
            cluster.nodes.append(node)
        yield cluster


def report_load(cluster: Cluster) -> None:
    """Update the load report of each engine."""
    now = timedelta(seconds=trio.current_time())
    for status in cluster.targets:
        running = cluster.running[status.target.target_id]
        free = TOKENS - running * REQUEST_TOKENS
        status.load = EngineLoad(now, SLOTS, running, 0, TOKENS, free)


async def report_loads(cluster: Cluster) -> None:
    """Update the load reports periodically until cancelled."""
    while True:
        report_load(cluster)
        await trio.sleep(LOAD_SECONDS)


async def run_request(cluster: Cluster, node: Node, engine: str, seconds: float) -> None:
    """Acquire capacity for one request, waiting as admission does, and hold it for `seconds`."""
    started = trio.current_time()
    node.requests += 1
    hold = node.holder.try_hold(engine, REQUEST_TOKENS, SizeClass.SHORT)
    while not isinstance(hold, Hold):
        changed = node.changed
        node.holder.report_demand(engine, REQUEST_TOKENS, SizeClass.SHORT)
        await changed.wait()
        hold = node.holder.try_hold(engine, REQUEST_TOKENS, SizeClass.SHORT)
    node.waits.append(trio.current_time() - started)
    cluster.running[engine] += 1
    await trio.sleep(seconds)
    cluster.running[engine] -= 1
    node.holder.release(hold)


async def send_requests(
    cluster: Cluster, node: Node, rate: float, held_seconds: float, nursery: trio.Nursery
) -> None:
    """Start requests at a fixed rate, in turn on all engines."""
    engines = list(cluster.running)
    number = 0
    while True:
        engine = engines[number % len(engines)]
        nursery.start_soon(run_request, cluster, node, engine, held_seconds)
        number += 1
        await trio.sleep(1.0 / rate)


async def measure_messages(
    entries: int, engines: int, rate: float, seconds: float, held_seconds: float
) -> str:
    """Return a table row with the messages per request and the waiting times."""
    async with open_cluster(entries, engines) as cluster, trio.open_nursery() as nursery:
        nursery.start_soon(report_loads, cluster)
        for node in cluster.nodes:
            nursery.start_soon(node.owner.run)
            nursery.start_soon(node.holder.run)
            nursery.start_soon(send_requests, cluster, node, rate, held_seconds, nursery)
        await trio.sleep(seconds)
        requests = sum(node.requests for node in cluster.nodes)
        messages = sum(node.peers.messages for node in cluster.nodes)
        waits = sorted(wait for node in cluster.nodes for wait in node.waits)
        nursery.cancel_scope.cancel()
    return (
        f"| {entries} | {engines} | {requests} | {messages} | {messages / requests:.3f} "
        f"| {messages / entries / seconds:.1f} | {waits[len(waits) // 2] * 1e3:.1f} "
        f"| {waits[int(len(waits) * 0.95)] * 1e3:.1f} |"
    )


async def measure_cpu(claims: int, messages: int) -> str:
    """Return a table row with the CPU time, at both ends, of messages with `claims` claims."""
    async with open_cluster(2, claims * 4) as cluster:
        first = cluster.nodes[0]
        members_by_id = {member.node_id: member for member in cluster.members}
        owners = EngineOwners(members_by_id["n-1"], cluster.members, cluster.targets)
        engines = [name for name in cluster.running if owners.is_own(owners.owner(name))][:claims]
        amount = Amount(1, REQUEST_TOKENS)
        started = 0.0
        for sequence in range(-10, messages):
            if sequence == 0:
                started = time.process_time()
            batch = [
                CreditClaim(name, "m", sequence + 20, amount, amount, amount) for name in engines
            ]
            responses = await first.peers.acquire(members_by_id["n-1"], batch)
            if isinstance(responses, CreditOwnerUnreachable):
                raise click.ClickException(f"credit owner unreachable: {responses.reason}")
        cpu = (time.process_time() - started) / messages
    return f"| {len(engines)} | {messages} | {cpu * 1e3:.2f} | {cpu * 1e6 / len(engines):.0f} |"


@click.command()
@click.option(
    "--entries", default=(2, 4, 8), multiple=True, help="Numbers of entry instances to measure."
)
@click.option("--engines-per-entry", default=2, help="Engines per entry instance.")
@click.option("--rate", default=24.0, help="Requests per second and entry instance.")
@click.option("--held-s", default=0.5, help="Time for which a request holds capacity, in seconds.")
@click.option("--seconds", default=10.0, help="Time of each run, in seconds.")
@click.option("--messages", default=500, help="Messages per CPU measurement.")
def main(
    entries: tuple[int, ...],
    engines_per_entry: int,
    rate: float,
    held_s: float,
    seconds: float,
    messages: int,
) -> None:
    """Print credit messages per request, and CPU time per credit message."""
    click.echo(
        "| entries | engines | requests | messages | messages/request | messages/s/entry "
        "| wait p50 ms | wait p95 ms |"
    )
    click.echo("| --- " * 8 + "|")
    for count in entries:
        engines = count * engines_per_entry
        click.echo(trio.run(measure_messages, count, engines, rate, seconds, held_s))
    click.echo("\n| claims in a message | messages | CPU ms, both ends | CPU us per claim |")
    click.echo("| --- | --- | --- | --- |")
    for claims in (1, 8, 64):
        click.echo(trio.run(measure_cpu, claims, messages))


if __name__ == "__main__":
    main()
