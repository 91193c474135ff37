"""Tracks the instance list and polls the load and prefix caches of engines."""

from collections.abc import Callable

import trio

from wasabiwell_entry.coordination.dispatch.ports import TargetFailure
from wasabiwell_entry.coordination.membership.ports import MarkPort
from wasabiwell_entry.coordination.targets.const import (
    CACHE_EVENT_INTERVAL,
    INSTANCE_LIST_INTERVAL,
    LEAVING_KIND,
    LEAVING_LIFETIME,
    LOAD_INTERVAL,
    MAX_CACHED_PREFIXES,
    OPERATOR_LEAVING_LIFETIME,
    SOURCE_LIST,
    SOURCE_LOAD,
    SOURCE_OPERATOR,
)
from wasabiwell_entry.coordination.targets.errors import LoadUnavailable
from wasabiwell_entry.coordination.targets.ports import CacheReport, LoadPort, LoadReport
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.platform import InstanceRecord
from wasabiwell_entry.state.targets import Target, TargetKind, TargetStatus, TargetTable


class TargetCoordinator:
    """Maintains the target table of one entry instance, with one polling task per engine."""

    __slots__ = ("_clock", "_loads", "_marks", "_node_id", "_observers", "_poll_scopes", "_targets")

    def __init__(
        self, targets: TargetTable, loads: LoadPort, marks: MarkPort, clock: Clock, node_id: str
    ) -> None:
        self._marks = marks
        self._node_id = node_id
        self._targets = targets
        self._loads = loads
        self._clock = clock
        self._observers: list[Callable[[], None]] = []
        self._poll_scopes: dict[str, trio.CancelScope] = {}
        marks.subscribe(LEAVING_KIND, self._apply_mark)

    def observe(self, observer: Callable[[], None]) -> None:
        """Register an observer that is called after each load report."""
        self._observers.append(observer)

    async def run(self) -> None:
        """Poll each engine in a separate task until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for status in self._targets:
                    target_id = status.target.target_id
                    if (
                        status.target.kind is TargetKind.ENGINE
                        and target_id not in self._poll_scopes
                    ):
                        scope = trio.CancelScope()
                        self._poll_scopes[target_id] = scope
                        nursery.start_soon(self._poll_engine, target_id, scope)
                await self._clock.sleep(INSTANCE_LIST_INTERVAL)

    def update_instances(self, records: list[InstanceRecord]) -> None:
        """Update the target table from the instance list."""
        targets = [record for record in records if record.role != "entry"]
        for record in targets:
            status = self._targets.put(_to_target(record))
            self._update_leaving(status, record.leaving, SOURCE_LIST)
        for target_id in self._targets.retain(record.instance_id for record in targets):
            if target_id in self._poll_scopes:
                self._poll_scopes[target_id].cancel()

    def instances(self) -> list[InstanceRecord]:
        """Return the targets as records of the instance list."""
        return [_to_record(status) for status in self._targets]

    def drain(self, target_id: str, leaving: bool = True) -> bool:
        """Set or clear the operator's leaving mark; return False if the target is unknown."""
        status = self._targets.get(target_id)
        if status is None:
            return False
        self._marks.publish(
            LEAVING_KIND,
            _mark_key(status.target),
            OPERATOR_LEAVING_LIFETIME,
            SOURCE_OPERATOR,
            leaving,
        )
        return True

    def target_lost(self, failure: TargetFailure) -> None:
        """Record that a target may have crashed; it gets no requests for some time."""
        status = self._targets.get(failure.target_id)
        if status is None:
            return
        if status.lost_at is None:
            log_events.emit(log_events.TARGET_LOST, target=failure.target_id)
        status.lost_at = failure.at

    def target_answered(self, target_id: str) -> None:
        """Record a response of a target, which is therefore not lost."""
        status = self._targets.get(target_id)
        if status is not None:
            status.lost_at = None

    def _update_leaving(self, status: TargetStatus, leaving: bool, source: bytes) -> None:
        """Publish or clear a source's leaving mark; only the publisher clears its own mark."""
        key = _mark_key(status.target)
        mark = self._marks.mark(LEAVING_KIND, key)
        marked = mark is not None and mark.active
        if leaving and (mark is None or not marked or self._is_half_expired(mark)):
            self._marks.publish(LEAVING_KIND, key, LEAVING_LIFETIME, source)
        elif (
            mark is not None
            and marked
            and not leaving
            and (mark.origin, mark.value) == (self._node_id, source)
        ):
            self._marks.publish(LEAVING_KIND, key, LEAVING_LIFETIME, source, active=False)
        mark = self._marks.mark(LEAVING_KIND, key)
        status.leaving = mark is not None and mark.active

    def _apply_mark(self, mark: Mark) -> None:
        status = self._targets.get(mark.key.partition("@")[0])
        if status is not None and _mark_key(status.target) == mark.key:
            status.leaving = mark.active

    def _is_half_expired(self, mark: Mark) -> bool:
        left = mark.expires - self._clock.now().timestamp()
        return left < LEAVING_LIFETIME.total_seconds() / 2

    async def _poll_engine(self, target_id: str, scope: trio.CancelScope) -> None:
        next_cache_poll = self._clock.monotonic()
        with scope:
            while (status := self._targets.get(target_id)) is not None:
                await self._poll_load(status)
                if self._clock.monotonic() >= next_cache_poll:
                    next_cache_poll = self._clock.monotonic() + CACHE_EVENT_INTERVAL
                    await self._poll_cache_events(status)
                await self._clock.sleep(LOAD_INTERVAL)
        del self._poll_scopes[target_id]

    async def _poll_load(self, status: TargetStatus) -> None:
        match await self._loads.load(status.target):
            case LoadReport(load=load, leaving=leaving):
                status.load = load
                self._update_leaving(status, leaving, SOURCE_LOAD)
                status.lost_at = None
                for observer in self._observers:
                    observer()
            case LoadUnavailable():
                self.target_lost(TargetFailure(status.target.target_id, self._clock.monotonic()))

    async def _poll_cache_events(self, status: TargetStatus) -> None:
        if status.lost_at is not None:
            return
        match await self._loads.cache_events(status.target, status.cache_position):
            case CacheReport() as report:
                update_cache(status, report)
            case LoadUnavailable():
                # Only the load query decides whether an engine is lost; cached hints stay in use.
                return


def update_cache(status: TargetStatus, report: CacheReport) -> None:
    """Apply prefix cache events; the cache is cleared first if the engine has restarted."""
    if report.last < status.cache_position:
        status.cached_prefixes.clear()
    status.cache_position = report.last
    for event in report.events:
        status.cached_prefixes.pop(event.block, None)
        if event.stored:
            status.cached_prefixes[event.block] = None
    while len(status.cached_prefixes) > MAX_CACHED_PREFIXES:
        del status.cached_prefixes[next(iter(status.cached_prefixes))]


def _to_target(record: InstanceRecord) -> Target:
    return Target(
        target_id=record.instance_id,
        kind=TargetKind(record.role),
        service=record.service,
        address=record.address,
        region=record.region,
        zone=record.zone,
    )


def _to_record(status: TargetStatus) -> InstanceRecord:
    target = status.target
    return InstanceRecord(
        instance_id=target.target_id,
        role=target.kind.value,
        service=target.service,
        address=target.address,
        peer_address="",
        region=target.region,
        zone=target.zone,
        leaving=status.leaving,
    )


def _mark_key(target: Target) -> str:
    return f"{target.target_id}@{target.address}"
