"""Chooses targets by the policy in force."""

import heapq

import xxhash

from wasabiwell_entry.coordination.routing.const import (
    LONG_BACKLOG_COST,
    LONG_BACKLOG_TOKENS,
    LONG_PREFILL_SHARE,
    LONG_WAIT_SHARE,
    LOST_TARGET_PAUSE,
    MAX_CANDIDATES,
    MAX_COMPARED,
    PREFIX_BLOCK_TOKENS,
    REMOTE_ZONE_COST,
    REMOTE_ZONE_PENALTY,
    SILENCE_COST,
    SLOT_COST,
)
from wasabiwell_entry.coordination.routing.errors import NoTarget
from wasabiwell_entry.coordination.routing.estimate import estimate_engine
from wasabiwell_entry.coordination.routing.policies import (
    LeastOutstanding,
    LoadAware,
    Policy,
    RoundRobin,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.requests import GenerateRequest
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import TargetStatus, TargetTable


class Router:
    """Chooses targets for one entry instance in the zone `zone`."""

    __slots__ = ("_clock", "_policy", "_targets", "_turn", "_zone")

    def __init__(
        self, targets: TargetTable, zone: str, clock: Clock, policy: Policy | None = None
    ) -> None:
        self._targets = targets
        self._zone = zone
        self._clock = clock
        self._policy = policy or LoadAware()
        self._turn = 0

    @property
    def policy(self) -> Policy:
        """Return the policy in force."""
        return self._policy

    def choose(self, service: str, excluded: frozenset[str]) -> TargetStatus | NoTarget:
        """Return the target that should take the next request of a service."""
        usable = self.usable(service, excluded)
        if isinstance(usable, NoTarget):
            return usable
        match self._policy:
            case RoundRobin():
                self._turn += 1
                ordered = sorted(usable, key=lambda status: status.target.target_id)
                return ordered[self._turn % len(ordered)]
            case LeastOutstanding(remote_zone_penalty=penalty):
                return min(usable, key=lambda status: self._outstanding(status, penalty))
            case LoadAware():
                return min(usable, key=lambda item: self._outstanding(item, REMOTE_ZONE_PENALTY))

    def usable(self, service: str, excluded: frozenset[str]) -> list[TargetStatus] | NoTarget:
        """Return the targets of a service that take new work."""
        return self._filter(service, self._targets.of_service(service), excluded)

    def candidates(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        """Return the engines that are compared for a request, a bounded number.

        Requests with one prefix compare the same engines, so that they meet in one cache.
        """
        start = request.prefix_hashes[0] if request.prefix_hashes else _hash(request.request_id)
        window = self._targets.window(request.service, start, MAX_COMPARED)
        usable = self._filter(request.service, window, excluded)
        if isinstance(usable, NoTarget) and len(window) == MAX_COMPARED:
            return self.usable(request.service, excluded)
        return usable

    def _filter(
        self, service: str, statuses: list[TargetStatus], excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        if not statuses:
            return NoTarget(f"no target of service {service} is known")
        fresh = [
            status
            for status in statuses
            if self._usable(status) and status.target.target_id not in excluded
        ]
        if not fresh:
            return NoTarget(f"no target of service {service} takes new work")
        return fresh

    def rank(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        """Return the best engines for a request, the best first."""
        usable = self.candidates(request, excluded)
        if isinstance(usable, NoTarget):
            return usable
        if request.size is SizeClass.LONG:
            usable = self._long_candidates(request, usable)
            if not usable:
                return NoTarget("enough engines process long prompts")
        costs = [(self._cost(request, status), status.target.target_id) for status in usable]
        by_id = {status.target.target_id: status for status in usable}
        return [by_id[target_id] for _, target_id in heapq.nsmallest(MAX_CANDIDATES, costs)]

    def _long_candidates(
        self, request: GenerateRequest, usable: list[TargetStatus]
    ) -> list[TargetStatus]:
        """Return the engines that may take a long prompt without delaying more short ones."""
        now = self._clock.monotonic()
        if now > request.received + LONG_WAIT_SHARE * (request.deadline - request.received):
            return usable
        busy = [
            status
            for status in usable
            if status.load is not None
            and estimate_engine(status, status.load, now).prefill_tokens > LONG_BACKLOG_TOKENS
        ]
        if len(busy) < max(1, int(len(usable) * LONG_PREFILL_SHARE)):
            return usable
        return busy

    def _usable(self, status: TargetStatus) -> bool:
        if status.leaving:
            return False
        if status.lost_at is None:
            return True
        return self._clock.monotonic() - status.lost_at > LOST_TARGET_PAUSE

    def _outstanding(self, status: TargetStatus, remote_zone_penalty: float) -> tuple[float, str]:
        penalty = 0.0 if status.target.zone == self._zone else remote_zone_penalty
        return status.outstanding + penalty, status.target.target_id

    def _cost(self, request: GenerateRequest, status: TargetStatus) -> float:
        if status.load is None:
            return SILENCE_COST
        estimate = estimate_engine(status, status.load, self._clock.monotonic())
        cost = float(SILENCE_COST if estimate.silent else 0)
        cost += 0 if status.target.zone == self._zone else REMOTE_ZONE_COST
        if request.size is SizeClass.LONG:
            # Longs are packed on engines that already hold much, so that few engines delay shorts.
            return cost + estimate.free_tokens
        cost += request.prompt_tokens - _cached_tokens(request, status)
        cost += SLOT_COST * max(0, status.load.slots - estimate.free_slots)
        if estimate.prefill_tokens <= LONG_BACKLOG_TOKENS or request.size is SizeClass.MEDIUM:
            return cost + estimate.prefill_tokens
        return cost + LONG_BACKLOG_TOKENS + LONG_BACKLOG_COST


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _cached_tokens(request: GenerateRequest, status: TargetStatus) -> int:
    blocks = 0
    for block in request.prefix_hashes:
        if block not in status.cached_prefixes:
            break
        blocks += 1
    return min(blocks * PREFIX_BLOCK_TOKENS, request.prompt_tokens)
