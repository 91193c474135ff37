"""Chooses the targets of a request."""

from collections.abc import Callable
from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import (
    EMPTY_ENGINE_COST,
    ENGINE_COST,
    FAILURE_COST,
    FULL_COST,
    MAX_COMPARED,
    MAX_HELPERS,
    MAX_HOLDERS,
    MEMORY_SHARE,
    NO_MEMORY_COST,
    REMOTE_ZONE_COST,
    SHORT_URGENCY_GAP,
    SPLIT_SECONDS,
    URGENCY_LONG,
    URGENCY_RESUMED,
    URGENCY_SHORT,
    WAIT_COST,
)
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.estimate import (
    EngineState,
    delay_harm,
    engine_state,
    lateness,
    part_finish,
    pause_harm,
    whole_finish,
)
from wasabiwell_entry.coordination.placement.ports import TargetHealthPort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.forwarding import ForwardedRequest, Helper, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import LATE_SHARE, TargetWork, WorkTable, request_value


@dataclass(frozen=True, slots=True)
class _Candidate:
    """One way to place a prompt and its cost in value.

    The first engine is the lead; those after it keep `holds` tokens of the prompt.
    """

    cost: float
    finish: float
    engines: tuple[EngineState, ...]
    holds: tuple[int, ...] = ()


class Placer:
    """Places requests for one entry instance in the zone `zone`."""

    __slots__ = ("_clock", "_health", "_works", "_zone")

    def __init__(self, works: WorkTable, health: TargetHealthPort, zone: str, clock: Clock) -> None:
        self._works = works
        self._health = health
        self._zone = zone
        self._clock = clock

    def place(
        self,
        request: ForwardedRequest,
        excluded: frozenset[str],
        resumed: bool = False,
        suspected: bool = False,
    ) -> Placement | NoPlacement:
        """Return the targets for a request; `excluded` are ids of those that failed it.

        A suspected request, under which a target died, runs alone where that is possible.
        """
        now = self._clock.monotonic().total_seconds()
        works = self._usable(request, excluded)
        if not works:
            return NoPlacement(f"no target of service {request.service} takes new work")
        size, profile = request.size, works[0].profile
        if size is None or profile is None:
            return self._place_plain(works)
        if suspected:
            works = _least_used(works)
        states = [engine_state(work, now) for work in works]
        allowed = max(0.0, request.route.objective.total_seconds() - self._waited(request, now))
        search = _Search(request, size, profile, states, allowed, now, self._preference)
        best = search.best()
        urgency = URGENCY_LONG
        if request.route.event_gap <= SHORT_URGENCY_GAP:
            urgency = URGENCY_SHORT
        if resumed:
            urgency = URGENCY_RESUMED
        return Placement(
            target=best.engines[0].work.target,
            helpers=_helpers(best),
            urgency=urgency,
            expected_seconds=best.finish,
        )

    def expected_pause(self, target_id: str) -> float:
        """Return how long the sequences written on a target may pause now, in seconds."""
        work = self._works.get(target_id)
        if work is None:
            return 0.0
        state = engine_state(work, self._clock.monotonic().total_seconds())
        return state.pass_seconds + state.pending

    def _waited(self, request: ForwardedRequest, now: float) -> float:
        return now - request.received.total_seconds()

    def _usable(self, request: ForwardedRequest, excluded: frozenset[str]) -> list[TargetWork]:
        """Return the targets that are compared: those that are well, or else any that is listed."""
        works = [
            work
            for work in _window(self._works.of_service(request.service), request.request_id)
            if work.target.target_id not in excluded
        ]
        well = [work for work in works if self._health.usable(work.target)]
        return well or [work for work in works if self._health.listed(work.target)]

    def _place_plain(self, works: list[TargetWork]) -> Placement:
        chosen = min(works, key=self._plain_cost)
        return Placement(chosen.target, (), URGENCY_SHORT, 0.0)

    def _plain_cost(self, work: TargetWork) -> tuple[float, str]:
        load = len(work.residents) / work.slots
        return load + self._preference(work), work.target.target_id

    def _preference(self, work: TargetWork) -> float:
        """Return the cost of a target for itself, in parts of a request's value."""
        remote = 0.0 if work.target.zone == self._zone else REMOTE_ZONE_COST
        return remote + FAILURE_COST * self._health.failure_share(work.target)


