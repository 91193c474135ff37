"""Admission control: organisation limits, fair queueing, engine choice and capacity holds."""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from datetime import timedelta

import trio
from wasabiwell_config import Organisation

from wasabiwell_entry.coordination.admission.const import (
    AGEING_THRESHOLDS,
    MIN_RETRY_AFTER,
    NO_TARGET_RETRY_AFTER,
    PRIORITIES,
    RELEASE_TIMEOUT,
    SCAN_LIMIT,
)
from wasabiwell_entry.coordination.admission.errors import (
    DeadlineUnreachable,
    QueueFull,
)
from wasabiwell_entry.coordination.admission.load_capacity import long_tokens_available
from wasabiwell_entry.coordination.admission.ports import (
    CapacityPort,
    Hold,
    LimitExceeded,
    LimitPort,
    NoCapacity,
)
from wasabiwell_entry.coordination.admission.queue import FairQueue, QueuedRequest
from wasabiwell_entry.coordination.dispatch.ports import AdmissionGrant
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.coordination.reservations.ports import ReservationPort
from wasabiwell_entry.coordination.routing import Router
from wasabiwell_entry.coordination.routing.errors import NoTarget
from wasabiwell_entry.coordination.routing.estimate import estimate_engine
from wasabiwell_entry.coordination.routing.policies import LoadAware
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.credits import LONG_MEMORY_SHARE
from wasabiwell_entry.state.outcomes import Reason, Refused
from wasabiwell_entry.state.requests import GenerateRequest, ServiceCall, Shard
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import Target, TargetStatus, TargetTable


@dataclass(frozen=True, slots=True)
class AdmissionPorts:
    """Dependencies of admission on other components and layers."""

    reservations: ReservationPort
    capacity: CapacityPort
    limits: LimitPort
    organisation: Callable[[str], Organisation | None]


