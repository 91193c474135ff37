"""Data model of the configuration."""

import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_config.const import MAX_PROMPT_TOKENS


class Fencing(enum.Enum):
    """How the engines of a service treat an order with an outdated fencing token."""

    REFUSED = "refused"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Maximum time until a request completes or fails, for each size class of prompts."""

    short: timedelta = timedelta(seconds=30)
    medium: timedelta = timedelta(minutes=2)
    long: timedelta = timedelta(minutes=15)


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelService:
    """A service whose targets are engines that run a language model; prompt sizes are in tokens."""

    name: str
    deadlines: Deadlines = Deadlines()
    max_prompt_tokens: int = MAX_PROMPT_TOKENS
    fencing: Fencing = Fencing.IGNORED


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """Matches calls of a plain service by HTTP method (`*` for any) and path prefix."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """An HTTP service; calls that match a rule in `non_idempotent` are executed at most once."""

    name: str
    timeout: timedelta = timedelta(seconds=20)
    non_idempotent: tuple[CallRule, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of an organisation, summed over all entry instances; None means unlimited.

    `concurrent_long` limits the concurrent requests of the size class `long`.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrent_long: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer; `weight` is its share of a saturated fleet relative to other organisations.

    `key_hashes` are SHA-256 hashes of the bearer keys; see `hash_key`. All of these keys are valid,
    so a key is rotated by adding the new hash and removing the old one when no caller uses it any
    more. An empty `services` allows all services.
    """

    name: str
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    limits: Limits = Limits()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorKey:
    """A key that grants access to the admin API."""

    name: str
    key_hash: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuatedZone:
    """An availability zone whose targets get no new requests."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The complete configuration of a deployment."""

    model_services: tuple[ModelService, ...] = ()
    plain_services: tuple[PlainService, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    operators: tuple[OperatorKey, ...] = field(default=())
    evacuated_zones: tuple[EvacuatedZone, ...] = ()


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key, in the hexadecimal form that configurations contain."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_organisations(
    key_hashes: Mapping[str, str | tuple[str, ...]],
    *,
    weight: float = 1.0,
    limits: Limits = Limits(),
    services: tuple[str, ...] = (),
) -> tuple[Organisation, ...]:
    """Return one organisation for each name in `key_hashes`, all with the same settings.

    Each value is one hash from `hash_key` or a tuple of them.
    """
    return tuple(
        Organisation(
            name=name,
            key_hashes=(hashes,) if isinstance(hashes, str) else tuple(hashes),
            weight=weight,
            limits=limits,
            services=services,
        )
        for name, hashes in key_hashes.items()
    )
