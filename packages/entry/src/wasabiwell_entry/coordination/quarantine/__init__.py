"""Detects requests that crash targets, and refuses them.

The platform's instances import only `crashes`. This module imports nothing, because imports can
slow a process start by seconds on a slow machine.
"""
