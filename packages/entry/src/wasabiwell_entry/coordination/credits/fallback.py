"""Capacity that a holder uses while the owner of an engine is unreachable."""

from wasabiwell_entry.state.credits import ZERO_AMOUNT, Amount, engine_capacity
from wasabiwell_entry.state.targets import EngineLoad


def fallback_amount(load: EngineLoad, members: int, demand: Amount) -> Amount:
    """Return one member's share of an engine's free capacity, at least enough for one request.

    Members in fallback divide the free capacity among themselves. They overcommit only by the
    minimum of one request each and by the delay of the load report. The engine itself refuses
    requests that do not fit, with a response that marks them as "not run".
    """
    free_slots = max(0, load.slots - load.running - load.queued)
    capacity = engine_capacity(load.slots, load.total_tokens)
    used = load.total_tokens - load.free_tokens
    # Load reports do not break usage down by prompt size, so all usage counts as long prompts.
    free = Amount(free_slots, max(0, load.free_tokens), max(0, capacity.long_tokens - used))
    share = Amount(free.slots // members, free.tokens // members, free.long_tokens // members)
    if demand == ZERO_AMOUNT or demand.slots == 0:
        return ZERO_AMOUNT
    average = Amount(1, -(-demand.tokens // demand.slots), -(-demand.long_tokens // demand.slots))
    return demand.at_most(share.at_least(average.at_most(free)))
