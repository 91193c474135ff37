"""Capacity that a holder uses when no owner can be asked."""

from wasabiwell_entry.state.credits import ZERO_AMOUNT, Amount, engine_capacity
from wasabiwell_entry.state.targets import EngineLoad


def fallback_amount(load: EngineLoad, members: int, demand: Amount) -> Amount:
    """Return one member's share of what an engine reports as free, at least for one request.

    The members that fall back divide the free capacity, so they overcommit together only through
    the minimum of one request each and the lag of the report. The engine's own admission refuses
    what does not fit, and that refusal is "not run".
    """
    free_slots = max(0, load.slots - load.running - load.queued)
    capacity = engine_capacity(load.slots, load.total_tokens)
    used = load.total_tokens - load.free_tokens
    # The report does not tell which prompts use the memory, so all use counts as that of long ones.
    free = Amount(free_slots, max(0, load.free_tokens), max(0, capacity.long_tokens - used))
    share = Amount(free.slots // members, free.tokens // members, free.long_tokens // members)
    if demand == ZERO_AMOUNT or demand.slots == 0:
        return ZERO_AMOUNT
    average = Amount(1, -(-demand.tokens // demand.slots), -(-demand.long_tokens // demand.slots))
    return demand.at_most(share.at_least(average.at_most(free)))
