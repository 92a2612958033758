"""Membership: which ingresses there are, who has failed, and which side may act for the fleet."""
