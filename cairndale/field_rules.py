"""Objects of a JSON body held against rules, every error at once, each with its path.

Rules are predicates: a schema composed of others takes ten times as long, which the thousands of
routes of a large configuration add up to seconds at a small core machine."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from schema import Optional, Schema, SchemaError

from cairndale.settings import parse_duration

Rules = dict[
    Any, Any
]  # as Schema takes them: names, or Optional names; Optional(str): any other name


def is_time(value: object) -> bool:
    parse_duration(value)
    return True


def is_text(value: object) -> bool:
    return isinstance(value, str) and value != ""


def is_whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_number(value: object) -> bool:
    return (
        isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < float("inf")
    )


def is_truth(value: object) -> bool:
    return isinstance(value, bool)


def list_of(rule: Callable[[object], bool], least: int = 0) -> Callable[[object], bool]:
    return lambda value: isinstance(value, list) and len(value) >= least and all(map(rule, value))


def one_of(*words: str) -> Callable[[object], bool]:
    return lambda value: isinstance(value, str) and value in words


NO_TIME = "is no time such as 1500ms or 2.5s"


class Fields:
    """What stands in one kind of object. `wanted`: what is told of a field that is not as it should
    be."""

    def __init__(self, rules: Rules, wanted: Mapping[str, str]) -> None:
        self._rules, self._wanted = dict[str, Schema](), wanted
        self._needed, self._others = set[str](), False
        for key, rule in rules.items():
            name = key.schema if isinstance(key, Optional) else key
            if isinstance(name, str):
                self._rules[name] = Schema(rule)
                self._needed |= set() if isinstance(key, Optional) else {name}
            else:
                self._others = True

    def errors(self, at: str, item: Any) -> list[str]:
        """A schema of the whole object would hold each name against each rule: seven times as long
        again."""
        if not isinstance(item, dict):
            return [f"{at}: is no object"]
        errors = []
        for name, rule in self._rules.items():
            if name not in item:
                errors += [f"{at}.{name}: is missing"] if name in self._needed else []
                continue
            try:
                rule.validate(item[name])
            except SchemaError:
                told = self._wanted.get(name, "is not what stands there")
                errors.append(f"{at}.{name}: {item[name]!r} {told}")
        if not self._others:
            errors += [f"{at}.{name}: is not known" for name in item if name not in self._rules]
        return errors
