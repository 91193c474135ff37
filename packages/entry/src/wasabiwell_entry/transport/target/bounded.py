"""Reads responses of targets up to a largest size."""

from collections.abc import Mapping, Sequence
from typing import Any

import httpcore

MAX_REPLY_BYTES = 4 * 1024 * 1024
"""Largest reply to a query or an order; those of large engines have some 100 KB."""

HeaderList = Sequence[tuple[bytes, bytes]] | Sequence[tuple[str, str]]


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the whole body of a streamed response.

    Raises `httpcore.RemoteProtocolError` when it has more than `max_bytes`, as a faulty target may
    send bytes without end.
    """
    body = bytearray()
    async for data in response.aiter_stream():
        body += data
        if len(body) > max_bytes:
            raise httpcore.RemoteProtocolError(f"the body has more than {max_bytes} bytes")
    return bytes(body)


async def bounded_request(
    connection: httpcore.AsyncConnectionPool | httpcore.AsyncHTTP11Connection,
    method: str,
    url: str,
    *,
    headers: HeaderList = (),
    content: bytes | None = None,
    extensions: Mapping[str, Any] | None = None,
    max_bytes: int = MAX_REPLY_BYTES,
) -> httpcore.Response:
    """Send a request and return its response with the whole body; raises as `read_body` does."""
    async with connection.stream(
        method,
        url,
        headers=list(headers),
        content=content,
        extensions=dict(extensions or {}),
    ) as response:
        body = await read_body(response, max_bytes)
        whole = httpcore.Response(response.status, headers=response.headers, content=body)
    whole.read()
    return whole
