"""Limits of a configuration."""

from datetime import timedelta

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
KEY_HASH_PATTERN = r"[0-9a-f]{64}"
METHOD_PATTERN = r"[A-Z]{1,16}"
MAX_PROMPT_TOKENS = 1_000_000
MAX_WEIGHT = 1000.0
MAX_DEADLINE = timedelta(hours=2)
SMALLEST_REQUEST_TOKENS = 1_000
"""Tokens of the smallest prompt that the system is sized for."""
FASTEST_PREFILL_TOKENS_PER_SECOND = 50_000
"""Prompt tokens a second that no engine exceeds; it bounds deadlines from below."""
CLASS_FLOOR_TOKENS = {"short": SMALLEST_REQUEST_TOKENS, "medium": 8_000, "long": 100_000}
"""Smallest prompt of each size class, in tokens."""
