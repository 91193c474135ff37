"""Conversion between placed requests and messages about them; times are monotonic seconds."""

from wasabiwell_entry.state.exchange import PlacementNotice
from wasabiwell_entry.state.forwarding import PromptSize
from wasabiwell_entry.state.work import PlacedRequest


def placed_from_notice(sender: str, notice: PlacementNotice, now: float) -> PlacedRequest:
    """Return the placed request that a message of a peer describes."""
    size = None
    if notice.prompt:
        size = PromptSize(notice.prompt, notice.max_output, notice.expected_output)
    return PlacedRequest(
        request_id=notice.request_id,
        origin=sender,
        service=notice.service,
        lead=notice.lead,
        helpers=notice.helpers,
        placed_at=now - notice.age_ms / 1000,
        due=now + notice.due_in_ms / 1000,
        gap=notice.gap_ms / 1000,
        size=size,
        decoding=notice.decoding,
        helper_kv_tokens=notice.helper_kv_tokens,
        organisation=notice.organisation,
    )


def placement_notice(placed: PlacedRequest, now: float) -> PlacementNotice:
    """Return the message that describes a placed request to peers."""
    size = placed.size or PromptSize(0, 0, 0)
    return PlacementNotice(
        request_id=placed.request_id,
        service=placed.service,
        lead=placed.lead,
        helpers=placed.helpers,
        age_ms=round((now - placed.placed_at) * 1000),
        due_in_ms=round((placed.due - now) * 1000),
        gap_ms=round(placed.gap * 1000),
        prompt=size.prompt,
        max_output=size.max_output,
        expected_output=size.expected_output,
        decoding=placed.decoding,
        helper_kv_tokens=placed.helper_kv_tokens,
        organisation=placed.organisation,
    )
