"""Load model of the targets: the requests that all entry instances have placed on them.

Each entry instance keeps its own model and updates it from its placements and from peer notices.
Times are seconds of the monotonic clock, as floats, because placing one request does thousands of
operations on them.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from wasabiwell_entry.state.forwarding import PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.targets import Target

LATE_PENALTY = 0.75
"""Share of a request's value that is lost when it is late; both users' price lists have 0.75."""
EXPIRY_FACTOR = 4.0
"""A placement is dropped after this multiple of its expected duration: its end notice was lost."""
SLOWDOWN_WEIGHT = 0.4
"""Weight of a new observation in the moving average of an engine's slowdown."""
SLOWDOWN_HALF_LIFE_SECONDS = 4.0
"""The excess slowdown of an engine halves in this time, so that a slow engine that gets no requests
is tried again."""
MAX_SLOWDOWN = 20.0
ARRIVAL_WINDOW_SECONDS = 2.0
"""Window for the arrival rate of short requests; the users' request mixes change within seconds."""
MIN_EXPIRY_SECONDS = 20.0
"""Minimum time before a placement expires; no route of the users has a longer timeout."""
OUTPUT_TOKEN_VALUE = 10
"""An output token is worth this many prompt tokens on both users' price lists."""


@dataclass(frozen=True, slots=True)
class PlacedRequest:
    """A request that an entry instance has placed.

    `lead` is the target that generates the response; `helpers` are further engines that prefill
    segments of the prompt. `placed_at` and `due` are seconds of the local monotonic clock; `due` is
    the deadline for the first event or the response. `gap` is the longest allowed pause between
    events, in seconds. `helper_kv_tokens` are the prompt tokens whose KV cache each of the first
    helpers keeps. `organisation` is empty if it is unknown, as for the requests of anonymous
    callers and of instances of an older version.
    """

    request_id: str
    origin: str
    service: str
    lead: str
    helpers: tuple[str, ...]
    placed_at: float
    due: float
    gap: float
    size: PromptSize | None
    decoding: bool = False
    helper_kv_tokens: tuple[int, ...] = ()
    organisation: str = ""

    def kv_tokens_on(self, target_id: str) -> int:
        """Return the KV cache that the prompt takes on a target, in tokens."""
        if self.size is None:
            return 0
        if target_id == self.lead:
            return self.size.prompt - sum(self.helper_kv_tokens)
        kept = zip(self.helpers, self.helper_kv_tokens, strict=False)
        return sum(tokens for helper, tokens in kept if helper == target_id)


@dataclass(slots=True, eq=False)
class TargetRequest:
    """A request's share of work on one target.

    `lead` is set when this target generates the response, `split` when the prefill is split over
    several engines. `prefill_seconds_left` and `decode_seconds_left` are the remaining work on this
    target at normal speed. `tokens` is the KV cache that it takes here.
    """

    placed: PlacedRequest
    lead: bool
    split: bool
    prefill_seconds_left: float
    decode_seconds_left: float
    tokens: int
    value: float
    decoding: bool = False


