"""Active configuration of an entry instance."""

from collections import deque
from dataclasses import dataclass

import msgspec
from wasabiwell_config import (
    Configuration,
    Finding,
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
"""Recent deltas kept for peers that missed them; at 58,000 changes a day they cover 25 minutes."""


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The items changed by one version; a removed item maps to None.

    `attempt_id` identifies the commit attempt: when the reply is lost, it shows later whether the
    commit succeeded.
    """

    version: int
    changes: dict[str, bytes | None]
    attempt_id: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Update for a peer: the deltas after its version, or all items when some are not retained."""

    version: int
    deltas: list[ConfigurationDelta]
    items: Items | None = None


class ConfigurationView:
    """Look-up tables of the active configuration.

    The time of an update depends on the number of changed items, not on the size of the
    configuration, so that frequent changes do not delay streams in the same process.
    """

    __slots__ = (
        "_evacuated_zones",
        "_model_services",
        "_operators",
        "_organisations",
        "_organisations_by_key_hash",
        "_plain_services",
    )

    def __init__(self) -> None:
        self._model_services: dict[str, ModelService] = {}
        self._plain_services: dict[str, PlainService] = {}
        self._organisations: dict[str, Organisation] = {}
        self._organisations_by_key_hash: dict[str, Organisation] = {}
        self._operators: dict[str, OperatorKey] = {}
        self._evacuated_zones: frozenset[str] = frozenset()

    @property
    def has_operators(self) -> bool:
        """Return whether any operator key is configured."""
        return bool(self._operators)

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose targets get no new requests."""
        return self._evacuated_zones

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
        """Return the organisation to which a key belongs."""
        return self._organisations_by_key_hash.get(key_hash)

    def operator_by_key_hash(self, key_hash: str) -> OperatorKey | None:
        """Return the operator to which a key belongs."""
        for operator in self._operators.values():
            if operator.key_hash == key_hash:
                return operator
        return None

    def remove(self, path: str) -> None:
        """Remove the object at a path."""
        kind, _, name = path.partition("/")
        match kind:
            case "model_service":
                self._model_services.pop(name, None)
            case "plain_service":
                self._plain_services.pop(name, None)
            case "operator":
                self._operators.pop(name, None)
            case "evacuated_zone":
                self._evacuated_zones -= {name}
            case "organisation":
                self._remove_organisation(name)

    def put(self, changed: Configuration) -> None:
        """Add or replace the objects of a configuration that holds only the changed ones."""
        self._model_services.update({service.name: service for service in changed.model_services})
        self._plain_services.update({service.name: service for service in changed.plain_services})
        self._operators.update({operator.name: operator for operator in changed.operators})
        self._evacuated_zones |= {zone.name for zone in changed.evacuated_zones}
        for organisation in changed.organisations:
            self._remove_organisation(organisation.name)
        for organisation in changed.organisations:
            self._organisations[organisation.name] = organisation
            self._organisations_by_key_hash.update(
                dict.fromkeys(organisation.key_hashes, organisation)
            )

    def _remove_organisation(self, name: str) -> None:
        organisation = self._organisations.pop(name, None)
        if organisation is None:
            return
        for key_hash in organisation.key_hashes:
            owner = self._organisations_by_key_hash.get(key_hash)
            if owner is not None and owner.name == name:
                del self._organisations_by_key_hash[key_hash]


class ConfigurationState:
    """Active version and items; the version never decreases."""

    __slots__ = ("_deltas", "_items", "_version", "_view")

    def __init__(self) -> None:
        self._version = 0
        self._items: Items = {}
        self._deltas: deque[ConfigurationDelta] = deque(maxlen=RETAINED_DELTAS)
        self._view = ConfigurationView()

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        return self._version

    @property
    def items(self) -> Items:
        """Return the active items; callers must not change them."""
        return self._items

    @property
    def view(self) -> ConfigurationView:
        """Return the lookup tables of the active version."""
        return self._view

    def recent_deltas(self, limit: int) -> list[ConfigurationDelta]:
        """Return up to `limit` retained deltas, newest first."""
        return list(self._deltas)[: -limit - 1 : -1]

    def deltas_since(self, version: int) -> list[ConfigurationDelta] | None:
        """Return the deltas after a version, or None when they are not all retained."""
        deltas = [delta for delta in self._deltas if delta.version > version]
        if version < self._version and len(deltas) != self._version - version:
            return None
        return deltas

    def update_since(self, version: int) -> ConfigurationUpdate:
        """Return the update for an instance that has this version."""
        deltas = self.deltas_since(version)
        if deltas is None:
            return ConfigurationUpdate(self._version, [], dict(self._items))
        return ConfigurationUpdate(self._version, deltas)

    def advance(self, delta: ConfigurationDelta) -> Findings | None:
        """Activate the next version; return findings for items that cannot be read.

        A delta that does not directly follow the active version is ignored. An item that cannot be
        read keeps its previous value in the lookup tables; the other items of the delta are
        activated.
        """
        if delta.version != self._version + 1:
            return None
        self._deltas.append(delta)
        return self._install(delta.version, delta.changes)

    def replace(self, version: int, items: Items) -> Findings | None:
        """Activate a snapshot when its version is higher; return findings like `advance`."""
        if version <= self._version:
            return None
        self._deltas.clear()
        return self._install(version, changed_items(self._items, items))

    def _install(self, version: int, changes: dict[str, bytes | None]) -> Findings | None:
        present = {path: value for path, value in changes.items() if value is not None}
        self._version = version
        for path in changes.keys() - present.keys():
            self._items.pop(path, None)
            self._view.remove(path)
        self._items.update(present)
        match _read(present):
            case Findings() as findings:
                self._put_readable(present)
                return findings
            case changed:
                self._view.put(changed)
                return None

    def _put_readable(self, items: Items) -> None:
        for path, value in items.items():
            match _read({path: value}):
                case Configuration() as changed:
                    self._view.put(changed)
                case Findings():
                    pass


def _read(items: Items) -> Configuration | Findings:
    try:
        return configuration_from_items(items)
    except (msgspec.DecodeError, RecursionError) as error:
        return Findings((Finding("items", f"not valid JSON: {error}"),))


def apply_changes(items: Items, changes: dict[str, bytes | None]) -> Items:
    """Return a copy of the items with the changes applied."""
    merged = dict(items)
    for path, value in changes.items():
        if value is None:
            merged.pop(path, None)
        else:
            merged[path] = value
    return merged
