"""Is a history of versions, each built on the one before, that of one register (linearizable)?

Versions are written in a known order, each once, so that a greedy search is complete: each version
is put in force as what is known of the ones before it allows, which leaves most room for
all later ones. A version is in force from its point on until the next one's. A write that was
acknowledged has its point between its first sending and its first acknowledgement; a read finds the
version in force at some moment between its begin and its end; a refusal of a write that builds on P
finds another than P in force (judged where P was known to have been in force before the write was
sent)."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Write:
    """`end`: of its acknowledgement; NEVER where it has none."""

    version: int
    begin: float
    end: float = NEVER


@dataclass(frozen=True, slots=True)
class Found:
    """A read, or a refusal: then `version` was not in force at some moment of it."""

    version: int
    begin: float
    end: float
    refused: bool = False


def first_broken(writes: list[Write], found: list[Found], start: int = 0) -> str:
    """What cannot be put into one order, or nothing. `writes`: those that took effect, as they
    follow one another; `start`: the version in force before."""
    point, before, points = -NEVER, start, {start: -NEVER}
    known = {w.version: w.end for w in writes} | {start: -NEVER}
    for read in found:
        if not read.refused:
            known[read.version] = min(read.end, known.get(read.version, NEVER))
    for write in writes:
        last_seen = max(
            (f.begin for f in found if f.version == before and not f.refused), default=-NEVER
        )
        point = max(point, write.begin, last_seen)
        if point > write.end:
            late = point - write.end
            return (
                f"version {write.version} was acknowledged {late:.2f} s before an older one "
                "was read"
            )
        for read in found:
            if read.version == write.version and not read.refused and read.end < point:
                return (
                    f"version {write.version} was read {point - read.end:.2f} s before it can "
                    "be in force"
                )
        points[write.version] = point
        before = write.version
    following = dict(zip(points, [*list(points.values())[1:], NEVER], strict=True))
    for one in found:
        if one.version not in points:
            if not one.refused:
                return f"version {one.version} was read, which nobody wrote"
        elif one.refused and known[one.version] < one.begin and one.end < following[one.version]:
            return f"a change on version {one.version} was refused while that was in force"
    return ""
