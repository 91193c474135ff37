"""Callers of the users' platform: resolve entry addresses, send requests, check responses."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import httpcore
import msgspec
import trio

from wasabiwell_standins.users_platform.attempts import (
    Answered,
    Attempt,
    Broken,
    Expired,
    NotConnected,
    NotResolved,
)
from wasabiwell_standins.users_platform.ledger import Ledger

CONNECT_SECONDS = 1.0
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class ConnectFailedError(Exception):
    """No connection to an instance could be made."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request to send; `prompt` is its length in tokens, 0 for calls of plain services."""

    kind: str
    host: str
    path: str
    key: str
    prompt: int = 0
    events: int = 5
    work_ms: int = 15
    deadline_ms: int = 10_000
    text: str = ""
    part: str = ""
    """Id of a further part of the prompt, shared with other requests."""


@dataclass(slots=True)
class Reply:
    """Result of a request, of the last attempt unless stated otherwise.

    `status` is None if no response arrived, `complete` is set when the whole body arrived, and
    `connect_failed` when no connection could be made. `first_byte_s` is the time to the first byte
    of the body in the attempt that received it first; `total_s` covers all attempts.
    """

    request: CallerRequest
    request_id: str = ""
    status: int | None = None
    complete: bool = False
    connect_failed: bool = False
    first_byte_s: float | None = None
    total_s: float = 0.0
    attempts: int = 0
    events: list[int] = field(default_factory=list)


