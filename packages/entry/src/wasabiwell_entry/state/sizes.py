"""Size classes of prompts."""

import enum

SHORT_PROMPT_TOKENS = 8_000
LONG_PROMPT_TOKENS = 100_000


class SizeClass(enum.Enum):
    """Class of a prompt by its length in tokens."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"


def size_class(prompt_tokens: int) -> SizeClass:
    """Return the size class of a prompt of that many tokens."""
    if prompt_tokens < SHORT_PROMPT_TOKENS:
        return SizeClass.SHORT
    if prompt_tokens < LONG_PROMPT_TOKENS:
        return SizeClass.MEDIUM
    return SizeClass.LONG
