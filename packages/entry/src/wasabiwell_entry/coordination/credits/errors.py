"""Failed outcomes of credit messages to other entry instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CreditRefused:
    """The receiving entry instance cannot currently grant credit of this engine."""

    engine_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class CreditOwnerUnreachable:
    """The owner of the credit did not respond; the claim may have taken effect there."""

    reason: str
