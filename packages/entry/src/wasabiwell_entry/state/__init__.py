"""Data of an entry instance and the rules for changing it; no input or output."""
