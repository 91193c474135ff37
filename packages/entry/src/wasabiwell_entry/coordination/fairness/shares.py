"""Work of each organisation at the targets of a service, and its fair share.

Each instance computes it from the placements of all instances. A request's cost is the target time
that it takes, in seconds. While an organisation is inside its share, the cost is charged when its
request is placed, otherwise when the request has run. When a request has run, its cost is credited
in equal parts to the organisations that are charged. Work beyond the share that was placed while
there was capacity is neither charged nor credited, so that it is not held against the organisation
later. So the charges add up to the work that was
placed inside the shares, and an organisation that was served more than others in an equal time is
charged more. An organisation without a charge gets no credit: what it leaves goes to the others.

This is fair queueing: the charge is the distance of the organisation's finish tag from the virtual
time, and a credit advances the virtual time.
"""

import heapq
from dataclasses import dataclass, field

from wasabiwell_entry.coordination.fairness.const import (
    DEMAND_CHECK_SECONDS,
    DEMAND_SECONDS,
    PEER_LIMIT_RATIO,
    SHARE_SLACK,
)
from wasabiwell_entry.coordination.fairness.weights import finish_tag, inverse_share, start_tag

WEIGHT = 1.0
"""Weight of each organisation: the platform's configuration has no weights."""
MIN_TAG_DISTANCE = 1e-9
"""Smaller charges are rounding errors of the tags."""


@dataclass(slots=True)
class Demand:
    """The last request of an organisation, with its latency objective; times are in seconds."""

    seen: float
    objective: float


@dataclass(frozen=True, slots=True)
class OpenCharge:
    """A request at the targets.

    `in_share` is set if its cost was charged when it was placed, and `charged_later` if it is
    charged once it has run.
    """

    organisation: str
    cost: float
    in_share: bool
    charged_later: bool


@dataclass(frozen=True, slots=True)
class SharePosition:
    """The share of an organisation at one moment, in seconds of target time.

    `charge` is the organisation's charge, and `limit` the largest one inside its share.
    `demanding` is the number of organisations with demand. `another_over` is set if another one is
    over its share. `shortest_below` is the shortest objective of the other organisations that are
    inside their share and have demand, if there are any. `left_ratio` is the part of the capacity
    that the work inside the shares leaves.
    """

    charge: float
    limit: float
    demanding: int
    another_over: bool
    shortest_below: float | None
    left_ratio: float

    @property
    def inside(self) -> bool:
        """Return whether the organisation is inside its share."""
        return self.charge <= self.limit


