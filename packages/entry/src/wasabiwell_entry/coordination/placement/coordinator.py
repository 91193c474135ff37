"""Chooses the targets of a request."""

from dataclasses import replace
from random import Random

import xxhash

from wasabiwell_entry.coordination.fairness import FairSharing
from wasabiwell_entry.coordination.fairness.errors import Ordered, Rejected, Sufficient
from wasabiwell_entry.coordination.pacing.const import RECOVERING_PREFERENCE
from wasabiwell_entry.coordination.placement.const import (
    CROSS_ZONE_COST_THRESHOLD,
    EVACUATED_RETRY_AFTER,
    FAILURE_RATE_COST,
    MAX_COMPARED_TARGETS,
    MAX_JITTER_COST,
    REMOTE_ZONE_COST,
    RETRY_AFTER_SPREAD,
    SHORT_URGENCY_GAP,
    SUSPECT_TARGETS_SHARE,
    URGENCY_LONG,
    URGENCY_RESUMED,
    URGENCY_SHORT,
)
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.placement.estimate import engine_state
from wasabiwell_entry.coordination.placement.ports import (
    NoPacing,
    TargetHealthPort,
    TargetPacingPort,
    ZoneLocalityPort,
)
from wasabiwell_entry.coordination.placement.search import PlacementCandidate, PromptSearch
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.forwarding import ForwardedRequest, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.state.work import TargetWork, WorkTable, request_value


