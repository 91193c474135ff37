"""Policies of choosing engines, as data, so that they can be measured side by side."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.routing.errors import UnknownPolicy

DEFAULT_POLICY = "current"
POLICY_NAMES = ("round-robin", "least-outstanding", "first-landed", "load-reports", "current")


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each target in turn."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """The target with the fewest outstanding requests of this entry instance.

    A target in another zone counts `remote_zone_penalty` requests more. The first landed version
    was this policy with a penalty of 0.5.
    """

    remote_zone_penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadAware:
    """Fair queue, capacity held before sending, and engine choice by corrected load.

    With `shares_credits` capacity is leased from the engines' owners; without it each entry
    instance judges capacity alone from load reports.
    """

    shares_credits: bool = True


Policy = RoundRobin | LeastOutstanding | LoadAware


def policy_by_name(name: str) -> Policy | UnknownPolicy:
    """Return the policy with a name."""
    match name:
        case "round-robin":
            return RoundRobin()
        case "least-outstanding":
            return LeastOutstanding()
        case "first-landed":
            return LeastOutstanding(remote_zone_penalty=0.5)
        case "load-reports":
            return LoadAware(shares_credits=False)
        case "current":
            return LoadAware()
        case _:
            return UnknownPolicy(name)
