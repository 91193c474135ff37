"""A deployment on the users' platform: store, targets and entry processes."""

import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import httpcore
import trio

from wasabiwell_standins.proxy import Proxy
from wasabiwell_standins.users_platform import cut_entry
from wasabiwell_standins.users_platform.caller import CONNECTION_ERRORS, Caller, CallerRequest
from wasabiwell_standins.users_platform.cut_entry import CUT_FILE_VARIABLE
from wasabiwell_standins.users_platform.engine import Target
from wasabiwell_standins.users_platform.keeping_caller import KeepingCaller
from wasabiwell_standins.users_platform.ledger import Ledger
from wasabiwell_standins.users_platform.store import StoreStandIn

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
TENANT = "hule930"
MODEL_SERVICE = "huvo11a"
PLAIN_SERVICE = "wuno96b"
ZONES = ("merrimack", "seacoast", "berkshire")
PORTS = {"frontend": 8227, "ready": 8220, "control": 8229, "directory": 8224}
STORE_PORT = 8223
TARGET_PORT = 8080
DATAGRAM_PORT = 7340
CODE_PATHS = ("packages/config/src", "packages/entry/src", "platform")
"""Where the packages of an entry process are in a checkout."""
READY_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
ENGINE_PROFILE: dict[str, Any] = tomllib.loads(Path(__file__).with_name("engines.toml").read_text())
"""Engine profile, in the format of the platform's configuration."""
ROUTES = {
    "short": {"kind": "streaming", "target_latency_ms": 300, "target_gap_ms": 200},
    "medium": {"kind": "streaming", "target_latency_ms": 1_500, "target_gap_ms": 500},
    "long": {"kind": "streaming", "target_latency_ms": 3_000, "target_gap_ms": 800},
    "book": {"kind": "unsafe", "target_latency_ms": 200, "attempts": 1, "timeout_ms": 2_000},
    "look": {"kind": "safe", "target_latency_ms": 200, "timeout_ms": 2_000},
}


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Numbers of processes and targets; `block` is the second octet of the IP addresses.

    Each entry process has `ready_seconds` to become ready after the one before it.
    Deployments that run at the same time need different blocks.
    """

    entries: int = 3
    engines: int = 5
    plain: int = 3
    block: int = 77
    ready_seconds: float = READY_SECONDS


@dataclass(slots=True)
class EntryProcess:
    """An entry process, which keeps its IP address across restarts.

    It writes to its log file, or to the file descriptor `output` if that is set. It runs the code
    of the checkout in the folder `code`, if that is set, and on the processors `processors`. One
    that is `cuttable` can be cut off from all targets with `cut`.
    """

    name: str
    ip: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    output: int | None = None
    code: Path | None = None
    processors: frozenset[int] = frozenset()
    cuttable: bool = False

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def log(self) -> Path:
        """Return the path of the log file, to which every start of the process appends."""
        return self.folder / f"{self.name}.log"

    def address(self, kind: str) -> str:
        """Return the address of a listener; `kind` is a key of `PORTS`."""
        return f"{self.ip}:{PORTS[kind]}"

    def start(self) -> None:
        """Start the process with its settings file."""
        environment = {
            **os.environ,
            "WASABIWELL_SETTINGS": str(self.folder / f"{self.name}.conf"),
            CUT_FILE_VARIABLE: str(self._cut_file),
        }
        module = cut_entry.__name__ if self.cuttable else "wasabiwell_platform"
        if self.code is not None:
            paths = [str(self.code / path) for path in CODE_PATHS]
            environment["PYTHONPATH"] = os.pathsep.join(paths)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module],
                env=environment,
                stdout=log if self.output is None else self.output,
                stderr=subprocess.STDOUT,
            )
        self.confine(self.processors)

    def cut(self, kind: str) -> None:
        """Cut the process off from all targets, or end the cut if `kind` is empty."""
        if kind:
            self._cut_file.write_text(kind)
        else:
            self._cut_file.unlink(missing_ok=True)

    @property
    def _cut_file(self) -> Path:
        return self.folder / f"{self.name}.cut"

    def confine(self, processors: frozenset[int]) -> None:
        """Run the process on some processors only, from now on; on all if none is given."""
        self.processors = processors
        if processors and self.process is not None and self.alive:
            for thread in Path(f"/proc/{self.process.pid}/task").iterdir():
                os.sched_setaffinity(int(thread.name), processors)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.alive:
            self.process.send_signal(number)

    async def wait_exited(self, seconds: float) -> bool:
        """Wait for the process to exit; return False after `seconds`."""
        with trio.move_on_after(seconds):
            while self.alive:  # noqa: ASYNC110 Popen offers no awaitable exit
                await trio.sleep(POLL_SECONDS)
        return not self.alive


class Deployment:
    """Store, targets and entry processes; `open_deployment` starts and stops them.

    `proxies` maps frontend addresses of entry processes to proxies that callers use instead, and
    `is_refused` tells whether a proxy could not connect for a local port of a caller.
    """

    def __init__(self, size: DeploymentSize, folder: Path, nursery: trio.Nursery) -> None:
        self.size = size
        self.ledger = Ledger()
        self.store = StoreStandIn()
        self.store_address = f"127.{size.block}.0.1:{STORE_PORT}"
        self.targets: dict[str, Target] = {}
        self.proxies: dict[str, str] = {}
        self.is_refused: Callable[[int], bool] = lambda port: False
        self.entries = [
            EntryProcess(f"entry-{index}", f"127.{size.block}.1.{index + 1}", zone, folder)
            for index in range(size.entries)
            for zone in [ZONES[index % len(ZONES)]]
        ]
        self._nursery = nursery
        self._caller_count = 0
        self._version = 0
        self._configuration: dict[str, Any] = {}

    @property
    def configuration(self) -> dict[str, Any]:
        """Return the current configuration; after a change, call `publish_configuration`."""
        return self._configuration

    def caller(self, zone: str = ZONES[0]) -> Caller:
        """Return a new caller in a zone, with a seed of its own."""
        return Caller(*self.caller_arguments(zone))

    def keeping_caller(self, zone: str, stays: bool, instance: str | None = None) -> KeepingCaller:
        """Return a new caller in a zone that keeps its connections, to one instance at first."""
        return KeepingCaller(*self.caller_arguments(zone), stays=stays, instance=instance)

    def caller_arguments(self, zone: str) -> tuple[Any, ...]:
        """Return the arguments of a new caller in a zone, with a seed of its own."""
        self._caller_count += 1
        directories = [entry.address("directory") for entry in self.entries]
        is_refused, seed = self.is_refused, self._caller_count
        return directories, zone, self.ledger, seed, self.proxies, is_refused, self.occupancy

    def occupancy(self, request: CallerRequest) -> float:
        """Return which share of the places for a request is taken, above 1 if requests wait."""
        targets = self.targets_of(MODEL_SERVICE if request.prompt else PLAIN_SERVICE)
        return sum(target.occupancy for target in targets) / max(1, len(targets))

    def publish_configuration(self, step: int = 2) -> int:
        """Write the configuration to the store under a version that is higher by `step`.

        Returns the version.
        """
        self._version += step
        self._configuration["version"] = self._version
        self.store.put_json("op", "config", self._configuration)
        return self._version

    async def add_target(self, target_id: str, service: str, number: int) -> Target:
        """Start a target and add it to the platform's list; `number` selects address and zone."""
        profile = ENGINE_PROFILE if service == MODEL_SERVICE else None
        address = f"127.{self.size.block}.2.{number + 1}:{TARGET_PORT}"
        zone = ZONES[number % len(ZONES)]
        target = Target(target_id, service, address, zone, self.ledger, profile, seed=number)
        target.find_engine = self._target_by_address
        self.targets[target_id] = target
        await self.start_target(target)
        return target

    async def start_target(self, target: Target) -> None:
        """Start a target, or start it again after a crash, and write its row in the list."""
        await self._nursery.start(target.run)
        self.store.put_json("servers", target.target_id, target.listing_entry())

    async def start_proxy(self, address: str, target: str) -> Proxy:
        """Start a proxy that forwards the connections of an address to another one."""
        proxy = Proxy(target)
        host, _, port = address.rpartition(":")
        await self._nursery.start(partial(trio.serve_tcp, proxy.serve, int(port), host=host))
        return proxy

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return [target for target in self.targets.values() if target.service == service]

    def write_settings(self, entry: EntryProcess, **changes: str) -> None:
        """Write the settings file of an entry process, with `changes` to the defaults."""
        fields = {
            "node": entry.name,
            "role": "entry",
            "ip": entry.ip,
            "zone": entry.zone,
            "region": "new-england",
            **{f"listen.{kind}": entry.address(kind) for kind in PORTS},
            "internal_port_range": f"{DATAGRAM_PORT},{DATAGRAM_PORT + 15}",
            "seeds": ",".join(item.address("control") for item in self.entries[:2]),
            "bounds.grace_period_s": "8",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_slack": "200",
            "bounds.hold_max_ms": "20000",
            "bounds.free_ms": "4000",
            "bounds.ttl_max_s": "5",
            "platform.address": self.store_address,
            **changes,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        (entry.folder / f"{entry.name}.conf").write_text(text)

    async def wait_ready(self, entry: EntryProcess) -> None:
        """Wait until an entry process reports readiness; raises `TimeoutError`."""
        with trio.move_on_after(self.size.ready_seconds):
            while not await self.is_ready(entry):  # noqa: ASYNC110 readiness is polled over HTTP
                await trio.sleep(POLL_SECONDS)
            return
        raise TimeoutError(f"{entry.name} is not ready; see {entry.log}")

    async def is_ready(self, entry: EntryProcess) -> bool:
        """Return whether the readiness endpoint of an entry process responds with 200."""
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "GET",
                    f"http://{entry.address('ready')}/readiness",
                    extensions={"timeout": {"connect": 0.5, "read": 0.5}},
                )
        except CONNECTION_ERRORS:
            return False
        return response.status == 200

    def request(self, route: str, **fields: Any) -> CallerRequest:
        """Return a request for one of the routes; `fields` override the defaults."""
        kind = str(ROUTES[route]["kind"])
        values = {"key": KEY, "prompt": PROMPT_TOKENS.get(route, 0), **fields}
        return CallerRequest(kind, HOST, f"/{route}/1", **values)

    def _target_by_address(self, address: str) -> Target | None:
        for target in self.targets.values():
            if target.listed_address == address:
                return target
        return None

    def publish_initial_configuration(self) -> None:
        """Publish the first configuration, with routes to both services."""
        routes = []
        for name, fields in ROUTES.items():
            stream = fields["kind"] == "streaming"
            routes.append(
                {
                    "name": f"r-{name}",
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "service": MODEL_SERVICE if stream else PLAIN_SERVICE,
                    "timeout_ms": 10_000,
                    "attempts": 2,
                    "resume_streams": stream,
                    **fields,
                }
            )
        self._configuration = {
            "routes": routes,
            "services": [
                {"name": MODEL_SERVICE, "connection_limit": 600, "engine": ENGINE_PROFILE},
                {"name": PLAIN_SERVICE, "connection_limit": 200},
            ],
            "limits": {"idle_timeout_ms": 15_000},
            "tenants": [{"name": TENANT, "api_keys": [KEY, OTHER_KEY]}],
        }
        self.publish_configuration()


