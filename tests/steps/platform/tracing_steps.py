"""Steps for finding the cause of a failed request from logs and metrics."""

import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import httpcore
import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_platform.const import METRICS_PATH, METRICS_PORT
from wasabiwell_standins.users_platform.caller import CallerRequest, Reply
from wasabiwell_standins.users_platform.deployment import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Deployment,
    DeploymentSize,
    open_deployment,
)

IP_BLOCKS = iter(range(20, 28))
"""Blocks of IP addresses, one for each scenario."""


def run_deployment(
    context: Context, actions: Callable[[Deployment], Awaitable[Reply | None]]
) -> None:
    """Run actions in a new deployment; keep the last reply and the logs of the entry processes."""
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())

    async def run() -> None:
        size = DeploymentSize(entries=2, engines=2, plain=1, block=next(IP_BLOCKS))
        async with open_deployment(size, Path(context.folder)) as deployment:
            context.logs = [entry.log for entry in deployment.entries]
            context.reply = await actions(deployment)
            await trio.sleep(0.3)

    trio.run(run)


async def send(deployment: Deployment, request: CallerRequest) -> Reply:
    return await deployment.caller().send(request, retries=0)


@given("a log file with {count:d} unreadable lines")
def step_unreadable_log(context: Context, count: int) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.noise = Path(folder) / "noise.log"
    lines = [b"Traceback", b"{}", b'{"time": "yesterday", "node": 1, "name": "x"}\xff']
    context.noise.write_bytes(b"\n".join(lines[:count]) + b"\n")


@when("a booking is refused as no target accepts new requests")
def step_refused(context: Context) -> None:
    async def actions(deployment: Deployment) -> Reply:
        target = deployment.targets_of(PLAIN_SERVICE)[0]
        deployment.store.put_json("servers", target.target_id, target.listing_entry("draining"))
        await trio.sleep(0.3)
        return await send(deployment, deployment.request("book"))

    run_deployment(context, actions)
    assert context.reply.status == 503, context.reply


@when("an engine crashes under a stream that may not be resumed")
def step_interrupted(context: Context) -> None:
    async def actions(deployment: Deployment) -> Reply:
        for route in deployment.configuration["routes"]:
            route["resume_streams"] = False
        deployment.publish_configuration()
        await trio.sleep(0.3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_busiest_engine, deployment)
            return await send(deployment, deployment.request("short", events=60))

    run_deployment(context, actions)
    assert context.reply.status == 200
    assert not context.reply.complete


async def crash_busiest_engine(deployment: Deployment) -> None:
    await trio.sleep(0.5)
    max(deployment.targets_of(MODEL_SERVICE), key=lambda target: target.running).crash()


@when("a target loses its response to a booking")
def step_lost_response(context: Context) -> None:
    async def actions(deployment: Deployment) -> Reply:
        deployment.targets_of(PLAIN_SERVICE)[0].faults.reset_share = 1.0
        return await send(deployment, deployment.request("book"))

    run_deployment(context, actions)
    assert context.reply.status == 502, context.reply


@when("requests of all kinds are answered and the metrics are fetched")
def step_metrics(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        for route in ("short", "medium", "long", "book", "look", "look"):
            assert (await send(deployment, deployment.request(route))).status == 200
        texts = []
        async with httpcore.AsyncConnectionPool() as pool:
            for entry in deployment.entries:
                url = f"http://{entry.ip}:{METRICS_PORT}{METRICS_PATH}"
                texts.append((await pool.request("GET", url)).content.decode())
        context.metrics = texts

    run_deployment(context, actions)


def run_trace(context: Context, request_id: str) -> None:
    files = [*context.logs, *([context.noise] if "noise" in context else [])]
    context.finished = subprocess.run(
        [sys.executable, "-m", "wasabiwell_cli.main", "trace", request_id, *map(str, files)],
        capture_output=True,
        text=True,
        check=False,
    )


@then('`wasabiwell trace` lists its events "{names}"')
def step_trace(context: Context, names: str) -> None:
    run_trace(context, context.reply.request_id)
    assert context.finished.returncode == 0, context.finished
    rows = context.finished.stdout.splitlines()[2:]
    found = [row.split()[2] for row in rows if row and row[0].isdigit() and "entry-" in row]
    assert found == names.split(), context.finished.stdout


@then('the trace contains "{text}"')
def step_trace_contains(context: Context, text: str) -> None:
    assert text in context.finished.stdout, context.finished.stdout


@then("the trace reports {count:d} unreadable lines")
def step_unreadable_count(context: Context, count: int) -> None:
    assert f"{count} unreadable lines" in context.finished.stdout, context.finished.stdout


@then("`wasabiwell trace` of another request exits with code {code:d}")
def step_trace_other(context: Context, code: int) -> None:
    run_trace(context, "0" * 16)
    assert context.finished.returncode == code, context.finished


@then("the metrics count {count:d} requests with status {status:d}")
def step_count(context: Context, count: int, status: int) -> None:
    lines = [line for text in context.metrics for line in text.splitlines()]
    counted = [
        float(line.rsplit(" ", 1)[1])
        for line in lines
        if line.startswith("wasabiwell_requests_total") and f'reason="{status}"' in line
    ]
    assert sum(counted) == count, counted


@then('the metrics contain "{names}"')
def step_metrics_contain(context: Context, names: str) -> None:
    missing = [name for name in names.split() if not any(name in text for text in context.metrics)]
    assert not missing, missing
