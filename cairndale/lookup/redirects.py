"""Reports when clients of a region are sent to ingresses of other regions, and when no longer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cairndale.lookup.ingresses import IngressGroup, Phase, count_by_region

MAX_REDIRECTS = 64  # pairs of region and host that are reported at a time; further ones are not


@dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Where clients of a region are sent that ask for a host, and what the choice rested on.

    Attributes:
        region: the clients'.
        host: that they ask for.
        generation: of the configuration that the choice was made by; 0: none.
        homes: home regions of the host's routes, as the choice took them.
        targets: regions of the ingresses that the clients are sent to.
        ready: ready ingresses by region.
        draining: draining ingresses by region.
    """

    region: str
    host: str
    generation: int
    homes: str
    targets: frozenset[str]
    ready: dict[str, int]
    draining: dict[str, int]

    def __str__(self) -> str:
        return (
            f"clients of {self.region} for {self.host} are sent to"
            f" {', '.join(sorted(self.targets))}; homes {self.homes}, gen {self.generation},"
            f" ready {self.ready}, draining {self.draining}"
        )


class RedirectReporter:
    """Reports a redirect when it begins, changes and ends.

    Args:
        report: called with each report, while a client's call is answered.
    """

    def __init__(self, report: Callable[[Redirect], None]) -> None:
        self._report = report
        self._targets: dict[tuple[str, str], frozenset[str]] = {}  # by region and host; redirected

    def record(
        self,
        *,
        region: str,
        host: str,
        generation: int,
        homes: str,
        selected: list[IngressGroup],
        ingresses: list[IngressGroup],
    ) -> None:
        """Take in where clients are sent to, `selected`, out of which ingresses."""
        targets, own = frozenset(group.region for group in selected), frozenset((region,))
        key = (region, host)
        if targets == self._targets.get(key, own):
            return
        if targets == own:
            del self._targets[key]
        elif key in self._targets or len(self._targets) < MAX_REDIRECTS:
            self._targets[key] = targets
        else:
            return
        self._report(
            Redirect(
                region=region,
                host=host,
                generation=generation,
                homes=homes,
                targets=targets,
                ready=count_by_region(ingresses, {Phase.READY}),
                draining=count_by_region(ingresses, {Phase.DRAINING, Phase.ENDING}),
            )
        )
