"""Rendering of a configuration as JSON, and its form as items by path."""

import dataclasses
import re
from typing import Any

import msgspec

from wasabiwell_config.errors import Finding, Findings
from wasabiwell_config.model import (
    Configuration,
    ModelService,
    OperatorKey,
    Organisation,
    PlainService,
)

Items = dict[str, bytes]
"""JSON of one object by its path `KIND/NAME`."""

SECTIONS: tuple[tuple[str, str, type], ...] = (
    ("model_service", "model_services", ModelService),
    ("plain_service", "plain_services", PlainService),
    ("organisation", "organisations", Organisation),
    ("operator", "operators", OperatorKey),
)
"""Kind in a path, attribute of `Configuration`, class."""


def render(configuration: Configuration) -> str:
    """Return the JSON that `wasabiwell apply` takes."""
    encoded = msgspec.json.encode(configuration, order="deterministic")
    return msgspec.json.format(encoded, indent=2).decode() + "\n"


def parse(text: str | bytes) -> Configuration | Findings:
    """Return the configuration of a JSON document, or all findings of its form."""
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return Findings((Finding("document", f"not valid JSON: {error}"),))
    if not isinstance(document, dict):
        return Findings((Finding("document", "must be a JSON object"),))
    findings = [
        Finding(str(name), "unknown section")
        for name in document
        if name not in {attribute for _, attribute, _ in SECTIONS}
    ]
    sections: dict[str, tuple[Any, ...]] = {}
    for kind, attribute, item_type in SECTIONS:
        entries = document.get(attribute, [])
        if not isinstance(entries, list):
            findings.append(Finding(attribute, "must be a list"))
            continue
        sections[attribute] = _convert_section(kind, entries, item_type, findings)
    if findings:
        return Findings(tuple(findings))
    return Configuration(**sections)


def items_of(configuration: Configuration) -> Items:
    """Return the items of a configuration; of two objects with one path the last one counts."""
    items: Items = {}
    for kind, attribute, _ in SECTIONS:
        for entry in getattr(configuration, attribute):
            items[f"{kind}/{entry.name}"] = msgspec.json.encode(entry, order="deterministic")
    return items


def configuration_from_items(items: Items) -> Configuration | Findings:
    """Return the configuration that consists of these items."""
    sections: dict[str, list[Any]] = {attribute: [] for _, attribute, _ in SECTIONS}
    kinds = {kind: (attribute, item_type) for kind, attribute, item_type in SECTIONS}
    findings: list[Finding] = []
    for path in sorted(items):
        kind = path.partition("/")[0]
        if kind not in kinds:
            findings.append(Finding(path, "unknown kind"))
            continue
        attribute, item_type = kinds[kind]
        entry = _convert(path, msgspec.json.decode(items[path]), item_type, findings)
        if entry is not None:
            sections[attribute].append(entry)
    if findings:
        return Findings(tuple(findings))
    return Configuration(**{name: tuple(entries) for name, entries in sections.items()})


def changed_items(old: Items, new: Items) -> dict[str, bytes | None]:
    """Return the items that differ; a removed item maps to None."""
    changes: dict[str, bytes | None] = {path: None for path in old if path not in new}
    changes.update({path: value for path, value in new.items() if old.get(path) != value})
    return changes


def _convert_section(
    kind: str, entries: list[Any], item_type: type, findings: list[Finding]
) -> tuple[Any, ...]:
    converted: list[Any] = []
    for index, entry in enumerate(entries):
        name = entry.get("name", index) if isinstance(entry, dict) else index
        item = _convert(f"{kind}/{name}", entry, item_type, findings)
        if item is not None:
            converted.append(item)
    return tuple(converted)


def _convert(place: str, value: Any, item_type: Any, findings: list[Finding]) -> Any:
    if isinstance(value, dict):
        known = {field.name for field in dataclasses.fields(item_type)}
        unknown = sorted(name for name in value if name not in known)
        findings.extend(Finding(f"{place}.{name}", "unknown field") for name in unknown)
    try:
        return msgspec.convert(value, item_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        suffix = re.sub(r"`$", "", path)
        findings.append(Finding(f"{place}{suffix}", message))
        return None
