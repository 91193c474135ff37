"""Checks of a configuration beyond its schema: value ranges, references and duplicates."""

import math
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta

from wasabiwell_config.const import (
    KEY_HASH_PATTERN,
    MAX_DEADLINE,
    MAX_PREFILL_TOKENS_PER_SECOND,
    MAX_PROMPT_TOKENS,
    MAX_WEIGHT,
    METHOD_PATTERN,
    MIN_REQUEST_TOKENS,
    MIN_TOKENS_BY_SIZE_CLASS,
    NAME_PATTERN,
)
from wasabiwell_config.document import read_document, schema_findings
from wasabiwell_config.errors import Finding, Findings
from wasabiwell_config.model import (
    CallRule,
    Configuration,
    ModelService,
    Organisation,
    PlainService,
)


def validate(configuration: Configuration) -> tuple[Finding, ...]:
    """Return all findings of a configuration, in the order of its sections.

    The content is only checked when there are no schema errors.
    """
    schema_errors = tuple(schema_findings(configuration))
    return schema_errors or tuple(_content_findings(configuration, frozenset()))


def load(text: str | bytes) -> Configuration | Findings:
    """Return the valid configuration of a JSON document, or all findings of schema and content.

    The content of objects with schema errors is not checked; references to them are accepted.
    """
    document = read_document(text)
    findings = (*document.findings, *_content_findings(document.configuration, document.malformed))
    return Findings(findings) if findings else document.configuration


def _content_findings(configuration: Configuration, malformed: frozenset[str]) -> Iterator[Finding]:
    services = [service.name for service in configuration.model_services]
    services += [service.name for service in configuration.plain_services]
    yield from _check_names("service", services)
    yield from _check_names("organisation", [item.name for item in configuration.organisations])
    yield from _check_names("operator", [item.name for item in configuration.operators])
    yield from _check_names("evacuated_zone", [item.name for item in configuration.evacuated_zones])
    for model_service in configuration.model_services:
        yield from _check_model_service(model_service)
    for plain_service in configuration.plain_services:
        yield from _check_plain_service(plain_service)
    service_names = set(services) | {
        path.partition("/")[2] for path in malformed if "_service/" in path
    }
    for organisation in configuration.organisations:
        yield from _check_organisation(organisation, service_names)
        yield from _check_token_limit(organisation, configuration.model_services)
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


def _check_minimum_deadline(place: str, size: str, deadline: timedelta) -> Iterator[Finding]:
    tokens = MIN_TOKENS_BY_SIZE_CLASS[size]
    minimum = timedelta(seconds=tokens / MAX_PREFILL_TOKENS_PER_SECOND)
    if timedelta() < deadline < minimum:
        yield Finding(
            place,
            f"is below {minimum.total_seconds():g} s; no engine prefills {tokens} tokens in less",
        )


def _check_model_service(service: ModelService) -> Iterator[Finding]:
    place = f"model_service/{service.name}"
    deadlines = service.deadlines
    for name in ("short", "medium", "long"):
        yield from _check_duration(f"{place}.deadlines.{name}", getattr(deadlines, name))
        yield from _check_minimum_deadline(
            f"{place}.deadlines.{name}", name, getattr(deadlines, name)
        )
    if not deadlines.short <= deadlines.medium <= deadlines.long:
        yield Finding(f"{place}.deadlines", "must satisfy short <= medium <= long")
    if not 0 < service.max_prompt_tokens <= MAX_PROMPT_TOKENS:
        yield Finding(f"{place}.max_prompt_tokens", f"must be from 1 to {MAX_PROMPT_TOKENS}")


def _check_plain_service(service: PlainService) -> Iterator[Finding]:
    place = f"plain_service/{service.name}"
    yield from _check_duration(f"{place}.timeout", service.timeout)
    for index, rule in enumerate(service.non_idempotent):
        rule_place = f"{place}.non_idempotent[{index}]"
        if rule.method != "*" and not re.fullmatch(METHOD_PATTERN, rule.method):
            yield Finding(f"{rule_place}.method", "must be an HTTP method in upper case or *")
        if not rule.path.startswith("/"):
            yield Finding(f"{rule_place}.path", "must start with /")
        yield from _check_shadowed_rule(rule_place, index, service.non_idempotent)


def _check_shadowed_rule(place: str, index: int, rules: tuple[CallRule, ...]) -> Iterator[Finding]:
    rule = rules[index]
    if rule in rules[:index]:
        yield Finding(place, "repeats an earlier rule")
        return
    for other_index, other in enumerate(rules):
        if other != rule and _covers(other, rule):
            message = f"has no effect, because non_idempotent[{other_index}] covers it"
            yield Finding(place, message)
            return


def _covers(general: CallRule, specific: CallRule) -> bool:
    """Return whether `general` matches every call that `specific` matches.

    A path prefix only matches whole path segments.
    """
    path_covered = specific.path == general.path or specific.path.startswith(
        general.path.rstrip("/") + "/"
    )
    return general.method in ("*", specific.method) and path_covered


def _check_organisation(organisation: Organisation, services: set[str]) -> Iterator[Finding]:
    place = f"organisation/{organisation.name}"
    if not 0 < organisation.weight <= MAX_WEIGHT:
        yield Finding(f"{place}.weight", f"must be above 0 and at most {MAX_WEIGHT}")
    if not organisation.key_hashes:
        yield Finding(f"{place}.key_hashes", "must hold at least one hash")
    limits = organisation.limits
    for name in ("requests_per_second", "tokens_per_second", "concurrent_long"):
        value = getattr(limits, name)
        if value is not None and not 0 < value < math.inf:
            yield Finding(f"{place}.limits.{name}", "must be above 0; null means no limit")
    if not services.intersection(organisation.services or services):
        yield Finding(f"{place}.services", "the organisation has access to no service")
    for index, service in enumerate(organisation.services):
        if service not in services:
            yield Finding(f"{place}.services[{index}]", f"no service is named {service}")
        elif service in organisation.services[:index]:
            yield Finding(f"{place}.services[{index}]", f"repeats {service}")


def _check_token_limit(
    organisation: Organisation, services: tuple[ModelService, ...]
) -> Iterator[Finding]:
    rate = organisation.limits.tokens_per_second
    if rate is None or not 0 < rate < math.inf:
        return
    for service in services:
        if organisation.services and service.name not in organisation.services:
            continue
        seconds = service.deadlines.short.total_seconds()
        if 0 < rate * seconds < MIN_REQUEST_TOKENS:
            yield Finding(
                f"organisation/{organisation.name}.limits.tokens_per_second",
                f"{rate:g} tokens/s admit no request of {MIN_REQUEST_TOKENS} tokens within"
                f" the short deadline of {service.name}, {seconds:g} s",
            )


def _check_keys(configuration: Configuration) -> Iterator[Finding]:
    place_by_hash: dict[str, str] = {}
    keys = [
        (f"organisation/{organisation.name}.key_hashes[{index}]", key_hash)
        for organisation in configuration.organisations
        for index, key_hash in enumerate(organisation.key_hashes)
    ]
    keys += [
        (f"operator/{operator.name}.key_hash", operator.key_hash)
        for operator in configuration.operators
    ]
    for place, key_hash in keys:
        if not re.fullmatch(KEY_HASH_PATTERN, key_hash):
            yield Finding(place, "must be a SHA-256 hash in lower-case hexadecimal")
        if key_hash in place_by_hash:
            yield Finding(place, f"is the same key as {place_by_hash[key_hash]}")
        place_by_hash.setdefault(key_hash, place)
