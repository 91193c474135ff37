"""Shares of the account and of the descriptors, and durations of the wait for free memory."""

from datetime import timedelta

MEMORY_SHARE = 0.25
"""Share of the machine's memory that buffered bytes may take. An instance takes 38 MB at rest, and
an attempt holds a copy of a body for a moment."""
RESERVED_SHARE = 0.25
"""Share of the account that is kept for requests of addresses that hold nothing else, and for the
control address."""
RESPONSE_SHARE = 0.5
"""Share of the account that responses may take. They are not given up for incomplete requests,
which would otherwise get no memory while callers do not read their responses."""
OWNER_SHARE = 0.5
"""Share of the account above which an organisation or an address loses its bodies first."""
MIN_AGE = timedelta(seconds=1)
"""Time after which a body may be rejected as the slowest one: before that its speed is unknown."""
MAX_WAIT = timedelta(seconds=4)
"""How long a connection waits for free memory before its request is rejected. Slow bodies are
rejected meanwhile, the first of them after `MIN_AGE`."""
WAIT_INTERVAL = timedelta(milliseconds=100)
"""Interval at which a waiting connection has the slowest body rejected."""
UNREAD_LIMIT = timedelta(seconds=10)
"""Time without a byte that reaches its caller after which a response may be given up, if requests
of the same service are rejected for want of a target. Targets cut off an unread response themselves
after some seconds, so this is met only by callers that read nothing at all."""
RETRY_AFTER = timedelta(seconds=1)
"""When a request that was rejected for lack of memory is worth repeating."""

FILE_DESCRIPTORS = 200
"""Descriptors of a process that are for files and libraries."""
CONNECTION_SHARE = 2 / 3
"""Share of the other descriptors that callers' connections may take. The rest is for streams to
targets, peers and the store, and for the other listeners."""
CONTROL_CONNECTION_SHARE = 1 / 6
"""Share of the other descriptors that connections to the other listeners may take together."""
MIN_CONNECTIONS = 16
"""Connections that are accepted whatever the limit of descriptors says."""
