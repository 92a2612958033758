"""Operators' command-line client of the control API."""
