"""Admits requests to targets: placement, and memory over several engines for long prompts."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

from wasabiwell_entry.coordination.admission.const import (
    ENGINE_MEMORY_SHARE,
    NO_TARGET_RETRY_AFTER,
    PRIORITIES,
)
from wasabiwell_entry.coordination.admission.errors import ReservationRefused, Reserved
from wasabiwell_entry.coordination.admission.ports import ReservationPort
from wasabiwell_entry.coordination.dispatch.ports import Placement
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.routing.errors import NoTarget
from wasabiwell_entry.state.outcomes import Reason, Refused
from wasabiwell_entry.state.requests import GenerateRequest, ServiceCall, Shard
from wasabiwell_entry.state.targets import Target, TargetStatus, TargetTable

RELEASE_TIMEOUT_SECONDS = 1.0


class AdmissionCoordinator:
    """Places the requests of one entry instance."""

    __slots__ = ("_reservations", "_router", "_targets")

    def __init__(self, router: Router, targets: TargetTable, reservations: ReservationPort) -> None:
        self._router = router
        self._targets = targets
        self._reservations = reservations

    @asynccontextmanager
    async def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[Placement | Refused]:
        """Place a request on an engine, or on several when its prompt is too large for one."""
        chosen = self._router.choose(request.service, excluded)
        if isinstance(chosen, NoTarget):
            yield _no_target(chosen)
            return
        needed = self._further_engines(request, chosen, excluded)
        if isinstance(needed, Refused):
            yield needed
            return
        async with self._reserve_all(request, needed) as shards:
            if isinstance(shards, Refused):
                yield shards
                return
            with _outstanding(chosen):
                yield Placement(chosen.target, PRIORITIES[request.size], shards=shards)

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

    @asynccontextmanager
    async def _reserve_all(
        self, request: GenerateRequest, parts: list[tuple[Target, int]]
    ) -> AsyncIterator[tuple[Shard, ...] | Refused]:
        """Hold memory on all engines, taken in the order of their ids, or on none."""
        held: list[tuple[Target, Shard]] = []
        try:
            for target, tokens in parts:
                match await self._reservations.reserve(target, request.request_id, tokens):
                    case Reserved(reservation_id=reservation_id):
                        shard = Shard(target.target_id, target.address, reservation_id, tokens)
                        held.append((target, shard))
                    case ReservationRefused(reason=reason):
                        yield Refused(Reason.NO_CAPACITY, reason, NO_TARGET_RETRY_AFTER)
                        return
            yield tuple(shard for _, shard in held)
        finally:
            with trio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
                for target, shard in held:
                    await self._reservations.release(target, shard.reservation_id)


@contextmanager
def _outstanding(status: TargetStatus) -> Iterator[None]:
    status.outstanding += 1
    try:
        yield
    finally:
        status.outstanding -= 1


def _no_target(no_target: NoTarget) -> Refused:
    return Refused(Reason.NO_TARGET, no_target.reason, NO_TARGET_RETRY_AFTER)
