"""Deterministic completions of the engine stand-ins, which let callers verify responses."""

import xxhash

TOKEN_HEX_CHARS = 6


def completion_token(messages: bytes, index: int) -> str:
    """Return the token at an index of the completion of a prompt."""
    seed = xxhash.xxh3_64_intdigest(messages)
    return token_for_seed(seed, index)


def token_for_seed(seed: int, index: int) -> str:
    """Return the token at an index of the completion; `seed` is the hash of the prompt."""
    mixed = (seed * 0x9E3779B97F4A7C15 + index * 0xC2B2AE3D27D4EB4F) & 0xFFFFFFFFFFFFFFFF
    return f"{mixed >> 40:0{TOKEN_HEX_CHARS}x} "


def expected_completion(messages: bytes, max_tokens: int) -> str:
    """Return the full completion of a prompt; `messages` is the JSON exactly as sent."""
    seed = xxhash.xxh3_64_intdigest(messages)
    return "".join(token_for_seed(seed, index) for index in range(max_tokens))
