"""Steps for the exchange between entry instances."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

import msgspec
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.exchange import (
    LISTING,
    OWN,
    FakeDirectory,
    make_own_state,
    make_state,
    open_exchange,
    receive_state,
    run_for,
)
from support.forwarding import PROFILE, make_forwarded, make_route, make_target
from wasabiwell_entry.coordination.exchange.const import (
    LARGE_FLEET_INSTANCES,
    MIN_ZONE_TARGETS,
)
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.protocol.notices import (
    UnreadableNoticeError,
    decode_notice,
    encode_notice,
)
from wasabiwell_entry.state.clock import ManualClock, SystemClock
from wasabiwell_entry.state.crashes import Crash, PartCause, RequestCause
from wasabiwell_entry.state.exchange import (
    AttemptVerdict,
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PeerLoss,
    PlacementNotice,
    RequestEnded,
    RequestPlaced,
    RetryBudgetUse,
    RetryNotice,
    RoutesConfirmed,
    SlowdownNotice,
    StaleIncarnation,
    StoreUnreachable,
    Suspicion,
    Suspicions,
    TargetDepartures,
    WatchRequest,
)
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.targets import TargetProcess


@given('an instance with a reachable peer "{address}"')
def step_reachable_peer(context: Context, address: str) -> None:
    if "exchange" not in context:
        open_exchange(context, FakeDirectory(), ManualClock())
        context.peer = address
    receive_state(context, address)


@given('an instance that has learned {known}, with a reachable peer "{address}"')
def step_learned(context: Context, known: str, address: str) -> None:
    clock = ManualClock()
    own_state = make_own_state(
        clock,
        routes_version=lambda: int("the routes" in known),
        has_listing=lambda: "the list of targets" in known,
    )
    open_exchange(context, FakeDirectory(), clock, own_state)
    receive_state(context, address)


@given('an instance whose store is unavailable for {seconds:d} seconds and then lists "{address}"')
def step_store_unavailable(context: Context, seconds: int, address: str) -> None:
    context.directory = FakeDirectory(seconds, (address,))
    open_exchange(context, context.directory, SystemClock())


@when('the peer reports that it placed "{request_id}" on engine "{target_id}"')
def step_placed(context: Context, request_id: str, target_id: str) -> None:
    notice = PlacementNotice(request_id, "s", target_id, (), 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.receive(context.peer, RequestPlaced(notice))


@when('the peer reports that "{request_id}" ended with verdict "{verdict}"')
def step_request_ended(context: Context, request_id: str, verdict: str) -> None:
    ending = RequestEnded(request_id, "e00", AttemptVerdict(verdict))
    context.exchange.receive(context.peer, ending)


@when('the peer reports that helper "{target_id}" is lost')
def step_helper_loss(context: Context, target_id: str) -> None:
    context.exchange.receive(context.peer, HelperLoss(target_id))


@then('helper "{target_id}" is recorded as lost')
def step_helper_recorded(context: Context, target_id: str) -> None:
    assert context.lost_helpers == [target_id]


@when("the peer's next state contains no placement")
def step_empty_state(context: Context) -> None:
    receive_state(context, context.peer)


@given('an instance that {reaches} targets, with a reachable peer "{address}"')
def step_reaching(context: Context, reaches: str, address: str) -> None:
    clock = ManualClock()
    own_state = make_own_state(clock, reaches_targets=lambda: reaches == "reaches")
    open_exchange(context, FakeDirectory(), clock, own_state)
    context.peer = address
    receive_state(context, address)


@when("the peer reports that it {reaches} targets")
def step_peer_reaching(context: Context, reaches: str) -> None:
    receive_state(context, context.peer, reaches_targets=reaches == "reaches")


@when("the peer reports that it is leaving")
def step_leaving(context: Context) -> None:
    receive_state(context, context.peer, serving=False, leaving=True)


@when("an older state of the peer arrives")
def step_outdated_state(context: Context) -> None:
    context.exchange.receive(context.peer, make_state(context.peer, 1))


@given("a running instance with an available store")
def step_running(context: Context) -> None:
    context.directory = FakeDirectory(0.0, ("10.0.0.9:7",))
    open_exchange(context, context.directory, SystemClock())


@given(
    "a running instance with an available store that returns from a copy after {seconds:d} seconds"
)
def step_running_return(context: Context, seconds: int) -> None:
    step_running(context)
    register = context.directory.register
    directory = context.directory

    async def register_and_lose(address: str) -> StoreUnavailable | None:
        outcome = await register(address)
        if len(directory.registered) == 1:
            await trio.sleep(seconds)
            context.exchange.record_store_return()
        return outcome

    directory.register = register_and_lose


@then("it registered its own address twice, and counted one row as written again")
def step_registered_again(context: Context) -> None:
    assert context.directory.registered == [OWN, OWN], context.directory.registered
    assert context.rewritten == [("entries", OWN)], context.rewritten


@when('only peer "{address}" sends states for {seconds:d} seconds of a run')
def step_run_with_peer(context: Context, address: str, seconds: int) -> None:
    run_for(context, seconds, [address])


@when("{count:d} peers with lower addresses send states for {seconds:d} seconds of a run")
def step_run_with_lower_peers(context: Context, count: int, seconds: int) -> None:
    run_for(context, seconds, [f"10.0.0.0:{port}" for port in range(1, count + 1)])


@when("{count:d} peers send states for {seconds:d} seconds of a run")
def step_run_with_peers(context: Context, count: int, seconds: int) -> None:
    open_exchange(context, FakeDirectory(), SystemClock())
    context.port.now = trio.current_time
    run_for(context, seconds, [f"10.0.2.{index}:7" for index in range(count)])


@then("the states to {count:d} peers were sent at the same times, the same state to all of them")
def step_same_times(context: Context, count: int) -> None:
    after_start = [
        (round(moment, 3), number) for moment, number in context.port.states if moment > 1.5
    ]
    groups = Counter(after_start)
    assert len(groups) >= 4, groups
    assert set(groups.values()) == {count}, groups


@then("it registered its own address once and looked up no others")
def step_registered_once(context: Context) -> None:
    assert context.directory.registered == [OWN], context.directory.registered
    assert context.directory.lookups == 0


@given("an instance with {count:d} peers in zones z and y, and {targets:d} engines in each")
def step_zones(context: Context, count: int, targets: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    engines = [replace(make_target(index), zone="zy"[index % 2]) for index in range(2 * targets)]
    context.works.update([(engine, PROFILE) for engine in engines], 0.0)
    for index in range(count):
        receive_state(context, f"10.0.1.{index}:7", zone="zy"[index % 2])
    context.port.sent.clear()


@when('it reports a request on engine "{target_id}" from its start to its end')
def step_reports_request(context: Context, target_id: str) -> None:
    report_request(context, target_id, ())


@when('it reports a request split over engines "{lead}" and "{helper}" from its start to its end')
def step_reports_split(context: Context, lead: str, helper: str) -> None:
    report_request(context, lead, (helper,))


def report_request(context: Context, lead: str, helpers: tuple[str, ...]) -> None:
    service = make_target(0).service
    notice = PlacementNotice("r1", service, lead, helpers, 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.broadcast(RequestPlaced(notice))
    context.exchange.broadcast(DecodeStarted("r1"))
    context.exchange.broadcast(RequestEnded("r1", lead, AttemptVerdict.FAILED))


@when(
    'it reports a call on target "{target_id}" that ends with verdict "{verdict}" after '
    "{milliseconds:d} ms"
)
def step_reports_call(context: Context, target_id: str, verdict: str, milliseconds: int) -> None:
    notice = PlacementNotice("r1", "plain", target_id, (), 5, 300, 200, 0, 0, 0)
    context.exchange.broadcast(RequestPlaced(notice))
    context.clock.advance(timedelta(milliseconds=milliseconds))
    context.exchange._sweep()  # the instance calls it periodically
    context.exchange.broadcast(RequestEnded("r1", target_id, AttemptVerdict(verdict)))


@then("{count:d} peers were sent its end, and none its placement")
def step_only_end_sent(context: Context, count: int) -> None:
    kinds = Counter(type(notice) for _, notice in context.port.sent)
    assert (kinds[RequestEnded], kinds[RequestPlaced]) == (count, 0), kinds


@then("its placement was sent with an age of {age:d} ms and due in {due:d} ms")
def step_placement_age(context: Context, age: int, due: int) -> None:
    placements = {
        notice.notice for _, notice in context.port.sent if isinstance(notice, RequestPlaced)
    }
    assert [(item.age_ms, item.due_in_ms) for item in placements] == [(age, due)], placements


@then("its placement and end were sent to {count:d} peers, and its decode start to {first:d}")
def step_recipients(context: Context, count: int, first: int) -> None:
    kinds = (RequestPlaced, DecodeStarted, RequestEnded)
    recipients = {
        kind: [address for address, notice in context.port.sent if isinstance(notice, kind)]
        for kind in kinds
    }
    sent = {kind: len(addresses) for kind, addresses in recipients.items()}
    assert sent == {RequestPlaced: count, DecodeStarted: first, RequestEnded: count}, sent


@then("the numbers in these scenarios are on both sides of the thresholds")
def step_thresholds(context: Context) -> None:
    assert 20 < LARGE_FLEET_INSTANCES <= 40
    assert 5 < MIN_ZONE_TARGETS <= 12


@then("it registered nothing")
def step_not_registered(context: Context) -> None:
    assert not context.directory.registered, context.directory.registered


@when('only peer "{address}" sends states for {seconds:d} seconds')
def step_only_peer(context: Context, address: str, seconds: int) -> None:
    for _ in range(seconds * 4):
        advance(context)
        receive_state(context, address)
        context.exchange._sweep()  # the instance calls it periodically


@when("no peer sends states for {seconds:d} seconds")
def step_no_peer(context: Context, seconds: int) -> None:
    if isinstance(context.clock, SystemClock):
        run_for(context, seconds, [])
        return
    for _ in range(seconds * 4):
        advance(context)
        context.exchange._sweep()


def advance(context: Context) -> None:
    context.clock.advance(timedelta(milliseconds=250))


@then('engine "{target_id}" has {count:d} request')
@then('engine "{target_id}" has {count:d} requests')
def step_requests(context: Context, target_id: str, count: int) -> None:
    assert len(context.works.get(target_id).requests) == count


@then('the verdict "{verdict}" on engine "{target_id}" was recorded')
def step_verdict(context: Context, verdict: str, target_id: str) -> None:
    assert [(item.target_id, item.verdict.value) for item in context.endings] == [
        (target_id, verdict)
    ]


@then('callers get the addresses "{names}"')
def step_caller_addresses(context: Context, names: str) -> None:
    addresses = [member.caller_address for member in context.exchange.alive()]
    assert sorted(addresses) == sorted(names.split()), addresses


@given(
    "an instance with {count:d} peers that learns the list of targets {seconds:g} seconds after "
    "its start"
)
def step_late_listing(context: Context, count: int, seconds: float) -> None:
    clock = SystemClock()
    own_state = make_own_state(clock, has_listing=lambda: trio.current_time() >= seconds)
    open_exchange(context, FakeDirectory(), clock, own_state)
    context.peer_addresses = [f"10.1.0.{number}:7" for number in range(count)]


@when("it runs for {seconds:d} seconds")
def step_run(context: Context, seconds: int) -> None:
    context.port.now = trio.current_time
    run_for(context, seconds, context.peer_addresses)


@then("all peers were told between {low:g} and {high:g} seconds that it serves, and none before")
def step_told_serving(context: Context, low: float, high: float) -> None:
    sent = zip(context.port.sent, context.port.times, strict=True)
    told = [
        (address, time)
        for (address, notice), time in sent
        if isinstance(notice, NodeState) and notice.serving
    ]
    assert min(time for _, time in told) >= low - 0.01, told[:3]
    in_time = {address for address, time in told if time <= high}
    assert in_time == set(context.peer_addresses), sorted(context.peer_addresses)[:3]


@when("the peer advertises a capacity of {capacity:d}")
def step_capacity(context: Context, capacity: int) -> None:
    receive_state(context, context.peer, capacity=capacity)


@when("the peer sends a state without the fields after its features")
def step_older_state(context: Context) -> None:
    context.sequence += 1
    datagram = encode_notice(make_state(context.peer, context.sequence))
    fields = msgspec.msgpack.decode(datagram[1:])
    shorter = fields[: NodeState.__struct_fields__.index("features") + 1]
    older = decode_notice(datagram[:1] + msgspec.msgpack.encode(shorter))
    context.exchange.receive(context.peer, older)


@then("the peer's address has a capacity of {capacity:d}")
def step_peer_capacity(context: Context, capacity: int) -> None:
    capacities = {member.node_id: member.capacity for member in context.exchange.alive()}
    assert capacities[context.peer] == capacity, capacities


@then('peer "{address}" was sent the address "{other}"')
def step_address_sent(context: Context, address: str, other: str) -> None:
    lists = [
        notice.addresses
        for to, notice in context.port.sent
        if to == address and isinstance(notice, NodeAddresses)
    ]
    assert any(other in addresses for addresses in lists), lists


@then('states were sent to "{address}"')
def step_states(context: Context, address: str) -> None:
    kinds = [type(notice) for to, notice in context.port.sent if to == address]
    assert NodeState in kinds


@given("a target that has announced its departure to it")
def step_departed(context: Context) -> None:
    context.departures.append(NOTICES["TargetDepartures"])


@then("it is told of the departure before the listing")
def step_told_departure(context: Context) -> None:
    notices = [notice for address, notice in context.port.sent if address == context.peer]
    assert notices.index(NOTICES["TargetDepartures"]) < notices.index(LISTING), notices


@when("the peer reports that it knows no target")
def step_knows_no_target(context: Context) -> None:
    receive_state(context, context.peer, knows_targets=False)


@then("it is sent the full listing")
def step_listing_sent(context: Context) -> None:
    assert (context.peer, NOTICES["ListingNotice"]) in context.port.sent


@then("it is not sent the listing")
def step_listing_not_sent(context: Context) -> None:
    assert not [notice for _, notice in context.port.sent if isinstance(notice, ListingNotice)]


@then('routes version {version:d} was announced for "{address}"')
def step_announced(context: Context, version: int, address: str) -> None:
    assert (address, version) in context.announced, context.announced


@given('an instance with a reachable peer "{address}" and a suspected request')
def step_known_suspicion(context: Context, address: str) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.peer = address
    context.suspicions = [NOTICES["Suspicions"]]
    receive_state(context, address)


@when("the peer sends its first state")
def step_first_state(context: Context) -> None:
    assert context.sequence == 1


@when("the peer restarts")
def step_restarts(context: Context) -> None:
    receive_state(context, context.peer, incarnation=2)


@when("the peer sends a message after {seconds:d} seconds of silence")
def step_message_after_silence(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))
    context.exchange.receive(context.peer, DecodeStarted("r"))
    receive_state(context, context.peer)


@when("the peer sends its next state")
def step_next_state(context: Context) -> None:
    receive_state(context, context.peer)


@when(
    'it reports a suspected request, and only peer "{address}" sends states for {seconds:d} '
    "seconds of a run"
)
def step_reports_suspect(context: Context, address: str, seconds: int) -> None:
    context.peer = address
    context.suspicion_times = []
    crashes = CrashCounts(context.exchange.broadcast, SystemClock())
    context.recent_suspicions = crashes.recent_suspicions
    send = context.port.send

    def record_time(addresses: Iterable[str], notice: Notice) -> None:
        addresses = list(addresses)
        if isinstance(notice, Suspicions) and address in addresses:
            context.suspicion_times.append(trio.current_time())
        send(addresses, notice)

    context.port.send = record_time

    async def crash() -> None:
        await trio.sleep(0.6)
        crashes.record_crash(make_forwarded(make_route(RouteKind.STREAM)), "e1@1")

    run_for(context, seconds, [address], crash)


@then("the peer was sent the suspected request {times:d} times")
def step_suspicion_sent(context: Context, times: int) -> None:
    recipients = [to for to, notice in context.port.sent if notice == NOTICES["Suspicions"]]
    assert recipients == [context.peer] * times, recipients


@then(
    "the peer was sent the suspected request {least:d} to {most:d} times, all of them in the "
    "first {seconds:d} seconds"
)
def step_suspicion_repeated(context: Context, least: int, most: int, seconds: int) -> None:
    times = context.suspicion_times
    assert least <= len(times) <= most, times
    assert max(times) < seconds, times


NOTICES: dict[str, Notice] = {
    "RequestPlaced": RequestPlaced(
        PlacementNotice("r", "s", "e1", ("e2", "e3"), 1, 2, 3, 4, 5, 6, True, (7, 0))
    ),
    "DecodeStarted": DecodeStarted("r"),
    "SlowdownNotice": SlowdownNotice("e1", 2.5),
    "RequestEnded": RequestEnded("r", "e1", AttemptVerdict.LOST),
    "Suspicions": Suspicions(
        (
            Suspicion(RequestCause("f"), (Crash("e1@1", "f"),)),
            Suspicion(PartCause("s", "aa"), (Crash("e1@1", "f"),), (Crash("e2@1", "f"),), True),
        )
    ),
    "ListingNotice": LISTING,
    "TargetDepartures": TargetDepartures((TargetProcess("i-1", 7, "10.0.9.1:80"),)),
    "RoutesConfirmed": RoutesConfirmed("10.0.0.2:9", 7),
    "StoreUnreachable": StoreUnreachable(),
    "StaleIncarnation": StaleIncarnation(7),
    "NodeState": make_state(
        "10.0.0.2:7", 4, uses=(RetryBudgetUse("s", 1, 2),), placed=("r1", "r2")
    ),
    "NodeAddresses": NodeAddresses(("10.0.0.2:7",)),
    "HelperLoss": HelperLoss("e01"),
    "PeerLoss": PeerLoss("10.0.0.2:7", 1, 4),
    "RetryNotice": RetryNotice("s"),
    "WatchRequest": WatchRequest(),
}


@then('a message of kind "{kind}" is the same after encoding and decoding')
def step_round_trip(context: Context, kind: str) -> None:
    assert decode_notice(encode_notice(NOTICES[kind])) == NOTICES[kind]


@then("{count:d} random datagrams are either rejected or decoded")
def step_random(context: Context, count: int) -> None:
    source = random.Random(7)
    valid = [encode_notice(notice) for notice in NOTICES.values()]
    for _ in range(count):
        data = bytearray(source.choice(valid))
        for _ in range(source.randrange(1, 6)):
            data[source.randrange(len(data))] = source.randrange(256)
        try:
            decode_notice(bytes(data[: source.randrange(len(data) + 1)]))
        except UnreadableNoticeError:
            continue
