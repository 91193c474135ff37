"""Steps for instances that are cut off from all targets, with real processes."""

import json
import signal
from collections.abc import Awaitable, Callable
from functools import partial

import httpcore
import trio
from behave import given, then, when
from behave.runner import Context
from support.deployments import run_deployment
from wasabiwell_standins.users_platform.caller import CallerRequest, Reply
from wasabiwell_standins.users_platform.cut_entry import HANG, REFUSE, RESET
from wasabiwell_standins.users_platform.deployment import HOST, KEY, Deployment, EntryProcess

KINDS = {"hang": HANG, "are reset": RESET, "live on and new ones refused": REFUSE}
ROUTES = ("short", "book", "look", "book")
DETECTION_SECONDS = 1.0
CUT_SECONDS = 3.0
RECOVERY_SECONDS = 1.5
INTERVAL_SECONDS = 0.05
HEADER_BYTES = 16_384
"""Limit of the heads of callers' requests in the first configuration."""
STATE_SECONDS = 2.0
"""Time after which all instances have heard the states of the others."""


@given("{count:d} entry processes that can be cut off from all targets")
def step_cuttable(context: Context, count: int) -> None:
    context.count = count


async def make_cuttable(deployment: Deployment) -> None:
    """Let all entry processes of a deployment be cut off."""
    for entry in deployment.entries:
        entry.cuttable = True


def run(context: Context, actions: Callable[[Deployment], Awaitable[None]]) -> None:
    async def after_start(deployment: Deployment) -> None:
        await trio.sleep(STATE_SECONDS)
        await actions(deployment)

    run_deployment(context, after_start, context.count, make_cuttable)


async def send_one(
    context: Context, deployment: Deployment, entry: EntryProcess, request: CallerRequest
) -> Reply:
    """Send a request to one instance, without a retry, and keep the reply."""
    caller = deployment.keeping_caller(entry.zone, True, entry.address("frontend"))
    reply = await caller.send(request, 0)
    await caller.close()
    context.replies.append(reply)
    return reply


async def send_to(
    context: Context,
    deployment: Deployment,
    entry: EntryProcess,
    seconds: float,
    routes: tuple[str, ...] = ROUTES,
) -> None:
    """Send requests of several kinds to one instance."""
    async with trio.open_nursery() as nursery:
        for number in range(round(seconds / INTERVAL_SECONDS)):
            request = deployment.request(routes[number % len(routes)])
            nursery.start_soon(send_one, context, deployment, entry, request)
            await trio.sleep(INTERVAL_SECONDS)


async def directory_of(entry: EntryProcess) -> list[str]:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{entry.address('directory')}/")
    return list(json.loads(response.content)["addresses"])


async def suspects_of(entry: EntryProcess) -> list[object]:
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{entry.address('control')}/admin/v1/quarantine"
        response = await pool.request("GET", url)
    return list(json.loads(response.content)["suspects"])


@when("the connections of {count:d} of them to all targets {how} while callers send requests")
def step_cut(context: Context, count: int, how: str) -> None:
    async def actions(deployment: Deployment) -> None:
        cut = deployment.entries[:count]
        context.cut = cut
        async with trio.open_nursery() as nursery:
            for entry in cut:
                entry.cut(KINDS[how])
                nursery.start_soon(send_to, context, deployment, entry, DETECTION_SECONDS)
        context.replies.clear()
        async with trio.open_nursery() as nursery:
            for entry in deployment.entries:
                nursery.start_soon(send_to, context, deployment, entry, CUT_SECONDS)
        context.addresses = await directory_of(deployment.entries[-1])
        context.suspects = [await suspects_of(entry) for entry in deployment.entries]
        for entry in cut:
            entry.cut("")
        await trio.sleep(RECOVERY_SECONDS)
        context.relayed_before = [entry.log.read_text().count('"relayed"') for entry in cut]
        context.after = []
        for entry in cut:
            request = deployment.request("look")
            context.after.append(await send_one(context, deployment, entry, request))
        context.relayed_after = [entry.log.read_text().count('"relayed"') for entry in cut]

    run(context, actions)


@when("the connections of 1 of them to all targets {how} while callers stream")
def step_cut_streams(context: Context, how: str) -> None:
    async def actions(deployment: Deployment) -> None:
        entry = deployment.entries[0]
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                request = deployment.request("short", events=25)
                nursery.start_soon(send_one, context, deployment, entry, request)
            await trio.sleep(0.5)
            entry.cut(KINDS[how])
        entry.cut("")

    run(context, actions)


