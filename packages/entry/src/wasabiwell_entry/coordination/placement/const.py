"""Constants of placing requests."""

from datetime import timedelta

LATE_FROM = 0.8
"""Part of an allowed time from which a prediction counts as possibly late.

Predictions leave out the rest of the engine's current pass, which is up to a tenth of the shortest
allowed time of the users.
"""
LATE_AT = 1.05
"""Part of an allowed time from which a prediction counts as certainly late."""
MAX_HELPERS = 16
"""Engines refuse longer lists of helpers."""
SPLIT_SECONDS = 0.1
"""A prompt is split only when one engine reads longer: half of the shortest allowed pause."""
ENGINE_COST = 0.0004
"""Cost of each engine more that reads a prompt, in parts of the request's value.

It keeps a split from using engines that hardly make it faster.
"""
WAIT_COST = 0.05
"""Cost of the predicted wait, in parts of the value for the whole objective.

It decides between targets that would all answer in time.
"""
EMPTY_ENGINE_COST = 0.02
"""Cost of placing a short prompt on an engine without one, in parts of its value.

Long prompts find more engines whose pauses disturb nobody when short ones share few engines.
"""
LAST_SLOT_COSTS = (0.06, 0.01)
"""Costs of taking the last slot of an engine, and the last but one, in parts of the value.

Another instance may take the same slot at the same time; the second one then waits for an end.
"""
FULL_COST = 0.3
"""Cost of an engine all of whose slots are taken, in parts of the value, for each waiting one."""
SPREAD_COST = 0.004
"""Bound of a random cost, in parts of the value, so that instances that place at the same time
choose different ones of equal engines."""
REMOTE_ZONE_COST = 0.002
"""Cost of a target in another zone, in parts of the value; it decides between equal targets."""
CROSS_ZONE_SHARE = 0.1
"""Where zones place requests among themselves, the part of a request's value that the own zone may
cost before all zones are compared. A way in time costs less than this, a late one 0.75."""
NO_MEMORY_COST = 1.0
"""Cost of an engine without enough free memory, in parts of the value: the request would wait for
the end of another one there."""
NEVER_FITS_COST = 100.0
"""Cost of engines that could not take the prompt even without other work, in parts of its value:
they refuse it, so any other way is better."""
FAILURE_COST = 2.0
"""Cost of the recent share of failures of a target, in parts of the value."""
MEMORY_SHARE = 0.98
"""Part of an engine's memory that is planned with; engines count memory in whole blocks."""
MAX_HOLDERS = 8
"""Engines that keep parts of one prompt; the longest prompts of the users need three."""
MIN_WRITE_SECONDS = 0.1
"""Least time that a usual answer is taken to last, for services that state no usual length."""
PACE_PAUSES = 3
"""Pauses of a stream of which the shortest one tells how fast its engine writes."""
PACE_CHANGE = 1.3
"""Ratio by which an engine's pace must have changed for the other instances to be told."""
MAX_COMPARED = 64
"""Targets compared for one request, so that the time to choose is bounded in a large fleet."""
SHORT_URGENCY_GAP = timedelta(milliseconds=250)
"""Requests that allow no longer pause go first at an engine."""
URGENCY_SHORT = 1
URGENCY_LONG = 5
URGENCY_RESUMED = 0
"""Urgencies from 0, first, to 9. A resumed stream has a caller who waits for its next event."""
NO_TARGET_RETRY_AFTER = timedelta(milliseconds=300)
"""Engines come back within seconds; callers have one more try within a third of their time."""
