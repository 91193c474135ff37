"""Keeps refused causes in the platform's store, so that they outlast all entry instances."""

from collections.abc import Callable

import trio

from wasabiwell_entry.coordination.quarantine.const import (
    MAX_CAUSES,
    REFUSAL_CHECK_DELAY,
    REFUSAL_STORE_RETRY_INTERVAL,
    SUSPICION_LIFETIME,
)
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.coordination.quarantine.errors import (
    NotSuspected,
    Released,
    ReleaseOutcome,
    ReleaseUnavailable,
)
from wasabiwell_entry.coordination.quarantine.ports import RefusalStore
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.crashes import Cause
from wasabiwell_entry.state.platform import StoreUnavailable


class RefusalKeeper:
    """Saves the refusals that this instance decides, and reads those of earlier instances.

    Running instances tell each other of refusals, so the store is read at the start, and by a few
    instances that have heard of a refusal: the one that decided it may end before it can save it.
    Without the store an instance works with what it observes and hears, and saves later. After the
    store has returned from a copy, the instance that saved a refusal and a few others write a
    missing row again, and the instance that removed a row removes it again.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_heard",
        "_pending",
        "_record_rewritten",
        "_removed",
        "_rewriting",
        "_saved",
        "_store",
        "_unchecked",
        "_unremoved",
        "_unsaved",
    )

    def __init__(
        self,
        crashes: CrashCounts,
        store: RefusalStore,
        clock: Clock,
        record_rewritten: Callable[[str, str], None] = lambda table, key: None,
    ) -> None:
        """Create a keeper; `record_rewritten` takes the table and key of a row written again."""
        self._crashes = crashes
        self._store = store
        self._clock = clock
        self._unsaved: dict[Cause, None] = {}
        self._unremoved: dict[Cause, None] = {}
        self._unchecked: dict[Cause, None] = {}
        self._record_rewritten = record_rewritten
        self._saved: dict[Cause, None] = {}
        self._removed: dict[Cause, None] = {}
        self._rewriting: set[Cause] = set()
        self._pending = trio.Event()
        self._heard = trio.Event()
        crashes.on_refused = self._request_save
        crashes.on_refusal_heard = self._request_check
        crashes.on_refusal_cleared = self._request_removal

    async def run(self) -> None:
        """Load the refusals once, then save new ones and remove cleared ones until cancelled."""
        while not await self.load():
            await self._clock.sleep(REFUSAL_STORE_RETRY_INTERVAL)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check)
            while True:
                if not await self.save_pending():
                    await self._clock.sleep(REFUSAL_STORE_RETRY_INTERVAL)
                    continue
                await self._pending.wait()

    async def _check(self) -> None:
        while True:
            # A check that failed with an error has left its causes unchecked.
            if not self._unchecked:
                await self._heard.wait()
            await self._clock.sleep(REFUSAL_CHECK_DELAY)
            while not await self.check_heard():
                await self._clock.sleep(REFUSAL_STORE_RETRY_INTERVAL)

    async def load(self) -> bool:
        """Restore the stored refusals and remove expired ones; return False without the store."""
        stored = await self._store.load()
        if isinstance(stored, StoreUnavailable):
            log_events.emit(
                log_events.STORE_UNAVAILABLE, service="quarantine table", reason=stored.reason
            )
            return False
        for refusal in stored:
            if refusal.refused_until + SUSPICION_LIFETIME < self._clock.now():
                await self._store.remove(refusal.cause)
            else:
                self._crashes.restore(refusal)
        return True

    def record_return(self) -> None:
        """Look for rows later, as the store has returned from a copy and may have lost some."""
        self._unchecked.update(dict.fromkeys([*self._crashes.checked_refusals(), *self._saved]))
        self._unchecked.update(self._removed)
        if self._unchecked:
            self._rewriting.update(self._unchecked)
            self._heard.set()

    async def check_heard(self) -> bool:
        """Request to save refusals that have no row, and to remove the rows of cleared ones.

        Returns False without the store.
        """
        self._heard = trio.Event()
        heard = list(self._unchecked)
        stored = await self._store.load()
        if isinstance(stored, StoreUnavailable):
            return _succeeded(stored)
        now = self._clock.now()
        in_force = {refusal.cause for refusal in stored if refusal.refused_until > now}
        for cause in heard:
            self._unchecked.pop(cause, None)
            refused = self._crashes.refusal(cause) is not None
            if cause not in in_force and refused:
                self._request_save(cause)
                continue
            self._rewriting.discard(cause)
            if cause in in_force and cause in self._removed and not refused:
                self._request_removal(cause)
        return True

    async def release(self, name: str) -> ReleaseOutcome:
        """End the refusal of the cause with a fingerprint or the id of a prompt part.

        Nothing is released without the store, as the refusal would return with the next start.
        """
        cause = self._crashes.find(name)
        if cause is None:
            return NotSuspected()
        failed = await self._store.remove(cause)
        if failed is not None:
            return ReleaseUnavailable(failed.reason)
        self._unsaved.pop(cause, None)
        self._record_removed(cause)
        self._crashes.release(cause)
        log_events.emit(log_events.CAUSE_RELEASED, cause=str(cause))
        return Released()

    async def save_pending(self) -> bool:
        """Save new refusals and remove cleared ones; return False when the store failed once."""
        self._pending = trio.Event()
        for cause in list(self._unsaved):
            refusal = self._crashes.refusal(cause)
            if refusal is not None and not _succeeded(await self._store.save(refusal)):
                return False
            self._unsaved.pop(cause, None)
            self._finish_save(cause, written=refusal is not None)
            if refusal is not None and self._crashes.refusal(cause) is None:
                # The refusal was cleared while it was saved.
                self._unremoved[cause] = None
        for cause in list(self._unremoved):
            if not _succeeded(await self._store.remove(cause)):
                return False
            self._unremoved.pop(cause, None)
            self._record_removed(cause)
            log_events.emit(log_events.REFUSAL_REMOVED, cause=str(cause))
        return True

    def _finish_save(self, cause: Cause, written: bool) -> None:
        if written:
            self._removed.pop(cause, None)
            _put_last(self._saved, cause)
            if cause in self._rewriting:
                self._record_rewritten("refusals", str(cause))
        self._rewriting.discard(cause)

    def _record_removed(self, cause: Cause) -> None:
        self._saved.pop(cause, None)
        _put_last(self._removed, cause)

    def _request_save(self, cause: Cause) -> None:
        self._unremoved.pop(cause, None)
        self._unsaved[cause] = None
        self._pending.set()

    def _request_check(self, cause: Cause) -> None:
        self._unchecked[cause] = None
        self._heard.set()

    def _request_removal(self, cause: Cause) -> None:
        self._unsaved.pop(cause, None)
        self._unremoved[cause] = None
        self._pending.set()


def _put_last(causes: dict[Cause, None], cause: Cause) -> None:
    """Add a cause as the newest one, and drop the oldest of too many."""
    causes.pop(cause, None)
    causes[cause] = None
    if len(causes) > MAX_CAUSES:
        del causes[next(iter(causes))]


def _succeeded(failed: StoreUnavailable | None) -> bool:
    """Return whether a write succeeded, and log the reason when it did not."""
    if failed is not None:
        log_events.emit(
            log_events.STORE_UNAVAILABLE, service="quarantine table", reason=failed.reason
        )
    return failed is None
