"""Connections to the platform's services."""
