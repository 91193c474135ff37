"""Client of the operators' interface of entry instances."""

import ssl
import time
from dataclasses import dataclass, field
from typing import Any

import httpcore
import msgspec
from wasabiwell_config import Items

from wasabiwell_cli.const import (
    CONNECT_TIMEOUT_SECONDS,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_KEY_REFUSED,
    EXIT_NOT_FOUND,
    EXIT_UNREACHABLE,
    READ_TIMEOUT_SECONDS,
    SETTLE_POLL_SECONDS,
    SETTLE_SECONDS,
)
from wasabiwell_cli.errors import CommandError

NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry instance got the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """An entry instance may have got the request and acted on it."""

    reason: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON body of the answer of one entry instance."""

    address: str
    status: int
    body: bytes = field(repr=False)

    def value(self) -> Any:
        """Return the decoded body; raises `CommandError` when it is not JSON."""
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            message = f"{self.address} answered status {self.status} without JSON"
            raise CommandError(EXIT_FAILED, message) from None


@dataclass(frozen=True, slots=True)
class RunningConfiguration:
    """Version and items in force at an entry instance."""

    version: int
    items: dict[str, msgspec.Raw]

    def encoded_items(self) -> Items:
        """Return the items as JSON with sorted fields, as `items_of` gives them."""
        return {
            path: msgspec.json.encode(msgspec.json.decode(value), order="sorted")
            for path, value in self.items.items()
        }


class AdminClient:
    """Sends requests to entry instances, one address after the other."""

    __slots__ = ("_key", "_pool", "_scheme", "addresses")

    def __init__(
        self, addresses: tuple[str, ...], key: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self.addresses = addresses
        self._key = key
        self._scheme = "http" if tls is None else "https"
        self._pool = httpcore.ConnectionPool(ssl_context=tls)

    def send(self, method: str, path: str, content: bytes = b"") -> Reply | Unreachable | ReplyLost:
        """Send a request; a next instance gets it only when the one before surely did not.

        A read (GET) changes nothing and also goes on when its answer is lost.
        """
        reasons: list[str] = []
        for address in self.entries():
            match self.send_to(address, method, path, content):
                case Unreachable(reason=reason):
                    reasons.append(reason)
                case ReplyLost(reason=reason) if method == "GET":
                    reasons.append(reason)
                case outcome:
                    return outcome
        return Unreachable("; ".join(reasons))

    def entries(self) -> tuple[str, ...]:
        """Return the addresses; raises `CommandError` when none was given."""
        if not self.addresses:
            message = "no entry instance was named: set --entry IP:PORT or WASABIWELL_ENTRY"
            raise CommandError(EXIT_INVALID, message)
        return self.addresses

    def send_to(
        self, address: str, method: str, path: str, content: bytes = b""
    ) -> Reply | Unreachable | ReplyLost:
        """Send a request to one entry instance."""
        try:
            response = self._request(address, method, path, content)
        except NOT_SENT as error:
            return Unreachable(f"{address}: {error or type(error).__name__}")
        except BROKEN as error:
            return ReplyLost(f"{address}: {error or type(error).__name__}")
        return Reply(address, response.status, response.content)

    def read(self, path: str) -> Any:
        """Return the decoded answer of a GET; raises `CommandError` for any other answer."""
        return accepted(self.send("GET", path)).value()

    def running(self) -> RunningConfiguration:
        """Return the configuration in force at the first entry instance that answers."""
        reply = accepted(self.send("GET", "configuration"))
        try:
            return msgspec.json.decode(reply.body, type=RunningConfiguration)
        except msgspec.DecodeError as error:
            raise CommandError(
                EXIT_FAILED, f"{reply.address} sent no configuration: {error}"
            ) from None

    def settled_version(self, wanted: Items) -> int | None:
        """Return the version that has these items in force, or None when none appears in time."""
        end = time.monotonic() + SETTLE_SECONDS
        while True:
            for address in self.addresses:
                version = self._version_with(address, wanted)
                if version is not None:
                    return version
            if time.monotonic() >= end:
                return None
            time.sleep(SETTLE_POLL_SECONDS)

    def _version_with(self, address: str, wanted: Items) -> int | None:
        match self.send_to(address, "GET", "configuration"):
            case Reply(status=200, body=body):
                running = msgspec.json.decode(body, type=RunningConfiguration)
                return running.version if running.encoded_items() == wanted else None
            case _:
                return None

    def _request(self, address: str, method: str, path: str, content: bytes) -> httpcore.Response:
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": READ_TIMEOUT_SECONDS,
            "write": READ_TIMEOUT_SECONDS,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
        headers = [(b"content-type", b"application/json")]
        if self._key:
            headers.append((b"authorization", f"Bearer {self._key}".encode()))
        return self._pool.request(
            method,
            f"{self._scheme}://{address}/admin/v1/{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )


def accepted(outcome: Reply | Unreachable | ReplyLost) -> Reply:
    """Return a reply of status 2xx; raises `CommandError` with the fitting exit code otherwise."""
    match outcome:
        case Reply(status=status) as reply if 200 <= status < 300:
            return reply
        case Reply() as reply:
            raise refused(reply)
        case Unreachable(reason=reason):
            raise CommandError(EXIT_UNREACHABLE, f"no entry instance answered: {reason}")
        case ReplyLost(reason=reason):
            raise CommandError(EXIT_UNREACHABLE, f"the answer was lost: {reason}")


def refused(reply: Reply) -> CommandError:
    """Return the error that describes an answer other than 2xx."""
    value = reply.value()
    error = value.get("error", {}) if isinstance(value, dict) else {}
    message = f"{reply.address}: {error.get('message', f'status {reply.status}')}"
    findings = tuple(f"{item['place']}: {item['message']}" for item in error.get("findings", ()))
    match reply.status:
        case 401:
            message = (
                f"{reply.address} refused the operator key; set --key, --key-file or a variable"
            )
            return CommandError(EXIT_KEY_REFUSED, message)
        case 404:
            return CommandError(EXIT_NOT_FOUND, message, findings)
        case 503:
            return CommandError(EXIT_UNREACHABLE, message, findings)
    return CommandError(EXIT_FAILED, message, findings)
