"""Messages between entry instances."""

from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from wasabiwell_entry.coordination.limits.shares import LimitGrant, LimitRequest

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


FETCH_CONFIGURATION: PeerMethod[ConfigurationQuery, ConfigurationUpdate] = PeerMethod(
    "FetchConfiguration", ConfigurationQuery, ConfigurationUpdate
)

ACQUIRE_LIMIT: PeerMethod[LimitRequest, LimitGrant] = PeerMethod(
    "AcquireLimit", LimitRequest, LimitGrant
)

AnyMethod = PeerMethod[Any, Any]
