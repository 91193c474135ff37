"""Requests that ran on targets which died: suspects, and quarantine after the second target."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

MAX_LOST_TARGETS = 2
"""A request may lose this many distinct targets before it is refused everywhere."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, by its fingerprint, and the targets that died while they ran it."""

    fingerprint: str
    targets: tuple[str, ...]
    expires: datetime

    @property
    def quarantined(self) -> bool:
        """Return whether the request is refused everywhere."""
        return len(self.targets) >= MAX_LOST_TARGETS

    def merged(self, other: "Suspect") -> "Suspect":
        """Return the suspect with the targets of both."""
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
        """Add the targets of a suspect and return the result."""
        known = self._suspects.get(suspect.fingerprint)
        merged = suspect if known is None else known.merged(suspect)
        self._suspects[suspect.fingerprint] = merged
        return merged

    def remove(self, fingerprint: str) -> None:
        """Remove a suspect when it is known."""
        self._suspects.pop(fingerprint, None)

    def remove_expired(self, now: datetime) -> None:
        """Remove the suspects whose time is over."""
        for suspect in self:
            if suspect.expires <= now:
                self.remove(suspect.fingerprint)
