"""Recording of log events."""

from collections.abc import Iterator
from contextlib import contextmanager

import logbook


@contextmanager
def record_events() -> Iterator[list[logbook.LogRecord]]:
    """Return the list to which the records of the context are added."""
    with logbook.TestHandler() as handler:
        yield handler.records
