"""Configuration in force at an entry instance."""

from collections import deque
from dataclasses import dataclass

from wasabiwell_config import (
    Configuration,
    Findings,
    Items,
    ModelService,
    OperatorKey,
    Organisation,
    PlainService,
    configuration_from_items,
)

RETAINED_DELTAS = 1000
"""Recent deltas kept for peers; at 58,000 changes a day they cover 25 minutes."""


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The items changed by one version; a removed item maps to None."""

    version: int
    changes: dict[str, bytes | None]


class ConfigurationView:
    """Look-ups of one configuration version."""

    __slots__ = (
        "_model_services",
        "_operators",
        "_organisations",
        "_organisations_by_name",
        "_plain_services",
    )

    def __init__(self, configuration: Configuration) -> None:
        self._model_services = {entry.name: entry for entry in configuration.model_services}
        self._plain_services = {entry.name: entry for entry in configuration.plain_services}
        self._organisations = {
            key_hash: entry
            for entry in configuration.organisations
            for key_hash in entry.key_hashes
        }
        self._organisations_by_name = {entry.name: entry for entry in configuration.organisations}
        self._operators = {entry.key_hash: entry for entry in configuration.operators}

    def model_service(self, name: str) -> ModelService | None:
        """Return the model service of that name."""
        return self._model_services.get(name)

    def plain_service(self, name: str) -> PlainService | None:
        """Return the plain service of that name."""
        return self._plain_services.get(name)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of that name."""
        return self._organisations_by_name.get(name)

    def organisation_by_key_hash(self, key_hash: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations.get(key_hash)

    def operator_by_key_hash(self, key_hash: str) -> OperatorKey | None:
        """Return the operator that holds a key."""
        return self._operators.get(key_hash)


class ConfigurationState:
    """Version and items in force; versions only grow."""

    __slots__ = ("_deltas", "_items", "_version", "_view")

    def __init__(self) -> None:
        self._version = 0
        self._items: Items = {}
        self._deltas: deque[ConfigurationDelta] = deque(maxlen=RETAINED_DELTAS)
        self._view = ConfigurationView(Configuration())

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._version

    @property
    def items(self) -> Items:
        """Return the items in force; callers must not change them."""
        return self._items

    @property
    def view(self) -> ConfigurationView:
        """Return the look-ups of the version in force."""
        return self._view

    def deltas_since(self, version: int) -> list[ConfigurationDelta] | None:
        """Return the deltas after a version, or None when they are not all retained."""
        wanted = [delta for delta in self._deltas if delta.version > version]
        if len(wanted) != self._version - version:
            return None
        return wanted

    def advance(self, delta: ConfigurationDelta) -> Findings | None:
        """Put the next version in force; return findings when it cannot be read.

        A delta that does not follow the version in force is ignored.
        """
        if delta.version != self._version + 1:
            return None
        findings = self._install(delta.version, apply_changes(self._items, delta.changes))
        if findings is None:
            self._deltas.append(delta)
        return findings

    def replace(self, version: int, items: Items) -> Findings | None:
        """Put a snapshot in force when its version is higher; return findings if unreadable."""
        if version <= self._version:
            return None
        findings = self._install(version, dict(items))
        if findings is None:
            self._deltas.clear()
        return findings

    def _install(self, version: int, items: Items) -> Findings | None:
        match configuration_from_items(items):
            case Findings() as findings:
                return findings
            case configuration:
                self._version = version
                self._items = items
                self._view = ConfigurationView(configuration)
                return None


def apply_changes(items: Items, changes: dict[str, bytes | None]) -> Items:
    """Return the items with the changes made."""
    merged = dict(items)
    for path, value in changes.items():
        if value is None:
            merged.pop(path, None)
        else:
            merged[path] = value
    return merged
