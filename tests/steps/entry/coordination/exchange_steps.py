"""Steps for the exchange between entry instances."""

import itertools
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.exchange import LISTING, OWN, FakeDirectory, hear, open_exchange, pass_time, state_of
from support.forwarding import PROFILE, make_target
from wasabiwell_entry.coordination.exchange.const import CELL_TARGETS, LARGE_FLEET_INSTANCES
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.protocol.notices import (
    UnreadableNoticeError,
    decode_notice,
    encode_notice,
)
from wasabiwell_entry.state.clock import ManualClock, SystemClock
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
    SlowdownNotice,
    Suspicion,
    WatchRequest,
)


@given('an instance that hears peer "{address}"')
def step_hears(context: Context, address: str) -> None:
    if "exchange" not in context:
        open_exchange(context, FakeDirectory(), ManualClock())
        context.peer = address
    hear(context, address)


@given('an instance whose store is away for {seconds:d} seconds and then names "{address}"')
def step_away(context: Context, seconds: int, address: str) -> None:
    context.directory = FakeDirectory(seconds, (address,))
    open_exchange(context, context.directory, SystemClock())


@when('the peer tells that it placed "{request_id}" on engine "{target_id}"')
def step_placed(context: Context, request_id: str, target_id: str) -> None:
    notice = PlacementNotice(request_id, "s", target_id, (), 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.receive(context.peer, RequestPlaced(notice))


@when('the peer tells that "{request_id}" has ended as "{verdict}"')
def step_ended(context: Context, request_id: str, verdict: str) -> None:
    ending = RequestEnded(request_id, "e00", AttemptVerdict(verdict))
    context.exchange.receive(context.peer, ending)


@when('the peer tells that helper "{target_id}" is gone')
def step_helper_loss(context: Context, target_id: str) -> None:
    context.exchange.receive(context.peer, HelperLoss(target_id))


@then('helper "{target_id}" counts as lost here')
def step_helper_lost(context: Context, target_id: str) -> None:
    assert context.lost_helpers == [target_id]


@when("the peer's next state names no placement")
def step_state(context: Context) -> None:
    hear(context, context.peer)


@when("the peer tells that it is leaving")
def step_leaving(context: Context) -> None:
    hear(context, context.peer, serving=False, leaving=True)


@when("an older state of the peer arrives")
def step_older(context: Context) -> None:
    context.exchange.receive(context.peer, state_of(context.peer, 1))


@given("an instance that follows its peers, with the store at hand")
def step_follows(context: Context) -> None:
    context.directory = FakeDirectory(0.0, ("10.0.0.9:7",))
    open_exchange(context, context.directory, SystemClock())


@when('only peer "{address}" is heard for {seconds:d} seconds in a run')
def step_only_run(context: Context, address: str, seconds: int) -> None:
    pass_time(context, seconds, [address])


@when("{count:d} peers with lower addresses are heard for {seconds:d} seconds in a run")
def step_many_run(context: Context, count: int, seconds: int) -> None:
    pass_time(context, seconds, [f"10.0.0.0:{port}" for port in range(1, count + 1)])


@when("{count:d} peers are heard for {seconds:d} seconds in a run")
def step_peers_run(context: Context, count: int, seconds: int) -> None:
    numbers = itertools.count(1)
    open_exchange(context, FakeDirectory(), SystemClock(), lambda: state_of(OWN, next(numbers)))
    context.port.now = trio.current_time
    pass_time(context, seconds, [f"10.0.2.{index}:7" for index in range(count)])


@then("the states to {count:d} peers left at the same moments, the same one to all of them")
def step_same_moments(context: Context, count: int) -> None:
    later = [(round(moment, 3), number) for moment, number in context.port.states if moment > 1.5]
    groups = Counter(later)
    assert len(groups) >= 4, groups
    assert set(groups.values()) == {count}, groups


@then("it entered its own address once and asked for no others")
def step_entered_once(context: Context) -> None:
    assert context.directory.registered == [OWN], context.directory.registered
    assert context.directory.asked == 0


@given("an instance that hears {count:d} others in zones z and y, with {targets:d} engines in each")
def step_zones(context: Context, count: int, targets: int) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    engines = [replace(make_target(index), zone="zy"[index % 2]) for index in range(2 * targets)]
    context.works.update([(engine, PROFILE) for engine in engines], 0.0)
    for index in range(count):
        hear(context, f"10.0.1.{index}:7", zone="zy"[index % 2])
    context.port.sent.clear()


@when('it tells of a request on engine "{target_id}" from its begin to its end')
def step_tells_single(context: Context, target_id: str) -> None:
    tell_request(context, target_id, ())


@when('it tells of a request split over engines "{lead}" and "{helper}" from its begin to its end')
def step_tells_split(context: Context, lead: str, helper: str) -> None:
    tell_request(context, lead, (helper,))


def tell_request(context: Context, lead: str, helpers: tuple[str, ...]) -> None:
    service = make_target(0).service
    notice = PlacementNotice("r1", service, lead, helpers, 5, 300, 200, 1_000, 2_000, 1_000)
    context.exchange.broadcast(RequestPlaced(notice))
    context.exchange.broadcast(DecodeStarted("r1"))
    context.exchange.broadcast(RequestEnded("r1", lead, AttemptVerdict.FAILED))


@when(
    'it tells of a call on target "{target_id}" that ends as "{verdict}" after {milliseconds:d} ms'
)
def step_tells_call(context: Context, target_id: str, verdict: str, milliseconds: int) -> None:
    notice = PlacementNotice("r1", "plain", target_id, (), 5, 300, 200, 0, 0, 0)
    context.exchange.broadcast(RequestPlaced(notice))
    context.clock.advance(timedelta(milliseconds=milliseconds))
    context.exchange._sweep()  # what the instance does at intervals
    context.exchange.broadcast(RequestEnded("r1", target_id, AttemptVerdict(verdict)))


@then("{count:d} peers were told of its end, and none of its placement")
def step_told_end(context: Context, count: int) -> None:
    kinds = Counter(type(notice) for _, notice in context.port.sent)
    assert (kinds[RequestEnded], kinds[RequestPlaced]) == (count, 0), kinds


@then("its placement was told as {age:d} ms old and due in {due:d} ms")
def step_told_age(context: Context, age: int, due: int) -> None:
    told = {notice.notice for _, notice in context.port.sent if isinstance(notice, RequestPlaced)}
    assert [(item.age_ms, item.due_in_ms) for item in told] == [(age, due)], told


@then("its placement and end went to {count:d} peers, and its first event to {first:d}")
def step_reached(context: Context, count: int, first: int) -> None:
    kinds = (RequestPlaced, DecodeStarted, RequestEnded)
    reached = {
        kind: [address for address, notice in context.port.sent if isinstance(notice, kind)]
        for kind in kinds
    }
    sent = {kind: len(addresses) for kind, addresses in reached.items()}
    assert sent == {RequestPlaced: count, DecodeStarted: first, RequestEnded: count}, sent


@then("the numbers in these scenarios are on both sides of the bounds")
def step_bounds(context: Context) -> None:
    assert 20 < LARGE_FLEET_INSTANCES <= 40
    assert 5 < CELL_TARGETS <= 12


@then("it entered nothing")
def step_entered_nothing(context: Context) -> None:
    assert not context.directory.registered, context.directory.registered


@when('only peer "{address}" is heard for {seconds:d} seconds')
def step_only(context: Context, address: str, seconds: int) -> None:
    for _ in range(seconds * 4):
        advance(context)
        hear(context, address)
        context.exchange._sweep()  # what the instance does at intervals


@when("no peer is heard for {seconds:d} seconds")
def step_none(context: Context, seconds: int) -> None:
    if isinstance(context.clock, SystemClock):
        pass_time(context, seconds, [])
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


@then('the verdict "{verdict}" on engine "{target_id}" was taken over')
def step_verdict(context: Context, verdict: str, target_id: str) -> None:
    assert [(item.target_id, item.verdict.value) for item in context.endings] == [
        (target_id, verdict)
    ]


@then('callers are told of "{names}"')
def step_told(context: Context, names: str) -> None:
    told = [member.caller_address for member in context.exchange.alive()]
    assert sorted(told) == sorted(names.split()), told


@then('peer "{address}" was told of "{other}"')
def step_told_peers(context: Context, address: str, other: str) -> None:
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


@when("the peer tells that it knows no target")
def step_ignorant(context: Context) -> None:
    hear(context, context.peer, knows_targets=False)


@then("it is sent the whole list")
def step_sent_list(context: Context) -> None:
    assert (context.peer, NOTICES["ListingNotice"]) in context.port.sent


@then("it is not sent the list")
def step_not_sent_list(context: Context) -> None:
    assert not [notice for _, notice in context.port.sent if isinstance(notice, ListingNotice)]


@then('version {version:d} was announced of "{address}"')
def step_announced(context: Context, version: int, address: str) -> None:
    assert (address, version) in context.announced, context.announced


@given('an instance that hears peer "{address}" and knows of a suspected request')
def step_knows_suspect(context: Context, address: str) -> None:
    open_exchange(context, FakeDirectory(), ManualClock())
    context.peer = address
    context.suspicions = [NOTICES["Suspicion"]]
    hear(context, address)


@when("the peer is heard for the first time")
def step_first_heard(context: Context) -> None:
    assert context.sequence == 1


@when("the peer starts again")
def step_starts_again(context: Context) -> None:
    hear(context, context.peer, incarnation=2)


@when("the peer is heard after {seconds:d} seconds of silence")
def step_heard_again(context: Context, seconds: int) -> None:
    context.clock.advance(timedelta(seconds=seconds))
    context.exchange.receive(context.peer, DecodeStarted("r"))
    hear(context, context.peer)


@when("the peer sends its next state")
def step_next_state(context: Context) -> None:
    hear(context, context.peer)


@when(
    'it tells of a suspected request, with only peer "{address}" heard for {seconds:d} seconds '
    "in a run"
)
def step_tells_suspect(context: Context, address: str, seconds: int) -> None:
    context.peer = address
    context.suspicion_times = []
    crashes = CrashCounts(context.exchange.broadcast, SystemClock())
    context.recent_suspicions = crashes.recent_suspicions
    send = context.port.send

    def keep_time(addresses: Iterable[str], notice: Notice) -> None:
        addresses = list(addresses)
        if isinstance(notice, Suspicion) and address in addresses:
            context.suspicion_times.append(trio.current_time())
        send(addresses, notice)

    context.port.send = keep_time

    async def crash() -> None:
        await trio.sleep(0.6)
        crashes.record_crash("f", "e1@1")

    pass_time(context, seconds, [address], crash)


@then("the peer was told of the suspected request {times:d} times")
def step_told_suspect(context: Context, times: int) -> None:
    told = [to for to, notice in context.port.sent if notice == NOTICES["Suspicion"]]
    assert told == [context.peer] * times, told


@then(
    "the peer was told of the suspected request {least:d} to {most:d} times, all of them in the "
    "first {seconds:d} seconds"
)
def step_told_again(context: Context, least: int, most: int, seconds: int) -> None:
    times = context.suspicion_times
    assert least <= len(times) <= most, times
    assert max(times) < seconds, times


NOTICES: dict[str, Notice] = {
    "Placing": RequestPlaced(
        PlacementNotice("r", "s", "e1", ("e2", "e3"), 1, 2, 3, 4, 5, 6, True, (7, 0))
    ),
    "DecodeStarted": DecodeStarted("r"),
    "SlowdownNotice": SlowdownNotice("e1", 2.5),
    "RequestEnded": RequestEnded("r", "e1", AttemptVerdict.LOST),
    "Suspicion": Suspicion("f", ("e1@1",)),
    "ListingNotice": LISTING,
    "NodeState": state_of("10.0.0.2:7", 4, uses=(RetryBudgetUse("s", 1, 2),), placed=("r1", "r2")),
    "NodeAddresses": NodeAddresses(("10.0.0.2:7",)),
    "HelperLoss": HelperLoss("e01"),
    "PeerLoss": PeerLoss("10.0.0.2:7", 1, 4),
    "RetryNotice": RetryNotice("s"),
    "WatchRequest": WatchRequest(),
}


@then('a message of kind "{kind}" is the same after encoding and decoding')
def step_same(context: Context, kind: str) -> None:
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
