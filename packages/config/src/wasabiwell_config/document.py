"""Conversion of a configuration to and from a JSON document, and to and from items by path."""

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
    EvacuatedZone,
    ModelService,
    OperatorKey,
    Organisation,
    PlainService,
)

Items = dict[str, bytes]
"""JSON of each object by its path `KIND/NAME`."""

SECTIONS: tuple[tuple[str, str, type], ...] = (
    ("model_service", "model_services", ModelService),
    ("plain_service", "plain_services", PlainService),
    ("organisation", "organisations", Organisation),
    ("operator", "operators", OperatorKey),
    ("evacuated_zone", "evacuated_zones", EvacuatedZone),
)
"""For each section: kind in item paths, attribute of `Configuration`, class of its objects."""
OPTIONAL_SECTIONS = frozenset({"evacuated_zones"})
"""Sections that a document lacks if they are empty, so that earlier releases can read it."""


def render(configuration: Configuration) -> str:
    """Return the JSON document for `wasabiwell apply`; `parse` is the inverse.

    Raises `msgspec.ValidationError` for a value of a wrong type; `validate` reports such values
    as findings.
    """
    document = {
        attribute: [_normalised(item, item_type) for item in getattr(configuration, attribute)]
        for _, attribute, item_type in SECTIONS
        if attribute not in OPTIONAL_SECTIONS or getattr(configuration, attribute)
    }
    encoded = msgspec.json.encode(document, order="deterministic")
    return msgspec.json.format(encoded, indent=2).decode() + "\n"


def parse(text: str | bytes) -> Configuration | Findings:
    """Return the configuration of a JSON document, or all schema errors."""
    document = read_document(text)
    return Findings(document.findings) if document.findings else document.configuration


@dataclass(frozen=True, slots=True)
class Document:
    """Result of parsing a JSON document, possibly incomplete.

    `malformed` contains the paths of objects that `configuration` lacks because of schema errors.
    """

    configuration: Configuration
    findings: tuple[Finding, ...]
    malformed: frozenset[str] = frozenset()


def read_document(text: str | bytes) -> Document:
    """Return all objects of a JSON document that match the schema, and the schema errors."""
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        finding = Finding("document", f"not valid JSON: {error}")
        return Document(Configuration(), (finding,))
    if not isinstance(document, dict):
        finding = Finding("document", f"must be a JSON object, not {_json_type(document)}")
        return Document(Configuration(), (finding,))
    names = {attribute for _, attribute, _ in SECTIONS}
    findings = [Finding(str(name), "unknown section") for name in document if name not in names]
    sections: dict[str, tuple[Any, ...]] = {}
    malformed: set[str] = set()
    for kind, attribute, item_type in SECTIONS:
        values = document.get(attribute, [])
        if not isinstance(values, list):
            findings.append(Finding(attribute, f"must be a list, not {_json_type(values)}"))
            continue
        sections[attribute] = _convert_section(kind, values, item_type, findings, malformed)
    return Document(Configuration(**sections), tuple(findings), frozenset(malformed))


def items_of(configuration: Configuration) -> Items:
    """Return the items of a configuration as JSON with sorted fields.

    If several objects have the same path, the last one is used.
    """
    items: Items = {}
    for kind, attribute, item_type in SECTIONS:
        for item in getattr(configuration, attribute):
            value = _normalised(item, item_type)
            items[f"{kind}/{item.name}"] = msgspec.json.encode(value, order="sorted")
    return items


def configuration_from_items(items: Items) -> Configuration | Findings:
    """Return the configuration that these items make up, or all schema errors."""
    sections: dict[str, list[Any]] = {attribute: [] for _, attribute, _ in SECTIONS}
    kinds = {kind: (attribute, item_type) for kind, attribute, item_type in SECTIONS}
    findings: list[Finding] = []
    for path in sorted(items):
        kind = path.partition("/")[0]
        if kind not in kinds:
            findings.append(Finding(path, "unknown kind"))
            continue
        attribute, item_type = kinds[kind]
        item = _convert(path, msgspec.json.decode(items[path]), item_type, findings)
        if item is not None:
            sections[attribute].append(item)
    if findings:
        return Findings(tuple(findings))
    return Configuration(**{name: tuple(values) for name, values in sections.items()})


def changed_items(old: Items, new: Items) -> dict[str, bytes | None]:
    """Return the items of `new` that differ from `old`; a removed item maps to None."""
    changes: dict[str, bytes | None] = {path: None for path in old if path not in new}
    changes.update({path: value for path, value in new.items() if old.get(path) != value})
    return changes


def schema_findings(configuration: Configuration) -> Iterator[Finding]:
    """Yield a finding for each wrongly typed field of a configuration built in Python."""
    for kind, attribute, item_type in SECTIONS:
        for index, item in enumerate(getattr(configuration, attribute)):
            place = f"{kind}/{getattr(item, 'name', index)}"
            if not isinstance(item, item_type):
                yield Finding(place, f"must be {item_type.__name__}, not {_json_type(item)}")
                continue
            try:
                value = msgspec.to_builtins(item)
            except TypeError as error:
                yield Finding(place, str(error))
                continue
            findings: list[Finding] = []
            _convert(place, value, item_type, findings)
            yield from findings


def _normalised(item: Any, item_type: type) -> Any:
    """Convert field values to their declared types, so that equal objects have equal JSON."""
    return msgspec.convert(msgspec.to_builtins(item), item_type)


def _convert_section(
    kind: str,
    values: list[Any],
    item_type: type,
    findings: list[Finding],
    malformed: set[str],
) -> tuple[Any, ...]:
    converted: list[Any] = []
    for index, value in enumerate(values):
        name = value.get("name", index) if isinstance(value, dict) else index
        item = _convert(f"{kind}/{name}", value, item_type, findings)
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
    hints = _field_types(value_type)
    return any(
        name not in hints or _has_unknown_fields(element, hints[name])
        for name, element in value.items()
    )


def _object_findings(place: str, value: Any, item_type: Any) -> Iterator[Finding]:
    """Yield a finding for each unknown, missing or invalid field, nested ones included."""
    if not isinstance(value, dict):
        yield Finding(place, f"must be a JSON object, not {_json_type(value)}")
        return
    hints = _field_types(item_type)
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
def _field_types(item_type: Any) -> dict[str, Any]:
    return typing.get_type_hints(item_type)


def _json_type(value: object) -> str:
    names = {dict: "an object", list: "a list", str: "a string", type(None): "null"}
    return names.get(type(value), f"a value of type {type(value).__name__}")
