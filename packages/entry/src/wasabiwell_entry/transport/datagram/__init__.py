"""Datagrams between entry instances."""
