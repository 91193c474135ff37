"""Stand-ins for the systems around wasabiwell, for tests, measurements and demonstrations."""
