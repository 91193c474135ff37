"""Measures latency and CPU time with log output to a file, a blocked pipe and /dev/null."""

import fcntl
import os
import statistics
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click
import trio

from wasabiwell_standins.measure_relay import cpu_seconds
from wasabiwell_standins.users_platform.caller import Caller, CallerRequest, Reply
from wasabiwell_standins.users_platform.deployment import (
    Deployment,
    DeploymentSize,
    open_deployment,
)

PIPE_BYTES = 4096
"""Minimum pipe capacity on Linux; the blocked pipe is filled with this many bytes in advance."""
SIZE = DeploymentSize(entries=2, engines=4, plain=1, block=78)
WARM_UP_SECONDS = 2.0


@contextmanager
def blocked_pipe() -> Iterator[int]:
    """Yield the write end of a full pipe that has no active reader."""
    reader, writer = os.pipe()
    try:
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.write(writer, b"\n" * PIPE_BYTES)
        yield writer
    finally:
        os.close(reader)
        os.close(writer)


async def send_all(deployment: Deployment, rate: float, seconds: float) -> list[Reply]:
    """Send short prompts at a fixed rate and return the replies."""
    caller, replies = deployment.caller(), list[Reply]()

    async def send(sender: Caller, request: CallerRequest) -> None:
        replies.append(await sender.send(request))

    async with trio.open_nursery() as nursery:
        for _ in range(round(rate * seconds)):
            nursery.start_soon(send, caller, deployment.request("short"))
            await trio.sleep(1 / rate)
    return replies


async def measure(output: int | None, rate: float, seconds: float, folder: Path) -> str:
    """Return the table cells for one log output; None is the default log file."""

    async def prepare(deployment: Deployment) -> None:
        await trio.lowlevel.checkpoint()
        for entry in deployment.entries:
            entry.output = output

    async with open_deployment(SIZE, folder, prepare) as deployment:
        await send_all(deployment, rate, WARM_UP_SECONDS)
        processes = [entry.process.pid for entry in deployment.entries if entry.process is not None]
        cpu_before = sum(cpu_seconds(pid) for pid in processes)
        replies = await send_all(deployment, rate, seconds)
        cpu_used = sum(cpu_seconds(pid) for pid in processes) - cpu_before
    complete = [reply for reply in replies if reply.status == 200 and reply.complete]
    first_byte_times = sorted(
        reply.first_byte_s for reply in complete if reply.first_byte_s is not None
    )
    p99 = statistics.quantiles(first_byte_times, n=100)[98]
    figures = (statistics.median(first_byte_times), p99, cpu_used / len(replies))
    times = " | ".join(f"{1000 * value:.1f}" for value in figures)
    return f"{len(complete)} of {len(replies)} | {times}"


@click.command()
@click.option("--rate", default=40.0, show_default=True, help="Requests per second.")
@click.option(
    "--seconds", default=15.0, show_default=True, help="Duration of each measurement, in seconds."
)
def main(rate: float, seconds: float) -> None:
    """Compare log output to a file, to a pipe with a blocked reader, and to /dev/null."""
    click.echo("| logs | whole answers | first event p50, ms | p99, ms | entry CPU, ms a request |")
    click.echo("|---|---|---|---|---|")
    with blocked_pipe() as blocked, Path(os.devnull).open("wb") as nothing:
        for name, output in (("file", None), ("blocked pipe", blocked), ("null", nothing.fileno())):
            with tempfile.TemporaryDirectory() as folder:
                row = trio.run(measure, output, rate, seconds, Path(folder))
            click.echo(f"| {name} | {row} |")


if __name__ == "__main__":
    main()
