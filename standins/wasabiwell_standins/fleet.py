"""Starts and stops the processes of a deployment on the local machine."""

import os
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httpcore
import msgspec

from wasabiwell_standins.deployments import Deployment

HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05


@dataclass(slots=True)
class Process:
    """A process of the fleet; `address` is the address that it listens on."""

    role: str
    name: str
    address: str
    popen: subprocess.Popen[bytes] = field(repr=False)
    zone: str = ""
    peer_address: str = ""

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)


_ISSUED_PORTS: set[int] = set()
_PORTS_LOCK = threading.Lock()


def free_ports(count: int = 1) -> list[int]:
    """Return free ports that no earlier call returned.

    A process binds its port some time after its start, so two processes that start at the same
    time could otherwise be given the same port.
    """
    ports: list[int] = []
    with _PORTS_LOCK:
        while len(ports) < count:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            if port not in _ISSUED_PORTS:
                _ISSUED_PORTS.add(port)
                ports.append(port)
    return ports


def request(
    method: str,
    address: str,
    path: str,
    value: object = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 30.0,
    ca: str = "",
) -> httpcore.Response:
    """Send one HTTP request on a new connection, with `value` encoded as JSON.

    `ca` is a PEM file with the CA certificates that verify the server; setting it enables HTTPS.
    """
    content = b"" if value is None else msgspec.json.encode(value)
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_seconds)
    tls = ssl.create_default_context(cafile=ca) if ca else None
    with httpcore.ConnectionPool(ssl_context=tls) as pool:
        return pool.request(
            method,
            f"{'https' if ca else 'http'}://{address}{path}",
            headers=[
                (name.encode(), item.encode())
                for name, item in {"content-type": "application/json", **(headers or {})}.items()
            ],
            content=content,
            extensions={"timeout": timeout},
        )


