"""Bounded weighted fair queue for the requests of one service.

Implements start-time fair queueing: a request's start tag is the maximum of the virtual time and
the finish tag of the organisation's previous request; its finish tag is the start tag plus
tokens / weight. The virtual time is the start tag of the last granted request. Tags are kept per
size class, so that a long prompt does not delay its organisation's short prompts behind those of
all other organisations.
"""

import bisect
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.admission.const import (
    AGEING_THRESHOLDS,
    MAX_QUEUED,
    MIN_RATE_WINDOW,
    MIN_RETRY_AFTER,
    RATE_WINDOW,
)
from wasabiwell_entry.coordination.admission.errors import DeadlineUnreachable, QueueFull
from wasabiwell_entry.coordination.admission.ports import Hold
from wasabiwell_entry.coordination.fairness.weights import finish_tag, inverse_share, start_tag
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.requests import GenerateRequest
from wasabiwell_entry.state.sizes import SizeClass


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request.

    `granted` is set when the request has its capacity in `holds`, or a split plan in `parts` for
    which capacity is still to be held.
    """

    request: GenerateRequest
    excluded: frozenset[str]
    weight: float
    enqueued: timedelta
    start_tag: float
    sequence: int
    parts: tuple[tuple[str, int], ...] = ()
    holds: tuple[Hold, ...] = ()
    granted: trio.Event = field(default_factory=trio.Event)

    @property
    def cost(self) -> int:
        """Return the number of prompt and output tokens."""
        return self.request.memory_tokens


@dataclass(slots=True)
class _ClassQueue:
    """Queued requests of one size class, sorted by start tag."""

    waiting: list[QueuedRequest] = field(default_factory=list)
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)
    grants: deque[tuple[timedelta, int]] = field(default_factory=deque)


class FairQueue:
    """Queue of the requests for one service that wait for capacity."""

    __slots__ = ("_classes", "_clock", "_counts", "_last_sequence", "_max_queued")

    def __init__(self, clock: Clock, max_queued: int = MAX_QUEUED) -> None:
        self._clock = clock
        self._max_queued = max_queued
        self._classes = {size: _ClassQueue() for size in SizeClass}
        self._counts: dict[str, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return sum(len(class_queue.waiting) for class_queue in self._classes.values())

    def enqueue(
        self, request: GenerateRequest, weight: float, excluded: frozenset[str]
    ) -> QueuedRequest | QueueFull | DeadlineUnreachable:
        """Add a request, or return the reason why it is not queued."""
        now = self._clock.monotonic()
        wait = self.estimated_wait(request, weight)
        if self._counts.get(request.organisation, 0) >= self._max_queued:
            return QueueFull(max(MIN_RETRY_AFTER, wait))
        if now + wait > request.deadline:
            return DeadlineUnreachable(wait)
        class_queue = self._classes[request.size]
        start = start_tag(
            class_queue.virtual_time, class_queue.finish_tags.get(request.organisation, 0.0)
        )
        class_queue.finish_tags[request.organisation] = finish_tag(
            start, request.memory_tokens, weight
        )
        self._last_sequence += 1
        queued = QueuedRequest(request, excluded, weight, now, start, self._last_sequence)
        self.insert(queued)
        return queued

    def insert(self, queued: QueuedRequest) -> None:
        """Insert a request at the position given by its start tag."""
        class_queue = self._classes[queued.request.size]
        bisect.insort(class_queue.waiting, queued, key=_sort_key)
        organisation = queued.request.organisation
        self._counts[organisation] = self._counts.get(organisation, 0) + 1

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request; does nothing if it is not queued."""
        class_queue = self._classes[queued.request.size]
        index = bisect.bisect_left(class_queue.waiting, _sort_key(queued), key=_sort_key)
        if index == len(class_queue.waiting) or class_queue.waiting[index] is not queued:
            return
        del class_queue.waiting[index]
        organisation = queued.request.organisation
        self._counts[organisation] -= 1
        if not self._counts[organisation]:
            del self._counts[organisation]
        self._prune_finish_tags(class_queue)

    def grant(self, queued: QueuedRequest) -> None:
        """Remove a request that is granted capacity, and advance the virtual time."""
        class_queue = self._classes[queued.request.size]
        class_queue.virtual_time = max(class_queue.virtual_time, queued.start_tag)
        class_queue.grants.append((self._clock.monotonic(), queued.cost))
        self.remove(queued)

    def in_grant_order(self, size: SizeClass) -> list[QueuedRequest]:
        """Return the queued requests of a size class in scheduling order."""
        return list(self._classes[size].waiting)

    def classes_in_grant_order(self) -> Iterator[tuple[SizeClass, bool]]:
        """Yield the size classes in scheduling order, and whether each has aged requests."""
        aged = [size for size in (SizeClass.LONG, SizeClass.MEDIUM) if self._is_aged(size)]
        yield from ((size, True) for size in aged)
        yield from ((size, False) for size in SizeClass if size not in aged)

    def estimated_wait(self, request: GenerateRequest, weight: float) -> timedelta:
        """Estimate the wait from the recent grant rate; zero if the rate is unknown."""
        now = self._clock.monotonic()
        class_queue = self._classes[request.size]
        while class_queue.grants and class_queue.grants[0][0] < now - RATE_WINDOW:
            class_queue.grants.popleft()
        if not class_queue.waiting or not class_queue.grants:
            return timedelta()
        window = now - class_queue.grants[0][0]
        if window < MIN_RATE_WINDOW:
            return timedelta()
        rate = sum(cost for _, cost in class_queue.grants) / window.total_seconds()
        weights = {queued.request.organisation: queued.weight for queued in class_queue.waiting}
        weights[request.organisation] = weight
        cost_ahead = request.memory_tokens + sum(
            queued.cost
            for queued in class_queue.waiting
            if queued.request.organisation == request.organisation
        )
        return timedelta(seconds=cost_ahead * inverse_share(weight, weights.values()) / rate)

    def _is_aged(self, size: SizeClass) -> bool:
        limit = self._clock.monotonic() - AGEING_THRESHOLDS[size]
        return any(queued.enqueued <= limit for queued in self._classes[size].waiting)

    def _prune_finish_tags(self, class_queue: _ClassQueue) -> None:
        if len(class_queue.finish_tags) <= 2 * len(self._counts) + 16:
            return
        class_queue.finish_tags = {
            name: tag
            for name, tag in class_queue.finish_tags.items()
            if tag > class_queue.virtual_time
        }


def _sort_key(queued: QueuedRequest) -> tuple[float, int]:
    return queued.start_tag, queued.sequence
