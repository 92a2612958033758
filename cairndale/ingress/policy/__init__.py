"""Every decision of the ingress: admission, server selection, the life of a request. No I/O, no
clock."""