class AdmissionCoordinator:
    """Assigns the requests of one entry instance to targets."""

    __slots__ = ("_clock", "_ports", "_queues", "_router", "_targets")

    def __init__(
        self, router: Router, targets: TargetTable, ports: AdmissionPorts, clock: Clock
    ) -> None:
        self._router = router
        self._targets = targets
        self._ports = ports
        self._clock = clock
        self._queues: dict[str, FairQueue] = {}
        ports.capacity.on_change(self.capacity_changed)

    @asynccontextmanager
    async def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[AdmissionGrant | Refused]:
        """Wait for capacity on one engine, or on several if the prompt does not fit on one."""
        organisation = self._ports.organisation(request.organisation)
        if organisation is None:
            yield Refused(Reason.FORBIDDEN, f"unknown organisation {request.organisation}")
            return
        async with AsyncExitStack() as stack:
            # A retry uses the limit lease of the first attempt, so that it is counted only once.
            if not excluded:
                limited = await self._acquire_limit_lease(request, organisation, stack)
                if limited is not None:
                    yield limited
                    return
            match self._router.policy:
                case LoadAware():
                    placed = self._admit_queued(request, organisation.weight, excluded)
                case _:
                    placed = self._admit_unqueued(request, excluded)
            yield await stack.enter_async_context(placed)

    @asynccontextmanager
    async def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AsyncIterator[Target | Refused]:
        """Choose a target for a call to a plain service."""
        chosen = self._router.choose(call.service, excluded)
        if isinstance(chosen, NoTarget):
            yield _no_target(chosen)
            return
        with _outstanding(chosen):
            yield chosen.target

    async def _acquire_limit_lease(
        self, request: GenerateRequest, organisation: Organisation, stack: AsyncExitStack
    ) -> Refused | None:
        limits = self._ports.limits
        await limits.ensure_share(organisation, request.size)
        lease = limits.try_acquire(organisation, request.memory_tokens, request.size)
        if isinstance(lease, LimitExceeded):
            message = f"the organisation has reached its limit of {lease.limit}"
            return Refused(Reason.RATE_LIMITED, message, lease.retry_after)
        stack.callback(limits.release_lease, lease)
        return None

    @asynccontextmanager
    async def _admit_queued(
        self, request: GenerateRequest, weight: float, excluded: frozenset[str]
    ) -> AsyncIterator[AdmissionGrant | Refused]:
        refused = self._permanent_refusal(request, excluded)
        if refused is not None:
            yield refused
            return
        queue = self._queues.setdefault(request.service, FairQueue(self._clock))
        queued = queue.enqueue(request, weight, excluded)
        match queued:
            case QueueFull(retry_after=retry_after):
                message = "the organisation has too many queued requests"
                yield Refused(Reason.QUEUE_FULL, message, retry_after)
                return
            case DeadlineUnreachable(wait=wait):
                message = f"the estimated wait of {wait.total_seconds():.1f} s exceeds the deadline"
                yield Refused(Reason.DEADLINE_UNREACHABLE, message, max(MIN_RETRY_AFTER, wait))
                return
            case QueuedRequest():
                pass
        reserved: list[tuple[Target, Shard]] = []
        try:
            self._grant_waiting(queue)
            yield await self._wait_for_placement(queue, queued, reserved)
        finally:
            queue.remove(queued)
            self._release_holds(queued)
            await self._release_reservations(reserved)

    async def _wait_for_placement(
        self, queue: FairQueue, queued: QueuedRequest, reserved: list[tuple[Target, Shard]]
    ) -> AdmissionGrant:
        """Wait until the request is placed.

        A request whose capacity could not be reserved after all returns to its queue position.
        """
        while True:
            await queued.granted.wait()
            queued.granted = trio.Event()
            if queued.holds:
                target = self._target(queued.holds[0].target_id)
                if target is not None:
                    return AdmissionGrant(target, PRIORITIES[queued.request.size])
            elif await self._hold_parts(queued):
                parts = await self._reserve(queued, reserved)
                if parts is not None:
                    return _split_grant(queued.request, parts)
            self._release_holds(queued)
            await self._release_reservations(reserved)
            queue.insert(queued)

    async def _hold_parts(self, queued: QueuedRequest) -> bool:
        holds = await self._ports.capacity.hold_all(queued.parts, queued.request.size)
        if isinstance(holds, NoCapacity):
            return False
        self._record_holds(queued, holds)
        return True

    async def _reserve(
        self, queued: QueuedRequest, reserved: list[tuple[Target, Shard]]
    ) -> list[tuple[Target, Shard]] | None:
        """Reserve memory on all engines in ascending order of id, or return None if one refuses.

        The reservation of a hold from `hold_all` is released together with the hold. For other
        holds, memory is reserved here and added to `reserved`, which the caller releases.
        """
        parts: list[tuple[Target, Shard]] = []
        for hold in queued.holds:
            target = self._target(hold.target_id)
            if target is None:
                return None
            reservation_id = hold.reservation_id
            if not reservation_id:
                match await self._ports.reservations.reserve(
                    target, queued.request.request_id, hold.tokens
                ):
                    case Reserved(reservation_id=reservation_id):
                        shard = Shard(hold.target_id, target.address, reservation_id, hold.tokens)
                        reserved.append((target, shard))
                    case ReservationRefused():
                        return None
            shard = Shard(hold.target_id, target.address, reservation_id, hold.tokens)
            parts.append((target, shard))
        return parts

    async def _release_reservations(self, reserved: list[tuple[Target, Shard]]) -> None:
        with trio.move_on_after(RELEASE_TIMEOUT.total_seconds(), shield=True):
            while reserved:
                target, shard = reserved.pop()
                await self._ports.reservations.release(target, shard.reservation_id)

    def waits(self, size: SizeClass) -> list[timedelta]:
        """Return the time that each queued request of a size class has been waiting."""
        now = self._clock.monotonic()
        return [
            now - queued.enqueued
            for queue in self._queues.values()
            for queued in queue.in_grant_order(size)
        ]

    def capacity_changed(self) -> None:
        """Grant newly available capacity to queued requests."""
        for queue in self._queues.values():
            self._grant_waiting(queue)

    def _grant_waiting(self, queue: FairQueue) -> None:
        """Grant capacity to queued requests in scheduling order.

        A request without capacity does not block those behind it. The exception is an aged
        request, which blocks medium and long classes without aged requests, so that they do not
        take the memory it waits for.
        """
        blocked = False
        for size, aged in queue.classes_in_grant_order():
            if blocked and size in AGEING_THRESHOLDS and not aged:
                continue
            misses = 0
            for queued in queue.in_grant_order(size):
                if self._try_grant(queue, queued):
                    continue
                blocked = blocked or aged
                misses += 1
                if misses >= SCAN_LIMIT or aged:
                    break

    def _try_grant(self, queue: FairQueue, queued: QueuedRequest) -> bool:
        candidates = self._router.rank(queued.request, queued.excluded)
        if isinstance(candidates, NoTarget):
            return False
        if self._needs_split(queued.request, candidates):
            queued.parts = self._plan_parts(queued)
            if not queued.parts:
                return False
        else:
            hold = self._try_hold_any(queued.request, candidates)
            if hold is None:
                return False
            self._record_holds(queued, (hold,))
        queue.grant(queued)
        queued.granted.set()
        return True

    def _try_hold_any(
        self, request: GenerateRequest, candidates: list[TargetStatus]
    ) -> Hold | None:
        tokens = request.memory_tokens
        for status in candidates:
            hold = self._ports.capacity.try_hold(status.target.target_id, tokens, request.size)
            if isinstance(hold, Hold):
                return hold
        self._ports.capacity.report_demand(candidates[0].target.target_id, tokens, request.size)
        return None

    def _plan_parts(self, queued: QueuedRequest) -> tuple[tuple[str, int], ...]:
        """Return target ids and tokens for a split prompt, or nothing if memory is insufficient.

        The parts are in ascending order of target id.
        """
        usable = self._router.candidates(queued.request, queued.excluded)
        if isinstance(usable, NoTarget):
            return ()
        # A split prompt needs more engines than those that accept long prompts, so all usable
        # engines are considered.
        now = self._clock.monotonic()
        free = []
        for status in usable:
            if status.load is not None:
                estimate = estimate_engine(status, status.load, now)
                available = long_tokens_available(status, status.load, estimate)
                free.append((available, status.target.target_id))
        remaining = queued.request.memory_tokens
        parts = []
        for available, target_id in sorted(free, reverse=True):
            if remaining <= 0 or available <= 0:
                break
            parts.append((target_id, min(remaining, available)))
            remaining -= available
        return tuple(sorted(parts)) if remaining <= 0 else ()

    def _needs_split(self, request: GenerateRequest, candidates: list[TargetStatus]) -> bool:
        totals = [status.load.total_tokens for status in candidates if status.load is not None]
        return bool(totals) and request.memory_tokens > max(totals) * LONG_MEMORY_SHARE

    def _permanent_refusal(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> Refused | None:
        """Return a refusal if no set of engines could ever run the request, else None."""
        usable = self._router.candidates(request, excluded)
        if isinstance(usable, NoTarget):
            return _no_target(usable)
        totals = [status.load.total_tokens for status in usable if status.load is not None]
        # The total memory is only known once every engine has reported its load.
        if len(totals) == len(usable) and request.memory_tokens > sum(
            int(total * LONG_MEMORY_SHARE) for total in totals
        ):
            return Refused(Reason.PROMPT_TOO_LONG, "the prompt exceeds the memory of all engines")
        return None

    def _record_holds(self, queued: QueuedRequest, holds: tuple[Hold, ...]) -> None:
        """Add holds to the target table, which corrects load reports by them."""
        queued.holds = holds
        request, now = queued.request, self._clock.monotonic()
        for hold in holds:
            status = self._targets.get(hold.target_id)
            if status is not None:
                prompt = min(request.prompt_tokens, hold.tokens)
                status.place(now, hold.tokens, prompt, request.size is SizeClass.LONG)

    def _release_holds(self, queued: QueuedRequest) -> None:
        holds, queued.holds = queued.holds, ()
        for hold in holds:
            status = self._targets.get(hold.target_id)
            if status is not None:
                long = queued.request.size is SizeClass.LONG
                status.remove(self._clock.monotonic(), hold.tokens, long)
            self._ports.capacity.release(hold)

    def _target(self, target_id: str) -> Target | None:
        status = self._targets.get(target_id)
        return status.target if status is not None else None

    @asynccontextmanager
    async def _admit_unqueued(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[AdmissionGrant | Refused]:
        """Place a request without queueing, for the routing policies used for comparison."""
        lead = self._router.choose(request.service, excluded)
        if isinstance(lead, NoTarget):
            yield _no_target(lead)
            return
        needed = self._plan_shards(request, lead, excluded)
        if isinstance(needed, Refused):
            yield needed
            return
        reserved: list[tuple[Target, Shard]] = []
        try:
            for target, tokens in needed:
                match await self._ports.reservations.reserve(target, request.request_id, tokens):
                    case Reserved(reservation_id=reservation_id):
                        shard = Shard(target.target_id, target.address, reservation_id, tokens)
                        reserved.append((target, shard))
                    case ReservationRefused(reason=reason):
                        yield Refused(Reason.NO_CAPACITY, reason, NO_TARGET_RETRY_AFTER)
                        return
            with _outstanding(lead):
                shards = tuple(shard for _, shard in reserved)
                yield AdmissionGrant(lead.target, PRIORITIES[request.size], shards=shards)
        finally:
            await self._release_reservations(reserved)

    def _plan_shards(
        self, request: GenerateRequest, lead: TargetStatus, excluded: frozenset[str]
    ) -> list[tuple[Target, int]] | Refused:
        """Return engines and token counts for the rest of a prompt that the lead cannot hold."""
        if lead.load is None:
            return []
        remaining = request.memory_tokens - int(lead.load.total_tokens * LONG_MEMORY_SHARE)
        parts: list[tuple[Target, int]] = []
        usable = self._router.usable(request.service, excluded)
        others = [] if isinstance(usable, NoTarget) else usable
        for status in sorted(others, key=lambda item: item.target.target_id):
            if remaining <= 0:
                break
            if status is lead or status.load is None:
                continue
            tokens = min(remaining, int(status.load.total_tokens * LONG_MEMORY_SHARE))
            parts.append((status.target, tokens))
            remaining -= tokens
        if remaining > 0:
            return Refused(Reason.PROMPT_TOO_LONG, "the prompt exceeds the memory of all engines")
        return parts


def _split_grant(request: GenerateRequest, reserved: list[tuple[Target, Shard]]) -> AdmissionGrant:
    """Return the grant for a split prompt; the engine with the largest part is the lead."""
    lead = max(reserved, key=lambda item: item[1].tokens)
    return AdmissionGrant(
        target=lead[0],
        priority=PRIORITIES[request.size],
        reservation_id=lead[1].reservation_id,
        shards=tuple(shard for target, shard in reserved if target is not lead[0]),
    )


@contextmanager
def _outstanding(status: TargetStatus) -> Iterator[None]:
    status.outstanding += 1
    try:
        yield
    finally:
        status.outstanding -= 1


def _no_target(no_target: NoTarget) -> Refused:
    return Refused(Reason.NO_TARGET, no_target.reason, NO_TARGET_RETRY_AFTER)
