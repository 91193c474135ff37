"""What a seed of the soak does."""

from dataclasses import dataclass

FAULTS = ("all", "planned", "mixed")
PLANNED_INTERVAL = 3
"""With mixed faults, every third seed has planned work only."""


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Kinds of faults of one seed.

    With `planned_only`, there are no unplanned faults, which would excuse lost requests. With
    `pressure`, the instances are short of processor time.
    """

    seed: int
    planned_only: bool
    pressure: bool

    @classmethod
    def of(cls, seed: int, faults: str) -> "SoakPlan":
        """Return the plan of a seed; `faults` is one of `FAULTS`."""
        planned_only = faults == "planned" or (faults == "mixed" and seed % PLANNED_INTERVAL == 0)
        return cls(seed, planned_only, seed % 2 == 0)

    def __str__(self) -> str:
        """Return a short description."""
        faults = "planned work only" if self.planned_only else "all faults"
        return f"{faults}, short of processor time" if self.pressure else faults
