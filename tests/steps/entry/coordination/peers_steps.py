"""Steps for requests through peers."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.forwarding import (
    PlacementFixture,
    RecordingSink,
    Script,
    ScriptedPeers,
    ScriptedTargets,
    make_forwarded,
    make_forwarder,
    make_peer,
    make_route,
    response_script,
    stream_script,
)
from wasabiwell_entry.coordination.reachability import TargetReachability
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.exchange import AttemptVerdict, Notice, RequestEnded, Suspicions
from wasabiwell_entry.state.forwarding import (
    AttemptItem,
    ForwardAttempt,
    Forwarded,
    ForwardedRequest,
    NotRun,
    NotSent,
    ResponseInterrupted,
)
from wasabiwell_entry.state.outcomes import Failed, Refused
from wasabiwell_entry.state.probes import ProbeOutcome, TargetDown
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.targets import Target

ROUTES = {
    "lookup": make_route(RouteKind.IDEMPOTENT, "call"),
    "booking": make_route(RouteKind.AT_MOST_ONCE, "call"),
    "stream": make_route(RouteKind.STREAM),
}
REFUSAL: Script = [NotSent("refused by the peer")]
TARGETS_REFUSAL: Script = [NotRun("status 503")]
BREAK: Script = [ResponseInterrupted("cut", target_lost=True)]


class RecordedTargets(ScriptedTargets):
    """Scripted targets that record each connection like the platform's client."""

    reachability: TargetReachability

    def attempt(self, attempt: ForwardAttempt):  # type: ignore[no-untyped-def]
        """Record that no connection was accepted if the script says so."""
        first: AttemptItem | float = self.scripts[0][0]
        self.reachability.record_connection(attempt.target, not isinstance(first, NotSent))
        return super().attempt(attempt)

    async def probe(self, target: Target) -> ProbeOutcome:
        """Return the outcome for a target and record it."""
        outcome = await super().probe(target)
        self.reachability.record_connection(target, not isinstance(outcome, TargetDown))
        return outcome


@given("an instance that is cut off, and {count:d} peers that reach targets")
def step_cut_off(context: Context, count: int) -> None:
    context.failed_before = 3
    context.nodes = [make_peer(number + 1) for number in range(count)]
    context.slack = 100.0


@given("an instance that is not known to be cut off, and {count:d} peers that reach targets")
def step_not_known(context: Context, count: int) -> None:
    step_cut_off(context, count)
    context.failed_before = 0


@given("no retry budget is left")
def step_no_budget(context: Context) -> None:
    context.slack = 0.0


def forward_all(
    context: Context,
    kind: str,
    peer_scripts: list[Script],
    target_scripts: list[Script] | None = None,
    count: int = 1,
    change: Callable[[ForwardedRequest], ForwardedRequest] = lambda request: request,
) -> None:
    """Forward `count` requests at the same time."""
    context.told: list[Notice] = []

    async def run() -> None:
        engines = PlacementFixture(9, SystemClock())
        targets = RecordedTargets(
            target_scripts or [[NotSent("ConnectError")]], probe_outcome=TargetDown(), all_fail=True
        )
        targets.reachability = TargetReachability(
            engines.health.targets, lambda: None, lambda since: None, SystemClock()
        )
        peers = ScriptedPeers(peer_scripts)
        forwarder = make_forwarder(
            engines,
            targets,
            context.told.append,
            context.slack,
            peers=peers,
            peer_nodes=context.nodes,
            reachability=targets.reachability,
        )
        for target in engines.targets[: context.failed_before]:
            targets.reachability.record_connection(target, False)
        now = timedelta(seconds=trio.current_time())
        prompt = 2_000 if kind == "stream" else 0

        async def forward_one(number: int) -> None:
            request = make_forwarded(ROUTES[kind], prompt, f"r{number}", now)
            context.sink = RecordingSink()
            context.outcome = await forwarder.forward(change(request), context.sink)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(forward_one, number)
        context.targets, context.peers = targets, peers

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@when("a {kind} arrives and the peer answers it")
def step_answers(context: Context, kind: str) -> None:
    forward_all(context, kind, [response_script()])


@when("a {kind} arrives and the peer breaks off")
def step_breaks(context: Context, kind: str) -> None:
    forward_all(context, kind, [BREAK, response_script()])


@when("a {kind} arrives and the peer refuses it")
def step_refuses(context: Context, kind: str) -> None:
    forward_all(context, kind, [REFUSAL, response_script()])


@when("a {kind} arrives and a target of the peer refuses it")
def step_targets_refuse(context: Context, kind: str) -> None:
    forward_all(context, kind, [TARGETS_REFUSAL, response_script()])


@when("a lookup arrives and all peers break off")
def step_all_break(context: Context) -> None:
    forward_all(context, "lookup", [BREAK])


@when("a lookup arrives and all peers refuse it")
def step_all_refuse(context: Context) -> None:
    forward_all(context, "lookup", [REFUSAL])


@when("a stream arrives and the peer breaks off after event 3")
def step_stream_breaks(context: Context) -> None:
    first = [*stream_script(1, 3, end=False), *BREAK]
    forward_all(context, "stream", [first, stream_script(4, 6)])


@when("a lookup arrives from a peer")
def step_from_peer(context: Context) -> None:
    forward_all(
        context, "lookup", [response_script()], change=lambda item: replace(item, relayed_by="p")
    )


@when("a lookup arrives and the targets are down")
def step_targets_down(context: Context) -> None:
    forward_all(context, "lookup", [response_script()])


@when("{count:d} streams arrive and their connections are reset")
def step_reset(context: Context, count: int) -> None:
    forward_all(context, "stream", [], [BREAK], count)


@then("no target and {peers:d} peer received the request")
@then("no target and {peers:d} peers received the request")
def step_only_peers(context: Context, peers: int) -> None:
    step_received(context, 0, peers)


@then("{targets:d} targets and {peers:d} peer received the request")
@then("{targets:d} targets and {peers:d} peers received the request")
def step_received(context: Context, targets: int, peers: int) -> None:
    received = len(context.targets.sent), len(context.peers.sent)
    assert received == (targets, peers), received
    assert len({attempt.peer for attempt in context.peers.sent}) == peers


@then("the caller of the relayed request has received status {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.outcome == Forwarded(status), context.outcome
    assert context.sink.status == status
    assert context.sink.finished


@then("the relayed request has failed")
def step_failed(context: Context) -> None:
    assert isinstance(context.outcome, Failed), context.outcome


@then("the relayed request was refused")
def step_refused_outcome(context: Context) -> None:
    assert isinstance(context.outcome, Refused), context.outcome


@then("the second peer was asked to resume after event {event:d}")
def step_resume(context: Context, event: int) -> None:
    assert context.peers.sent[1].resume_after == event
    assert context.sink.data == b"1 2 3 4 5 6 ", context.sink.data


@then("the other instances were told of at most {count:d} lost target and of no crash")
def step_told(context: Context, count: int) -> None:
    lost = {
        notice.target_id
        for notice in context.told
        if isinstance(notice, RequestEnded) and notice.verdict is AttemptVerdict.LOST
    }
    assert len(lost) <= count, lost
    assert not [notice for notice in context.told if isinstance(notice, Suspicions)]
