"""Changes routes and keys quickly under faults, and checks that all instances have the last one.

Faults hit some instances only: they are paused, killed, stopped, cut off from the store (refused,
reset, or over connections that stay open and carry nothing), or flooded, so that they lose messages
of the others. The store may be away, slow, or forget its history. The last version is acknowledged
while faults are active.
"""

import random
import shutil
import signal
import socket
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from pathlib import Path

import click
import httpcore
import msgspec
import trio

from wasabiwell_standins.proxy import Proxy
from wasabiwell_standins.users_platform.caller import CONNECTION_ERRORS
from wasabiwell_standins.users_platform.deployment import (
    DATAGRAM_PORT,
    HOST,
    KEY,
    PLAIN_SERVICE,
    STORE_PORT,
    TENANT,
    Deployment,
    DeploymentSize,
    EntryProcess,
    open_deployment,
)
from wasabiwell_standins.users_platform.play_report import PlayReport
from wasabiwell_standins.users_platform.store import Outage

CONFIGURATION_URL_PATH = "/configuration"
"""Path at the control address of an instance that returns its configuration in force."""
SETTLED_SECONDS = 3.0
"""Time after the start after which the instances know each other, and long polls are held."""
FAULT_INTERVAL = (0.2, 1.5)
FAULT_DURATION = (0.2, 5.0)
CHANGE_INTERVAL = (0.05, 2.0)
LONGEST_STEP = 9
"""Versions increase by 1 to this number."""
KEPT_ROUTES = 3
"""Number of the latest versions whose routes and keys are still configured."""
FOLLOWER_SHARE = 0.3
"""Probability that a fault hits one of the first instances by address, which follow the store."""
IN_FORCE_SECONDS = 7.0
"""Time after the last fault after which each instance must have the last version: 4 s in which it
does not count as in touch, and 3 s for the change."""
CHECK_ROUNDS = 2
CHECK_PAUSE_SECONDS = 2.0
WATCH_PAUSE_SECONDS = 0.1
REQUEST_SECONDS = 3.0
READY_SECONDS = 120.0
FLOOD_BURST = 2_000
FLOOD_PAUSE_SECONDS = 0.02
CONCURRENT_PROBES = 10


