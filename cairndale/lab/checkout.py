"""Another checkout of this project beside this one: where its decision modules are, and how it is
started.

Checkouts from before the packages moved under `cairndale` have them in `ironledge/`; both layouts
are known, so that an experiment can compare today's decisions with those of any earlier commit."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType, ModuleType

POLICY_PACKAGE = "cairndale.ingress.policy"
# the oldest checkouts have all decisions in one module
OPTIONAL_MODULES = ("account", "endpoint_pool")


class CheckoutError(Exception):
    """A checkout lacks a module that is needed of it."""


@dataclass(frozen=True, slots=True)
class Layout:
    """Where one generation of the project keeps its ingress."""

    program: str  # what `python -m` starts
    root: str  # the package's folder
    modules: Mapping[str, str]  # a module's name in this checkout: its dotted name in the other one

    def path(self, checkout: Path, dotted: str) -> Path:
        return checkout / (dotted.replace(".", "/") + ".py")


CURRENT = Layout(
    "cairndale.ingress",
    "cairndale",
    MappingProxyType(
        {
            f"{POLICY_PACKAGE}.interface": f"{POLICY_PACKAGE}.interface",
            f"{POLICY_PACKAGE}.hashing": f"{POLICY_PACKAGE}.hashing",
            f"{POLICY_PACKAGE}.borrowing_ring": f"{POLICY_PACKAGE}.borrowing_ring",
            f"{POLICY_PACKAGE}.account": f"{POLICY_PACKAGE}.account",
            f"{POLICY_PACKAGE}.admission": f"{POLICY_PACKAGE}.admission",
            f"{POLICY_PACKAGE}.endpoint_pool": f"{POLICY_PACKAGE}.endpoint_pool",
            f"{POLICY_PACKAGE}.engine": f"{POLICY_PACKAGE}.engine",
            "cairndale.ingress.wire": "cairndale.ingress.wire",
        }
    ),
)
BEFORE_MOVE = Layout(
    "ironledge",
    "ironledge",
    MappingProxyType(
        {
            f"{POLICY_PACKAGE}.interface": "ironledge.interface",
            f"{POLICY_PACKAGE}.account": "ironledge.account",
            f"{POLICY_PACKAGE}.endpoint_pool": "ironledge.choice",
            f"{POLICY_PACKAGE}.engine": "ironledge.brain",
            "cairndale.ingress.wire": "ironledge.wire",
        }
    ),
)
LAYOUTS = (CURRENT, BEFORE_MOVE)


def layout_of(checkout: Path) -> Layout:
    """Raises CheckoutError where there are no decision modules."""
    for layout in LAYOUTS:
        if layout.path(checkout, layout.modules[f"{POLICY_PACKAGE}.engine"]).is_file():
            return layout
    raise CheckoutError(f"No such file: the ingress's decision modules in {str(checkout)!r}")


def adopt_policy(checkout: Path) -> None:
    """The decision modules of another checkout take the place of this one's.

    Has to happen before anything imports them. Raises CheckoutError.
    """
    layout = layout_of(checkout)
    for name, there in layout.modules.items():
        path = layout.path(checkout, there)
        if not path.is_file() and name.rpartition(".")[2] in OPTIONAL_MODULES:
            continue
        _load(path, (name, there))


def _load(path: Path, names: tuple[str, str]) -> None:
    """Loads a file as a module under this checkout's name and the other's: its own imports use the
    latter."""
    found = importlib.util.spec_from_file_location(names[0], path)
    if found is None or found.loader is None or not path.is_file():
        raise CheckoutError(f"{path} is missing")
    module = importlib.util.module_from_spec(found)
    for name in names:
        parent, _, last = name.rpartition(".")
        sys.modules[name] = module
        setattr(_package(parent), last, module)
    found.loader.exec_module(module)


def _package(name: str) -> ModuleType:
    """The package of that name; an empty one stands in where this checkout has none."""
    if name.partition(".")[0] == CURRENT.root:
        return importlib.import_module(name)
    if name not in sys.modules:
        package = ModuleType(name)
        package.__path__ = []
        sys.modules[name] = package
    return sys.modules[name]
