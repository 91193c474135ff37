"""Estimates what engines have free, from lagging reports and the own recent sends."""

import itertools
from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.routing.const import (
    PREFILL_TOKENS_PER_SECOND,
    REPORT_AGE,
    SILENCE,
)
from wasabiwell_entry.state.targets import EngineLoad, OtherUse, TargetStatus


@dataclass(frozen=True, slots=True)
class EngineEstimate:
    """What an engine has free and still to process; memory is in tokens of KV cache.

    `other_tokens` is the memory used by others than this entry instance.
    """

    free_slots: int
    free_tokens: int
    other_tokens: int
    prefill_tokens: float
    silent: bool


def estimate_engine(status: TargetStatus, load: EngineLoad, now: timedelta) -> EngineEstimate:
    """Return the load that an engine is likely to have now.

    What a report contains of the own use is not known exactly, as the report's age is not. The
    smallest own memory while the report may have been made is taken off it, so that the memory of
    others is never too low. Slots use the mean, because short requests change them all the time and
    the engine queues what exceeds them.
    """
    others = status.others
    if others is None or others.load is not load:
        others = status.others = _other_use(status, load)
    return EngineEstimate(
        free_slots=load.slots - others.slots - status.outstanding,
        free_tokens=load.total_tokens - others.tokens - status.outstanding_tokens,
        other_tokens=others.tokens,
        prefill_tokens=_backlog(status, others.prefill_tokens, load.reported, now),
        silent=now - load.reported > SILENCE,
    )


def _other_use(status: TargetStatus, load: EngineLoad) -> OtherUse:
    """Return what does not change until the next report."""
    since = load.reported - REPORT_AGE
    own_slots, own_tokens = _own_use(status, since, load.reported)
    made = load.reported - REPORT_AGE / 2
    return OtherUse(
        load,
        slots=max(0, load.running + load.queued - round(own_slots)),
        tokens=max(0, load.total_tokens - load.free_tokens - own_tokens),
        prefill_tokens=_backlog(status, load.prefill_tokens, made, load.reported),
    )


def _own_use(status: TargetStatus, since: timedelta, until: timedelta) -> tuple[float, int]:
    """Return the mean of the own slots and the least own memory between two times."""
    least: int | None = None
    slot_seconds = 0.0
    end = until
    for sample in reversed(status.samples):
        if sample.at >= until:
            continue
        begin = max(sample.at, since)
        slot_seconds += sample.slots * (end - begin).total_seconds()
        least = sample.tokens if least is None else min(least, sample.tokens)
        end = begin
        if sample.at <= since:
            break
    # Before the first sample nothing was placed.
    least = 0 if least is None or end > since else least
    return slot_seconds / (until - since).total_seconds(), least


def _backlog(status: TargetStatus, backlog: float, since: timedelta, until: timedelta) -> float:
    """Return the prompt tokens left of a backlog and of the own sends after it."""
    sends = list(itertools.takewhile(lambda send: send[0] > since, reversed(status.sends)))
    for sent, tokens in reversed(sends):
        if sent > until:
            break
        backlog = _worked_off(backlog, sent - since) + tokens
        since = sent
    return _worked_off(backlog, until - since)


def _worked_off(backlog: float, duration: timedelta) -> float:
    return max(0.0, backlog - PREFILL_TOKENS_PER_SECOND * duration.total_seconds())
