"""The whole system on one machine: its real processes amid stand-ins for servers, clients and
operators.

Each machine has a loopback address of its own, so that ports are alike on all, as on the platform.
"""
