"""Target selection policies, as data, so that they can be compared in measurements."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.routing.errors import UnknownPolicy

DEFAULT_POLICY = "current"
POLICY_NAMES = ("round-robin", "least-outstanding", "first-landed", "load-reports", "current")


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Selects each target in turn."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Selects the target with the fewest outstanding requests of this entry instance.

    `remote_zone_penalty` is added to the requests of targets in other zones. The policy
    `first-landed` is this one with a penalty of 0.5.
    """

    remote_zone_penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadAware:
    """Selects engines by estimated load, with a fair queue and capacity reserved before sending.

    With `shares_credits`, capacity is leased from the entry instances that own the engines; without
    it, each entry instance estimates capacity from load reports alone.
    """

    shares_credits: bool = True


Policy = RoundRobin | LeastOutstanding | LoadAware


def policy_by_name(name: str) -> Policy | UnknownPolicy:
    """Return the policy with this name."""
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
