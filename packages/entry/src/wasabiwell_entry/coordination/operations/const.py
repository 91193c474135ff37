"""Constants of the operators' interface."""

HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 1000
