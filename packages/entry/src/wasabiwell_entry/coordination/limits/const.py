"""Lifetime and renewal of shares of organisation limits."""

from datetime import timedelta

SHARE_LIFETIME = timedelta(seconds=15)
RENEW_INTERVAL = timedelta(seconds=5)
"""Interval of share renewals, with one message per owner; bounds the control traffic."""
IDLE_TIMEOUT = timedelta(seconds=30)
"""Time without requests after which an organisation's shares are no longer renewed."""
BURST_PERIOD = timedelta(seconds=1)
"""Capacity of the token buckets, as the time in which it accrues."""
MIN_DEMAND_FRACTION = 0.25
"""Minimum demand that is assumed for each member, as a fraction of the equal share.

It reserves a share for members that have not requested one yet. With a smaller value, one busy
entry instance can use more of the limit, but a new one starts more slowly.
"""
SHARE_REQUEST_INTERVAL = timedelta(seconds=1)
"""Minimum time between share requests of a holder that has exhausted its share."""
