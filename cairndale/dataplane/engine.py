"""Incremental reconfiguration of the ingress's policy and engine.

There are as many plans as tenants. Rebuilding all settings on each change would take time linear in
the number of tenants, and searching the plan of each account would take quadratic time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol, TypeVar

from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.ingress.net.engine import Engine
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy


class Named(Protocol):
    """An item whose name keeps its number: a request class or a plan."""

    @property
    def name(self) -> str:
        """The name, unique among items of its kind."""


NamedT = TypeVar("NamedT", bound=Named)


class ReconfigurablePolicy(RequestPolicy):
    """The request policy, whose accounts find their plans by number."""

    plan_number: Callable[[str], int]  # a plan's number by its name; numbers never change

    @property
    def selector(self) -> EndpointSelector:
        """The endpoint pool. Raises TypeError if the policy was created with another kind."""
        if not isinstance(self.pool, EndpointSelector):
            raise TypeError(f"expected an EndpointSelector, got {self.pool!r}")
        return self.pool

    def apply_settings(self, settings: it.Settings) -> None:
        """Use these settings from now on; each account switches to its plan's new definition."""
        accounts, self.accounts = self.accounts, {}  # the base class would search each one's plan
        super().apply_settings(settings)
        self.accounts = accounts
        for account in accounts.values():
            account.apply_plan(settings.plans[self.plan_number(account.plan.name)])


class ReconfigurableEngine(Engine):
    """The ingress engine, whose classes and plans can be changed individually.

    A class or plan keeps its number for the life of the process, even after it has been removed
    from the configuration: the route table decides which names requests may use.
    """

    def update_classes_and_plans(
        self, fleet_size: int, classes: Iterable[it.RequestClass], plans: Iterable[it.Plan]
    ) -> None:
        """Replace the classes and plans of the same names, and append new ones.

        Others stay as they are. The policy is notified only if something has changed.
        """
        before = self.settings
        settings = replace(
            before,
            fleet_size=fleet_size,
            classes=_merge_by_name(self.names.classes, before.classes, classes),
            plans=_merge_by_name(self.names.plans, before.plans, plans),
        )
        if (
            settings.classes is before.classes
            and settings.plans is before.plans
            and fleet_size == before.fleet_size
        ):
            return
        self.settings, self.names.fleet_size = settings, fleet_size
        self._post(it.SettingsChanged(settings))

    def plan_number_of(self, name: str) -> int:
        """Return the plan's number. Raises KeyError for a name that was never configured."""
        return self.names.plans[name.encode()]


def _merge_by_name(
    positions: dict[bytes, int], before: tuple[NamedT, ...], items: Iterable[NamedT]
) -> tuple[NamedT, ...]:
    """Return `before` with the items merged in, or `before` itself if nothing differs.

    The positions of new items are added to `positions`.
    """
    after: list[NamedT] | None = None
    for item in items:
        number = positions.get(item.name.encode(), len(after or before))
        if number < len(after or before) and (after or before)[number] == item:
            continue
        after = after if after is not None else list(before)
        if number == len(after):
            after.append(item)
            positions[item.name.encode()] = number
        else:
            after[number] = item
    return before if after is None else tuple(after)
