"""Suspects: requests that were running when a target crashed; two crashes mean quarantine."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

MAX_LOST_TARGETS = 2
"""Number of distinct crashed targets after which a request is refused everywhere."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, by its fingerprint, and the targets that crashed while they ran it."""

    fingerprint: str
    targets: tuple[str, ...]
    expires: datetime

    @property
    def quarantined(self) -> bool:
        """Return whether the request is refused everywhere."""
        return len(self.targets) >= MAX_LOST_TARGETS

    def merged(self, other: "Suspect") -> "Suspect":
        """Return a suspect with the targets of both and the later expiry."""
        targets = tuple(sorted({*self.targets, *other.targets}))
        return Suspect(self.fingerprint, targets, max(self.expires, other.expires))


class SuspectTable:
    """Suspects by fingerprint; one entry instance owns one table."""

    __slots__ = ("_suspects",)

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(list(self._suspects.values()))

    def get(self, fingerprint: str) -> Suspect | None:
        """Return a suspect, or None when the request is not suspected."""
        return self._suspects.get(fingerprint)

    def merge(self, suspect: Suspect) -> Suspect:
        """Add a suspect, or add its targets to an existing entry; return the merged suspect."""
        existing = self._suspects.get(suspect.fingerprint)
        merged = suspect if existing is None else existing.merged(suspect)
        self._suspects[suspect.fingerprint] = merged
        return merged

    def remove(self, fingerprint: str) -> None:
        """Remove a suspect; unknown fingerprints are ignored."""
        self._suspects.pop(fingerprint, None)

    def remove_expired(self, now: datetime) -> None:
        """Remove the suspects that have expired."""
        for suspect in self:
            if suspect.expires <= now:
                self.remove(suspect.fingerprint)
