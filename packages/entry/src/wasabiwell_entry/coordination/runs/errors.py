"""Outcomes of claiming an idempotency key."""

from dataclasses import dataclass

from wasabiwell_entry.state.outcomes import Answer, Failed, Refused
from wasabiwell_entry.state.runs import RunRecord


@dataclass(frozen=True, slots=True)
class Claimed:
    """This entry instance holds the record and may send the call once, before its deadline."""

    key: str
    record: RunRecord


ClaimOutcome = Claimed | Answer | Refused | Failed
