"""Linearizability check of a history of versions, each built on the one before, as one register.

Versions are written in a known order, each once, so a greedy search is complete: each version takes
effect as early as the versions before it allow, which leaves the widest range for all later ones. A
version is in force from its linearization point until that of the next version. The linearization
point of an acknowledged write lies between its first sending and its first acknowledgement. A read
returns the version in force at some moment between its begin and its end. A rejected write on top
of P means that a version other than P was in force; this is checked where P was known to have been
in force before the write was sent."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Write:
    """A write; `end` is the time of its acknowledgement, NEVER if it has none."""

    version: int
    begin: float
    end: float = NEVER


@dataclass(frozen=True, slots=True)
class Observation:
    """A read, or a rejected write: then `version` was not in force at some moment in between."""

    version: int
    begin: float
    end: float
    rejected: bool = False


def first_violation(writes: list[Write], observations: list[Observation], initial: int = 0) -> str:
    """Return a description of the first observation that contradicts a total order, or "".

    `writes`: those that took effect, in version order; `initial`: the version in force before.
    """
    point, previous, points = -NEVER, initial, {initial: -NEVER}
    known = {w.version: w.end for w in writes} | {initial: -NEVER}
    for observation in observations:
        if not observation.rejected:
            known[observation.version] = min(observation.end, known.get(observation.version, NEVER))
    for write in writes:
        last_seen = max(
            (
                observation.begin
                for observation in observations
                if observation.version == previous and not observation.rejected
            ),
            default=-NEVER,
        )
        point = max(point, write.begin, last_seen)
        if point > write.end:
            delay = point - write.end
            return (
                f"version {write.version} was acknowledged {delay:.2f} s before an older one "
                "was read"
            )
        for observation in observations:
            if (
                observation.version == write.version
                and not observation.rejected
                and observation.end < point
            ):
                return (
                    f"version {write.version} was read {point - observation.end:.2f} s before it "
                    "can have taken effect"
                )
        points[write.version] = point
        previous = write.version
    following = dict(zip(points, [*list(points.values())[1:], NEVER], strict=True))
    for observation in observations:
        if observation.version not in points:
            if not observation.rejected:
                return f"version {observation.version} was read but never written"
        elif (
            observation.rejected
            and known[observation.version] < observation.begin
            and observation.end < following[observation.version]
        ):
            return (
                f"a change on top of version {observation.version} was rejected while it was "
                "in force"
            )
    return ""
