"""OpenTelemetry metrics and traces."""
