"""Emulator of the users' platform: store, targets and callers.

It implements the part of the platform's published interfaces that wasabiwell uses.
"""
