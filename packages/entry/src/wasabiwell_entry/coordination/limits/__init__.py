"""Limits of organisations, shared over entry instances."""
