"""Stand-in for a booking service that counts the executions of each call.

`POST /bookings` and `/reservations` execute a booking. `GET /ledger` returns the execution count of
each idempotency key; `also=HOST:PORT,...` adds the counts of other targets. `GET /availability` is
an idempotent lookup. `POST /control` sets faults: `delay_s` is the duration of a booking, and
`drop_replies` the number of further bookings that are executed but whose connection is closed
before the response body.
"""

from collections import Counter
from dataclasses import dataclass, field

import click
import httpcore
import msgspec
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http


@dataclass(slots=True)
class Faults:
    """Active faults; the field names are the keys of `POST /control`."""

    delay_s: float = 0.02
    drop_replies: int = 0


@dataclass(slots=True)
class BookingService:
    """State and request handlers of one booking target."""

    name: str
    faults: Faults = field(default_factory=Faults)
    run_counts: Counter[str] = field(default_factory=Counter)

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        match exchange.method, exchange.path:
            case "GET", "/ledger":
                await exchange.reply(200, await self._total_run_counts(exchange.query("also")))
            case "GET", "/availability":
                await exchange.reply(200, {"available": True, "by": self.name})
            case "POST", "/control":
                for name, value in msgspec.json.decode(exchange.body).items():
                    setattr(self.faults, name, value)
                await exchange.reply(200, self.faults)
            case "POST", "/bookings" | "/reservations":
                await self._book(exchange)
            case _:
                await exchange.reply(404, {"error": "no such path"})

    async def _total_run_counts(self, other_addresses: str) -> dict[str, int]:
        """Return the execution counts of this and other targets, added by idempotency key."""
        total = Counter(self.run_counts)
        async with httpcore.AsyncConnectionPool() as pool:
            for address in filter(None, other_addresses.split(",")):
                response = await pool.request("GET", f"http://{address}/ledger")
                total.update(msgspec.json.decode(response.content, type=dict[str, int]))
        return dict(total)

    async def _book(self, exchange: HttpExchange) -> None:
        key = exchange.header("idempotency-key") or ""
        self.run_counts[key] += 1
        await trio.sleep(self.faults.delay_s)
        if self.faults.drop_replies > 0:
            self.faults.drop_replies -= 1
            await exchange.start_stream(b"application/json")
            raise ConnectionAbortedError("the reply is dropped by the fault drop_replies")
        body = msgspec.json.decode(exchange.body) if exchange.body else {}
        size = body.get("reply_bytes", 0) if isinstance(body, dict) else 0
        await exchange.reply(201, {"booked": key, "by": self.name, "padding": "x" * size})


@click.command()
@click.option("--address", required=True, help="HOST:PORT to serve on.")
@click.option("--name", required=True, help="Name of this target.")
def main(address: str, name: str) -> None:
    """Run the booking stand-in."""
    host, _, port = address.rpartition(":")
    trio.run(serve_http, BookingService(name).handle, host, int(port))


if __name__ == "__main__":
    main()
