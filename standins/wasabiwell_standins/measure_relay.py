"""Measures the CPU time that an entry instance spends on each relayed token."""

import os
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

import click
import httpcore
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http
from wasabiwell_standins.caller import chat, make_messages
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import HOST, Fleet, Process, free_ports, open_fleet, request

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PROMPT_TOKENS = 200


def cpu_seconds(pid: int) -> float:
    """Return the CPU time (user and system) of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def forward_unparsed(
    exchange: HttpExchange, target: str, pool: httpcore.AsyncConnectionPool
) -> None:
    """Forward the response of the engine without parsing it."""
    async with pool.stream(
        "POST", f"http://{target}/v1/generate", content=exchange.body
    ) as response:
        await exchange.start_stream(b"application/x-ndjson")
        async for data in response.aiter_stream():
            await exchange.send_chunk(data)
        await exchange.send_chunk(b"", more=False)


def run_baseline(address: str, target: str) -> None:
    """Serve the baseline, printed as `floor`: hypercorn and httpcore without the entry's code."""
    host, _, port = address.rpartition(":")

    async def run() -> None:
        async with httpcore.AsyncConnectionPool(max_connections=512) as pool:

            async def handle(exchange: HttpExchange) -> None:
                await forward_unparsed(exchange, target, pool)

            await serve_http(handle, host, int(port))

    trio.run(run)


def stream_entry(fleet: Fleet, index: int, tokens: int) -> None:
    """Read one response through the entry instance."""
    keys = list(fleet.deployment.organisations.values())
    messages = make_messages(PROMPT_TOKENS, f"relay {index} {time.monotonic()}")
    service = fleet.deployment.engine_service
    key = keys[index % len(keys)]
    result = chat(fleet.entries[0].address, key, service, messages, tokens)
    if result.error:
        raise click.ClickException(result.error)


def stream_baseline(address: str, index: int, tokens: int) -> None:
    """Read one response through the baseline relay."""
    body = {
        "attempt_id": f"floor-{index}-{time.monotonic()}",
        "messages": [{"role": "user", "content": f"{index}"}],
        "max_tokens": tokens,
        "priority": 0,
        "resume_offset": 0,
        "generated": "",
        "reservation_id": "",
        "shards": [],
    }
    request("POST", address, "/v1/generate", body, timeout_seconds=120.0)


def measure(process: Process, stream: Callable[[int], None], streams: int, tokens: int) -> str:
    """Run concurrent streams and return table cells: tokens per second and CPU ms per token."""
    before, started = cpu_seconds(process.pid), time.monotonic()
    with ThreadPoolExecutor(streams) as pool:
        list(pool.map(stream, range(streams)))
    elapsed = time.monotonic() - started
    used = cpu_seconds(process.pid) - before
    total = streams * tokens
    return f"{total / elapsed:>12.0f}{1000 * used / total:>12.4f}"


@click.command()
@click.option("--streams", "rates", multiple=True, type=int, default=(1, 8, 24))
@click.option("--tokens", default=400, help="Tokens of each response.")
@click.option("--floor", help="Serve the baseline relay on this HOST:PORT instead of measuring.")
@click.option("--target", help="HOST:PORT of the engine behind the baseline relay.")
def main(rates: tuple[int, ...], tokens: int, floor: str | None, target: str | None) -> None:
    """Print the CPU time per token of an entry instance and of the libraries alone."""
    if floor is not None and target is not None:
        run_baseline(floor, target)
        return
    with open_fleet(replace(EAVELINE, entries=1, engines=1)) as fleet:
        fleet.start_platform()
        engine = fleet.start_engine(0)
        fleet.start_booking(0)
        entry = fleet.start_entry(0)
        fleet.apply_example()
        fleet.wait_ready()
        address = f"{HOST}:{free_ports()[0]}"
        arguments = ["--floor", address, "--target", engine.address]
        baseline_process = fleet.start_module("floor", "floor", address, __spec__.name, arguments)
        click.echo(f"{'relay':<8}{'streams':>8}{'tokens/s':>12}{'CPU ms/token':>12}")
        for streams in rates:
            result = measure(entry, lambda i: stream_entry(fleet, i, tokens), streams, tokens)
            click.echo(f"{'entry':<8}{streams:>8}{result}")
            result = measure(
                baseline_process, lambda i: stream_baseline(address, i, tokens), streams, tokens
            )
            click.echo(f"{'floor':<8}{streams:>8}{result}")


if __name__ == "__main__":
    main()
