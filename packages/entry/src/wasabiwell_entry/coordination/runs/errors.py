"""Outcomes of claiming an idempotency key."""

from dataclasses import dataclass

from wasabiwell_entry.state.outcomes import Failed, Refused, ServiceResponse
from wasabiwell_entry.state.runs import RunRecord


@dataclass(frozen=True, slots=True)
class Claimed:
    """This entry instance holds the record and may send the call once, before its deadline.

    `version` is the version of the row that the claim replaced, or 0 if there was no row.
    """

    key: str
    record: RunRecord
    version: int = 0


ClaimOutcome = Claimed | ServiceResponse | Refused | Failed
