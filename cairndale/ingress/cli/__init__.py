"""The front door: one command line, a configuration for people. `run` on the platform imports none
of it."""
