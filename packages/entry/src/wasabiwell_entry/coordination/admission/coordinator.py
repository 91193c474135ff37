"""Admits requests to targets: limits, fair queue, choice of engines and hold of their capacity."""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from datetime import timedelta

import trio
from wasabiwell_config import Organisation

from wasabiwell_entry.coordination.admission.const import (
    AGEING,
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
    Limited,
    LimitPort,
    NoCapacity,
)
from wasabiwell_entry.coordination.admission.queue import FairQueue, Ticket
from wasabiwell_entry.coordination.dispatch.ports import Placement
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
    """What admission uses of other capabilities and layers."""

    reservations: ReservationPort
    capacity: CapacityPort
    limits: LimitPort
    organisation: Callable[[str], Organisation | None]


class AdmissionCoordinator:
    """Places the requests of one entry instance."""

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
    ) -> AsyncIterator[Placement | Refused]:
        """Wait for capacity of an engine, or of several when the prompt is too large for one."""
        organisation = self._ports.organisation(request.organisation)
        if organisation is None:
            yield Refused(Reason.FORBIDDEN, f"organisation {request.organisation} is not known")
            return
        async with AsyncExitStack() as stack:
            # A retry runs under the leave of its first attempt, so that it is not counted twice.
            if not excluded:
                limited = await self._take_leave(request, organisation, stack)
                if limited is not None:
                    yield limited
                    return
            match self._router.policy:
                case LoadAware():
                    placed = self._admit_queued(request, organisation.weight, excluded)
                case _:
                    placed = self._admit_at_once(request, excluded)
            yield await stack.enter_async_context(placed)

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

    async def _take_leave(
        self, request: GenerateRequest, organisation: Organisation, stack: AsyncExitStack
    ) -> Refused | None:
        limits = self._ports.limits
        await limits.prepare(organisation, request.size)
        lease = limits.try_take(organisation, request.memory_tokens, request.size)
        if isinstance(lease, Limited):
            message = f"the organisation's limit of {lease.limit} is used up"
            return Refused(Reason.RATE_LIMITED, message, lease.retry_after)
        stack.callback(limits.finish, lease)
        return None

    @asynccontextmanager
    async def _admit_queued(
        self, request: GenerateRequest, weight: float, excluded: frozenset[str]
    ) -> AsyncIterator[Placement | Refused]:
        refused = self._impossible(request, excluded)
        if refused is not None:
            yield refused
            return
        queue = self._queues.setdefault(request.service, FairQueue(self._clock))
        ticket = queue.enqueue(request, weight, excluded)
        match ticket:
            case QueueFull(retry_after=retry_after):
                message = "the organisation has too many requests waiting"
                yield Refused(Reason.QUEUE_FULL, message, retry_after)
                return
            case DeadlineUnreachable(wait=wait):
                message = f"the estimated wait of {wait.total_seconds():.1f} s exceeds the deadline"
                yield Refused(Reason.DEADLINE_UNREACHABLE, message, max(MIN_RETRY_AFTER, wait))
                return
            case Ticket():
                pass
        reserved: list[tuple[Target, Shard]] = []
        try:
            self._grant(queue)
            yield await self._wait_for_placement(queue, ticket, reserved)
        finally:
            queue.remove(ticket)
            self._give_back(ticket)
            await self._release(reserved)

    async def _wait_for_placement(
        self, queue: FairQueue, ticket: Ticket, reserved: list[tuple[Target, Shard]]
    ) -> Placement:
        """Return the placement of a granted request; one that lost its turn waits again."""
        while True:
            await ticket.wake.wait()
            ticket.wake = trio.Event()
            if ticket.holds:
                target = self._target(ticket.holds[0].target_id)
                if target is not None:
                    return Placement(target, PRIORITIES[ticket.request.size])
            elif await self._hold_parts(ticket):
                parts = await self._reserve(ticket, reserved)
                if parts is not None:
                    return _split_placement(ticket.request, parts)
            self._give_back(ticket)
            await self._release(reserved)
            queue.put_back(ticket)

    async def _hold_parts(self, ticket: Ticket) -> bool:
        holds = await self._ports.capacity.hold_all(ticket.parts, ticket.request.size)
        if isinstance(holds, NoCapacity):
            return False
        self._count(ticket, holds)
        return True

    async def _reserve(
        self, ticket: Ticket, reserved: list[tuple[Target, Shard]]
    ) -> list[tuple[Target, Shard]] | None:
        """Return the memory held at all engines, by ascending id, or None if one refuses.

        A hold that comes with a reservation gives it back itself; others are made here and are
        entered in `reserved`.
        """
        parts: list[tuple[Target, Shard]] = []
        for hold in ticket.holds:
            target = self._target(hold.target_id)
            if target is None:
                return None
            reservation_id = hold.reservation_id
            if not reservation_id:
                match await self._ports.reservations.reserve(
                    target, ticket.request.request_id, hold.tokens
                ):
                    case Reserved(reservation_id=reservation_id):
                        shard = Shard(hold.target_id, target.address, reservation_id, hold.tokens)
                        reserved.append((target, shard))
                    case ReservationRefused():
                        return None
            shard = Shard(hold.target_id, target.address, reservation_id, hold.tokens)
            parts.append((target, shard))
        return parts

    async def _release(self, reserved: list[tuple[Target, Shard]]) -> None:
        with trio.move_on_after(RELEASE_TIMEOUT.total_seconds(), shield=True):
            while reserved:
                target, shard = reserved.pop()
                await self._ports.reservations.release(target, shard.reservation_id)

    def waits(self, size: SizeClass) -> list[timedelta]:
        """Return how long each waiting request of a size class has waited."""
        now = self._clock.monotonic()
        return [
            now - ticket.enqueued
            for queue in self._queues.values()
            for ticket in queue.in_order(size)
        ]

    def capacity_changed(self) -> None:
        """Grant what has become available to the requests that wait."""
        for queue in self._queues.values():
            self._grant(queue)

    def _grant(self, queue: FairQueue) -> None:
        """Grant capacity to waiting requests in the order of their turns.

        A request that finds none does not hold up those behind it, except that an aged one keeps
        medium and long ones that have not aged from taking the memory for which it waits.
        """
        held_up = False
        for size, aged in queue.class_order():
            if held_up and size in AGEING and not aged:
                continue
            misses = 0
            for ticket in queue.in_order(size):
                if self._try_grant(queue, ticket):
                    continue
                held_up = held_up or aged
                misses += 1
                if misses >= SCAN_LIMIT or aged:
                    break

    def _try_grant(self, queue: FairQueue, ticket: Ticket) -> bool:
        candidates = self._router.rank(ticket.request, ticket.excluded)
        if isinstance(candidates, NoTarget):
            return False
        if self._needs_split(ticket.request, candidates):
            ticket.parts = self._plan_parts(ticket)
            if not ticket.parts:
                return False
        else:
            hold = self._hold_one(ticket.request, candidates)
            if hold is None:
                return False
            self._count(ticket, (hold,))
        queue.grant(ticket)
        ticket.wake.set()
        return True

    def _hold_one(self, request: GenerateRequest, candidates: list[TargetStatus]) -> Hold | None:
        tokens = request.memory_tokens
        for status in candidates:
            hold = self._ports.capacity.try_hold(status.target.target_id, tokens, request.size)
            if isinstance(hold, Hold):
                return hold
        self._ports.capacity.request(candidates[0].target.target_id, tokens, request.size)
        return None

    def _plan_parts(self, ticket: Ticket) -> tuple[tuple[str, int], ...]:
        """Return engines and tokens for a split prompt, by ascending id, or none if they lack."""
        usable = self._router.candidates(ticket.request, ticket.excluded)
        if isinstance(usable, NoTarget):
            return ()
        # A split prompt needs more engines than may process long prompts, so it takes any of them.
        now = self._clock.monotonic()
        free = []
        for status in usable:
            if status.load is not None:
                estimate = estimate_engine(status, status.load, now)
                available = long_tokens_available(status, status.load, estimate)
                free.append((available, status.target.target_id))
        rest = ticket.request.memory_tokens
        parts = []
        for available, target_id in sorted(free, reverse=True):
            if rest <= 0 or available <= 0:
                break
            parts.append((target_id, min(rest, available)))
            rest -= available
        return tuple(sorted(parts)) if rest <= 0 else ()

    def _needs_split(self, request: GenerateRequest, candidates: list[TargetStatus]) -> bool:
        totals = [status.load.total_tokens for status in candidates if status.load is not None]
        return bool(totals) and request.memory_tokens > max(totals) * LONG_MEMORY_SHARE

    def _impossible(self, request: GenerateRequest, excluded: frozenset[str]) -> Refused | None:
        """Return why no engine can ever take the request, or None."""
        usable = self._router.candidates(request, excluded)
        if isinstance(usable, NoTarget):
            return _no_target(usable)
        totals = [status.load.total_tokens for status in usable if status.load is not None]
        # Without a report of each engine the fleet's memory is not known.
        if len(totals) == len(usable) and request.memory_tokens > sum(
            int(total * LONG_MEMORY_SHARE) for total in totals
        ):
            return Refused(Reason.PROMPT_TOO_LONG, "the prompt does not fit the engines' memory")
        return None

    def _count(self, ticket: Ticket, holds: tuple[Hold, ...]) -> None:
        """Note holds in the target table, from which loads are corrected."""
        ticket.holds = holds
        request, now = ticket.request, self._clock.monotonic()
        for hold in holds:
            status = self._targets.get(hold.target_id)
            if status is not None:
                prompt = min(request.prompt_tokens, hold.tokens)
                status.place(now, hold.tokens, prompt, request.size is SizeClass.LONG)

    def _give_back(self, ticket: Ticket) -> None:
        holds, ticket.holds = ticket.holds, ()
        for hold in holds:
            status = self._targets.get(hold.target_id)
            if status is not None:
                long = ticket.request.size is SizeClass.LONG
                status.remove(self._clock.monotonic(), hold.tokens, long)
            self._ports.capacity.release(hold)

    def _target(self, target_id: str) -> Target | None:
        status = self._targets.get(target_id)
        return status.target if status is not None else None

    @asynccontextmanager
    async def _admit_at_once(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[Placement | Refused]:
        """Place a request without a queue, as the compared policies do."""
        lead = self._router.choose(request.service, excluded)
        if isinstance(lead, NoTarget):
            yield _no_target(lead)
            return
        needed = self._further_engines(request, lead, excluded)
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
                yield Placement(lead.target, PRIORITIES[request.size], shards=shards)
        finally:
            await self._release(reserved)

    def _further_engines(
        self, request: GenerateRequest, lead: TargetStatus, excluded: frozenset[str]
    ) -> list[tuple[Target, int]] | Refused:
        """Return the engines that must hold what the lead cannot, with their tokens."""
        if lead.load is None:
            return []
        rest = request.memory_tokens - int(lead.load.total_tokens * LONG_MEMORY_SHARE)
        parts: list[tuple[Target, int]] = []
        usable = self._router.usable(request.service, excluded)
        others = [] if isinstance(usable, NoTarget) else usable
        for status in sorted(others, key=lambda item: item.target.target_id):
            if rest <= 0:
                break
            if status is lead or status.load is None:
                continue
            tokens = min(rest, int(status.load.total_tokens * LONG_MEMORY_SHARE))
            parts.append((status.target, tokens))
            rest -= tokens
        if rest > 0:
            return Refused(Reason.PROMPT_TOO_LONG, "the prompt does not fit the engines' memory")
        return parts


def _split_placement(request: GenerateRequest, reserved: list[tuple[Target, Shard]]) -> Placement:
    """Return the placement of a split prompt; the engine with the largest part leads."""
    lead = max(reserved, key=lambda item: item[1].tokens)
    return Placement(
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
