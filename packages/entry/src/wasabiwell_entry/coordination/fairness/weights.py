"""Weighted fair shares, as the fair queue and fair sharing between organisations compute them."""

from collections.abc import Iterable


def start_tag(virtual_time: float, last_finish_tag: float) -> float:
    """Return the start tag of a request after the organisation's previous one."""
    return max(virtual_time, last_finish_tag)


def finish_tag(start: float, cost: float, weight: float) -> float:
    """Return the finish tag of a request with a start tag."""
    return start + cost / weight


def inverse_share(weight: float, weights: Iterable[float]) -> float:
    """Return the ratio of all weights, among them the given one, to that weight."""
    return sum(weights) / weight
