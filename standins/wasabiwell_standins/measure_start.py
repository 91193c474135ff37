"""Measures the start of an entry process until its first response to a caller."""

import os
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, fields
from pathlib import Path

import click
import trio

from wasabiwell_standins.users_platform.deployment import (
    CODE_PATHS,
    HOST,
    KEY,
    ZONES,
    Deployment,
    DeploymentSize,
    EntryProcess,
    open_deployment,
)

ROOT = Path(__file__).resolve().parents[2]
LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.002
REST_SECONDS = 2.0
BLOCK = 117
"""Second octet of the IP addresses, different from that of other deployments."""
REQUEST = (
    f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    "Wasabiwell-Request-Id: {id}\r\nWasabiwell-Request-Deadline: 5000\r\n\r\n"
)


@dataclass(frozen=True, slots=True)
class Start:
    """One start: time, processor time and memory until the first response to a caller.

    `accepting_cpu_ms` is the processor time when the first connection was accepted, and
    `rest_mb` the resident memory when the process has rested for `REST_SECONDS`.
    """

    elapsed_ms: float
    cpu_ms: float
    accepting_cpu_ms: float
    first_mb: float
    rest_mb: float
    store_calls: int


def cpu_ms(process: int) -> float:
    """Return the processor time of all threads of a process in milliseconds."""
    total = 0
    for thread in Path(f"/proc/{process}/task").iterdir():
        with suppress(OSError):
            total += int((thread / "schedstat").read_text().split()[0])
    return total / 1e6


def memory_mb(process: int) -> float:
    """Return the resident memory of a process in MB."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


async def try_request(address: str, number: int) -> tuple[bool, bool]:
    """Send a request; return whether the connection was accepted, and whether it was served."""
    host, _, port = address.rpartition(":")
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return False, False
    response = b""
    async with stream:
        with suppress(OSError, trio.BrokenResourceError):
            await stream.send_all(REQUEST.replace("{id}", f"{number:016x}").encode())
            response = bytes(await stream.receive_some(65536))
    return True, response.startswith(b"HTTP/1.1 200")


async def measure_start(
    deployment: Deployment, entry: EntryProcess, command: list[str], paths: list[str]
) -> Start:
    """Start the process, wait for its first response and stop it."""
    environment = {**os.environ, "WASABIWELL_SETTINGS": str(entry.folder / f"{entry.name}.conf")}
    environment["PYTHONPATH"] = os.pathsep.join(paths)
    calls_before = deployment.store.call_count
    begin = time.monotonic()
    with entry.log.open("ab") as log:
        process = subprocess.Popen(  # noqa: ASYNC220 starts the process, does not wait for it
            [*command, "-m", "wasabiwell_platform"], env=environment, stdout=log, stderr=log
        )
    try:
        accepting = 0.0
        served = False
        number = 0
        while not served:
            if time.monotonic() > begin + LIMIT_SECONDS:
                raise TimeoutError(f"no response within {LIMIT_SECONDS} s; see {entry.log}")
            number += 1
            accepted, served = await try_request(entry.address("frontend"), number)
            if accepted and not accepting:
                accepting = cpu_ms(process.pid)
            await trio.sleep(POLL_SECONDS)
        elapsed, used = time.monotonic() - begin, cpu_ms(process.pid)
        memory, calls = memory_mb(process.pid), deployment.store.call_count - calls_before
        await trio.sleep(REST_SECONDS)
        return Start(1000 * elapsed, used, accepting, memory, memory_mb(process.pid), calls)
    finally:
        process.kill()
        process.wait()


async def measure_starts(command: list[str], paths: list[str], runs: int) -> list[Start]:
    """Measure several starts, one after the other, with the stand-ins of the platform."""
    with tempfile.TemporaryDirectory() as folder:
        size = DeploymentSize(entries=0, engines=2, plain=2, block=BLOCK)
        async with open_deployment(size, Path(folder)) as deployment:
            entry = EntryProcess("entry-0", f"127.{BLOCK}.1.1", ZONES[0], Path(folder))
            deployment.write_settings(entry)
            return [await measure_start(deployment, entry, command, paths) for _ in range(runs)]


@click.command()
@click.option("--runs", default=7, show_default=True)
@click.option("--python", default=sys.executable, help="Interpreter of the entry process.")
@click.option("--flags", default="-S", show_default=True, help="Flags of the interpreter.")
@click.option("--libraries", default="", help="Folder of libraries, as script/build makes it.")
@click.option("--code", default=str(ROOT), help="Checkout whose packages are started.")
def main(runs: int, python: str, flags: str, libraries: str, code: str) -> None:
    """Print median, lowest and highest figures of a start until its first response."""
    paths = [str(Path(code) / path) for path in CODE_PATHS]
    if libraries:
        paths.append(libraries)
    starts = trio.run(measure_starts, [python, *flags.split()], paths, runs)
    click.echo(f"{runs} starts until the first response{'median':>20}{'lowest':>9}{'highest':>9}")
    for field in fields(Start):
        values = [getattr(start, field.name) for start in starts]
        numbers = (statistics.median(values), min(values), max(values))
        click.echo(f"{field.name:<47}" + "".join(f"{number:>9.1f}" for number in numbers))


if __name__ == "__main__":
    main()
