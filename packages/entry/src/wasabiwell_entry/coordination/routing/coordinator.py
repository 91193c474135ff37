"""Selects targets by the configured policy."""

import heapq
from collections.abc import Callable

import xxhash

from wasabiwell_entry.coordination.routing.const import (
    LONG_BACKLOG_COST,
    LONG_BACKLOG_TOKENS,
    LONG_PREFILL_SHARE,
    LOST_TARGET_BACKOFF,
    MAX_CANDIDATES,
    MAX_COMPARED_ENGINES,
    MAX_LONG_WAIT_SHARE,
    OCCUPIED_SLOT_COST,
    PREFIX_BLOCK_TOKENS,
    REMOTE_ZONE_COST,
    REMOTE_ZONE_PENALTY,
    SILENCE_COST,
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
    """Selects targets for one entry instance in the zone `zone`."""

    __slots__ = ("_clock", "_evacuated_zones", "_policy", "_round_robin_index", "_targets", "_zone")

    def __init__(
        self,
        targets: TargetTable,
        zone: str,
        clock: Clock,
        policy: Policy | None = None,
        evacuated_zones: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Take a function that returns the zones whose targets get no new requests."""
        self._evacuated_zones = evacuated_zones
        self._targets = targets
        self._zone = zone
        self._clock = clock
        self._policy = policy or LoadAware()
        self._round_robin_index = 0

    @property
    def policy(self) -> Policy:
        """Return the configured policy."""
        return self._policy

    def choose(self, service: str, excluded: frozenset[str]) -> TargetStatus | NoTarget:
        """Return the target that should take the next request of a service."""
        usable = self.usable(service, excluded)
        if isinstance(usable, NoTarget):
            return usable
        match self._policy:
            case RoundRobin():
                self._round_robin_index += 1
                ordered = sorted(usable, key=lambda status: status.target.target_id)
                return ordered[self._round_robin_index % len(ordered)]
            case LeastOutstanding(remote_zone_penalty=penalty):
                return min(usable, key=lambda status: self._plain_cost(status, penalty))
            case LoadAware():
                return min(usable, key=lambda item: self._plain_cost(item, REMOTE_ZONE_PENALTY))

    def usable(self, service: str, excluded: frozenset[str]) -> list[TargetStatus] | NoTarget:
        """Return the targets of a service that take new work."""
        return self._filter_usable(service, self._targets.of_service(service), excluded)

    def candidates(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        """Return the usable ones of at most `MAX_COMPARED_ENGINES` engines to compare.

        Requests with the same prefix compare the same engines, so that they share a prefix cache.
        If none of these engines is usable, all usable engines of the service are returned.
        """
        start = request.prefix_hashes[0] if request.prefix_hashes else _hash(request.request_id)
        window = self._targets.window(request.service, start, MAX_COMPARED_ENGINES)
        usable = self._filter_usable(request.service, window, excluded)
        if isinstance(usable, NoTarget) and len(window) == MAX_COMPARED_ENGINES:
            return self.usable(request.service, excluded)
        return usable

    def _filter_usable(
        self, service: str, statuses: list[TargetStatus], excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        if not statuses:
            return NoTarget(f"no target of service {service} is known")
        evacuated = self._evacuated_zones()
        in_service = [status for status in statuses if status.target.zone not in evacuated]
        usable = [
            status
            for status in in_service
            if self._usable(status) and status.target.target_id not in excluded
        ]
        if not in_service:
            return NoTarget(f"all targets of service {service} are in evacuated zones")
        if not usable:
            return NoTarget(f"no target of service {service} takes new work")
        return usable

    def rank(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> list[TargetStatus] | NoTarget:
        """Return the engines with the lowest costs for a request, the lowest first."""
        usable = self.candidates(request, excluded)
        if isinstance(usable, NoTarget):
            return usable
        if request.size is SizeClass.LONG:
            usable = self._long_candidates(request, usable)
            if not usable:
                return NoTarget("the limit of engines that process long prompts is reached")
        costs = [(self._engine_cost(request, status), status.target.target_id) for status in usable]
        status_by_id = {status.target.target_id: status for status in usable}
        return [status_by_id[target_id] for _, target_id in heapq.nsmallest(MAX_CANDIDATES, costs)]

    def _long_candidates(
        self, request: GenerateRequest, usable: list[TargetStatus]
    ) -> list[TargetStatus]:
        """Return the engines that may take a long prompt.

        Once `LONG_PREFILL_SHARE` of the engines have long prompts in prefill, these are the only
        ones, so that short prompts are not delayed on further engines. A prompt that has waited
        for `MAX_LONG_WAIT_SHARE` of its time may use all engines.
        """
        now = self._clock.monotonic()
        if now > request.received + MAX_LONG_WAIT_SHARE * (request.deadline - request.received):
            return usable
        long_prefill_engines = [
            status
            for status in usable
            if status.load is not None
            and estimate_engine(status, status.load, now).prefill_tokens > LONG_BACKLOG_TOKENS
        ]
        if len(long_prefill_engines) < max(1, int(len(usable) * LONG_PREFILL_SHARE)):
            return usable
        return long_prefill_engines

    def _usable(self, status: TargetStatus) -> bool:
        if status.leaving:
            return False
        if status.lost_at is None:
            return True
        return self._clock.monotonic() - status.lost_at > LOST_TARGET_BACKOFF

    def _plain_cost(self, status: TargetStatus, remote_zone_penalty: float) -> tuple[float, str]:
        penalty = 0.0 if status.target.zone == self._zone else remote_zone_penalty
        return status.outstanding + penalty, status.target.target_id

    def _engine_cost(self, request: GenerateRequest, status: TargetStatus) -> float:
        if status.load is None:
            return SILENCE_COST
        estimate = estimate_engine(status, status.load, self._clock.monotonic())
        cost = float(SILENCE_COST if estimate.silent else 0)
        cost += 0 if status.target.zone == self._zone else REMOTE_ZONE_COST
        if request.size is SizeClass.LONG:
            # Packing long prompts on the fullest engines leaves more engines to short ones.
            return cost + estimate.free_tokens
        cost += request.prompt_tokens - _cached_tokens(request, status)
        cost += OCCUPIED_SLOT_COST * max(0, status.load.slots - estimate.free_slots)
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
