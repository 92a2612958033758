"""The leader's duty: what it settles for all under its lease, and stops settling before that
ends."""
