"""Measures the cost per item behind `docs/CAPACITY.md` and prints its tables.

Each slope is the growth of CPU time, memory or bytes per item of one kind, computed from the
smallest and the largest of several counts. The tables multiply the slopes by the design size.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import click
import msgspec
import trio
import trio_asyncio
from wasabiwell_config import (
    Configuration,
    ModelService,
    Organisation,
    configuration_from_items,
    hash_key,
    items_of,
)
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.protocol.peer import PeerMethod
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationState
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.targets import EngineLoad, Target, TargetKind, TargetTable
from wasabiwell_entry.transport.peer.client import open_peer_client
from wasabiwell_entry.transport.peer.server import PeerService, serve_peers

from wasabiwell_standins.fleet import HOST, free_ports

SECONDS_PER_DAY = 86_400
MIN_RUN_SECONDS = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class DesignSize:
    """Deployment size that the design must support."""

    nodes: int = 420
    engines: int = 12_000
    models: int = 39
    organisations: int = 3_200
    regions: int = 8
    zones: int = 18
    requests_per_s: int = 10_000
    tokens_per_s: int = 3_100_000
    changes_per_day: int = 58_000
    failures_per_day: int = 140
    restarts_per_day: int = 660
    long_share: float = 0.02


@dataclass(frozen=True, slots=True)
class Slope:
    """Linear growth of a quantity with a count: `base` at count 0 plus `per_item` per item."""

    name: str
    unit: str
    counts: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def per_item(self) -> float:
        """Return the growth per item between the smallest and the largest count."""
        return (self.values[-1] - self.values[0]) / (self.counts[-1] - self.counts[0])

    @property
    def base(self) -> float:
        """Return the value extrapolated to count 0."""
        return self.values[0] - self.per_item * self.counts[0]

    def at(self, count: float) -> float:
        """Return the interpolated or extrapolated value at a count."""
        return self.base + self.per_item * count


def cpu_seconds(action: Callable[[], object]) -> float:
    """Return the CPU time of one call, averaged over at least `MIN_RUN_SECONDS` of calls."""
    calls = 1
    while True:
        started = time.process_time()
        for _ in range(calls):
            action()
        cpu_used = time.process_time() - started
        if cpu_used >= MIN_RUN_SECONDS:
            return cpu_used / calls
        calls *= 4


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory that a built object occupies."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def slope(name: str, unit: str, counts: tuple[int, ...], measure: Callable[[int], float]) -> Slope:
    """Measure a quantity at several counts and return its slope."""
    return Slope(name, unit, counts, tuple(measure(count) for count in counts))


def make_configuration(organisations: int) -> Configuration:
    """Return a configuration with `organisations` organisations and all models of `DesignSize`."""
    return Configuration(
        model_services=tuple(
            ModelService(name=f"model-{index}") for index in range(DesignSize().models)
        ),
        organisations=tuple(
            Organisation(name=f"organisation-{index}", key_hashes=(hash_key(f"key-{index}"),))
            for index in range(organisations)
        ),
    )


def make_members(count: int) -> list[Member]:
    """Return members spread over the regions and zones of `DesignSize`."""
    return [
        Member(
            f"entry-{index}",
            1,
            f"region-{index % 8}",
            f"zone-{index % 18}",
            f"10.0.{index // 250}.{index % 250}:8080",
            f"10.0.{index // 250}.{index % 250}:8081",
        )
        for index in range(count)
    ]


def make_target_table(count: int) -> TargetTable:
    """Return a table of engines of one service, each with a load report."""
    table = TargetTable()
    load = EngineLoad(timedelta(), 32, 4, 0, 400_000, 300_000)
    for index in range(count):
        target = Target(
            f"engine-{index}",
            TargetKind.ENGINE,
            "model-0",
            f"10.1.{index // 250}.{index % 250}:9000",
            f"region-{index % 8}",
            f"zone-{index % 18}",
        )
        table.put(target).load = load
    return table


def configuration_memory(count: int) -> float:
    """Return the memory of an active configuration, in bytes."""
    items = items_of(make_configuration(count))

    def build() -> ConfigurationState:
        state = ConfigurationState()
        state.replace(1, {path: bytes(value) for path, value in items.items()})
        return state

    return allocated_bytes(build)


def configuration_change_cpu(count: int) -> float:
    """Return the CPU time to activate a change of one organisation, in seconds."""
    state = ConfigurationState()
    state.replace(1, items_of(make_configuration(count)))
    organisation = Organisation(name="organisation-0", key_hashes=(hash_key("key-0"),), weight=2.0)
    value = msgspec.json.encode(organisation, order="deterministic")

    def change() -> None:
        delta = ConfigurationDelta(state.version + 1, {"organisation/organisation-0": value})
        state.advance(delta)

    return cpu_seconds(change)


def configuration_parse_cpu(count: int) -> float:
    """Return the CPU time to parse a full configuration from its items, in seconds."""
    items = items_of(make_configuration(count))
    return cpu_seconds(lambda: configuration_from_items(items))


def member_memory(count: int) -> float:
    """Return the memory of a member table, in bytes."""

    def build() -> MemberTable:
        table = MemberTable()
        for member in make_members(count):
            table.put(member)
        return table

    return allocated_bytes(build)


def target_memory(count: int) -> float:
    """Return the memory of a target table, in bytes."""
    return allocated_bytes(lambda: make_target_table(count))


def ownership_cpu(count: int) -> float:
    """Return the CPU time to find the owner of a key among `count` members, in seconds."""
    members = make_members(count)
    return cpu_seconds(lambda: owner_of("engine/engine-1", members))


def routing_cpu(count: int) -> float:
    """Return the CPU time to select one of `count` targets of a service, in seconds."""
    router = Router(make_target_table(count), "zone-0", ManualClock())
    return cpu_seconds(lambda: router.choose("model-0", frozenset()))


def local_slopes() -> list[Slope]:
    """Measure the slopes that need no network connection."""
    return [
        slope("configuration memory", "B/organisation", (100, 800, 3200), configuration_memory),
        slope("configuration change", "s/organisation", (100, 800, 3200), configuration_change_cpu),
        slope("configuration read", "s/organisation", (100, 800, 3200), configuration_parse_cpu),
        slope("member memory", "B/member", (50, 200, 420), member_memory),
        slope("target memory", "B/target", (100, 1000, 4000), target_memory),
        slope("owner look-up", "s/member", (6, 24, 100), ownership_cpu),
        slope("choice of a plain target", "s/target", (20, 80, 320), routing_cpu),
    ]


@dataclass(frozen=True, slots=True)
class Ping:
    """Peer message whose payload has the size of a heartbeat with a few updates."""

    payload: bytes


PING: PeerMethod[Ping, Ping] = PeerMethod("Ping", Ping, Ping)


def peer_call_cpu(calls: int = 400) -> float:
    """Return the CPU time of one unary peer call, client and server together, in seconds."""

    async def echo(request: Ping) -> Ping:
        return request

    async def run() -> float:
        service = PeerService()
        service.handle(PING, echo)
        port = free_ports()[0]
        async with (
            trio_asyncio.open_loop(),
            serve_peers(service, HOST, port),
            open_peer_client() as client,
        ):
            ping = Ping(b"x" * 200)
            await client.call(f"{HOST}:{port}", PING, ping)
            started = time.process_time()
            for _ in range(calls):
                await client.call(f"{HOST}:{port}", PING, ping)
            return (time.process_time() - started) / calls

    return trio.run(run)


@dataclass(frozen=True, slots=True)
class ControlBudget:
    """Limits of one node for control traffic, for all mechanisms together."""

    cpu_share: float = 0.033
    memory_bytes: int = 256_000_000
    bytes_per_s: int = 3_000


@dataclass(frozen=True, slots=True)
class MechanismLoad:
    """Resources that one mechanism uses on one node; `cpu_share` is the share of one core."""

    mechanism: str
    messages_per_s: float
    cpu_share: float
    memory_bytes: float = 0.0
    bytes_per_s: float = 0.0


HEARTBEATS_PER_S = 10
"""Five outgoing and about five incoming streams, with one exchange per second each."""
HEARTBEAT_BYTES = 95
"""Bytes of one exchange, from `measure_membership`: 953 B/s at 48 entries over 10 exchanges."""
LIMIT_RENEWALS_PER_S = 1 / 5
"""One message in 5 s to the owner of a limit from each entry that uses one of its organisations."""
LIMIT_MESSAGE_BYTES = 120
CHANGE_BYTES = 300
LOAD_POLLS_PER_S = 2.5
"""Two load queries per second and a cache event query every two seconds, per polled engine."""
LOAD_REPORT_BYTES = 120
INSTANCE_RECORD_BYTES = 200
LIST_READERS_PER_ZONE = 2
HEAD_POLLERS_PER_ZONE = 2
SLOW_HEAD_POLL_INTERVAL_S = 30.0
TABLE_READS_PER_S = 2_000
TABLE_WRITES_PER_S = 300
TABLE_WRITES_PER_CALL = 2
TABLE_READS_PER_CALL = 1


def node_loads(size: DesignSize, slopes: dict[str, Slope], peer_call: float) -> list[MechanismLoad]:
    """Return the control load of one node at the design size, for each mechanism."""
    cpu_per_end = peer_call / 2
    zone_members = size.nodes / size.zones
    region_members = size.nodes / size.regions
    owned_engines = size.engines / size.nodes
    changes = size.changes_per_day / SECONDS_PER_DAY
    member_changes = (size.failures_per_day + size.restarts_per_day) * 2 / SECONDS_PER_DAY
    renewals = 2 * (region_members - 1) * LIMIT_RENEWALS_PER_S
    change_cpu = slopes["configuration change"].at(size.organisations)
    look_up = slopes["owner look-up"].at(zone_members)
    return [
        MechanismLoad(
            "heartbeats",
            HEARTBEATS_PER_S,
            HEARTBEATS_PER_S * cpu_per_end,
            slopes["member memory"].at(size.nodes),
            HEARTBEATS_PER_S * HEARTBEAT_BYTES,
        ),
        MechanismLoad(
            "limits", renewals, renewals * cpu_per_end, 0.0, renewals * LIMIT_MESSAGE_BYTES
        ),
        MechanismLoad(
            "configuration",
            2 * changes,
            changes * (peer_call + change_cpu),
            slopes["configuration memory"].at(size.organisations),
            2 * changes * CHANGE_BYTES,
        ),
        MechanismLoad(
            "owner look-ups after member changes", 0.0, member_changes * size.engines * look_up
        ),
        MechanismLoad(
            "polls of owned engines",
            owned_engines * LOAD_POLLS_PER_S,
            owned_engines * LOAD_POLLS_PER_S * cpu_per_end,
            slopes["target memory"].at(size.engines),
            owned_engines * LOAD_POLLS_PER_S * LOAD_REPORT_BYTES,
        ),
        MechanismLoad(
            "polls of all engines (today's code)",
            size.engines * LOAD_POLLS_PER_S,
            size.engines * LOAD_POLLS_PER_S * cpu_per_end,
            slopes["target memory"].at(size.engines),
            size.engines * LOAD_POLLS_PER_S * LOAD_REPORT_BYTES,
        ),
    ]


def table_reads_per_s(size: DesignSize) -> float:
    """Return the table service reads of all nodes that are independent of the request rate."""
    pollers = HEAD_POLLERS_PER_ZONE * size.zones
    return pollers + (size.nodes - pollers) / SLOW_HEAD_POLL_INTERVAL_S


def print_slopes(slopes: list[Slope], peer_call: float) -> None:
    """Print the measured slopes as a Markdown table."""
    click.echo("| slope | growth | at the counts |\n|---|---|---|")
    for item in slopes:
        values = ", ".join(
            f"{count}: {value:.3g}" for count, value in zip(item.counts, item.values, strict=True)
        )
        click.echo(f"| {item.name} | {item.per_item:.3g} {item.unit} | {values} |")
    click.echo(f"| peer call, both ends | {peer_call:.3g} s/call | |")


def print_node(loads: list[MechanismLoad]) -> None:
    """Print the control load of one node and its budget."""
    budget = ControlBudget()
    click.echo(
        "\n| mechanism | messages/s | share of a core | memory, MB | bytes/s |"
        "\n|---|---|---|---|---|"
    )
    for load in loads:
        click.echo(
            f"| {load.mechanism} | {load.messages_per_s:.2f} | {load.cpu_share:.2%} "
            f"| {load.memory_bytes / 1e6:.2f} | {load.bytes_per_s:.0f} |"
        )
    click.echo(
        f"| budget for all | | {budget.cpu_share:.1%} | {budget.memory_bytes / 1e6:.0f} "
        f"| {budget.bytes_per_s} |"
    )


def print_platform(size: DesignSize) -> None:
    """Print the load on the services of the platform."""
    changes = size.changes_per_day / SECONDS_PER_DAY
    reads = table_reads_per_s(size)
    records = size.nodes + size.engines
    calls = min(
        (TABLE_WRITES_PER_S - 2 * changes) / TABLE_WRITES_PER_CALL,
        (TABLE_READS_PER_S - reads) / TABLE_READS_PER_CALL,
    )
    member_changes = (size.failures_per_day + size.restarts_per_day) * 2
    click.echo("\n| platform | figure |\n|---|---|")
    click.echo(f"| table reads/s without requests | {reads:.1f} |")
    click.echo(f"| table writes/s for configuration | {2 * changes:.2f} |")
    click.echo(f"| non-idempotent calls/s that the table carries | {calls:.0f} |")
    click.echo(
        f"| one read of the instance list, MB | {records * INSTANCE_RECORD_BYTES / 1e6:.2f} |"
    )
    click.echo(
        f"| engines with a new owner in a day | {member_changes * size.engines / size.nodes:.0f} |"
    )


@click.command()
def main() -> None:
    """Print the slopes and the tables of docs/CAPACITY.md."""
    size = DesignSize()
    slopes = local_slopes()
    peer_call = peer_call_cpu()
    print_slopes(slopes, peer_call)
    print_node(node_loads(size, {item.name: item for item in slopes}, peer_call))
    print_platform(size)


if __name__ == "__main__":
    main()
