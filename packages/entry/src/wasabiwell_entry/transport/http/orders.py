"""Handler of `POST /admin/v1/orders`."""

from datetime import timedelta

import msgspec
from wasabiwell_config import Fencing

from wasabiwell_entry.coordination.orders.errors import (
    LeaseExpired,
    LeaseHeld,
    LeaseUnavailable,
    OrderAcknowledged,
    OrderOutcome,
    OrderRefused,
    OrderUnacknowledged,
    RateLimitReached,
)
from wasabiwell_entry.protocol.admin import OrderBody, OrderReply
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.state.targets import TargetKind
from wasabiwell_entry.transport.http.asgi import JSON_TYPE, HttpExchange
from wasabiwell_entry.transport.http.context import HttpContext


async def handle_order(context: HttpContext, exchange: HttpExchange) -> None:
    """Send an operator's order to an engine."""
    body = await exchange.read_body(
        context.limits.max_body_bytes, context.limits.body_timeout_seconds
    )
    if isinstance(body, Refused):
        await exchange.respond_problem(problem(body))
        return
    try:
        parsed = msgspec.json.decode(body, type=OrderBody)
        order = parsed.order()
    except (msgspec.DecodeError, RecursionError) as error:
        await _respond_invalid(exchange, Finding("body", str(error)))
        return
    target_status = context.targets.get(parsed.engine)
    if target_status is None or target_status.target.kind is not TargetKind.ENGINE:
        await _respond_invalid(
            exchange, Finding("$.engine", f"engine {parsed.engine!r} is unknown")
        )
        return
    service = context.configuration.view.model_service(target_status.target.service)
    fencing = service.fencing if service is not None else Fencing.IGNORED
    status_code, reply = _reply(await context.orders.issue(target_status.target, order, fencing))
    await exchange.respond(status_code, [JSON_TYPE], msgspec.json.encode(reply))


async def _respond_invalid(exchange: HttpExchange, finding: Finding) -> None:
    refused = Refused(Reason.INVALID_REQUEST, "the order is not valid", findings=(finding,))
    await exchange.respond_problem(problem(refused))


def _reply(outcome: OrderOutcome) -> tuple[int, OrderReply]:
    match outcome:
        case OrderAcknowledged():
            return 200, OrderReply("done")
        case OrderRefused(reason=reason):
            return 409, OrderReply("refused", reason)
        case LeaseHeld(holder=holder, retry_after=retry_after):
            return 409, _retry_later(
                "lease_held", f"{holder} holds the engine's lease", retry_after
            )
        case LeaseExpired():
            return 503, OrderReply("lease_lapsed", "the lease expired before the order was sent")
        case LeaseUnavailable(reason=reason):
            return 503, OrderReply("lease_unavailable", reason)
        case RateLimitReached(retry_after=retry_after):
            return 429, _retry_later(
                "rate_used_up", "the rate limit of the weight store is reached", retry_after
            )
        case OrderUnacknowledged(reason=reason):
            return 504, OrderReply("unknown", reason)


def _retry_later(outcome: str, reason: str, retry_after: timedelta) -> OrderReply:
    return OrderReply(outcome, reason, retry_after.total_seconds())
