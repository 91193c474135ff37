"""Checks of a configuration beyond its form."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta

from wasabiwell_config.const import (
    KEY_HASH_PATTERN,
    MAX_DEADLINE,
    MAX_PROMPT_TOKENS,
    MAX_WEIGHT,
    NAME_PATTERN,
)
from wasabiwell_config.errors import Finding
from wasabiwell_config.model import Configuration, ModelService, Organisation, PlainService


def validate(configuration: Configuration) -> tuple[Finding, ...]:
    """Return all findings of a configuration, in the order of its sections."""
    return tuple(_findings(configuration))


def _findings(configuration: Configuration) -> Iterator[Finding]:
    services = [entry.name for entry in configuration.model_services]
    services += [entry.name for entry in configuration.plain_services]
    yield from _check_names("service", services)
    yield from _check_names("organisation", [entry.name for entry in configuration.organisations])
    yield from _check_names("operator", [entry.name for entry in configuration.operators])
    for model_service in configuration.model_services:
        yield from _check_model_service(model_service)
    for plain_service in configuration.plain_services:
        yield from _check_plain_service(plain_service)
    for organisation in configuration.organisations:
        yield from _check_organisation(organisation, set(services))
    yield from _check_keys(configuration)


def _check_names(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if not re.fullmatch(NAME_PATTERN, name):
            yield Finding(f"{kind}/{name}.name", f"must match {NAME_PATTERN}")
        if count > 1:
            yield Finding(f"{kind}/{name}.name", f"is used {count} times")


def _check_duration(place: str, value: timedelta) -> Iterator[Finding]:
    if not timedelta() < value <= MAX_DEADLINE:
        yield Finding(place, f"must be above 0 and at most {MAX_DEADLINE}")


def _check_model_service(service: ModelService) -> Iterator[Finding]:
    place = f"model_service/{service.name}"
    deadlines = service.deadlines
    for name in ("short", "medium", "long"):
        yield from _check_duration(f"{place}.deadlines.{name}", getattr(deadlines, name))
    if not deadlines.short <= deadlines.medium <= deadlines.long:
        yield Finding(f"{place}.deadlines", "must not shrink as prompts grow")
    if not 0 < service.max_prompt_tokens <= MAX_PROMPT_TOKENS:
        yield Finding(f"{place}.max_prompt_tokens", f"must be from 1 to {MAX_PROMPT_TOKENS}")


def _check_plain_service(service: PlainService) -> Iterator[Finding]:
    place = f"plain_service/{service.name}"
    yield from _check_duration(f"{place}.timeout", service.timeout)
    seen: set[tuple[str, str]] = set()
    for index, rule in enumerate(service.non_idempotent):
        rule_place = f"{place}.non_idempotent[{index}]"
        if rule.method != "*" and not rule.method.isupper():
            yield Finding(f"{rule_place}.method", "must be an HTTP method in upper case or *")
        if not rule.path.startswith("/"):
            yield Finding(f"{rule_place}.path", "must start with /")
        if (rule.method, rule.path) in seen:
            yield Finding(rule_place, "repeats an earlier rule")
        seen.add((rule.method, rule.path))


def _check_organisation(organisation: Organisation, services: set[str]) -> Iterator[Finding]:
    place = f"organisation/{organisation.name}"
    if not 0 < organisation.weight <= MAX_WEIGHT:
        yield Finding(f"{place}.weight", f"must be above 0 and at most {MAX_WEIGHT}")
    if not organisation.key_hashes:
        yield Finding(f"{place}.key_hashes", "must hold at least one hash")
    limits = organisation.limits
    for name in ("requests_per_second", "tokens_per_second", "concurrent_long"):
        value = getattr(limits, name)
        if value is not None and value <= 0:
            yield Finding(f"{place}.limits.{name}", "must be above 0")
    for index, service in enumerate(organisation.services):
        if service not in services:
            yield Finding(f"{place}.services[{index}]", f"no service is named {service}")


def _check_keys(configuration: Configuration) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    keys = [
        (f"organisation/{entry.name}.key_hashes[{index}]", key_hash)
        for entry in configuration.organisations
        for index, key_hash in enumerate(entry.key_hashes)
    ]
    keys += [
        (f"operator/{entry.name}.key_hash", entry.key_hash) for entry in configuration.operators
    ]
    for place, key_hash in keys:
        if not re.fullmatch(KEY_HASH_PATTERN, key_hash):
            yield Finding(place, "must be a SHA-256 hash in lower-case hexadecimal")
        if key_hash in holders:
            yield Finding(place, f"is the same key as {holders[key_hash]}")
        holders.setdefault(key_hash, place)
