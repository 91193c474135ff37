"""Logs what shows that the routes are current, and the versions that were not applied."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.discovery.const import (
    OLD_PROOF_AGE,
    PROOF_CHECK_INTERVAL,
    REPEATED_LINE_INTERVAL,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


class ProofSource(enum.Enum):
    """How an entry instance learned that its routes are the newest ones."""

    READ = "own read"
    POLL = "own poll"
    CONFIRMATION = "confirmation of a peer"


class RejectionReason(enum.Enum):
    """Why a version that was read, fetched or announced is not applied."""

    LOWER = "it is lower than the one in force"
    MISSING = "the store has no configuration"
    UNDECODABLE = "it cannot be decoded"
    FETCH_FAILED = "the peer did not send it"
    PEER_BEHIND = "the peer sent another one"


@dataclass(frozen=True, slots=True)
class RouteProof:
    """A proof that a version of the routes is the newest one.

    `peer` is the control address of the peer that sent it, empty for the own store calls.
    """

    source: ProofSource
    peer: str
    version: int


@dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that is not applied; None if it is unknown. `source` is a peer or the store."""

    version: int | None
    source: str
    reason: RejectionReason


class RouteProofLog:
    """The last proof that the routes are current, as the log tells it.

    A line is written when the version or the source of the proof changes, and while the proof is
    old. Another peer alone is no change, as followers confirm in turn. A follower has proofs of its
    own and of others in turn, so that lines of one version are limited in their rate.
    """

    __slots__ = (
        "_clock",
        "_logged_at",
        "_old",
        "_proof",
        "_proved_at",
        "_rejected",
        "_rejected_at",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._proof: RouteProof | None = None
        self._proved_at: timedelta | None = None
        self._logged_at = timedelta()
        self._old = False
        self._rejected: RejectedVersion | None = None
        self._rejected_at: timedelta | None = None

    def record_proof(self, proof: RouteProof) -> None:
        """Record a proof, and log it if it is of another version or source, or ends an old one."""
        before, self._proof = self._proof, proof
        now = self._proved_at = self._clock.monotonic()
        match before:
            case RouteProof(version=version) if version == proof.version and not self._old:
                if before.source is proof.source or now - self._logged_at < REPEATED_LINE_INTERVAL:
                    return
        self._old, self._logged_at = False, now
        log_events.emit(
            log_events.ROUTES_PROVED,
            version=proof.version,
            source=proof.source.value,
            peer=proof.peer,
        )

    def record_rejection(self, rejected: RejectedVersion, version: int) -> None:
        """Log that a version is not applied, and that `version` stays in force."""
        now = self._clock.monotonic()
        if (
            rejected == self._rejected
            and self._rejected_at is not None
            and now - self._rejected_at < REPEATED_LINE_INTERVAL
        ):
            return
        self._rejected, self._rejected_at = rejected, now
        log_events.emit(
            log_events.ROUTES_NOT_APPLIED,
            version=rejected.version,
            source=rejected.source,
            reason=rejected.reason.value,
            version_in_force=version,
        )

    async def report_old_proofs(self) -> None:
        """Log the last proof at intervals while it is old, until cancelled."""
        while True:
            await self._clock.sleep(PROOF_CHECK_INTERVAL)
            self._report_old_proof()

    def _report_old_proof(self) -> None:
        now, proof, proved_at = self._clock.monotonic(), self._proof, self._proved_at
        if proof is None or proved_at is None or now - proved_at < OLD_PROOF_AGE:
            return
        if self._old and now - self._logged_at < REPEATED_LINE_INTERVAL:
            return
        self._old, self._logged_at = True, now
        log_events.emit(
            log_events.ROUTES_PROOF_OLD,
            version=proof.version,
            source=proof.source.value,
            peer=proof.peer,
            age_ms=round((now - proved_at) / timedelta(milliseconds=1)),
        )
