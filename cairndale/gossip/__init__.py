"""Membership protocol: which ingresses belong to the fleet, which of them have failed, and which
side of a network partition may act for the fleet."""
