"""Steps for requests and prompt parts that crash engines, with real processes."""

import json
import sys

import trio
from behave import then, when
from behave.runner import Context
from support.deployments import SEND_INTERVAL_SECONDS, run_deployment, send
from wasabiwell_standins.users_platform.deployment import MODEL_SERVICE, Deployment

RESTART_SECONDS = 1.0


@when(
    "a request that crashes engines {moment}, which {end:w} their connections, "
    "is sent {count:d} times"
)
def step_crashing_request(context: Context, moment: str, end: str, count: int) -> None:
    async def actions(deployment: Deployment) -> None:
        for target in deployment.targets_of(MODEL_SERVICE):
            target.faults.crash_on = "poison"
            target.faults.crash_after_head = moment == "after the head"
            target.faults.close_on_crash = end == "close"
        caller = deployment.caller()
        for _ in range(count):
            await caller.send(deployment.request("short", text="poison"))
        context.crashes = sum(len(runs) for runs in deployment.ledger.runs.values())

    run_deployment(context, actions)


async def restart_crashed(deployment: Deployment) -> None:
    """Start each crashed target again after a second, until cancelled."""
    while True:
        await trio.sleep(RESTART_SECONDS)
        for target in deployment.targets.values():
            if target.crashed:
                target.restart()
                await deployment.start_target(target)


@when(
    "{bad:d} requests with a prompt part that crashes engines are sent, and then {sound:d} others"
)
def step_crashing_part(context: Context, bad: int, sound: int) -> None:
    async def actions(deployment: Deployment) -> None:
        for target in deployment.targets_of(MODEL_SERVICE):
            target.faults.crash_on = "bad0"
            target.faults.crash_after_head = target.faults.close_on_crash = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(restart_crashed, deployment)
            caller = deployment.caller()
            for number in range(bad):
                await caller.send(deployment.request("short", text=str(number), part="bad0"))
            await trio.sleep(3 * RESTART_SECONDS)
            others = [deployment.request("short") for _ in range(sound)]
            await send(context, deployment, others, SEND_INTERVAL_SECONDS)
            nursery.cancel_scope.cancel()
        context.crashes = sum(target.crash_count for target in deployment.targets.values())

    run_deployment(context, actions)


@then("the requests with that part crashed at most {count:d} engines")
def step_part_crashes(context: Context, count: int) -> None:
    assert 0 < context.crashes <= count, context.crashes


@then("the other requests were answered")
def step_others_answered(context: Context) -> None:
    missing = [reply for reply in context.replies if reply.status != 200 or not reply.complete]
    assert not missing, missing


@when("a request that crashes engines is refused, and the engines are repaired")
def step_refused_and_repaired(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        engines = deployment.targets_of(MODEL_SERVICE)
        caller = deployment.caller()
        request = deployment.request("short", text="poison")
        for target in engines:
            target.faults.crash_on = "poison"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(restart_crashed, deployment)
            for _ in range(4):
                await caller.send(request)
            for target in engines:
                target.faults.crash_on = ""
            await trio.sleep(3 * RESTART_SECONDS)
            address = deployment.entries[-1].address("control")
            listed = await run_quarantine_command(address, "list", "--json")
            context.suspects = json.loads(listed)["suspects"]
            refused = [item for item in context.suspects if item["quarantined"]]
            context.before = await caller.send(request)
            for item in refused:
                await run_quarantine_command(address, "release", item["fingerprint"])
            await trio.sleep(RESTART_SECONDS)
            reply = await caller.send(request)
            nursery.cancel_scope.cancel()
        context.after = reply

    run_deployment(context, actions)


async def run_quarantine_command(address: str, *arguments: str) -> str:
    """Run `wasabiwell quarantine` at a control address and return its output."""
    command = [sys.executable, "-m", "wasabiwell_cli.main", "--entry", address, "quarantine"]
    finished = await trio.run_process([*command, *arguments], capture_stdout=True)
    return finished.stdout.decode()


@then("`wasabiwell quarantine list` lists one quarantined request")
def step_listed(context: Context) -> None:
    refused = [item for item in context.suspects if item["quarantined"]]
    assert len(refused) == 1, context.suspects
    assert len(refused[0]["targets"]) == 3, refused


@then("after `wasabiwell quarantine release` it is answered")
def step_released(context: Context) -> None:
    assert context.before.status == 503, context.before
    assert context.after.status == 200, context.after
    assert context.after.complete, context.after


@then("the request crashed at most {count:d} engines")
def step_crashes(context: Context, count: int) -> None:
    assert 0 < context.crashes <= count, context.crashes
