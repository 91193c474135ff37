"""Leases of engine capacity between entry instances."""
