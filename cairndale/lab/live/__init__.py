"""The host of real programs: processes on loopback, stand-ins around them, and an open-loop
load."""
