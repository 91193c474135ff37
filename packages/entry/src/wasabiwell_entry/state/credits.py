"""Credits: leases of an engine's capacity, on the owner's and on the holder's side."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

LONG_MEMORY_SHARE = 0.7
"""Share of one engine's memory that long prompts may use; the rest is reserved for short ones."""


@dataclass(frozen=True, slots=True)
class Amount:
    """Capacity of an engine; `long_tokens` is the part of `tokens` that long prompts may use."""

    slots: int = 0
    tokens: int = 0
    long_tokens: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(
            self.slots + other.slots,
            self.tokens + other.tokens,
            self.long_tokens + other.long_tokens,
        )

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(
            self.slots - other.slots,
            self.tokens - other.tokens,
            self.long_tokens - other.long_tokens,
        )

    def at_least(self, other: "Amount") -> "Amount":
        """Return the element-wise maximum."""
        return Amount(
            max(self.slots, other.slots),
            max(self.tokens, other.tokens),
            max(self.long_tokens, other.long_tokens),
        )

    def at_most(self, other: "Amount") -> "Amount":
        """Return the element-wise minimum."""
        return Amount(
            min(self.slots, other.slots),
            min(self.tokens, other.tokens),
            min(self.long_tokens, other.long_tokens),
        )

    def covers(self, other: "Amount") -> bool:
        """Return whether each quantity is at least that of `other`."""
        return self.at_least(other) == self


ZERO_AMOUNT = Amount()


def engine_capacity(slots: int, total_tokens: int) -> Amount:
    """Return the capacity of an engine that its owner may lease out."""
    return Amount(slots, total_tokens, int(total_tokens * LONG_MEMORY_SHARE))


@dataclass(frozen=True, slots=True)
class CreditClaim:
    """A holder's request to set its credit of one engine, in absolute amounts.

    Absolute amounts make claims idempotent, so a repeated or lost claim does no harm. `sequence`
    grows with each claim of a holder. `current` is the valid credit that the holder has, and `used`
    is the sum of its open holds.
    """

    engine_id: str
    holder: str
    sequence: int
    wanted: Amount
    current: Amount
    used: Amount


@dataclass(frozen=True, slots=True)
class Credit:
    """A lease of capacity; `credit_id` is the sequence of the claim that set it.

    `expires` is a monotonic time of the instance that stores this object.
    """

    credit_id: int
    engine_id: str
    holder: str
    amount: Amount
    used: Amount
    expires: timedelta


class CreditLedger:
    """The owner's account of one engine: one credit for each holder."""

    __slots__ = ("_capacity", "_credits", "_engine_id", "_lifetime", "_reported")

    def __init__(self, engine_id: str, lifetime: timedelta) -> None:
        self._engine_id = engine_id
        self._lifetime = lifetime
        self._capacity = ZERO_AMOUNT
        self._reported = ZERO_AMOUNT
        self._credits: dict[str, Credit] = {}

    @property
    def capacity(self) -> Amount:
        """Return the last capacity that the engine reported."""
        return self._capacity

    def outstanding(self) -> Amount:
        """Return the sum of all credits that have not expired."""
        return _sum(credit.amount for credit in self._credits.values())

    def report(self, capacity: Amount, used: Amount) -> None:
        """Store an engine's load report; `used` includes requests without a credit."""
        self._capacity = capacity
        self._reported = used

    def free(self) -> Amount:
        """Return the capacity that can be leased; negative when the engine is over-committed.

        Use that the engine reports and no holder accounts for belongs to requests whose credit
        expired, or that another owner admitted. It is subtracted in addition to the credits.
        """
        credits = self._credits.values()
        committed = _sum(credit.amount.at_least(credit.used) for credit in credits)
        difference = (self._reported - _sum(credit.used for credit in credits)).at_least(
            ZERO_AMOUNT
        )
        # Load reports do not contain prompt lengths, so count all of this use as long prompts.
        unaccounted = Amount(difference.slots, difference.tokens, difference.tokens)
        return self._capacity - committed - unaccounted

    def expire(self, now: timedelta) -> None:
        """Remove the credits whose lifetime has passed."""
        self._credits = {
            holder: credit for holder, credit in self._credits.items() if now < credit.expires
        }

    def apply(self, claim: CreditClaim, now: timedelta) -> Credit:
        """Set a holder's credit as far as capacity allows and renew it.

        A claim that is not newer than the last one of its holder has no effect. A credit shrinks
        when more than the capacity is leased, which happens when two owners have granted credits.
        """
        self.expire(now)
        current = self._credits.get(claim.holder)
        if current is not None and claim.sequence <= current.credit_id:
            return current
        kept = current.amount if current is not None else ZERO_AMOUNT
        self._store(claim, kept, now)
        excess = (self.outstanding() - self._capacity).at_least(ZERO_AMOUNT)
        available = kept.at_least(claim.used) + self.free()
        amount = claim.wanted.at_most((kept - excess).at_least(available))
        return self._store(claim, amount.at_least(ZERO_AMOUNT), now)

    def recover(self, claim: CreditClaim, now: timedelta) -> Credit:
        """Renew the credit that the engine's previous owner granted, without increasing it."""
        self.expire(now)
        current = self._credits.pop(claim.holder, None)
        if current is not None and claim.sequence <= current.credit_id:
            self._credits[claim.holder] = current
            return current
        kept = claim.current if current is None else current.amount.at_least(claim.current)
        available = (self._capacity - self.outstanding()).at_least(ZERO_AMOUNT)
        return self._store(claim, claim.wanted.at_most(kept).at_most(available), now)

    def record(self, claim: CreditClaim, now: timedelta) -> None:
        """Record the credit that a holder reports, even when it exceeds the capacity."""
        self.expire(now)
        current = self._credits.get(claim.holder)
        if current is None or claim.sequence > current.credit_id:
            self._store(claim, claim.current, now)

    def release(self, holder: str, sequence: int) -> None:
        """Remove a holder's credit; an outdated release has no effect."""
        current = self._credits.get(holder)
        if current is not None and sequence > current.credit_id:
            del self._credits[holder]

    def _store(self, claim: CreditClaim, amount: Amount, now: timedelta) -> Credit:
        credit = Credit(
            credit_id=claim.sequence,
            engine_id=self._engine_id,
            holder=claim.holder,
            amount=amount,
            used=claim.used,
            expires=now + self._lifetime,
        )
        self._credits[claim.holder] = credit
        return credit


