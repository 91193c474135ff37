"""Work that all entry instances have placed on the targets, as one entry instance knows it.

Times are seconds of the monotonic clock, as floats: placing a request does thousands of operations
on them.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from wasabiwell_entry.state.forwarding import PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.targets import Target

LATE_PENALTY = 0.75
"""Part of a request's value that is lost when it is late; both users' price lists have 0.75."""
EXPIRY_FACTOR = 4.0
"""Placements that last this many times longer than expected are dropped as forgotten."""
SLOWDOWN_WEIGHT = 0.4
"""Weight of a new observation of an engine's pace against what was known before."""
SLOWDOWN_HALF_LIFE_SECONDS = 4.0
"""An engine that gets no requests is believed to be half as slow after this, so that it is tried
again."""
MAX_SLOWDOWN = 20.0
ARRIVAL_WINDOW_SECONDS = 2.0
"""Time over which the rate of short requests is taken; the users' mixes change within seconds."""
MIN_EXPIRY_SECONDS = 20.0
"""Placements are kept at least this long: no route of the users waits longer."""
OUTPUT_TOKEN_VALUE = 10
"""An output token is worth this many prompt tokens on both users' price lists."""


@dataclass(frozen=True, slots=True)
class PlacedRequest:
    """A request that an entry instance has placed.

    `placed_at` and `due` are seconds of the local monotonic clock; `due` is when the first event
    or the answer has to be there. `gap` is the longest pause between events, in seconds. `helper_kv_tokens`
    are the tokens of the prompt that are kept in the memory of each of the first helpers.
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

    def kv_tokens_on(self, target_id: str) -> int:
        """Return the memory that the prompt takes on a target, in tokens."""
        if self.size is None:
            return 0
        if target_id == self.lead:
            return self.size.prompt - sum(self.helper_kv_tokens)
        holders = zip(self.helpers, self.helper_kv_tokens, strict=False)
        return sum(tokens for helper, tokens in holders if helper == target_id)


@dataclass(slots=True, eq=False)
class TargetRequest:
    """A request on one engine; `lead` tells that it is written there, `split` that it is split.

    `prefill_seconds_left` is the reading that is left on this engine and `decode_seconds_left` the writing, in seconds.
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
    """What is placed on one target; `profile` is None for targets of plain services.

    `slowdown` is how many times as long as usual the target takes; it is 1 for a sound one.
    """

    target: Target
    profile: EngineProfile | None
    requests: dict[str, TargetRequest] = field(default_factory=dict)
    updated: float = 0.0
    slowdown: float = 1.0

    @property
    def slots(self) -> int:
        """Return the number of requests that the target processes at once."""
        return self.target.slots or (self.profile.slots if self.profile is not None else 1)

    @property
    def occupied_slots(self) -> int:
        """Return the number of requests that take a slot here."""
        return sum(1 for resident in self.requests.values() if resident.lead)

    @property
    def tokens(self) -> int:
        """Return the memory that is in use here, in tokens."""
        return sum(resident.tokens for resident in self.requests.values())

    def decoding_requests(self) -> list[TargetRequest]:
        """Return the requests that are written here now."""
        return [item for item in self.requests.values() if item.lead and item.decoding]

    def iteration_seconds(self, writers: list[TargetRequest]) -> float:
        """Return how long a pass without reading takes."""
        profile = self.profile
        if profile is None or not writers:
            return 0.0
        tokens = sum(writer.tokens for writer in writers)
        step = profile.step_seconds + len(writers) * profile.step_seconds_per_sequence
        return profile.stride * (step + tokens * profile.step_seconds_per_token) * self.slowdown

    def prefill_order(self) -> list[TargetRequest]:
        """Return the requests with reading left in the order in which the engine reads them.

        Engines read parts of split prompts before other prompts, the newest part first.
        """
        waiting = [item for item in self.requests.values() if item.prefill_seconds_left > 0]
        parts = [item for item in waiting if item.split]
        return [*reversed(parts), *(item for item in waiting if not item.split)]

    def observe_slowdown(self, event_gap: float, now: float) -> None:
        """Take over an undisturbed time between two events of a stream, in seconds."""
        self.advance(now)
        usual = self.iteration_seconds(self.decoding_requests()) / self.slowdown
        if usual > 0:
            observed = min(MAX_SLOWDOWN, max(1.0, event_gap / usual))
            self.slowdown += SLOWDOWN_WEIGHT * (observed - self.slowdown)

    def advance(self, now: float) -> None:
        """Work off reading and writing up to a time."""
        seconds = now - self.updated
        self.updated = max(self.updated, now)
        if seconds <= 0 or self.profile is None:
            return
        elapsed = seconds / self.slowdown
        self.slowdown = 1.0 + (self.slowdown - 1.0) * 0.5 ** (seconds / SLOWDOWN_HALF_LIFE_SECONDS)
        self._write(elapsed)
        for resident in self.prefill_order():
            done = min(elapsed, resident.prefill_seconds_left)
            resident.prefill_seconds_left -= done
            elapsed -= done
            if resident.prefill_seconds_left <= 0 and resident.lead and not resident.split:
                resident.decoding = True
            if elapsed <= 0:
                return

    def _write(self, elapsed: float) -> None:
        for resident in self.requests.values():
            if resident.lead and resident.decoding:
                resident.decode_seconds_left = max(0.0, resident.decode_seconds_left - elapsed)

    def add(self, placed: PlacedRequest, now: float) -> None:
        """Add a request that is placed here."""
        self.advance(now)
        profile, size = self.profile, placed.size
        lead = placed.lead == self.target.target_id
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
            decode_seconds_left=size.expected_output * profile.event_interval / profile.stride,
            tokens=placed.kv_tokens_on(self.target.target_id),
            value=request_value(size, profile),
            decoding=placed.decoding,
        )

    def start_decode(self, request_id: str, now: float) -> None:
        """Note the first event of a request: its prompt has been read here."""
        self.advance(now)
        resident = self.requests.get(request_id)
        if resident is not None:
            resident.prefill_seconds_left = 0.0
            resident.decoding = True

    def remove(self, request_id: str, now: float) -> None:
        """Remove a request that has ended."""
        self.advance(now)
        self.requests.pop(request_id, None)


