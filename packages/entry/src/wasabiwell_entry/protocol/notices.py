"""MessagePack encoding of the datagrams between entry instances."""

from typing import Any

import msgspec

from wasabiwell_entry.state.exchange import (
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PeerLoss,
    RequestEnded,
    RequestPlaced,
    RetryNotice,
    SlowdownNotice,
    Suspicion,
    WatchRequest,
)

NOTICE_TYPES: tuple[type[Notice], ...] = (
    RequestPlaced,
    DecodeStarted,
    SlowdownNotice,
    RequestEnded,
    Suspicion,
    ListingNotice,
    NodeState,
    NodeAddresses,
    HelperLoss,
    PeerLoss,
    RetryNotice,
    WatchRequest,
)
"""The first byte of a datagram is the place of its message's type in this list."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: tuple[msgspec.msgpack.Decoder[Any], ...] = tuple(
    msgspec.msgpack.Decoder(kind) for kind in NOTICE_TYPES
)


class UnreadableNoticeError(Exception):
    """The bytes are no message of this protocol."""


def encode_notice(notice: Notice) -> bytes:
    """Return the datagram of a message."""
    return bytes((NOTICE_TYPES.index(type(notice)),)) + _ENCODER.encode(notice)


def decode_notice(data: bytes) -> Notice:
    """Return the message of a datagram; raises `UnreadableNoticeError`."""
    if not data or data[0] >= len(NOTICE_TYPES):
        raise UnreadableNoticeError("the kind of the message is not known")
    try:
        notice: Notice = _DECODERS[data[0]].decode(data[1:])
    except msgspec.DecodeError as error:
        raise UnreadableNoticeError(str(error)) from error
    return notice
