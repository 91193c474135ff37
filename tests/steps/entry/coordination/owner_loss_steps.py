"""Steps for the crash of an engine's owner, with real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import then, when
from behave.runner import Context
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.members import Member
from wasabiwell_standins.caller import ChatResult, chat, make_messages
from wasabiwell_standins.fleet import Fleet, Process, request

CALLERS = 8
MAX_TOKENS = 24
PROMPTS = (1_000, 2_000, 5_000, 60_000)
UNLISTED_AFTER_SECONDS = 5
"""The killed owner stays on the delayed instance list for longer than a credit's lifetime."""


def owner_process(fleet: Fleet, engine: str) -> Process:
    """Return the entry instance that owns an engine."""
    zone = next(item.zone for item in fleet.processes_with_role("engine") if item.name == engine)
    members = [
        Member(item.name, 1, "", zone, "", "") for item in fleet.entries if item.zone == zone
    ]
    owner = owner_of(f"engine/{engine}", members)
    assert isinstance(owner, Member), owner
    return next(item for item in fleet.entries if item.name == owner.node_id)


def send_until(fleet: Fleet, address: str, caller: int, end: float) -> list[ChatResult]:
    """Send requests sequentially until the time `end`."""
    keys = list(fleet.deployment.organisations.values())
    results: list[ChatResult] = []
    while time.monotonic() < end:
        tokens = PROMPTS[(caller + len(results)) % len(PROMPTS)]
        messages = make_messages(tokens, f"caller {caller} request {len(results)}")
        key = keys[caller % len(keys)]
        service = fleet.deployment.engine_service
        results.append(chat(address, key, service, messages, MAX_TOKENS))
    return results


def used_tokens(engine: Process) -> int:
    """Return the number of tokens that an engine has in use."""
    reply = request("GET", engine.address, "/control")
    return int(msgspec.json.decode(reply.content)["used_tokens"])


@when("a caller abandons a prompt of {tokens:d} tokens after {seconds:d} second")
def step_abandon(context: Context, tokens: int, seconds: int) -> None:
    fleet = context.fleet
    key = next(iter(fleet.deployment.organisations.values()))
    messages = make_messages(tokens, "given up")
    service = fleet.deployment.engine_service
    result = chat(fleet.entries[0].address, key, service, messages, 512, timeout_s=seconds)
    assert "Timeout" in result.error, result


@when(
    'callers send requests for {seconds:d} seconds and the owner of "{engine}" is killed after '
    "{delay:d}"
)
def step_kill(context: Context, seconds: int, engine: str, delay: int) -> None:
    fleet = context.fleet
    owner = owner_process(fleet, engine)
    addresses = [item.address for item in fleet.entries if item is not owner]
    end = time.monotonic() + seconds
    with ThreadPoolExecutor(CALLERS) as pool:
        futures = [
            pool.submit(send_until, fleet, addresses[caller % len(addresses)], caller, end)
            for caller in range(CALLERS)
        ]
        time.sleep(delay)
        owner.kill()
        time.sleep(UNLISTED_AFTER_SECONDS)
        fleet.deregister_instance(owner)
        context.results = [result for future in futures for result in future.result()]


@then("at least {count:d} requests were sent and each got its own complete response")
def step_complete(context: Context, count: int) -> None:
    errors = [result.error for result in context.results if result.error]
    assert not errors, errors
    assert len(context.results) >= count, len(context.results)


@then("every engine ends with no memory in use within {seconds:d} seconds")
def step_no_memory(context: Context, seconds: int) -> None:
    engines = context.fleet.processes_with_role("engine")
    context.fleet.wait_until(
        lambda: not any(used_tokens(engine) for engine in engines), "no memory in use", seconds
    )
