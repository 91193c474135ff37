"""Writes log lines to standard output without blocking the process."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from wasabiwell_entry.transport.logs.const import FLUSH_TIMEOUT, MAX_WRITE_BYTES
from wasabiwell_entry.transport.logs.lines import LineBuffer


class LineWriter:
    """Writes the lines of a buffer to a file descriptor."""

    __slots__ = ("_buffer", "_descriptor", "_pollable", "_unwritten", "_wake")

    def __init__(self, buffer: LineBuffer, descriptor: int) -> None:
        self._buffer = buffer
        self._descriptor = descriptor
        self._unwritten = b""
        self._wake = trio.Event()
        self._pollable = True
        buffer.wake = self._wake.set

    async def run(self) -> None:
        """Write lines as they are buffered until cancelled."""
        while True:
            await self.flush()
            await self._wake.wait()
            self._wake = trio.Event()
            self._buffer.wake = self._wake.set

    async def flush(self) -> None:
        """Write all buffered lines."""
        while self._unwritten or not self._buffer.empty:
            self._unwritten = self._unwritten or self._buffer.take(MAX_WRITE_BYTES)
            await self._wait_writable()
            try:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            except BlockingIOError:
                continue
            except OSError:
                # The reading end is closed, so the error cannot be logged either.
                self._unwritten = b""

    async def _wait_writable(self) -> None:
        """Wait until the descriptor is writable; regular files always are and cannot be polled."""
        if self._pollable:
            try:
                await trio.lowlevel.wait_writable(self._descriptor)
            except OSError:
                self._pollable = False
        await trio.lowlevel.checkpoint()


@asynccontextmanager
async def open_line_writer(buffer: LineBuffer, descriptor: int) -> AsyncIterator[None]:
    """Write the lines of a buffer; at exit, flush the remaining lines within a time limit."""
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
                with trio.move_on_after(FLUSH_TIMEOUT.total_seconds(), shield=True):
                    await writer.flush()
    finally:
        os.set_blocking(descriptor, blocking)
