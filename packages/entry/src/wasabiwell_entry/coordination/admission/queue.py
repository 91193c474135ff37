"""Bounded weighted fair queue of the requests for one service.

Start-time fair queueing: a request's start tag is the later of the virtual time and the finish tag
of the organisation's previous request, and the finish tag adds tokens / weight. The virtual time
is the start tag of the last granted request. Each size class has tags of its own, so that a long
prompt does not put its organisation's short prompts behind those of all others.
"""

import bisect
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.admission.const import (
    AGEING,
    MAX_QUEUED,
    MIN_RATE_WINDOW,
    MIN_RETRY_AFTER,
    RATE_WINDOW,
)
from wasabiwell_entry.coordination.admission.errors import DeadlineUnreachable, QueueFull
from wasabiwell_entry.coordination.admission.ports import Hold
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.requests import GenerateRequest
from wasabiwell_entry.state.sizes import SizeClass


@dataclass(slots=True, eq=False)
class Ticket:
    """One waiting request; `holds` is the capacity it was granted, `wake` tells of the grant."""

    request: GenerateRequest
    excluded: frozenset[str]
    weight: float
    enqueued: timedelta
    start_tag: float
    number: int
    parts: tuple[tuple[str, int], ...] = ()
    holds: tuple[Hold, ...] = ()
    wake: trio.Event = field(default_factory=trio.Event)

    @property
    def cost(self) -> int:
        """Return the tokens of prompt and answer."""
        return self.request.memory_tokens


@dataclass(slots=True)
class _ClassQueue:
    """Waiting requests of one size class, sorted by start tag."""

    tickets: list[Ticket] = field(default_factory=list)
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)
    grants: deque[tuple[timedelta, int]] = field(default_factory=deque)


class FairQueue:
    """Requests of one service that wait for capacity."""

    __slots__ = ("_classes", "_clock", "_counts", "_max_queued", "_numbers")

    def __init__(self, clock: Clock, max_queued: int = MAX_QUEUED) -> None:
        self._clock = clock
        self._max_queued = max_queued
        self._classes = {size: _ClassQueue() for size in SizeClass}
        self._counts: dict[str, int] = {}
        self._numbers = 0

    def __len__(self) -> int:
        return sum(len(part.tickets) for part in self._classes.values())

    def enqueue(
        self, request: GenerateRequest, weight: float, excluded: frozenset[str]
    ) -> Ticket | QueueFull | DeadlineUnreachable:
        """Add a request, or tell why it must not wait."""
        now = self._clock.monotonic()
        wait = self.estimated_wait(request, weight)
        if self._counts.get(request.organisation, 0) >= self._max_queued:
            return QueueFull(max(MIN_RETRY_AFTER, wait))
        if now + wait > request.deadline:
            return DeadlineUnreachable(wait)
        part = self._classes[request.size]
        start = max(part.virtual_time, part.finish_tags.get(request.organisation, 0.0))
        part.finish_tags[request.organisation] = start + request.memory_tokens / weight
        self._numbers += 1
        ticket = Ticket(request, excluded, weight, now, start, self._numbers)
        self.put_back(ticket)
        return ticket

    def put_back(self, ticket: Ticket) -> None:
        """Let a request wait at its former place."""
        part = self._classes[ticket.request.size]
        bisect.insort(part.tickets, ticket, key=_order)
        organisation = ticket.request.organisation
        self._counts[organisation] = self._counts.get(organisation, 0) + 1

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that waits; one that does not is ignored."""
        part = self._classes[ticket.request.size]
        index = bisect.bisect_left(part.tickets, _order(ticket), key=_order)
        if index == len(part.tickets) or part.tickets[index] is not ticket:
            return
        del part.tickets[index]
        organisation = ticket.request.organisation
        self._counts[organisation] -= 1
        if not self._counts[organisation]:
            del self._counts[organisation]
        self._forget_old_tags(part)

    def grant(self, ticket: Ticket) -> None:
        """Take out a request that gets its capacity now."""
        part = self._classes[ticket.request.size]
        part.virtual_time = max(part.virtual_time, ticket.start_tag)
        part.grants.append((self._clock.monotonic(), ticket.cost))
        self.remove(ticket)

    def in_order(self, size: SizeClass) -> list[Ticket]:
        """Return the waiting requests of a size class in the order of their turns."""
        return list(self._classes[size].tickets)

    def class_order(self) -> Iterator[tuple[SizeClass, bool]]:
        """Yield the size classes in the order of their turns, and whether each one is aged."""
        aged = [size for size in (SizeClass.LONG, SizeClass.MEDIUM) if self._aged(size)]
        yield from ((size, True) for size in aged)
        yield from ((size, False) for size in SizeClass if size not in aged)

    def estimated_wait(self, request: GenerateRequest, weight: float) -> timedelta:
        """Return the wait by the recent rate of grants; zero when the rate is not known."""
        now = self._clock.monotonic()
        part = self._classes[request.size]
        while part.grants and part.grants[0][0] < now - RATE_WINDOW:
            part.grants.popleft()
        if not part.tickets or not part.grants:
            return timedelta()
        window = now - part.grants[0][0]
        if window < MIN_RATE_WINDOW:
            return timedelta()
        rate = sum(cost for _, cost in part.grants) / window.total_seconds()
        weights = {ticket.request.organisation: ticket.weight for ticket in part.tickets}
        weights[request.organisation] = weight
        ahead = request.memory_tokens + sum(
            ticket.cost
            for ticket in part.tickets
            if ticket.request.organisation == request.organisation
        )
        return timedelta(seconds=ahead * sum(weights.values()) / (rate * weight))

    def _aged(self, size: SizeClass) -> bool:
        limit = self._clock.monotonic() - AGEING[size]
        return any(ticket.enqueued <= limit for ticket in self._classes[size].tickets)

    def _forget_old_tags(self, part: _ClassQueue) -> None:
        if len(part.finish_tags) <= 2 * len(self._counts) + 16:
            return
        part.finish_tags = {
            name: tag for name, tag in part.finish_tags.items() if tag > part.virtual_time
        }


def _order(ticket: Ticket) -> tuple[float, int]:
    return ticket.start_tag, ticket.number
