"""Finds requests that crash targets, and refuses them.

The platform's instances use `crashes` alone; this file imports nothing, as a start of a process
takes seconds on a slow machine.
"""
