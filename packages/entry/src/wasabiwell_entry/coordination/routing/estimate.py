"""Estimates what engines have free, from lagging reports and the own recent sends."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.routing.const import REPORT_AGE, SILENCE
from wasabiwell_entry.state.targets import EngineLoad, TargetStatus


@dataclass(frozen=True, slots=True)
class EngineEstimate:
    """What an engine has free and still to process; memory is in tokens of KV cache.

    `other_tokens` is the memory used by others than this entry instance.
    """

    free_slots: int
    free_tokens: int
    other_tokens: int
    prefill_tokens: int
    silent: bool


def estimate_engine(status: TargetStatus, load: EngineLoad, now: timedelta) -> EngineEstimate:
    """Return the load that an engine is likely to have now.

    What a report contains of the own use is not known exactly. The smallest own use while the
    report may have been made is taken off it, so that the use of others is never too low.
    """
    since = load.reported - REPORT_AGE
    own_slots, own_tokens = _least_own_use(status, since, load.reported)
    other_slots = max(0, load.running + load.queued - own_slots)
    other_tokens = max(0, load.total_tokens - load.free_tokens - own_tokens)
    sent = sum(tokens for at, tokens in status.sends if at > since)
    return EngineEstimate(
        free_slots=load.slots - other_slots - status.outstanding,
        free_tokens=load.total_tokens - other_tokens - status.outstanding_tokens,
        other_tokens=other_tokens,
        prefill_tokens=load.prefill_tokens + sent,
        silent=now - load.reported > SILENCE,
    )


def _least_own_use(status: TargetStatus, since: timedelta, until: timedelta) -> tuple[int, int]:
    slots, tokens = status.outstanding, status.outstanding_tokens
    first = True
    for sample in reversed(status.samples):
        if sample.at > until:
            continue
        if first:
            slots, tokens, first = sample.slots, sample.tokens, False
        slots, tokens = min(slots, sample.slots), min(tokens, sample.tokens)
        if sample.at <= since:
            return slots, tokens
    return (0, 0) if not status.samples or status.samples[0].at > since else (slots, tokens)
