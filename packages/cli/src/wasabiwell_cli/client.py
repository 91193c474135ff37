"""Client of the operators' interface of entry instances."""

from dataclasses import dataclass, field

import httpcore
import msgspec
from wasabiwell_config import Items

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry instance answered."""

    reason: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON body of an answer."""

    status: int
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RunningConfiguration:
    """Version and items in force at an entry instance."""

    version: int
    items: dict[str, msgspec.Raw]

    def encoded_items(self) -> Items:
        """Return the items as JSON bytes."""
        return {path: bytes(value) for path, value in self.items.items()}


class AdminClient:
    """Sends requests to the first of several entry instances that accepts a connection."""

    __slots__ = ("_addresses", "_key", "_pool")

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        self._addresses = addresses
        self._key = key
        self._pool = httpcore.ConnectionPool()

    def send(self, method: str, path: str, content: bytes = b"") -> Reply | Unreachable:
        """Send a request; it goes to a second instance only when the first got none of it."""
        reason = "no address was given"
        for address in self._addresses:
            try:
                response = self._request(address, method, path, content)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                reason = f"{address}: {error!r}"
                continue
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                return Unreachable(f"{address} may have acted: {error!r}")
            return Reply(response.status, response.content)
        return Unreachable(reason)

    def _request(self, address: str, method: str, path: str, content: bytes) -> httpcore.Response:
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": READ_TIMEOUT_SECONDS,
            "write": READ_TIMEOUT_SECONDS,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
        return self._pool.request(
            method,
            f"http://{address}/admin/v1/{path}",
            headers=[
                (b"authorization", f"Bearer {self._key}".encode()),
                (b"content-type", b"application/json"),
            ],
            content=content,
            extensions={"timeout": timeout},
        )
