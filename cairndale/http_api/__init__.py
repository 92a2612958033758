"""Calls of servers and operators: a tree of matchers, and the doors they come through."""
