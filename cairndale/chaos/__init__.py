"""Fault injection into the whole system on one machine: real processes, and stand-ins for servers,
clients and operators.

Each simulated machine has its own loopback address, so that all use the same ports, as on the
platform.
"""
