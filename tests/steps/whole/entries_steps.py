"""Steps for entry instances that fail, pause, start and stop, with real processes."""

import threading
import time
from dataclasses import dataclass, field

import httpcore
import msgspec
from behave import given, then, when
from behave.runner import Context
from wasabiwell_config import OperatorKey, hash_key
from wasabiwell_standins.caller import chat, fetch_addresses, make_messages
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import Fleet, Process, open_fleet, request

TTL_SECONDS = 2.0
OPTIONS = ("--address-ttl-s", str(TTL_SECONDS))
LONG_RESPONSE_TOKENS = 600
LOAD_INTERVAL_SECONDS = 0.05
REQUEST_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(slots=True)
class Load:
    """Callers that use the addresses from `/v1/addresses`; `errors` lists failed requests."""

    fleet: Fleet
    stop: threading.Event = field(default_factory=threading.Event)
    errors: list[str] = field(default_factory=list)
    done: int = 0

    def run(self, number: int) -> None:
        """Send requests until the load stops; fetch addresses again when their TTL expires."""
        deployment = self.fleet.deployment
        key = list(deployment.organisations.values())[number]
        addresses = [entry.address for entry in self.fleet.entries]
        fetched_at = 0.0
        count = 0
        while not self.stop.is_set():
            if time.monotonic() - fetched_at > TTL_SECONDS:
                fetched_at = time.monotonic()
                addresses = self.refresh_addresses(addresses)
            count += 1
            messages = make_messages(1000, f"load {number} {count}")
            address = addresses[count % len(addresses)]
            result = chat(address, key, deployment.engine_service, messages, 24)
            if result.error:
                self.errors.append(f"{address}: {result.error}")
            self.done += 1
            time.sleep(LOAD_INTERVAL_SECONDS)

    def refresh_addresses(self, addresses: list[str]) -> list[str]:
        """Fetch addresses from the first instance that responds; some may have stopped since."""
        for address in [*addresses, *(entry.address for entry in self.fleet.entries)]:
            try:
                return fetch_addresses(address)
            except REQUEST_ERRORS:
                continue
        raise RuntimeError("no entry instance responds")


def entry_process(context: Context, index: int) -> Process:
    """Return the process of the entry instance with this index."""
    return next(item for item in context.fleet.entries if item.name == f"entry-{index}")


def other_entries(context: Context, index: int) -> list[Process]:
    """Return the processes of the other running entry instances."""
    return [
        item
        for item in context.fleet.entries
        if item.name != f"entry-{index}" and item.popen.poll() is None
    ]


def ready(entry: Process) -> bool:
    """Return whether an entry instance reports that it is ready."""
    try:
        return request("GET", entry.address, "/readyz", timeout_seconds=2.0).status == 200
    except REQUEST_ERRORS:
        return False


def peer_views(context: Context, index: int) -> list[str]:
    """Return the member status of an entry instance as seen by each other one."""
    fleet, name = context.fleet, f"entry-{index}"
    return [
        fleet.member_statuses(other).get(name, "absent") for other in other_entries(context, index)
    ]


def start_fleet(context: Context, entries: int, behind_proxies: bool) -> None:
    """Start a separate fleet for the scenario."""
    fleet = context.stack.enter_context(open_fleet(EAVELINE))
    context.fleet = fleet
    fleet.start_platform()
    for index in range(2):
        fleet.start_engine(index)
    for index in range(entries):
        fleet.start_entry(index, *OPTIONS, peer_proxy=behind_proxies)
    fleet.apply_example()
    fleet.wait_ready()
    fleet.wait_until(
        lambda: all(
            list(fleet.member_statuses(entry).values()) == ["alive"] * entries
            for entry in fleet.entries
        ),
        "all members are alive",
    )


@given("{entries:d} entry instances")
def step_entries(context: Context, entries: int) -> None:
    start_fleet(context, entries, behind_proxies=False)


@given("{entries:d} entry instances behind proxies")
def step_entries_behind_proxies(context: Context, entries: int) -> None:
    start_fleet(context, entries, behind_proxies=True)


@when("entry instance {index:d} is killed")
def step_kill(context: Context, index: int) -> None:
    entry_process(context, index).kill()


