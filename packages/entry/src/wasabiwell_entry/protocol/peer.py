"""Messages between entry instances."""

from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from wasabiwell_entry.coordination.credits.errors import CreditRefused
from wasabiwell_entry.coordination.credits.ports import CreditGranted, CreditReturn
from wasabiwell_entry.state.credits import CreditClaim

Request = TypeVar("Request")
Reply = TypeVar("Reply")

SERVICE_NAME = "wasabiwell.Peer"


@dataclass(frozen=True, slots=True)
class PeerMethod(Generic[Request, Reply]):
    """A unary method of the service `wasabiwell.Peer`."""

    name: str
    request_type: type[Request]
    reply_type: type[Reply]

    @property
    def path(self) -> str:
        """Return the HTTP path of the method."""
        return f"/{SERVICE_NAME}/{self.name}"


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks for the versions after `since`."""

    since: int


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Deltas after the asked version, or all items when the deltas are not retained."""

    version: int
    deltas: list[dict[str, bytes | None]]
    items: dict[str, bytes] | None


@dataclass(frozen=True, slots=True)
class Ack:
    """The message took effect, or had taken effect before."""


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """Claims of one holder on engines of one owner."""

    claims: list[CreditClaim]


@dataclass(frozen=True, slots=True)
class CreditGrant:
    """Answers to the claims of a `CreditRequest`; each engine is in one of the lists."""

    grants: list[CreditGranted]
    refusals: list[CreditRefused]


@dataclass(frozen=True, slots=True)
class CreditRelease:
    """Credits that a holder gives up."""

    returns: list[CreditReturn]


@dataclass(frozen=True, slots=True)
class OwnerQuery:
    """A new owner asks for the credits of its engines."""

    engine_ids: list[str]


@dataclass(frozen=True, slots=True)
class OutstandingReply:
    """Credit and use of the asked engines at one holder."""

    claims: list[CreditClaim]


@dataclass(frozen=True, slots=True)
class RateRequest:
    """Asks the owner of a region's share of the weight store's rate for loads."""

    count: int


@dataclass(frozen=True, slots=True)
class RateGrant:
    """Loads that may start now."""

    granted: int


FETCH_CONFIGURATION: PeerMethod[ConfigurationQuery, ConfigurationUpdate] = PeerMethod(
    "FetchConfiguration", ConfigurationQuery, ConfigurationUpdate
)

ACQUIRE_CREDIT: PeerMethod[CreditRequest, CreditGrant] = PeerMethod(
    "AcquireCredit", CreditRequest, CreditGrant
)
RELEASE_CREDIT: PeerMethod[CreditRelease, Ack] = PeerMethod("ReleaseCredit", CreditRelease, Ack)
OUTSTANDING_CREDITS: PeerMethod[OwnerQuery, OutstandingReply] = PeerMethod(
    "OutstandingCredits", OwnerQuery, OutstandingReply
)

ACQUIRE_WEIGHT_RATE: PeerMethod[RateRequest, RateGrant] = PeerMethod(
    "AcquireWeightRate", RateRequest, RateGrant
)

AnyMethod = PeerMethod[Any, Any]
