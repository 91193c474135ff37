"""The answers that stand-in engines give, so that a caller can check them."""

import xxhash

TOKEN_HEX_CHARS = 6


def completion_token(messages: bytes, index: int) -> str:
    """Return the token of that index in the answer to a prompt."""
    seed = xxhash.xxh3_64_intdigest(messages)
    return token_for_seed(seed, index)


def token_for_seed(seed: int, index: int) -> str:
    """Return the token of that index for a prompt with this hash."""
    mixed = (seed * 0x9E3779B97F4A7C15 + index * 0xC2B2AE3D27D4EB4F) & 0xFFFFFFFFFFFFFFFF
    return f"{mixed >> 40:0{TOKEN_HEX_CHARS}x} "


def expected_completion(messages: bytes, max_tokens: int) -> str:
    """Return the whole answer to a prompt; `messages` is its JSON as it was sent."""
    seed = xxhash.xxh3_64_intdigest(messages)
    return "".join(token_for_seed(seed, index) for index in range(max_tokens))
