"""Outcomes of looking up a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoRecord:
    """This entry instance has no record of the request, or no longer has it."""

    request_id: str