class Caller:
    """Sends requests from one zone and records the outcomes in the ledger."""

    def __init__(
        self,
        directories: list[str],
        zone: str,
        ledger: Ledger,
        seed: int,
        proxies: Mapping[str, str] = MappingProxyType({}),
        is_refused: Callable[[int], bool] = lambda port: False,
        occupancy: Callable[[CallerRequest], float] = lambda request: 0.0,
    ) -> None:
        """Use directories at these addresses; `proxies` maps frontend addresses to proxies.

        `is_refused` tells whether a proxy closed the connection from a local port because the
        instance did not listen; `occupancy` returns the one of `Attempt`.
        """
        self._directories = directories
        self._proxies = proxies
        self._zone = zone
        self._ledger = ledger
        self._is_refused = is_refused
        self._occupancy = occupancy
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._addresses_expire_at = 0.0
        self._failed_addresses: set[str] = set()

    async def send(self, request: CallerRequest, retries: int = 1) -> Reply:
        """Send a request, and retry it on another connection where that is allowed."""
        reply = Reply(request)
        started_at = trio.current_time()
        for attempt in range(retries + 1):
            reply.attempts = attempt + 1
            seconds_left = request.deadline_ms / 1000 - (trio.current_time() - started_at)
            if seconds_left <= 0:
                break
            retry_after = await self._send_attempt(request, reply, seconds_left)
            refused = reply.status in (408, 421, 429, 503)
            if reply.complete and not refused:
                break
            if reply.status in (400, 401, 404, 413, 431):
                break
            if request.kind != "safe" and not refused and not reply.connect_failed:
                break
            await trio.sleep(min(retry_after, seconds_left / 3))
        reply.total_s = trio.current_time() - started_at
        return reply

    async def addresses(self) -> list[str]:
        """Return the frontend addresses from the first directory that responds, or cached ones."""
        if trio.current_time() < self._addresses_expire_at and self._addresses:
            return self._addresses
        for directory in self._random.sample(self._directories, len(self._directories))[:3]:
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "GET",
                        f"http://{directory}/resolve?name=a.example&zone={self._zone}",
                        extensions={"timeout": dict.fromkeys(("connect", "read"), CONNECT_SECONDS)},
                    )
            except CONNECTION_ERRORS:
                continue
            if response.status == 200:
                resolved = msgspec.json.decode(response.content)
                self._addresses = resolved["addresses"]
                self._addresses_expire_at = trio.current_time() + resolved["ttl_s"]
                break
        return self._addresses

    async def _send_attempt(
        self, request: CallerRequest, reply: Reply, seconds_left: float
    ) -> float:
        """Send one attempt under a request id of its own; return the retry delay in seconds."""
        request_id = f"{self._random.getrandbits(64):016x}"
        reply.request_id, reply.status = request_id, None
        reply.complete = reply.connect_failed = False
        reply.events.clear()
        self._ledger.sent.add(request_id)
        if request.kind == "unsafe":
            self._ledger.at_most_once.add(request_id)
        attempt = Attempt(
            request_id,
            request.kind,
            request.path,
            request.key,
            seconds_left,
            trio.current_time(),
        )
        retry_after = 0.05
        try:
            with trio.move_on_after(seconds_left) as scope:
                address = await self._choose_address()
                if address is None:
                    attempt.ending = NotResolved()
                    return 0.1
                attempt.address = address
                retry_after = await self._exchange(request, reply, attempt)
            if scope.cancelled_caught:
                attempt.ending = Expired(attempt.status)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, ConnectFailedError):
            attempt.ending = NotConnected()
            reply.connect_failed = True
            self._failed_addresses.add(attempt.address)
        except (*CONNECTION_ERRORS, trio.BrokenResourceError):
            attempt.ending = Broken(attempt.status)
        finally:
            reply.status = attempt.status
            attempt.ended_at = trio.current_time()
            attempt.occupancy = self._occupancy(request)
            self._ledger.attempts.append(attempt)
        if reply.status is not None:
            self._ledger.statuses[request_id] = reply.status
        return retry_after

    async def _choose_address(self) -> str | None:
        """Return the address of the instance for the next attempt, None if none is known."""
        addresses = await self.addresses()
        usable = [item for item in addresses if item not in self._failed_addresses]
        if not usable:
            self._failed_addresses.clear()
            return None
        return self._random.choice(usable)

    async def _exchange(self, request: CallerRequest, reply: Reply, attempt: Attempt) -> float:
        """Send an attempt on a connection of its own; return the retry delay in seconds."""
        client_port: int | None = None

        async def trace(event: str, info: Mapping[str, Any]) -> None:
            nonlocal client_port
            if event == "connection.connect_tcp.complete":
                client_port = info["return_value"].get_extra_info("client_addr")[1]
            elif event == "http11.send_request_body.complete":
                attempt.sent_at = trio.current_time()

        address = self._proxies.get(attempt.address, attempt.address)
        timeout = {"connect": CONNECT_SECONDS, "read": attempt.deadline_s}
        try:
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    "GET" if request.kind == "safe" else "POST",
                    f"http://{address}{request.path}",
                    headers=self._headers(request, attempt),
                    content=encode_body(request),
                    extensions={"timeout": timeout, "trace": trace},
                ) as response,
            ):
                attempt.status = response.status
                data = b""
                async for chunk in response.aiter_stream():
                    if reply.first_byte_s is None:
                        reply.first_byte_s = trio.current_time() - attempt.started_at
                    data += chunk
        except CONNECTION_ERRORS:
            if client_port is not None and self._is_refused(client_port):
                raise ConnectFailedError from None
            raise
        headers = {name.lower(): value for name, value in response.headers}
        return self._finish(request, reply, attempt, headers, data)

    def _finish(
        self,
        request: CallerRequest,
        reply: Reply,
        attempt: Attempt,
        headers: dict[bytes, bytes],
        data: bytes,
    ) -> float:
        """Record a complete response; return the retry delay in seconds."""
        assert attempt.status is not None
        reply.complete = True
        by_target = b"wasabiwell-response-signature" in headers
        attempt.ending = Answered(attempt.status, by_target)
        if attempt.status == 200:
            self._check(request, attempt.request_id, headers, data)
        return float(headers.get(b"retry-after", b"0.05"))

    def _headers(self, request: CallerRequest, attempt: Attempt) -> list[tuple[str, str]]:
        request_id = attempt.request_id
        headers = [
            ("Host", request.host),
            ("Authorization", f"Bearer {request.key}"),
            ("Wasabiwell-Request-Id", request_id),
            ("Wasabiwell-Request-Deadline", str(int(attempt.deadline_s * 1000))),
        ]
        shared = f"{request.part}:0," if request.part else ""
        if request.prompt:
            headers += [
                ("Wasabiwell-Model", "m"),
                ("Wasabiwell-Token-Counts", f"{request.prompt},4000"),
                ("Wasabiwell-Prompt-Prefix", f"aa:40,{shared}{request_id}:{request.prompt - 40}"),
                ("Wasabiwell-Length-Hint", str(request.events * 46)),
            ]
        return headers

    def _check(
        self, request: CallerRequest, request_id: str, headers: dict[bytes, bytes], data: bytes
    ) -> None:
        """Record a violation if a 200 response is incomplete or belongs to another request."""
        violations = self._ledger.detected_violations
        signature = headers.get(b"wasabiwell-response-signature", b"").decode()
        if not signature.endswith(f".{request_id}"):
            violations.append(f"{request_id}: unexpected signature {signature!r}")
        if not request.prompt:
            if data != f"done {request_id}".encode() * 8:
                violations.append(f"{request_id}: unexpected body {data[:80]!r}")
            return
        expected = b"".join(
            f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            for number in range(1, request.events + 1)
        )
        if data != expected:
            violations.append(
                f"{request_id}: unexpected stream, {len(data)} of {len(expected)} bytes"
            )


def encode_body(request: CallerRequest) -> bytes | None:
    """Return the body of a request, None for one without a body."""
    if request.kind == "safe":
        return None
    fields = {"events": request.events, "work_ms": request.work_ms, "text": request.text}
    return msgspec.json.encode(fields)
