"""Constants of the budget of repeated sends."""

BUCKETS_PER_WINDOW = 10
"""Parts of the window in which requests and repeats are counted."""
USABLE_FRACTION = 0.8
"""Part of the budget that is used: what other instances sent in the last state's interval is not
known here."""
