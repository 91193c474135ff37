"""Randomized soak of the real entry processes on the stand-in of the users' platform.

Faults are injected from outside: by proxies before the store, the targets and the entry processes,
by signals, and by the stand-ins themselves. They come in series and overlap. The promises are
checked from what callers and targets see, and what is left when all faults are over.
"""

import random
import shutil
import signal
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import click
import trio

from wasabiwell_standins.proxy import Proxy
from wasabiwell_standins.users_platform.caller import CallerRequest, Reply
from wasabiwell_standins.users_platform.deployment import (
    KEY,
    MODEL_SERVICE,
    OTHER_KEY,
    PLAIN_SERVICE,
    ROUTES,
    TENANT,
    ZONES,
    Deployment,
    DeploymentSize,
    EntryProcess,
    open_deployment,
)
from wasabiwell_standins.users_platform.engine import Target, TargetFaults
from wasabiwell_standins.users_platform.store import Outage

SEND_INTERVAL = 0.05
LEAVING_SHARE = 0.08
"""Share of the callers that leave before their answer."""
FAULT_INTERVAL = (0.3, 2.5)
FAULT_DURATION = (0.3, 4.0)
"""Seconds; several faults are in force at most times."""
SETTLE_SECONDS = 9.0
"""After this nothing of the faults may be left: callers keep addresses up to 6 s, and memory of an
instance that died is free again within 4 s."""
FINAL_SECONDS = 2.0
DRAIN_SECONDS = 2.0
"""Bound of the users for work that reaches a leaving target."""
TOUCH_SECONDS = 3.0
"""Bounds of the users hold for what was undisturbed for this long."""
MAX_RESIDENT_BYTES = 160 * 1024 * 1024
"""A process that holds more than this after a soak keeps what it should have given up."""
PROXY_PORT = 8081


@dataclass(slots=True)
class SoakReport:
    """What was done and what was wrong in the run of one seed."""

    seed: int
    timeline: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    replies: int = 0
    answered: int = 0


