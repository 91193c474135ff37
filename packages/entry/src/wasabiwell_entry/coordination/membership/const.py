"""Constants of membership."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
