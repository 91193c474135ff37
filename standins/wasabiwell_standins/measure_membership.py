"""Measures the cost of membership, and how fast changes reach all entry instances."""

import os
import re
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial

import click
import httpcore
import msgspec
import trio
from wasabiwell_config import OperatorKey, hash_key

from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import HOST, Fleet, Process, free_ports, open_fleet, request
from wasabiwell_standins.proxy import Proxy

PARALLEL_STARTS = 6
SETTLE_SECONDS = 15.0
EVENT_TIMEOUT_SECONDS = 30.0
CHANGES = 5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MEMBER_DEAD_PATTERN = r"^(\S+)Z INFO \[110\] entry instance {} is dead"
CONFIGURATION_ACTIVE_PATTERN = r"^(\S+)Z INFO \[200\] configuration version {} is in force"


class PeerProxies:
    """Proxies in front of the peer ports, run in one thread, that count bytes between entries."""

    def __init__(self) -> None:
        self._proxies: list[Proxy] = []
        self._ready = threading.Event()
        threading.Thread(target=trio.run, args=(self._main,), daemon=True).start()
        self._ready.wait()

    @property
    def bytes_relayed(self) -> int:
        """Return the bytes relayed by all proxies, in both directions."""
        return sum(proxy.bytes_relayed for proxy in self._proxies)

    def add(self, target: str) -> str:
        """Start a proxy to a target and return its address."""
        port = free_ports()[0]
        trio.from_thread.run(self._serve, target, port, trio_token=self._token)
        return f"{HOST}:{port}"

    async def _main(self) -> None:
        async with trio.open_nursery() as self._nursery:
            self._token = trio.lowlevel.current_trio_token()
            self._ready.set()
            await trio.sleep_forever()

    async def _serve(self, target: str, port: int) -> None:
        proxy = Proxy(target)
        self._proxies.append(proxy)
        await self._nursery.start(partial(trio.serve_tcp, proxy.serve, port, host=HOST))


@dataclass(slots=True)
class Result:
    """Figures for one fleet size; bytes per entry instance, sent and received."""

    entries: int
    bytes_per_second: float
    cpu_percent: float
    cpu_percent_max: float
    removal_delay_s: float
    activation_delays_s: list[float]


def cpu_seconds(process: Process) -> float:
    """Return the CPU time (user and system) of a process."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def logged_at(fleet: Fleet, entry: Process, pattern: str) -> float | None:
    """Return the Unix time of the first log line that matches a pattern, or None."""
    match = re.search(pattern, fleet.log(entry.name), re.MULTILINE)
    if match is None:
        return None
    return datetime.fromisoformat(match[1]).replace(tzinfo=UTC).timestamp()


def last_logged(fleet: Fleet, entries: list[Process], pattern: str) -> float:
    """Wait until each entry instance has logged a line and return the latest of the times."""
    end = time.monotonic() + EVENT_TIMEOUT_SECONDS
    while time.monotonic() < end:
        times = [logged_at(fleet, entry, pattern) for entry in entries]
        logged = [logged_time for logged_time in times if logged_time is not None]
        if len(logged) == len(entries):
            return max(logged)
        time.sleep(0.5)
    raise TimeoutError(f"{len(entries) - len(logged)} entry instances did not log {pattern}")


def apply_change(fleet: Fleet, entry: Process) -> tuple[int, float]:
    """Apply a configuration change and return its version and the time of the response."""
    base = int(fleet.status(entry)["configuration_version"])
    operator = OperatorKey(name="measured", key_hash=hash_key(f"measured-{base}"))
    body = {"base_version": base, "changes": {"operator/measured": operator}}
    headers = {"authorization": f"Bearer {fleet.deployment.operator_key}"}
    reply = request("POST", entry.address, "/admin/v1/configuration", body, headers)
    accepted_at = time.time()
    response = msgspec.json.decode(reply.content)
    if response["outcome"] != "accepted":
        raise RuntimeError(f"the change was not accepted: {response}")
    return response["version"], accepted_at


def all_members_alive(fleet: Fleet) -> bool:
    """Return whether each entry instance sees all members as alive."""
    try:
        return all(
            list(fleet.member_statuses(entry).values()) == ["alive"] * len(fleet.entries)
            for entry in fleet.entries
        )
    except httpcore.NetworkError:
        return False


def measure(entries: int, seconds: float) -> Result:
    """Measure an idle fleet of entry instances."""
    with open_fleet(EAVELINE) as fleet:
        fleet.start_platform()
        proxies = PeerProxies()
        with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
            list(
                pool.map(
                    lambda index: fleet.start_entry(index, peer_proxy=proxies.add), range(entries)
                )
            )
        fleet.apply_example()
        fleet.wait_until(partial(all_members_alive, fleet), "all members are known", 120.0)
        time.sleep(SETTLE_SECONDS)
        bytes_before, started = proxies.bytes_relayed, time.monotonic()
        cpu_before = [cpu_seconds(entry) for entry in fleet.entries]
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        bytes_relayed = proxies.bytes_relayed - bytes_before
        cpu = [
            (cpu_seconds(entry) - before) / elapsed * 100
            for entry, before in zip(fleet.entries, cpu_before, strict=True)
        ]
        activation_delays = []
        for _ in range(CHANGES):
            version, accepted_at = apply_change(fleet, fleet.entries[0])
            activated_at = last_logged(
                fleet, fleet.entries, CONFIGURATION_ACTIVE_PATTERN.format(version)
            )
            activation_delays.append(max(0.0, activated_at - accepted_at))
        killed_entry = fleet.entries[-1]
        survivors = [entry for entry in fleet.entries if entry is not killed_entry]
        killed_at = time.time()
        killed_entry.kill()
        removal_delay = (
            last_logged(fleet, survivors, MEMBER_DEAD_PATTERN.format(killed_entry.name)) - killed_at
        )
    return Result(
        entries,
        2 * bytes_relayed / elapsed / entries,
        statistics.mean(cpu),
        max(cpu),
        removal_delay,
        activation_delays,
    )


@click.command()
@click.option("--sizes", default="3,6,12,24,48", help="Fleet sizes to measure, in entry instances.")
@click.option("--seconds", default=15.0, help="Duration of each cost measurement, in seconds.")
def main(sizes: str, seconds: float) -> None:
    """Print costs and propagation delays for each fleet size."""
    click.echo(
        f"{'entries':>8}{'bytes/s':>10}{'CPU %':>8}{'highest':>9}"
        f"{'kill to removal, s':>20}{'accept to in force, s: median':>31}{'highest':>9}"
    )
    for size in sizes.split(","):
        result = measure(int(size), seconds)
        click.echo(
            f"{result.entries:>8}{result.bytes_per_second:>10.0f}{result.cpu_percent:>8.2f}"
            f"{result.cpu_percent_max:>9.2f}{result.removal_delay_s:>20.2f}"
            f"{statistics.median(result.activation_delays_s):>31.2f}{max(result.activation_delays_s):>9.2f}"
        )


if __name__ == "__main__":
    main()
