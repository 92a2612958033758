"""Rules for the fields of JSON objects; all errors are reported at once, each with its path.

Rules are predicates on single values. Composed schemas take ten times as long, which adds up to
seconds for the thousands of routes of a large configuration on a small machine.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from schema import Optional, Schema, SchemaError

from cairndale.settings import parse_duration

Predicate = Callable[[object], bool]
# In the form of `Schema`: by name, or Optional name; Optional(str) allows any other name.
Rules = Mapping[Any, Any]

NOT_A_DURATION = "is no time such as 1500ms or 2.5s"
UNEXPECTED_VALUE = "is not what stands there"


def is_duration(value: object) -> bool:
    """Whether it is a duration such as `1500ms`. Raises ValueError for anything else."""
    parse_duration(value)
    return True


def is_text(value: object) -> bool:
    """Whether it is a non-empty string."""
    return isinstance(value, str) and value != ""


def is_string(value: object) -> bool:
    """Whether it is a string, possibly empty."""
    return isinstance(value, str)


def is_count(value: object) -> bool:
    """Whether it is an integer of at least 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_number(value: object) -> bool:
    """Whether it is a finite number of at least 0."""
    return (
        isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < float("inf")
    )


def is_bool(value: object) -> bool:
    """Whether it is `true` or `false`."""
    return isinstance(value, bool)


def list_of(predicate: Predicate) -> Predicate:
    """Return a predicate for lists whose items all satisfy `predicate`."""
    return lambda value: isinstance(value, list) and all(map(predicate, value))


def one_of(*words: str) -> Predicate:
    """Return a predicate for one of these strings."""
    return lambda value: isinstance(value, str) and value in words


class ObjectRules:
    """The rules for one kind of object.

    `expectations`: by field, the text that describes an invalid value in an error message.
    """

    def __init__(self, rules: Rules, expectations: Mapping[str, str]) -> None:
        self._expectations = expectations
        self._rules: dict[str, Schema] = {}
        self._required: set[str] = set()
        self._allows_others = False
        for key, rule in rules.items():
            is_optional = isinstance(key, Optional)
            name = key.schema if is_optional else key
            if not isinstance(name, str):
                self._allows_others = True
                continue
            self._rules[name] = Schema(rule)
            if not is_optional:
                self._required.add(name)

    def errors(self, path: str, item: Any) -> list[str]:
        """Return all errors of an object at this path.

        Each field has a schema of its own: a schema of the entire object would compare each name
        with each rule, which takes seven times as long.
        """
        if not isinstance(item, dict):
            return [f"{path}: is no object"]
        errors: list[str] = []
        for name, rule in self._rules.items():
            if name in item:
                errors += self._value_errors(path, name, rule, item[name])
            elif name in self._required:
                errors.append(f"{path}.{name}: is missing")
        if not self._allows_others:
            errors += [f"{path}.{name}: is not known" for name in item if name not in self._rules]
        return errors

    def _value_errors(self, path: str, name: str, rule: Schema, value: Any) -> list[str]:
        try:
            rule.validate(value)
        except SchemaError:
            expectation = self._expectations.get(name, UNEXPECTED_VALUE)
            return [f"{path}.{name}: {value!r} {expectation}"]
        return []
