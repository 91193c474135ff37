"""HTTP server for callers and operators."""
