"""Adapters that report figures of other components to operators."""

from wasabiwell_entry.coordination.admission import AdmissionCoordinator
from wasabiwell_entry.coordination.credits import CreditHolder, CreditOwner, EngineOwners
from wasabiwell_entry.coordination.operations.errors import Done, NotFound, Unavailable
from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator
from wasabiwell_entry.coordination.quarantine.errors import (
    NotSuspected,
    Released,
    ReleaseUnavailable,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.reports import CreditFigures, QueueFigures, SuspectFigures
from wasabiwell_entry.state.sizes import SizeClass


class AdmissionQueueProvider:
    """Reports the admission queues."""

    __slots__ = ("_admission",)

    def __init__(self, admission: AdmissionCoordinator) -> None:
        self._admission = admission

    def queue_figures(self) -> tuple[QueueFigures, ...]:
        """Return the figures of each size class."""
        figures = []
        for size in SizeClass:
            waits = self._admission.waits(size)
            oldest = max(waits).total_seconds() if waits else 0.0
            figures.append(QueueFigures(size.value, len(waits), oldest))
        return tuple(figures)


class EngineCreditProvider:
    """Reports the credits and owners of engines."""

    __slots__ = ("_holder", "_owner", "_owners")

    def __init__(self, owners: EngineOwners, owner: CreditOwner, holder: CreditHolder) -> None:
        self._owners = owners
        self._owner = owner
        self._holder = holder

    def credit_figures(self) -> tuple[CreditFigures, ...]:
        """Return the figures of engines whose capacity is held here or was granted from here."""
        held = [
            CreditFigures(engine_id, "holder", amount.slots, amount.tokens)
            for engine_id, amount in self._holder.credits()
        ]
        lent = [
            CreditFigures(engine_id, "owner", amount.slots, amount.tokens)
            for engine_id in self._owners.own_engines()
            if (amount := self._owner.outstanding(engine_id)).slots
        ]
        return (*held, *lent)

    def owner_of(self, target_id: str) -> str:
        """Return the node id of an engine's owner, or an empty string if it is unknown."""
        owner = self._owners.owner(target_id)
        return owner.node_id if isinstance(owner, Member) else ""


class SuspectProvider:
    """Reports suspects, and releases quarantined requests."""

    __slots__ = ("_quarantine",)

    def __init__(self, quarantine: QuarantineCoordinator) -> None:
        self._quarantine = quarantine

    def suspect_figures(self) -> tuple[SuspectFigures, ...]:
        """Return all suspects that this entry instance knows."""
        return tuple(
            SuspectFigures(suspect.fingerprint, suspect.targets, suspect.quarantined)
            for suspect in self._quarantine.suspects()
        )

    async def release(self, fingerprint: str) -> Done | NotFound | Unavailable:
        """Release a quarantined request on every entry instance."""
        match await self._quarantine.release(fingerprint):
            case Released():
                return Done()
            case NotSuspected():
                return NotFound(f"no suspected request has the fingerprint {fingerprint}")
            case ReleaseUnavailable(reason=reason):
                return Unavailable(reason)
