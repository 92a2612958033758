"""The data plane: the ingress of `ironledge` in the system's dialect."""