class Fleet:
    """The running processes of one deployment."""

    def __init__(self, deployment: Deployment, log_folder: Path) -> None:
        self.deployment = deployment
        self.processes: list[Process] = []
        self._log_folder = log_folder

    @property
    def platform(self) -> Process:
        """Return the process of the platform stand-in."""
        return self.processes_with_role("platform")[0]

    @property
    def entries(self) -> list[Process]:
        """Return the processes of the entry instances."""
        return self.processes_with_role("entry")

    def processes_with_role(self, role: str) -> list[Process]:
        """Return the processes that have a role."""
        return [process for process in self.processes if process.role == role]

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._log_folder / f"{name}.log").read_text(errors="replace")

    def control(self, process: Process, **values: object) -> dict[str, object]:
        """Set control values of a stand-in, such as faults, and return its response."""
        reply: dict[str, object] = msgspec.json.decode(
            request("POST", process.address, "/control", values).content
        )
        return reply

    def start_platform(self) -> Process:
        """Start the platform stand-in and return its process."""
        address = f"{HOST}:{free_ports()[0]}"
        return self.start_module(
            "platform", "platform", address, "wasabiwell_standins.platform", ["--address", address]
        )

    def start_engine(self, index: int, *options: str, proxied: bool = False) -> Process:
        """Start an engine and register it, with `proxied` under the address of its own proxy."""
        name = f"{self.deployment.engine_service}-{index}"
        address = f"{HOST}:{free_ports()[0]}"
        arguments = ["--address", address, "--name", name]
        arguments += ["--total-tokens", str(self.deployment.engine_tokens), *options]
        process = self.start_module(
            "engine", name, address, "wasabiwell_standins.engine", arguments
        )
        process.zone = self._zone_for_index(index)
        listed_address = self.start_proxy(address, f"proxy-of-{name}")[0] if proxied else address
        self.register_instance(process, self.deployment.engine_service, listed_address)
        return process

    def proxy_of(self, process: Process) -> Process:
        """Return the proxy under whose address a process is registered."""
        return next(
            item
            for item in self.processes_with_role("proxy")
            if item.name == f"proxy-of-{process.name}"
        )

    def start_booking(self, index: int) -> Process:
        """Start a target of the booking service and register it."""
        name = f"{self.deployment.booking_service}-{index}"
        address = f"{HOST}:{free_ports()[0]}"
        arguments = ["--address", address, "--name", name]
        process = self.start_module(
            "plain", name, address, "wasabiwell_standins.booking", arguments
        )
        process.zone = self._zone_for_index(index)
        self.register_instance(process, self.deployment.booking_service)
        return process

    def start_entry(
        self,
        index: int,
        *options: str,
        platform: str | None = None,
        peer_proxy: bool | Callable[[str], str] = False,
    ) -> Process:
        """Start an entry instance and register it.

        With `peer_proxy`, other entries connect to it through a new proxy process. If `peer_proxy`
        is a function, it takes the peer address and returns the address of the proxy.
        """
        name = f"entry-{index}"
        caller_port, peer_port = free_ports(2)
        address, peer_address = f"{HOST}:{caller_port}", f"{HOST}:{peer_port}"
        if peer_proxy:
            options = (*options, "--peer-listen", peer_address)
            if callable(peer_proxy):
                peer_address = peer_proxy(peer_address)
            else:
                peer_address, _ = self.start_proxy(peer_address, f"peer-proxy-{index}")
        url = f"http://{platform or self.platform.address}"
        arguments = ["--node-id", name, "--region", self.deployment.region]
        arguments += ["--zone", self._zone_for_index(index), "--caller-address", address]
        arguments += ["--peer-address", peer_address, "--table-url", url]
        arguments += ["--object-url", url, "--instance-url", url, *options]
        process = self.start_module("entry", name, address, "wasabiwell_entry.main", arguments)
        process.zone = self._zone_for_index(index)
        process.peer_address = peer_address
        self.register_instance(process, "")
        return process

    def start_proxy(self, target: str, name: str) -> tuple[str, Process]:
        """Start a fault-injecting proxy; return its address and its process."""
        port, control_port = free_ports(2)
        address, control = f"{HOST}:{port}", f"{HOST}:{control_port}"
        arguments = ["--address", address, "--target", target, "--control-address", control]
        process = self.start_module("proxy", name, control, "wasabiwell_standins.proxy", arguments)
        return address, process

    def replace_entry(self, old: Process, *options: str, platform: str | None = None) -> Process:
        """Start an entry instance with the node id of one that has exited."""
        self.processes.remove(old)
        return self.start_entry(int(old.name.removeprefix("entry-")), *options, platform=platform)

    def status(self, entry: Process) -> dict[str, Any]:
        """Return the operator status of an entry instance."""
        headers = {"authorization": f"Bearer {self.deployment.operator_key}"}
        reply = request("GET", entry.address, "/admin/v1/status", headers=headers)
        status: dict[str, Any] = msgspec.json.decode(reply.content)
        return status

    def member_statuses(self, entry: Process) -> dict[str, str]:
        """Return the status of each cluster member, as seen by an entry instance."""
        return {item["node_id"]: item["status"] for item in self.status(entry)["members"]}

    def start_module(
        self, role: str, name: str, address: str, module: str, arguments: list[str]
    ) -> Process:
        """Start a module as a process and wait until it accepts connections."""
        with open(self._log_folder / f"{name}.log", "ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(role, name, address, popen)
        self.processes.append(process)
        self.wait_until(lambda: self._is_listening(process), f"{name} listening")
        return process

    def register_instance(self, process: Process, service: str, address: str | None = None) -> None:
        """Add a process to the platform's instance list; `address` replaces its own address."""
        record = {
            "instance_id": process.name,
            "role": process.role,
            "service": service,
            "address": address or process.address,
            "peer_address": process.peer_address,
            "region": self.deployment.region,
            "zone": process.zone,
        }
        request("PUT", self.platform.address, f"/instances/{process.name}", record)

    def mark_leaving(self, process: Process) -> None:
        """Mark a process as leaving in the instance list."""
        request("POST", self.platform.address, f"/instances/{process.name}")

    def deregister_instance(self, process: Process) -> None:
        """Remove a process from the instance list."""
        request("DELETE", self.platform.address, f"/instances/{process.name}")

    def apply_example(self) -> None:
        """Apply the example configuration of the deployment with the command-line tool."""
        configuration = subprocess.run(
            [sys.executable, self.deployment.example], check=True, capture_output=True
        ).stdout
        self.run_cli("apply", "-", stdin=configuration)

    def run_cli(self, *arguments: str, stdin: bytes = b"", check: bool = True) -> str:
        """Run the command-line tool against the entry instances and return its output."""
        entries = [option for entry in self.entries for option in ("--entry", entry.address)]
        finished = subprocess.run(
            [
                sys.executable,
                "-m",
                "wasabiwell_cli.main",
                *entries,
                "--key",
                self.deployment.operator_key,
                *arguments,
            ],
            input=stdin,
            capture_output=True,
            check=False,
        )
        output = finished.stdout.decode() + finished.stderr.decode()
        if check and finished.returncode != 0:
            raise RuntimeError(f"wasabiwell {arguments}: exit {finished.returncode}: {output}")
        return output

    def wait_ready(self) -> None:
        """Wait until each entry instance is ready and has discovered all targets."""
        target_ids = {
            item.name
            for item in (*self.processes_with_role("engine"), *self.processes_with_role("plain"))
        }
        for entry in self.entries:
            self.wait_until(partial(self._is_ready, entry, target_ids), f"{entry.name} ready")

    def wait_until(
        self,
        condition: Callable[[], bool],
        description: str,
        timeout: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Poll a condition until it holds; raise `TimeoutError` after the timeout."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"timeout after {timeout:g} s: {description}")

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.kill()

    def _is_ready(self, entry: Process, target_ids: set[str]) -> bool:
        try:
            if request("GET", entry.address, "/readyz").status != 200:
                return False
            status = self.status(entry)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return False
        return target_ids <= {target["target_id"] for target in status["targets"]}

    def _zone_for_index(self, index: int) -> str:
        return self.deployment.zones[index % len(self.deployment.zones)]

    def _is_listening(self, process: Process) -> bool:
        if process.popen.poll() is not None:
            raise RuntimeError(f"{process.name} exited during startup: {self.log(process.name)}")
        host, _, port = process.address.rpartition(":")
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0


@contextmanager
def open_fleet(deployment: Deployment) -> Iterator[Fleet]:
    """Yield an empty fleet, and kill all processes started in it when the context exits."""
    with tempfile.TemporaryDirectory(prefix="wasabiwell-") as folder:
        fleet = Fleet(deployment, Path(folder))
        try:
            yield fleet
        finally:
            fleet.stop()


@contextmanager
def running_fleet(
    deployment: Deployment, *entry_options: str, proxied: bool = False
) -> Iterator[Fleet]:
    """Yield a fleet with all processes of a deployment and its example configuration applied."""
    with open_fleet(deployment) as fleet:
        fleet.start_platform()
        for index in range(deployment.engines):
            fleet.start_engine(index, proxied=proxied)
        for index in range(deployment.bookings):
            fleet.start_booking(index)
        for index in range(deployment.entries):
            fleet.start_entry(index, *entry_options)
        fleet.apply_example()
        fleet.wait_ready()
        yield fleet
