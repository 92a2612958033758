"""The data plane: the ingress in service, as the leader of the control plane configures it."""
