"""The host of real programs: processes on loopback, stand-ins around them, a load that waits for
nobody."""