class _Search:
    """Finds the cheapest way to place one prompt."""

    __slots__ = ("_allowed", "_now", "_preference", "_profile", "_request", "_size", "_states")

    def __init__(
        self,
        request: ForwardedRequest,
        size: PromptSize,
        profile: EngineProfile,
        states: list[EngineState],
        allowed: float,
        now: float,
        preference: Callable[[TargetWork], float],
    ) -> None:
        self._request = request
        self._size = size
        self._profile = profile
        self._states = states
        self._allowed = allowed
        self._now = now
        self._preference = preference

    @property
    def _value(self) -> float:
        return request_value(self._size, self._profile)

    def best(self) -> _Candidate:
        """Return the cheapest way."""
        read = self._profile.read_seconds(self._size.prompt)
        ways = [self._best_single(read)]
        if read > SPLIT_SECONDS:
            most = min(len(self._states), MAX_HELPERS + 1)
            ways += [self._split(read, count) for count in range(2, most + 1)]
        return min(ways, key=lambda way: way.cost)

    def _best_single(self, read: float) -> _Candidate:
        ways = [self._single(state, read) for state in self._states]
        return min(ways, key=lambda way: way.cost)

    def _single(self, state: EngineState, read: float) -> _Candidate:
        finish = whole_finish(state, read)
        cost = self._own_cost(finish) + pause_harm(state, read) + self._lead_cost(state)
        if self._holds(state, []) is None:
            cost += NO_MEMORY_COST * self._value
        if read <= SPLIT_SECONDS and not self._has_alike(state):
            cost += EMPTY_ENGINE_COST * self._value
        return _Candidate(cost, finish, (state,))

    def _has_alike(self, state: EngineState) -> bool:
        """Return whether an engine has a request that allows pauses no longer than this one."""
        allowed = self._request.route.event_gap.total_seconds()
        residents = state.work.residents.values()
        return any(item.lead and item.placed.gap <= allowed for item in residents)

    def _split(self, read: float, count: int) -> _Candidate:
        part = read / count
        costs = sorted(
            (
                (pause_harm(state, part) + self._delay(state, part), index)
                for index, state in enumerate(self._states)
            ),
            key=lambda item: (item[0] + WAIT_COST * self._states[item[1]].pending, -item[1]),
        )
        chosen = [self._states[index] for _, index in costs[:count]]
        harm = sum(pause_harm(state, part) for state in chosen)
        delayed: dict[str, float] = {}
        for state in chosen:
            for request_id, lost in delay_harm(state, part, self._now).items():
                delayed[request_id] = max(lost, delayed.get(request_id, 0.0))
        finish = max(part_finish(state, part) for state in chosen)
        lead = min(chosen, key=lambda state: (self._lead_cost(state), state.slot_wait))
        finish = max(finish, lead.slot_wait + part_finish(lead, part))
        cost = self._own_cost(finish) + harm + sum(delayed.values()) + self._lead_cost(lead)
        cost += ENGINE_COST * self._value * (count - 1)
        others = [state for state in chosen if state is not lead]
        others.sort(key=self._free, reverse=True)
        holds = self._holds(lead, others)
        if holds is None:
            cost += NO_MEMORY_COST * self._value
        return _Candidate(cost, finish, (lead, *others), holds or ())

    def _delay(self, state: EngineState, part: float) -> float:
        return sum(delay_harm(state, part, self._now).values())

    def _own_cost(self, finish: float) -> float:
        late = lateness(finish, self._allowed) if self._allowed > 0 else 1.0
        objective = self._request.route.objective.total_seconds()
        return self._value * (LATE_SHARE * late + WAIT_COST * finish / objective)

    def _lead_cost(self, state: EngineState) -> float:
        work = state.work
        cost = self._value * self._preference(work)
        waiting = max(0, work.leads - work.slots + 1)
        cost += self._value * FULL_COST * waiting
        return cost

    def _free(self, state: EngineState) -> float:
        return self._profile.memory_tokens * MEMORY_SHARE - state.work.tokens

    def _holds(self, lead: EngineState, others: list[EngineState]) -> tuple[int, ...] | None:
        """Return the tokens that other engines keep, even parts of the prompt, or None.

        `others` are in the order of their free memory. Even parts make the steps of the lead
        shortest, which cost the context of the largest part.
        """
        if self._size.total <= self._free(lead):
            return ()
        for holders in range(1, min(MAX_HOLDERS, len(others)) + 1):
            part = -(-self._size.prompt // (holders + 1))
            rest = self._size.total - part * holders
            if rest <= self._free(lead) and part <= self._free(others[holders - 1]):
                return (part,) * holders
        return None


def _helpers(way: _Candidate) -> tuple[Helper, ...]:
    holds = way.holds + (0,) * (len(way.engines) - 1 - len(way.holds))
    pairs = zip(way.engines[1:], holds, strict=True)
    return tuple(Helper(state.work.target, tokens) for state, tokens in pairs)


def _least_used(works: list[TargetWork]) -> list[TargetWork]:
    least = min(work.leads for work in works)
    return [work for work in works if work.leads == least]


def _window(works: list[TargetWork], key: str) -> list[TargetWork]:
    """Return up to `MAX_COMPARED` targets that follow each other from a place given by a key."""
    if len(works) <= MAX_COMPARED:
        return works
    start = hash(key) % len(works)
    return (works[start:] + works[:start])[:MAX_COMPARED]