class WorkTable:
    """Work by target; one entry instance owns one table."""

    __slots__ = ("_arrivals", "_by_service", "_placed", "_works")

    def __init__(self) -> None:
        self._works: dict[str, TargetWork] = {}
        self._by_service: dict[str, list[TargetWork]] = {}
        self._placed: dict[str, PlacedRequest] = {}
        self._arrivals: dict[str, deque[tuple[float, float]]] = {}

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[TargetWork]:
        return iter(list(self._works.values()))

    def get(self, target_id: str) -> TargetWork | None:
        """Return the work of a target, or None when it is not known."""
        return self._works.get(target_id)

    def of_service(self, service: str) -> list[TargetWork]:
        """Return the work of a service's targets, in the order of their ids."""
        return self._by_service.get(service, [])

    def placed_by(self, origin: str) -> list[PlacedRequest]:
        """Return what an entry instance has placed."""
        return [placed for placed in self._placed.values() if placed.origin == origin]

    def update(self, targets: Iterable[tuple[Target, EngineProfile | None]], now: float) -> None:
        """Take over the targets of a list; one that started anew begins without work."""
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

    def add(self, placed: PlacedRequest, now: float) -> None:
        """Add a request to the targets on which it is placed."""
        self.remove(placed.request_id, now)
        self._placed[placed.request_id] = placed
        if placed.size is not None and not placed.helpers:
            self._note_arrival(placed, placed.size, now)
        for target_id in (placed.lead, *placed.helpers):
            if (work := self._works.get(target_id)) is not None:
                work.add(placed, now)

    def arrival_stats(self, service: str, now: float) -> tuple[float, float]:
        """Return the rate of requests that one engine reads, in 1/s, and their mean value."""
        arrivals = self._arrivals.get(service)
        if not arrivals:
            return 0.0, 0.0
        _forget(arrivals, now)
        if not arrivals:
            return 0.0, 0.0
        return len(arrivals) / ARRIVAL_WINDOW_SECONDS, sum(value for _, value in arrivals) / len(
            arrivals
        )

    def _note_arrival(self, placed: PlacedRequest, size: PromptSize, now: float) -> None:
        work = self._works.get(placed.lead)
        if work is None or work.profile is None:
            return
        arrivals = self._arrivals.setdefault(placed.service, deque())
        arrivals.append((now, request_value(size, work.profile)))
        _forget(arrivals, now)

    def start_decode(self, request_id: str, now: float) -> None:
        """Note the first event of a request."""
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
        for target_id in (placed.lead, *placed.helpers):
            if (work := self._works.get(target_id)) is not None:
                work.remove(request_id, now)

    def retain(self, origin: str, request_ids: frozenset[str], now: float) -> None:
        """Remove what an entry instance has placed but for these requests."""
        for placed in self.placed_by(origin):
            if placed.request_id not in request_ids:
                self.remove(placed.request_id, now)

    def expire(self, now: float) -> None:
        """Remove requests whose end was never told."""
        for placed in list(self._placed.values()):
            allowed = max(MIN_EXPIRY_SECONDS, EXPIRY_FACTOR * (placed.due - placed.placed_at))
            if now - placed.placed_at > allowed:
                self.remove(placed.request_id, now)


def _forget(arrivals: deque[tuple[float, float]], now: float) -> None:
    while arrivals and arrivals[0][0] < now - ARRIVAL_WINDOW_SECONDS:
        arrivals.popleft()


def request_value(size: PromptSize, profile: EngineProfile) -> float:
    """Return what a request is worth, relative to the usual request of its service."""
    usual = profile.usual_prompt_tokens + OUTPUT_TOKEN_VALUE * profile.usual_output_tokens
    return (size.prompt + OUTPUT_TOKEN_VALUE * size.expected_output) / max(1, usual)
