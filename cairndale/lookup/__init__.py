"""Lookup: which ingresses a client is sent to."""
