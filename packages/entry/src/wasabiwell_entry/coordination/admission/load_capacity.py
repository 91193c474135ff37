"""Capacity judged from lagging load reports, corrected by the own recent sends."""

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
    """Capacity without messages between entry instances.

    Admission counts what it holds in the target table, from which the estimate is made.

    All instances see the same free slots in reports that are up to a second old. Each of them may
    always use its even part of an engine's slots. Above that it takes a slot only while each other
    instance could take one too; otherwise all of them would send at once, fill the engine's own
    queue and take the order of requests out of the fair queues.
    """

    __slots__ = ("_clock", "_holds", "_instances", "_numbers", "_observers", "_targets")

    def __init__(self, targets: TargetTable, clock: Clock, instances: Callable[[], int]) -> None:
        self._targets = targets
        self._clock = clock
        self._instances = instances
        self._observers: list[Callable[[], None]] = []
        self._holds: set[int] = set()
        self._numbers = 0

    def try_hold(self, target_id: str, tokens: int, size: SizeClass) -> Hold | NoCapacity:
        """Hold a slot and memory of an engine if it is likely to have them."""
        refused = self._refusal(target_id, tokens, size)
        if refused is not None:
            return refused
        self._numbers += 1
        self._holds.add(self._numbers)
        return Hold(self._numbers, target_id, tokens)

    def request(self, target_id: str, tokens: int, size: SizeClass) -> None:
        """Do nothing: the next load report tells of more capacity."""

    async def hold_all(
        self, parts: Sequence[tuple[str, int]], size: SizeClass
    ) -> tuple[Hold, ...] | NoCapacity:
        """Hold capacity of several engines, or of none."""
        await trio.lowlevel.checkpoint()
        for target_id, tokens in parts:
            refused = self._refusal(target_id, tokens, size)
            if refused is not None:
                return refused
        holds = []
        for target_id, tokens in sorted(parts):
            self._numbers += 1
            self._holds.add(self._numbers)
            holds.append(Hold(self._numbers, target_id, tokens))
        return tuple(holds)

    def release(self, hold: Hold) -> None:
        """Give a hold back and tell the observers."""
        if hold.hold_id in self._holds:
            self._holds.remove(hold.hold_id)
            self.changed()

    def on_change(self, observer: Callable[[], None]) -> None:
        """Call an observer whenever capacity may have become available."""
        self._observers.append(observer)

    def changed(self) -> None:
        """Tell the observers that capacity may have become available."""
        for observer in self._observers:
            observer()

    def _refusal(self, target_id: str, tokens: int, size: SizeClass) -> NoCapacity | None:
        status = self._targets.get(target_id)
        if status is None or status.load is None:
            return NoCapacity(f"engine {target_id} has not reported its load")
        estimate = estimate_engine(status, status.load, self._clock.monotonic())
        instances = max(1, self._instances())
        even_part = -(-status.load.slots // instances)
        if status.outstanding >= even_part and estimate.free_slots < instances:
            return NoCapacity(f"engine {target_id} has no free slot")
        available = estimate.free_tokens
        if size is SizeClass.LONG:
            if status.long_outstanding >= long_slots(status.load):
                return NoCapacity(f"engine {target_id} has no free slot for long prompts")
            available = long_tokens_available(status, status.load, estimate)
        if available < tokens:
            return NoCapacity(f"engine {target_id} has {available} tokens free")
        return None


def long_slots(load: EngineLoad) -> int:
    """Return the slots of an engine that long prompts may use."""
    return max(1, int(load.slots * LONG_SLOT_SHARE))


def long_tokens_available(status: TargetStatus, load: EngineLoad, estimate: EngineEstimate) -> int:
    """Return the memory that one more long prompt may use on an engine."""
    share = int(load.total_tokens * LONG_MEMORY_SHARE)
    return min(estimate.free_tokens, share - estimate.other_tokens - status.long_tokens)
