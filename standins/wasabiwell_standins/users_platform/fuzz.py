"""Fuzzer of a real entry process: odd callers and datagrams beside sound callers.

Run as `script/fuzz --minutes 10` with fresh seeds, or with `--seed` for one that is known.
"""

import os
import shutil
import signal
import socket
import struct
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom

import click
import msgspec
import trio
from wasabiwell_entry.protocol.notices import encode_notice

from wasabiwell_standins.users_platform.caller import Caller, Reply
from wasabiwell_standins.users_platform.deployment import (
    DATAGRAM_PORT,
    PORTS,
    ZONES,
    Deployment,
    DeploymentSize,
    EntryProcess,
    open_deployment,
)
from wasabiwell_standins.users_platform.fuzz_inputs import (
    Action,
    EndSending,
    Read,
    Reset,
    SendBytes,
    Wait,
    connection_actions,
    datagram,
    peer_state,
    untrusted_actions,
)

METRICS_PORT = 9464
ODD_CALLERS = 16
UNTRUSTED_CALLERS = 4
SOUND_CALLERS = 3
"""Sound callers of each kind: with a connection for each request, and with kept connections."""
STRANGERS = 4
DATAGRAM_INTERVAL_SECONDS = 0.005
WARM_UP_SECONDS = 3.0
SETTLE_SECONDS = 30.0
"""Longer than idle connections of callers are kept (20 s)."""
SEND_SECONDS = 2.0
LATE_SECONDS = 5.0
"""How long a caller may go on after the end of a half."""
READ_BYTES = 65_536
MAX_RESIDENT_MB = 256.0
"""Memory that a node may use for control, by the size that the system is designed for."""
MAX_GROWTH_MB = 8.0
"""Growth of the resident memory in the second half of a run, which meets the same kinds of input as
the first: room for the buffers of logs and requests (1 MiB each) and for fragmentation."""
FAILURE_EVENTS = frozenset({"background_task_failed", "notice_failed", "request_failed_internally"})


@dataclass(slots=True)
class FuzzReport:
    """Result of a seed: findings, what was sent, and the memory of the process in MB."""

    findings: list[str] = field(default_factory=list)
    connections: int = 0
    datagrams: int = 0
    answered: int = 0
    events: Counter[str] = field(default_factory=Counter)
    resident: list[float] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)


class FixedCaller(Caller):
    """A caller that uses one instance, whatever the directories say."""

    def use(self, address: str) -> None:
        """Use the instance at an address."""
        self._addresses, self._addresses_expire_at = [address], float("inf")


