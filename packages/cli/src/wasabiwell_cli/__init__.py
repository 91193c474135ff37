"""Command line interface for operators of wasabiwell."""
