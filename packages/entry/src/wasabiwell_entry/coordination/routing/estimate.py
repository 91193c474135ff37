"""Estimates the free capacity of engines from delayed load reports and recent local sends."""

import itertools
from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.routing.const import (
    MAX_REPORT_AGE,
    PREFILL_TOKENS_PER_SECOND,
    SILENCE_TIMEOUT,
)
from wasabiwell_entry.state.targets import EngineLoad, OtherUse, TargetStatus


@dataclass(frozen=True, slots=True)
class EngineEstimate:
    """Free capacity and remaining prefill of an engine; memory is in tokens of KV cache.

    `other_tokens` is the memory used by requests of other entry instances.
    """

    free_slots: int
    free_tokens: int
    other_tokens: int
    prefill_tokens: float
    silent: bool


def estimate_engine(status: TargetStatus, load: EngineLoad, now: timedelta) -> EngineEstimate:
    """Return the estimated load of an engine at the time `now`.

    The age of a report is not known exactly, so neither is the local use that it contains. Of the
    reported memory, the smallest local use during the possible age is subtracted, so that the use
    of other instances is never underestimated. For slots the mean is subtracted, because short
    requests change them constantly and the engine queues the excess.
    """
    others = status.others
    if others is None or others.load is not load:
        others = status.others = _other_use(status, load)
    return EngineEstimate(
        free_slots=load.slots - others.slots - status.outstanding,
        free_tokens=load.total_tokens - others.tokens - status.outstanding_tokens,
        other_tokens=others.tokens,
        prefill_tokens=_backlog(status, others.prefill_tokens, load.reported, now),
        silent=now - load.reported > SILENCE_TIMEOUT,
    )


def _other_use(status: TargetStatus, load: EngineLoad) -> OtherUse:
    """Return the use by other instances, which is constant until the next report."""
    since = load.reported - MAX_REPORT_AGE
    local_slots, local_tokens = _local_use(status, since, load.reported)
    created = load.reported - MAX_REPORT_AGE / 2
    return OtherUse(
        load,
        slots=max(0, load.running + load.queued - round(local_slots)),
        tokens=max(0, load.total_tokens - load.free_tokens - local_tokens),
        prefill_tokens=_backlog(status, load.prefill_tokens, created, load.reported),
    )


def _local_use(status: TargetStatus, since: timedelta, until: timedelta) -> tuple[float, int]:
    """Return the mean slots and the least memory in use by this instance between two times."""
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
    # Nothing was placed before the first sample.
    least = 0 if least is None or end > since else least
    return slot_seconds / (until - since).total_seconds(), least


def _backlog(status: TargetStatus, backlog: float, since: timedelta, until: timedelta) -> float:
    """Return the prompt tokens that remain of a backlog and of the local sends after it."""
    sends = list(itertools.takewhile(lambda send: send[0] > since, reversed(status.sends)))
    for sent, tokens in reversed(sends):
        if sent > until:
            break
        backlog = _backlog_after(backlog, sent - since) + tokens
        since = sent
    return _backlog_after(backlog, until - since)


def _backlog_after(backlog: float, duration: timedelta) -> float:
    return max(0.0, backlog - PREFILL_TOKENS_PER_SECOND * duration.total_seconds())
