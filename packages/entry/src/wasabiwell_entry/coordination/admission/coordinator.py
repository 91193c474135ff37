"""Admits requests to targets: placement, and capacity held for the time of the request."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

from wasabiwell_entry.coordination.admission.const import (
    CAPACITY_WAIT,
    ENGINE_MEMORY_SHARE,
    NO_TARGET_RETRY_AFTER,
    PRIORITIES,
)
from wasabiwell_entry.coordination.admission.ports import CapacityPort, Hold, NoCapacity
from wasabiwell_entry.coordination.dispatch.ports import Placement
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.routing.errors import NoTarget
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import Reason, Refused
from wasabiwell_entry.state.requests import GenerateRequest, ServiceCall, Shard
from wasabiwell_entry.state.targets import Target, TargetStatus, TargetTable


class AdmissionCoordinator:
    """Places the requests of one entry instance."""

    __slots__ = ("_capacity", "_changed", "_clock", "_router", "_targets")

    def __init__(
        self, router: Router, targets: TargetTable, capacity: CapacityPort, clock: Clock
    ) -> None:
        self._router = router
        self._targets = targets
        self._capacity = capacity
        self._clock = clock
        self._changed = trio.Event()
        capacity.on_change(self._note_change)

    @asynccontextmanager
    async def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[Placement | Refused]:
        """Place a request on an engine, or on several when its prompt is too large for one."""
        placed = await self._wait_for_holds(request, excluded)
        if isinstance(placed, Refused):
            yield placed
            return
        chosen, holds = placed
        try:
            with _outstanding(chosen):
                yield self._placement(chosen, holds, request)
        finally:
            for hold in holds:
                self._capacity.release(hold)

    @asynccontextmanager
    async def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AsyncIterator[Target | Refused]:
        """Choose a target of a plain service."""
        chosen = self._router.choose(call.service, excluded)
        if isinstance(chosen, NoTarget):
            yield _no_target(chosen)
            return
        with _outstanding(chosen):
            yield chosen.target

    def _further_engines(
        self, request: GenerateRequest, lead: TargetStatus, excluded: frozenset[str]
    ) -> list[tuple[Target, int]] | Refused:
        """Return the engines that must hold what the lead cannot, with their tokens."""
        if lead.load is None:
            return []
        share = int(lead.load.total_tokens * ENGINE_MEMORY_SHARE)
        rest = request.memory_tokens - share
        parts: list[tuple[Target, int]] = []
        for status in sorted(
            self._targets.of_service(request.service), key=lambda item: item.target.target_id
        ):
            if rest <= 0:
                break
            if status is lead or status.leaving or status.load is None:
                continue
            if status.target.target_id in excluded:
                continue
            tokens = min(rest, int(status.load.total_tokens * ENGINE_MEMORY_SHARE))
            parts.append((status.target, tokens))
            rest -= tokens
        if rest > 0:
            return Refused(Reason.PROMPT_TOO_LONG, "the prompt does not fit the engines' memory")
        return parts

    async def _wait_for_holds(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> tuple[TargetStatus, tuple[Hold, ...]] | Refused:
        """Hold capacity for a request, waiting for it until the deadline."""
        remaining = request.deadline - self._clock.monotonic()
        with trio.move_on_after(max(0.0, remaining.total_seconds())):
            while True:
                changed = self._changed
                chosen = self._router.choose(request.service, excluded)
                if isinstance(chosen, NoTarget):
                    return _no_target(chosen)
                held = await self._hold(request, chosen, excluded)
                if not isinstance(held, NoCapacity):
                    return held
                with trio.move_on_after(CAPACITY_WAIT.total_seconds()):
                    await changed.wait()
        return Refused(Reason.NO_CAPACITY, "no engine has capacity", NO_TARGET_RETRY_AFTER)

    async def _hold(
        self, request: GenerateRequest, chosen: TargetStatus, excluded: frozenset[str]
    ) -> tuple[TargetStatus, tuple[Hold, ...]] | Refused | NoCapacity:
        """Hold one engine, or several when the prompt is too large for one."""
        parts = self._further_engines(request, chosen, excluded)
        if isinstance(parts, Refused):
            return parts
        if parts:
            lead = request.memory_tokens - sum(tokens for _, tokens in parts)
            wanted = [(chosen.target.target_id, lead)]
            wanted += [(target.target_id, tokens) for target, tokens in parts]
            holds = await self._capacity.hold_all(wanted, request.size)
            return holds if isinstance(holds, NoCapacity) else (chosen, holds)
        status: TargetStatus | NoTarget = chosen
        tried = excluded
        while not isinstance(status, NoTarget):
            target_id = status.target.target_id
            hold = self._capacity.try_hold(target_id, request.memory_tokens, request.size)
            if isinstance(hold, Hold):
                return status, (hold,)
            tried = tried | {target_id}
            status = self._router.choose(request.service, tried)
        self._capacity.request(chosen.target.target_id, request.memory_tokens, request.size)
        return NoCapacity("no engine has capacity")

    def _placement(
        self, chosen: TargetStatus, holds: tuple[Hold, ...], request: GenerateRequest
    ) -> Placement:
        lead = chosen.target.target_id
        reservation_id = next(hold.reservation_id for hold in holds if hold.target_id == lead)
        shards = tuple(
            Shard(hold.target_id, status.target.address, hold.reservation_id, hold.tokens)
            for hold in holds
            if hold.target_id != lead and (status := self._targets.get(hold.target_id)) is not None
        )
        return Placement(chosen.target, PRIORITIES[request.size], reservation_id, shards)

    def _note_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


@contextmanager
def _outstanding(status: TargetStatus) -> Iterator[None]:
    status.outstanding += 1
    try:
        yield
    finally:
        status.outstanding -= 1


def _no_target(no_target: NoTarget) -> Refused:
    return Refused(Reason.NO_TARGET, no_target.reason, NO_TARGET_RETRY_AFTER)
