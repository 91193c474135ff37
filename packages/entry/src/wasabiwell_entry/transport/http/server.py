"""ASGI application and its server, for callers and operators."""

import ssl
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager

import msgspec
from hypercorn.config import Config

from wasabiwell_entry.coordination.lifecycle.errors import NotReady, Ready
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.outcomes import Failed, Reason, Refused, RunState
from wasabiwell_entry.transport.http.admin import ADMIN_PREFIX, handle_admin
from wasabiwell_entry.transport.http.asgi import (
    JSON_TYPE,
    HttpExchange,
    Receive,
    Scope,
    Send,
    serve_lifespan,
)
from wasabiwell_entry.transport.http.chat import handle_chat
from wasabiwell_entry.transport.http.context import HttpContext, new_request_id
from wasabiwell_entry.transport.http.listener import serve_http
from wasabiwell_entry.transport.http.services import SERVICES_PREFIX, handle_service

KEEP_ALIVE_TIMEOUT_SECONDS = 60
SHUTDOWN_GRACE_SECONDS = 30
"""Time to finish requests that arrive during shutdown."""

Application = Callable[[Scope, Receive, Send], Awaitable[None]]


def application(context: HttpContext) -> Application:
    """Return the ASGI application of an entry instance."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        exchange = HttpExchange(scope, receive, send, lambda: context.lifecycle.leaving)
        with exchange.accounted(), context.lifecycle.request(), _request_span(context, exchange):
            await _handle(context, exchange)

    return app


class _HypercornConfig(Config):
    """Hypercorn configuration with a given TLS context, so that its certificate can be reloaded."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        super().__init__()
        self._tls = tls

    @property
    def ssl_enabled(self) -> bool:
        """Return whether the listener uses TLS."""
        return self._tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the given TLS context."""
        return self._tls


async def serve_callers(
    context: HttpContext,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    tls: ssl.SSLContext | None = None,
) -> None:
    """Serve callers and operators until `shutdown` returns."""
    config = _HypercornConfig(tls)
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_SECONDS
    config.graceful_timeout = SHUTDOWN_GRACE_SECONDS
    config.include_server_header = False
    await serve_http(application(context), config, shutdown, intake=context.intake)


def _request_span(context: HttpContext, exchange: HttpExchange) -> AbstractContextManager[None]:
    """Return the span of a request; its name has no path, because callers choose the path."""
    return context.telemetry.request_span(
        f"{exchange.method} request",
        exchange.header(b"traceparent"),
        exchange.header(b"tracestate"),
    )


async def _handle(context: HttpContext, exchange: HttpExchange) -> None:
    try:
        await _route(context, exchange)
    except Exception as error:
        request_id = new_request_id()
        log_events.emit(log_events.REQUEST_FAILED_INTERNALLY, request=request_id, error=repr(error))
        if exchange.started:
            raise
        failed = Failed(Reason.INTERNAL, f"internal error, id {request_id}", RunState.UNKNOWN)
        await exchange.respond_problem(problem(failed))


async def _route(context: HttpContext, exchange: HttpExchange) -> None:
    match exchange.method, exchange.path:
        case "GET", "/healthz":
            await exchange.respond(200, [JSON_TYPE], b'{"status":"ok"}')
        case "GET", "/readyz":
            await _respond_readiness(context, exchange)
        case "GET", "/v1/addresses":
            await _respond_addresses(context, exchange)
        case "POST", "/v1/chat/completions":
            await handle_chat(context, exchange)
        case _, path if path.startswith(SERVICES_PREFIX):
            await handle_service(context, exchange)
        case _, path if path.startswith(ADMIN_PREFIX):
            await handle_admin(context, exchange)
        case method, path:
            refused = Refused(Reason.UNKNOWN_ROUTE, f"no route for {method} {path}")
            await exchange.respond_problem(problem(refused))


async def _respond_readiness(context: HttpContext, exchange: HttpExchange) -> None:
    match context.lifecycle.readiness():
        case Ready():
            await exchange.respond(200, [JSON_TYPE], b'{"status":"ready"}')
        case NotReady(reason=reason):
            await exchange.respond_problem(problem(Refused(Reason.NOT_READY, reason)))


async def _respond_addresses(context: HttpContext, exchange: HttpExchange) -> None:
    result = context.addresses.addresses(exchange.query("zone"), exchange.peer_host)
    body = msgspec.json.encode({"addresses": result.addresses, "ttl_s": result.ttl.total_seconds()})
    await exchange.respond(200, [JSON_TYPE], body)
