"""Constants of choosing a target; costs are in prompt tokens that an engine has to process."""

from datetime import timedelta

LOST_TARGET_PAUSE = timedelta(seconds=2)
"""A target that was lost gets no request for this long."""
REMOTE_ZONE_PENALTY = 0.5
"""Outstanding requests that a plain target in another zone counts more."""
REPORT_AGE = timedelta(milliseconds=750)
"""Age that a load report may have when it arrives; engines refresh it every 500 ms."""
SILENCE = timedelta(seconds=2)
"""An engine without a report for this long is chosen only when no other is left."""
SILENCE_COST = 1_000_000
REMOTE_ZONE_COST = 100
"""A round trip of 2 ms at 40,000 tokens/s."""
PREFILL_TOKENS_PER_SECOND = 40_000
"""Speed at which engines are assumed to work off what was sent to them since their report."""
SLOT_COST = 500
"""Cost of each sequence that shares the engine's steps."""
LONG_BACKLOG_TOKENS = 8_000
"""A prefill backlog above this contains a prompt that is not short."""
LONG_BACKLOG_COST = 6_000
"""Each step of a long prefill takes a chunk of 2,048 tokens; a short prompt meets several."""
PREFIX_BLOCK_TOKENS = 1_024
"""Tokens of one block of `GenerateRequest.prefix_hashes`."""
MAX_CANDIDATES = 8
"""Engines that are tried for one request before it waits for more capacity."""
LONG_PREFILL_SHARE = 1 / 3
"""Share of a service's engines that process long prompts at one time, at least one engine.

A long prefill makes each step of its engine four times as long, so short prompts need engines
without one. Longs have minutes until their deadlines and wait for their turn.
"""
LONG_WAIT_SHARE = 0.25
"""Part of its time to the deadline for which a long prompt waits for such a turn."""
MAX_COMPARED = 64
"""Engines compared for one request; comparing 1,500 takes 13 ms of processor time."""
