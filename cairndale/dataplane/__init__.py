"""The data plane: the serving ingress, configured by the leader of the control plane."""
