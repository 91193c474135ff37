"""Connections between entry instances."""
