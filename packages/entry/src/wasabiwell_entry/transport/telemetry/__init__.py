"""Metrics and traces."""
