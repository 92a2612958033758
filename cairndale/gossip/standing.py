"""Standing of a member: whether it is in the partition that may act for the fleet."""

from __future__ import annotations

from dataclasses import dataclass

STATUSES = ("whole", "majority", "minority", "alone", "unsure")


@dataclass(frozen=True, slots=True)
class Standing:
    """The standing of a member.

    `status` is one of `STATUSES`. `age` is in seconds since another member last answered. `size` is
    the number of members in the view."""

    status: str
    age: float
    size: int

    @property
    def may_act(self) -> bool:
        """Whether the member may act for the fleet, given an owner's lease."""
        return self.status in ("whole", "majority")


def assess_standing(
    *,
    size: int,
    alive: int,
    suspect: int,
    unreachable: int,
    unhealthy: bool,
    views_differ: bool,
    no_recent_answer: bool,
    now: float,
    last_answer_at: float,
) -> Standing:
    """Derives the standing of this member from what it knows of the fleet.

    - `size`: members in the view, including this one; 0 if it has no view;
    - `alive`, `suspect`: other members of the view in these states;
    - `unreachable`: members removed from the view as failed, and not admitted again since;
    - `unhealthy`: this member's local health is bad (Lifeguard);
    - `views_differ`: most other members have another view;
    - `no_recent_answer`: no other member has answered recently;
    - `now`, `last_answer_at`: seconds on the monotonic clock.
    """
    age = max(0.0, now - last_answer_at)
    reachable = alive + 1
    if size == 0 or (size > 1 and alive == 0):
        status = "alone"
    elif 2 * reachable <= size:
        status = "minority"
    elif unhealthy or views_differ or no_recent_answer:
        status = "unsure"
    elif reachable == size and not unreachable and not suspect:
        status = "whole"
    else:
        status = "majority"
    return Standing(status, age, size)
