"""Stand-ins for external systems, used by tests, measurements and demonstrations."""
