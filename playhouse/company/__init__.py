"""Which ingresses there are, by the leases that they hold."""
