"""Connection pools, one for each target."""

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_EXPIRY_SECONDS = 20.0
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class TargetPools:
    """HTTP connection pools by target address."""

    __slots__ = ("_pools", "tls")

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self.tls = tls
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of a target address, which is created on first use."""
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                ssl_context=self.tls,
                max_connections=512,
                keepalive_expiry=KEEPALIVE_EXPIRY_SECONDS,
            )
            self._pools[address] = pool
        return pool

    @asynccontextmanager
    async def new_connection(self) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Return a pool for one call, whose connection is closed afterwards.

        On a kept connection, an answer that the target wrote late or twice would be taken for the
        answer to this call.
        """
        async with httpcore.AsyncConnectionPool(ssl_context=self.tls) as pool:
            yield pool

    def url(self, address: str, path: str) -> str:
        """Return the URL of a path on a target; `https` if there is a TLS context."""
        return f"{'http' if self.tls is None else 'https'}://{address}{path}"

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()


@asynccontextmanager
async def open_target_pools(tls: ssl.SSLContext | None = None) -> AsyncIterator[TargetPools]:
    """Open connection pools and close their connections at exit."""
    pools = TargetPools(tls)
    try:
        yield pools
    finally:
        await pools.close()


def timeout_extensions(read_seconds: float) -> dict[str, dict[str, float]]:
    """Return the httpcore request extensions that set the timeouts."""
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": read_seconds,
            "write": read_seconds,
            "pool": CONNECT_TIMEOUT_SECONDS,
        }
    }