class Placer:
    """Places requests for one entry instance in the zone `zone`."""

    __slots__ = (
        "_clock",
        "_health",
        "_pacing",
        "_random",
        "_sharing",
        "_works",
        "_zone",
        "_zone_locality",
    )

    def __init__(
        self,
        works: WorkTable,
        health: TargetHealthPort,
        zone_locality: ZoneLocalityPort,
        zone: str,
        clock: Clock,
        random: Random | None = None,
        pacing: TargetPacingPort | None = None,
        sharing: FairSharing | None = None,
    ) -> None:
        self._works = works
        self._health = health
        self._zone_locality = zone_locality
        self._zone = zone
        self._clock = clock
        self._random = random or Random()
        self._pacing = pacing or NoPacing()
        self._sharing = sharing

    def place(
        self,
        request: ForwardedRequest,
        excluded: frozenset[str],
        resumed: bool = False,
        suspected: bool = False,
    ) -> Placement | NoPlacement:
        """Return the targets for a request; `excluded` are ids of targets on which it failed.

        A suspected request, during which a target crashed, is placed on one of the targets with the
        fewest other requests. The hash of its fingerprint selects it, so that two suspected
        requests rarely share a target and the crash of one is not counted against the other.
        """
        usable = self._usable_targets(request, excluded)
        if not usable:
            return self._no_placement(request)
        works = self._pacing.admitted(usable)
        if not works:
            return self._rejected_by_pacing(request, usable)
        best = self._place(request, works, resumed, suspected)
        placement = self._shared(request, best, works, resumed, may_reject=not excluded)
        if isinstance(placement, Placement):
            self._pacing.take([placement.target, *(item.target for item in placement.helpers)])
        return placement

    def _place(
        self, request: ForwardedRequest, works: list[TargetWork], resumed: bool, suspected: bool
    ) -> Placement:
        """Return the best of the admitted targets, `works`, for a request."""
        now = self._clock.monotonic().total_seconds()
        size, profile = request.size, works[0].profile
        suspect_target = _suspect_target(works, request.fingerprint) if suspected else None
        if size is None or profile is None:
            if suspect_target is not None:
                return Placement(suspect_target.target, (), URGENCY_SHORT, 0.0)
            return self._place_plain_request(request, _comparison_window(works, request.request_id))
        best = self._best(request, size, profile, works, suspect_target, now)
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

    def _shared(
        self,
        request: ForwardedRequest,
        placement: Placement,
        works: list[TargetWork],
        resumed: bool,
        may_reject: bool,
    ) -> Placement | NoPlacement:
        """Return a placement as fair sharing orders or rejects it while capacity is short.

        Only the first attempt may be rejected: a later one may belong to a request that ran. The
        slots of targets that pacing leaves out are no capacity.
        """
        lead = self._works.get(placement.target.target_id)
        if self._sharing is None or resumed or lead is None:
            return placement
        engines = 1 + len(placement.helpers)
        match self._sharing.decide(request, lead, works, engines, may_reject):
            case Ordered(urgency=urgency):
                return replace(placement, urgency=urgency)
            case Rejected(reason=reason, retry_after=retry_after):
                return NoPlacement(reason, retry_after)
            case Sufficient():
                return placement

    def _best(
        self,
        request: ForwardedRequest,
        size: PromptSize,
        profile: EngineProfile,
        works: list[TargetWork],
        lead: TargetWork | None,
        now: float,
    ) -> PlacementCandidate:
        """Return the cheapest candidate in the local zone, or the cheapest one with a given lead.

        All zones are compared when the local one has no target, when zones do not serve their own
        requests, or when the local candidate costs too much.
        """
        allowed = max(0.0, request.route.objective.total_seconds() - self._elapsed(request, now))
        short_requests = self._works.arrival_stats(request.service, now)

        def search(compared: list[TargetWork]) -> PlacementCandidate:
            states = [
                engine_state(work, now, self._target_cost(work, request)) for work in compared
            ]
            return PromptSearch(
                request, size, profile, states, allowed, now, short_requests, lead is not None
            ).best()

        if lead is not None:
            window = _comparison_window(works, request.request_id)
            return search([lead, *(work for work in window if work is not lead)])
        local = [work for work in works if work.target.zone == self._zone]
        if not local or not self._zone_locality.in_use(request.service):
            return search(_comparison_window(works, request.request_id))
        best = search(_comparison_window(local, request.request_id))
        if best.cost <= CROSS_ZONE_COST_THRESHOLD * request_value(size, profile):
            return best
        return min(
            best, search(_comparison_window(works, request.request_id)), key=lambda item: item.cost
        )

    def would_take(self, request: ForwardedRequest, excluded: frozenset[str]) -> bool:
        """Return whether a target that is not excluded is known to take the request at once."""
        works = self._pacing.admitted(self._healthy_targets(request, excluded))
        if not works:
            return False
        size, profile = request.size, works[0].profile
        if size is None or profile is None:
            return any(work.occupied_slots < work.slots for work in works)
        now = self._clock.monotonic().total_seconds()
        return self._best(request, size, profile, works, None, now).fits

    def expected_pause(self, target_id: str) -> float:
        """Return the longest pause to expect now between events from a target, in seconds."""
        work = self._works.get(target_id)
        if work is None:
            return 0.0
        state = engine_state(work, self._clock.monotonic().total_seconds())
        return state.iteration_seconds + state.pending_prefill

    def _elapsed(self, request: ForwardedRequest, now: float) -> float:
        return now - request.received.total_seconds()

    def _usable_targets(
        self, request: ForwardedRequest, excluded: frozenset[str]
    ) -> list[TargetWork]:
        """Return the healthy targets, or all listed ones when none is healthy.

        A target that returns from a pause for which it has asked is left out by chance, less and
        less often, unless there is no other.
        """
        healthy = self._healthy_targets(request, excluded)
        with_share = [work for work in healthy if self._gets_share(work.target)]
        return (
            with_share
            or healthy
            or [
                work
                for work in self._works.of_service(request.service)
                if work.target.target_id not in excluded and self._health.listed(work.target)
            ]
        )

    def _healthy_targets(
        self, request: ForwardedRequest, excluded: frozenset[str]
    ) -> list[TargetWork]:
        return [
            work
            for work in self._works.of_service(request.service)
            if work.target.target_id not in excluded and self._health.usable(work.target)
        ]

    def _gets_share(self, target: Target) -> bool:
        share = self._health.share(target)
        return share >= 1.0 or self._random.random() < share

    def _rejected_by_pacing(
        self, request: ForwardedRequest, works: list[TargetWork]
    ) -> NoPlacement:
        wait = self._pacing.reject(request.request_id, works)
        return NoPlacement(
            f"the {len(works)} usable targets of service {request.service} are cold",
            wait * self._retry_spread(),
        )

    def _no_placement(self, request: ForwardedRequest) -> NoPlacement:
        """Return a refusal with the time until the first pause ends that a target asked for."""
        works = self._works.of_service(request.service)
        if works and all(self._health.evacuated(work.target) for work in works):
            message = f"all targets of service {request.service} are in evacuated zones"
            return NoPlacement(message, EVACUATED_RETRY_AFTER * self._retry_spread())
        message = f"no target of service {request.service} takes new work"
        pauses = [pause for work in works if (pause := self._health.requested_pause(work.target))]
        if not pauses:
            return NoPlacement(message)
        shortest = min(pauses) * self._retry_spread()
        return NoPlacement(f"{message}: {len(pauses)} asked for a pause", shortest)

    def _retry_spread(self) -> float:
        return 1.0 + RETRY_AFTER_SPREAD * self._random.random()

    def _place_plain_request(self, request: ForwardedRequest, works: list[TargetWork]) -> Placement:
        chosen = min(works, key=lambda work: self._plain_cost(work, request))
        return Placement(chosen.target, (), URGENCY_SHORT, 0.0)

    def _plain_cost(self, work: TargetWork, request: ForwardedRequest) -> tuple[float, str]:
        load = len(work.requests) / work.slots
        return load + self._target_cost(work, request), work.target.target_id

    def _target_cost(self, work: TargetWork, request: ForwardedRequest) -> float:
        """Return the cost of a target regardless of its load, as a ratio of the request's value."""
        zone_cost = 0.0 if work.target.zone == self._zone else REMOTE_ZONE_COST
        failure_cost = FAILURE_RATE_COST * self._health.failure_rate(work.target)
        short = request.size is None or request.route.event_gap <= SHORT_URGENCY_GAP
        preference = RECOVERING_PREFERENCE if short and self._pacing.preferred(work) else 0.0
        return zone_cost + failure_cost - preference + MAX_JITTER_COST * self._random.random()


def _suspect_target(works: list[TargetWork], fingerprint: str) -> TargetWork:
    """Return the target for a suspected request among the least loaded ones, by hash."""
    ordered = sorted(works, key=lambda work: work.occupied_slots)
    count = max(1, round(len(works) * SUSPECT_TARGETS_SHARE))
    least = ordered[0].occupied_slots
    candidates = [
        work for index, work in enumerate(ordered) if index < count or work.occupied_slots == least
    ]
    return max(
        candidates,
        key=lambda work: xxhash.xxh3_64_intdigest(
            f"{fingerprint} {work.target.target_id}".encode()
        ),
    )


def _comparison_window(works: list[TargetWork], key: str) -> list[TargetWork]:
    """Return up to `MAX_COMPARED_TARGETS` consecutive targets; the hash of `key` is the start."""
    if len(works) <= MAX_COMPARED_TARGETS:
        return works
    start = xxhash.xxh3_64_intdigest(key.encode()) % len(works)
    return (works[start:] + works[:start])[:MAX_COMPARED_TARGETS]
