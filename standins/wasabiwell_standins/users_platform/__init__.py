"""Stand-in of the users' platform: its store, its engines and its callers.

It is an emulator of this project: it follows the platform's published pages as far as wasabiwell
uses them.
"""