PROMPT_TOKENS = {"short": 2_000, "medium": 45_000, "long": 200_000}
"""Default prompt length of a request, by route."""


@asynccontextmanager
async def open_deployment(
    size: DeploymentSize,
    folder: Path,
    prepare: Callable[[Deployment], Awaitable[None]] | None = None,
) -> AsyncIterator[Deployment]:
    """Start a deployment, and stop all of its processes when the context exits.

    `prepare` is called when the store and the targets run, before the entry processes start.
    """
    async with trio.open_nursery() as nursery:
        deployment = Deployment(size, folder, nursery)
        host, _, port = deployment.store_address.rpartition(":")
        nursery.start_soon(deployment.store.serve, host, int(port))
        for number in range(size.engines):
            await deployment.add_target(f"i-engine{number}", MODEL_SERVICE, number)
        for number in range(size.plain):
            await deployment.add_target(f"i-plain{number}", PLAIN_SERVICE, size.engines + number)
        deployment.publish_initial_configuration()
        for entry in deployment.entries:
            deployment.write_settings(entry)
        if prepare is not None:
            await prepare(deployment)
        try:
            for entry in deployment.entries:
                entry.start()
            for entry in deployment.entries:
                await deployment.wait_ready(entry)
            yield deployment
        finally:
            with trio.CancelScope(shield=True):
                await _stop(deployment)
        nursery.cancel_scope.cancel()


async def _stop(deployment: Deployment) -> None:
    for entry in deployment.entries:
        entry.signal(signal.SIGKILL)
    for entry in deployment.entries:
        await entry.wait_exited(STOP_SECONDS)
