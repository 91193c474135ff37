"""Exchanges placements, target verdicts and states with the other entry instances."""

from wasabiwell_entry.coordination.exchange.coordinator import ExchangeCoordinator

__all__ = ["ExchangeCoordinator"]
