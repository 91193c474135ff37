"""Constants of the operators' API."""

HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 1000
