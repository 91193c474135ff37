"""Predicts when an engine would answer a request, and what the request would delay there.

All times are in seconds.
"""

from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import LATE_AT, LATE_FROM
from wasabiwell_entry.state.work import LATE_SHARE, Resident, TargetWork


@dataclass(frozen=True, slots=True)
class EngineState:
    """What is predicted of an engine at one moment, for use with several reading times.

    `parts` and `whole` are the reading that is left of split and of other prompts. `leads` is the
    number of requests that take a slot. `preference` is the cost of the engine for itself, in
    parts of a request's value.
    """

    work: TargetWork
    writers: tuple[Resident, ...]
    order: tuple[Resident, ...]
    pass_seconds: float
    parts: float
    whole: float
    slot_wait: float
    leads: int
    preference: float

    @property
    def wait_for_pass(self) -> float:
        """Return the expected rest of the current pass."""
        return self.pass_seconds / 2

    @property
    def pending(self) -> float:
        """Return all reading that is left."""
        return self.parts + self.whole


def engine_state(work: TargetWork, now: float, preference: float = 0.0) -> EngineState:
    """Return what is predicted of an engine now; `preference` is its cost for itself."""
    work.advance(now)
    writers = work.writers()
    order = work.reading_order()
    parts = sum(item.read_left for item in order if item.part) * work.pace
    whole = sum(item.read_left for item in order if not item.part) * work.pace
    return EngineState(
        work=work,
        writers=tuple(writers),
        order=tuple(order),
        pass_seconds=work.pass_seconds(writers),
        parts=parts,
        whole=whole,
        slot_wait=_slot_wait(work, writers),
        leads=work.leads,
        preference=preference,
    )


def _slot_wait(work: TargetWork, writers: list[Resident]) -> float:
    """Return how long a new request waits for a slot."""
    excess = work.leads - work.slots
    if excess < 0:
        return 0.0
    ends = sorted(item.write_left for item in writers)
    if not ends:
        return 0.0
    return ends[min(excess, len(ends) - 1)] * work.pace


def lateness(seconds: float, allowed: float) -> float:
    """Return how likely a predicted time is over the allowed one, from 0 to 1."""
    if allowed <= 0:
        return 1.0
    ratio = seconds / allowed
    return min(1.0, max(0.0, (ratio - LATE_FROM) / (LATE_AT - LATE_FROM)))


def part_finish(state: EngineState, read: float) -> float:
    """Return when a part of a split prompt would be read; it goes before all other reading."""
    return state.wait_for_pass + read * state.work.pace


def whole_finish(state: EngineState, read: float) -> float:
    """Return when the first event of a prompt that is read here alone would be there."""
    read_time = state.pending + read * state.work.pace
    return state.slot_wait + state.wait_for_pass + read_time + state.pass_seconds


def pause_harm(state: EngineState, read: float) -> float:
    """Return the value that pauses of the sequences written here would lose."""
    if not state.writers:
        return 0.0
    before = state.pass_seconds + state.pending
    after = before + read * state.work.pace
    harm = 0.0
    for writer in state.writers:
        if writer.write_left <= 0:
            continue
        gap = writer.placed.gap
        harm += writer.value * (lateness(after, gap) - lateness(before, gap))
    return LATE_SHARE * harm


def delay_harm(state: EngineState, read: float, now: float) -> dict[str, float]:
    """Return the value that a part would cost each request that waits to be read, by request id."""
    harm: dict[str, float] = {}
    ahead = state.wait_for_pass
    for waiting in state.order:
        ahead += waiting.read_left * state.work.pace
        allowed = waiting.placed.due - waiting.placed.placed_at
        elapsed = now - waiting.placed.placed_at
        before = lateness(elapsed + ahead, allowed)
        after = lateness(elapsed + ahead + read * state.work.pace, allowed)
        if after > before:
            harm[waiting.placed.request_id] = LATE_SHARE * waiting.value * (after - before)
    return harm
