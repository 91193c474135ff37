"""Predicts when an engine would respond to a request and how much it would delay other requests.

All times are in seconds.
"""

from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import CERTAINLY_LATE_RATIO, POSSIBLY_LATE_RATIO
from wasabiwell_entry.state.work import LATE_PENALTY, TargetRequest, TargetWork


@dataclass(frozen=True, slots=True)
class EngineState:
    """Predicted state of an engine, computed once and used for several candidates.

    `decoding_requests` are in the decode phase; those in `prefill_order` have prefill left.
    `split_prefill` and `unsplit_prefill` are the remaining prefill times of split and of other
    prompts. `target_cost` is the cost of the engine regardless of the request, as a ratio of the
    request's value.
    """

    work: TargetWork
    decoding_requests: tuple[TargetRequest, ...]
    prefill_order: tuple[TargetRequest, ...]
    iteration_seconds: float
    split_prefill: float
    unsplit_prefill: float
    slot_wait: float
    occupied_slots: int
    target_cost: float

    @property
    def iteration_wait(self) -> float:
        """Return the expected rest of the current engine iteration."""
        return self.iteration_seconds / 2

    @property
    def has_free_slot(self) -> bool:
        """Return whether a new request would get a slot at once."""
        return self.occupied_slots < self.work.slots

    @property
    def pending_prefill(self) -> float:
        """Return the remaining prefill time of all prompts."""
        return self.split_prefill + self.unsplit_prefill


def engine_state(work: TargetWork, now: float, target_cost: float = 0.0) -> EngineState:
    """Return the predicted state of an engine at the time `now`."""
    work.advance(now)
    decoding_requests = work.decoding_requests()
    prefill_order = work.prefill_order()
    split_prefill = (
        sum(item.prefill_seconds_left for item in prefill_order if item.split) * work.slowdown
    )
    unsplit_prefill = (
        sum(item.prefill_seconds_left for item in prefill_order if not item.split) * work.slowdown
    )
    return EngineState(
        work=work,
        decoding_requests=tuple(decoding_requests),
        prefill_order=tuple(prefill_order),
        iteration_seconds=work.iteration_seconds(decoding_requests),
        split_prefill=split_prefill,
        unsplit_prefill=unsplit_prefill,
        slot_wait=_slot_wait(work, decoding_requests),
        occupied_slots=work.occupied_slots,
        target_cost=target_cost,
    )


def _slot_wait(work: TargetWork, decoding_requests: list[TargetRequest]) -> float:
    """Return how long a new request waits for a slot."""
    excess = work.occupied_slots - work.slots
    if excess < 0:
        return 0.0
    remaining = sorted(item.decode_seconds_left for item in decoding_requests)
    if not remaining:
        return 0.0
    return remaining[min(excess, len(remaining) - 1)] * work.slowdown


def lateness(seconds: float, allowed: float) -> float:
    """Return the probability that a predicted time exceeds the allowed one, from 0 to 1."""
    if allowed <= 0:
        return 1.0
    ratio = seconds / allowed
    return min(
        1.0, max(0.0, (ratio - POSSIBLY_LATE_RATIO) / (CERTAINLY_LATE_RATIO - POSSIBLY_LATE_RATIO))
    )


def split_prefill_finish(state: EngineState, prefill: float) -> float:
    """Return the time until the prefill of a segment of a split prompt ends.

    Engines process segments of split prompts before all other prefill work.
    """
    return state.iteration_wait + prefill * state.work.slowdown


def single_engine_finish(state: EngineState, prefill: float) -> float:
    """Return the time to the first event of a prompt that is placed on this engine alone."""
    prefill_end = state.pending_prefill + prefill * state.work.slowdown
    return state.slot_wait + state.iteration_wait + prefill_end + state.iteration_seconds


def decode_delay_cost(state: EngineState, prefill: float) -> float:
    """Return the value lost by streams of this engine whose events a new prefill would delay."""
    if not state.decoding_requests:
        return 0.0
    before = state.iteration_seconds + state.pending_prefill
    after = before + prefill * state.work.slowdown
    cost = 0.0
    for stream in state.decoding_requests:
        if stream.decode_seconds_left <= 0:
            continue
        gap = stream.placed.gap
        cost += stream.value * (lateness(after, gap) - lateness(before, gap))
    return LATE_PENALTY * cost


def prefill_delay_costs(state: EngineState, prefill: float, now: float) -> dict[str, float]:
    """Return the value that each request with prefill left would lose, by request id.

    `prefill` is the time of a segment of a split prompt, which would be processed before them.
    """
    costs: dict[str, float] = {}
    ahead = state.iteration_wait
    for waiting in state.prefill_order:
        ahead += waiting.prefill_seconds_left * state.work.slowdown
        allowed = waiting.placed.due - waiting.placed.placed_at
        elapsed = now - waiting.placed.placed_at
        before = lateness(elapsed + ahead, allowed)
        after = lateness(elapsed + ahead + prefill * state.work.slowdown, allowed)
        if after > before:
            costs[waiting.placed.request_id] = LATE_PENALTY * waiting.value * (after - before)
    return costs
