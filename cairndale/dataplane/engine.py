"""The engine and the module of `ironledge`, retuned by what changed alone: there are as many plans
as tenants."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol, TypeVar

from cairndale.ingress.net.engine import Engine
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import Gateway


class Named(Protocol):
    @property
    def name(self) -> str: ...


Kind = TypeVar("Kind", bound=Named)


class ReconfigurablePolicy(Gateway):
    numbers: Callable[[str], int]  # of plans, by name: for good

    def follow(self, settings: it.Settings) -> None:
        """Accounts find their plans by number: a search for each would take the square of the
        tenants."""
        accounts, self.accounts = self.accounts, {}
        super().follow(settings)
        self.accounts = accounts
        for account in accounts.values():
            account.follow(settings.plans[self.numbers(account.plan.name)])


class ReconfigurableEngine(Engine):
    """A name of a class or plan keeps its number for good, also while the configuration has it no
    longer: who may be named at all is that one's affair."""

    def adjust(
        self, fleet_size: int, classes: Iterable[it.RequestClass], plans: Iterable[it.Plan]
    ) -> None:
        """These in the place of those of the same names, or behind all; whatever else there is
        stands."""
        before = self.settings
        made = replace(
            before,
            fleet_size=fleet_size,
            classes=_put(self.names.classes, before.classes, classes),
            plans=_put(self.names.plans, before.plans, plans),
        )
        if (
            made.classes is before.classes
            and made.plans is before.plans
            and fleet_size == before.fleet_size
        ):
            return
        self.settings, self.names.gateways = made, fleet_size
        self._post(it.SettingsChanged(made))

    def number_of_plan(self, name: str) -> int:
        return self.names.plans[name.encode()]


def _put(
    numbers: dict[bytes, int], before: tuple[Kind, ...], items: Iterable[Kind]
) -> tuple[Kind, ...]:
    """The same object where nothing differs."""
    made: list[Kind] | None = None
    for item in items:
        number = numbers.get(item.name.encode(), len(made or before))
        if number < len(made or before) and (made or before)[number] == item:
            continue
        made = made if made is not None else list(before)
        if number == len(made):
            made.append(item)
            numbers[item.name.encode()] = number
        else:
            made[number] = item
    return before if made is None else tuple(made)
