"""Library with which operators build and validate wasabiwell configurations."""

from wasabiwell_config.document import (
    Items,
    changed_items,
    configuration_from_items,
    items_of,
    parse,
    render,
)
from wasabiwell_config.errors import Finding, Findings
from wasabiwell_config.model import (
    CallRule,
    Configuration,
    Deadlines,
    EvacuatedZone,
    Fencing,
    Limits,
    ModelService,
    OperatorKey,
    Organisation,
    PlainService,
    hash_key,
    make_organisations,
)
from wasabiwell_config.validation import load, validate

__all__ = [
    "CallRule",
    "Configuration",
    "Deadlines",
    "EvacuatedZone",
    "Fencing",
    "Finding",
    "Findings",
    "Items",
    "Limits",
    "ModelService",
    "OperatorKey",
    "Organisation",
    "PlainService",
    "changed_items",
    "configuration_from_items",
    "hash_key",
    "items_of",
    "load",
    "make_organisations",
    "parse",
    "render",
    "validate",
]
