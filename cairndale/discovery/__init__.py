"""The list service: a versioned registry of servers with leases, watches, followers and a
write-ahead log."""
