"""Rendering of a configuration as JSON, and its form as items by path."""

import dataclasses
import functools
import typing
from collections.abc import Iterator
from dataclasses import MISSING, dataclass
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
    """Return the JSON that `wasabiwell apply` takes; `parse` of it gives an equal configuration.

    Raises `msgspec.ValidationError` for a value of a wrong type, which `validate` names first.
    """
    document = {
        attribute: [_normalised(entry, item_type) for entry in getattr(configuration, attribute)]
        for _, attribute, item_type in SECTIONS
    }
    encoded = msgspec.json.encode(document, order="deterministic")
    return msgspec.json.format(encoded, indent=2).decode() + "\n"


def parse(text: str | bytes) -> Configuration | Findings:
    """Return the configuration of a JSON document, or all findings of its form."""
    document = read_document(text)
    return Findings(document.findings) if document.findings else document.configuration


@dataclass(frozen=True, slots=True)
class Document:
    """What could be read of a JSON document.

    `malformed` holds the paths of objects that are missing from `configuration` because of a
    finding.
    """

    configuration: Configuration
    findings: tuple[Finding, ...]
    malformed: frozenset[str] = frozenset()


def read_document(text: str | bytes) -> Document:
    """Return all objects of a JSON document that have the right form, and the findings."""
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        finding = Finding("document", f"not valid JSON: {error}")
        return Document(Configuration(), (finding,))
    if not isinstance(document, dict):
        finding = Finding("document", f"must be a JSON object, not {_kind(document)}")
        return Document(Configuration(), (finding,))
    names = {attribute for _, attribute, _ in SECTIONS}
    findings = [Finding(str(name), "unknown section") for name in document if name not in names]
    sections: dict[str, tuple[Any, ...]] = {}
    malformed: set[str] = set()
    for kind, attribute, item_type in SECTIONS:
        entries = document.get(attribute, [])
        if not isinstance(entries, list):
            findings.append(Finding(attribute, f"must be a list, not {_kind(entries)}"))
            continue
        sections[attribute] = _convert_section(kind, entries, item_type, findings, malformed)
    return Document(Configuration(**sections), tuple(findings), frozenset(malformed))


def items_of(configuration: Configuration) -> Items:
    """Return the items of a configuration as JSON with sorted fields.

    Of two objects with one path the last one counts.
    """
    items: Items = {}
    for kind, attribute, item_type in SECTIONS:
        for entry in getattr(configuration, attribute):
            value = _normalised(entry, item_type)
            items[f"{kind}/{entry.name}"] = msgspec.json.encode(value, order="sorted")
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


def form_findings(configuration: Configuration) -> Iterator[Finding]:
    """Yield a finding for each field of a configuration built in Python that has a wrong type."""
    for kind, attribute, item_type in SECTIONS:
        for index, entry in enumerate(getattr(configuration, attribute)):
            place = f"{kind}/{getattr(entry, 'name', index)}"
            if not isinstance(entry, item_type):
                yield Finding(place, f"must be {item_type.__name__}, not {_kind(entry)}")
                continue
            try:
                value = msgspec.to_builtins(entry)
            except TypeError as error:
                yield Finding(place, str(error))
                continue
            findings: list[Finding] = []
            _convert(place, value, item_type, findings)
            yield from findings


def _normalised(entry: Any, item_type: type) -> Any:
    """Return an object with its declared types, so that equal objects have equal JSON."""
    return msgspec.convert(msgspec.to_builtins(entry), item_type)


def _convert_section(
    kind: str,
    entries: list[Any],
    item_type: type,
    findings: list[Finding],
    malformed: set[str],
) -> tuple[Any, ...]:
    converted: list[Any] = []
    for index, entry in enumerate(entries):
        name = entry.get("name", index) if isinstance(entry, dict) else index
        item = _convert(f"{kind}/{name}", entry, item_type, findings)
        if item is None:
            malformed.add(f"{kind}/{name}")
        else:
            converted.append(item)
    return tuple(converted)


def _convert(place: str, value: Any, item_type: Any, findings: list[Finding]) -> Any:
    try:
        item = msgspec.convert(value, item_type)
    except msgspec.ValidationError:
        item = None
    if item is None or _has_unknown_fields(value, item_type):
        findings.extend(_object_findings(place, value, item_type))
    return item


def _has_unknown_fields(value: Any, value_type: Any) -> bool:
    if isinstance(value, list):
        element_type = typing.get_args(value_type)[0]
        return any(_has_unknown_fields(element, element_type) for element in value)
    if not isinstance(value, dict):
        return False
    hints = _hints(value_type)
    return any(
        name not in hints or _has_unknown_fields(element, hints[name])
        for name, element in value.items()
    )


def _object_findings(place: str, value: Any, item_type: Any) -> Iterator[Finding]:
    """Yield one finding for each unknown, missing or wrong field, nested ones included."""
    if not isinstance(value, dict):
        yield Finding(place, f"must be a JSON object, not {_kind(value)}")
        return
    hints = _hints(item_type)
    for name in value:
        if name not in hints:
            yield Finding(f"{place}.{name}", "unknown field")
    for field in dataclasses.fields(item_type):
        if field.name in value:
            yield from _value_findings(
                f"{place}.{field.name}", value[field.name], hints[field.name]
            )
        elif field.default is MISSING and field.default_factory is MISSING:
            yield Finding(f"{place}.{field.name}", "is missing")


def _value_findings(place: str, value: Any, value_type: Any) -> Iterator[Finding]:
    if dataclasses.is_dataclass(value_type):
        yield from _object_findings(place, value, value_type)
    elif typing.get_origin(value_type) is tuple and isinstance(value, list):
        element_type = typing.get_args(value_type)[0]
        for index, element in enumerate(value):
            yield from _value_findings(f"{place}[{index}]", element, element_type)
    else:
        try:
            msgspec.convert(value, value_type)
        except msgspec.ValidationError as error:
            yield Finding(place, str(error))


@functools.cache
def _hints(item_type: Any) -> dict[str, Any]:
    return typing.get_type_hints(item_type)


def _kind(value: object) -> str:
    names = {dict: "an object", list: "a list", str: "a string", type(None): "null"}
    return names.get(type(value), f"a value of type {type(value).__name__}")
