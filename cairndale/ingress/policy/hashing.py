"""Hashes that are equal at every ingress without coordination. Types: interface.py."""

from __future__ import annotations

# 2**64 divided by the golden ratio, made odd: spreads neighbouring numbers (Fibonacci hashing).
MULTIPLIER = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


def mix(number: int) -> int:
    """Mixes a number's bits into 64 bits, in the manner of splitmix64's finalizer."""
    for shift in (30, 27, 31):
        number = (number ^ (number >> shift)) * MULTIPLIER & MASK
    return number


def counter_name(customer: int, window: int) -> int:
    """Returns the name of the counter's total for one customer and window."""
    return mix(customer * MULTIPLIER + window)
