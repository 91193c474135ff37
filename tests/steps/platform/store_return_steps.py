"""Steps for the return of the store from a copy, with real processes."""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import trio
from behave import given, then, when
from behave.runner import Context
from support.deployments import request_bytes, run_deployment, send_raw
from wasabiwell_standins.users_platform.deployment import (
    KEY,
    OTHER_KEY,
    PLAIN_SERVICE,
    TENANT,
    Deployment,
)
from wasabiwell_standins.users_platform.store_return import StoreReturn, return_from_copy

SETTLED_SECONDS = 3.0
"""Time after which the instances know each other, and long polls are held."""
LOST_WRITES = 60
"""More than are written after the return, so that versions stay below those of before."""
COPY_AGE_SECONDS = 2.0
OBSERVED_SECONDS = 6.0
REQUEST_INTERVAL_SECONDS = 0.05
CONCURRENT_REQUESTS = 36
"""Requests at one entry process at the same time: more than half of the slots of all plain targets.
Load goes before the zone, so that each usable target gets some of them."""
CHECK_INTERVAL_SECONDS = 0.25
NEW_PATH = "/new/1"
LEFT_BEFORE, LEFT_AFTER = "i-plain1", "i-plain2"
JOINED_BEFORE, JOINED_AFTER = "i-plain5", "i-plain6"


@dataclass(slots=True)
class Observations:
    """Times of changes by target, and statuses with the time of their request, by instance."""

    left_at: dict[str, float] = field(default_factory=dict)
    joined_at: dict[str, float] = field(default_factory=dict)
    configured_at: float = 0.0
    ended_at: float = 0.0
    key_statuses: dict[int, list[tuple[float, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    route_statuses: dict[int, list[tuple[float, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )


async def send_steadily(deployment: Deployment, number: int) -> None:
    """Send requests to one entry process, with ids that name it."""
    address = deployment.entries[number].address("frontend")
    sent = 0
    while True:
        sent += 1
        request_id = f"from{number}-{sent}"
        deployment.ledger.sent.add(request_id)
        await send_raw(address, request_bytes(request_id=request_id))
        await trio.sleep(REQUEST_INTERVAL_SECONDS)


async def use_all_targets(deployment: Deployment, number: int) -> None:
    """Send so many requests to one entry process at once that it needs all plain targets."""
    address = deployment.entries[number].address("frontend")
    async with trio.open_nursery() as nursery:
        for index in range(CONCURRENT_REQUESTS):
            request_id = f"from{number}-burst{index}"
            deployment.ledger.sent.add(request_id)
            nursery.start_soon(send_raw, address, request_bytes(request_id=request_id))


async def check_routes(deployment: Deployment, number: int, observed: Observations) -> None:
    """Use the withdrawn key and the new route at one entry process."""
    address = deployment.entries[number].address("frontend")
    while True:
        sent_at = trio.current_time()
        status = await send_raw(address, request_bytes(key=OTHER_KEY))
        observed.key_statuses[number].append((sent_at, status))
        sent_at = trio.current_time()
        status = await send_raw(address, request_bytes(path=NEW_PATH))
        observed.route_statuses[number].append((sent_at, status))
        await trio.sleep(CHECK_INTERVAL_SECONDS)


def remove_target(deployment: Deployment, target_id: str, observed: Observations) -> None:
    deployment.store.put_row("servers", target_id, None)
    observed.left_at[target_id] = trio.current_time()


async def add_target(deployment: Deployment, target_id: str, observed: Observations) -> None:
    number = deployment.size.engines + int(target_id.removeprefix("i-plain"))
    await deployment.add_target(target_id, PLAIN_SERVICE, number)
    observed.joined_at[target_id] = trio.current_time()


def change_configuration(deployment: Deployment, observed: Observations) -> None:
    """Withdraw a key and add a route."""
    configuration = deployment.configuration
    configuration["tenants"] = [{"name": TENANT, "api_keys": [KEY]}]
    look = next(route for route in configuration["routes"] if route["name"] == "r-look")
    configuration["routes"] = [
        *configuration["routes"],
        {**look, "name": "r-new", "prefix": "/new/"},
    ]
    deployment.publish_configuration()
    observed.configured_at = trio.current_time()


@given("{count:d} entry processes")
def step_entries(context: Context, count: int) -> None:
    context.count = count


@when("the store returns {times} from a copy, with {polls}, and rows change before and after that")
def step_returns(context: Context, times: str, polls: str) -> None:
    context.observed = observed = Observations()
    drill = StoreReturn(hang_polls=polls == "open polls that get no answer")
    random = Random(f"{times} {polls}")

    async def play(deployment: Deployment) -> None:
        store = deployment.store
        await trio.sleep(SETTLED_SECONDS)
        copy = store.copy()
        await trio.sleep(COPY_AGE_SECONDS / 2)
        await add_target(deployment, JOINED_BEFORE, observed)
        remove_target(deployment, LEFT_BEFORE, observed)
        change_configuration(deployment, observed)
        kept = deployment.targets["i-plain0"]
        for _ in range(LOST_WRITES):
            store.put_json("servers", kept.target_id, kept.listing_entry())
        await trio.sleep(COPY_AGE_SECONDS / 2)
        for _ in range({"once": 1, "twice": 2}[times]):
            await return_from_copy(store, copy, drill, random)
        observed.joined_at[JOINED_BEFORE] = trio.current_time()
        remove_target(deployment, LEFT_AFTER, observed)
        await add_target(deployment, JOINED_AFTER, observed)
        await trio.sleep(OBSERVED_SECONDS)
        observed.ended_at = trio.current_time()
        for number in range(context.count):
            await use_all_targets(deployment, number)

    async def actions(deployment: Deployment) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(context.count):
                nursery.start_soon(send_steadily, deployment, number)
                nursery.start_soon(check_routes, deployment, number, observed)
            await play(deployment)
            nursery.cancel_scope.cancel()

    run_deployment(context, actions, entries=context.count)


@then("no request starts on a target later than {seconds:d} s after it left")
def step_no_start(context: Context, seconds: int) -> None:
    observed: Observations = context.observed
    late = [
        (run.target_id, request_id, round(run.started_at - observed.left_at[run.target_id], 2))
        for request_id, runs in context.deployment.ledger.runs.items()
        for run in runs
        if run.target_id in observed.left_at
        and run.started_at > observed.left_at[run.target_id] + seconds
    ]
    assert not late, (len(late), late[:3], late[-3:])


@then(
    "each entry process uses each target that joined, {seconds:d} s after its row was written last"
)
def step_joined(context: Context, seconds: int) -> None:
    observed: Observations = context.observed
    users = defaultdict(set)
    for request_id, runs in context.deployment.ledger.runs.items():
        for run in runs:
            joined_at = observed.joined_at.get(run.target_id)
            if joined_at is not None and run.started_at > joined_at + seconds:
                users[run.target_id].add(request_id.partition("-")[0])
    instances = {f"from{number}" for number in range(context.count)}
    missing = {key: sorted(instances - users[key]) for key in observed.joined_at}
    assert not any(missing.values()), missing


@then(
    "each entry process refuses the withdrawn key and serves the new route {seconds:d} s after the "
    "change"
)
def step_routes(context: Context, seconds: int) -> None:
    observed: Observations = context.observed
    since = observed.configured_at + seconds
    for number in range(context.count):
        keys = [status for at, status in observed.key_statuses[number] if at >= since]
        routes = [status for at, status in observed.route_statuses[number] if at >= since]
        assert set(keys) == {401}, (number, keys)
        assert set(routes) == {200}, (number, routes)
