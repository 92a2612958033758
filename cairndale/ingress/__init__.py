"""Decisions of an admission gateway for a service sold by plan."""

from cairndale.ingress.policy.engine import RequestPolicy

__all__ = ["RequestPolicy"]
