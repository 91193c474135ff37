"""Knows which targets are cold, and until when; times are monotonic seconds."""

from collections.abc import Collection
from dataclasses import dataclass, field

from wasabiwell_entry.state.targets import Target, TargetProcess


@dataclass(frozen=True, slots=True)
class _ColdTime:
    process: TargetProcess
    begin: float
    end: float


@dataclass(slots=True)
class ColdTargets:
    """Cold times by target id, as listed and after losses.

    The list says how long a target is cold when its entry is read. A process that is new since the
    last list is cold for the whole cold time of its service, as its entry may come from an instance
    of an older build, which does not pass on the cold time. For the same reason an entry without a
    cold time does not end one.
    """

    _listed: dict[str, _ColdTime] = field(default_factory=dict)
    _lost: dict[str, _ColdTime] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._listed) + len(self._lost)

    def ids(self) -> set[str]:
        """Return the ids of the targets with a cold time."""
        return self._listed.keys() | self._lost.keys()

    def set_listed(self, target: Target, seconds: float, now: float) -> None:
        """Record how long a target is cold according to the list; 0 does not end a cold time."""
        if seconds > 0:
            self._listed[target.target_id] = _ColdTime(target.process, now, now + seconds)

    def mark_lost(self, target: Target, seconds: float, now: float) -> None:
        """Record that a target may be cold for a time, as it was lost."""
        self._lost[target.target_id] = _ColdTime(target.process, now, now + seconds)

    def cancel_losses(self, since: float) -> None:
        """Forget the losses since a time."""
        for target_id, cold in list(self._lost.items()):
            if cold.begin >= since:
                del self._lost[target_id]

    def seconds_left(self, target: Target, now: float) -> float:
        """Return how long a target is still cold, 0 if it is not."""
        times = (self._listed.get(target.target_id), self._lost.get(target.target_id))
        return max(
            (cold.end - now for cold in times if cold and cold.process == target.process),
            default=0.0,
        )

    def expire(self, now: float) -> list[str]:
        """Remove the cold times that have ended, and return the targets that are not cold."""
        ended = set()
        for times in (self._listed, self._lost):
            for target_id in [key for key, cold in times.items() if cold.end <= now]:
                del times[target_id]
                ended.add(target_id)
        return [key for key in ended if key not in self._listed and key not in self._lost]

    def retain(self, target_ids: Collection[str]) -> None:
        """Remove all targets except for these."""
        for times in (self._listed, self._lost):
            for target_id in [key for key in times if key not in target_ids]:
                del times[target_id]
