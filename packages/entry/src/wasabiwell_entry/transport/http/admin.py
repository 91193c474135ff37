"""Handlers of the admin API under `/admin/v1`."""

from dataclasses import asdict
from urllib.parse import unquote

import msgspec

from wasabiwell_entry.coordination.configuration.errors import (
    Accepted,
    AcceptedNotShared,
    ApplyOutcome,
    ApplyUnavailable,
    ApplyUncertain,
    Conflict,
    Invalid,
)
from wasabiwell_entry.coordination.operations.const import HISTORY_LIMIT, MAX_HISTORY_LIMIT
from wasabiwell_entry.coordination.operations.errors import Done, NotFound, Unavailable
from wasabiwell_entry.coordination.telemetry.errors import NoRecord
from wasabiwell_entry.protocol.admin import (
    ApplyBody,
    ApplyReply,
    ConfigurationReply,
    DrainReply,
    HistoryEntry,
    HistoryReply,
    QuarantineReply,
    TraceReply,
    decode_changes,
)
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.transport.http.asgi import JSON_TYPE, HttpExchange
from wasabiwell_entry.transport.http.context import HttpContext, authenticate_operator
from wasabiwell_entry.transport.http.orders import handle_order

ADMIN_PREFIX = "/admin/v1/"
STATUS_BY_OUTCOME = {
    "accepted": 200,
    "accepted_not_shared": 200,
    "conflict": 409,
    "invalid": 422,
    "unavailable": 503,
    "uncertain": 504,
}


async def handle_admin(context: HttpContext, exchange: HttpExchange) -> None:
    """Authenticate an operator and handle an admin request."""
    if not context.configuration.view.has_operators:
        # An instance that has just started may not have loaded the operator keys yet.
        await context.configuration_coordinator.refresh()
    operator = authenticate_operator(context, exchange)
    if isinstance(operator, Refused):
        await exchange.respond_problem(problem(operator))
        return
    segments = [unquote(part) for part in exchange.path.removeprefix(ADMIN_PREFIX).split("/")]
    match exchange.method, segments:
        case "GET", ["configuration"]:
            await _get_configuration(context, exchange)
        case "POST", ["configuration"]:
            await _apply_configuration(context, exchange)
        case "GET", ["configuration", "history"]:
            await _get_history(context, exchange)
        case "GET", ["status"]:
            await _respond_json(exchange, 200, context.operations.report())
        case "POST", ["drain"]:
            node_id = context.operations.report().node_id
            context.lifecycle.leave(f"requested by operator {operator.name}")
            await _respond_json(exchange, 202, DrainReply(node_id, node_id))
        case "POST", ["targets", target_id, "drain"]:
            await _drain_target(context, exchange, target_id)
        case "POST", ["orders"]:
            await handle_order(context, exchange)
        case "GET", ["quarantine"]:
            await _list_quarantined(context, exchange)
        case "DELETE", ["quarantine", fingerprint]:
            await _release_from_quarantine(context, exchange, fingerprint)
        case "GET", ["trace", request_id]:
            await _get_trace(context, exchange, request_id)
        case method, _:
            await _respond_refused(exchange, f"no operation {method} {exchange.path}")


async def _respond_json(exchange: HttpExchange, status: int, value: object) -> None:
    await exchange.respond(status, [JSON_TYPE], msgspec.json.encode(value))


async def _respond_refused(
    exchange: HttpExchange, message: str, reason: Reason = Reason.UNKNOWN_ROUTE
) -> None:
    await exchange.respond_problem(problem(Refused(reason, message)))


async def _get_history(context: HttpContext, exchange: HttpExchange) -> None:
    text = exchange.query("limit") or str(HISTORY_LIMIT)
    if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY_LIMIT:
        finding = Finding("query limit", f"must be from 1 to {MAX_HISTORY_LIMIT}")
        refused = Refused(Reason.INVALID_REQUEST, finding.message, findings=(finding,))
        await exchange.respond_problem(problem(refused))
        return
    versions = tuple(HistoryEntry(*entry) for entry in context.operations.history(int(text)))
    await _respond_json(exchange, 200, HistoryReply(context.configuration.version, versions))


async def _drain_target(context: HttpContext, exchange: HttpExchange, target_id: str) -> None:
    match context.operations.drain_target(target_id):
        case Done():
            node_id = context.operations.report().node_id
            await _respond_json(exchange, 202, DrainReply(node_id, target_id))
        case NotFound(message=message):
            await _respond_refused(exchange, message, Reason.NOT_FOUND)


async def _list_quarantined(context: HttpContext, exchange: HttpExchange) -> None:
    match context.operations.suspects():
        case Unavailable(reason=reason):
            await _respond_refused(exchange, reason)
        case suspects:
            await _respond_json(exchange, 200, QuarantineReply(suspects))


async def _release_from_quarantine(
    context: HttpContext, exchange: HttpExchange, fingerprint: str
) -> None:
    match await context.operations.release(fingerprint):
        case Done():
            await _respond_json(exchange, 200, {"released": fingerprint})
        case NotFound(message=message):
            await _respond_refused(exchange, message, Reason.NOT_FOUND)
        case Unavailable(reason=reason):
            await _respond_refused(exchange, reason, Reason.STORE_UNAVAILABLE)


async def _get_trace(context: HttpContext, exchange: HttpExchange, request_id: str) -> None:
    match context.operations.record(request_id):
        case NoRecord():
            message = f"this entry instance has no record of request {request_id}"
            await _respond_refused(exchange, message, Reason.NOT_FOUND)
        case record:
            node_id = context.operations.report().node_id
            await _respond_json(exchange, 200, TraceReply(node_id, record))


async def _get_configuration(context: HttpContext, exchange: HttpExchange) -> None:
    state = context.configuration
    items = {path: msgspec.Raw(value) for path, value in state.items.items()}
    body = msgspec.json.encode(ConfigurationReply(state.version, items))
    await exchange.respond(200, [JSON_TYPE], body)


async def _apply_configuration(context: HttpContext, exchange: HttpExchange) -> None:
    body = await exchange.read_body(
        context.limits.max_body_bytes, context.limits.body_timeout_seconds
    )
    if isinstance(body, Refused):
        await exchange.respond_problem(problem(body))
        return
    try:
        parsed = msgspec.json.decode(body, type=ApplyBody)
    except (msgspec.DecodeError, RecursionError) as error:
        finding = Finding("body", str(error))
        refused = Refused(Reason.INVALID_REQUEST, "the body is not valid", findings=(finding,))
        await exchange.respond_problem(problem(refused))
        return
    outcome = await context.configuration_coordinator.apply(
        parsed.base_version, decode_changes(parsed)
    )
    reply = _apply_reply(outcome)
    await exchange.respond(
        STATUS_BY_OUTCOME[reply.outcome], [JSON_TYPE], msgspec.json.encode(asdict(reply))
    )


def _apply_reply(outcome: ApplyOutcome) -> ApplyReply:
    match outcome:
        case Accepted(version=version, peers=peers):
            return ApplyReply("accepted", version, peers=peers)
        case AcceptedNotShared(version=version):
            reason = "the version is committed, but no other entry instance has received it yet"
            return ApplyReply("accepted_not_shared", version, reason=reason)
        case Conflict(version=version, paths=paths):
            return ApplyReply("conflict", version, paths)
        case Invalid(findings=findings):
            return ApplyReply("invalid", findings=findings)
        case ApplyUnavailable(reason=reason):
            return ApplyReply("unavailable", reason=reason)
        case ApplyUncertain(reason=reason):
            return ApplyReply("uncertain", reason=reason)