class VersionPlay:
    """One run; faults and changes are drawn from a seed."""

    def __init__(
        self, deployment: Deployment, report: PlayReport, silent_end: bool, added_routes: int = 0
    ) -> None:
        """Let all open connections to the store be silent at the end if `silent_end` is set.

        `added_routes` are in each version, so that its document is large.
        """
        self._deployment = deployment
        self._report = report
        self._silent_end = silent_end
        self._random = random.Random(report.seed)
        self._proxies: dict[str, Proxy] = {}
        self._disturbed: set[str] = set()
        self._changes = 0
        self._base_routes = [
            *deployment.configuration["routes"],
            *(self._route(-number - 1) for number in range(added_routes)),
        ]

    async def start_proxies(self) -> None:
        """Start a proxy before the store for each entry process, and name it in its settings."""
        block = self._deployment.size.block
        for number, entry in enumerate(self._deployment.entries):
            address = f"127.{block}.4.{number + 1}:{STORE_PORT}"
            self._proxies[entry.name] = await self._deployment.start_proxy(
                address, self._deployment.store_address
            )
            self._deployment.write_settings(entry, **{"platform.address": address})

    async def run(self, seconds: float) -> None:
        """Run faults and changes for `seconds`, and check the instances after that."""
        await trio.sleep(SETTLED_SECONDS)
        async with trio.open_nursery() as watching:
            for entry in self._deployment.entries:
                watching.start_soon(self._watch, entry)
            async with trio.open_nursery() as nursery:
                with trio.move_on_after(seconds):
                    nursery.start_soon(self._change_versions, seconds)
                    await self._inject_faults(nursery)
                # The faults end by themselves.
            self._report.record("all faults have ended")
            await trio.sleep(IN_FORCE_SECONDS)
            for _ in range(CHECK_ROUNDS):
                await self._check_all()
                await trio.sleep(CHECK_PAUSE_SECONDS)
            watching.cancel_scope.cancel()

    async def _change_versions(self, seconds: float) -> None:
        """Publish versions; the last one may come while faults that began earlier are active."""
        with trio.move_on_after(seconds):
            while True:
                await trio.sleep(self._random.uniform(*CHANGE_INTERVAL))
                self._change_version()
        await trio.sleep(self._random.uniform(0.0, FAULT_DURATION[1] / 2))
        if self._silent_end:
            self._silence_everyone()
        self._change_version()

    def _change_version(self) -> None:
        """Add a route and a key, and remove those of an earlier version."""
        self._changes += 1
        last = range(max(1, self._changes - KEPT_ROUTES + 1), self._changes + 1)
        configuration = self._deployment.configuration
        configuration["routes"] = [*self._base_routes, *(self._route(number) for number in last)]
        keys = [KEY, *(f"key{number}" for number in last)]
        configuration["tenants"] = [{"name": TENANT, "api_keys": keys}]
        version = self._deployment.publish_configuration(self._random.randint(1, LONGEST_STEP))
        self._report.versions += 1
        self._report.record(f"version {version} is acknowledged, with change {self._changes}")

    def _route(self, number: int) -> dict[str, object]:
        return {
            "name": f"r-change{number}",
            "host": HOST,
            "prefix": f"/change{number}/",
            "service": PLAIN_SERVICE,
            "kind": "safe",
            "target_latency_ms": 200,
            "timeout_ms": 2_000,
            "attempts": 2,
        }

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        faults: tuple[Callable[[EntryProcess, float], Awaitable[None]], ...] = (
            self._pause,
            self._pause,
            self._kill,
            self._terminate,
            self._cut,
            self._reset,
            self._silence_open,
            self._silence_all,
            self._flood,
            self._pause_cut,
        )
        while True:
            await trio.sleep(self._random.uniform(*FAULT_INTERVAL))
            if self._random.random() < 0.15:
                nursery.start_soon(self._disturb_store, self._random.uniform(*FAULT_DURATION))
                continue
            fault, duration = self._random.choice(faults), self._random.uniform(*FAULT_DURATION)
            for entry in self._draw_entries():
                if entry.name not in self._disturbed:
                    nursery.start_soon(self._inject, fault, entry, duration)

    def _draw_entries(self) -> list[EntryProcess]:
        entries = self._deployment.entries
        most = self._random.choice((1, 1, max(1, len(entries) // 10), max(1, len(entries) // 3)))
        if self._random.random() < FOLLOWER_SHARE:
            return entries[:most]
        return self._random.sample(entries, most)

    async def _inject(
        self,
        fault: Callable[[EntryProcess, float], Awaitable[None]],
        entry: EntryProcess,
        duration: float,
    ) -> None:
        name = fault.__name__.strip("_")
        self._disturbed.add(entry.name)
        self._report.faults[name] += 1
        self._report.record(f"{entry.name}: {name} for {duration:.2f} s")
        await fault(entry, duration)
        self._disturbed.discard(entry.name)

    async def _pause(self, entry: EntryProcess, seconds: float) -> None:
        entry.signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        entry.signal(signal.SIGCONT)

    async def _kill(self, entry: EntryProcess, seconds: float) -> None:
        entry.signal(signal.SIGKILL)
        await entry.wait_exited(5)
        await trio.sleep(seconds / 4)
        entry.start()
        await self._deployment.wait_ready(entry)

    async def _terminate(self, entry: EntryProcess, seconds: float) -> None:
        entry.signal(signal.SIGTERM)
        if not await entry.wait_exited(8):
            entry.signal(signal.SIGKILL)
            await entry.wait_exited(5)
        await trio.sleep(seconds / 4)
        entry.start()
        await self._deployment.wait_ready(entry)

    async def _cut(self, entry: EntryProcess, seconds: float) -> None:
        proxy = self._proxies[entry.name]
        proxy.faults.cut = True
        proxy.reset()
        await trio.sleep(seconds)
        proxy.faults.cut = False

    async def _reset(self, entry: EntryProcess, seconds: float) -> None:
        self._proxies[entry.name].reset()
        await trio.sleep(seconds / 4)

    async def _silence_open(self, entry: EntryProcess, seconds: float) -> None:
        """Let the open connections to the store carry nothing for good; new ones work."""
        self._proxies[entry.name].silence_open_connections(self._draw_direction())
        await trio.sleep(seconds / 4)

    async def _silence_all(self, entry: EntryProcess, seconds: float) -> None:
        faults, direction = self._proxies[entry.name].faults, self._draw_direction()
        setattr(faults, direction, True)
        await trio.sleep(seconds)
        setattr(faults, direction, False)

    async def _flood(self, entry: EntryProcess, seconds: float) -> None:
        """Fill the receive buffer of the instance, so that it loses messages of the others."""
        address = (entry.ip, DATAGRAM_PORT)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood,
            trio.move_on_after(seconds),
        ):
            flood.setblocking(False)
            while True:
                for _ in range(FLOOD_BURST):
                    with suppress(OSError):
                        flood.sendto(b"-", address)
                await trio.sleep(FLOOD_PAUSE_SECONDS)

    async def _pause_cut(self, entry: EntryProcess, seconds: float) -> None:
        """Pause an instance, and silence its open connections to the store meanwhile."""
        entry.signal(signal.SIGSTOP)
        self._proxies[entry.name].silence_open_connections(self._draw_direction())
        await trio.sleep(seconds)
        entry.signal(signal.SIGCONT)

    def _silence_everyone(self) -> None:
        """Let all open connections to the store carry nothing for good; new ones work."""
        self._report.faults["silence_everyone"] += 1
        self._report.record("all open connections to the store are silent")
        for proxy in self._proxies.values():
            proxy.silence_open_connections("silent_to_client")

    def _draw_direction(self) -> str:
        return self._random.choice(("silent_to_client", "silent_to_server"))

    async def _disturb_store(self, seconds: float) -> None:
        if "store" in self._disturbed:
            return
        self._disturbed.add("store")
        faults, kind = (
            self._deployment.store.faults,
            self._random.choice(("away", "slow", "forgets")),
        )
        self._report.faults[f"store {kind}"] += 1
        self._report.record(f"store {kind} for {seconds:.2f} s")
        match kind:
            case "away":
                faults.outage = self._random.choice(list(Outage))
            case "slow":
                faults.delay_s = self._random.uniform(0.05, 0.4)
            case _:
                self._deployment.store.discard_history()
        await trio.sleep(seconds)
        faults.outage, faults.delay_s = None, 0.0
        self._disturbed.discard("store")

    async def _watch(self, entry: EntryProcess) -> None:
        """Check that the version of a process never decreases."""
        highest, process = 0, entry.process
        while True:
            version = await self._version_of(entry)
            if entry.process is not process:
                highest, process = 0, entry.process
            elif version is not None:
                if version < highest:
                    self._report.add_finding(f"{entry.name} went from {highest} to {version}")
                highest = version
            pause = WATCH_PAUSE_SECONDS * len(self._deployment.entries)
            await trio.sleep(pause)

    async def _version_of(self, entry: EntryProcess) -> int | None:
        url = f"http://{entry.address('control')}{CONFIGURATION_URL_PATH}"
        timeout = {"connect": 1.0, "read": 1.0, "write": 1.0}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", url, extensions={"timeout": timeout})
        except CONNECTION_ERRORS:
            return None
        if response.status != 200:
            return None
        return int(msgspec.json.decode(response.content)["version"])

    async def _check_all(self) -> None:
        limiter = trio.CapacityLimiter(CONCURRENT_PROBES)
        async with trio.open_nursery() as nursery:
            for entry in self._deployment.entries:
                nursery.start_soon(self._check, entry, limiter)

    async def _check(self, entry: EntryProcess, limiter: trio.CapacityLimiter) -> None:
        """Check that an instance serves as the last version says.

        Only an answer that an older version explains is a finding.
        """
        newest, dropped = self._changes, self._changes - KEPT_ROUTES
        probes = (
            ("added route and key", f"/change{newest}/1", f"key{newest}", (401, 403, 404)),
            ("dropped route", f"/change{dropped}/1", KEY, (200, 502, 504)),
            ("withdrawn key", f"/change{newest}/1", f"key{dropped}", (200, 502, 504)),
        )
        async with limiter:
            for name, path, key, old_statuses in probes:
                status = await self._status(entry, path, key)
                self._report.probes[f"{name}: {status}"] += 1
                if status in old_statuses:
                    version = await self._version_of(entry)
                    self._report.add_finding(
                        f"{entry.name}, {name}: {status}; it has version {version} of "
                        f"{self._deployment.configuration['version']}"
                    )

    async def _status(self, entry: EntryProcess, path: str, key: str) -> int | None:
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {key}"),
            ("Wasabiwell-Request-Id", f"{self._random.getrandbits(64):x}"),
        ]
        timeout = {name: REQUEST_SECONDS for name in ("connect", "read", "write")}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "GET",
                    f"http://{entry.address('frontend')}{path}",
                    headers=headers,
                    extensions={"timeout": timeout},
                )
        except CONNECTION_ERRORS:
            return None
        return response.status