@when("new connections of 1 of them to all targets are refused while slow bookings run")
def step_slow_bookings(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        entry = deployment.entries[0]
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                request = deployment.request("book", work_ms=1_200)
                nursery.start_soon(send_one, context, deployment, entry, request)
            await trio.sleep(0.2)
            entry.cut(REFUSE)
            nursery.start_soon(send_to, context, deployment, entry, 0.2)

    run(context, actions)


@when("a peer of an instance that is cut off is killed while callers send requests")
def step_kill_peer(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        first, peer = deployment.entries[0], deployment.entries[1]
        first.cut(RESET)
        await send_to(context, deployment, first, DETECTION_SECONDS)
        context.replies.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_to, context, deployment, first, CUT_SECONDS)
            await trio.sleep(CUT_SECONDS / 2)
            peer.signal(signal.SIGKILL)

    run(context, actions)


@when("the connections of all of them to all targets are reset")
def step_cut_all(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        for entry in deployment.entries:
            entry.cut(RESET)
        async with trio.open_nursery() as nursery:
            for entry in deployment.entries:
                nursery.start_soon(send_to, context, deployment, entry, DETECTION_SECONDS)
        context.replies.clear()
        for entry in deployment.entries:
            await send_to(context, deployment, entry, DETECTION_SECONDS, ("look",))

    run(context, actions)


@when("a request with an unknown key is relayed to a peer")
def step_unknown_key(context: Context) -> None:
    relay_one(context, "withdrawn", 1)


@when("a request that routes version {version:d} accepted is relayed to a peer")
def step_newer_routes(context: Context, version: int) -> None:
    relay_one(context, KEY, version)


def relay_one(context: Context, key: str, version: int) -> None:
    """Send a lookup to the control address of an instance, as another instance does."""

    async def actions(deployment: Deployment) -> None:
        entry = deployment.entries[0]
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {key}"),
            ("Wasabiwell-Routes-Version", str(version)),
            ("Wasabiwell-Request-Id", "7"),
            ("Wasabiwell-Relayed-By", "127.0.0.1:1"),
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            send = partial(pool.request, "GET", f"http://{entry.address('control')}/look/1")
            context.response = await send(headers=headers)

    run(context, actions)


@when("a request whose head has as many bytes as callers may send is relayed to a peer in parts")
def step_large_head(context: Context) -> None:
    async def actions(deployment: Deployment) -> None:
        host, _, port = deployment.entries[0].address("control").rpartition(":")
        lines = [
            "GET /look/1 HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            "Wasabiwell-Request-Id: 7",
            "X-Filler: ",
        ]
        head = "\r\n".join(lines).encode()
        head += b"x" * (HEADER_BYTES - len(head) - 4)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(head + b"\r\nWasabiwell-Relayed-By: 127.0.0.1:1\r\n")
            await trio.sleep(INTERVAL_SECONDS)
            await stream.send_all(b"\r\n")
            status_line = (await stream.receive_some(4096)).partition(b"\r\n")[0]
        context.response = httpcore.Response(int(status_line.split()[1]))

    run(context, actions)


@then("the peer has run it")
def step_has_run(context: Context) -> None:
    assert context.response.status == 200, context.response


@then("the peer states that it has not run")
def step_not_run(context: Context) -> None:
    headers = {name.lower() for name, _ in context.response.headers}
    assert context.response.status == 503, context.response.status
    assert b"wasabiwell-not-executed" in headers, headers


@then("all requests after the first second were served at the first attempt")
def step_served(context: Context) -> None:
    failed = [
        (reply.request.path, reply.status, round(reply.total_s, 2))
        for reply in context.replies
        if reply.status != 200 or not reply.complete
    ]
    assert context.replies
    assert not failed, f"{len(failed)} of {len(context.replies)}: {failed[:20]}"


@then("all streams and lookups were answered")
def step_retryable_served(context: Context) -> None:
    retryable = [reply for reply in context.replies if reply.request.kind != "unsafe"]
    failed = [(reply.request.path, reply.status) for reply in retryable if reply.status != 200]
    assert retryable
    assert not failed, failed


@then("no cause of crashes is suspected")
def step_no_suspects(context: Context) -> None:
    assert not any(context.suspects), context.suspects


@then("the directory leaves out the instances that are cut off")
def step_directory(context: Context) -> None:
    cut = {entry.address("frontend") for entry in context.cut}
    assert context.addresses
    assert not cut & set(context.addresses), context.addresses


@then("they send requests to targets again after the cut")
def step_direct_again(context: Context) -> None:
    assert all(reply.status == 200 for reply in context.after), context.after
    assert context.relayed_before == context.relayed_after
    assert all(context.relayed_before)


@then("lookups are refused within {seconds:g} seconds")
def step_refused(context: Context, seconds: float) -> None:
    slow = [
        (reply.status, round(reply.total_s, 2))
        for reply in context.replies
        if reply.status != 503 or reply.total_s > seconds
    ]
    assert context.replies
    assert not slow, slow
