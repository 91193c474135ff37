"""Brings the list of targets and the routes together for placing requests."""

from wasabiwell_entry.coordination.health import TargetHealth
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable
from wasabiwell_entry.state.targets import ListedTarget
from wasabiwell_entry.state.work import WorkTable


class Fleet:
    """Updates the work of targets and the beliefs about them when either source changes."""

    __slots__ = ("_clock", "_health", "_listed", "_table", "_works")

    def __init__(self, works: WorkTable, health: TargetHealth, clock: Clock) -> None:
        self._works = works
        self._health = health
        self._clock = clock
        self._listed: list[ListedTarget] = []
        self._table: RouteTable = NO_ROUTES

    def update_targets(self, listed: list[ListedTarget]) -> None:
        """Take over the list of targets."""
        self._listed = listed
        self._health.update(listed)
        self._update()

    def update_routes(self, table: RouteTable) -> None:
        """Take over the routes, whose services tell the speed of their engines."""
        self._table = table
        self._update()

    def _update(self) -> None:
        profiles = {name: service.engine for name, service in self._table.services.items()}
        now = self._clock.monotonic().total_seconds()
        self._works.update(
            [(item.target, profiles.get(item.target.service)) for item in self._listed], now
        )
