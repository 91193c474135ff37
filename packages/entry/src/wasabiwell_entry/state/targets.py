"""Targets in an entry instance's table: engines and plain services."""

import bisect
import enum
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

USE_HISTORY = timedelta(seconds=4)
"""Time for which samples of the own use are kept; must exceed the age of any used load report."""


class TargetKind(enum.Enum):
    """Kind of a target."""

    ENGINE = "engine"
    PLAIN = "plain"


class TargetProcess(msgspec.Struct, frozen=True, array_like=True):
    """A process of a target; one with another incarnation, id or address is a different process."""

    target_id: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class Target:
    """A target instance; `address` is `HOST:PORT`.

    `incarnation` changes with each start of the target. `slots` is the number of requests that it
    processes at once, 0 when unknown.
    """

    target_id: str
    kind: TargetKind
    service: str
    address: str
    region: str
    zone: str
    incarnation: int = 0
    slots: int = 0

    @property
    def process(self) -> TargetProcess:
        """Return the process that runs the target."""
        return TargetProcess(self.target_id, self.incarnation, self.address)


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target in the platform's list.

    `cold_ms` is how long the target is cold, in milliseconds from when its entry was read. It is
    not part of the digest of the list, as instances of an older version do not know it.
    """

    target: Target
    leaving: bool
    cold_ms: int = 0


@dataclass(frozen=True, slots=True)
class TargetAdvice:
    """What an answer of a target says of the target itself, beside the answer.

    A `leaving` target takes no new work. `pause` is the time for which it wants no requests from
    this entry instance, zero if it asks for none.
    """

    leaving: bool = False
    pause: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine, which lags behind the actual load; memory is in KV cache tokens.

    `reported` is the monotonic time of this entry at which the report arrived.
    """

    reported: timedelta
    slots: int
    running: int
    queued: int
    total_tokens: int
    free_tokens: int
    prefill_tokens: int = 0


@dataclass(frozen=True, slots=True)
class UseSample:
    """What this entry instance had placed on an engine from the time `at` on."""

    at: timedelta
    slots: int
    tokens: int


@dataclass(frozen=True, slots=True)
class OtherUse:
    """Use of an engine by other entry instances, derived from a load report.

    `prefill_tokens` is the prefill backlog when the report arrived.
    """

    load: EngineLoad
    slots: int
    tokens: int
    prefill_tokens: float


@dataclass(slots=True, eq=False)
class TargetStatus:
    """State of one target.

    `outstanding`, `outstanding_tokens`, `long_outstanding` and `long_tokens` count what this entry
    instance has placed there. `samples` is their recent history, and `sends` are the recent prompts
    as (time, tokens); both serve to correct a load report, which does not include the latest
    placements. `others` caches the use by others that was derived from the last load report.
    `cached_prefixes` keeps the order in which prefixes were reported.
    """

    target: Target
    leaving: bool = False
    lost_at: timedelta | None = None
    load: EngineLoad | None = None
    outstanding: int = 0
    outstanding_tokens: int = 0
    long_outstanding: int = 0
    long_tokens: int = 0
    cached_prefixes: dict[int, None] = field(default_factory=dict)
    cache_position: int = 0
    others: OtherUse | None = None
    samples: deque[UseSample] = field(default_factory=deque)
    sends: deque[tuple[timedelta, int]] = field(default_factory=deque)

    def place(self, now: timedelta, tokens: int, prompt_tokens: int, long: bool) -> None:
        """Count a request that this entry instance places on the target."""
        self.sends.append((now, prompt_tokens))
        self._change(now, 1, tokens, long)

    def remove(self, now: timedelta, tokens: int, long: bool) -> None:
        """Subtract a request that has ended."""
        self._change(now, -1, -tokens, long)

    def _change(self, now: timedelta, slots: int, tokens: int, long: bool) -> None:
        self.outstanding += slots
        self.outstanding_tokens += tokens
        if long:
            self.long_outstanding += slots
            self.long_tokens += tokens
        self.samples.append(UseSample(now, self.outstanding, self.outstanding_tokens))
        while len(self.samples) > 1 and self.samples[1].at < now - USE_HISTORY:
            self.samples.popleft()
        while self.sends and self.sends[0][0] < now - USE_HISTORY:
            self.sends.popleft()


class TargetTable:
    """Targets by id; one entry instance owns one table."""

    __slots__ = ("_by_service", "_ordered", "_statuses")

    def __init__(self) -> None:
        self._statuses: dict[str, TargetStatus] = {}
        self._by_service: dict[str, dict[str, TargetStatus]] = {}
        self._ordered: dict[str, list[TargetStatus]] = {}

    def __len__(self) -> int:
        return len(self._statuses)

    def __iter__(self) -> Iterator[TargetStatus]:
        return iter(list(self._statuses.values()))

    def get(self, target_id: str) -> TargetStatus | None:
        """Return the status of a target, or None when it is unknown."""
        return self._statuses.get(target_id)

    def of_service(self, service: str) -> list[TargetStatus]:
        """Return the statuses of a service's targets."""
        return list(self._by_service.get(service, {}).values())

    def window(self, service: str, start: int, count: int) -> list[TargetStatus]:
        """Return up to `count` consecutive targets of a service, sorted by id and with wrap-around.

        The cost does not grow with the fleet, and instances with the same targets get the same
        result for the same `start`.
        """
        ordered = self._ordered.get(service, [])
        if len(ordered) <= count:
            return list(ordered)
        first = start % len(ordered)
        return (ordered[first : first + count] + ordered[:count])[:count]

    def put(self, target: Target) -> TargetStatus:
        """Add a target, or replace it when any of its properties changed."""
        status = self._statuses.get(target.target_id)
        if status is not None and status.target == target:
            return status
        if status is not None:
            self.remove(target.target_id)
        status = TargetStatus(target)
        self._statuses[target.target_id] = status
        self._by_service.setdefault(target.service, {})[target.target_id] = status
        bisect.insort(self._ordered.setdefault(target.service, []), status, key=_target_id)
        return status

    def remove(self, target_id: str) -> None:
        """Remove a target; unknown ids are ignored."""
        status = self._statuses.pop(target_id, None)
        if status is not None:
            self._by_service[status.target.service].pop(target_id, None)
            self._ordered[status.target.service].remove(status)

    def retain(self, target_ids: Iterable[str]) -> list[str]:
        """Remove all targets except these and return the ids of the removed ones."""
        keep = set(target_ids)
        removed = [target_id for target_id in self._statuses if target_id not in keep]
        for target_id in removed:
            self.remove(target_id)
        return removed


def _target_id(status: TargetStatus) -> str:
    return status.target.target_id