@dataclass(slots=True)
class ServiceShares:
    """Charges of the organisations at one service.

    `slots` is the number of slots of its usable targets, 0 until it is known. `full_at` is the last
    time at which a request was placed while all of them were occupied. `tags` has the finish
    tags that are above the virtual time; `order` has them as a heap, with outdated entries.
    """

    slots: int = 0
    virtual_time: float = 0.0
    tags: dict[str, float] = field(default_factory=dict)
    order: list[tuple[float, str]] = field(default_factory=list)
    demands: dict[str, Demand] = field(default_factory=dict)
    open: dict[str, OpenCharge] = field(default_factory=dict)
    open_cost: float = 0.0
    demands_checked: float = 0.0
    full_at: float | None = None

    def charge_of(self, organisation: str) -> float:
        """Return the charge of an organisation."""
        return max(0.0, self.tags.get(organisation, 0.0) - self.virtual_time) * WEIGHT

    def record_demand(self, organisation: str, objective: float, now: float) -> None:
        """Record a request of an organisation, whether it is placed or not."""
        self.demands[organisation] = Demand(now, objective)
        if not 0 <= now - self.demands_checked < DEMAND_CHECK_SECONDS:
            self._drop_ended_demands(now)

    def add(
        self, request_id: str, organisation: str, cost: float, now: float, by_peer: bool = False
    ) -> None:
        """Record a request that is placed.

        A peer may not have known of the latest placements when it placed the request, and took the
        organisation to be inside its share.
        """
        margin = PEER_LIMIT_RATIO if by_peer else 1.0
        in_share = self.charge_of(organisation) <= margin * self.limit()
        if self.slots and len(self.open) >= self.slots:
            self.full_at = now
        recently_full = self.full_at is not None and now - self.full_at <= DEMAND_SECONDS
        charged_later = not in_share and recently_full
        self.open[request_id] = OpenCharge(organisation, cost, in_share, charged_later)
        self.open_cost += cost
        if in_share:
            self._charge(organisation, cost)

    def remove(self, request_id: str, has_run: bool) -> None:
        """Record the end of a request. One that has not run is not charged."""
        ended = self.open.pop(request_id, None)
        if ended is None:
            return
        self.open_cost = max(0.0, self.open_cost - ended.cost) if self.open else 0.0
        if has_run:
            if ended.charged_later:
                self._charge(ended.organisation, ended.cost)
            if ended.in_share or ended.charged_later:
                self._credit(ended.cost)
        elif ended.in_share:
            self._refund(ended.organisation, ended.cost)
        if not self.open:
            # Without work at the targets nobody is over a share.
            self.tags.clear()
            self.order.clear()

    def running_cost(self) -> float:
        """Return the work of the requests that have slots, if the targets are equally loaded."""
        if not self.slots or len(self.open) <= self.slots:
            return self.open_cost
        return self.open_cost * self.slots / len(self.open)

    def limit(self) -> float:
        """Return the largest charge of an organisation inside its share.

        It is its part of the work in the slots, and some more that is queued.
        """
        weights = (WEIGHT for _ in range(max(1, len(self.demands))))
        return (1 + SHARE_SLACK) * self.running_cost() / inverse_share(WEIGHT, weights)

    def position(self, organisation: str, now: float) -> SharePosition:
        """Return the share of an organisation; the time grows with the organisations."""
        self._drop_ended_demands(now)
        limit = self.limit()
        another_over = False
        shortest_below: float | None = None
        for name, demand in self.demands.items():
            if name == organisation:
                continue
            if self.charge_of(name) > limit:
                another_over = True
            elif shortest_below is None or demand.objective < shortest_below:
                shortest_below = demand.objective
        charged = sum(self.tags.values()) - len(self.tags) * self.virtual_time
        running = self.running_cost()
        return SharePosition(
            charge=self.charge_of(organisation),
            limit=limit,
            demanding=max(1, len(self.demands)),
            another_over=another_over,
            shortest_below=shortest_below,
            left_ratio=max(0.0, 1 - charged * WEIGHT / running) if running > 0 else 1.0,
        )

    def _drop_ended_demands(self, now: float) -> None:
        self.demands_checked = now
        ended = [
            name
            for name, demand in self.demands.items()
            if name not in self.tags and now - demand.seen > DEMAND_SECONDS
        ]
        for name in ended:
            del self.demands[name]

    def _charge(self, organisation: str, cost: float) -> None:
        start = start_tag(self.virtual_time, self.tags.get(organisation, 0.0))
        self._set_tag(organisation, finish_tag(start, cost, WEIGHT))

    def _refund(self, organisation: str, cost: float) -> None:
        charged = self.charge_of(organisation)
        if (tag := self.tags.get(organisation)) is not None:
            self._set_tag(organisation, tag - cost / WEIGHT)
        # A part of the cost was credited already, in place of the charges of the others.
        self._credit(max(0.0, cost - charged))

    def _credit(self, cost: float) -> None:
        left = cost
        while left > 0 and self.order:
            tag, organisation = self.order[0]
            if self.tags.get(organisation) != tag:
                heapq.heappop(self.order)
                continue
            weights = WEIGHT * len(self.tags)
            step = min(left / weights, tag - self.virtual_time)
            self.virtual_time += step
            left -= step * weights
            if tag - self.virtual_time < MIN_TAG_DISTANCE:
                heapq.heappop(self.order)
                del self.tags[organisation]

    def _set_tag(self, organisation: str, tag: float) -> None:
        if tag - self.virtual_time < MIN_TAG_DISTANCE:
            self.tags.pop(organisation, None)
            return
        self.tags[organisation] = tag
        heapq.heappush(self.order, (tag, organisation))
        if len(self.order) > 4 * len(self.tags) + 64:
            self.order = [(tag, name) for name, tag in self.tags.items()]
            heapq.heapify(self.order)