@dataclass(slots=True)
class CreditPool:
    """The holder's account of one engine.

    `peak` and `previous_peak` are the largest use in the current and in the previous window; they
    determine how much credit is kept. `unmet_demand` is the demand since the last claim for which
    there was no credit, and `largest_unmet` the largest request in it.
    """

    engine_id: str
    holder: str
    lifetime: timedelta
    amount: Amount = ZERO_AMOUNT
    expires: timedelta = timedelta()
    used: Amount = ZERO_AMOUNT
    peak: Amount = ZERO_AMOUNT
    previous_peak: Amount = ZERO_AMOUNT
    unmet_demand: Amount = ZERO_AMOUNT
    largest_unmet: Amount = ZERO_AMOUNT
    sequence: int = 0
    _sent: timedelta = timedelta()
    _holds: dict[int, Amount] = field(default_factory=dict)

    @property
    def open_holds(self) -> int:
        """Return the number of holds that are not released."""
        return len(self._holds)

    def valid(self, now: timedelta) -> Amount:
        """Return the credit that may be used; zero after its expiry."""
        return self.amount if now < self.expires else ZERO_AMOUNT

    def take(self, hold_id: int, amount: Amount, now: timedelta) -> bool:
        """Open a hold when the available credit covers it; return whether it was opened."""
        if not self.valid(now).covers(self.used + amount):
            return False
        self._holds[hold_id] = amount
        self.used += amount
        self.peak = self.peak.at_least(self.used)
        self.unmet_demand = (self.unmet_demand - amount).at_least(ZERO_AMOUNT)
        return True

    def release_hold(self, hold_id: int) -> bool:
        """Close a hold; return False when it is not open."""
        amount = self._holds.pop(hold_id, None)
        if amount is None:
            return False
        self.used -= amount
        return True

    def record_demand(self, amount: Amount, limit: Amount) -> None:
        """Record a request for which there was no credit; the sum is capped at `limit`."""
        self.unmet_demand = (self.unmet_demand + amount).at_most(limit.at_least(amount))
        self.largest_unmet = self.largest_unmet.at_least(amount)

    def discard_repeated_demand(self) -> None:
        """Reduce the demand to one request, when all waiting requests are about to retry.

        Each of them records its demand again if it fails, and would be counted twice.
        """
        self.unmet_demand = self.unmet_demand.at_most(self.largest_unmet)

    def rotate_window(self) -> None:
        """Start a new window for the peak of the use."""
        self.previous_peak, self.peak = self.peak, self.used

    def wanted(self) -> Amount:
        """Return the credit needed for the recent peak use and the unmet demand."""
        return self.peak.at_least(self.previous_peak).at_least(self.used + self.unmet_demand)

    def claim(self, now: timedelta) -> CreditClaim:
        """Return the next claim; credit beyond the claimed amount can no longer be used."""
        wanted = self.wanted()
        current = self.valid(now)
        self.amount = current.at_most(wanted)
        self.unmet_demand = ZERO_AMOUNT
        self.largest_unmet = ZERO_AMOUNT
        self.sequence += 1
        self._sent = now
        return CreditClaim(self.engine_id, self.holder, self.sequence, wanted, current, self.used)

    def outstanding(self, now: timedelta) -> CreditClaim:
        """Return a claim that reports the available credit to a new owner.

        It takes a sequence number of its own, so that later claims have higher ones.
        """
        self.sequence += 1
        current = self.valid(now)
        return CreditClaim(self.engine_id, self.holder, self.sequence, current, current, self.used)

    def granted(self, sequence: int, amount: Amount) -> bool:
        """Apply the grant for the last claim; grants for earlier claims are ignored.

        The lifetime starts when the claim was sent, so that the credit never outlives its entry in
        the owner's ledger.
        """
        if sequence != self.sequence:
            return False
        self.amount = amount
        self.expires = self._sent + self.lifetime
        return True

    def assume(self, amount: Amount, now: timedelta) -> None:
        """Use an amount for one lifetime without a grant, as no owner can be reached."""
        self.sequence += 1
        self.amount = amount
        self.expires = now + self.lifetime

    def release_all(self) -> int:
        """Release the whole credit and return the sequence of the release."""
        self.amount = ZERO_AMOUNT
        self.sequence += 1
        return self.sequence


def _sum(amounts: Iterable[Amount]) -> Amount:
    total = ZERO_AMOUNT
    for amount in amounts:
        total += amount
    return total
