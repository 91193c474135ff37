"""Decides which cold and recovering targets may get a request."""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from math import ceil, inf

from wasabiwell_entry.coordination.pacing.cold_limit import (
    ColdLimiter,
    ColdLimits,
    Hearing,
    Informed,
    InformedInPart,
    InformedInZone,
    Uninformed,
    Unreported,
)
from wasabiwell_entry.coordination.pacing.cold_targets import ColdTargets
from wasabiwell_entry.coordination.pacing.const import (
    ARRIVAL_WINDOW_SECONDS,
    EXPIRY_SECONDS,
    LEFT_OUT_LOG_SECONDS,
    MAX_DELAY_RATIO,
    MAX_EXAMINED_TARGETS,
    MESSAGE_SECONDS,
    MIN_COLD_RETRY_AFTER,
    MIN_PREDICTION_SECONDS,
    SENDERS_PER_WINDOW,
    UNKNOWN_PREDICTION_SHARE,
)
from wasabiwell_entry.coordination.pacing.ports import HearingPort
from wasabiwell_entry.coordination.pacing.response_times import ResponseTimes
from wasabiwell_entry.coordination.pacing.window import ConcurrencyWindows, RecoveryCause, in_time
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import AttemptVerdict, PaceSample
from wasabiwell_entry.state.routes import ServiceSettings
from wasabiwell_entry.state.targets import ListedTarget, Target
from wasabiwell_entry.state.work import PlacedRequest, TargetWork, WorkTable


