"""Constants of configuration versions."""

from datetime import timedelta

HEAD_KEY = "config/head"
DELTA_PREFIX = "config/delta/"
POLL_INTERVAL = timedelta(seconds=2)
