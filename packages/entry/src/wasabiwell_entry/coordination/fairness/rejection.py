"""Decides during a shortage whether a request is rejected, and when it may come back.

All times are in seconds.
"""

from dataclasses import dataclass

from wasabiwell_entry.coordination.fairness.const import MIN_LEFT_RATIO
from wasabiwell_entry.coordination.fairness.shares import ServiceShares, SharePosition
from wasabiwell_entry.state.work import TargetWork


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """Predicted times to the first event at a target whose slots are all occupied.

    `in_share` applies to a request of an organisation inside its share, `over_share` to another
    one, which lets those go first.
    """

    in_share: float
    over_share: float


@dataclass(frozen=True, slots=True)
class Served:
    """The request can be served in time, as far as can be predicted."""


@dataclass(frozen=True, slots=True)
class TooLate:
    """The first event is predicted after the deadline."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class OverShare:
    """The organisation is over its share, and others below theirs would be late."""

    retry_after: float


Verdict = Served | TooLate | OverShare


def forecast(
    work: TargetWork, shares: ServiceShares, left_ratio: float, alone: float, mean_cost: float
) -> QueueForecast:
    """Return the predicted times at a target.

    `alone` is the time to the first event once the request has a slot, and `mean_cost` the mean
    target time of the requests, of which each ends one. The waiting requests are those beyond the
    slots, as the reports of peers do not say which ones wait.
    """
    in_share = sum(
        1
        for request_id, item in work.requests.items()
        if item.lead and (charge := shares.open.get(request_id)) is not None and charge.in_share
    )
    each = mean_cost * work.slowdown
    waiting_in_share = max(0, in_share - work.slots)
    waiting = max(0, work.occupied_slots - work.slots)
    return QueueForecast(
        in_share=(waiting_in_share + 1) * each + alone,
        over_share=(waiting + 1) * each / max(MIN_LEFT_RATIO, left_ratio) + alone,
    )


def judge(
    position: SharePosition | None, expected: QueueForecast, left: float, targets: int
) -> Verdict:
    """Return whether a request is rejected.

    `left` is the time until its deadline, `targets` the number of usable targets. An organisation
    inside its share is not rejected while another one is over it.
    """
    if position is None or position.inside:
        if position is not None and position.another_over:
            return Served()
        late_by = expected.in_share - left
        return TooLate(late_by) if late_by > 0 else Served()
    # The charge falls by the organisation's part of the work that the targets do.
    until_inside = (position.charge - position.limit) * position.demanding / max(1, targets)
    if expected.over_share > left:
        return TooLate(min(until_inside, expected.over_share - left))
    if position.shortest_below is not None and expected.in_share > position.shortest_below:
        return OverShare(until_inside)
    return Served()