async def play_seed(
    seed: int,
    seconds: float,
    size: DeploymentSize,
    folder: Path,
    code: Path | None = None,
    processors: frozenset[int] = frozenset(),
    silent_end: bool = False,
    added_routes: int = 0,
) -> PlayReport:
    """Play one seed; the logs of the entry processes are written to the folder.

    The entry processes run the code of the checkout in the folder `code`, if that is set.
    """
    report = PlayReport(seed)
    plays: list[VersionPlay] = []

    async def prepare(deployment: Deployment) -> None:
        for entry in deployment.entries:
            entry.code, entry.processors = code, processors
        plays.append(VersionPlay(deployment, report, silent_end, added_routes))
        await plays[0].start_proxies()

    async with open_deployment(size, folder, prepare):
        await plays[0].run(seconds)
    return report


def _processors(text: str) -> frozenset[int]:
    return frozenset(int(item) for item in text.split(",") if item)


@click.command()
@click.option("--seed", "first", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds, run one after the other.")
@click.option("--seconds", default=20.0, help="Duration of changes and faults, in seconds.")
@click.option("--entries", default=9, help="Number of entry processes.")
@click.option(
    "--code",
    type=click.Path(path_type=Path, exists=True, file_okay=False, resolve_path=True),
    help="Checkout whose code the entry processes run, for comparison.",
)
@click.option("--block", default=70, help="Second octet of the IP addresses.")
@click.option(
    "--silent-end", is_flag=True, help="Silence the open connections before the last version."
)
@click.option("--routes", default=0, help="Number of routes that each version has beside others.")
@click.option("--processors", default="", help="Processors of the entry processes, with commas.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder for the logs of failed seeds."
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    entries: int,
    code: Path | None,
    block: int,
    silent_end: bool,
    routes: int,
    processors: str,
    keep: Path | None,
) -> None:
    """Change versions under faults, and print the findings of each seed."""
    failed = 0
    for seed in range(first, first + seeds):
        size = DeploymentSize(entries, engines=0, plain=2, block=block, ready_seconds=READY_SECONDS)
        with tempfile.TemporaryDirectory() as folder:
            confined = _processors(processors)
            play = partial(
                play_seed, seed, seconds, size, Path(folder), code, confined, silent_end, routes
            )
            report = trio.run(play)
            failed += bool(report.findings)
            if report.findings and keep is not None:
                kept = keep / f"seed-{seed}"
                shutil.copytree(folder, kept, dirs_exist_ok=True)
                (kept / "happened.txt").write_text("\n".join(report.timeline))
        click.echo(
            f"seed {seed}: {entries} instances, {report.versions} versions, "
            f"{sum(report.faults.values())} faults, {len(report.findings)} findings"
        )
        click.echo(f"  faults: {dict(report.faults)}")
        click.echo(f"  probes: {dict(report.probes)}")
        for finding in report.findings:
            click.echo(f"  {finding}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
