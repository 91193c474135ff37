"""Subcommands, one per module."""
