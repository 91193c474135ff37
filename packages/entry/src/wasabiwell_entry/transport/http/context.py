"""What the handlers of HTTP requests share."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from wasabiwell_config import OperatorKey, Organisation, hash_key

from wasabiwell_entry.coordination.addresses import AddressCoordinator
from wasabiwell_entry.coordination.configuration import ConfigurationCoordinator
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.lifecycle import LifecycleCoordinator
from wasabiwell_entry.coordination.targets import TargetCoordinator
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.configuration import ConfigurationState
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.transport.http.asgi import Exchange

BEARER_PREFIX = "Bearer "


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one HTTP request."""

    max_body_bytes: int
    body_timeout_seconds: float


@dataclass(frozen=True, slots=True)
class HttpContext:
    """Coordinators and state that handlers use."""

    dispatcher: Dispatcher
    addresses: AddressCoordinator
    configuration: ConfigurationState
    configuration_coordinator: ConfigurationCoordinator
    lifecycle: LifecycleCoordinator
    targets: TargetCoordinator
    clock: Clock
    limits: HttpLimits
    status: Callable[[], dict[str, object]]


def new_request_id() -> str:
    """Return an id that no other request has."""
    return secrets.token_hex(12)


def authenticate_organisation(
    context: HttpContext, exchange: Exchange, service: str
) -> Organisation | Refused:
    """Return the organisation whose key the caller sent."""
    key_hash = _key_hash(exchange)
    organisation = key_hash and context.configuration.view.organisation_by_key_hash(key_hash)
    if not organisation:
        return _unauthenticated()
    if organisation.services and service not in organisation.services:
        return Refused(Reason.FORBIDDEN, f"service {service} is not open to the organisation")
    return organisation


def authenticate_operator(context: HttpContext, exchange: Exchange) -> OperatorKey | Refused:
    """Return the operator whose key the caller sent."""
    key_hash = _key_hash(exchange)
    operator = key_hash and context.configuration.view.operator_by_key_hash(key_hash)
    return operator or _unauthenticated()


def _key_hash(exchange: Exchange) -> str | None:
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
