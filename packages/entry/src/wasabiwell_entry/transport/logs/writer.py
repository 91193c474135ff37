"""Writes log lines to standard output without ever blocking the process."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from wasabiwell_entry.transport.logs.const import FLUSH_TIME, WRITE_BYTES
from wasabiwell_entry.transport.logs.lines import LineBuffer


class LineWriter:
    """Writes the lines of a buffer to a file descriptor."""

    __slots__ = ("_buffer", "_descriptor", "_rest", "_waits", "_wake")

    def __init__(self, buffer: LineBuffer, descriptor: int) -> None:
        self._buffer = buffer
        self._descriptor = descriptor
        self._rest = b""
        self._wake = trio.Event()
        self._waits = True
        buffer.wake = self._wake.set

    async def run(self) -> None:
        """Write lines as they come until cancelled."""
        while True:
            await self.flush()
            await self._wake.wait()
            self._wake = trio.Event()
            self._buffer.wake = self._wake.set

    async def flush(self) -> None:
        """Write all lines that wait."""
        while self._rest or not self._buffer.empty:
            self._rest = self._rest or self._buffer.take(WRITE_BYTES)
            await self._wait_writable()
            try:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            except BlockingIOError:
                continue
            except OSError:
                # Nobody can be told: the reader of the lines is gone.
                self._rest = b""

    async def _wait_writable(self) -> None:
        """Wait for the reader; files need no wait and cannot be waited for."""
        if self._waits:
            try:
                await trio.lowlevel.wait_writable(self._descriptor)
            except OSError:
                self._waits = False
        await trio.lowlevel.checkpoint()


@asynccontextmanager
async def open_line_writer(buffer: LineBuffer, descriptor: int) -> AsyncIterator[None]:
    """Write the lines of a buffer until the context ends, and what waits then for a short time."""
    blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    writer = LineWriter(buffer, descriptor)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            try:
                yield
            finally:
                nursery.cancel_scope.cancel()
                with trio.move_on_after(FLUSH_TIME.total_seconds(), shield=True):
                    await writer.flush()
    finally:
        os.set_blocking(descriptor, blocking)
