"""Decisions of an entry instance, apart from the encoding of messages."""