class TargetPacing:
    """Cold and recovering targets of one entry instance; implements `TargetPacingPort`.

    It is active only for services with a cold time. `notify` sends a sample to the other instances,
    `loss_pause` returns the seconds for which a lost target still gets no requests.
    """

    __slots__ = (
        "_clock",
        "_cold",
        "_delay_ratios",
        "_expired_at",
        "_hearing",
        "_known",
        "_left_out_logged_at",
        "_limiter",
        "_listed",
        "_listed_at",
        "_loss_pause",
        "_next_examined",
        "_notify",
        "_response_times",
        "_services",
        "_windows",
        "_works",
        "left_out",
        "rejected",
    )

    def __init__(
        self,
        works: WorkTable,
        hearing: HearingPort,
        notify: Callable[[PaceSample], None],
        loss_pause: Callable[[str], float],
        clock: Clock,
        limits: ColdLimits | None = None,
    ) -> None:
        self._works = works
        self._hearing = hearing
        self._notify = notify
        self._loss_pause = loss_pause
        self._clock = clock
        self._limiter = ColdLimiter(limits or ColdLimits())
        self._cold = ColdTargets()
        self._windows = ConcurrencyWindows()
        self._response_times = ResponseTimes()
        self._delay_ratios = ResponseTimes()
        self._services: dict[str, ServiceSettings] = {}
        self._listed: list[ListedTarget] | None = None
        self._listed_at = 0.0
        self._known: dict[str, ListedTarget] = {}
        self._expired_at = 0.0
        self._next_examined = 0
        self._left_out_logged_at = -LEFT_OUT_LOG_SECONDS
        self.left_out = 0
        self.rejected = 0

    def update_services(self, services: Mapping[str, ServiceSettings]) -> None:
        """Apply the services of new routes."""
        before = self._services
        self._services = {
            name: service for name, service in services.items() if service.cold_seconds > 0
        }
        if not self._services and not before:
            return
        self._response_times.retain(set(self._services))
        self._delay_ratios.retain(set(self._services))
        for item in self._listed or ():
            if item.target.service in self._services and item.target.service not in before:
                self._known[item.target.target_id] = item
                elapsed_ms = round((self._now() - self._listed_at) * 1000)
                self._begin_listed_cold(item, item.cold_ms - elapsed_ms)
        self._known = {
            key: item for key, item in self._known.items() if item.target.service in self._services
        }
        self._drop_others()

    def update_targets(self, listed: list[ListedTarget]) -> None:
        """Apply a list of targets; those of the first list are not new."""
        first = self._listed is None
        self._listed, self._listed_at = listed, self._now()
        if not self._services:
            return
        known, self._known = self._known, {}
        for item in listed:
            target = item.target
            service = self._services.get(target.service)
            if service is None:
                continue
            self._known[target.target_id] = item
            before = known.get(target.target_id)
            if before is not None and before.target.process == target.process:
                if item.cold_ms != before.cold_ms:
                    self._begin_listed_cold(item, item.cold_ms)
            elif first:
                self._begin_listed_cold(item, item.cold_ms)
            else:
                seconds = max(service.cold_seconds, item.cold_ms / 1000)
                self._cold.set_listed(target, seconds, self._now())
                self._windows.begin(target, RecoveryCause.NEW_PROCESS, self._now())
        self._drop_others()

    def record_rewritten(self, target_ids: Collection[str]) -> None:
        """Record that entries of the list were written again without a change."""
        for target_id in target_ids:
            item = self._known.get(target_id)
            if item is not None:
                self._begin_listed_cold(item, item.cold_ms)

    def record_zone_return(self, zone: str) -> None:
        """Record that a zone has returned to service; its targets are recovering."""
        now = self._now()
        for item in self._known.values():
            if item.target.zone == zone:
                self._windows.begin(item.target, RecoveryCause.ZONE_RETURNED, now)

    def record_verdict(self, target_id: str, verdict: AttemptVerdict) -> None:
        """Record the outcome of an attempt, made here or by another entry instance.

        A lost target may have started again, which the list does not show while the store is
        unavailable, so it counts as cold for its cold time after the end of its pause.
        """
        item = self._known.get(target_id)
        if item is None:
            return
        match verdict:
            case AttemptVerdict.LOST:
                pause = self._loss_pause(target_id)
                seconds = pause + self._services[item.target.service].cold_seconds
                self._cold.mark_lost(item.target, seconds, self._now())
                self._windows.begin(item.target, RecoveryCause.LOST, self._now() + pause)
            case AttemptVerdict.REFUSED:
                self._windows.set_back(target_id, self._now())
            case AttemptVerdict.ANSWERED | AttemptVerdict.FAILED | AttemptVerdict.ABANDONED:
                pass

    def cancel_losses(self, since: timedelta) -> None:
        """End the recoveries after losses since a monotonic time, which say nothing of targets."""
        self._windows.cancel(since.total_seconds())
        self._cold.cancel_losses(since.total_seconds())

    def record_placement(self, placed: PlacedRequest) -> None:
        """Record a placement of another entry instance."""
        if not len(self._cold):
            return
        now = self._now()
        for target_id in (placed.lead, *placed.helpers):
            item = self._known.get(target_id)
            if item is not None and (rate := self._cold_rate(item.target, now)):
                self._limiter.record_arrival(target_id, rate, placed.placed_at)

    def record_sample(self, sample: PaceSample) -> None:
        """Record a sample of another entry instance."""
        self._record_sample(sample)

    def observe_first_event(
        self, placed: PlacedRequest, seconds: float, predicted: float | None
    ) -> None:
        """Record how long this instance has waited for the first event, or for a whole response.

        Without a `predicted` time the usual response time of the service is the prediction.
        """
        service = placed.service
        item = self._known.get(placed.lead)
        work = self._works.get(placed.lead)
        if item is None or work is None:
            return
        now = self._now()
        if self._windows.window(item.target, now) is None:
            if predicted is None:
                self._response_times.record(service, seconds)
            else:
                ratio = seconds / max(predicted, MIN_PREDICTION_SECONDS)
                self._delay_ratios.record(service, min(MAX_DELAY_RATIO, ratio))
            return
        if predicted is None:
            predicted = self._response_times.mean(service)
        else:
            # What also delays targets in steady state, as a network does, is no sign of a slow one.
            predicted *= max(1.0, self._delay_ratios.mean(service) or 1.0)
        if predicted is None:
            predicted = UNKNOWN_PREDICTION_SHARE * (placed.due - placed.placed_at)
        on_time = in_time(seconds, predicted)
        load = None
        if isinstance(self._hear(item.target), Informed | InformedInZone | InformedInPart):
            load = _load(work) + (placed.request_id not in work.requests)
        if not self._windows.is_sample(
            item.target, on_time, placed.placed_at, load, work.slots, now
        ):
            return
        sample = PaceSample(item.target.process, on_time)
        self._record_sample(sample)
        self._notify(sample)

    @property
    def active(self) -> bool:
        """Return whether any target is cold or recovering."""
        return bool(len(self._cold) or len(self._windows))

    def cold_seconds_left(self, target: Target) -> float:
        """Return how long a target is still cold, 0 if it is not."""
        return self._cold.seconds_left(target, self._now()) if len(self._cold) else 0.0

    def recovering(self, target: Target) -> bool:
        """Return whether a target is recovering."""
        return self._windows.window(target, self._now()) is not None

    def preferred(self, work: TargetWork) -> bool:
        """Return whether a short request should go to a target, so that there are samples of it."""
        if not len(self._windows):
            return False
        now = self._now()
        return self._windows.window(work.target, now) is not None and self._has_room(work, now)

    def admitted(self, works: list[TargetWork]) -> list[TargetWork]:
        """Return the targets that may get a request now; all of them unless some are limited.

        If there are none, it is the least loaded recovering target that the cold limit admits, as
        only a request to a cold target could do harm. Of many limited targets a part is examined
        for each request.
        """
        if not self.active:
            return works
        now = self._now()
        self._expire(now)
        limited_ids = self._cold.ids() | self._windows.ids()
        steady: list[TargetWork] = []
        limited: list[TargetWork] = []
        for work in works:
            (limited if work.target.target_id in limited_ids else steady).append(work)
        compared = self._compared(limited)
        allowed = [work for work in compared if self._cold_wait(work.target, now) <= 0]
        self._count_left_out(len(compared) - len(allowed), now)
        within = steady + [work for work in allowed if self._has_room(work, now)]
        if steady and all(work.occupied_slots >= work.slots for work in steady):
            # Also those that other instances are selected for: a queue elsewhere is worse.
            within = steady + [
                work
                for work in allowed
                if _load(work) < (self._windows.window(work.target, now) or work.slots)
            ]
        if within or not allowed:
            return within
        return [min(allowed, key=_relative_load)]

    def reject(self, request_id: str, works: list[TargetWork]) -> timedelta:
        """Return when the cold limit may admit one of these targets, none of which it does now.

        Other instances have capacity before, so that the caller need not wait for the end of the
        cold time where this one is not selected.
        """
        now = self._now()
        compared = self._compared(works)
        wait = min(self._cold_wait(work.target, now) for work in compared)
        left = min(self._cold.seconds_left(work.target, now) for work in compared)
        retry_after = max(
            MIN_COLD_RETRY_AFTER, timedelta(seconds=min(wait, left, ARRIVAL_WINDOW_SECONDS))
        )
        self.rejected += 1
        log_events.emit(
            log_events.COLD_LIMIT_REACHED,
            request=request_id,
            targets=len(works),
            cold_ms=round(left * 1000),
            retry_after_ms=round(retry_after / timedelta(milliseconds=1)),
        )
        return retry_after

    def take(self, targets: Iterable[Target]) -> None:
        """Record that this instance sends a request to targets, as its lead and its helpers."""
        if not len(self._cold):
            return
        now = self._now()
        for target in targets:
            if rate := self._cold_rate(target, now):
                self._limiter.take(target.target_id, rate, self._hear(target), now)

    def counts(self) -> dict[str, float]:
        """Return the number of cold and of recovering targets."""
        now = self._now()
        self._expire(now)
        cold = sum(1 for item in self._known.values() if self._cold_rate(item.target, now))
        return {"cold": float(cold), "recovering": float(len(self._windows))}

    def decisions(self) -> dict[str, float]:
        """Return the number of placements in which the cold limit left out or rejected targets."""
        return {"left_out": float(self.left_out), "rejected": float(self.rejected)}

    def _compared(self, limited: list[TargetWork]) -> list[TargetWork]:
        """Return limited targets to examine for one request, other ones for the next request."""
        if len(limited) <= MAX_EXAMINED_TARGETS:
            return limited
        start = self._next_examined % len(limited)
        self._next_examined += MAX_EXAMINED_TARGETS
        return (limited[start:] + limited[:start])[:MAX_EXAMINED_TARGETS]

    def _begin_listed_cold(self, item: ListedTarget, cold_ms: int) -> None:
        """Record the cold time of an entry of the list; a target that becomes cold recovers."""
        now = self._now()
        if cold_ms > 0 and self._cold.seconds_left(item.target, now) <= 0:
            self._windows.begin(item.target, RecoveryCause.COLD, now)
        self._cold.set_listed(item.target, cold_ms / 1000, now)

    def _record_sample(self, sample: PaceSample) -> None:
        work = self._works.get(sample.process.target_id)
        if work is not None:
            self._windows.record_sample(sample.process, sample.on_time, work.slots, self._now())

    def _cold_rate(self, target: Target, now: float) -> float:
        """Return the requests a second that a target takes while it is cold, 0 without a limit."""
        service = self._services.get(target.service)
        if service is None or self._cold.seconds_left(target, now) <= 0:
            return 0.0
        return service.cold_rate

    def _cold_wait(self, target: Target, now: float) -> float:
        """Return the seconds until the cold limit admits a target; infinite if not from here."""
        if not len(self._cold) or not (rate := self._cold_rate(target, now)):
            return 0.0
        wait = self._limiter.wait(target.target_id, rate, self._hear(target), now)
        return inf if wait is None else wait

    def _hear(self, target: Target) -> Hearing:
        """Return what this instance learns of placements on a target.

        While requests arrive slowly, placements are known before the next one is made, as if this
        instance placed them all.
        """
        reported = self._services[target.service].engine is not None
        hearing = self._hearing.hearing(target, reported)
        match hearing:
            case Informed() | InformedInZone() if reported:
                rate = self._works.arrival_rate(target.service, self._now())
                return Informed(1, 0) if rate * MESSAGE_SECONDS < 1.0 else hearing
            case _:
                return hearing

    def _has_room(self, work: TargetWork, now: float) -> bool:
        """Return whether a target is in steady state, or this instance may send it one more.

        All instances see free capacity of a window at once, before the messages about the first
        placements arrive, so only a few of them use it, each at most its part of the window.
        """
        window = self._windows.window(work.target, now)
        if window is None:
            return True
        if _load(work) >= window:
            return False
        hearing = self._hear(work.target)
        senders = ceil(window * SENDERS_PER_WINDOW)
        match hearing:
            case Informed() | InformedInZone() | InformedInPart():
                senders = min(senders, hearing.instances)
            case Uninformed() | Unreported():
                pass
        own = sum(1 for item in work.requests.values() if not item.placed.origin)
        return hearing.rank < senders and own < ceil(window / senders)

    def _count_left_out(self, count: int, now: float) -> None:
        """Count a placement without cold targets; log it once a second."""
        if count == 0:
            return
        self.left_out += 1
        if now - self._left_out_logged_at >= LEFT_OUT_LOG_SECONDS:
            self._left_out_logged_at = now
            log_events.emit(
                log_events.COLD_TARGETS_LEFT_OUT, targets=count, placements=self.left_out
            )

    def _drop_others(self) -> None:
        """Forget the targets that are no longer listed."""
        self._cold.retain(self._known)
        self._windows.retain({item.target.process for item in self._known.values()})
        self._limiter.retain(self._known)

    def _expire(self, now: float) -> None:
        if now - self._expired_at >= EXPIRY_SECONDS:
            self._expired_at = now
            for target_id in self._cold.expire(now):
                self._limiter.forget(target_id)
            self._windows.expire(now)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def _load(work: TargetWork) -> int:
    """Return the requests that a target generates responses for, and the prompts that it helps."""
    return work.occupied_slots + work.helped_prompts


def _relative_load(work: TargetWork) -> float:
    return _load(work) / work.slots
