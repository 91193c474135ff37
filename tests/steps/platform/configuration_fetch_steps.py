"""Steps for configurations of many routes, and for fetching them from a peer."""

import json
import zlib
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context
from support.platform import CONFIGURATION, configuration_document
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.routes import Route, RouteTable
from wasabiwell_platform.configuration import PlatformRoutes
from wasabiwell_platform.const import MAX_CONFIGURATION_BYTES
from wasabiwell_platform.control import ConfigurationResponses, fetch_configuration

DEFLATE = "deflate"
CHANGED, REMOVED, ADDED = 3, 5, 1_400


def many_routes(numbers: list[int], changed: int | None = None) -> bytes:
    """Return a configuration with routes of these numbers, one of which has another time-out."""
    template = CONFIGURATION["routes"][1]
    routes: list[dict[str, Any]] = [
        {**template, "name": f"many-{number}", "prefix": f"/many{number}/"} for number in numbers
    ]
    for route in routes:
        if route["name"] == f"many-{changed}":
            route["timeout_ms"] = 777
    return json.dumps({**CONFIGURATION, "routes": routes}).encode()


def decoded(routes: PlatformRoutes, document: bytes) -> RouteTable:
    table = routes.decode(document)
    assert isinstance(table, RouteTable), table
    return table


def routes_of(table: RouteTable) -> dict[str, Route]:
    return {route.name: route for routes in table.by_host.values() for route in routes.values()}


def encoded(form: str) -> tuple[bytes, bytes]:
    """Return the content encoding and the body that a peer sends."""
    document = many_routes(list(range(200)))
    compressed = zlib.compress(document)
    match form:
        case "as this build encodes it":
            headers, body = ConfigurationResponses().encode(document, DEFLATE)
            return dict(headers)[b"content-encoding"], body
        case "to an instance of an older build":
            headers, body = ConfigurationResponses().encode(document, None)
            assert not headers, headers
            return b"", body
        case "without compression":
            return b"", document
        case "compressed, with a byte changed":
            middle = len(compressed) // 2
            spoiled = bytes([compressed[middle] ^ 0xFF])
            return b"deflate", compressed[:middle] + spoiled + compressed[middle + 1 :]
        case "compressed, without its end":
            return b"deflate", compressed[:-8]
        case "compressed, and larger than 16 MiB":
            return b"deflate", zlib.compress(bytes(MAX_CONFIGURATION_BYTES + 1))
        case "in an unknown encoding":
            return b"br", document
        case _:
            raise AssertionError(form)


@given("a peer that sends the configuration {form}")
def step_peer(context: Context, form: str) -> None:
    context.encoding, context.body = encoded(form)


async def fetch(encoding: bytes, body: bytes) -> bytes | StoreUnavailable:
    """Fetch the configuration from a server on loopback that sends a body."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    if encoding:
        head += b"Content-Encoding: %s\r\n" % encoding

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(head + b"\r\n" + body)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        host, port = listener.socket.getsockname()
        outcome = await fetch_configuration(f"{host}:{port}")
        nursery.cancel_scope.cancel()
    return outcome


@then("fetching the routes from it gives the configuration, in fewer bytes")
def step_fewer_bytes(context: Context) -> None:
    step_whole(context)
    assert len(context.body) * 5 < len(many_routes(list(range(200)))), len(context.body)


@then("fetching the routes from it gives the configuration")
def step_whole(context: Context) -> None:
    outcome = trio.run(fetch, context.encoding, context.body)
    assert outcome == many_routes(list(range(200))), outcome


@then('fetching the routes from it gives the reason "{reason}"')
def step_reason(context: Context, reason: str) -> None:
    outcome = trio.run(fetch, context.encoding, context.body)
    assert isinstance(outcome, StoreUnavailable), outcome
    assert reason in outcome.reason, outcome.reason


@given("a configuration that {count:d} peers fetch")
def step_fetched(context: Context, count: int) -> None:
    context.responses = ConfigurationResponses()
    document = configuration_document()
    context.bodies = [context.responses.encode(document, DEFLATE)[1] for _ in range(count)]


@then("all of them get the same compressed bytes")
def step_same_bytes(context: Context) -> None:
    first = context.bodies[0]
    assert zlib.decompress(first) == configuration_document()
    assert all(body is first for body in context.bodies)


@then("they get other ones after a change")
def step_other_bytes(context: Context) -> None:
    document = many_routes([1])
    assert zlib.decompress(context.responses.encode(document, DEFLATE)[1]) == document


@given("a configuration of {count:d} routes that has been decoded")
def step_decoded(context: Context, count: int) -> None:
    context.numbers = list(range(count))
    context.platform_routes = PlatformRoutes(None)
    context.before = decoded(context.platform_routes, many_routes(context.numbers))


@when("a version with one of them changed, one removed and one added is decoded")
def step_next_version(context: Context) -> None:
    numbers = [*(number for number in context.numbers if number != REMOVED), ADDED]
    context.second = many_routes(numbers, CHANGED)
    context.after = decoded(context.platform_routes, context.second)


@then("the table has {count:d} routes, and all but {new:d} of them are those of the version before")
def step_kept_routes(context: Context, count: int, new: int) -> None:
    before, after = routes_of(context.before), routes_of(context.after)
    assert len(after) == count, len(after)
    made = {name for name, route in after.items() if route is not before.get(name)}
    assert made == {f"many-{CHANGED}", f"many-{ADDED}"}, made
    assert len(made) == new


@then("it equals the table of an instance that decodes only the second version")
def step_equal_table(context: Context) -> None:
    assert context.after == decoded(PlatformRoutes(None), context.second)


@then("a version that cannot be decoded after it changes nothing for the next one")
def step_undecodable_between(context: Context) -> None:
    spoiled = context.second.replace(b'"unsafe"', b"7", 1)
    assert not isinstance(context.platform_routes.decode(spoiled), RouteTable)
    assert decoded(context.platform_routes, context.second) is context.after
