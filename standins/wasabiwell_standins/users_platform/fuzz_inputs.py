"""Seeded inputs of the fuzzer: what one caller does on a connection, and single datagrams."""

import base64
from dataclasses import dataclass
from random import Random

from wasabiwell_entry.protocol.notices import NOTICE_TYPES, encode_notice
from wasabiwell_entry.state.crashes import Crash, PartCause, RequestCause
from wasabiwell_entry.state.exchange import (
    AttemptVerdict,
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PeerLoss,
    PlacementNotice,
    RequestEnded,
    RequestPlaced,
    RetryBudgetUse,
    RetryNotice,
    RoutesConfirmed,
    SlowdownNotice,
    StaleIncarnation,
    StoreUnreachable,
    Suspicion,
    Suspicions,
    TargetDepartures,
    WatchRequest,
)
from wasabiwell_entry.state.targets import TargetProcess

from wasabiwell_standins.untrusted_callers import (
    PIECE_BYTES,
    AnnouncedBody,
    ChunkedBody,
    EndlessHead,
    Silence,
    UnreadResponse,
    sent_pieces,
)
from wasabiwell_standins.users_platform.deployment import HOST, KEY

MAX_PAUSE_SECONDS = 0.05
MAX_READ_SECONDS = 0.6
MAX_IDLE_SECONDS = 4.0
"""Longer than an instance keeps a connection with a part of a request."""
MAX_PIECES = 6
FUZZED_PREFIX = "fuzzed-"
"""Request ids of the fuzzer; a changed byte may make another id of them."""
H2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
TLS_HELLO = (
    bytes.fromhex("16030100500100004c0303") + bytes(32) + bytes.fromhex("000002130101000000")
)


