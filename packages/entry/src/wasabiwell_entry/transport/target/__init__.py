"""Connections to targets."""
