"""Metrics in the text format of Prometheus."""
