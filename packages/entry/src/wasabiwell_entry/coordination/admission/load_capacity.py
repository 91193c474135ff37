"""Capacity estimates from delayed load reports, corrected by recently sent requests."""

from collections.abc import Callable, Sequence

import trio

from wasabiwell_entry.coordination.admission.const import LONG_SLOT_SHARE
from wasabiwell_entry.coordination.admission.ports import Hold, NoCapacity
from wasabiwell_entry.coordination.routing.estimate import EngineEstimate, estimate_engine
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.credits import LONG_MEMORY_SHARE
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import EngineLoad, TargetStatus, TargetTable


class LoadBasedCapacity:
    """Implements `CapacityPort` without messages between entry instances.

    Estimates are based on the target table, to which admission adds its own holds.

    All instances see the same free slots in reports that are up to one second old. Each may always
    use its equal share of an engine's slots. Beyond that, it takes a slot only if every instance
    could take one as well. Otherwise all of them would send at once and fill the engine's own
    queue, where requests no longer run in the order of the fair queues.
    """

    __slots__ = ("_clock", "_holds", "_instances", "_last_hold_id", "_observers", "_targets")

    def __init__(self, targets: TargetTable, clock: Clock, instances: Callable[[], int]) -> None:
        self._targets = targets
        self._clock = clock
        self._instances = instances
        self._observers: list[Callable[[], None]] = []
        self._holds: set[int] = set()
        self._last_hold_id = 0

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold a slot and memory of an engine if they are estimated to be free."""
        refused = self._refusal(target_id, tokens, size)
        if refused is not None:
            return refused
        self._last_hold_id += 1
        self._holds.add(self._last_hold_id)
        return Hold(self._last_hold_id, target_id, tokens)

    def report_demand(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Do nothing; new capacity shows up in the next load report."""

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold capacity of all given engines or of none."""
        await trio.lowlevel.checkpoint()
        for target_id, tokens in parts:
            refused = self._refusal(target_id, tokens, size)
            if refused is not None:
                return refused
        holds = []
        for target_id, tokens in sorted(parts):
            self._last_hold_id += 1
            self._holds.add(self._last_hold_id)
            holds.append(Hold(self._last_hold_id, target_id, tokens))
        return tuple(holds)

    def release(self, hold: Hold) -> None:
        """Release a hold and notify the observers."""
        if hold.hold_id in self._holds:
            self._holds.remove(hold.hold_id)
            self.changed()

    def on_change(self, observer: Callable[[], None]) -> None:
        """Register an observer that is called when capacity may have become available."""
        self._observers.append(observer)

    def changed(self) -> None:
        """Notify the observers that capacity may have become available."""
        for observer in self._observers:
            observer()

    def _refusal(self, target_id: str, tokens: int, size: SizeClass) -> NoCapacity | None:
        status = self._targets.get(target_id)
        if status is None or status.load is None:
            return NoCapacity(f"engine {target_id} has not reported its load")
        estimate = estimate_engine(status, status.load, self._clock.monotonic())
        instances = max(1, self._instances())
        fair_share = -(-status.load.slots // instances)
        if status.outstanding >= fair_share and estimate.free_slots < instances:
            return NoCapacity(f"engine {target_id} has no free slot")
        available = estimate.free_tokens
        if size is SizeClass.LONG:
            if status.long_outstanding >= long_slots(status.load):
                return NoCapacity(f"engine {target_id} has no free slot for long prompts")
            available = long_tokens_available(status, status.load, estimate)
        if available < tokens:
            return NoCapacity(f"engine {target_id} has only {available} free tokens")
        return None


def long_slots(load: EngineLoad) -> int:
    """Return the number of slots of an engine that long prompts may occupy."""
    return max(1, int(load.slots * LONG_SLOT_SHARE))


def long_tokens_available(status: TargetStatus, load: EngineLoad, estimate: EngineEstimate) -> int:
    """Return the memory in tokens available to another long prompt on an engine."""
    share = int(load.total_tokens * LONG_MEMORY_SHARE)
    return min(estimate.free_tokens, share - estimate.other_tokens - status.long_tokens)
