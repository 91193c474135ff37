"""Server for callers and operators."""
