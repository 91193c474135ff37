"""Callers of the users' platform: they ask the directory, and check what they get."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import httpcore
import msgspec
import trio

from wasabiwell_standins.users_platform.ledger import Ledger

CONNECT_SECONDS = 1.0
ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that a caller wants answered; `prompt` is 0 for calls of plain services."""

    kind: str
    host: str
    path: str
    key: str
    prompt: int = 0
    events: int = 5
    work_ms: int = 15
    deadline_ms: int = 10_000
    text: str = ""


@dataclass(slots=True)
class Reply:
    """What came of an order; `first_byte_s` is the time to the first byte of the body.

    `status` is None when there was no answer, and `complete` tells that the body was complete.
    `unsent` tells that no connection could be made.
    """

    request: CallerRequest
    request_id: str = ""
    status: int | None = None
    complete: bool = False
    unsent: bool = False
    first_byte_s: float | None = None
    total_s: float = 0.0
    tries: int = 0
    events: list[int] = field(default_factory=list)


class Caller:
    """Sends orders from one zone and keeps what happened in the ledger."""

    def __init__(
        self,
        directories: list[str],
        zone: str,
        ledger: Ledger,
        seed: int,
        proxies: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        """Take the directories' addresses, and those of proxies before some addresses."""
        self._directories = directories
        self._proxies = proxies
        self._zone = zone
        self._ledger = ledger
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._expires = 0.0
        self._failed: set[str] = set()

    async def send(self, request: CallerRequest, retries: int = 1) -> Reply:
        """Send an order, and again on another connection where that is allowed."""
        reply = Reply(request)
        begun = trio.current_time()
        for attempt in range(retries + 1):
            reply.tries = attempt + 1
            left = request.deadline_ms / 1000 - (trio.current_time() - begun)
            if left <= 0:
                break
            retry_after = await self._try(request, reply, left)
            refused = reply.status in (408, 421, 429, 503)
            if reply.complete and not refused:
                break
            if reply.status in (400, 401, 404, 413, 431):
                break
            if request.kind != "safe" and not refused and not reply.unsent:
                break
            await trio.sleep(min(retry_after, left / 3))
        reply.total_s = trio.current_time() - begun
        return reply

    async def addresses(self) -> list[str]:
        """Return the addresses to use, from the first directory that answers."""
        if trio.current_time() < self._expires and self._addresses:
            return self._addresses
        for directory in self._random.sample(self._directories, len(self._directories))[:3]:
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        "GET",
                        f"http://{directory}/resolve?name=a.example&zone={self._zone}",
                        extensions={"timeout": dict.fromkeys(("connect", "read"), CONNECT_SECONDS)},
                    )
            except ERRORS:
                continue
            if response.status == 200:
                answer = msgspec.json.decode(response.content)
                self._addresses = answer["addresses"]
                self._expires = trio.current_time() + answer["ttl_s"]
                break
        return self._addresses

    async def _try(self, request: CallerRequest, reply: Reply, left: float) -> float:
        """Send an order once, under an id of its own; return when to come back, in seconds."""
        request_id = f"{self._random.getrandbits(64):016x}"
        reply.request_id, reply.status = request_id, None
        reply.complete = reply.unsent = False
        reply.events.clear()
        self._ledger.sent.add(request_id)
        if request.kind == "unsafe":
            self._ledger.at_most_once.add(request_id)
        addresses = await self.addresses()
        if not set(addresses) - self._failed:
            self._failed.clear()
            return 0.1
        address = self._random.choice([item for item in addresses if item not in self._failed])
        begun = trio.current_time()
        retry_after = 0.05
        with trio.move_on_after(left):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    retry_after = await self._exchange(pool, address, request, reply, left, begun)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                reply.unsent = True
                self._failed.add(address)
            except ERRORS:
                pass
        if reply.status is not None:
            self._ledger.statuses[request_id] = reply.status
        return retry_after

    async def _exchange(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        request: CallerRequest,
        reply: Reply,
        left: float,
        begun: float,
    ) -> float:
        body = {"events": request.events, "work_ms": request.work_ms, "text": request.text}
        async with pool.stream(
            "GET" if request.kind == "safe" else "POST",
            f"http://{self._proxies.get(address, address)}{request.path}",
            headers=self._headers(request, reply.request_id, left),
            content=None if request.kind == "safe" else msgspec.json.encode(body),
            extensions={"timeout": {"connect": CONNECT_SECONDS, "read": left}},
        ) as response:
            reply.status = response.status
            data = b""
            async for part in response.aiter_stream():
                if reply.first_byte_s is None:
                    reply.first_byte_s = trio.current_time() - begun
                data += part
            reply.complete = True
            headers = {name.lower(): value for name, value in response.headers}
        if reply.status == 200:
            self._check(request, reply, headers, data)
        return float(headers.get(b"retry-after", b"0.05"))

    def _headers(
        self, request: CallerRequest, request_id: str, left: float
    ) -> list[tuple[str, str]]:
        headers = [
            ("Host", request.host),
            ("Authorization", f"Bearer {request.key}"),
            ("Wasabiwell-Request-Id", request_id),
            ("Wasabiwell-Request-Deadline", str(int(left * 1000))),
        ]
        if request.prompt:
            headers += [
                ("Wasabiwell-Model", "m"),
                ("Wasabiwell-Token-Counts", f"{request.prompt},4000"),
                ("Wasabiwell-Prompt-Prefix", f"aa:40,{request_id}:{request.prompt - 40}"),
                ("Wasabiwell-Length-Hint", str(request.events * 46)),
            ]
        return headers

    def _check(
        self, request: CallerRequest, reply: Reply, headers: dict[bytes, bytes], data: bytes
    ) -> None:
        """Note each way in which a success is not the caller's own whole answer."""
        request_id, problems = reply.request_id, self._ledger.problems
        signature = headers.get(b"wasabiwell-response-signature", b"").decode()
        if not signature.endswith(f".{request_id}"):
            problems.append(f"{request_id}: signature {signature!r}")
        if not request.prompt:
            if data != f"done {request_id}".encode() * 8:
                problems.append(f"{request_id}: body {data[:80]!r}")
            return
        expected = b"".join(
            f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            for number in range(1, request.events + 1)
        )
        if data != expected:
            problems.append(f"{request_id}: a stream of {len(data)} of {len(expected)} bytes")
