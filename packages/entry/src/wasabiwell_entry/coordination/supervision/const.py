"""Pauses before a failed background task is started again."""

from datetime import timedelta

MIN_RESTART_PAUSE = timedelta(milliseconds=100)
"""Pause after a first failure; peers wait longer than this for a state."""
MAX_RESTART_PAUSE = timedelta(seconds=5)
SOUND_DURATION = timedelta(seconds=30)
"""A task that has run this long counts as sound: its next failure is a first one again."""
