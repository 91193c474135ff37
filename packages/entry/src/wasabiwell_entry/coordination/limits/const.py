"""Constants of limits."""

from datetime import timedelta

SHARE_LIFETIME = timedelta(seconds=15)
RENEW_INTERVAL = timedelta(seconds=5)
"""Shares are renewed in one message for each owner, so the interval bounds the control traffic."""
IDLE_TIMEOUT = timedelta(seconds=30)
"""An organisation without requests for this long is no longer renewed."""
BURST_PERIOD = timedelta(seconds=1)
"""Unused rate that is kept, as the time in which it accrues."""
MIN_DEMAND_FRACTION = 0.25
"""Smallest demand counted for each member, as a part of the even share.

It leaves a share for members that have not asked yet. A smaller floor lets one busy entry use more
of the limit and makes a new one start more slowly.
"""
SHARE_REQUEST_INTERVAL = timedelta(seconds=1)
"""A holder whose share is used up asks for more at most this often."""
