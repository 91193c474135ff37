"""Outcomes of asking another entry instance about credits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CreditRefused:
    """The asked entry instance cannot grant credit of this engine now."""

    engine_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """No answer came; the claim may have taken effect at the owner."""

    reason: str