class Soak:
    """One run: faults drawn from a seed, beside a load of all kinds of orders."""

    def __init__(self, deployment: Deployment, report: SoakReport) -> None:
        self._world = deployment
        self._report = report
        self._random = random.Random(report.seed)
        self._begun = trio.current_time()
        self._proxies: dict[str, Proxy] = {}
        self._busy: set[str] = set()
        self._drained: dict[str, float] = {}
        self._disturbed: list[tuple[float, float]] = []
        self._next_number = len(deployment.targets)
        self._final: list[Reply] = []

    async def put_proxies(self, nursery: trio.Nursery) -> None:
        """Put a proxy before each target, each frontend, and the store as each entry sees it."""
        deployment, block = self._world, self._world.size.block
        for number, target in enumerate(deployment.targets.values()):
            address = f"127.{block}.3.{number + 1}:{PROXY_PORT}"
            await self._put_proxy(nursery, f"target {target.target_id}", address, target.address)
            target.listed_address = address
            deployment.store.put_json("servers", target.target_id, target.listing_entry())
        for number, entry in enumerate(deployment.entries):
            store = f"127.{block}.4.{number + 1}:{PROXY_PORT}"
            await self._put_proxy(
                nursery, f"store of {entry.name}", store, deployment.store_address
            )
            deployment.write_settings(entry, **{"platform.address": store})
            front = f"127.{block}.5.{number + 1}:{PROXY_PORT}"
            frontend = entry.address("frontend")
            await self._put_proxy(nursery, f"callers of {entry.name}", front, frontend)
            deployment.proxies[frontend] = front

    async def _put_proxy(self, nursery: trio.Nursery, name: str, address: str, target: str) -> None:
        proxy = Proxy(target)
        host, _, port = address.rpartition(":")
        await nursery.start(partial(trio.serve_tcp, proxy.serve, int(port), host=host))
        self._proxies[name] = proxy

    async def run(self, seconds: float) -> None:
        """Load the deployment with faults for a time, let it settle, and check it."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                nursery.start_soon(self._send_orders, seconds)
                await self._inject(nursery)
        self._say("all faults are over")
        await trio.sleep(SETTLE_SECONDS)
        await self._check_final()

    def _say(self, text: str) -> None:
        self._report.timeline.append(f"{trio.current_time() - self._begun:7.3f} {text}")

    def _find(self, text: str) -> None:
        self._report.findings.append(f"{trio.current_time() - self._begun:7.3f} {text}")

    async def _send_orders(self, seconds: float) -> None:
        callers = [self._world.caller(zone) for zone in ZONES]
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                caller = self._random.choice(callers)
                leaves = self._random.random() < LEAVING_SHARE
                patience = self._random.uniform(0.05, 1.0) if leaves else float("inf")
                nursery.start_soon(self._send, caller.send, self._draw_order(), patience)
                await trio.sleep(SEND_INTERVAL)

    def _draw_order(self) -> CallerRequest:
        route = self._random.choices(list(ROUTES), weights=(10, 3, 1, 4, 4))[0]
        events = self._random.randrange(1, 40)
        key = self._random.choice((KEY, KEY, OTHER_KEY))
        if route == "long":
            prompt = self._random.randrange(120_000, 600_000)
            return self._world.request(route, events=events, prompt=prompt, key=key)
        return self._world.request(route, events=events, key=key)

    async def _send(
        self,
        send: Callable[[CallerRequest], Awaitable[Reply]],
        request: CallerRequest,
        patience: float,
    ) -> None:
        with trio.move_on_after(patience):
            reply = await send(request)
            self._report.replies += 1
            self._report.answered += reply.status == 200 and reply.complete

    async def _inject(self, nursery: trio.Nursery) -> None:
        faults = (
            self._kill_entry,
            self._stop_entry,
            self._pause_entry,
            self._reload_entry,
            self._crash_target,
            self._spoil_target,
            self._drain_target,
            self._trouble_store,
            self._trouble_proxy,
            self._trouble_proxy,
            self._change_configuration,
        )
        while True:
            await trio.sleep(self._random.uniform(*FAULT_INTERVAL))
            fault = self._random.choice(faults)
            nursery.start_soon(fault, self._random.uniform(*FAULT_DURATION))

    @asynccontextmanager
    async def _alone(self, name: str) -> AsyncIterator[bool]:
        """Keep a part for one fault at a time; the value tells whether it was free."""
        if name in self._busy:
            yield False
            return
        self._busy.add(name)
        begun = trio.current_time()
        try:
            yield True
        finally:
            self._busy.discard(name)
            if "entry" in name or "store" in name:
                self._disturbed.append((begun, trio.current_time()))

    def _draw_entry(self) -> EntryProcess:
        return self._random.choice(self._world.entries)

    async def _kill_entry(self, seconds: float) -> None:
        entry = self._draw_entry()
        async with self._alone(entry.name) as free:
            if not free:
                return
            self._say(f"{entry.name} is killed for {seconds:.1f} s")
            self._check_alive(entry)
            entry.signal(signal.SIGKILL)
            await entry.wait_exited(5)
            await trio.sleep(seconds)
            entry.start()

    async def _stop_entry(self, seconds: float) -> None:
        entry = self._draw_entry()
        async with self._alone(entry.name) as free:
            if not free:
                return
            self._say(f"{entry.name} is told to stop")
            self._check_alive(entry)
            entry.signal(signal.SIGTERM)
            if not await entry.wait_exited(8.0):
                self._find(f"{entry.name} did not stop within 8 s")
                entry.signal(signal.SIGKILL)
            elif entry.process is not None and entry.process.returncode not in (0, -signal.SIGTERM):
                self._find(f"{entry.name} stopped with code {entry.process.returncode}")
            await trio.sleep(min(seconds, 1.0))
            entry.start()

    async def _pause_entry(self, seconds: float) -> None:
        entry = self._draw_entry()
        async with self._alone(entry.name) as free:
            if not free:
                return
            self._say(f"{entry.name} is paused for {seconds:.1f} s")
            entry.signal(signal.SIGSTOP)
            await trio.sleep(seconds)
            entry.signal(signal.SIGCONT)

    async def _reload_entry(self, seconds: float) -> None:
        """Change the settings file, sometimes to one with mistakes, and tell the process."""
        entry = self._draw_entry()
        path = entry.folder / f"{entry.name}.conf"
        good = path.read_text()
        async with self._alone(f"{entry.name} settings") as free:
            if not free or not entry.alive:
                return
            self._say(f"{entry.name} reads its settings again")
            path.write_text(self._random.choice((good, good + "seeds=nowhere\n", "")))
            entry.signal(signal.SIGHUP)
            await trio.sleep(0.2)
            path.write_text(good)

    async def _crash_target(self, seconds: float) -> None:
        target = self._draw_target()
        async with self._alone(target.target_id) as free:
            if not free:
                return
            self._say(f"{target.target_id} crashes for {seconds:.1f} s")
            target.crash()
            await trio.sleep(seconds)
            target.restart()
            await self._world.start_target(target)

    async def _spoil_target(self, seconds: float) -> None:
        target = self._draw_target()
        async with self._alone(target.target_id) as free:
            if not free:
                return
            name = self._random.choice(
                ("error", "reset", "cut", "extra", "foreign", "unframed", "hang")
            )
            share = self._random.uniform(0.05, 0.6)
            self._say(f"{target.target_id}: {name} for a share of {share:.2f}, {seconds:.1f} s")
            setattr(target.faults, f"{name}_share", share)
            target.faults.slow = self._random.choice((1.0, 1.0, 3.0))
            await trio.sleep(seconds)
            target.faults = TargetFaults()

    async def _drain_target(self, seconds: float) -> None:
        """Let a target leave as the platform tells it, and another one come at its address."""
        target = self._draw_target()
        async with self._alone(target.target_id) as free:
            if not free or len(self._world.targets_of(target.service)) < 3:
                return
            self._say(f"{target.target_id} drains")
            store = self._world.store
            store.put_json("servers", target.target_id, target.listing_entry("draining"))
            self._drained[target.target_id] = trio.current_time()
            await trio.sleep(DRAIN_SECONDS + 1.0)
            store.put("servers", target.target_id, None)
            target.crash()
            await trio.sleep(max(0.5, seconds - DRAIN_SECONDS))
            del self._world.targets[target.target_id]
            await self._replace(target)

    async def _replace(self, old: Target) -> None:
        """Start a target of either service behind the proxy of one that has ended."""
        self._next_number += 1
        service = self._random.choice((old.service, MODEL_SERVICE, PLAIN_SERVICE))
        target_id = f"i-next{self._next_number}"
        number = int(old.address.rpartition(":")[0].rpartition(".")[2]) - 1
        target = await self._world.add_target(target_id, service, number)
        target.listed_address = old.listed_address
        self._world.store.put_json("servers", target_id, target.listing_entry())
        self._say(f"{target_id} of {service} comes at the address of {old.target_id}")

    def _draw_target(self) -> Target:
        return self._random.choice(list(self._world.targets.values()))

    async def _trouble_store(self, seconds: float) -> None:
        faults = self._world.store.faults
        async with self._alone("store") as free:
            if not free:
                return
            match self._random.choice(("away", "slow", "lost", "forgets")):
                case "away":
                    faults.outage = self._random.choice(list(Outage))
                    self._say(f"the store is {faults.outage.name} for {seconds:.1f} s")
                case "slow":
                    faults.delay_s = self._random.uniform(0.05, 0.4)
                    self._say(f"the store is {faults.delay_s:.2f} s late for {seconds:.1f} s")
                case "lost":
                    faults.lose_answers = 3
                    self._say("the store loses three answers")
                case _:
                    self._world.store.forget_history()
                    self._say("the store forgets its history")
            await trio.sleep(seconds)
            faults.outage, faults.delay_s, faults.lose_answers = None, 0.0, 0

    async def _trouble_proxy(self, seconds: float) -> None:
        name = self._random.choice(list(self._proxies))
        proxy = self._proxies[name]
        async with self._alone(name) as free:
            if not free:
                return
            kind = self._random.choice(
                ("reset", "cut", "delay", "silent_to_server", "silent_to_client")
            )
            self._say(f"connections to {name}: {kind} for {seconds:.1f} s")
            match kind:
                case "reset":
                    proxy.reset()
                case "cut":
                    proxy.faults.cut = True
                    proxy.reset()
                case "delay":
                    proxy.faults.delay_s = self._random.uniform(0.01, 0.3)
                case flag:
                    setattr(proxy.faults, flag, True)
            await trio.sleep(seconds)
            proxy.faults.cut = proxy.faults.silent_to_server = proxy.faults.silent_to_client = False
            proxy.faults.delay_s = 0.0

    async def _change_configuration(self, seconds: float) -> None:
        async with self._alone("configuration") as free:
            if not free:
                return
            configuration = self._world.configuration
            keys = self._random.choice(([KEY, OTHER_KEY], [KEY]))
            configuration["tenants"] = [{"name": TENANT, "api_keys": keys}]
            for _ in range(self._random.choice((1, 1, 5))):
                configuration["routes"][0]["priority"] = self._random.randrange(9)
                version = self._world.publish_configuration()
                self._say(f"version {version} with {len(keys)} keys")
                await trio.sleep(self._random.uniform(0.0, 0.2))
            await trio.sleep(seconds)
            configuration["tenants"] = [{"name": TENANT, "api_keys": [KEY, OTHER_KEY]}]
            self._world.publish_configuration()

    def _check_alive(self, entry: EntryProcess) -> None:
        if not entry.alive:
            self._find(f"{entry.name} had ended by itself; see its log")

    async def _check_final(self) -> None:
        """Check what callers and targets have seen, and that nothing is left of the faults."""
        deployment = self._world
        for entry in deployment.entries:
            self._check_alive(entry)
            if not await deployment.is_ready(entry):
                self._find(f"{entry.name} is not ready after all faults are over")
            if (resident := _resident_bytes(entry)) > MAX_RESIDENT_BYTES:
                self._find(f"{entry.name} holds {resident} bytes")
        for target in deployment.targets.values():
            if target.tokens_held:
                self._find(f"memory is still held at {target.target_id}: {target.tickets}")
            if target.running:
                self._find(f"{target.target_id} still runs {target.running} requests")
        self._check_drained()
        await self._send_final()
        self._report.findings += [f"promise: {text}" for text in deployment.ledger.violations()]

    def _check_drained(self) -> None:
        """Check that no work reached a leaving target late while entries and store were well."""
        runs = [run for found in self._world.ledger.runs.values() for run in found]
        for run in runs:
            drained = self._drained.get(run.target_id)
            if drained is None or run.started_at < drained + DRAIN_SECONDS:
                continue
            since = drained - TOUCH_SECONDS
            if not any(begun < run.started_at and end > since for begun, end in self._disturbed):
                late = run.started_at - drained
                self._find(f"{run.request_id} ran at {run.target_id} {late:.2f} s after its drain")

    async def _send_final(self) -> None:
        caller = self._world.caller()
        count = round(FINAL_SECONDS / SEND_INTERVAL)
        requests = [self._world.request(route) for route in ("short", "book", "look") * count][
            :count
        ]

        async def send(request: CallerRequest) -> None:
            self._final.append(await caller.send(request))

        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(send, request)
                await trio.sleep(SEND_INTERVAL)
        for reply in self._final:
            if reply.status != 200 or not reply.complete:
                self._find(
                    f"{reply.request_id} on {reply.request.path} got {reply.status} at the end"
                )


def _resident_bytes(entry: EntryProcess) -> int:
    if entry.process is None or not entry.alive:
        return 0
    text = Path(f"/proc/{entry.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


async def soak_seed(seed: int, seconds: float, size: DeploymentSize, folder: Path) -> SoakReport:
    """Run one seed; logs of the entry processes are in the folder."""
    report = SoakReport(seed)
    async with trio.open_nursery() as nursery:
        soaks: list[Soak] = []

        async def prepare(deployment: Deployment) -> None:
            soaks.append(Soak(deployment, report))
            await soaks[0].put_proxies(nursery)

        async with open_deployment(size, folder, prepare):
            await soaks[0].run(seconds)
        nursery.cancel_scope.cancel()
    return report


@click.command()
@click.option("--seed", "first", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds, run one after the other.")
@click.option("--seconds", default=20.0, help="Time with faults, in seconds.")
@click.option("--entries", default=4, help="Entry processes.")
@click.option("--engines", default=6, help="Engines.")
@click.option("--block", default=60, help="Second number of the IP addresses.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder for the logs of failed seeds."
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    entries: int,
    engines: int,
    block: int,
    keep: Path | None,
) -> None:
    """Soak the real entry processes with faults, and print what was wrong with its seed."""
    failed = 0
    for seed in range(first, first + seeds):
        size = DeploymentSize(entries=entries, engines=engines, plain=3, block=block + seed % 10)
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(soak_seed, seed, seconds, size, Path(folder))
            failed += bool(report.findings)
            if report.findings and keep is not None:
                shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
                (keep / f"seed-{seed}" / "happened.txt").write_text("\n".join(report.timeline))
        click.echo(
            f"seed {seed}: {report.answered} of {report.replies} answered, "
            f"{len(report.findings)} findings"
        )
        for finding in report.findings:
            click.echo(f"  {finding}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
