"""HTTP clients of targets."""