@when("entry instance {index:d} is paused for {seconds:d} s")
def step_pause(context: Context, index: int, seconds: int) -> None:
    entry_process(context, index).pause()
    time.sleep(seconds)
    context.views_while_paused = peer_views(context, index)
    entry_process(context, index).resume()


@when('the proxy of entry instance {index:d} has the faults "{faults}" for {seconds:d} s')
def step_faults(context: Context, index: int, faults: str, seconds: int) -> None:
    proxy = next(item for item in context.fleet.processes if item.name == f"peer-proxy-{index}")
    context.fleet.control(proxy, **dict.fromkeys(faults.split(), True))
    context.views_during_faults = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.views_during_faults += peer_views(context, index)
        time.sleep(0.2)
    context.fleet.control(proxy, **dict.fromkeys(faults.split(), False))


@when("the store becomes unavailable")
def step_store_outage(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=True)


@when("the store and the instance list become unavailable")
def step_platform_outage(context: Context) -> None:
    context.fleet.control(context.fleet.platform, outage=True, instance_outage=True)


@when("an operator adds a key through entry instance {index:d}")
def step_add_key(context: Context, index: int) -> None:
    entry = entry_process(context, index)
    context.version = context.fleet.status(entry)["configuration_version"] + 1
    operator = OperatorKey(name="night-shift", key_hash=hash_key(f"key-{context.version}"))
    body = {"base_version": context.version - 1, "changes": {"operator/night-shift": operator}}
    headers = {"authorization": f"Bearer {EAVELINE.operator_key}"}
    reply = request("POST", entry.address, "/admin/v1/configuration", body, headers)
    context.reply = msgspec.json.decode(reply.content)
    assert context.reply["outcome"] == "accepted", context.reply


@when("entry instance {index:d} restarts with seeds")
def step_restart_with_seeds(context: Context, index: int) -> None:
    old = entry_process(context, index)
    old.kill()
    seeds = [
        part for item in other_entries(context, index) for part in ("--seed", item.peer_address)
    ]
    context.fleet.replace_entry(old, *OPTIONS, *seeds)


@when("all entry instances restart one after the other under load")
def step_rolling_restart(context: Context) -> None:
    load = Load(context.fleet)
    threads = [threading.Thread(target=load.run, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    try:
        for entry in list(context.fleet.entries):
            entry.terminate()
            assert entry.popen.wait(30) == 0, context.fleet.log(entry.name)
            replacement = context.fleet.replace_entry(entry, *OPTIONS)
            context.fleet.wait_until(
                lambda new=replacement: ready(new), f"{replacement.name} ready"
            )
            context.fleet.wait_until(
                lambda new=replacement: all(
                    context.fleet.member_statuses(other).get(new.name) == "alive"
                    for other in context.fleet.entries
                ),
                f"{replacement.name} is alive everywhere",
            )
    finally:
        load.stop.set()
        for thread in threads:
            thread.join()
    context.load = load


@when("entry instance {index:d} gets SIGTERM during a long response")
def step_sigterm_during_response(context: Context, index: int) -> None:
    entry = entry_process(context, index)
    key = next(iter(EAVELINE.organisations.values()))
    messages = make_messages(1000, "long answer")
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            chat(entry.address, key, EAVELINE.engine_service, messages, LONG_RESPONSE_TOKENS)
        )
    )
    thread.start()
    time.sleep(1.0)
    context.stopped_entry = entry
    with httpcore.ConnectionPool() as pool:
        pool.request("GET", f"http://{entry.address}/healthz")
        entry.terminate()
        context.fleet.wait_until(lambda: not ready(entry), "not ready", 1.0)
        response = pool.request("GET", f"http://{entry.address}/healthz")
    context.last_headers = {name.lower(): value for name, value in response.headers}
    context.addresses_after_stop = []
    time.sleep(3.0)
    context.addresses_after_stop = [
        fetch_addresses(item.address) for item in other_entries(context, index)
    ]
    context.new_response = request("GET", entry.address, "/healthz")
    thread.join()
    context.result = results[0]
    context.exit_code = entry.popen.wait(20)


