"""Runs an entry process whose connections to targets can be cut off.

The file named by `WASABIWELL_CUT_FILE` has the kind of the cut, or does not exist. All other
connections of the process work.
"""

import math
import os
import runpy
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import httpcore
import trio

HANG = "hang"
"""Open and new connections to targets carry nothing."""
RESET = "reset"
"""Open connections to targets are reset, and new ones refused."""
REFUSE = "refuse"
"""New connections to targets are refused, and open ones live on."""
TARGET_PORT = 8080
POLL_SECONDS = 0.02
CUT_FILE_VARIABLE = "WASABIWELL_CUT_FILE"


def kind_of_cut() -> str:
    """Return the kind of the current cut, empty without one."""
    try:
        return Path(os.environ[CUT_FILE_VARIABLE]).read_text()
    except FileNotFoundError:
        return ""


class CutStream(httpcore.AsyncNetworkStream):
    """Connection to a target that follows the current cut."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes that the cut lets through."""
        end = time.monotonic() + (math.inf if timeout is None else timeout)
        while True:
            match kind_of_cut():
                case "reset":
                    raise httpcore.ReadError("reset by the cut")
                case "hang":
                    await trio.sleep(POLL_SECONDS)
                case _:
                    try:
                        return await self._inner.read(max_bytes, POLL_SECONDS)
                    except httpcore.ReadTimeout:
                        pass
            if time.monotonic() >= end:
                raise httpcore.ReadTimeout

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes, which are lost in a cut."""
        match kind_of_cut():
            case "reset":
                raise httpcore.WriteError("reset by the cut")
            case "hang":
                return
            case _:
                await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return extra information about the connection."""
        return self._inner.get_extra_info(info)


def install() -> None:
    """Make all new connections to targets follow the cut."""
    connect = httpcore.TrioBackend.connect_tcp

    async def connect_tcp(
        self: httpcore.TrioBackend,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        cut = kind_of_cut() if port == TARGET_PORT else ""
        if cut == HANG:
            await trio.sleep(math.inf if timeout is None else timeout)
            raise httpcore.ConnectTimeout
        if cut:
            raise httpcore.ConnectError("refused by the cut")
        stream = await connect(self, host, port, timeout, local_address, socket_options)
        return CutStream(stream) if port == TARGET_PORT else stream

    httpcore.TrioBackend.connect_tcp = connect_tcp  # type: ignore[method-assign]


if __name__ == "__main__":
    install()
    runpy.run_module("wasabiwell_platform", run_name="__main__")
