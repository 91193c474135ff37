"""Serves operators: status, history, target drain, quarantine and request records."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator
from wasabiwell_entry.coordination.lifecycle.errors import Ready
from wasabiwell_entry.coordination.operations.errors import Done, NotFound, Unavailable
from wasabiwell_entry.coordination.operations.ports import (
    CreditProvider,
    OwnerProvider,
    QuarantineProvider,
    QueueProvider,
)
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.coordination.telemetry.errors import NoRecord
from wasabiwell_entry.coordination.telemetry.records import RequestLog
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.counters import ControlTraffic, Counters
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.reports import (
    MemberFigures,
    RequestCount,
    RequestRecord,
    StatusReport,
    StoreCallCount,
    SuspectFigures,
    TargetFigures,
    TrafficFigures,
)
from wasabiwell_entry.state.targets import TargetStatus, TargetTable


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusSources:
    """Sources of the reported figures; a component that this entry instance lacks is None.

    `target_coordinator` and `quarantine` also carry out operators' requests to drain a target and
    to release a quarantined request.
    """

    own: Member
    configuration: ConfigurationState
    members: MemberTable
    targets: TargetTable
    target_coordinator: TargetCoordinator
    lifecycle: LifecycleCoordinator
    records: RequestLog
    counters: Counters
    traffic: ControlTraffic
    queues: QueueProvider | None = None
    credits: CreditProvider | None = None
    owners: OwnerProvider | None = None
    quarantine: QuarantineProvider | None = None


class OperationsCoordinator:
    """Collects figures of the other components and forwards operators' requests to them."""

    __slots__ = ("_sources",)

    def __init__(self, sources: StatusSources) -> None:
        self._sources = sources

    @property
    def sources(self) -> StatusSources:
        """Return the components that the reported figures come from."""
        return self._sources

    def report(self) -> StatusReport:
        """Return the state of this entry instance."""
        sources = self._sources
        counters = sources.counters
        return StatusReport(
            node_id=sources.own.node_id,
            region=sources.own.region,
            zone=sources.own.zone,
            configuration_version=sources.configuration.version,
            ready=isinstance(sources.lifecycle.readiness(), Ready),
            open_requests=sources.lifecycle.open_requests,
            open_streams=counters.open_streams,
            tokens_relayed=counters.tokens_relayed,
            retries=counters.retries,
            requests=tuple(
                RequestCount(labels.kind, labels.outcome, labels.run, count)
                for labels, count in counters.requests.items()
            ),
            store_calls=tuple(
                StoreCallCount(operation, outcome, count)
                for (operation, outcome), count in counters.store_calls.items()
            ),
            control=_traffic(sources.traffic),
            members=tuple(_member(member) for member in sources.members),
            targets=tuple(self._target(status) for status in sources.targets),
            queues=sources.queues.queue_figures() if sources.queues else None,
            credits=sources.credits.credit_figures() if sources.credits else None,
            suspects=sources.quarantine.suspect_figures() if sources.quarantine else None,
            evacuated_zones=tuple(sorted(sources.configuration.view.evacuated_zones)),
        )

    def history(self, limit: int) -> list[tuple[int, tuple[str, ...]]]:
        """Return the retained configuration versions with their changed paths, newest first."""
        deltas = self._sources.configuration.recent_deltas(limit)
        return [(delta.version, tuple(sorted(delta.changes))) for delta in deltas]

    def record(self, request_id: str) -> RequestRecord | NoRecord:
        """Return the record of a recent request."""
        return self._sources.records.get(request_id)

    def drain_target(self, target_id: str) -> Done | NotFound:
        """Mark a target as leaving on all entry instances; its running requests continue.

        No new requests are placed on it until the mark expires.
        """
        status = self._sources.targets.get(target_id)
        if status is None:
            return NotFound(f"no target has the id {target_id}")
        if not status.leaving:
            log_events.emit(log_events.TARGET_DRAINED, target=target_id)
        self._sources.target_coordinator.drain(target_id)
        return Done()

    def suspects(self) -> tuple[SuspectFigures, ...] | Unavailable:
        """Return all suspects that this entry instance knows."""
        if self._sources.quarantine is None:
            return Unavailable("quarantine is not enabled on this entry instance")
        return self._sources.quarantine.suspect_figures()

    async def release(self, fingerprint: str) -> Done | NotFound | Unavailable:
        """Release a quarantined request on every entry instance."""
        if self._sources.quarantine is None:
            return Unavailable("quarantine is not enabled on this entry instance")
        return await self._sources.quarantine.release(fingerprint)

    def _target(self, status: TargetStatus) -> TargetFigures:
        target, load, owners = status.target, status.load, self._sources.owners
        return TargetFigures(
            target_id=target.target_id,
            kind=target.kind.value,
            service=target.service,
            zone=target.zone,
            leaving=status.leaving,
            lost=status.lost_at is not None,
            outstanding=status.outstanding,
            owner=owners.owner_of(target.target_id) if owners is not None else "",
            running=load.running if load is not None else None,
            queued=load.queued if load is not None else None,
            free_tokens=load.free_tokens if load is not None else None,
        )


def _member(member: Member) -> MemberFigures:
    return MemberFigures(
        member.node_id, member.region, member.zone, member.status.value, member.caller_address
    )


def _traffic(traffic: ControlTraffic) -> TrafficFigures:
    return TrafficFigures(
        traffic.sent_messages,
        traffic.sent_bytes,
        traffic.received_messages,
        traffic.received_bytes,
    )
