"""Interfaces that placement requires from other capabilities."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.state.work import PlacedRequest, TargetWork


class TargetHealthPort(Protocol):
    """Health of the targets as this entry instance knows it."""

    def listed(self, target: Target) -> bool:
        """Return whether the target is listed, not leaving or evacuated, and asked for no pause."""

    def evacuated(self, target: Target) -> bool:
        """Return whether the target is in an evacuated zone."""

    def usable(self, target: Target) -> bool:
        """Return whether the target should get requests."""

    def share(self, target: Target) -> float:
        """Return the part of its usual requests that the target should get, from 0 to 1."""

    def requested_pause(self, target: Target) -> timedelta:
        """Return the rest of the pause for which a target has asked, zero without one."""

    def failure_rate(self, target: Target) -> float:
        """Return the recent failure rate of the target, from 0 to 1."""


class TargetPacingPort(Protocol):
    """Limits of cold and recovering targets."""

    def admitted(self, works: list[TargetWork]) -> list[TargetWork]:
        """Return the targets that may get a request now."""

    def preferred(self, work: TargetWork) -> bool:
        """Return whether a short request should go to a target, so that there are samples of it."""

    def reject(self, request_id: str, works: list[TargetWork]) -> timedelta:
        """Return when one of these targets may be admitted, none of which is now."""

    def take(self, targets: Iterable[Target]) -> None:
        """Record that this instance sends a request to targets, as its lead and its helpers."""


class FirstEventObserver(Protocol):
    """Receiver of the times that targets take to respond."""

    def observe_first_event(
        self, placed: PlacedRequest, seconds: float, predicted: float | None
    ) -> None:
        """Record how long this instance has waited for the first event, or a plain response."""


class ZoneLocalityPort(Protocol):
    """Services of large fleets whose requests are placed in their own zone first."""

    def in_use(self, service: str) -> bool:
        """Return whether each zone places the requests for a service on its own targets first."""


class NoPacing:
    """Pacing of a deployment without cold targets: all targets are in steady state."""

    __slots__ = ()

    def admitted(self, works: list[TargetWork]) -> list[TargetWork]:
        """Return all targets."""
        return works

    def preferred(self, work: TargetWork) -> bool:
        """Return False."""
        return False

    def reject(self, request_id: str, works: list[TargetWork]) -> timedelta:
        """Return no time; it is never called, as all targets are admitted."""
        return timedelta()

    def take(self, targets: Iterable[Target]) -> None:
        """Do nothing."""

    def observe_first_event(
        self, placed: PlacedRequest, seconds: float, predicted: float | None
    ) -> None:
        """Do nothing."""
