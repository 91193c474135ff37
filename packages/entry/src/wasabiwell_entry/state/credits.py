"""Credits: leases of an engine's capacity, on the side of the owner and of the holder."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

LONG_MEMORY_SHARE = 0.7
"""Share of one engine's memory that long prompts may use; the rest is kept for short ones."""


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
        """Return the larger of each quantity."""
        return Amount(
            max(self.slots, other.slots),
            max(self.tokens, other.tokens),
            max(self.long_tokens, other.long_tokens),
        )

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller of each quantity."""
        return Amount(
            min(self.slots, other.slots),
            min(self.tokens, other.tokens),
            min(self.long_tokens, other.long_tokens),
        )

    def covers(self, other: "Amount") -> bool:
        """Return whether no quantity is smaller than that of `other`."""
        return self.at_least(other) == self


ZERO_AMOUNT = Amount()


def engine_capacity(slots: int, total_tokens: int) -> Amount:
    """Return the capacity that an owner may lease out."""
    return Amount(slots, total_tokens, int(total_tokens * LONG_MEMORY_SHARE))


@dataclass(frozen=True, slots=True)
class CreditClaim:
    """What a holder wants its credit of one engine to be, in absolute amounts.

    Absolute amounts make a repeated or lost claim harmless. `sequence` grows with each claim of a
    holder. `current` is the valid credit that the holder has, `used` what its open holds take.
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

    `expires` is a monotonic time of the side that keeps the value.
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
        """Return the capacity that the engine reported last."""
        return self._capacity

    def outstanding(self) -> Amount:
        """Return the sum of all credits that have not expired."""
        return _sum(credit.amount for credit in self._credits.values())

    def report(self, capacity: Amount, used: Amount) -> None:
        """Take over an engine's load report; `used` covers requests without a credit too."""
        self._capacity = capacity
        self._reported = used

    def free(self) -> Amount:
        """Return what can be leased; negative when the engine holds more than its capacity.

        Use that the engine reports and no holder accounts for belongs to requests whose credit
        expired, or that another owner admitted. It is subtracted in addition to the credits.
        """
        credits = self._credits.values()
        committed = _sum(credit.amount.at_least(credit.used) for credit in credits)
        difference = (self._reported - _sum(credit.used for credit in credits)).at_least(
            ZERO_AMOUNT
        )
        # Reports do not tell which prompts use the memory, so this use counts as that of long ones.
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
        when more than the capacity is leased, which happens after a second owner leased too.
        """
        self.expire(now)
        known = self._credits.get(claim.holder)
        if known is not None and claim.sequence <= known.credit_id:
            return known
        kept = known.amount if known is not None else ZERO_AMOUNT
        self._store(claim, kept, now)
        excess = (self.outstanding() - self._capacity).at_least(ZERO_AMOUNT)
        room = kept.at_least(claim.used) + self.free()
        amount = claim.wanted.at_most((kept - excess).at_least(room))
        return self._store(claim, amount.at_least(ZERO_AMOUNT), now)

    def recover(self, claim: CreditClaim, now: timedelta) -> Credit:
        """Renew what a holder got from the engine's earlier owner, and grant nothing more."""
        self.expire(now)
        known = self._credits.pop(claim.holder, None)
        if known is not None and claim.sequence <= known.credit_id:
            self._credits[claim.holder] = known
            return known
        kept = claim.current if known is None else known.amount.at_least(claim.current)
        room = (self._capacity - self.outstanding()).at_least(ZERO_AMOUNT)
        return self._store(claim, claim.wanted.at_most(kept).at_most(room), now)

    def record(self, claim: CreditClaim, now: timedelta) -> None:
        """Enter the credit that a holder reports, even when it exceeds the capacity."""
        self.expire(now)
        known = self._credits.get(claim.holder)
        if known is None or claim.sequence > known.credit_id:
            self._store(claim, claim.current, now)

    def release(self, holder: str, sequence: int) -> None:
        """Remove a holder's credit; an old release has no effect."""
        known = self._credits.get(holder)
        if known is not None and sequence > known.credit_id:
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

    `peak` and `previous_peak` are the largest use in the current and in the previous window; the
    credit that is kept follows them. `unmet_demand` is demand that found no credit since the last claim,
    and `largest_unmet` the largest request in it.
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
        """Return the number of holds that were not released."""
        return len(self._holds)

    def valid(self, now: timedelta) -> Amount:
        """Return the credit that may be spent; nothing after its expiry."""
        return self.amount if now < self.expires else ZERO_AMOUNT

    def take(self, hold_id: int, amount: Amount, now: timedelta) -> bool:
        """Open a hold when the credit at hand covers it."""
        if not self.valid(now).covers(self.used + amount):
            return False
        self._holds[hold_id] = amount
        self.used += amount
        self.peak = self.peak.at_least(self.used)
        self.unmet_demand = (self.unmet_demand - amount).at_least(ZERO_AMOUNT)
        return True

    def give_back(self, hold_id: int) -> bool:
        """Close a hold; return False when it is not open."""
        amount = self._holds.pop(hold_id, None)
        if amount is None:
            return False
        self.used -= amount
        return True

    def record_demand(self, amount: Amount, limit: Amount) -> None:
        """Note one request that found no credit; more than `limit` is never asked for."""
        self.unmet_demand = (self.unmet_demand + amount).at_most(limit.at_least(amount))
        self.largest_unmet = self.largest_unmet.at_least(amount)

    def discard_repeated_demand(self) -> None:
        """Keep demand for one request, when all waiting requests are about to try again.

        Each of them notes its demand again if it fails, and would be counted twice.
        """
        self.unmet_demand = self.unmet_demand.at_most(self.largest_unmet)

    def rotate_window(self) -> None:
        """Start a new window of the observed use."""
        self.previous_peak, self.peak = self.peak, self.used

    def wanted(self) -> Amount:
        """Return the credit that the observed use and unmet demand ask for."""
        return self.peak.at_least(self.previous_peak).at_least(self.used + self.unmet_demand)

    def claim(self, now: timedelta) -> CreditClaim:
        """Return the next claim; what it does not ask for can no longer be spent."""
        wanted = self.wanted()
        current = self.valid(now)
        self.amount = current.at_most(wanted)
        self.unmet_demand = ZERO_AMOUNT
        self.largest_unmet = ZERO_AMOUNT
        self.sequence += 1
        self._sent = now
        return CreditClaim(self.engine_id, self.holder, self.sequence, wanted, current, self.used)

    def outstanding(self, now: timedelta) -> CreditClaim:
        """Return the credit at hand for a new owner; later claims have higher sequences."""
        self.sequence += 1
        current = self.valid(now)
        return CreditClaim(self.engine_id, self.holder, self.sequence, current, current, self.used)

    def granted(self, sequence: int, amount: Amount) -> bool:
        """Take over the answer to the last claim; an answer to an earlier one is ignored.

        The lifetime counts from the time at which the claim was sent, so that the credit never
        outlives its entry in the owner's ledger.
        """
        if sequence != self.sequence:
            return False
        self.amount = amount
        self.expires = self._sent + self.lifetime
        return True

    def assume(self, amount: Amount, now: timedelta) -> None:
        """Use an amount that no owner granted, for one lifetime."""
        self.sequence += 1
        self.amount = amount
        self.expires = now + self.lifetime

    def release_all(self) -> int:
        """Give up the credit and return the sequence of the release."""
        self.amount = ZERO_AMOUNT
        self.sequence += 1
        return self.sequence


def _sum(amounts: Iterable[Amount]) -> Amount:
    total = ZERO_AMOUNT
    for amount in amounts:
        total += amount
    return total
