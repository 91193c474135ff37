"""The urgency by which targets admit the requests that wait at them, during a shortage."""

from wasabiwell_entry.coordination.fairness.const import (
    AGEING_STEPS,
    FAR_OVER_RATIO,
    LOW_VALUE_RATIO,
    MAX_PRIORITY,
    MAX_URGENCY,
    URGENCY_IN_SHARE,
    URGENCY_OVER_SHARE,
    URGENCY_UNKNOWN,
)
from wasabiwell_entry.coordination.fairness.shares import SharePosition
from wasabiwell_entry.state.forwarding import PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import request_value


def target_seconds(size: PromptSize, profile: EngineProfile) -> float:
    """Return the target time that a request takes.

    Prefill takes a whole engine, and decoding one slot of it.
    """
    decode = size.expected_output * profile.base_event_gap / profile.stride
    return profile.prefill_seconds(size.prompt) + decode / max(1, profile.slots)


def loses_little(size: PromptSize, profile: EngineProfile) -> bool:
    """Return whether a request loses little value by waiting, for the target time that it takes."""
    usual = PromptSize(
        profile.usual_prompt_tokens, profile.usual_output_tokens, profile.usual_output_tokens
    )
    value = request_value(size, profile) / max(1e-6, target_seconds(size, profile))
    usual_value = request_value(usual, profile) / max(1e-6, target_seconds(usual, profile))
    return value < LOW_VALUE_RATIO * usual_value


def shortage_urgency(
    position: SharePosition | None, priority: int, low_value: bool, waited_ratio: float
) -> int:
    """Return the urgency of a request while its service is short of capacity.

    `position` is the share of its organisation, None if that is unknown. `waited_ratio` is the
    part of the time until its deadline that has passed. Ageing moves a request ahead of its own
    kind, but not ahead of all organisations inside their share.
    """
    if position is None:
        return URGENCY_UNKNOWN
    level = min(MAX_PRIORITY, max(0, priority))
    aged = int(AGEING_STEPS * min(1.0, max(0.0, waited_ratio)))
    if position.inside:
        return max(URGENCY_IN_SHARE, URGENCY_IN_SHARE + level + low_value - aged)
    far_over = position.charge > FAR_OVER_RATIO * position.limit
    return min(MAX_URGENCY, max(URGENCY_IN_SHARE, URGENCY_OVER_SHARE + level + far_over - aged))
