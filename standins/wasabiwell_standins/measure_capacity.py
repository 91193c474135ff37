"""Measures the slopes behind `docs/CAPACITY.md` and prints its tables.

Each slope is the growth of processor time, memory or bytes with one count, from the smallest and
the largest of several counts. The tables multiply them by the size to design for.
"""

import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import click
import msgspec
import trio
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

SECONDS_PER_DAY = 86_400
MIN_RUN_SECONDS = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class DesignSize:
    """The size to design for."""

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
    """Growth of a quantity with a count: `base` at count 0 and `per_item` for each further one."""

    name: str
    unit: str
    counts: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def per_item(self) -> float:
        """Return the growth for each item between the smallest and the largest count."""
        return (self.values[-1] - self.values[0]) / (self.counts[-1] - self.counts[0])

    @property
    def base(self) -> float:
        """Return the value extrapolated to no items."""
        return self.values[0] - self.per_item * self.counts[0]

    def at(self, count: float) -> float:
        """Return the value at a count."""
        return self.base + self.per_item * count


def cpu_seconds(action: Callable[[], object]) -> float:
    """Return the processor time of one call, from as many calls as a stable reading needs."""
    calls = 1
    while True:
        begin = time.process_time()
        for _ in range(calls):
            action()
        spent = time.process_time() - begin
        if spent >= MIN_RUN_SECONDS:
            return spent / calls
        calls *= 4


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory that the built object keeps."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def slope(name: str, unit: str, counts: tuple[int, ...], measure: Callable[[int], float]) -> Slope:
    """Measure a quantity at several counts."""
    return Slope(name, unit, counts, tuple(measure(count) for count in counts))


def make_configuration(organisations: int) -> Configuration:
    """Return a configuration with that many organisations and the models of the design size."""
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
    """Return members spread over the zones of the design size."""
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
    """Return a table of engines of one service with a load report each."""
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
    """Return the memory of a configuration in force, in bytes."""
    items = items_of(make_configuration(count))

    def build() -> ConfigurationState:
        state = ConfigurationState()
        state.replace(1, {path: bytes(value) for path, value in items.items()})
        return state

    return allocated_bytes(build)


def configuration_change_cpu(count: int) -> float:
    """Return the processor time to put one change of one organisation in force, in seconds."""
    state = ConfigurationState()
    state.replace(1, items_of(make_configuration(count)))
    organisation = Organisation(name="organisation-0", key_hashes=(hash_key("key-0"),), weight=2.0)
    value = msgspec.json.encode(organisation, order="deterministic")

    def change() -> None:
        delta = ConfigurationDelta(state.version + 1, {"organisation/organisation-0": value})
        state.advance(delta)

    return cpu_seconds(change)


def configuration_parse_cpu(count: int) -> float:
    """Return the processor time to read a whole configuration from its items, in seconds."""
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
    """Return the processor time to find one owner among that many members, in seconds."""
    members = make_members(count)
    return cpu_seconds(lambda: owner_of("engine/engine-1", members))


def routing_cpu(count: int) -> float:
    """Return the processor time to choose among that many engines of a service, in seconds."""
    router = Router(make_target_table(count), "zone-0", ManualClock())
    return cpu_seconds(lambda: router.choose("model-0", frozenset()))


def local_slopes() -> list[Slope]:
    """Return the slopes that need no other process."""
    return [
        slope("configuration memory", "B/organisation", (100, 800, 3200), configuration_memory),
        slope("configuration change", "s/organisation", (100, 800, 3200), configuration_change_cpu),
        slope("configuration read", "s/organisation", (100, 800, 3200), configuration_parse_cpu),
        slope("member memory", "B/member", (50, 200, 420), member_memory),
        slope("target memory", "B/target", (100, 1000, 4000), target_memory),
        slope("owner look-up", "s/member", (6, 24, 100), ownership_cpu),
        slope("routing", "s/engine", (20, 80, 320), routing_cpu),
    ]


@dataclass(frozen=True, slots=True)
class Ping:
    """A peer message of the size of a heartbeat with a few updates."""

    payload: bytes


PING: PeerMethod[Ping, Ping] = PeerMethod("Ping", Ping, Ping)


def peer_call_cpu(calls: int = 400) -> float:
    """Return the processor time of one unary peer call at both ends together, in seconds."""
    import trio_asyncio
    from wasabiwell_entry.transport.peer.client import open_peer_client
    from wasabiwell_entry.transport.peer.server import PeerService, serve_peers

    from wasabiwell_standins.fleet import HOST, free_ports

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
            begin = time.process_time()
            for _ in range(calls):
                await client.call(f"{HOST}:{port}", PING, ping)
            return (time.process_time() - begin) / calls

    return trio.run(run)


@click.command()
def main() -> None:
    """Print the slopes and the tables of docs/CAPACITY.md."""
    for item in local_slopes():
        values = "  ".join(
            f"{count}: {value:.4g}" for count, value in zip(item.counts, item.values, strict=True)
        )
        click.echo(f"{item.name:<24}{item.per_item:>12.4g} {item.unit:<18}{values}")
    click.echo(f"{'peer call, both ends':<24}{peer_call_cpu():>12.4g} s/call")


if __name__ == "__main__":
    sys.exit(main())
