"""Steps for the refusals of peers, which reach the sender through HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.answering_target import Answer, AnsweringTarget, served
from support.forwarding import (
    PlacementFixture,
    RecordingSink,
    ScriptedTargets,
    make_forwarded,
    make_forwarder,
    make_peer,
    make_route,
)
from wasabiwell_entry.coordination.reachability import TargetReachability
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.forwarding import ForwardedRequest, NotRun
from wasabiwell_entry.state.outcomes import Failed, Refused
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_platform.caller import relayed_error_response, relayed_request
from wasabiwell_platform.peers import HttpPeers

ROUTES = {
    "lookup": make_route(RouteKind.IDEMPOTENT, "call"),
    "booking": make_route(RouteKind.AT_MOST_ONCE, "call"),
}
SLACK = {"a retry budget": 100.0, "no retry budget": 0.0}
TARGETS = {"targets refuse": 9, "targets are not there": 0}


@dataclass(slots=True)
class RefusingPeer:
    """An instance whose targets refuse all requests, behind its control address."""

    target_count: int
    slack: float
    targets: ScriptedTargets = field(
        default_factory=lambda: ScriptedTargets([[NotRun("status 503")]])
    )

    async def answer(self, request: ForwardedRequest) -> Answer:
        """Return what it sends to an instance that relays a request to it."""
        engines = PlacementFixture(self.target_count, SystemClock())
        forwarder = make_forwarder(engines, self.targets, slack=self.slack)
        outcome = await forwarder.forward(relayed_request(request, "peer"), RecordingSink())
        assert isinstance(outcome, Refused | Failed), outcome
        status, headers = relayed_error_response(outcome, request.request_id)
        lines = [b"HTTP/1.1 %d Refused" % status, *(b"%s: %s" % header for header in headers)]
        return Answer(b"\r\n".join(lines) + b"\r\n\r\n")


@dataclass(slots=True)
class RefusedCall:
    """Outcome of a relayed request, and how many peers and targets got it."""

    outcome: object
    peers: int
    arrivals: int
    heads: list[bytes]


@given("an instance that reaches no target, with {budget}")
def step_sender(context: Context, budget: str) -> None:
    context.sender_slack = SLACK[budget]


@given("{count:d} peers, whose {refusal}, with {budget}")
def step_peers(context: Context, count: int, refusal: str, budget: str) -> None:
    context.peers = [RefusingPeer(TARGETS[refusal], SLACK[budget]) for _ in range(count)]


@asynccontextmanager
async def served_peers(
    peers: list[RefusingPeer], request: ForwardedRequest
) -> AsyncIterator[tuple[list[str], list[AnsweringTarget]]]:
    """Serve each peer and return their control addresses and servers."""
    servers = [AnsweringTarget([await peer.answer(request)]) for peer in peers]
    async with served(servers[0]) as first, served(servers[1]) as second:
        yield [first, second], servers


@when("a {kind} is sent to the instance")
def step_send(context: Context, kind: str) -> None:
    async def run() -> RefusedCall:
        engines = PlacementFixture(9, SystemClock())
        reachability = TargetReachability(
            engines.health.targets, lambda: None, lambda since: None, SystemClock()
        )
        for target in engines.targets[:3]:
            reachability.record_connection(target, False)
        now = timedelta(seconds=trio.current_time())
        request = replace(
            make_forwarded(ROUTES[kind], now=now),
            headers=((b"Host", b"a.example"),),
            routes_version=7,
        )
        async with served_peers(context.peers, request) as (addresses, servers):
            nodes = [
                make_peer(number, control_address=address)
                for number, address in enumerate(addresses, 1)
            ]
            forwarder = make_forwarder(
                engines,
                ScriptedTargets([]),
                slack=context.sender_slack,
                peers=HttpPeers("127.0.0.1:1"),
                peer_nodes=nodes,
                reachability=reachability,
            )
            outcome = await forwarder.forward(request, RecordingSink())
        asked = [number for number, server in enumerate(servers) if server.requests]
        arrivals = sum(len(context.peers[number].targets.sent) for number in asked)
        heads = [head for server in servers for head in server.requests]
        return RefusedCall(outcome, len(asked), arrivals, heads)

    context.call = trio.run(run)


@then("{peers:d} peers were asked, and {arrivals:d} targets got the request")
def step_asked(context: Context, peers: int, arrivals: int) -> None:
    assert (context.call.peers, context.call.arrivals) == (peers, arrivals), context.call


@then("each peer was told the version of the routes that accepted the request")
def step_told_version(context: Context) -> None:
    heads = context.call.heads
    assert heads
    assert all(b"Wasabiwell-Routes-Version: 7\r\n" in head for head in heads), heads


@then("the caller is told that it has not run")
def step_not_run(context: Context) -> None:
    assert isinstance(context.call.outcome, Refused), context.call.outcome
