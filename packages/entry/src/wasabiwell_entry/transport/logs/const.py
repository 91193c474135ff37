"""Limits of the log output."""

from datetime import timedelta

MAX_LINES_PER_SECOND = 40
"""Lines of one failure event per second; the next second logs how many more were suppressed."""
MAX_SUCCESS_LINES_PER_SECOND = 20
"""Lines of one success event per second; beyond this limit, requests are sampled."""
SAMPLING_INTERVAL = 16
"""Above the limit, one request in this many is logged, with the same choice for all its events."""
MAX_BUFFERED_BYTES = 1024 * 1024
"""Lines waiting to be read from standard output; further ones are dropped and counted."""
MAX_WRITE_BYTES = 64 * 1024
"""Size of one write: the capacity of a Linux pipe."""
FLUSH_TIMEOUT = timedelta(milliseconds=500)
"""Time limit for writing the buffered lines when the process ends."""
