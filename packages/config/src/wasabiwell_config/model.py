"""Classes of a configuration."""

import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_config.const import MAX_PROMPT_TOKENS


class Fencing(enum.Enum):
    """What the engines of a service do with an order that carries an old fencing number."""

    REFUSED = "refused"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadlines:
    """Time in which a request finishes or fails, by the size class of its prompt."""

    short: timedelta = timedelta(seconds=30)
    medium: timedelta = timedelta(minutes=2)
    long: timedelta = timedelta(minutes=15)


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelService:
    """A service whose targets are model engines; prompts are measured in tokens."""

    name: str
    deadlines: Deadlines = Deadlines()
    max_prompt_tokens: int = MAX_PROMPT_TOKENS
    fencing: Fencing = Fencing.IGNORED


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """Calls of a plain service: `method` is an HTTP method or `*`, `path` a prefix of the path."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """A plain HTTP service; calls that match a rule of `non_idempotent` run at most once."""

    name: str
    timeout: timedelta = timedelta(seconds=20)
    non_idempotent: tuple[CallRule, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of an organisation over all entry instances; None means no limit.

    `concurrent_long` counts prompts of the size class long.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrent_long: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer; `weight` is its share of a fully used fleet relative to the others.

    `key_hashes` are SHA-256 hashes of the bearer keys; see `hash_key`. All of these keys are valid,
    so a key is rolled by adding the new hash and removing the old one when no caller uses it any
    more. An empty `services` allows all services.
    """

    name: str
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    limits: Limits = Limits()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorKey:
    """A key that opens the operators' interface."""

    name: str
    key_hash: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The whole configuration of a deployment."""

    model_services: tuple[ModelService, ...] = ()
    plain_services: tuple[PlainService, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    operators: tuple[OperatorKey, ...] = field(default=())


def hash_key(key: str) -> str:
    """Return the hash under which a key stands in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_organisations(
    key_hashes: Mapping[str, str | tuple[str, ...]],
    *,
    weight: float = 1.0,
    limits: Limits = Limits(),
    services: tuple[str, ...] = (),
) -> tuple[Organisation, ...]:
    """Return one organisation for each name of `key_hashes`, all with the same rules.

    A value is one hash or a tuple of hashes, as `hash_key` returns them.
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