class Fuzzer:
    """Runs odd and sound callers against the first entry process of a deployment."""

    __slots__ = ("_deployment", "_entry", "_peer", "_played", "_seed", "report")

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._entry: EntryProcess = deployment.entries[0]
        self._peer = f"127.{deployment.size.block}.1.200:{DATAGRAM_PORT}"
        self._seed = seed
        # The actions by the caller's port, for connections that the process leaves open.
        self._played: dict[int, list[Action]] = {}
        self.report = FuzzReport()

    async def run(self, seconds: float) -> None:
        """Fuzz for a duration and check the process; the findings are in the report."""
        await self._play(WARM_UP_SECONDS, odd=False)
        before = await self._settled(None)
        for half in range(2):
            await self._play(seconds / 2, odd=True, half=half)
            if not self._entry.alive:
                self.report.findings.append(f"the process ended with {self._exit_status()}")
                return
            await self._settled(before)
        first, second = self.report.resident[-2:]
        if second - first > MAX_GROWTH_MB or second > MAX_RESIDENT_MB:
            self.report.findings.append(f"resident memory in MB: {self.report.resident}")

    def _exit_status(self) -> int | None:
        return None if self._entry.process is None else self._entry.process.returncode

    async def _play(self, seconds: float, odd: bool, half: int = 0) -> None:
        async with trio.open_nursery() as nursery:
            for index in range(SOUND_CALLERS):
                nursery.start_soon(self._call, seconds, index)
                nursery.start_soon(self._call_kept, seconds, index)
            if odd:
                for index in range(ODD_CALLERS):
                    random = Random(f"{self._seed}/{half}/caller/{index}")
                    nursery.start_soon(self._call_oddly, seconds, random, connection_actions)
                for index in range(UNTRUSTED_CALLERS):
                    # A generator of their own keeps the inputs of earlier seeds as they are.
                    random = Random(f"{self._seed}/{half}/untrusted/{index}")
                    nursery.start_soon(self._call_oddly, seconds, random, untrusted_actions)
                nursery.start_soon(self._send_datagrams, seconds, half)

    async def _settled(self, expected: int | None) -> int:
        """Wait until the process has closed its connections; return its open descriptors."""
        deadline = trio.current_time() + SETTLE_SECONDS
        lowest, stable_since = self._descriptors(), trio.current_time()
        while trio.current_time() < deadline:
            await trio.sleep(0.1)
            count = self._descriptors()
            if count < lowest:
                lowest, stable_since = count, trio.current_time()
            if expected is not None and count <= expected:
                break
            if expected is None and trio.current_time() - stable_since > WARM_UP_SECONDS:
                break
        count = self._descriptors() if expected is not None else lowest
        if expected is not None and count > expected:
            self.report.findings.append(
                f"{count} descriptors are open, {expected} before: {self._open_files()}"
            )
        self.report.descriptors.append(count)
        self.report.resident.append(self._resident())
        return count

    def _descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process_id()}/fd"))

    def _open_files(self) -> str:
        """Describe the open descriptors, TCP sockets by state, local port and remote address."""
        folder = Path(f"/proc/{self._process_id()}")
        sockets = {}
        for line in (folder / "net/tcp").read_text().splitlines()[1:]:
            _, local, remote, state, *others = line.split()
            host = socket.inet_ntoa(bytes.fromhex(remote[:8])[::-1])
            places = f"{int(local[9:], 16)} {host}:{int(remote[9:], 16)}"
            actions = self._played.get(int(remote[9:], 16), "")
            sockets[f"socket:[{others[5]}]"] = f"tcp {state} {places} {actions}"
        links = [os.readlink(item) for item in (folder / "fd").iterdir()]
        return "; ".join(sorted(sockets.get(link, link) for link in links))

    def _resident(self) -> float:
        for line in Path(f"/proc/{self._process_id()}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return round(int(line.split()[1]) / 1024, 1)
        raise ValueError("the process shows no resident memory")

    def _process_id(self) -> int:
        assert self._entry.process is not None
        return self._entry.process.pid

    async def _call(self, seconds: float, index: int) -> None:
        """Send sound requests, each on a connection of its own."""
        caller = FixedCaller(*self._deployment.caller_arguments(ZONES[index % len(ZONES)]))
        caller.use(self._entry.address("frontend"))
        await self._send_soundly(caller, seconds)

    async def _call_kept(self, seconds: float, index: int) -> None:
        """Send sound requests on a kept connection."""
        address = self._entry.address("frontend")
        zone = ZONES[index % len(ZONES)]
        caller = self._deployment.keeping_caller(zone, stays=True, instance=address)
        await self._send_soundly(caller, seconds)
        await caller.close()

    async def _send_soundly(self, caller: Caller, seconds: float) -> None:
        ends_at = trio.current_time() + seconds
        number = 0
        while trio.current_time() < ends_at:
            route = ("look", "short", "book")[number % 3]
            number += 1
            reply = await caller.send(self._deployment.request(route), retries=0)
            self._check(reply)
            await trio.sleep(0.02)

    def _check(self, reply: Reply) -> None:
        if reply.complete and reply.status == 200:
            self.report.answered += 1
            return
        self.report.findings.append(
            f"sound request {reply.request_id} of {reply.request.path}: status {reply.status}, "
            f"complete: {reply.complete}, connected: {not reply.connect_failed}, "
            f"after {reply.total_s:.2f} s"
        )

    async def _call_oddly(
        self, seconds: float, random: Random, choose: Callable[[Random], list[Action]]
    ) -> None:
        """Play the actions of odd callers, one connection after the other."""
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at and self._entry.alive:
            ports = [*PORTS.values(), METRICS_PORT] if random.random() < 0.3 else [8227]
            port = random.choice(ports)
            actions = choose(random)
            try:
                stream = await trio.open_tcp_stream(self._entry.ip, port)
            except OSError:
                await trio.sleep(0.01)
                continue
            self.report.connections += 1
            # The first action of an untrusted caller tells what it is; the others are megabytes.
            recorded = actions if choose is connection_actions else actions[:1]
            self._played[stream.socket.getsockname()[1]] = recorded
            async with stream:
                # Each send of a caller that the instance does not read takes its whole time.
                with (
                    trio.CancelScope(deadline=ends_at + LATE_SECONDS),
                    suppress(trio.BrokenResourceError),
                ):
                    for action in actions:
                        await _act(stream, action)

    async def _send_datagrams(self, seconds: float, half: int) -> None:
        """Send datagrams from the address of a peer that is known, and from those of strangers."""
        random = Random(f"{self._seed}/{half}/datagrams")
        destination = (self._entry.ip, DATAGRAM_PORT)
        host, _, port = self._peer.rpartition(":")
        sockets = [_datagram_socket(host, int(port))]
        sockets += [_datagram_socket("127.0.0.1", 0) for _ in range(STRANGERS)]
        ends_at = trio.current_time() + seconds
        sequence = 0
        try:
            while trio.current_time() < ends_at:
                sequence += 1
                if sequence % 50 == 1:
                    state = peer_state(self._peer, int(time.time() * 1000))
                    sockets[0].sendto(encode_notice(state), destination)
                random.choice(sockets).sendto(datagram(random, self._peer), destination)
                self.report.datagrams += 1
                await trio.sleep(DATAGRAM_INTERVAL_SECONDS)
        finally:
            for item in sockets:
                item.close()


def _datagram_socket(host: str, port: int) -> socket.socket:
    created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    created.bind((host, port))
    created.setblocking(False)
    return created


async def _act(stream: trio.SocketStream, action: Action) -> None:
    match action:
        case SendBytes(data=data):
            with trio.move_on_after(SEND_SECONDS):
                await stream.send_all(data)
        case Wait(seconds=seconds):
            await trio.sleep(seconds)
        case Read(seconds=seconds):
            with trio.move_on_after(seconds):
                while await stream.receive_some(READ_BYTES):
                    pass
        case EndSending():
            await stream.send_eof()
        case Reset():
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _read_log(path: Path, report: FuzzReport) -> None:
    """Count the log events of a process; what is no log line, or shows a fault, is a finding."""
    for line in path.read_bytes().splitlines():
        try:
            fields = msgspec.json.decode(line)
        except msgspec.DecodeError:
            report.findings.append(f"unexpected output: {line[:300]!r}")
            continue
        report.events[fields["name"]] += 1
        if fields["name"] in FAILURE_EVENTS:
            report.findings.append(f"logged: {line.decode()}")


async def fuzz_seed(
    seed: int, seconds: float, block: int, folder: Path, code: Path | None = None
) -> FuzzReport:
    """Fuzz the first of two entry processes for a duration; `block` selects the IP addresses.

    The processes run the code of the checkout `code`, this one by default.
    """
    size = DeploymentSize(entries=2, block=block)

    async def prepare(deployment: Deployment) -> None:
        for entry in deployment.entries:
            entry.code = code
        await trio.lowlevel.checkpoint()

    async with open_deployment(size, folder, prepare) as deployment:
        fuzzer = Fuzzer(deployment, seed)
        await fuzzer.run(seconds)
        report = fuzzer.report
        if not deployment.entries[1].alive:
            report.findings.append("the other process has ended")
        sound = deployment.ledger
        sound.runs = {key: runs for key, runs in sound.runs.items() if key in sound.sent}
        report.findings += sound.violations()
        for entry in deployment.entries:
            entry.signal(signal.SIGTERM)
        for entry in deployment.entries:
            if not await entry.wait_exited(10.0):
                report.findings.append(f"{entry.name} does not stop")
    for entry in deployment.entries:
        _read_log(entry.log, report)
    return report


@click.command()
@click.option("--seed", type=int, help="One seed, instead of fresh ones.")
@click.option("--minutes", default=10.0, help="Seeds are begun for this time.")
@click.option("--seconds", default=60.0, help="Duration of the fuzzing of one seed, in seconds.")
@click.option("--block", default=75, help="Second octet of the IP addresses.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs of failed seeds.")
@click.option(
    "--code",
    type=click.Path(path_type=Path, exists=True, file_okay=False, resolve_path=True),
    help="Checkout whose code the entry processes run, for comparison.",
)
def main(
    seed: int | None,
    minutes: float,
    seconds: float,
    block: int,
    keep: Path | None,
    code: Path | None,
) -> None:
    """Fuzz a real entry process, and print the findings of each seed."""
    failed = False
    ends_at = time.monotonic() + minutes * 60
    while time.monotonic() < ends_at:
        chosen = SystemRandom().getrandbits(32) if seed is None else seed
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(fuzz_seed, chosen, seconds, block, Path(folder), code)
            if report.findings and keep is not None:
                shutil.copytree(folder, keep / f"seed-{chosen}", dirs_exist_ok=True)
        failed = failed or bool(report.findings)
        click.echo(
            f"seed {chosen}: {report.connections} connections, {report.datagrams} datagrams, "
            f"{report.answered} sound requests answered, resident memory {report.resident} MB, "
            f"descriptors {report.descriptors}, {len(report.findings)} findings"
        )
        click.echo(f"  events: {dict(report.events.most_common())}")
        for finding, count in Counter(report.findings).most_common(30):
            click.echo(f"  {count} x {finding}")
        if seed is not None:
            break
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
