"""MessagePack codec of peer messages for grpclib."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MessagePackCodec(CodecBase):
    """Encodes message classes with msgspec, so that no generated code is needed."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of the given class; raises `msgspec.DecodeError`."""
        return msgspec.msgpack.decode(data, type=message_type)
