"""Decides why an attempt got something else than a complete answer of its target.

The rules of the users (LOST) name the reasons for which a connection may end without an answer. An
attempt without such a reason is a finding. This module needs no network.
"""

import enum
from dataclasses import dataclass, field

from wasabiwell_standins.users_platform.attempts import (
    Abandoned,
    Answered,
    Attempt,
    Broken,
    Expired,
    NotConnected,
    NotResolved,
)
from wasabiwell_standins.users_platform.ledger import Run

TOUCH_SECONDS = 3.0
"""A disruption excuses requests that are sent up to this long after its end (`touch_ms`)."""
LOSS_SLACK_SECONDS = 0.2
"""A connection that crosses a request ends within this time after the request (`loss_slack_ms`)."""
CONFIGURATION_SECONDS = 2.0
"""Time after its publication at which a configuration must be in force (`config_apply_ms`)."""
UNSTABLE_CONFIGURATION_SECONDS = 5.0
"""Additional time while the store or the instance is disrupted (`outer_bound_ms`)."""
GRACE_SECONDS = 8.0
LAST_SIXTH_SECONDS = GRACE_SECONDS * 5 / 6
"""Requests whose target is still at work this long after SIGTERM may be cut."""
SENT_SECONDS = 3.0
"""Only requests that are sent up to this long after SIGTERM may be cut then."""
EXPIRY_TOLERANCE_SECONDS = 0.05
BUSY_OCCUPANCY = 0.5
"""A refusal while fewer places than this share are taken has another cause than the load."""
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that the request was not run."""
FAILURES = (500, 502, 504)


STANDINS = "stand-ins"
"""Component of the process of the callers and targets. Its stalls explain connections that could
not be made and failures that were told, but no connection that ended without an answer."""


class Reason(enum.Enum):
    """Why an attempt has no complete answer with status 200."""

    NOT_RESOLVED = "no address known"
    NOT_LISTENING = "instance stopped or disrupted"
    STANDINS_STALLED = "callers and targets had no processor time"
    NOT_SENT = "connection ended before the request was sent"
    CROSSED_CLOSE = "crossed the close of a kept connection"
    CALLER_LEFT = "caller left"
    DEADLINE = "deadline reached"
    ROUTE_TIMEOUT = "timeout of the route reached"
    ENTRY_DISRUPTED = "instance disrupted"
    LINK_DISRUPTED = "link of the caller disrupted"
    TARGET_DISRUPTED = "target disrupted"
    STORE_DISRUPTED = "store disrupted, keyed request"
    END_OF_GRACE = "target at work in the last sixth of the grace period"
    TARGET_ANSWERED = "target answered with a failure"
    KEY_WITHDRAWN = "API key withdrawn"
    REFUSED_IN_STOP = "refused by a stopping or starting instance"
    REFUSED_IN_DISRUPTION = "refused during a disruption"
    REFUSED_BUSY = "refused as the targets were busy"
    REFUSED_UNDER_PRESSURE = "refused by an instance short of processor time"


@dataclass(frozen=True, slots=True)
class Disruption:
    """An unplanned fault of a component."""

    component: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class Stop:
    """A planned stop of an instance, and its start after that.

    `ended_at` is when the instance was ready again, infinite before.
    """

    entry: str
    signalled_at: float
    exited_at: float = float("inf")
    ended_at: float = float("inf")


@dataclass(slots=True)
class Circumstances:
    """What happened during a soak.

    `entries` maps addresses to names of instances, `links` maps targets to their links, and
    `timeouts_s` maps paths to the timeouts of their routes. `withdrawals` has the start and the
    end of each time in which a configuration without a key was the newest one, by key. With
    `pressure`, instances are short of processor time, which excuses refusals but no lost request.
    """

    entries: dict[str, str] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)
    timeouts_s: dict[str, float] = field(default_factory=dict)
    disruptions: list[Disruption] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    withdrawals: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    pressure: bool = False

    def is_disrupted(self, components: set[str], start: float, end: float) -> bool:
        """Return whether one of the components was disrupted shortly before or in a time."""
        return any(
            item.component in components
            and item.started_at <= end
            and item.ended_at > start - TOUCH_SECONDS
            for item in self.disruptions
        )

    def stop_of(self, entry: str, start: float, end: float) -> Stop | None:
        """Return the last stop of an instance that overlaps a time."""
        found = [
            stop
            for stop in self.stops
            if stop.entry == entry and stop.signalled_at <= end and stop.ended_at >= start
        ]
        return found[-1] if found else None


def explain(attempt: Attempt, runs: list[Run], circumstances: Circumstances) -> Reason | None:
    """Return the reason that allows the ending of an attempt, None if nothing allows it.

    Attempts that ended with a complete answer of status 200 need no reason.
    """
    case = _Case(attempt, runs, circumstances)
    match attempt.ending:
        case NotResolved():
            return Reason.NOT_RESOLVED
        case Abandoned():
            return Reason.CALLER_LEFT
        case NotConnected():
            if case.stop is not None or case.entry_disrupted or case.link_disrupted:
                return Reason.NOT_LISTENING
            return case.explain_stall()
        case Answered(by_target=True):
            return Reason.TARGET_ANSWERED
        case Answered(status=401):
            return Reason.KEY_WITHDRAWN if case.key_withdrawn else None
        case Answered(status=status) if status in PROMISES:
            return case.explain_refusal() or case.explain_stall()
        case Answered(status=status) if status in FAILURES:
            return case.explain_loss() or case.explain_stall()
        case Broken() if attempt.sent_at is None:
            return Reason.NOT_SENT
        case Broken(status=None) if case.crossed_close:
            return Reason.CROSSED_CLOSE
        case Broken() | Expired():
            return case.explain_loss()
        case _:
            return None


def describe(attempt: Attempt, runs: list[Run], circumstances: Circumstances, since: float) -> str:
    """Return the text of a finding; its times count from `since`, or from a SIGTERM."""
    entry = circumstances.entries.get(attempt.address, attempt.address)
    sent_at = attempt.started_at if attempt.sent_at is None else attempt.sent_at
    stop = circumstances.stop_of(entry, attempt.started_at, attempt.ended_at)
    connection = "a kept" if attempt.kept else "a new"
    text = (
        f"{attempt.request_id} on {attempt.path} of {entry}, {connection} connection: "
        f"{attempt.ending}, sent at {sent_at - since:.3f}, "
        f"ended after {attempt.ended_at - sent_at:.3f} s, occupancy {attempt.occupancy:.2f}"
    )
    if stop is not None:
        text += f", sent {sent_at - stop.signalled_at:.3f} s after SIGTERM"
    for run in runs:
        ended = "goes on" if run.ended_at is None else f"ended at {run.ended_at - since:.3f}"
        text += f"; run on {run.target_id} began at {run.started_at - since:.3f}, {ended}"
    return text


class _Case:
    """One attempt with its runs and circumstances."""

    def __init__(self, attempt: Attempt, runs: list[Run], circumstances: Circumstances) -> None:
        self._attempt = attempt
        self._runs = runs
        self._circumstances = circumstances
        self._entry = circumstances.entries.get(attempt.address, "")
        self._sent_at = attempt.started_at if attempt.sent_at is None else attempt.sent_at

    @property
    def stop(self) -> Stop | None:
        """Return the planned stop of the instance around the attempt."""
        attempt = self._attempt
        return self._circumstances.stop_of(self._entry, attempt.started_at, attempt.ended_at)

    @property
    def entry_disrupted(self) -> bool:
        """Return whether the instance was disrupted."""
        return self._is_disrupted({self._entry})

    @property
    def link_disrupted(self) -> bool:
        """Return whether the link between callers and the instance was disrupted."""
        return self._is_disrupted({f"callers of {self._entry}"})

    @property
    def crossed_close(self) -> bool:
        """Return whether the request may have crossed the close of an idle kept connection."""
        attempt = self._attempt
        in_time = attempt.ended_at - self._sent_at <= LOSS_SLACK_SECONDS
        return attempt.kept and not self._runs and in_time

    @property
    def key_withdrawn(self) -> bool:
        """Return whether a configuration without the key may have been in force."""
        attempt = self._attempt
        for start, end in self._circumstances.withdrawals.get(attempt.key, []):
            allowed_until = end + CONFIGURATION_SECONDS
            names = {self._entry, "store", f"store of {self._entry}"}
            if self._circumstances.is_disrupted(names, end, attempt.ended_at):
                allowed_until += UNSTABLE_CONFIGURATION_SECONDS
            if start <= attempt.ended_at and attempt.started_at <= allowed_until:
                return True
        return False

    def explain_refusal(self) -> Reason | None:
        """Return the reason of a refusal that promises that the request was not run."""
        attempt, circumstances = self._attempt, self._circumstances
        if self.stop is not None:
            return Reason.REFUSED_IN_STOP
        everything = {item.component for item in circumstances.disruptions} - {STANDINS}
        if circumstances.is_disrupted(everything, attempt.started_at, attempt.ended_at):
            return Reason.REFUSED_IN_DISRUPTION
        if attempt.occupancy >= BUSY_OCCUPANCY:
            return Reason.REFUSED_BUSY
        return Reason.REFUSED_UNDER_PRESSURE if circumstances.pressure else None

    def explain_stall(self) -> Reason | None:
        """Return whether callers and targets had no processor time, as a reason."""
        return Reason.STANDINS_STALLED if self._is_disrupted({STANDINS}) else None

    def explain_loss(self) -> Reason | None:
        """Return the reason for which a request that was sent may end without its answer."""
        attempt = self._attempt
        elapsed = attempt.ended_at - attempt.started_at + EXPIRY_TOLERANCE_SECONDS
        if elapsed >= attempt.deadline_s:
            return Reason.DEADLINE
        if elapsed >= self._circumstances.timeouts_s.get(attempt.path, float("inf")):
            return Reason.ROUTE_TIMEOUT
        if self.entry_disrupted:
            return Reason.ENTRY_DISRUPTED
        if self.link_disrupted:
            return Reason.LINK_DISRUPTED
        if self._is_disrupted(self._targets()):
            return Reason.TARGET_DISRUPTED
        stores = {"store", f"store of {self._entry}"}
        if attempt.kind == "keyed" and self._is_disrupted(stores):
            return Reason.STORE_DISRUPTED
        return Reason.END_OF_GRACE if self._cut_by_grace() else None

    def _targets(self) -> set[str]:
        """Return the targets that ran the request, with their helpers and links.

        A request that no target ran may have failed on the way to any of them, which is told by
        a failure of the instance's own; the connection may not end for it.
        """
        targets = {name for run in self._runs for name in (run.target_id, *run.helpers)}
        if not self._runs and isinstance(self._attempt.ending, Answered):
            targets = set(self._circumstances.links)
        return targets | {self._circumstances.links.get(name, name) for name in targets}

    def _cut_by_grace(self) -> bool:
        stop = self.stop
        if stop is None or self._sent_at > stop.signalled_at + SENT_SECONDS:
            return False
        limit = stop.signalled_at + LAST_SIXTH_SECONDS
        at_work = any(run.ended_at is None or run.ended_at >= limit for run in self._runs)
        return at_work and self._attempt.ended_at >= limit

    def _is_disrupted(self, components: set[str]) -> bool:
        return self._circumstances.is_disrupted(components, self._sent_at, self._attempt.ended_at)
