"""Costs, thresholds and urgencies by which requests are placed.

A cost is a ratio of the value of the request that is placed, unless stated otherwise.
"""

from datetime import timedelta

POSSIBLY_LATE_RATIO = 0.8
"""Ratio of predicted to allowed time from which a request counts as possibly late.

Predictions leave out the rest of the current engine iteration, which is up to a tenth of the
shortest time that the users' routes allow.
"""
CERTAINLY_LATE_RATIO = 1.05
"""Ratio of predicted to allowed time from which a request counts as certainly late."""
MAX_HELPERS = 16
"""Engines reject longer lists of helpers."""
MIN_SPLIT_PREFILL_SECONDS = 0.1
"""A prompt is split only when its prefill on one engine takes longer; half of the shortest pause
between events that a route allows."""
EXTRA_ENGINE_COST = 0.0004
"""Cost of each additional engine that takes part in a prefill.

It keeps a split from using engines that hardly make it faster.
"""
LATENCY_COST = 0.05
"""Cost of a predicted latency as long as the objective; it decides between targets that would all
respond in time."""
NO_SHORT_PROMPT_COST = 0.02
"""Cost of placing a short prompt on an engine that has no short prompt yet.

Packing short prompts on few engines leaves more engines on which a long prefill delays no stream.
"""
LAST_SLOT_COSTS = (0.06, 0.01)
"""Costs of taking the last slot of an engine, and the last but one.

Another instance may take the same slot at the same time; the second request then waits until a
slot becomes free.
"""
QUEUED_REQUEST_COST = 0.3
"""Cost of an engine without a free slot, for each request that waits for one."""
MAX_JITTER_COST = 0.004
"""Upper bound of a random cost, so that instances that place at the same time choose different
ones of equal engines."""
REMOTE_ZONE_COST = 0.002
"""Cost of a target in another zone; it decides between otherwise equal targets."""
CROSS_ZONE_COST_THRESHOLD = 0.1
"""In fleets where each zone places requests on its own targets first, the cost of the best local
candidate above which all zones are compared. A candidate that responds in time costs less, a late
one costs 0.75."""
NO_MEMORY_COST = 1.0
"""Cost of an engine without enough free memory, where the request would wait until another one
ends."""
NEVER_FITS_COST = 100.0
"""Cost of engines whose memory is too small for the prompt even when they are idle: they reject
it, so any other candidate is better."""
FAILURE_RATE_COST = 2.0
"""Cost of a target of which all recent requests failed; it falls in proportion to the rate."""
USABLE_MEMORY_RATIO = 0.98
"""Part of an engine's memory that placement uses; engines allocate memory in whole blocks."""
MAX_CACHE_HELPERS = 8
"""Helpers that keep KV cache of one prompt; the users' longest prompts need three."""
MIN_DECODE_SECONDS = 0.1
"""Lower bound of the usual decode time, for services that configure no usual output length."""
GAPS_PER_SLOWDOWN_SAMPLE = 3
"""Gaps between events of a stream of which the shortest one is a sample of the engine's speed."""
SLOWDOWN_NOTICE_RATIO = 1.3
"""Ratio by which an engine's slowdown must change before the other instances are notified."""
MAX_COMPARED_TARGETS = 64
"""Targets compared for one request; it bounds the placement time in a large fleet."""
SHORT_URGENCY_GAP = timedelta(milliseconds=250)
"""Requests whose route allows no longer pause between events go first at an engine."""
URGENCY_SHORT = 1
URGENCY_LONG = 5
URGENCY_RESUMED = 0
"""Urgencies range from 0, served first, to 9. The caller of a resumed stream is already waiting for
its next event."""
SUSPECT_TARGETS_SHARE = 0.25
"""Least loaded share of the targets on which suspected requests are placed. More targets keep
suspected requests apart, fewer keep them away from other requests."""
NO_TARGET_RETRY_AFTER = timedelta(milliseconds=300)
"""Engines recover within seconds; callers can retry once within a third of their time limit."""
EVACUATED_RETRY_AFTER = timedelta(seconds=2)
"""Time after which callers of a service without a zone in service may send a request again. Nothing
tells the end of an evacuation; operators end one within seconds to minutes."""
RETRY_AFTER_SPREAD = 0.25
"""Part by which `Retry-After` of pauses and evacuations is extended at random, so that the callers
do not return together."""
