"""Models of the ingresses' environment: clients, servers, network, discovery and counter.

The models are pure: the present time is an argument. No clock, no I/O; times are microseconds.
"""
