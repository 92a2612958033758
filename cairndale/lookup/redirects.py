"""Reports when redirects of a region's clients to ingresses of other regions begin and end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cairndale.lookup.ingresses import IngressGroup, Phase, count_by_region

MAX_REDIRECTS = 64  # pairs of region and host that are tracked at a time; others are not reported


@dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Where clients of a region that look up a host are sent, and the inputs of that selection.

    Attributes:
        region: the clients' region.
        host: the host that the clients look up.
        generation: the generation of the configuration that the selection used; 0: none.
        homes: the home regions of the host's routes that the selection used.
        targets: regions of the ingresses that the clients are sent to.
        ready: the number of ready ingresses by region.
        draining: the number of draining ingresses by region.
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
    """Reports a redirect when it begins, changes or ends.

    Args:
        report: called with each redirect to report, while a client's look-up is handled.
    """

    def __init__(self, report: Callable[[Redirect], None]) -> None:
        self._report = report
        self._targets: dict[
            tuple[str, str], frozenset[str]
        ] = {}  # redirected clients, by region and host

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
        """Record that `selected` of `ingresses` were returned to a client, and report a change."""
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
