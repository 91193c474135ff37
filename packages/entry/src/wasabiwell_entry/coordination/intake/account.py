"""Account of the bytes that an instance buffers for others, and which of them it gives up."""

import enum
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from wasabiwell_entry.coordination.intake.const import (
    MIN_AGE,
    OWNER_SHARE,
    RESERVED_SHARE,
    RESPONSE_SHARE,
    RETRY_AFTER,
)
from wasabiwell_entry.coordination.intake.errors import IntakeReason
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import Reason, Refused


class BufferedKind(enum.Enum):
    """What a holding buffers."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"


class Holding:
    """The buffered bytes of one connection or response.

    `expected` is the size of the whole body, or the largest allowed one while it is not known. A
    `complete` holding is never given up for an incomplete one; `unread` is set while a response
    waits for its caller to read it. `progressed` is when bytes came last, or when the instance
    last kept the caller waiting, and `waited` how long it did. `control` is set for the control
    address. `refused` is the reason once it has been given up; `refuse` is then called, and its
    owner releases the memory.
    """

    __slots__ = (
        "address",
        "began",
        "complete",
        "control",
        "expected",
        "kind",
        "organisation",
        "progressed",
        "refuse",
        "refused",
        "size",
        "unread",
        "waited",
    )

    def __init__(
        self,
        kind: BufferedKind,
        address: str,
        control: bool,
        began: timedelta,
        refuse: Callable[[], None],
    ) -> None:
        self.kind = kind
        self.address = address
        self.control = control
        self.began = began
        self.progressed = began
        self.refuse = refuse
        self.organisation = ""
        self.size = 0
        self.expected = 0
        self.waited = timedelta()
        self.complete = False
        self.unread = False
        self.refused: Refused | None = None


class IntakeAccount:
    """Counts buffered bytes, grants or denies more of them, and chooses what is given up.

    Without a capacity everything is granted and nothing is given up.
    """

    __slots__ = (
        "_addresses",
        "_by_kind",
        "_clock",
        "_holdings",
        "_organisations",
        "_returning",
        "_used",
        "capacity",
        "refusals",
    )

    def __init__(self, capacity: int | None, clock: Clock) -> None:
        self.capacity = capacity
        self._clock = clock
        self._holdings: set[Holding] = set()
        self._used = 0
        self._by_kind: Counter[BufferedKind] = Counter()
        self._addresses: Counter[str] = Counter()
        self._organisations: Counter[str] = Counter()
        self._returning = 0
        """Bytes of holdings that were given up and are not released yet."""
        self.refusals: Counter[IntakeReason] = Counter()

    @property
    def used(self) -> int:
        """Return the number of buffered bytes."""
        return self._used

    def occupancy(self) -> float:
        """Return the part of the capacity that is in use, 0 without a capacity."""
        return self._used / self.capacity if self.capacity else 0.0

    def by_kind(self) -> dict[str, float]:
        """Return the buffered bytes by kind."""
        return {kind.value: self._by_kind[kind] for kind in BufferedKind}

    @contextmanager
    def hold(
        self,
        kind: BufferedKind,
        address: str = "",
        control: bool = False,
        refuse: Callable[[], None] = lambda: None,
    ) -> Iterator[Holding]:
        """Open a holding, which is released when the context exits."""
        holding = Holding(kind, address, control, self._clock.monotonic(), refuse)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._resize(holding, 0)
            self._holdings.discard(holding)

    def attribute(self, holding: Holding, organisation: str) -> None:
        """Count a holding as one of an organisation."""
        self._add(self._organisations, holding.organisation, -holding.size)
        holding.organisation = organisation
        self._add(self._organisations, organisation, holding.size)

    def classify(self, holding: Holding, kind: BufferedKind) -> None:
        """Count a holding as one of another kind."""
        self._by_kind[holding.kind] -= holding.size
        holding.kind = kind
        self._by_kind[kind] += holding.size

    def restart(self, holding: Holding, size: int) -> None:
        """Begin to count the next request of a connection, of which `size` bytes have arrived."""
        self._withdraw(holding)
        self._resize(holding, min(size, holding.size))
        self.classify(holding, BufferedKind.HEAD)
        self.attribute(holding, "")
        holding.began = holding.progressed = self._clock.monotonic()
        holding.waited = timedelta()
        holding.expected = 0
        holding.complete = False

    def complete(self, holding: Holding) -> None:
        """Note that a whole request has arrived, which is not given up any more."""
        self._withdraw(holding)
        holding.complete = True

    def try_grow(self, holding: Holding, count: int) -> bool:
        """Reserve further bytes; return False, and reserve nothing, if there is no room."""
        if self.capacity is not None and count > 0 and not self._has_room(holding, count):
            return False
        self._resize(holding, holding.size + count)
        holding.progressed = self._clock.monotonic()
        return True

    def shrink(self, holding: Holding, count: int) -> None:
        """Release bytes of a holding."""
        self._resize(holding, holding.size - count)

    def record_progress(self, holding: Holding) -> None:
        """Note that a caller has read a part of its response."""
        holding.progressed = self._clock.monotonic()

    def move(self, source: Holding, destination: Holding) -> None:
        """Let one holding take over the bytes of another one."""
        size = source.size
        self._resize(source, 0)
        self._resize(destination, destination.size + size)

    def make_room(self, holding: Holding, count: int) -> None:
        """Give up the slowest incomplete body if a holding cannot grow, possibly the holding's own.

        For a complete holding, a response that its caller does not read may be given up instead,
        and it alone if the part of responses is short, as bodies take nothing of that part.
        Nothing is given up while earlier ones are still to be released.
        """
        if self.capacity is None or self._has_room(holding, count) or self._returning >= count:
            return
        victim = None
        if not self._exceeds_responses(holding, count):
            victim = self._slowest(self._holdings)
        if victim is None and holding.complete:
            victim = self._least_read()
        if victim is not None:
            self.give_up(victim, IntakeReason.SLOWEST_BODY)

    def give_up(self, holding: Holding, reason: IntakeReason) -> None:
        """Reject the request of a holding, which its owner is told."""
        if holding.refused is not None:
            return
        self.refusals[reason] += 1
        holding.refused = Refused(
            Reason.NO_CAPACITY, "too many bytes are buffered for callers", RETRY_AFTER
        )
        log_events.emit(
            log_events.REQUEST_GIVEN_UP,
            caller=holding.address,
            kind=holding.kind.value,
            reason=reason.value,
            size=holding.size,
            expected=holding.expected,
            used=self._used,
            capacity=self.capacity or 0,
        )
        self._returning += holding.size
        holding.refuse()

    def give_up_slowest(self, control: bool) -> None:
        """Give up the slowest incomplete body of a kind of connections, as none of them is idle."""
        victim = self._slowest([item for item in self._holdings if item.control is control])
        if victim is not None and not self._returning:
            self.give_up(victim, IntakeReason.SLOWEST_BODY)

    def _withdraw(self, holding: Holding) -> None:
        """Keep a holding that was given up before its owner noted that its request has arrived."""
        if holding.refused is not None:
            holding.refused = None
            self._returning = max(0, self._returning - holding.size)

    def _has_room(self, holding: Holding, count: int) -> bool:
        assert self.capacity is not None
        if self._exceeds_responses(holding, count):
            return False
        used = self._used + count
        reserved = self.capacity * RESERVED_SHARE
        if used <= self.capacity - reserved:
            return True
        if used > self.capacity:
            return False
        if holding.control:
            return holding.size + count <= reserved
        return self._addresses[holding.address] == holding.size

    def _exceeds_responses(self, holding: Holding, count: int) -> bool:
        """Return whether a response would take more than the part of responses."""
        if self.capacity is None or holding.kind is not BufferedKind.RESPONSE:
            return False
        return self._by_kind[BufferedKind.RESPONSE] + count > self.capacity * RESPONSE_SHARE

    def _slowest(self, holdings: Iterable[Holding]) -> Holding | None:
        """Return the incomplete holding that is given up first.

        Those of an organisation or address with more than its share come before all others.
        """
        now = self._clock.monotonic()
        candidates = [
            item
            for item in holdings
            if not item.complete and item.refused is None and item.size and self._is_aged(item, now)
        ]
        share = math.inf if self.capacity is None else self.capacity * OWNER_SHARE
        above = [item for item in candidates if self._owned(item) > share]
        return min(above or candidates, key=lambda item: _speed(item, now), default=None)

    def _least_read(self) -> Holding | None:
        """Return the response of which its caller has read nothing for the longest time."""
        now = self._clock.monotonic()
        stopped = [
            item
            for item in self._holdings
            if item.unread
            and item.refused is None
            and item.size
            and now - item.progressed >= MIN_AGE
        ]
        return min(stopped, key=lambda item: item.progressed, default=None)

    def _owned(self, holding: Holding) -> int:
        """Return the bytes that the organisation or the address of a holding has, the larger."""
        organisation = self._organisations[holding.organisation] if holding.organisation else 0
        return max(organisation, self._addresses[holding.address])

    def _is_aged(self, holding: Holding, now: timedelta) -> bool:
        return now - holding.began >= MIN_AGE

    def _resize(self, holding: Holding, size: int) -> None:
        change = size - holding.size
        if not change:
            return
        if holding.refused is not None:
            self._returning = max(0, self._returning + change)
        self._used += change
        self._by_kind[holding.kind] += change
        self._add(self._addresses, holding.address, change)
        self._add(self._organisations, holding.organisation, change)
        holding.size = size

    def _add(self, owners: Counter[str], owner: str, change: int) -> None:
        """Change the bytes of an owner; owners without any are forgotten."""
        if not owner:
            return
        owners[owner] += change
        if owners[owner] <= 0:
            del owners[owner]


def _speed(holding: Holding, now: timedelta) -> tuple[float, float, int]:
    """Return a key by which the slowest holding comes first.

    That is the one that stopped the longest time ago, then the one of whose body the smallest part
    arrived in a second, then the largest. The time in which the instance did not read is left out.
    """
    stopped = now - holding.progressed
    silence = stopped.total_seconds() if stopped >= MIN_AGE else 0.0
    seconds = max((now - holding.began - holding.waited).total_seconds(), 1e-3)
    part = holding.size / max(holding.expected, holding.size, 1)
    return -silence, part / seconds, -holding.size
