"""Connection pools, one for each target."""

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_SECONDS = 20.0
NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class TargetPools:
    """Connection pools by address."""

    __slots__ = ("_pools", "tls")

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self.tls = tls
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of a target."""
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                ssl_context=self.tls,
                max_connections=512,
                keepalive_expiry=KEEPALIVE_SECONDS,
            )
            self._pools[address] = pool
        return pool

    def url(self, address: str, path: str) -> str:
        """Return the URL of a target's path; https when there is a TLS context."""
        return f"{'http' if self.tls is None else 'https'}://{address}{path}"

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()


@asynccontextmanager
async def open_target_pools(tls: ssl.SSLContext | None = None) -> AsyncIterator[TargetPools]:
    """Own connection pools until the context ends."""
    pools = TargetPools(tls)
    try:
        yield pools
    finally:
        await pools.close()


def timeouts(read_seconds: float) -> dict[str, dict[str, float]]:
    """Return the request extensions that set timeouts."""
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": read_seconds,
            "write": read_seconds,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
    }
