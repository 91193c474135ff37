"""Attempts of callers, as the callers observed them. Times are `trio.current_time()` values."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response; `by_target` is set if it bears the signature of a target."""

    status: int
    by_target: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended without a complete response; `status` is set if a head arrived."""

    status: int | None = None


@dataclass(frozen=True, slots=True)
class Expired:
    """The caller's deadline passed without a complete response; `status` as in `Broken`."""

    status: int | None = None


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left before the response was complete."""


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection to the instance could be made."""


@dataclass(frozen=True, slots=True)
class NotResolved:
    """The caller had no address to use."""


Ending = Answered | Broken | Expired | Abandoned | NotConnected | NotResolved


@dataclass(slots=True)
class Attempt:
    """One attempt to have a request answered.

    `address` is that of the instance. `kept` is set if its connection had served another request
    before. `sent_at` is None until the whole request was sent. `deadline_s` is the time that the
    caller allowed. `occupancy` is the share of the places of the service's targets that were taken
    at the end, from 0 to 1 and above if requests waited.
    """

    request_id: str
    kind: str
    path: str
    key: str
    deadline_s: float
    started_at: float
    address: str = ""
    kept: bool = False
    sent_at: float | None = None
    status: int | None = None
    ended_at: float = 0.0
    ending: Ending = Abandoned()
    occupancy: float = 0.0