@dataclass(slots=True, eq=False)
class TargetWork:
    """The requests on one target; `profile` is None for targets of plain services.

    `slowdown` is the ratio of the actual to the usual duration of the target's work; 1 is healthy.
    `occupied_slots` is the number of slots that requests take on this target.
    """

    target: Target
    profile: EngineProfile | None
    requests: dict[str, TargetRequest] = field(default_factory=dict)
    updated: float = 0.0
    slowdown: float = 1.0
    occupied_slots: int = 0

    @property
    def slots(self) -> int:
        """Return the number of requests that the target processes at once."""
        return self.target.slots or (self.profile.slots if self.profile is not None else 1)

    @property
    def helped_prompts(self) -> int:
        """Return the number of prompts of other targets that this target helps to prefill."""
        return sum(1 for item in self.requests.values() if not item.lead and not item.decoding)

    @property
    def tokens(self) -> int:
        """Return the KV cache in use on this target, in tokens."""
        return sum(request.tokens for request in self.requests.values())

    def decoding_requests(self) -> list[TargetRequest]:
        """Return the requests for which this target generates tokens now."""
        return [item for item in self.requests.values() if item.lead and item.decoding]

    def iteration_seconds(self, decoding: list[TargetRequest]) -> float:
        """Return the duration of an engine iteration without prefill."""
        profile = self.profile
        if profile is None or not decoding:
            return 0.0
        tokens = sum(request.tokens for request in decoding)
        step = profile.step_seconds + len(decoding) * profile.step_seconds_per_sequence
        return profile.stride * (step + tokens * profile.step_seconds_per_token) * self.slowdown

    def prefill_order(self) -> list[TargetRequest]:
        """Return the requests with prefill left, in the order in which the engine prefills them.

        Engines prefill segments of split prompts before other prompts, the newest segment first.
        """
        waiting = [item for item in self.requests.values() if item.prefill_seconds_left > 0]
        segments = [item for item in waiting if item.split]
        return [*reversed(segments), *(item for item in waiting if not item.split)]

    def observe_slowdown(self, event_gap: float, now: float) -> None:
        """Update the slowdown from a gap between two events that no prefill lengthened.

        `event_gap` is in seconds.
        """
        self.advance(now)
        usual = self.iteration_seconds(self.decoding_requests()) / self.slowdown
        if usual > 0:
            observed = min(MAX_SLOWDOWN, max(1.0, event_gap / usual))
            self.slowdown += SLOWDOWN_WEIGHT * (observed - self.slowdown)

    def advance(self, now: float) -> None:
        """Subtract the prefill and decode work that is done by a time."""
        seconds = now - self.updated
        self.updated = max(self.updated, now)
        if seconds <= 0 or self.profile is None:
            return
        elapsed = seconds / self.slowdown
        self.slowdown = 1.0 + (self.slowdown - 1.0) * 0.5 ** (seconds / SLOWDOWN_HALF_LIFE_SECONDS)
        self._advance_decode(elapsed)
        for request in self.prefill_order():
            done = min(elapsed, request.prefill_seconds_left)
            request.prefill_seconds_left -= done
            elapsed -= done
            if request.prefill_seconds_left <= 0 and request.lead and not request.split:
                request.decoding = True
            if elapsed <= 0:
                return

    def _advance_decode(self, elapsed: float) -> None:
        for request in self.requests.values():
            if request.lead and request.decoding:
                request.decode_seconds_left = max(0.0, request.decode_seconds_left - elapsed)

    def add(self, placed: PlacedRequest, now: float) -> None:
        """Add a request that is placed on this target."""
        self.remove(placed.request_id, now)
        profile, size = self.profile, placed.size
        lead = placed.lead == self.target.target_id
        self.occupied_slots += lead
        if profile is None or size is None:
            self.requests[placed.request_id] = TargetRequest(placed, lead, False, 0.0, 0.0, 0, 1.0)
            return
        engines = 1 + len(placed.helpers)
        self.requests[placed.request_id] = TargetRequest(
            placed,
            lead=lead,
            split=engines > 1,
            prefill_seconds_left=0.0
            if placed.decoding
            else profile.prefill_seconds(size.prompt) / engines,
            decode_seconds_left=size.expected_output * profile.base_event_gap / profile.stride,
            tokens=placed.kv_tokens_on(self.target.target_id),
            value=request_value(size, profile),
            decoding=placed.decoding,
        )

    def start_decode(self, request_id: str, now: float) -> None:
        """Record the first event of a request: its prefill on this target has finished."""
        self.advance(now)
        request = self.requests.get(request_id)
        if request is not None:
            request.prefill_seconds_left = 0.0
            request.decoding = True

    def remove(self, request_id: str, now: float) -> None:
        """Remove a request that has ended."""
        self.advance(now)
        removed = self.requests.pop(request_id, None)
        if removed is not None:
            self.occupied_slots -= removed.lead


class WorkObserver(Protocol):
    """Is told of each request that is added to a work table or removed from it."""

    def added(self, placed: PlacedRequest, profile: EngineProfile | None) -> None:
        """Record a request; `profile` is that of its lead, None for an unknown or a plain one."""

    def removed(self, placed: PlacedRequest, has_run: bool) -> None:
        """Record that a request has ended; `has_run` is false if its decode phase never began."""


