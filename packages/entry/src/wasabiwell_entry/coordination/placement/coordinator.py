"""Chooses the targets of a request."""

from random import Random

import xxhash

from wasabiwell_entry.coordination.placement.const import (
    CROSS_ZONE_SHARE,
    FAILURE_COST,
    MAX_COMPARED,
    REMOTE_ZONE_COST,
    SHORT_URGENCY_GAP,
    SPREAD_COST,
    URGENCY_LONG,
    URGENCY_RESUMED,
    URGENCY_SHORT,
)
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.estimate import engine_state
from wasabiwell_entry.coordination.placement.ports import CellPort, TargetHealthPort
from wasabiwell_entry.coordination.placement.search import PromptSearch, Way
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.forwarding import ForwardedRequest, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import TargetWork, WorkTable, request_value


class Placer:
    """Places requests for one entry instance in the zone `zone`."""

    __slots__ = ("_cells", "_clock", "_health", "_random", "_works", "_zone")

    def __init__(
        self,
        works: WorkTable,
        health: TargetHealthPort,
        cells: CellPort,
        zone: str,
        clock: Clock,
        random: Random | None = None,
    ) -> None:
        self._works = works
        self._health = health
        self._cells = cells
        self._zone = zone
        self._clock = clock
        self._random = random or Random()

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
            return self._place_plain(_window(works, request.request_id))
        if suspected:
            works = _least_used(works)
        best = self._best(request, size, profile, works, now)
        urgency = URGENCY_LONG
        if request.route.event_gap <= SHORT_URGENCY_GAP:
            urgency = URGENCY_SHORT
        if resumed:
            urgency = URGENCY_RESUMED
        return Placement(
            target=best.engines[0].work.target,
            helpers=best.helpers,
            urgency=urgency,
            expected_seconds=best.finish,
        )

    def _best(
        self,
        request: ForwardedRequest,
        size: PromptSize,
        profile: EngineProfile,
        works: list[TargetWork],
        now: float,
    ) -> Way:
        """Return the cheapest way in the own zone, or in all zones when that one costs much."""
        allowed = max(0.0, request.route.objective.total_seconds() - self._waited(request, now))
        rate = self._works.arrival_stats(request.service, now)

        def search(compared: list[TargetWork]) -> Way:
            states = [engine_state(work, now, self._preference(work)) for work in compared]
            return PromptSearch(request, size, profile, states, allowed, now, rate).best()

        near = [work for work in works if work.target.zone == self._zone]
        if not near or not self._cells.in_use(request.service):
            return search(_window(works, request.request_id))
        best = search(_window(near, request.request_id))
        if best.cost <= CROSS_ZONE_SHARE * request_value(size, profile):
            return best
        return min(best, search(_window(works, request.request_id)), key=lambda way: way.cost)

    def expected_pause(self, target_id: str) -> float:
        """Return how long the sequences written on a target may pause now, in seconds."""
        work = self._works.get(target_id)
        if work is None:
            return 0.0
        state = engine_state(work, self._clock.monotonic().total_seconds())
        return state.iteration_seconds + state.pending

    def _waited(self, request: ForwardedRequest, now: float) -> float:
        return now - request.received.total_seconds()

    def _usable(self, request: ForwardedRequest, excluded: frozenset[str]) -> list[TargetWork]:
        """Return the targets that are well, or else any that is listed."""
        works = [
            work
            for work in self._works.of_service(request.service)
            if work.target.target_id not in excluded
        ]
        well = [work for work in works if self._health.usable(work.target)]
        return well or [work for work in works if self._health.listed(work.target)]

    def _place_plain(self, works: list[TargetWork]) -> Placement:
        chosen = min(works, key=self._plain_cost)
        return Placement(chosen.target, (), URGENCY_SHORT, 0.0)

    def _plain_cost(self, work: TargetWork) -> tuple[float, str]:
        load = len(work.requests) / work.slots
        return load + self._preference(work), work.target.target_id

    def _preference(self, work: TargetWork) -> float:
        """Return the cost of a target for itself, in parts of a request's value."""
        remote = 0.0 if work.target.zone == self._zone else REMOTE_ZONE_COST
        failures = FAILURE_COST * self._health.failure_rate(work.target)
        return remote + failures + SPREAD_COST * self._random.random()


def _least_used(works: list[TargetWork]) -> list[TargetWork]:
    least = min(work.occupied_slots for work in works)
    return [work for work in works if work.occupied_slots == least]


def _window(works: list[TargetWork], key: str) -> list[TargetWork]:
    """Return up to `MAX_COMPARED` targets that follow each other from a place given by a key."""
    if len(works) <= MAX_COMPARED:
        return works
    start = xxhash.xxh3_64_intdigest(key.encode()) % len(works)
    return (works[start:] + works[:start])[:MAX_COMPARED]
