"""Constants of log lines."""

from datetime import timedelta

LINES_PER_EVENT = 40
"""Lines of one event in a second; further ones are counted and told in the next second."""
SUCCESS_LINES = 20
"""Lines in a second that tell of what went well; beyond it a part of the requests is told."""
SAMPLED_REQUESTS = 16
"""Beyond the bound, one of this many requests is told, the same one on all of its lines."""
BUFFERED_BYTES = 1024 * 1024
"""Lines that wait for a reader of standard output; further ones are dropped and counted."""
WRITE_BYTES = 64 * 1024
"""Bytes of one write, the size of a pipe."""
FLUSH_TIME = timedelta(milliseconds=500)
"""Time to write what is buffered when the process ends."""
