"""Handlers of the operators' interface below `/admin/v1`."""

from dataclasses import asdict

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
from wasabiwell_entry.protocol.admin import (
    ApplyBody,
    ApplyReply,
    ConfigurationReply,
    decode_changes,
)
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.transport.http.asgi import JSON_TYPE, Exchange
from wasabiwell_entry.transport.http.context import HttpContext, authenticate_operator

ADMIN_PREFIX = "/admin/v1/"
STATUS_BY_OUTCOME = {
    "accepted": 200,
    "accepted_not_shared": 200,
    "conflict": 409,
    "invalid": 422,
    "unavailable": 503,
    "uncertain": 504,
}


async def handle_admin(context: HttpContext, exchange: Exchange) -> None:
    """Answer an operator."""
    if context.configuration.version:
        operator = authenticate_operator(context, exchange)
        if isinstance(operator, Refused):
            await exchange.respond_problem(problem(operator))
            return
    match exchange.method, exchange.path.removeprefix(ADMIN_PREFIX):
        case "GET", "configuration":
            await _get_configuration(context, exchange)
        case "POST", "configuration":
            await _apply(context, exchange)
        case "GET", "status":
            body = msgspec.json.encode(context.status())
            await exchange.respond(200, [JSON_TYPE], body)
        case "POST" | "DELETE", "drain" if exchange.query("target") is not None:
            await _drain_target(context, exchange)
        case "POST", "drain":
            context.lifecycle.leave("an operator asked for it")
            await exchange.respond(202, [JSON_TYPE], b"{}")
        case _:
            await exchange.respond_problem(
                problem(Refused(Reason.UNKNOWN_ROUTE, "no such operation"))
            )


async def _drain_target(context: HttpContext, exchange: Exchange) -> None:
    target = exchange.query("target") or ""
    if context.targets.drain(target, leaving=exchange.method == "POST"):
        await exchange.respond(202, [JSON_TYPE], b"{}")
        return
    finding = Finding("query target", f"no target {target!r} is known")
    refused = Refused(Reason.INVALID_REQUEST, "unknown target", findings=(finding,))
    await exchange.respond_problem(problem(refused))


async def _get_configuration(context: HttpContext, exchange: Exchange) -> None:
    state = context.configuration
    items = {path: msgspec.Raw(value) for path, value in state.items.items()}
    body = msgspec.json.encode(ConfigurationReply(state.version, items))
    await exchange.respond(200, [JSON_TYPE], body)


async def _apply(context: HttpContext, exchange: Exchange) -> None:
    body = await exchange.read_body(
        context.limits.max_body_bytes, context.limits.body_timeout_seconds
    )
    if isinstance(body, Refused):
        await exchange.respond_problem(problem(body))
        return
    try:
        parsed = msgspec.json.decode(body, type=ApplyBody)
    except msgspec.DecodeError as error:
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
            reason = "the version is committed, but no other entry instance has taken it yet"
            return ApplyReply("accepted_not_shared", version, reason=reason)
        case Conflict(version=version, paths=paths):
            return ApplyReply("conflict", version, paths)
        case Invalid(findings=findings):
            return ApplyReply("invalid", findings=findings)
        case ApplyUnavailable(reason=reason):
            return ApplyReply("unavailable", reason=reason)
        case ApplyUncertain(reason=reason):
            return ApplyReply("uncertain", reason=reason)
