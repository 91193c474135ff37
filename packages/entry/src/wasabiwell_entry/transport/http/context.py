"""Dependencies, limits and authentication of the HTTP handlers."""

import ipaddress
import secrets
from dataclasses import dataclass

from wasabiwell_config import OperatorKey, Organisation, hash_key

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.intake import Intake
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator
from wasabiwell_entry.coordination.operations import OperationsCoordinator
from wasabiwell_entry.coordination.orders import OrderCoordinator
from wasabiwell_entry.coordination.telemetry import RequestRunner, Telemetry
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.state.targets import TargetTable
from wasabiwell_entry.transport.http.asgi import HttpExchange

BEARER_PREFIX = "Bearer "


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the body of an HTTP request."""

    max_body_bytes: int
    body_timeout_seconds: float


@dataclass(frozen=True, slots=True)
class HttpContext:
    """Coordinators and state that the handlers use."""

    dispatcher: RequestRunner
    addresses: AddressCoordinator
    configuration: ConfigurationState
    configuration_coordinator: ConfigurationCoordinator
    lifecycle: LifecycleCoordinator
    orders: OrderCoordinator
    targets: TargetTable
    clock: Clock
    limits: HttpLimits
    operations: OperationsCoordinator
    telemetry: Telemetry
    bootstrap_key_hash: str = ""
    intake: Intake | None = None


def new_request_id() -> str:
    """Return a new random request id."""
    return secrets.token_hex(12)


def authenticate_organisation(
    context: HttpContext, exchange: HttpExchange, service: str
) -> Organisation | Refused:
    """Return the organisation whose API key the caller sent, if it may use the service."""
    key_hash = _key_hash(exchange)
    organisation = key_hash and context.configuration.view.organisation_by_key_hash(key_hash)
    if not organisation:
        return _unauthenticated()
    if organisation.services and service not in organisation.services:
        return Refused(Reason.FORBIDDEN, f"the organisation may not use service {service}")
    return organisation


def authenticate_operator(context: HttpContext, exchange: HttpExchange) -> OperatorKey | Refused:
    """Return the operator whose key the caller sent.

    As long as no operator key is configured, loopback callers and callers with the bootstrap key
    are accepted.
    """
    key_hash = _key_hash(exchange)
    view = context.configuration.view
    if view.has_operators:
        return (key_hash and view.operator_by_key_hash(key_hash)) or _unauthenticated()
    bootstrap = context.bootstrap_key_hash
    bootstrap_key_sent = key_hash and bootstrap and secrets.compare_digest(key_hash, bootstrap)
    if not bootstrap_key_sent and not _is_loopback(exchange.peer_host):
        return _unauthenticated()
    log_events.emit(log_events.BOOTSTRAP_ACCESS, host=exchange.peer_host)
    return OperatorKey(name="bootstrap", key_hash=bootstrap)


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _key_hash(exchange: HttpExchange) -> str | None:
    value = exchange.header(b"authorization")
    if value is None or not value.startswith(BEARER_PREFIX):
        return None
    return hash_key(value.removeprefix(BEARER_PREFIX).strip())


def _unauthenticated() -> Refused:
    return Refused(
        Reason.UNAUTHENTICATED,
        "a valid key is required",
        findings=(Finding("header Authorization", "must be `Bearer KEY` with a known key"),),
    )
