"""Metrics and structured logs, loaded only where the configuration wants them."""
