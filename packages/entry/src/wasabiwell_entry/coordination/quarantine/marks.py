"""Spreads suspects to the other entry instances as marks of heartbeats."""

from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from wasabiwell_entry.coordination.membership.ports import MarkPort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.suspects import Suspect

SUSPECT_KIND = "suspect"


class SuspectGossip:
    """Publishes and receives suspects as marks; the value holds the targets that died."""

    __slots__ = ("_clock", "_marks")

    def __init__(self, marks: MarkPort, clock: Clock) -> None:
        self._marks = marks
        self._clock = clock

    def broadcast(self, suspect: Suspect) -> None:
        """Announce a suspect to all entry instances."""
        self._marks.publish(
            SUSPECT_KIND,
            suspect.fingerprint,
            suspect.expires - self._clock.now(),
            msgspec.msgpack.encode(suspect.targets),
        )

    def withdraw(self, fingerprint: str) -> None:
        """Take a suspect back that was announced."""
        mark = self._marks.mark(SUSPECT_KIND, fingerprint)
        if mark is not None and mark.active:
            lifetime = datetime.fromtimestamp(mark.expires, UTC) - self._clock.now()
            self._marks.publish(SUSPECT_KIND, fingerprint, lifetime, active=False)

    def subscribe(self, learn: Callable[[Suspect], None], forget: Callable[[str], None]) -> None:
        """Pass each suspect that is announced or taken back to a receiver."""

        def receive(mark: Mark) -> None:
            if not mark.active:
                forget(mark.key)
                return
            targets = msgspec.msgpack.decode(mark.value, type=tuple[str, ...])
            learn(Suspect(mark.key, targets, datetime.fromtimestamp(mark.expires, UTC)))

        self._marks.subscribe(SUSPECT_KIND, receive)
