"""HTTP client of `POST /v1/orders` of engines."""

from datetime import timedelta
from typing import Any

import httpcore
import trio

from wasabiwell_entry.coordination.orders.errors import (
    OrderAcknowledged,
    OrderRefused,
    OrderUnacknowledged,
)
from wasabiwell_entry.protocol.orders import encode_order
from wasabiwell_entry.state.orders import EngineOrder
from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.transport.target.bounded import bounded_request
from wasabiwell_entry.transport.target.pools import (
    CONNECTION_ERRORS,
    NOT_SENT_ERRORS,
    TargetPools,
    timeout_extensions,
)

JSON_HEADERS = [(b"content-type", b"application/json")]


class HttpOrderClient:
    """Sends orders to engines; implements `OrderPort`."""

    __slots__ = ("_pools",)

    def __init__(self, pools: TargetPools) -> None:
        self._pools = pools

    async def send(
        self, target: Target, order: EngineOrder, fencing: int, timeout: timedelta
    ) -> OrderAcknowledged | OrderRefused | OrderUnacknowledged:
        """Send an order once; the timeout covers the connection and the whole response."""
        seconds = timeout.total_seconds()
        try:
            with trio.fail_after(seconds):
                response = await self._request(
                    "POST",
                    self._pools.url(target.address, "/v1/orders"),
                    headers=JSON_HEADERS,
                    content=encode_order(order, fencing),
                    extensions=timeout_extensions(seconds),
                )
        except NOT_SENT_ERRORS as error:
            return OrderRefused(repr(error))
        except (*CONNECTION_ERRORS, trio.TooSlowError) as error:
            return OrderUnacknowledged(repr(error))
        return _outcome(response)

    async def _request(self, method: str, url: str, **options: Any) -> httpcore.Response:
        async with self._pools.new_connection() as pool:
            return await bounded_request(pool, method, url, **options)


def _outcome(response: httpcore.Response) -> OrderAcknowledged | OrderRefused | OrderUnacknowledged:
    if response.status == 200:
        return OrderAcknowledged()
    if response.status < 500:
        return OrderRefused(f"status {response.status}")
    return OrderUnacknowledged(f"status {response.status}")
