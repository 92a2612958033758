"""The operators' client: one command line for the calls of the control ingresses."""
