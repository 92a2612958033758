"""The ingress's policy and engine, reconfigured by what has changed alone.

There are as many plans as tenants: to build all settings anew, or to search the plan of each
account, would cost a change the number of tenants, or its square.
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
    """What has a name by which it keeps its number: a request class or a plan."""

    @property
    def name(self) -> str:
        """The name, unique among its kind."""


NamedT = TypeVar("NamedT", bound=Named)


class ReconfigurablePolicy(RequestPolicy):
    """The request policy, whose accounts find their plans by number."""

    plan_number: Callable[[str], int]  # a plan's number by its name; numbers are kept for good

    @property
    def selector(self) -> EndpointSelector:
        """The endpoint pool. Raises TypeError if the policy was made with one of another kind."""
        if not isinstance(self.pool, EndpointSelector):
            raise TypeError(f"no EndpointSelector: {self.pool!r}")
        return self.pool

    def apply_settings(self, settings: it.Settings) -> None:
        """Take other settings from now on; each account goes on with its plan's new form."""
        accounts, self.accounts = self.accounts, {}  # the base class would search a plan for each
        super().apply_settings(settings)
        self.accounts = accounts
        for account in accounts.values():
            account.apply_plan(settings.plans[self.plan_number(account.plan.name)])


class ReconfigurableEngine(Engine):
    """The ingress engine, whose classes and plans change one by one.

    The name of a class or plan keeps its number for good, also once the configuration has it no
    longer: which names requests may carry is decided by the route table.
    """

    def adjust(
        self, fleet_size: int, classes: Iterable[it.RequestClass], plans: Iterable[it.Plan]
    ) -> None:
        """Put these classes and plans in the place of those of the same names, or behind all.

        Others stay as they are. Without any difference the policy is not told.
        """
        before = self.settings
        settings = replace(
            before,
            fleet_size=fleet_size,
            classes=_put(self.names.classes, before.classes, classes),
            plans=_put(self.names.plans, before.plans, plans),
        )
        if (
            settings.classes is before.classes
            and settings.plans is before.plans
            and fleet_size == before.fleet_size
        ):
            return
        self.settings, self.names.gateways = settings, fleet_size
        self._post(it.SettingsChanged(settings))

    def number_of_plan(self, name: str) -> int:
        """Return the plan's number. Raises KeyError for a name that no configuration has had."""
        return self.names.plans[name.encode()]


def _put(
    numbers: dict[bytes, int], before: tuple[NamedT, ...], items: Iterable[NamedT]
) -> tuple[NamedT, ...]:
    """Return `before` with the items put in, the same object where nothing differs.

    `numbers` gets the places of those that are new.
    """
    after: list[NamedT] | None = None
    for item in items:
        number = numbers.get(item.name.encode(), len(after or before))
        if number < len(after or before) and (after or before)[number] == item:
            continue
        after = after if after is not None else list(before)
        if number == len(after):
            after.append(item)
            numbers[item.name.encode()] = number
        else:
            after[number] = item
    return before if after is None else tuple(after)
