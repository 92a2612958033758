"""Checks which configuration an ingress handled each request by (RULES: CONFIG, ROUTE, UNASKED).

The checks are stricter than the rules, as the system promises more: a change is acknowledged once
no ingress, in touch or not, can serve by an older version. So there is no allowance of `apply` or
`revoke`, and none of `revertSlack`, as the requests to an ingress are sent one after the other.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import cache

from cairndale.chaos.change_model import ClientRequest, Handling, Version, handling
from cairndale.chaos.standins import Ledger
from cairndale.chaos.world import Attempt

REFUSALS = (401, 403, 404)  # other answers tell nothing of the configuration


@dataclass(frozen=True, slots=True)
class Probe:
    """A request that was sent to one ingress, and its outcome."""

    ingress: str
    incarnation: int
    request: ClientRequest
    attempt: Attempt
    received_at: float


@dataclass(frozen=True, slots=True)
class _Observation:
    """What was done with a probe's request, and the versions that do this with it, by number."""

    probe: Probe
    handling: Handling
    gens: tuple[int, ...]


def change_violations(
    probes: Iterable[Probe], versions: Sequence[Version], ledger: Ledger, services: dict[str, str]
) -> Iterator[str]:
    """The violations, a line each; `services`: by server id."""
    newest_shown: dict[tuple[str, int], int] = {}
    for observation in _observations(probes, versions, ledger, services):
        probe, gens = observation.probe, observation.gens
        if not gens:
            yield _describe(observation, "as no version allows")
            continue
        sent_at = probe.attempt.sent_at
        acknowledged = max((v.gen for v in versions if v.acknowledged_at < sent_at), default=0)
        if gens[-1] < acknowledged:
            yield _describe(
                observation, f"by gen {gens[-1]}, though {acknowledged} was acknowledged"
            )
        life = probe.ingress, probe.incarnation
        if gens[-1] < newest_shown.get(life, 0):
            yield _describe(observation, f"by gen {gens[-1]}, after gen {newest_shown[life]}")
        newest_shown[life] = max(newest_shown.get(life, 0), gens[0])


def _observations(
    probes: Iterable[Probe], versions: Sequence[Version], ledger: Ledger, services: dict[str, str]
) -> Iterator[_Observation]:
    runs: dict[str, list[Handling]] = {}
    for execution in ledger.executions:
        run = Handling(services[execution.server], execution.tenant)
        runs.setdefault(execution.request, []).append(run)
    handle = cache(lambda number, request: handling(versions[number].content, request))
    for probe in probes:
        seen = list(runs.get(probe.attempt.request, ()))
        if not seen and probe.attempt.status in REFUSALS:
            seen = [Handling(status=probe.attempt.status)]
        for found in seen:
            gens = [
                version.gen
                for number, version in enumerate(versions)
                if version.sent_at <= probe.received_at and handle(number, probe.request) == found
            ]
            yield _Observation(probe, found, tuple(sorted(gens)))


def _describe(observation: _Observation, problem: str) -> str:
    request, found = observation.probe.request, observation.handling
    outcome = f"{found.service} for {found.tenant[:20]!r}" if found.service else f"{found.status}"
    return (
        f"{observation.probe.attempt.request}: {request.method} {request.host}{request.path} with "
        f"{request.key[:20]!r} at {observation.probe.ingress} was handled {problem}: {outcome}"
    )
