"""Decides what concerns only the entry instances of one zone of a large fleet."""

import enum
from collections import Counter

import msgspec

from wasabiwell_entry.coordination.exchange.const import (
    CALL_TELL_AGE,
    CELL_TARGETS,
    LARGE_FLEET_INSTANCES,
)
from wasabiwell_entry.state.exchange import (
    AttemptVerdict,
    DecodeStarted,
    Notice,
    PlacementNotice,
    RequestEnded,
    RequestPlaced,
    RetryNotice,
)
from wasabiwell_entry.state.nodes import NodeTable
from wasabiwell_entry.state.work import WorkTable

TOLD_VERDICTS = frozenset({AttemptVerdict.LOST, AttemptVerdict.REFUSED})
"""Ends of calls that others should know of although they did not know of the call."""


class Audience(enum.Enum):
    """Whom a message concerns."""

    ALL = "all"
    ZONE = "zone"
    NOBODY = "nobody"


class ZoneLocality:
    """Makes each zone a cell whose instances place most requests on the targets of that zone.

    Messages on requests that one target of the zone processes are then told in the zone only, so
    that their number grows with the instances of a zone. Split prompts are told to all, as another
    zone may use the same targets when it has no room. That such a request's first event has
    arrived is not told: the others predict it. Calls of plain services, which are short and many,
    are told in the zone too, and only when they have run for a while, or when their target was lost
    or had no room.
    """

    __slots__ = ("_near", "_nodes", "_untold", "_works", "_zone")

    def __init__(self, zone: str, nodes: NodeTable, works: WorkTable) -> None:
        self._zone = zone
        self._nodes = nodes
        self._works = works
        self._near: set[str] = set()
        self._untold: dict[str, tuple[float, PlacementNotice]] = {}

    @property
    def large_fleet(self) -> bool:
        """Return whether there are too many instances to tell all of them everything."""
        return len(self._nodes) >= LARGE_FLEET_INSTANCES

    def in_use(self, service: str) -> bool:
        """Return whether the fleet is large and each zone has enough targets of a service."""
        if not self.large_fleet:
            return False
        targets = Counter(work.target.zone for work in self._works.of_service(service))
        zones = {node.state.zone for node in self._nodes if node.state is not None}
        return all(targets[zone] >= CELL_TARGETS for zone in zones | {self._zone} | targets.keys())

    def audience(self, notice: Notice, now: float) -> Audience:
        """Return whom a message concerns; `now` is a monotonic time in seconds."""
        match notice:
            case RequestPlaced(notice=placing) if placing.prompt == 0 and self.large_fleet:
                self._untold[placing.request_id] = (now, placing)
                return Audience.NOBODY
            case RequestEnded(request_id=request_id) if request_id in self._untold:
                del self._untold[request_id]
                return Audience.ZONE if notice.verdict in TOLD_VERDICTS else Audience.NOBODY
            case RequestPlaced(notice=placing) if self._is_near(placing):
                self._near.add(placing.request_id)
                return Audience.ZONE
            case DecodeStarted(request_id=request_id) if request_id in self._near:
                return Audience.NOBODY
            case RequestEnded(request_id=request_id) if request_id in self._near:
                self._near.discard(request_id)
                return Audience.ZONE
            case RetryNotice() if not self.large_fleet:
                return Audience.NOBODY
            case _:
                return Audience.ALL

    def overdue_calls(self, now: float) -> list[RequestPlaced]:
        """Return messages on the calls that have run for a while and were not told yet."""
        overdue = [
            (began, notice)
            for began, notice in self._untold.values()
            if now - began >= CALL_TELL_AGE.total_seconds()
        ]
        for _, notice in overdue:
            del self._untold[notice.request_id]
            self._near.add(notice.request_id)
        return [RequestPlaced(_aged(notice, now - began)) for began, notice in overdue]

    def is_own(self, zone: str) -> bool:
        """Return whether a zone is that of this instance."""
        return zone == self._zone

    def _is_near(self, placing: PlacementNotice) -> bool:
        lead = self._works.get(placing.lead)
        return (
            not placing.helpers
            and lead is not None
            and lead.target.zone == self._zone
            and self.in_use(placing.service)
        )


def _aged(notice: PlacementNotice, seconds: float) -> PlacementNotice:
    """Return a message that is sent some time after the placement it tells of."""
    milliseconds = round(seconds * 1000)
    return msgspec.structs.replace(
        notice,
        age_ms=notice.age_ms + milliseconds,
        due_in_ms=notice.due_in_ms - milliseconds,
    )
