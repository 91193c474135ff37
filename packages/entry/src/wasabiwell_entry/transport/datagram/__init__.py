"""UDP messages between entry instances."""
