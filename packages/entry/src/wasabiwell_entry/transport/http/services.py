"""Handler of calls to plain services under `/v1/services/`."""

import hashlib
from datetime import timedelta

from wasabiwell_config import Organisation, PlainService

from wasabiwell_entry.protocol.problem import RUN_HEADER, problem
from wasabiwell_entry.protocol.service_call import (
    IDEMPOTENCY_HEADER,
    MAX_IDEMPOTENCY_KEY_CHARS,
    fingerprint,
    is_idempotent,
)
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused, RunState, ServiceResponse
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.transport.http.asgi import HttpExchange
from wasabiwell_entry.transport.http.context import (
    HttpContext,
    authenticate_organisation,
    new_request_id,
)

SERVICES_PREFIX = "/v1/services/"


async def handle_service(context: HttpContext, exchange: HttpExchange) -> None:
    """Handle a call to a plain service."""
    received = context.clock.monotonic()
    name, _, service_path = exchange.path.removeprefix(SERVICES_PREFIX).partition("/")
    body = await exchange.read_body(
        context.limits.max_body_bytes, context.limits.body_timeout_seconds
    )
    if isinstance(body, Refused):
        await exchange.respond_problem(problem(body))
        return
    call = _authorize_call(context, exchange, name, f"/{service_path}", body, received)
    if isinstance(call, Refused):
        await exchange.respond_problem(problem(call))
        return
    match await context.dispatcher.call(call):
        case ServiceResponse() as response:
            headers = [
                (b"content-type", response.content_type.encode("latin-1")),
                (b"x-request-id", call.request_id.encode()),
                (RUN_HEADER, RunState.RAN.value.encode()),
            ]
            if response.replayed:
                headers.append((b"idempotent-replayed", b"true"))
            await exchange.respond(response.status, headers, response.body)
        case failure:
            await exchange.respond_problem(problem(failure), call.request_id)


def _authorize_call(
    context: HttpContext,
    exchange: HttpExchange,
    name: str,
    path: str,
    body: bytes,
    received: timedelta,
) -> ServiceCall | Refused:
    organisation = authenticate_organisation(context, exchange, name)
    if isinstance(organisation, Refused):
        return organisation
    service = context.configuration.view.plain_service(name)
    if service is None:
        message = f"no plain service is named {name}"
        return Refused(Reason.UNKNOWN_SERVICE, message, findings=(Finding("path", message),))
    idempotent = is_idempotent(service, exchange.method, path)
    key = exchange.header(IDEMPOTENCY_HEADER)
    if not idempotent and (finding := _check_idempotency_key(key)) is not None:
        return Refused(Reason.MISSING_IDEMPOTENCY_KEY, finding.message, findings=(finding,))
    return _make_call(organisation, service, exchange, path, body, received, idempotent, key)


def _make_call(
    organisation: Organisation,
    service: PlainService,
    exchange: HttpExchange,
    path: str,
    body: bytes,
    received: timedelta,
    idempotent: bool,
    key: str | None,
) -> ServiceCall:
    if exchange.query_string:
        path = f"{path}?{exchange.query_string}"
    method = exchange.method
    return ServiceCall(
        request_id=new_request_id(),
        organisation=organisation.name,
        service=service.name,
        method=method,
        path=path,
        content_type=exchange.header(b"content-type") or "",
        body=body,
        fingerprint=fingerprint(
            organisation.name,
            service.name,
            method.encode(),
            path.encode(),
            hashlib.sha256(body).digest(),
        ),
        received=received,
        deadline=received + service.timeout,
        idempotent=idempotent,
        idempotency_key=key,
    )


def _check_idempotency_key(key: str | None) -> Finding | None:
    location = "header Idempotency-Key"
    if not key:
        return Finding(location, "is required, because the call is not idempotent")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        return Finding(location, f"must have at most {MAX_IDEMPOTENCY_KEY_CHARS} characters")
    return None
