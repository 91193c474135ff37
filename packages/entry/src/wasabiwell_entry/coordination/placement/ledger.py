"""Keeps what this entry instance has placed and tells the others of it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

from wasabiwell_entry.coordination.exchange.placements import placement_notice
from wasabiwell_entry.coordination.placement.const import PACE_CHANGE, PACE_PAUSES
from wasabiwell_entry.coordination.placement.errors import Placement
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import (
    AttemptVerdict,
    DecodeStarted,
    HelperLoss,
    Notice,
    RequestEnded,
    RequestPlaced,
    SlowdownNotice,
)
from wasabiwell_entry.state.forwarding import ForwardedRequest
from wasabiwell_entry.state.work import PlacedRequest, WorkTable

OWN = ""
"""Origin of what this entry instance has placed."""


@dataclass(slots=True)
class OpenPlacement:
    """A placed request; `verdict` is told when it ends.

    `first_at` and `last_at` are the monotonic times of its first and its last event, None before
    them.
    """

    placed: PlacedRequest
    verdict: AttemptVerdict = AttemptVerdict.ABANDONED
    first_at: timedelta | None = None
    last_at: timedelta | None = None
    longest_pause: timedelta = timedelta()
    recent_pauses: list[timedelta] = field(default_factory=list)

    def note_event(self, now: timedelta) -> timedelta | None:
        """Note the time of an event, and return the shortest of the last pauses now and then.

        The shortest one tells how fast the engine writes: reading for others makes some longer.
        """
        pause = now - self.last_at if self.last_at is not None else None
        self.last_at = now
        if pause is None:
            return None
        self.longest_pause = max(self.longest_pause, pause)
        self.recent_pauses.append(pause)
        if len(self.recent_pauses) < PACE_PAUSES:
            return None
        shortest = min(self.recent_pauses)
        self.recent_pauses.clear()
        return shortest


class PlacementLedger:
    """Enters the own placements in the table of work and tells the other entry instances."""

    __slots__ = ("_clock", "_lose_helper", "_note", "_tell", "_told_paces", "_works")

    def __init__(
        self,
        works: WorkTable,
        tell: Callable[[Notice], None],
        note: Callable[[str, AttemptVerdict], None],
        lose_helper: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._works = works
        self._tell = tell
        self._note = note
        self._lose_helper = lose_helper
        self._clock = clock
        self._told_paces: dict[str, float] = {}

    def local_request_ids(self) -> tuple[str, ...]:
        """Return the ids of the own placed requests."""
        return tuple(placed.request_id for placed in self._works.placed_by(OWN))

    @contextmanager
    def open(self, request: ForwardedRequest, placement: Placement) -> Iterator[OpenPlacement]:
        """Keep a placement until the context ends."""
        now = self._now()
        placed = PlacedRequest(
            request_id=request.request_id,
            origin=OWN,
            service=request.service,
            lead=placement.target.target_id,
            helpers=tuple(helper.target.target_id for helper in placement.helpers),
            placed_at=now,
            due=request.received.total_seconds() + request.route.objective.total_seconds(),
            gap=request.route.event_gap.total_seconds(),
            size=request.size,
            helper_kv_tokens=tuple(
                helper.kv_tokens for helper in placement.helpers if helper.kv_tokens
            ),
        )
        self._works.add(placed, now)
        self._tell(RequestPlaced(placement_notice(placed, now)))
        opened = OpenPlacement(placed)
        try:
            yield opened
        finally:
            self._works.remove(placed.request_id, self._now())
            self._tell(RequestEnded(placed.request_id, placed.lead, opened.verdict))
            self._note(placed.lead, opened.verdict)

    def lose_helper(self, target_id: str) -> None:
        """Note that a target is gone that was to help, and tell the others."""
        self._lose_helper(target_id)
        self._tell(HelperLoss(target_id))

    def start_decode(self, opened: OpenPlacement) -> None:
        """Note the first event of a placed request."""
        opened.placed = replace(opened.placed, decoding=True)
        opened.first_at = self._clock.monotonic()
        self._works.start_decode(opened.placed.request_id, self._now())
        self._tell(DecodeStarted(opened.placed.request_id))

    def note_event(self, opened: OpenPlacement) -> None:
        """Note an event of a placed request, and tell the others when its engine is slow."""
        pause = opened.note_event(self._clock.monotonic())
        target_id = opened.placed.lead
        work = self._works.get(target_id)
        if pause is None or work is None:
            return
        work.observe_slowdown(pause.total_seconds(), self._now())
        told = self._told_paces.get(target_id, 1.0)
        if max(work.slowdown, told) > PACE_CHANGE * min(work.slowdown, told):
            self._told_paces[target_id] = work.slowdown
            self._tell(SlowdownNotice(target_id, work.slowdown))

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
