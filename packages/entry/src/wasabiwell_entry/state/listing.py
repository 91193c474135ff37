"""Snapshot of the platform's list of targets."""

from dataclasses import dataclass

import xxhash

from wasabiwell_entry.state.store_revision import NO_REVISION, StoreRevision
from wasabiwell_entry.state.targets import ListedTarget


@dataclass(frozen=True, slots=True)
class TargetListing:
    """Targets by id; `revision` is that of the store when the list was read."""

    revision: StoreRevision
    targets: dict[str, ListedTarget]

    def digest(self) -> int:
        """Return a hash of the listed properties of all targets, without health information."""
        digest = xxhash.xxh3_64()
        for target_id, item in sorted(self.targets.items()):
            target = item.target
            digest.update(
                f"{target_id}\0{target.service}\0{target.address}\0{target.incarnation}\0"
                f"{target.zone}\0{target.slots}\0{item.leaving}\n".encode()
            )
        return digest.intdigest()


NO_LISTING = TargetListing(NO_REVISION, {})
"""Used until the first read of the list."""