@dataclass(frozen=True, slots=True)
class SendBytes:
    """Send some bytes."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing for a time."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Read:
    """Read until nothing has come for a time, or the connection ends."""

    seconds: float


@dataclass(frozen=True, slots=True)
class EndSending:
    """Close the sending direction only."""


@dataclass(frozen=True, slots=True)
class Reset:
    """Close the connection with a reset."""


Action = SendBytes | Wait | Read | EndSending | Reset


def connection_actions(random: Random) -> list[Action]:
    """Return what a caller does on one connection, which is closed at the end."""
    data = b"".join(_message(random) for _ in range(random.choice((1, 1, 1, 2, 3, 12))))
    actions: list[Action] = []
    pieces = sorted(random.randrange(len(data) + 1) for _ in range(random.randrange(MAX_PIECES)))
    for start, end in zip((0, *pieces), (*pieces, len(data)), strict=True):
        actions.append(SendBytes(data[start:end]))
        if random.random() < 0.3:
            actions.append(Wait(random.random() * MAX_PAUSE_SECONDS))
        if random.random() < 0.1:
            actions.append(Read(random.random() * MAX_PAUSE_SECONDS))
    match random.randrange(8):
        case 0:
            actions.append(Reset())
        case 1:
            actions += [EndSending(), Read(MAX_READ_SECONDS)]
        case 2:
            actions += [EndSending(), Wait(MAX_PAUSE_SECONDS), Reset()]
        case 3 if random.random() < 0.2:
            actions.append(Wait(random.random() * MAX_IDLE_SECONDS))
        case 4:
            actions += [Read(MAX_PAUSE_SECONDS), Reset()]
        case 5:
            actions += [Read(MAX_READ_SECONDS), SendBytes(_message(random)), EndSending()]
        case _:
            actions.append(Read(random.random() * MAX_READ_SECONDS))
    return actions


def untrusted_actions(random: Random) -> list[Action]:
    """Return what a caller that ignores the limits does on one connection, which it then holds."""
    lines = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Wasabiwell-Request-Id: {FUZZED_PREFIX}{random.getrandbits(64):x}\r\n"
    )
    sent = random.choice((10_000, 200_000, 3_900_000, 5_000_000))
    # Fewer bytes in tiny chunks, each of which costs the instance as much as a large one.
    tiny = random.choice((100, 2_000, 10_000))
    copies = random.choice((1_000, 60_000))
    behaviour = random.choice(
        (
            AnnouncedBody(random.choice((4_000_000, 400_000_000)), sent),
            ChunkedBody(sent, random.choice((100_000, PIECE_BYTES))),
            ChunkedBody(tiny, chunk_bytes=1),
            EndlessHead(random.choice((10_000, 15_000))),
            Silence(),
            UnreadResponse(b'{"copies": %d}' % copies),
        )
    )
    actions: list[Action] = [SendBytes(piece) for piece in sent_pieces(behaviour, lines.encode())]
    return [*actions, Wait(random.random() * MAX_IDLE_SECONDS)]


def _message(random: Random) -> bytes:
    """Return the bytes of one request, or of what is none."""
    kind = random.randrange(20)
    if kind == 0:
        return random.randbytes(random.choice((1, 40, 3_000)))
    if kind == 1:
        return TLS_HELLO
    if kind == 2:
        return H2_PREFACE + _h2_frames(random)
    data = _request(random)
    if kind < 9:
        return data
    return _changed(random, data)


def _request(random: Random) -> bytes:
    """Return a request whose parts are each sound or odd."""
    body = random.choice((b"", b'{"events": 3}', b'{"events": 3, "work_ms": 5}', b"{", b"x" * 9000))
    method, path = random.choice(
        (
            ("GET", "/look/1"),
            ("POST", "/book/1"),
            ("POST", "/short/1"),
            ("GET", "/none/1"),
            ("HEAD", "/look/1"),
            ("OPTIONS", "*"),
            ("CONNECT", f"{HOST}:80"),
            ("DELETE", "/quarantine/v1/%00"),
            ("GET", "http://[::1/look/1"),
            ("GET", "/look/%ff%00?%zz=\xe9&&=;"),
            ("TRACE", "/" + "a" * 9_000),
            ("get", "/readiness"),
            ("GET", "/resolve?name=a.example&zone=%ff"),
            ("GET", "/metrics"),
        )
    )
    headers = [f"Host: {HOST}", f"Authorization: Bearer {KEY}"]
    headers.append(f"Wasabiwell-Request-Id: {FUZZED_PREFIX}{random.getrandbits(64):x}")
    if path == "/short/1" or random.random() < 0.1:
        headers += [
            "Wasabiwell-Model: m",
            f"Wasabiwell-Token-Counts: {random.choice(('200,40', '1,1', '-1,0', 'x', '9' * 30))}",
            f"Wasabiwell-Prompt-Prefix: {random.choice(('aa:40,bb:160', 'aa', ':,:', 'a:-1', ''))}",
        ]
    deadline = random.choice(("1000", "1000", "300", "0", "-5", "x", "9" * 40))
    headers.append(f"Wasabiwell-Request-Deadline: {deadline}")
    headers += random.sample(ODD_HEADERS, random.choice((0, 0, 1, 3)))
    encoded, framing = _framed(random, body)
    headers += framing
    random.shuffle(headers)
    version = random.choice(("HTTP/1.1",) * 12 + ("HTTP/1.0", "HTTP/0.9", "HTTP/2", "HTTP/1.1 x"))
    head = "\r\n".join([f"{method} {path} {version}", *headers]) + "\r\n\r\n"
    return head.encode("latin-1") + encoded + random.choice((b"", b"", b"", b"\r\n\r\n", b"stray"))


ODD_HEADERS = (
    "Expect: 100-continue",
    "Expect: something",
    "Connection: close",
    "Connection: keep-alive, Upgrade, Host",
    "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    f"Sec-WebSocket-Key: {base64.b64encode(bytes(16)).decode()}",
    "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABkAARAAAAA",
    "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: !",
    "Upgrade: anything",
    "X-Long: " + "v" * 20_000,
    "X-Folded: a\r\n b",
    " X-Space: a",
    "X-Nul: \0",
    "X-Latin: \xe9\xff",
    ": no name",
    "No colon",
    f"Host: {HOST}",
    "Host: ",
    "Authorization: Basic !",
    "Content-Length: 3",
    "Transfer-Encoding: chunked",
    "Wasabiwell-Request-Id: ",
    "Wasabiwell-Request-Id: \xff\xfe",
    "Wasabiwell-Unknown: 1",
    "Wasabiwell-Resume-After: 99999999999999999999",
    "Last-Event-ID: -1",
    "\r\n".join(f"X-Many-{index}: 1" for index in range(200)),
)


def _framed(random: Random, body: bytes) -> tuple[bytes, list[str]]:
    """Return a body with the headers that frame it, soundly or not."""
    chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    match random.randrange(12):
        case 0:
            return body, []
        case 1:
            return chunked, ["Transfer-Encoding: chunked"]
        case 2:
            return b"ffffffffffffffffffff\r\n" + body, ["Transfer-Encoding: chunked"]
        case 3:
            return b"-1\r\n" + body, ["Transfer-Encoding: chunked"]
        case 4:
            return chunked[:-4], ["Transfer-Encoding: chunked"]
        case 5:
            return chunked, ["Transfer-Encoding: chunked", f"Content-Length: {len(body)}"]
        case 6:
            return chunked, ["Transfer-Encoding: gzip, chunked"]
        case 7:
            return body, [f"Content-Length: {random.choice(('-1', '+3', '1e3', '9' * 25, '3, 4'))}"]
        case 8:
            return body, [f"Content-Length: {len(body) + random.choice((-1, 1, 5_000))}"]
        case _:
            return body, [f"Content-Length: {len(body)}"]


def _changed(random: Random, data: bytes) -> bytes:
    """Return bytes after a few random changes."""
    changed = bytearray(data)
    for _ in range(random.randrange(1, 5)):
        if not changed:
            break
        at = random.randrange(len(changed))
        match random.randrange(5):
            case 0:
                changed[at] = random.randrange(256)
            case 1:
                del changed[at:]
            case 2:
                del changed[at : at + random.randrange(1, 30)]
            case 3:
                changed[at:at] = changed[at : at + random.randrange(1, 60)]
            case _:
                changed[at:at] = random.choice(
                    (b"\r\n", b"\n", b"\0", b":", b" ", b"\xff", b"\r\n\r\n")
                )
    return bytes(changed)


def _h2_frames(random: Random) -> bytes:
    """Return frames of HTTP/2, most of them with random content."""
    frames = [(0, 4, 0, b"")]
    for _ in range(random.randrange(6)):
        payload = random.randbytes(random.choice((0, 4, 8, 40)))
        frames.append((random.randrange(4), random.randrange(12), random.randrange(256), payload))
    return b"".join(
        len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream.to_bytes(4, "big") + payload
        for stream, kind, flags, payload in frames
    )


def peer_state(address: str, sequence: int) -> NodeState:
    """Return a state of a peer that serves no callers; `address` is `HOST:PORT`."""
    host = address.partition(":")[0]
    return NodeState(
        incarnation=1,
        sequence=sequence,
        region="new-england",
        zone="fuzzed",
        caller_address=f"{host}:1",
        control_address=f"{host}:1",
        serving=False,
        leaving=False,
        routes_version=0,
        knows_targets=False,
        uses=(RetryBudgetUse("none", 1, 2),),
        placed=("r1", "r2"),
    )


def _samples(address: str) -> list[Notice]:
    """Return one notice of each type; none names a target, route or caller of the deployment."""
    suspicion = Suspicion(PartCause("none", "zz"), (Crash("e1@1", "f"),), (), True)
    placement = PlacementNotice("r", "none", "e1", ("e2",), 1, 2, 3, 4, 5, 6, True, (7, 0))
    return [
        RequestPlaced(placement),
        DecodeStarted("r"),
        SlowdownNotice("e1", 2.5),
        RequestEnded("r", "e1", AttemptVerdict.LOST),
        Suspicions((Suspicion(RequestCause("f"), (Crash("e1@1", "f"),)), suspicion)),
        ListingNotice(1, 2**63 + 1, 2**64 - 1, (), ("e9",)),
        peer_state(address, 4),
        NodeAddresses(("127.0.0.9:7", "nowhere:x", "127.0.0.9:99999", "")),
        HelperLoss("e01"),
        PeerLoss("127.0.0.9:7", 1, 4),
        RetryNotice("none"),
        WatchRequest(),
        TargetDepartures((TargetProcess("e1", 7, "127.0.0.9:80"),)),
        RoutesConfirmed("127.0.0.9:9", 7),
        StoreUnreachable(),
        StaleIncarnation(7),
    ]


def datagram(random: Random, address: str) -> bytes:
    """Return a datagram: sound, changed, or of random bytes; `address` is that of its sender."""
    data = encode_notice(random.choice(_samples(address)))
    match random.randrange(6):
        case 0:
            return data
        case 1:
            return random.randbytes(random.choice((0, 1, 20, 2_000, 60_000)))
        case 2:
            return bytes((random.randrange(len(NOTICE_TYPES) + 2),)) + data[1:]
        case _:
            return _changed(random, data)[:60_000]
