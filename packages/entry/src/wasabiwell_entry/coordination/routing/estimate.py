"""Estimates what engines have free, from lagging reports and the own recent sends."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.routing.const import (
    PREFILL_TOKENS_PER_SECOND,
    REPORT_AGE,
    SILENCE,
)
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

    What a report contains of the own use is not known exactly, as the report's age is not. The
    smallest own memory while the report may have been made is taken off it, so that the memory of
    others is never too low. Slots use the mean, because short requests change them all the time and
    the engine queues what exceeds them.
    """
    since = load.reported - REPORT_AGE
    own_slots, own_tokens = _own_use(status, since, load.reported)
    other_slots = max(0, load.running + load.queued - round(own_slots))
    other_tokens = max(0, load.total_tokens - load.free_tokens - own_tokens)
    return EngineEstimate(
        free_slots=load.slots - other_slots - status.outstanding,
        free_tokens=load.total_tokens - other_tokens - status.outstanding_tokens,
        other_tokens=other_tokens,
        prefill_tokens=_backlog(status, load, now),
        silent=now - load.reported > SILENCE,
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


def _backlog(status: TargetStatus, load: EngineLoad, now: timedelta) -> int:
    """Return the prompt tokens still to process: the report and later sends, worked off since."""
    at = load.reported - REPORT_AGE / 2
    backlog = float(load.prefill_tokens)
    for sent, tokens in status.sends:
        if sent >= at:
            backlog = _worked_off(backlog, sent - at) + tokens
            at = sent
    return int(_worked_off(backlog, now - at))


def _worked_off(backlog: float, duration: timedelta) -> float:
    return max(0.0, backlog - PREFILL_TOKENS_PER_SECOND * duration.total_seconds())
