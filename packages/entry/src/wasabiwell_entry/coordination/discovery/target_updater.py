"""Applies changes of the list of targets and of the routes to the data that placement uses."""

from wasabiwell_entry.coordination.discovery.ports import TargetPacingUpdates
from wasabiwell_entry.coordination.health import TargetHealth
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.routes import NO_ROUTES, RouteTable
from wasabiwell_entry.state.targets import ListedTarget
from wasabiwell_entry.state.work import WorkTable


class TargetUpdater:
    """Updates work, health and pacing of targets when the list or the routes change."""

    __slots__ = ("_clock", "_health", "_listed", "_pacing", "_routes", "_works")

    def __init__(
        self,
        works: WorkTable,
        health: TargetHealth,
        clock: Clock,
        pacing: TargetPacingUpdates | None = None,
    ) -> None:
        self._works = works
        self._health = health
        self._clock = clock
        self._pacing = pacing
        self._listed: list[ListedTarget] = []
        self._routes: RouteTable = NO_ROUTES

    def update_targets(self, listed: list[ListedTarget]) -> None:
        """Apply a list of targets."""
        self._listed = listed
        self._health.update(listed)
        self._update_works()
        if self._pacing is not None:
            self._pacing.update_targets(listed)

    def update_routes(self, routes: RouteTable) -> None:
        """Apply routes, whose services contain the profiles of their engines."""
        self._routes = routes
        self._update_works()
        if self._pacing is not None:
            self._pacing.update_services(routes.services)

    def _update_works(self) -> None:
        profiles = {name: service.engine for name, service in self._routes.services.items()}
        now = self._clock.monotonic().total_seconds()
        self._works.update(
            [(item.target, profiles.get(item.target.service)) for item in self._listed], now
        )
