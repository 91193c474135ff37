"""Applies shares, order and rejections to the requests of one entry instance."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from wasabiwell_entry.coordination.fairness.const import (
    BURST,
    MAX_REPORTED_ORGANISATIONS,
    MAX_RETRY_AFTER,
    MIN_ORGANISATIONS,
    MIN_RETRY_AFTER,
    SHORTAGE_END,
)
from wasabiwell_entry.coordination.fairness.errors import (
    Ordered,
    Rejected,
    SharingDecision,
    Sufficient,
)
from wasabiwell_entry.coordination.fairness.order import (
    loses_little,
    shortage_urgency,
    target_seconds,
)
from wasabiwell_entry.coordination.fairness.rejection import (
    OverShare,
    QueueForecast,
    Served,
    TooLate,
    forecast,
    judge,
)
from wasabiwell_entry.coordination.fairness.shares import ServiceShares, SharePosition
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.forwarding import ForwardedRequest, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import PlacedRequest, TargetWork

RETRY_AFTER_SPREAD = 0.25
"""Part of the time by which `Retry-After` is extended at random, so that the callers do not return
together."""


@dataclass(slots=True)
class _Shortage:
    """A shortage of a service: when it began, and when a request last found no free slot."""

    began: timedelta
    last: timedelta


class FairSharing:
    """Shares the engines of each service between organisations; implements `WorkObserver`.

    It is active only where the configuration names at least two organisations; elsewhere it
    records nothing and changes no decision. Plain services are left out, as the time of their
    requests is not predicted.
    """

    __slots__ = ("_clock", "_organisations", "_random", "_services", "_shortages", "rejections")

    def __init__(
        self, organisations: Callable[[], int], clock: Clock, random: Random | None = None
    ) -> None:
        """Take the number of organisations in the configuration in force."""
        self._organisations = organisations
        self._clock = clock
        self._random = random or Random()
        self._services: dict[str, ServiceShares] = {}
        self._shortages: dict[str, _Shortage] = {}
        self.rejections: Counter[str] = Counter()

    @property
    def active(self) -> bool:
        """Return whether capacity is shared between organisations."""
        return self._organisations() >= MIN_ORGANISATIONS

    def added(self, placed: PlacedRequest, profile: EngineProfile | None) -> None:
        """Record a request that an instance has placed."""
        if placed.size is None or profile is None or not placed.organisation or not self.active:
            return
        shares = self._services.setdefault(placed.service, ServiceShares())
        objective = placed.due - placed.placed_at
        now = self._clock.monotonic().total_seconds()
        shares.record_demand(placed.organisation, objective, now)
        cost = target_seconds(placed.size, profile)
        shares.add(placed.request_id, placed.organisation, cost, now, by_peer=bool(placed.origin))

    def removed(self, placed: PlacedRequest, has_run: bool) -> None:
        """Record that a request has ended."""
        if (shares := self._services.get(placed.service)) is not None:
            shares.remove(placed.request_id, has_run)

    def decide(
        self,
        request: ForwardedRequest,
        lead: TargetWork,
        usable: list[TargetWork],
        engines: int,
        may_reject: bool,
    ) -> SharingDecision:
        """Return how a request is treated whose placement found `lead` as the best target.

        `engines` is the number of engines over which its prefill is split.
        """
        size, profile = request.size, lead.profile
        if size is None or profile is None or not self.active:
            return Sufficient()
        if not is_short_of_capacity(lead, usable):
            self._record_capacity(request.service)
            return Sufficient()
        self._record_shortage(request.service, usable)
        shares = self._services.setdefault(request.service, ServiceShares())
        shares.slots = sum(work.slots for work in usable)
        now = self._clock.monotonic()
        position: SharePosition | None = None
        if request.organisation:
            objective = request.route.objective.total_seconds()
            shares.record_demand(request.organisation, objective, now.total_seconds())
            position = shares.position(request.organisation, now.total_seconds())
        left_ratio = 1.0
        if position is not None and now - self._shortages[request.service].began >= BURST:
            left_ratio = position.left_ratio
        expected = _forecast(shares, left_ratio, lead, size, profile, engines)
        left = (request.deadline - now).total_seconds()
        verdict = judge(position, expected, left, len(usable)) if may_reject else Served()
        match verdict:
            case Served():
                waited = (now - request.received) / max(
                    timedelta(milliseconds=1), request.deadline - request.received
                )
                low_value = loses_little(size, profile)
                return Ordered(shortage_urgency(position, request.priority, low_value, waited))
            case TooLate(retry_after=seconds):
                reason = "too_late"
            case OverShare(retry_after=seconds):
                reason = "over_share"
        return self._rejected(request, reason, seconds, position, expected, left)

    def shares_by_organisation(self) -> dict[str, float]:
        """Return the charges by service and organisation, the largest ones only."""
        charges = {
            f"{service}/{name}": shares.charge_of(name)
            for service, shares in self._services.items()
            for name in shares.tags
        }
        largest = sorted(charges.items(), key=lambda item: -item[1])[:MAX_REPORTED_ORGANISATIONS]
        return dict(largest)

    def short_services(self) -> dict[str, float]:
        """Return 1 for each service that is short of capacity."""
        since = self._clock.monotonic() - SHORTAGE_END
        return {name: 1.0 for name, item in self._shortages.items() if item.last > since}

    def rejections_by_reason(self) -> dict[str, float]:
        """Return the number of rejected requests by reason."""
        return dict(self.rejections)

    def _rejected(
        self,
        request: ForwardedRequest,
        reason: str,
        seconds: float,
        position: SharePosition | None,
        expected: QueueForecast,
        left: float,
    ) -> Rejected:
        spread = 1 + RETRY_AFTER_SPREAD * self._random.random()
        retry_after = min(
            MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, timedelta(seconds=max(0.0, seconds) * spread))
        )
        self.rejections[reason] += 1
        log_events.emit(
            log_events.REJECTED_IN_SHORTAGE,
            request=request.request_id,
            service=request.service,
            organisation=request.organisation or "",
            reason=reason,
            expected_ms=round(1000 * expected.in_share),
            over_share_ms=round(1000 * expected.over_share),
            left_ms=round(1000 * left),
            charge_ms=round(1000 * position.charge) if position else 0,
            limit_ms=round(1000 * position.limit) if position else 0,
            demanding=position.demanding if position else 0,
            retry_after_ms=round(retry_after / timedelta(milliseconds=1)),
        )
        return Rejected(f"service {request.service} is short of capacity: {reason}", retry_after)

    def _record_shortage(self, service: str, usable: list[TargetWork]) -> None:
        now = self._clock.monotonic()
        shortage = self._shortages.get(service)
        if shortage is None or now - shortage.last >= SHORTAGE_END:
            self._record_end(service)
            shortage = self._shortages[service] = _Shortage(now, now)
            log_events.emit(
                log_events.SHORTAGE_BEGAN,
                service=service,
                targets=len(usable),
                slots=sum(work.slots for work in usable),
                requests=sum(work.occupied_slots for work in usable),
            )
        shortage.last = now

    def _record_capacity(self, service: str) -> None:
        shortage = self._shortages.get(service)
        if shortage is not None and self._clock.monotonic() - shortage.last >= SHORTAGE_END:
            self._record_end(service)

    def _record_end(self, service: str) -> None:
        if self._shortages.pop(service, None) is not None:
            log_events.emit(
                log_events.SHORTAGE_ENDED, service=service, rejected=self.rejections.total()
            )


def _forecast(
    shares: ServiceShares,
    left_ratio: float,
    lead: TargetWork,
    size: PromptSize,
    profile: EngineProfile,
    engines: int,
) -> QueueForecast:
    prefill = profile.prefill_seconds(size.prompt) / engines
    alone = prefill * lead.slowdown + lead.iteration_seconds(lead.decoding_requests())
    own = target_seconds(size, profile)
    mean = shares.open_cost / len(shares.open) if shares.open else own
    return forecast(lead, shares, left_ratio, alone, mean)


def is_short_of_capacity(lead: TargetWork, usable: Iterable[TargetWork]) -> bool:
    """Return whether all slots of the usable targets are occupied.

    Fair sharing changes decisions only while this holds. Normally the target that was found has a
    free slot, so that no other one is looked at.
    """
    if lead.occupied_slots < lead.slots:
        return False
    return all(work.occupied_slots >= work.slots for work in usable)
