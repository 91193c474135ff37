"""Default and maximum number of versions in a response with the configuration history."""

HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 1000
