"""Records the placements of this entry instance and notifies the other instances of them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

from wasabiwell_entry.coordination.exchange.placements import placement_notice
from wasabiwell_entry.coordination.placement.const import (
    GAPS_PER_SLOWDOWN_SAMPLE,
    SLOWDOWN_NOTICE_RATIO,
)
from wasabiwell_entry.coordination.placement.errors import Placement
from wasabiwell_entry.coordination.placement.ports import FirstEventObserver, NoPacing
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

LOCAL_ORIGIN = ""
"""Origin of the placements that this entry instance made itself."""


@dataclass(slots=True)
class OpenPlacement:
    """A placed request that has not ended; `verdict` is sent to the other instances at its end.

    The verdict stays `ABANDONED` if the attempt is cancelled before it has an outcome. `first_at`
    is the monotonic time at which the response head of a stream arrived, `last_at` that of the
    latest event; both are None before. `events` counts the events that have arrived.
    `expected_seconds` is the predicted time to the first event.
    """

    placed: PlacedRequest
    verdict: AttemptVerdict = AttemptVerdict.ABANDONED
    first_at: timedelta | None = None
    last_at: timedelta | None = None
    events: int = 0
    expected_seconds: float = 0.0
    longest_gap: timedelta = timedelta()
    recent_gaps: list[timedelta] = field(default_factory=list)

    def record_event(self, now: timedelta) -> timedelta | None:
        """Record the time of an event; return the shortest gap of each complete series of gaps.

        A series has `GAPS_PER_SLOWDOWN_SAMPLE` gaps between events. The shortest one shows the
        speed of the engine, as prefill of other requests makes some of them longer.
        """
        self.events += 1
        gap = now - self.last_at if self.last_at is not None else None
        self.last_at = now
        if gap is None:
            return None
        self.longest_gap = max(self.longest_gap, gap)
        self.recent_gaps.append(gap)
        if len(self.recent_gaps) < GAPS_PER_SLOWDOWN_SAMPLE:
            return None
        shortest = min(self.recent_gaps)
        self.recent_gaps.clear()
        return shortest


class PlacementLedger:
    """Adds the local placements to the work table and notifies the other entry instances."""

    __slots__ = (
        "_clock",
        "_first_events",
        "_notified_slowdowns",
        "_notify",
        "_report_lost_helper",
        "_report_verdict",
        "_suspects_itself",
        "_works",
    )

    def __init__(
        self,
        works: WorkTable,
        notify: Callable[[Notice], None],
        report_verdict: Callable[[str, AttemptVerdict], None],
        report_lost_helper: Callable[[str], None],
        clock: Clock,
        suspects_itself: Callable[[], bool] = lambda: False,
        first_events: FirstEventObserver | None = None,
    ) -> None:
        """Take callbacks for messages, verdicts and lost helpers.

        `suspects_itself` returns whether a loss may be due to this instance. The other instances
        are not told of such a loss, as they would pause a target that they reach.
        """
        self._suspects_itself = suspects_itself
        self._first_events = first_events or NoPacing()
        self._works = works
        self._notify = notify
        self._report_verdict = report_verdict
        self._report_lost_helper = report_lost_helper
        self._clock = clock
        self._notified_slowdowns: dict[str, float] = {}

    def local_request_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests that this instance has placed."""
        return tuple(placed.request_id for placed in self._works.placed_by(LOCAL_ORIGIN))

    @contextmanager
    def open(self, request: ForwardedRequest, placement: Placement) -> Iterator[OpenPlacement]:
        """Record a placement until the context ends."""
        now = self._now()
        placed = PlacedRequest(
            request_id=request.request_id,
            origin=LOCAL_ORIGIN,
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
            organisation=request.organisation or "",
        )
        self._works.add(placed, now)
        self._notify(RequestPlaced(placement_notice(placed, now)))
        opened = OpenPlacement(placed, expected_seconds=placement.expected_seconds)
        try:
            yield opened
        finally:
            self._works.remove(placed.request_id, self._now())
            verdict = opened.verdict
            if placed.size is None and verdict is AttemptVerdict.ANSWERED:
                self._first_events.observe_first_event(placed, self._now() - now, None)
            if verdict is AttemptVerdict.LOST and self._suspects_itself():
                verdict = AttemptVerdict.ABANDONED
            self._notify(RequestEnded(placed.request_id, placed.lead, verdict))
            self._report_verdict(placed.lead, opened.verdict)

    def record_lost_helper(self, target_id: str) -> None:
        """Record that a helper could not be reached, and notify the other instances."""
        self._report_lost_helper(target_id)
        if not self._suspects_itself():
            self._notify(HelperLoss(target_id))

    def start_decode(self, opened: OpenPlacement) -> None:
        """Record that the response head of a stream has arrived, so that decoding has started."""
        opened.placed = replace(opened.placed, decoding=True)
        opened.first_at = self._clock.monotonic()
        self._works.start_decode(opened.placed.request_id, self._now())
        if opened.placed.size is not None:
            waited = self._now() - opened.placed.placed_at
            self._first_events.observe_first_event(opened.placed, waited, opened.expected_seconds)
        self._notify(DecodeStarted(opened.placed.request_id))

    def record_event(self, opened: OpenPlacement) -> None:
        """Record an event; notify the other instances when its engine became faster or slower."""
        sample = opened.record_event(self._clock.monotonic())
        target_id = opened.placed.lead
        work = self._works.get(target_id)
        if sample is None or work is None:
            return
        work.observe_slowdown(sample.total_seconds(), self._now())
        notified = self._notified_slowdowns.get(target_id, 1.0)
        if max(work.slowdown, notified) > SLOWDOWN_NOTICE_RATIO * min(work.slowdown, notified):
            self._notified_slowdowns[target_id] = work.slowdown
            self._notify(SlowdownNotice(target_id, work.slowdown))

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