class WorkTable:
    """Work by target; one entry instance owns one table."""

    __slots__ = ("_arrivals", "_by_service", "_observer", "_placed", "_works")

    def __init__(self, observer: WorkObserver | None = None) -> None:
        self._observer = observer
        self._works: dict[str, TargetWork] = {}
        self._by_service: dict[str, list[TargetWork]] = {}
        self._placed: dict[str, PlacedRequest] = {}
        self._arrivals: dict[str, deque[tuple[float, float]]] = {}

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[TargetWork]:
        return iter(list(self._works.values()))

    def get(self, target_id: str) -> TargetWork | None:
        """Return the work of a target, or None when the target is unknown."""
        return self._works.get(target_id)

    def of_service(self, service: str) -> list[TargetWork]:
        """Return the work of a service's targets, in the order of their ids."""
        return self._by_service.get(service, [])

    def placed_by(self, origin: str) -> list[PlacedRequest]:
        """Return the requests that an entry instance has placed."""
        return [placed for placed in self._placed.values() if placed.origin == origin]

    def update(self, targets: Iterable[tuple[Target, EngineProfile | None]], now: float) -> None:
        """Replace the set of targets; a target that has restarted begins without work."""
        works: dict[str, TargetWork] = {}
        for target, profile in targets:
            work = self._works.get(target.target_id)
            if work is None or work.target != target:
                work = TargetWork(target, profile, updated=now)
            work.profile = profile
            works[target.target_id] = work
        self._works = works
        self._by_service = {}
        for _, work in sorted(works.items()):
            self._by_service.setdefault(work.target.service, []).append(work)
        for request_id, placed in list(self._placed.items()):
            if placed.lead not in works:
                del self._placed[request_id]
                for target_id in placed.helpers:
                    if (work := works.get(target_id)) is not None:
                        work.remove(request_id, now)
                if self._observer is not None:
                    self._observer.removed(placed, has_run=False)

    def add(self, placed: PlacedRequest, now: float) -> None:
        """Add a request to the targets on which it is placed."""
        self.remove(placed.request_id, now)
        self._placed[placed.request_id] = placed
        if self._observer is not None:
            lead = self._works.get(placed.lead)
            self._observer.added(placed, lead.profile if lead is not None else None)
        if placed.size is not None and not placed.helpers:
            self._record_arrival(placed, placed.size, now)
        for target_id in (placed.lead, *placed.helpers):
            if (work := self._works.get(target_id)) is not None:
                work.add(placed, now)

    def arrival_stats(self, service: str, now: float) -> tuple[float, float]:
        """Return the arrival rate of requests that are not split, in 1/s, and their mean value."""
        arrivals = self._arrivals.get(service)
        if not arrivals:
            return 0.0, 0.0
        _drop_old_arrivals(arrivals, now)
        if not arrivals:
            return 0.0, 0.0
        return len(arrivals) / ARRIVAL_WINDOW_SECONDS, sum(value for _, value in arrivals) / len(
            arrivals
        )

    def arrival_rate(self, service: str, now: float) -> float:
        """Return the arrival rate of requests that are not split, in 1/s."""
        arrivals = self._arrivals.get(service)
        if not arrivals:
            return 0.0
        _drop_old_arrivals(arrivals, now)
        return len(arrivals) / ARRIVAL_WINDOW_SECONDS

    def _record_arrival(self, placed: PlacedRequest, size: PromptSize, now: float) -> None:
        work = self._works.get(placed.lead)
        if work is None or work.profile is None:
            return
        arrivals = self._arrivals.setdefault(placed.service, deque())
        arrivals.append((now, request_value(size, work.profile)))
        _drop_old_arrivals(arrivals, now)

    def start_decode(self, request_id: str, now: float) -> None:
        """Record the first event of a request, and release helpers that keep no KV cache of it."""
        placed = self._placed.get(request_id)
        if placed is None:
            return
        for target_id in (placed.lead, *placed.helpers):
            if (work := self._works.get(target_id)) is None:
                continue
            if target_id == placed.lead or placed.kv_tokens_on(target_id):
                work.start_decode(request_id, now)
            else:
                work.remove(request_id, now)

    def remove(self, request_id: str, now: float) -> None:
        """Remove a request that has ended."""
        placed = self._placed.pop(request_id, None)
        if placed is None:
            return
        if self._observer is not None:
            self._observer.removed(placed, self._has_run(placed, now))
        for target_id in (placed.lead, *placed.helpers):
            if (work := self._works.get(target_id)) is not None:
                work.remove(request_id, now)

    def _has_run(self, placed: PlacedRequest, now: float) -> bool:
        """Return whether the decode phase of a request has begun, as far as it is known."""
        work = self._works.get(placed.lead)
        if work is not None:
            work.advance(now)
        share = work.requests.get(placed.request_id) if work is not None else None
        return share is not None and share.decoding

    def retain(self, origin: str, request_ids: frozenset[str], now: float) -> None:
        """Remove the requests that an entry instance has placed, except for these."""
        for placed in self.placed_by(origin):
            if placed.request_id not in request_ids:
                self.remove(placed.request_id, now)

    def expire(self, now: float) -> None:
        """Remove requests whose end notice never arrived."""
        for placed in list(self._placed.values()):
            allowed = max(MIN_EXPIRY_SECONDS, EXPIRY_FACTOR * (placed.due - placed.placed_at))
            if now - placed.placed_at > allowed:
                self.remove(placed.request_id, now)


def _drop_old_arrivals(arrivals: deque[tuple[float, float]], now: float) -> None:
    while arrivals and arrivals[0][0] < now - ARRIVAL_WINDOW_SECONDS:
        arrivals.popleft()


def request_value(size: PromptSize, profile: EngineProfile) -> float:
    """Return the value of a request, relative to the usual request of its service."""
    usual = profile.usual_prompt_tokens + OUTPUT_TOKEN_VALUE * profile.usual_output_tokens
    return (size.prompt + OUTPUT_TOKEN_VALUE * size.expected_output) / max(1, usual)
