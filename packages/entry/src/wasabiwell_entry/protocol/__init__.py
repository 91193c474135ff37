"""Encoding and decoding of messages."""
