"""Observes signals at the moment at which the interpreter handles them."""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType


@contextmanager
def observe_signal(number: signal.Signals, observer: Callable[[], None]) -> Iterator[None]:
    """Call an observer when a signal is handled, before the handler that is installed already.

    A task that receives the signal runs only in a later pass of the event loop. Must be called in
    the main thread; raises `ValueError` without an installed handler.
    """
    handler = signal.getsignal(number)
    if not callable(handler):
        raise ValueError(f"{number.name} has no handler")

    def handle(received: int, frame: FrameType | None) -> None:
        observer()
        handler(received, frame)

    signal.signal(number, handle)
    try:
        yield
    finally:
        signal.signal(number, handler)
