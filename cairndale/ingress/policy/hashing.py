"""Numbers that are the same at every ingress without being agreed on. Types: interface.py."""

from __future__ import annotations

MULTIPLIER = 0x9E3779B97F4A7C15  # odd, 64 bits, the golden ratio's: spreads neighbouring numbers
MASK = (1 << 64) - 1


def mix(number: int) -> int:
    """A 64-bit mix of a number (as the finalizer of splitmix64 does it)."""
    for shift in (30, 27, 31):
        number = (number ^ (number >> shift)) * MULTIPLIER & MASK
    return number


def counter_name(customer: int, window: int) -> int:
    """The name under which the counter keeps a customer's units of one window."""
    return mix(customer * MULTIPLIER + window)
