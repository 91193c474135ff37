"""Decides which messages of a large fleet stay in one zone."""

import enum
from collections import Counter

import msgspec

from wasabiwell_entry.coordination.exchange.const import (
    CALL_REPORT_AGE,
    LARGE_FLEET_INSTANCES,
    MIN_ZONE_TARGETS,
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

REPORTED_VERDICTS = frozenset({AttemptVerdict.LOST, AttemptVerdict.REFUSED})
"""Verdicts that are sent even if the placement of the call was not."""


class Audience(enum.Enum):
    """Peers that receive a message."""

    ALL = "all"
    ZONE = "zone"
    NOBODY = "nobody"


class ZoneLocality:
    """Selects the recipients of messages where zone-local placement is in use.

    In a large fleet, instances place most requests on the targets of their own zone. Messages about
    a request that runs on a single target of the zone are therefore sent within the zone only, so
    that their number grows with the size of the zone and not of the fleet. Split prefills are
    reported to all instances, because another zone may use the same targets when its own have no
    capacity left. The first event of a zone-local request is not reported, because the peers
    predict it. Calls of plain services are short and frequent: they are reported within the zone,
    and only after they have run for `CALL_REPORT_AGE` or if their target was lost or refused them.
    """

    __slots__ = ("_nodes", "_unreported_calls", "_works", "_zone", "_zone_only")

    def __init__(self, zone: str, nodes: NodeTable, works: WorkTable) -> None:
        self._zone = zone
        self._nodes = nodes
        self._works = works
        self._zone_only: set[str] = set()
        self._unreported_calls: dict[str, tuple[float, PlacementNotice]] = {}

    @property
    def large_fleet(self) -> bool:
        """Return whether the fleet is too large to send every message to every instance."""
        return len(self._nodes) >= LARGE_FLEET_INSTANCES

    def in_use(self, service: str) -> bool:
        """Return whether requests for a service are placed within their zone.

        This takes a large fleet with enough targets of the service in each zone.
        """
        if not self.large_fleet:
            return False
        targets = Counter(work.target.zone for work in self._works.of_service(service))
        zones = {node.state.zone for node in self._nodes if node.state is not None}
        return all(
            targets[zone] >= MIN_ZONE_TARGETS for zone in zones | {self._zone} | targets.keys()
        )

    def audience(self, notice: Notice, now: float) -> Audience:
        """Return the peers that receive a message; `now` is a monotonic time in seconds."""
        match notice:
            case RequestPlaced(notice=placement) if placement.prompt == 0 and self.large_fleet:
                self._unreported_calls[placement.request_id] = (now, placement)
                return Audience.NOBODY
            case RequestEnded(request_id=request_id) if request_id in self._unreported_calls:
                del self._unreported_calls[request_id]
                return Audience.ZONE if notice.verdict in REPORTED_VERDICTS else Audience.NOBODY
            case RequestPlaced(notice=placement) if self._stays_in_zone(placement):
                self._zone_only.add(placement.request_id)
                return Audience.ZONE
            case DecodeStarted(request_id=request_id) if request_id in self._zone_only:
                return Audience.NOBODY
            case RequestEnded(request_id=request_id) if request_id in self._zone_only:
                self._zone_only.discard(request_id)
                return Audience.ZONE
            case RetryNotice() if not self.large_fleet:
                return Audience.NOBODY
            case _:
                return Audience.ALL

    def calls_to_report(self, now: float) -> list[RequestPlaced]:
        """Return placement messages for the unreported calls older than `CALL_REPORT_AGE`."""
        due_calls = [
            (placed_at, notice)
            for placed_at, notice in self._unreported_calls.values()
            if now - placed_at >= CALL_REPORT_AGE.total_seconds()
        ]
        for _, notice in due_calls:
            del self._unreported_calls[notice.request_id]
            self._zone_only.add(notice.request_id)
        return [
            RequestPlaced(_with_added_age(notice, now - placed_at))
            for placed_at, notice in due_calls
        ]

    def is_own_zone(self, zone: str) -> bool:
        """Return whether this instance is in a zone."""
        return zone == self._zone

    def _stays_in_zone(self, placement: PlacementNotice) -> bool:
        lead = self._works.get(placement.lead)
        return (
            not placement.helpers
            and lead is not None
            and lead.target.zone == self._zone
            and self.in_use(placement.service)
        )


def _with_added_age(notice: PlacementNotice, seconds: float) -> PlacementNotice:
    """Return a placement message with its times adjusted for a delay before sending."""
    milliseconds = round(seconds * 1000)
    return msgspec.structs.replace(
        notice,
        age_ms=notice.age_ms + milliseconds,
        due_in_ms=notice.due_in_ms - milliseconds,
    )
