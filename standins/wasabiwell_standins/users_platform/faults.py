"""Faults of a target stand-in."""

from dataclasses import dataclass


@dataclass(slots=True)
class TargetFaults:
    """Active faults.

    Each `*_share` is the probability, from 0 to 1, that the fault hits a response of a plain
    service; in streams, `reset_share`, `cut_share` and `hang_share` are applied to each event.
    `cut` closes the connection in the middle of a body, `extra` sends a second response after the
    first, `foreign` returns another request id, and `unframed` sends a body without its length.
    `slow` multiplies all processing times.
    """

    error_share: float = 0.0
    reset_share: float = 0.0
    cut_share: float = 0.0
    extra_share: float = 0.0
    foreign_share: float = 0.0
    unframed_share: float = 0.0
    hang_share: float = 0.0
    crash_on: str = ""
    """The target crashes when a request's body or its list of prompt parts contains this text,
    unless it is empty."""
    crash_after_head: bool = False
    """Such a request crashes its target after the head of the response, not on arrival."""
    close_on_crash: bool = False
    """A crash closes open connections in order, as a kernel does for a process without unread
    bytes, and does not reset them."""
    slow: float = 1.0
    pause_share: float = 0.0
    """Probability that a request is refused with the wish for a pause of `pause_seconds`."""
    pause_seconds: float = 2.0
