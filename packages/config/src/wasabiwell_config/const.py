"""Limits of a configuration."""

from datetime import timedelta

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
KEY_HASH_PATTERN = r"[0-9a-f]{64}"
MAX_PROMPT_TOKENS = 1_000_000
MAX_WEIGHT = 1000.0
MAX_DEADLINE = timedelta(hours=2)
