"""Constants of the knowledge of targets."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
LOAD_INTERVAL = timedelta(milliseconds=500)
