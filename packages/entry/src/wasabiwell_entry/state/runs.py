"""Run records in the table service, which make non-idempotent calls run at most once."""

import enum
from dataclasses import dataclass, field
from datetime import datetime

RUN_PREFIX = "run/"


class RunStatus(enum.Enum):
    """Status of a run record.

    STARTED: the holder may send the call at any time before the record's deadline.
    NOT_RUN: the holder provably did not send the call; the key can be claimed again.
    DONE: the target responded.
    UNKNOWN: the holder sent the call but got no complete response.
    """

    STARTED = "started"
    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record of one idempotency key.

    `fingerprint` identifies the call's method, path and body. `deadline` and `expires` are
    wall-clock times. A large response is kept in the object store under `object_key`.
    """

    attempt_id: str
    holder: str
    fingerprint: str
    status: RunStatus
    deadline: datetime
    expires: datetime
    answer_status: int = 0
    answer_content_type: str = ""
    answer_body: bytes = field(default=b"", repr=False)
    object_key: str = ""


def run_key(organisation: str, service: str, idempotency_key: str) -> str:
    """Return the table key of a run record."""
    return f"{RUN_PREFIX}{organisation}/{service}/{idempotency_key}"
