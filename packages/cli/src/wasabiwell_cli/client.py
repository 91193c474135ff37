"""Client for the admin API of entry instances."""

import ssl
import time
from dataclasses import dataclass, field
from typing import Any

import httpcore
import msgspec
from wasabiwell_config import Items

from wasabiwell_cli.const import (
    CONFIRM_POLL_INTERVAL_SECONDS,
    CONFIRM_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_KEY_REFUSED,
    EXIT_NOT_FOUND,
    EXIT_UNREACHABLE,
    READ_TIMEOUT_SECONDS,
)
from wasabiwell_cli.errors import CommandError

REQUEST_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
RESPONSE_LOST_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No entry instance that was tried responded.

    None of them received the request, unless it is a GET.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request may have been received and executed, but there is no response."""

    reason: str


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Status and JSON body of an entry instance's response."""

    address: str
    status: int
    body: bytes = field(repr=False)

    def json(self) -> Any:
        """Return the decoded body; raises `CommandError` when it is not JSON."""
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            message = f"{self.address} responded with status {self.status} and no JSON"
            raise CommandError(EXIT_FAILED, message) from None


@dataclass(frozen=True, slots=True)
class RunningConfiguration:
    """Version and items of the configuration that an entry instance runs with."""

    version: int
    items: dict[str, msgspec.Raw]

    def encoded_items(self) -> Items:
        """Return the items as JSON with sorted fields, comparable with the result of `items_of`."""
        return {
            path: msgspec.json.encode(msgspec.json.decode(value), order="sorted")
            for path, value in self.items.items()
        }


class AdminClient:
    """Sends requests to the admin API, trying the addresses of the entry instances in order."""

    __slots__ = ("_key", "_pool", "_scheme", "addresses")

    def __init__(
        self, addresses: tuple[str, ...], key: str, tls: ssl.SSLContext | None = None
    ) -> None:
        self.addresses = addresses
        self._key = key
        self._scheme = "http" if tls is None else "https"
        self._pool = httpcore.ConnectionPool(ssl_context=tls)

    def send(
        self, method: str, path: str, content: bytes = b""
    ) -> AdminResponse | Unreachable | ResponseLost:
        """Send a request to the first entry instance that can be reached.

        The next address is only tried when the request was certainly not received. A GET changes
        nothing, so it is also retried at the next address when the response is lost; `Unreachable`
        may then mean that the responses of all instances were lost.
        """
        reasons: list[str] = []
        for address in self.required_addresses():
            match self.send_to(address, method, path, content):
                case Unreachable(reason=reason):
                    reasons.append(reason)
                case ResponseLost(reason=reason) if method == "GET":
                    reasons.append(reason)
                case outcome:
                    return outcome
        return Unreachable("; ".join(reasons))

    def required_addresses(self) -> tuple[str, ...]:
        """Return the addresses; raises `CommandError` if none was given."""
        if not self.addresses:
            message = "no entry instance was given: set --entry IP:PORT or WASABIWELL_ENTRY"
            raise CommandError(EXIT_INVALID, message)
        return self.addresses

    def send_to(
        self, address: str, method: str, path: str, content: bytes = b""
    ) -> AdminResponse | Unreachable | ResponseLost:
        """Send a request to one entry instance, without retries."""
        try:
            response = self._request(address, method, path, content)
        except REQUEST_NOT_SENT_ERRORS as error:
            return Unreachable(f"{address}: {error or type(error).__name__}")
        except RESPONSE_LOST_ERRORS as error:
            return ResponseLost(f"{address}: {error or type(error).__name__}")
        return AdminResponse(address, response.status, response.content)

    def get_json(self, path: str) -> Any:
        """Return the decoded response to a GET; raises `CommandError` unless it succeeds."""
        return require_success(self.send("GET", path)).json()

    def running_configuration(self) -> RunningConfiguration:
        """Return the running configuration of the first entry instance that responds."""
        response = require_success(self.send("GET", "configuration"))
        try:
            return msgspec.json.decode(response.body, type=RunningConfiguration)
        except msgspec.DecodeError as error:
            raise CommandError(
                EXIT_FAILED, f"{response.address} sent no configuration: {error}"
            ) from None

    def wait_for_items(self, desired: Items) -> int | None:
        """Wait until an entry instance runs with exactly these items.

        Returns the version, or None after `CONFIRM_TIMEOUT_SECONDS`.
        """
        end = time.monotonic() + CONFIRM_TIMEOUT_SECONDS
        while True:
            for address in self.addresses:
                version = self._version_if_running(address, desired)
                if version is not None:
                    return version
            if time.monotonic() >= end:
                return None
            time.sleep(CONFIRM_POLL_INTERVAL_SECONDS)

    def _version_if_running(self, address: str, desired: Items) -> int | None:
        match self.send_to(address, "GET", "configuration"):
            case AdminResponse(status=200, body=body):
                running = msgspec.json.decode(body, type=RunningConfiguration)
                return running.version if running.encoded_items() == desired else None
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


def require_success(outcome: AdminResponse | Unreachable | ResponseLost) -> AdminResponse:
    """Return a response of status 2xx; raises `CommandError` with the matching exit code if not."""
    match outcome:
        case AdminResponse(status=status) as response if 200 <= status < 300:
            return response
        case AdminResponse() as response:
            raise error_from_response(response)
        case Unreachable(reason=reason):
            raise CommandError(EXIT_UNREACHABLE, f"no entry instance answered: {reason}")
        case ResponseLost(reason=reason):
            raise CommandError(EXIT_UNREACHABLE, f"the response was lost: {reason}")


def error_from_response(response: AdminResponse) -> CommandError:
    """Return the error for a response with a status other than 2xx.

    Raises `CommandError` when the body is not JSON.
    """
    value = response.json()
    error = value.get("error", {}) if isinstance(value, dict) else {}
    message = f"{response.address}: {error.get('message', f'status {response.status}')}"
    findings = tuple(f"{item['place']}: {item['message']}" for item in error.get("findings", ()))
    match response.status:
        case 401:
            message = (
                f"{response.address} refused the operator key; set --key, --key-file or their"
                " environment variables"
            )
            return CommandError(EXIT_KEY_REFUSED, message)
        case 404:
            return CommandError(EXIT_NOT_FOUND, message, findings)
        case 503:
            return CommandError(EXIT_UNREACHABLE, message, findings)
    return CommandError(EXIT_FAILED, message, findings)
