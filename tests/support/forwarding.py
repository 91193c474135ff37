"""Builders and fakes for forwarded requests."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import trio
from wasabiwell_entry.coordination.budget import RetryBudget
from wasabiwell_entry.coordination.budget.coordinator import BudgetLimits
from wasabiwell_entry.coordination.forwarding import Forwarder
from wasabiwell_entry.coordination.forwarding.coordinator import PeerRoutes
from wasabiwell_entry.coordination.health import TargetHealth
from wasabiwell_entry.coordination.placement import Placer
from wasabiwell_entry.coordination.placement.ledger import PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.reachability import (
    ReachabilityProber,
    RelayPeers,
    TargetReachability,
)
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.coordination.stop import GracefulStop
from wasabiwell_entry.coordination.supervision import Supervisor
from wasabiwell_entry.state.clock import Clock, SystemClock
from wasabiwell_entry.state.counters import ForwardCounters
from wasabiwell_entry.state.exchange import AttemptVerdict, NodeState, Notice
from wasabiwell_entry.state.forwarding import (
    AttemptItem,
    ForwardAttempt,
    ForwardedRequest,
    NotRun,
    PeerAttempt,
    PromptSize,
    ResponseChunk,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
)
from wasabiwell_entry.state.nodes import Node
from wasabiwell_entry.state.probes import ProbeOutcome, TargetAlive
from wasabiwell_entry.state.routes import EngineProfile, Route, RouteKind, ServiceShare
from wasabiwell_entry.state.targets import ListedTarget, Target, TargetKind
from wasabiwell_entry.state.work import PlacedRequest, WorkTable

from support.admission import FakeReservations

SERVICE = "ice-advisor"
ZONE = "z0"
PROFILE = EngineProfile(
    slots=8,
    memory_tokens=450_000,
    stride=46,
    step_seconds=0.000925,
    step_seconds_per_sequence=0.00000966,
    step_seconds_per_token=0.00000000254,
    prefill_seconds_per_token=1 / 256_000,
    prefill_seconds_per_pair=0.0000000000917,
    chunk=2048,
    remote_kv_seconds=0.0001,
    usual_prompt_tokens=13_199,
    usual_output_tokens=1_541,
)
"""Engines as the users have them; one takes 2.9 s for the prefill of 210,000 tokens."""

OBJECTIVES = {"short": 0.3, "medium": 1.5, "long": 3.0, "call": 0.1}
EVENT_GAPS = {"short": 0.2, "medium": 0.5, "long": 0.8, "call": 1.0}
"""Latency objectives and allowed event gaps in seconds by the size of prompts; `call` is for calls
of plain services."""


def make_route(kind: RouteKind, size: str = "short", attempts: int = 2, **fields: object) -> Route:
    """Return a route of one service; `size` selects its objective and its event gap."""
    values: dict[str, object] = {
        "name": f"{kind.value}-{size}",
        "host": "a.example",
        "prefix": "/p/",
        "kind": kind,
        "services": (ServiceShare(SERVICE, 1.0),),
        "attempts": attempts,
        "timeout": timedelta(seconds=10),
        "objective": timedelta(seconds=OBJECTIVES[size]),
        "event_gap": timedelta(seconds=EVENT_GAPS[size]),
        "resumable": kind is RouteKind.STREAM,
    }
    return Route(**(values | fields))  # type: ignore[arg-type]


def make_forwarded(
    route: Route, prompt: int = 0, request_id: str = "r1", now: timedelta = timedelta()
) -> ForwardedRequest:
    """Return a request for engines with `prompt` tokens, or for a plain service if it is 0."""
    return ForwardedRequest(
        request_id=request_id,
        route=route,
        service=SERVICE,
        organisation="org",
        method="POST",
        target_path="/p/1",
        headers=(),
        body=b"",
        fingerprint=f"fingerprint of {request_id}",
        received=now,
        deadline=now + route.timeout,
        size=PromptSize(prompt, 2_000, 1_000) if prompt else None,
    )


def make_target(index: int, incarnation: int = 1) -> Target:
    """Return engine `e00`, `e01`, ...; `e00` is in the local zone."""
    return Target(
        target_id=f"e{index:02}",
        kind=TargetKind.ENGINE,
        service=SERVICE,
        address=f"10.0.0.{index + 1}:80",
        region="r",
        zone=f"z{index}",
        incarnation=incarnation,
        slots=8,
    )


def make_placed(
    target_id: str, prompt: int, size: str = "short", **fields: object
) -> PlacedRequest:
    """Return a request with `prompt` tokens that was placed at the start of the test."""
    values: dict[str, object] = {
        "request_id": f"{target_id}-{prompt}-{size}",
        "origin": "peer",
        "service": SERVICE,
        "lead": target_id,
        "helpers": (),
        "placed_at": 0.0,
        "due": OBJECTIVES[size],
        "gap": EVENT_GAPS[size],
        "size": PromptSize(prompt, 2_000, 1_000),
    }
    return PlacedRequest(**(values | fields))  # type: ignore[arg-type]


class FakeZoneLocality:
    """Fake of `ZoneLocality`; zones serve their own requests when a test sets `enabled`."""

    def __init__(self) -> None:
        self.enabled = False

    def in_use(self, service: str) -> bool:
        """Return whether zones serve their own requests, for any service."""
        return self.enabled


class PlacementFixture:
    """Placer, work table and target health of an entry instance, with listed targets."""

    def __init__(self, count: int, clock: Clock, profile: EngineProfile | None = PROFILE) -> None:
        self.clock = clock
        self.zone_locality = FakeZoneLocality()
        self.works = WorkTable()
        self.health = TargetHealth(clock)
        self.placer = Placer(self.works, self.health, self.zone_locality, ZONE, clock, Random(1))
        self.targets = [make_target(index) for index in range(count)]
        self.apply_target_list(profile)

    def apply_target_list(self, profile: EngineProfile | None = PROFILE, leaving: str = "") -> None:
        """Update work table and health with the targets; `leaving` is the id of a leaving one."""
        self.health.update([ListedTarget(item, item.target_id == leaving) for item in self.targets])
        self.works.update([(item, profile) for item in self.targets], self.now)

    @property
    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()


FIRST_HELPER = "first helper"
"""Placeholder in scripts for the address of the first helper."""
Script = list[AttemptItem | float]
"""What a target sends in one attempt; numbers are pauses in seconds."""


@dataclass(slots=True)
class ScriptedTargets:
    """Plays the next script for each attempt on any target; the last script is repeated."""

    scripts: list[Script]
    sent: list[ForwardAttempt] = field(default_factory=list)
    allowed_silences: list[timedelta] = field(default_factory=list)
    continuations: list[bool] = field(default_factory=list)
    """Whether another target would have taken over, after each item."""
    cancelled: int = 0
    probe_outcome: ProbeOutcome = field(default_factory=TargetAlive)
    """Result of probing a target that had a part in an attempt; the others are alive."""
    all_fail: bool = False
    """Whether probes of the other targets have this result too."""

    @asynccontextmanager
    async def attempt(self, attempt: ForwardAttempt) -> AsyncIterator[AsyncIterator[AttemptItem]]:
        """Return the items of the script for this attempt."""
        self.sent.append(attempt)
        script = self.scripts[min(len(self.sent), len(self.scripts)) - 1]

        async def items() -> AsyncIterator[AttemptItem]:
            for item in script:
                if isinstance(item, NotRun) and item.at_fault == FIRST_HELPER:
                    yield replace(item, at_fault=attempt.helpers[0].target.address)
                elif isinstance(item, float):
                    await trio.sleep(item)
                else:
                    await trio.lowlevel.checkpoint()
                    yield item
                    self.allowed_silences.append(attempt.silence_timeout())
                    self.continuations.append(attempt.can_continue_elsewhere())

        try:
            yield items()
        except trio.Cancelled:
            self.cancelled += 1
            raise

    async def probe(self, target: Target) -> ProbeOutcome:
        """Return the outcome for a target, without opening a connection."""
        await trio.lowlevel.checkpoint()
        attempted = any(
            target in (attempt.target, *(helper.target for helper in attempt.helpers))
            for attempt in self.sent
        )
        return self.probe_outcome if attempted or self.all_fail else TargetAlive()

    async def accepts(self, target: Target) -> bool:
        """Return whether a probe would find the target alive."""
        return isinstance(await self.probe(target), TargetAlive)


@dataclass(slots=True)
class ScriptedPeers:
    """Plays the next script for each request that is sent to a peer; the last one is repeated."""

    scripts: list[Script] = field(default_factory=list)
    sent: list[PeerAttempt] = field(default_factory=list)

    @asynccontextmanager
    async def attempt(self, attempt: PeerAttempt) -> AsyncIterator[AsyncIterator[AttemptItem]]:
        """Return the items of the script for this attempt."""
        self.sent.append(attempt)
        script = self.scripts[min(len(self.sent), len(self.scripts)) - 1]

        async def items() -> AsyncIterator[AttemptItem]:
            for item in script:
                await trio.lowlevel.checkpoint()
                assert not isinstance(item, float)
                yield item

        yield items()


def make_peer(number: int, zone: str = ZONE, **fields: object) -> Node:
    """Return a peer that serves callers and reaches targets, unless `fields` say otherwise."""
    values: dict[str, object] = {
        "incarnation": 1,
        "sequence": 1,
        "region": "r",
        "zone": zone,
        "caller_address": f"10.1.0.{number}:80",
        "control_address": f"10.1.0.{number}:8229",
        "serving": True,
        "leaving": False,
        "routes_version": 1,
        "knows_targets": True,
        "uses": (),
        "placed": (),
        "reaches_targets": True,
    }
    state = NodeState(**(values | fields))  # type: ignore[arg-type]
    return Node(f"10.1.0.{number}:7340", 0.0, 0.0, state, 1.0)


@dataclass(slots=True)
class RecordingSink:
    """Records what the caller received."""

    status: int | None = None
    heads: int = 0
    data: bytes = b""
    finished: bool = False
    room: float = math.inf
    asked: list[int] = field(default_factory=list)
    released: bool = False

    async def begin(self, head: ResponseHead) -> None:
        """Record the head."""
        self.heads += 1
        self.status = head.status

    async def send(self, data: bytes) -> None:
        """Record a part of the body."""
        self.data += data

    async def finish(self) -> None:
        """Record the end."""
        self.finished = True

    async def may_buffer(self, size: int) -> bool:
        """Record the size, and allow it up to `room`."""
        self.asked.append(size)
        return size <= self.room

    def release_target(self) -> None:
        """Record that the rest is sent from memory."""
        self.released = True


def make_forwarder(
    engines: PlacementFixture,
    targets: ScriptedTargets,
    notify: Callable[[Notice], None] = lambda notice: None,
    slack: float = 100.0,
    reservations: FakeReservations | None = None,
    stop: GracefulStop | None = None,
    peers: ScriptedPeers | None = None,
    peer_nodes: list[Node] | None = None,
    reachability: TargetReachability | None = None,
) -> Forwarder:
    """Return a forwarder over scripted targets; `slack` is that of its retry budget.

    Without `reachability` it never counts as cut off from all targets.
    """
    clock = SystemClock()
    reachability = reachability or TargetReachability(
        engines.health.targets, lambda: None, lambda since: None, clock
    )
    limits = BudgetLimits(ratio=0.2, slack=slack, window=timedelta(seconds=10))
    return Forwarder(
        engines.placer,
        PlacementLedger(
            engines.works,
            notify,
            engines.health.record_attempt,
            lambda target_id: engines.health.record_attempt(target_id, AttemptVerdict.LOST),
            clock,
            lambda: reachability.suspected,
        ),
        targets,
        PeerRoutes(
            reachability,
            ReachabilityProber(reachability, targets, clock),
            RelayPeers(lambda: peer_nodes or [], ZONE, Random(1)),
            peers or ScriptedPeers(),
            ForwardCounters(),
        ),
        EngineReservations(reservations or FakeReservations(), Supervisor(clock), clock),
        # `list` stands for no use of retry budget by other instances.
        RetryBudget(limits, list, notify, clock),
        CrashCounts(notify, clock),
        stop or GracefulStop(clock, timedelta(hours=1)),
        clock,
    )


def response_script(status: int = 200, body: bytes = b"ok") -> Script:
    """Return the script of a whole response."""
    return [ResponseHead(status, (), True), ResponseChunk(body), ResponseEnd()]


def stream_script(first: int, last: int, end: bool = True) -> Script:
    """Return the script of a stream with events `first` to `last`; `end` completes the response."""
    events = [ResponseEvent(number, b"%d " % number) for number in range(first, last + 1)]
    return [ResponseHead(200, (), True), *events, *([ResponseEnd()] if end else [])]
