"""Predicts when an engine would answer a request, and what the request would delay there.

All times are in seconds.
"""

from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import LATE_AT, LATE_FROM
from wasabiwell_entry.state.work import LATE_PENALTY, TargetRequest, TargetWork


@dataclass(frozen=True, slots=True)
class EngineState:
    """What is predicted of an engine at one moment, for use with several reading times.

    `parts` and `whole` are the reading that is left of split and of other prompts. `occupied_slots` is the
    number of requests that take a slot. `preference` is the cost of the engine for itself, in
    parts of a request's value.
    """

    work: TargetWork
    decoding_requests: tuple[TargetRequest, ...]
    order: tuple[TargetRequest, ...]
    iteration_seconds: float
    parts: float
    whole: float
    slot_wait: float
    occupied_slots: int
    preference: float

    @property
    def wait_for_pass(self) -> float:
        """Return the expected rest of the current pass."""
        return self.iteration_seconds / 2

    @property
    def pending(self) -> float:
        """Return all reading that is left."""
        return self.parts + self.whole


def engine_state(work: TargetWork, now: float, preference: float = 0.0) -> EngineState:
    """Return what is predicted of an engine now; `preference` is its cost for itself."""
    work.advance(now)
    writers = work.decoding_requests()
    order = work.prefill_order()
    parts = sum(item.prefill_seconds_left for item in order if item.split) * work.slowdown
    whole = sum(item.prefill_seconds_left for item in order if not item.split) * work.slowdown
    return EngineState(
        work=work,
        decoding_requests=tuple(writers),
        order=tuple(order),
        iteration_seconds=work.iteration_seconds(writers),
        parts=parts,
        whole=whole,
        slot_wait=_slot_wait(work, writers),
        occupied_slots=work.occupied_slots,
        preference=preference,
    )


def _slot_wait(work: TargetWork, writers: list[TargetRequest]) -> float:
    """Return how long a new request waits for a slot."""
    excess = work.occupied_slots - work.slots
    if excess < 0:
        return 0.0
    ends = sorted(item.decode_seconds_left for item in writers)
    if not ends:
        return 0.0
    return ends[min(excess, len(ends) - 1)] * work.slowdown


def lateness(seconds: float, allowed: float) -> float:
    """Return how likely a predicted time is over the allowed one, from 0 to 1."""
    if allowed <= 0:
        return 1.0
    ratio = seconds / allowed
    return min(1.0, max(0.0, (ratio - LATE_FROM) / (LATE_AT - LATE_FROM)))


def part_finish(state: EngineState, read: float) -> float:
    """Return when a part of a split prompt would be read; it goes before all other reading."""
    return state.wait_for_pass + read * state.work.slowdown


def whole_finish(state: EngineState, read: float) -> float:
    """Return when the first event of a prompt that is read here alone would be there."""
    read_time = state.pending + read * state.work.slowdown
    return state.slot_wait + state.wait_for_pass + read_time + state.iteration_seconds


def pause_harm(state: EngineState, read: float) -> float:
    """Return the value that pauses of the sequences written here would lose."""
    if not state.decoding_requests:
        return 0.0
    before = state.iteration_seconds + state.pending
    after = before + read * state.work.slowdown
    harm = 0.0
    for writer in state.decoding_requests:
        if writer.decode_seconds_left <= 0:
            continue
        gap = writer.placed.gap
        harm += writer.value * (lateness(after, gap) - lateness(before, gap))
    return LATE_PENALTY * harm


def delay_harm(state: EngineState, read: float, now: float) -> dict[str, float]:
    """Return the value that a part would cost each request that waits to be read, by request id."""
    harm: dict[str, float] = {}
    ahead = state.wait_for_pass
    for waiting in state.order:
        ahead += waiting.prefill_seconds_left * state.work.slowdown
        allowed = waiting.placed.due - waiting.placed.placed_at
        elapsed = now - waiting.placed.placed_at
        before = lateness(elapsed + ahead, allowed)
        after = lateness(elapsed + ahead + read * state.work.slowdown, allowed)
        if after > before:
            harm[waiting.placed.request_id] = LATE_PENALTY * waiting.value * (after - before)
    return harm
