"""Metrics and structured logs, loaded only if the configuration enables them."""
