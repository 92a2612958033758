"""The list service: versions of the server list, kept durably, served to watches, followed by
replicas."""
