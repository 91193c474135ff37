"""Failures of owner lookups and of exchanges with peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoOwner:
    """There is no live member to own the key."""

    key: str


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A peer did not reply on a stream."""

    reason: str
