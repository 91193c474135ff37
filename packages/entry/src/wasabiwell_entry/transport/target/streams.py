"""Connection that records how it ended."""

from socket import SO_ERROR, SOL_SOCKET

import httpcore


class EndRecordingStream(httpcore.AsyncNetworkStream):
    """Connection that tells an end in order from a reset that a read reports as such an end.

    The kernel reports a reset once. If the write of a request gets it, the HTTP library ignores that,
    as a target may respond early and close. It reads the bytes that have arrived and then an end in
    order, which is the end of a body without a length. A reset after an end in order is left in
    `SO_ERROR`.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._ended = False
        self._write_failed = False

    @property
    def reset_before_end(self) -> bool:
        """Return whether reads have ended after a reset, so that a body may lack its rest."""
        return self._ended and (self._write_failed or self._socket_error() != 0)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, or none at the end; the timeout is in seconds."""
        data = await self._stream.read(max_bytes, timeout)
        self._ended = not data
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes with a timeout in seconds; raises `WriteError` on a reset."""
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._write_failed = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return extra information about the connection."""
        return self._stream.get_extra_info(info)

    def _socket_error(self) -> int:
        error: int = self._stream.get_extra_info("socket").getsockopt(SOL_SOCKET, SO_ERROR)
        return error
