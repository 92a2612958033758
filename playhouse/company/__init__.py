"""Membership of the ingresses, by the leases that they hold."""
