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
    changed_items,
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
    """Look-ups of the configuration in force.

    A change costs time by the number of changed items, not by the size of the configuration, so
    that frequent changes do not delay the streams of the same process.
    """

    __slots__ = ("_model_services", "_operators", "_organisations", "_plain_services", "_tenants")

    def __init__(self) -> None:
        self._model_services: dict[str, ModelService] = {}
        self._plain_services: dict[str, PlainService] = {}
        self._organisations: dict[str, Organisation] = {}
        self._tenants: dict[str, Organisation] = {}
        self._operators: dict[str, OperatorKey] = {}

    def model_service(self, name: str) -> ModelService | None:
        """Return the model service of that name."""
        return self._model_services.get(name)

    def plain_service(self, name: str) -> PlainService | None:
        """Return the plain service of that name."""
        return self._plain_services.get(name)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of that name."""
        return self._organisations.get(name)

    def organisation_by_key_hash(self, key_hash: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._tenants.get(key_hash)

    def operator_by_key_hash(self, key_hash: str) -> OperatorKey | None:
        """Return the operator that holds a key."""
        for operator in self._operators.values():
            if operator.key_hash == key_hash:
                return operator
        return None

    def remove(self, path: str) -> None:
        """Remove the object of a path."""
        kind, _, name = path.partition("/")
        match kind:
            case "model_service":
                self._model_services.pop(name, None)
            case "plain_service":
                self._plain_services.pop(name, None)
            case "operator":
                self._operators.pop(name, None)
            case "organisation":
                self._remove_organisation(name)

    def put(self, changed: Configuration) -> None:
        """Add or replace the objects of a configuration that holds only the changed ones."""
        self._model_services.update({entry.name: entry for entry in changed.model_services})
        self._plain_services.update({entry.name: entry for entry in changed.plain_services})
        self._operators.update({entry.name: entry for entry in changed.operators})
        for organisation in changed.organisations:
            self._remove_organisation(organisation.name)
        for organisation in changed.organisations:
            self._organisations[organisation.name] = organisation
            self._tenants.update(dict.fromkeys(organisation.key_hashes, organisation))

    def _remove_organisation(self, name: str) -> None:
        organisation = self._organisations.pop(name, None)
        if organisation is None:
            return
        for key_hash in organisation.key_hashes:
            holder = self._tenants.get(key_hash)
            if holder is not None and holder.name == name:
                del self._tenants[key_hash]


class ConfigurationState:
    """Version and items in force; versions only grow."""

    __slots__ = ("_deltas", "_items", "_version", "_view")

    def __init__(self) -> None:
        self._version = 0
        self._items: Items = {}
        self._deltas: deque[ConfigurationDelta] = deque(maxlen=RETAINED_DELTAS)
        self._view = ConfigurationView()

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
        findings = self._install(delta.version, delta.changes)
        if findings is None:
            self._deltas.append(delta)
        return findings

    def replace(self, version: int, items: Items) -> Findings | None:
        """Put a snapshot in force when its version is higher; return findings if unreadable."""
        if version <= self._version:
            return None
        findings = self._install(version, changed_items(self._items, items))
        if findings is None:
            self._deltas.clear()
        return findings

    def _install(self, version: int, changes: dict[str, bytes | None]) -> Findings | None:
        present = {path: value for path, value in changes.items() if value is not None}
        match configuration_from_items(present):
            case Findings() as findings:
                return findings
            case changed:
                self._version = version
                for path in changes.keys() - present.keys():
                    self._items.pop(path, None)
                    self._view.remove(path)
                self._items.update(present)
                self._view.put(changed)
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
