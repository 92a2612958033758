"""Nobody leads: two voters whose time comes in the same moment do not split the votes."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from playhouse.promptbook.messages import HardState, RequestVote, VoteReply
from playhouse.promptbook.replica import Role
from tests.serving_world import World, in_memory, play
from tests.test_playhouse_serving import now


@pytest.mark.parametrize("late", [0.0, 0.01, 0.04])
def test_one_election_is_enough_after_the_leader_was_killed(
    late: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`late`: s, at the most, that a message takes beside its way."""
    in_memory(monkeypatch)
    terms, took = list[int](), list[float]()

    async def scene(seed: int) -> None:
        random.seed(seed)
        world = World(Path(f"elects{late}{seed}"))
        whole = world.net.go
        world.net.go = lambda *args: asyncio.get_running_loop().call_later(  # type: ignore[assignment]
            random.uniform(0.0, late), whole, *args
        )
        await world.begin()
        await asyncio.sleep(2.0 + random.random())
        before = world.leader()
        assert before
        began, term = now(), before.machine.term
        await world.crash(before.settings.ip)
        await world.until(lambda: (found := world.leader()) is not None and found.machine.term > term, 5.0)
        after = world.leader()
        assert after
        terms.append(after.machine.term - term)
        took.append(now() - began)

    for seed in range(40):
        play(scene(seed))
    assert set(terms) == {1} and max(took) < 0.95


def test_who_gives_way_stands_again_where_nothing_comes_of_the_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of two that ask at once one gives way, whichever hears the other first; a pre-vote binds nobody."""
    in_memory(monkeypatch)

    async def scene() -> None:
        random.seed(1)
        world = World(Path("gives way"))
        await world.begin()
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader
        one, two, *_ = sorted(
            (c.machine for h, c in world.cores.items() if h != leader.settings.ip), key=lambda m: m.me
        )
        await world.crash(leader.settings.ip)
        at, term = now() + 0.6, one.term
        asked = {m: RequestVote(term + 1, m.me, True, m.last, m.term_at(m.last)) for m in (one, two)}
        for made in (one, two):
            made._due = at
            made.tick(at)
        steps = [one.received(at, asked[two]), two.received(at, asked[one])]
        replies = [s.sends[-1][1] for s in steps]
        assert [isinstance(r, VoteReply) and r.granted for r in replies] == [True, False]
        assert not any(isinstance(w, HardState) for s in steps for w in s.writes)
        assert (one.role, two.role) == (Role.FOLLOWER, Role.PRE_CANDIDATE)
        (late,) = two.received(at + 0.2, asked[one]).sends  # it was not given enough: it holds nobody up
        assert isinstance(late[1], VoteReply) and late[1].granted and two.role is Role.FOLLOWER
        assert not one.tick(at + 0.14).sends and one.tick(at + 0.8).sends  # the other may be gone by then

    play(scene())
