"""Costs and limits of target selection; costs are in prompt tokens of prefill."""

from datetime import timedelta

LOST_TARGET_BACKOFF = timedelta(seconds=2)
"""Time for which a lost target gets no requests."""
REMOTE_ZONE_PENALTY = 0.5
"""Added to the outstanding requests of plain targets in other zones when targets are compared."""
MAX_REPORT_AGE = timedelta(milliseconds=750)
"""Maximum age of a load report at its arrival; engines refresh reports every 500 ms."""
SILENCE_TIMEOUT = timedelta(seconds=2)
"""An engine without a report for this long is chosen only when no other one is left."""
SILENCE_COST = 1_000_000
REMOTE_ZONE_COST = 100
"""A round trip of 2 ms, with 40,000 tokens prefilled per second."""
PREFILL_TOKENS_PER_SECOND = 40_000
"""Prefill speed assumed for requests that were sent to an engine since its last report."""
OCCUPIED_SLOT_COST = 500
"""Cost of each sequence that is batched in the steps of the engine."""
LONG_BACKLOG_TOKENS = 8_000
"""A larger prefill backlog contains a prompt that is not short."""
LONG_BACKLOG_COST = 6_000
"""A long prefill is processed in chunks of 2,048 tokens, and a short prompt waits for several."""
PREFIX_BLOCK_TOKENS = 1_024
"""Size of the blocks that `GenerateRequest.prefix_hashes` identifies."""
MAX_CANDIDATES = 8
"""Engines tried for one request before it waits for free capacity."""
LONG_PREFILL_SHARE = 1 / 3
"""Share of a service's engines that process long prompts at the same time, at least one engine.

A long prefill makes each step of its engine four times as long, so short prompts need engines
without one. Long prompts have deadlines of minutes and can wait.
"""
MAX_LONG_WAIT_SHARE = 0.25
"""Share of the time to its deadline for which a long prompt waits for one of these engines."""
MAX_COMPARED_ENGINES = 64
"""Engines compared for one request; comparing 1,500 takes 13 ms of CPU time."""
