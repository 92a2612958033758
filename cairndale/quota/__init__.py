"""The counter of tenants' units, and other shares of what is bounded over all ingresses."""
