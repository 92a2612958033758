"""What stands around the gateways: events and `now` in, events out. No clock, no I/O; times are
microseconds."""
