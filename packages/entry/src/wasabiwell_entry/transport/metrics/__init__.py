"""Metrics in the Prometheus text format."""
