"""The operators' command of wasabiwell."""
