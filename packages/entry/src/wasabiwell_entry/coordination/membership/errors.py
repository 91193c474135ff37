"""Outcomes of looking for an owner and of exchanges with peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoOwner:
    """No live member can own the key."""

    key: str


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A peer did not answer on a stream."""

    reason: str
