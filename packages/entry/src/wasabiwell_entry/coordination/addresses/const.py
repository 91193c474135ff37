"""Durations and bounds of address lists."""

from datetime import timedelta

DEFAULT_ADDRESS_TTL = timedelta(seconds=10)
"""Time for which callers cache an address list; a leaving instance serves at least that long."""
MIN_ADDRESSES = 8
"""Fewest addresses in a response of a large fleet, so that the loss of some does no harm."""
ROTATION_PERIOD = timedelta(seconds=60)
"""Time in which each address has been named for the part that its capacity gives it. Callers query
every 2 s or more and so see a few changes from one response to the next."""
MAX_HASH = 2**64

MILLICORES_PER_CORE = 1000
MILLICORES_PER_MBPS = 100
"""Processor time that uses up 1 Mbit/s, by calculation: 0.44 ms for each relayed event
(docs/CAPACITY.md) of about 500 bytes are 9 Mbit/s at a full core."""
PROCESS_MEMORY_MB = 48
"""Memory of a process without load, with a margin over the 38 MB that were measured."""
MILLICORES_PER_MB = 10
"""Processor time for which 1 MB of buffers is enough: 600 open requests with 160 kB each at a full
core, by calculation."""

CAPACITY_SAMPLE_INTERVAL = timedelta(seconds=1)
CAPACITY_HALF_LIFE = timedelta(seconds=3)
"""Time in which the advertised capacity gets half as far from what the load of the moment suggests.
Callers keep an address for 2 to 6 s, so a faster change would move them to and fro."""
MAX_COUNTED_SAMPLE = timedelta(seconds=2)
"""Longest time for which one sample counts, as after a pause of the process."""
OVERLOAD_THRESHOLD = 0.85
"""Occupancy of a resource above which an instance advertises less than its full capacity."""
MIN_CAPACITY_FACTOR = 0.25
"""Lowest advertised part of the capacity: an instance that is overloaded together with others has
to keep a part of the callers."""
FULL_CAPACITY_FACTOR = 0.99
"""Part of the capacity above which all of it is advertised, so that equal instances are equal."""
LOWERED_CAPACITY_FACTOR = 0.75
"""Part of the capacity below which its reduction is logged."""
