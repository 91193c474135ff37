"""Follows the instance list and the load of engines."""

import trio

from wasabiwell_entry.coordination.dispatch.ports import TargetFailure
from wasabiwell_entry.coordination.targets.const import INSTANCE_LIST_INTERVAL, LOAD_INTERVAL
from wasabiwell_entry.coordination.targets.errors import LoadUnavailable
from wasabiwell_entry.coordination.targets.ports import LoadPort, LoadReport
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import InstanceRecord
from wasabiwell_entry.state.targets import Target, TargetKind, TargetStatus, TargetTable


class TargetCoordinator:
    """Keeps the target table of one entry instance; one task polls each engine."""

    __slots__ = ("_clock", "_loads", "_polled", "_targets")

    def __init__(self, targets: TargetTable, loads: LoadPort, clock: Clock) -> None:
        self._targets = targets
        self._loads = loads
        self._clock = clock
        self._polled: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Poll the load of each engine in a task of its own until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for status in self._targets:
                    target_id = status.target.target_id
                    if status.target.kind is TargetKind.ENGINE and target_id not in self._polled:
                        scope = trio.CancelScope()
                        self._polled[target_id] = scope
                        nursery.start_soon(self._poll_engine, target_id, scope)
                await self._clock.sleep(INSTANCE_LIST_INTERVAL)

    def update_instances(self, records: list[InstanceRecord]) -> None:
        """Take over the targets of the instance list."""
        targets = [record for record in records if record.role != "entry"]
        for record in targets:
            status = self._targets.put(_target(record))
            status.leaving = status.leaving or record.leaving
        for target_id in self._targets.retain(record.instance_id for record in targets):
            if target_id in self._polled:
                self._polled[target_id].cancel()

    def target_lost(self, failure: TargetFailure) -> None:
        """Note that a target may have died; it gets no request for a while."""
        status = self._targets.get(failure.target_id)
        if status is None:
            return
        if status.lost_at is None:
            log_events.emit(log_events.TARGET_LOST, target=failure.target_id)
        status.lost_at = failure.at

    def target_answered(self, target_id: str) -> None:
        """Note that a target answered."""
        status = self._targets.get(target_id)
        if status is not None:
            status.lost_at = None

    async def _poll_engine(self, target_id: str, scope: trio.CancelScope) -> None:
        with scope:
            while (status := self._targets.get(target_id)) is not None:
                await self._poll_once(status)
                await self._clock.sleep(LOAD_INTERVAL)
        del self._polled[target_id]

    async def _poll_once(self, status: TargetStatus) -> None:
        match await self._loads.load(status.target):
            case LoadReport(load=load, leaving=leaving):
                status.load = load
                status.leaving = status.leaving or leaving
                status.lost_at = None
            case LoadUnavailable():
                self.target_lost(TargetFailure(status.target.target_id, self._clock.monotonic()))


def _target(record: InstanceRecord) -> Target:
    return Target(
        target_id=record.instance_id,
        kind=TargetKind(record.role),
        service=record.service,
        address=record.address,
        region=record.region,
        zone=record.zone,
    )
