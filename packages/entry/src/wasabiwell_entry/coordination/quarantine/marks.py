"""Gossips suspects to the other entry instances as marks in heartbeats."""

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from wasabiwell_entry.coordination.membership.ports import MarkPort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.suspects import Suspect

SUSPECT_MARK_KIND = "suspect"


class SuspectGossip:
    """Publishes and receives suspects as marks; a mark's value lists the crashed targets."""

    __slots__ = ("_clock", "_marks")

    def __init__(self, marks: MarkPort, clock: Clock) -> None:
        self._marks = marks
        self._clock = clock

    def broadcast(self, suspect: Suspect) -> None:
        """Publish a suspect to all entry instances."""
        self._marks.publish(
            SUSPECT_MARK_KIND,
            suspect.fingerprint,
            suspect.expires - self._clock.now(),
            msgspec.msgpack.encode(suspect.targets),
        )

    def withdraw(self, fingerprint: str) -> None:
        """Withdraw a published suspect."""
        mark = self._marks.mark(SUSPECT_MARK_KIND, fingerprint)
        if mark is not None and mark.active:
            lifetime = datetime.fromtimestamp(mark.expires, UTC) - self._clock.now()
            self._marks.publish(SUSPECT_MARK_KIND, fingerprint, lifetime, active=False)

    def subscribe(
        self, on_published: Callable[[Suspect], None], on_withdrawn: Callable[[str], None]
    ) -> None:
        """Call back for each published suspect, and with the fingerprint of each withdrawn one."""

        def receive(mark: Mark) -> None:
            if not mark.active:
                on_withdrawn(mark.key)
                return
            targets = msgspec.msgpack.decode(mark.value, type=tuple[str, ...])
            on_published(Suspect(mark.key, targets, datetime.fromtimestamp(mark.expires, UTC)))

        self._marks.subscribe(SUSPECT_MARK_KIND, receive)
