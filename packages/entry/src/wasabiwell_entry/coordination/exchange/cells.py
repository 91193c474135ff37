"""Decides what concerns only the entry instances of one zone of a large fleet."""

import enum
from collections import Counter

from wasabiwell_entry.coordination.exchange.const import CELL_TARGETS, LARGE_FLEET_INSTANCES
from wasabiwell_entry.state.exchange import (
    Ending,
    Notice,
    PlacementNotice,
    Placing,
    RepeatNotice,
    Writing,
)
from wasabiwell_entry.state.nodes import NodeTable
from wasabiwell_entry.state.work import WorkTable


class Audience(enum.Enum):
    """Whom a message concerns."""

    ALL = "all"
    ZONE = "zone"
    NOBODY = "nobody"


class ZoneCells:
    """Makes each zone a cell whose instances place most requests on the targets of that zone.

    Messages on requests that one target of the zone processes are then told in the zone only, so
    that their number grows with the instances of a zone. Split prompts are told to all, as another
    zone may use the same targets when it has no room. That such a request's first event has
    arrived is not told: the others predict it. Calls of plain services are told in the zone too:
    they are short and many.
    """

    __slots__ = ("_near", "_nodes", "_works", "_zone")

    def __init__(self, zone: str, nodes: NodeTable, works: WorkTable) -> None:
        self._zone = zone
        self._nodes = nodes
        self._works = works
        self._near: set[str] = set()

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

    def audience(self, notice: Notice) -> Audience:
        """Return whom a message concerns that is about to be sent."""
        match notice:
            case Placing(notice=placing) if self._is_near(placing):
                self._near.add(placing.request_id)
                return Audience.ZONE
            case Writing(request_id=request_id) if request_id in self._near:
                return Audience.NOBODY
            case Ending(request_id=request_id) if request_id in self._near:
                self._near.discard(request_id)
                return Audience.ZONE
            case RepeatNotice() if not self.large_fleet:
                return Audience.NOBODY
            case _:
                return Audience.ALL

    def is_own(self, zone: str) -> bool:
        """Return whether a zone is that of this instance."""
        return zone == self._zone

    def _is_near(self, placing: PlacementNotice) -> bool:
        if placing.prompt == 0:
            return self.large_fleet
        lead = self._works.get(placing.lead)
        return (
            not placing.helpers
            and lead is not None
            and lead.target.zone == self._zone
            and self.in_use(placing.service)
        )