@when("target {index:d} is marked as leaving {source}")
def step_target_leaving(context: Context, index: int, source: str) -> None:
    target = context.fleet.processes_with_role("engine")[index]
    context.target = target
    match source:
        case "on the instance list":
            context.fleet.mark_leaving(target)
        case "by its load report":
            context.fleet.control(target, leaving=True)
        case "by an operator":
            headers = {"authorization": f"Bearer {EAVELINE.operator_key}"}
            path = f"/admin/v1/targets/{target.name}/drain"
            reply = request("POST", context.fleet.entries[0].address, path, None, headers)
            assert reply.status == 202, reply.content
    time.sleep(3.0)


@then("after 3 s no entry instance sends it new requests")
def step_no_new_requests(context: Context) -> None:
    fleet, name = context.fleet, context.target.name
    before = msgspec.json.decode(request("GET", context.target.address, "/control").content)
    key = next(iter(EAVELINE.organisations.values()))
    for entry in fleet.entries:
        listed = {item["target_id"]: item["leaving"] for item in fleet.status(entry)["targets"]}
        assert listed[name], (entry.name, listed)
        for number in range(6):
            messages = make_messages(1000, f"{entry.name} {number}")
            result = chat(entry.address, key, EAVELINE.engine_service, messages, 4)
            assert not result.error, result.error
    after = msgspec.json.decode(request("GET", context.target.address, "/control").content)
    assert before["finished"] == after["finished"], (before, after)


@then("the response is complete and the process exits by itself")
def step_complete_response(context: Context) -> None:
    assert not context.result.error, context.result.error
    assert context.exit_code == 0


@then("its idle connection was closed, its address was dropped, and new connections were served")
def step_connection_closed(context: Context) -> None:
    assert context.last_headers.get(b"connection") == b"close", context.last_headers
    assert all(context.stopped_entry.address not in found for found in context.addresses_after_stop)
    assert context.new_response.status == 200


@then('every other entry instance sees {index:d} as "{status}" within {seconds:d} s')
def step_peers_see(context: Context, index: int, status: str, seconds: int) -> None:
    context.fleet.wait_until(
        lambda: set(peer_views(context, index)) == {status}, f"{index} is {status}", seconds
    )


@then("no address list contains entry instance {index:d}")
def step_not_listed(context: Context, index: int) -> None:
    address = entry_process(context, index).address
    assert all(
        address not in fetch_addresses(item.address) for item in other_entries(context, index)
    )


@then('during the faults no entry instance saw it as "{status}"')
def step_never_seen(context: Context, status: str) -> None:
    assert context.views_during_faults
    assert status not in context.views_during_faults, context.views_during_faults


@then('for the next {seconds:d} s no entry instance sees {index:d} as "{status}"')
def step_not_seen_next(context: Context, seconds: int, index: int, status: str) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.views_during_faults += peer_views(context, index)
        time.sleep(0.2)
    assert status not in context.views_during_faults, context.views_during_faults


@then('no entry instance saw it as "{status}" at the end of the pause')
def step_not_views_while_paused(context: Context, status: str) -> None:
    assert context.views_while_paused
    assert status not in context.views_while_paused, context.views_while_paused


@then("the version is in force everywhere within {seconds:d} s")
def step_version_active(context: Context, seconds: int) -> None:
    context.fleet.wait_until(
        lambda: all(
            context.fleet.status(entry)["configuration_version"] == context.version
            for entry in context.fleet.entries
        ),
        f"version {context.version} in force",
        seconds,
    )


@then("after {seconds:d} s every entry instance is ready")
def step_all_ready(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    assert all(ready(entry) for entry in context.fleet.entries)


@then("entry instance {index:d} is ready within {seconds:d} s")
def step_ready(context: Context, index: int, seconds: int) -> None:
    entry = entry_process(context, index)
    context.fleet.wait_until(lambda: ready(entry), f"{entry.name} ready", seconds)


@then("entry instance {index:d} is not ready within {seconds:d} s")
def step_not_ready(context: Context, index: int, seconds: int) -> None:
    entry = entry_process(context, index)
    context.fleet.wait_until(lambda: not ready(entry), f"{entry.name} not ready", seconds)


@then("no request failed")
def step_no_failure(context: Context) -> None:
    assert context.load.done > 100, context.load.done
    assert not context.load.errors, (context.load.done, context.load.errors[:5])
