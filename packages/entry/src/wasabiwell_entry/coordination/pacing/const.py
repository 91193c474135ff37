"""Parameters of the cold limit and of the concurrency window."""

from datetime import timedelta

ARRIVAL_WINDOW_SECONDS = 1.0
"""Interval in which the arrivals at a cold target are counted; the requirement is for a second."""
IN_FLIGHT_SHARE = 0.5
"""Part of `cold_per_s` x (`cold_overage` - 1) that covers messages in flight between informed
instances. The rest is the refill of the uninformed ones, so that both stay in the bound."""
INFORMED_REFILL_FACTOR = 1.4
"""Refill of the buckets of all selected informed instances in relation to the rate of the target,
so that it is used although callers are spread unevenly. Together with the depth while a part of the
fleet is not heard, it stays in the default bound for the 1.7 s until a partition is noticed."""
MIN_HEARD_FRACTION = 0.5
"""An instance that hears from a smaller part of the peers that it knows counts as uninformed."""
FREQUENT_STATE_SECONDS = 2.0
"""A peer whose silence is noticed within this time sends its states frequently. In a large fleet
the others are silent for up to 15 s, so their silence does not show a partition in time."""
RING_LIFETIME_SECONDS = 0.25
"""Time for which the ring of instances is reused. Building one for 420 instances takes 0.5 ms, and
losses of peers are noticed after 1.7 s."""
INITIAL_WINDOW = 1.0
"""Requests that may be at a target when it begins to recover."""
IN_TIME_FACTOR = 1.5
"""A response is late if its first event takes longer than this multiple of the prediction, plus
`IN_TIME_MARGIN_SECONDS`."""
IN_TIME_MARGIN_SECONDS = 0.05
MESSAGE_SECONDS = 0.05
"""Time within which the other instances learn of a placement, with the delays of their event loops.
While less than one request of a service arrives within it, all informed instances may send to a
limited target: with few senders, each with few callers, a target would stay idle."""
SENDERS_PER_WINDOW = 1.0
"""Instances that send to a recovering target, for each request of its window. If all did, a window
of 1 would admit as many requests as instances place within the time of a message."""
UNUSED_WINDOW_SHARE = 0.5
"""Part of a window up to which requests at the target say nothing of a larger window. Without it
one request after the other raised the window to 8 on a target that sustained one at a time."""
SETTLING_SECONDS = 0.5
"""Time for which the window stays as large as the slots before a response in time ends a recovery,
so that late responses to requests that were placed before still count."""
LATE_FACTOR = 0.5
"""Factor of the window after a late response."""
MAX_SAMPLE_AGE_SECONDS = 10.0
"""Time without a sample after which a recovering target counts as steady."""
UNKNOWN_PREDICTION_SHARE = 0.5
"""Part of a route's objective that is the predicted response time of a plain service while none of
its targets has responded in steady state."""
MIN_PREDICTION_SECONDS = 0.02
"""Shortest predicted time whose ratio to the actual one is recorded."""
MAX_DELAY_RATIO = 4.0
"""Largest ratio of actual to predicted time that is recorded for targets in steady state, so that a
few stalls do not hide a slow target."""
RESPONSE_TIME_WEIGHT = 0.1
"""Weight of a new response in the moving average of a plain service's response time."""
RECOVERING_PREFERENCE = 0.03
"""Cost, as a ratio of the request's value, by which a recovering target with free capacity is
preferred for short requests. It exceeds the cost of an engine without a short prompt (0.02) and the
random cost, as no sample would arrive otherwise while other engines have free slots."""
MIN_COLD_RETRY_AFTER = timedelta(milliseconds=50)
"""Lower bound of `Retry-After` when the cold limit admits no target."""
LEFT_OUT_LOG_SECONDS = 1.0
"""Minimum time between two log lines about targets that the cold limit leaves out; there would be
one for each request otherwise."""
EXPIRY_SECONDS = 0.25
"""Minimum time between two passes over the cold and the recovering targets."""
MAX_EXAMINED_TARGETS = 64
"""Cold and recovering targets examined for one request, as many as placement compares. With
4,000 of 12,000 targets the decision took 70 to 150 ms otherwise."""
