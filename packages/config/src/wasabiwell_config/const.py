"""Limits that a configuration has to keep."""

from datetime import timedelta

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
KEY_HASH_PATTERN = r"[0-9a-f]{64}"
METHOD_PATTERN = r"[A-Z]{1,16}"
MAX_PROMPT_TOKENS = 1_000_000
MAX_WEIGHT = 1000.0
MAX_DEADLINE = timedelta(hours=2)
MIN_REQUEST_TOKENS = 1_000
"""Smallest prompt that the system is sized for."""
MAX_PREFILL_TOKENS_PER_SECOND = 50_000
"""Upper bound for the prefill rate of any engine; gives the shortest deadline that can be met."""
MIN_TOKENS_BY_SIZE_CLASS = {"short": MIN_REQUEST_TOKENS, "medium": 8_000, "long": 100_000}
"""Lower bound of each size class."""
