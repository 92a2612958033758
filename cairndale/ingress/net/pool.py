"""The connections to one backend, as decisions: events and `now` in; open, hand out, refuse, close
out.

No socket and no clock is touched here: backends.py carries the actions out. Times are seconds on
one clock that never goes back. A link and an attempt are whatever the caller makes of them: they
are only told apart."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

LEAST = 2  # connections that a backend's pool may have, however few descriptors there are
BACK_OFF = 0.7  # of what is in use that the bound falls to when the backend refuses another one
GROW_EVERY = 1.0  # s of use at the bound, without a refusal, for which it grows by one
NEED_FADES = 30.0  # s in which the memory of how many were used at once falls to a third
JITTER = 0.2  # of age and of requests a link, either way: a fleet's links do not turn over in step
WAIT_PART = 0.25  # of an attempt's own time that it may wait for a link; then it goes elsewhere


@dataclass(frozen=True, slots=True)
class Options:
    """What the configuration's `pool` may set; the defaults hold where it says nothing."""

    age: float = 600.0  # s of a link's life
    requests: int = 10_000  # exchanges of a link's life
    queue: int = 64  # attempts that wait for a backend
    warm: int = 0  # links opened ahead where traffic is expected, a backend; 0: none
    # of the descriptors that are the backends' for sure, whatever clients hold
    server_share: float = 0.3


class Why(Enum):
    """What a pool's bound follows from."""

    DESCRIPTORS = "descriptors"  # the backends' share, over the backends in use
    REFUSED = "refused"  # the backend has refused another one


@dataclass(frozen=True, slots=True)
class Open:
    """A connection is to be made; `dialled` or `failed` tells how that went."""

    dial: int


@dataclass(frozen=True, slots=True)
class HandOut:
    waiter: Any
    link: Any


@dataclass(frozen=True, slots=True)
class Refuse:
    """This attempt gets no link here: it was never sent. `failed`: the backend is to blame, not the
    bound."""

    waiter: Any
    failed: bool


@dataclass(frozen=True, slots=True)
class Close:
    link: Any


@dataclass(frozen=True, slots=True)
class GiveUp:
    """A dial that nobody wants any longer: what it is to lead to is out or gone."""

    dial: int


Action = Open | HandOut | Refuse | Close | GiveUp


@dataclass(slots=True)
class _Link:
    idle_since: float
    dies: float  # of age
    left: int  # exchanges
    used: int = 0


@dataclass(slots=True)
class Counts:
    """Since the beginning; for operators."""

    asked: int = 0
    reused: int = 0  # handed a link that had been used before
    dials: int = 0
    failed: int = 0  # dials
    caught: int = 0  # stale links found out before anything was written
    missed: int = 0  # reset under a request though they had been taken for sound
    refused: int = 0  # attempts that got no link


@dataclass(slots=True)
class Pool:
    """Most recently used first, so that surplus links age out; one exchange a link.

    Every attempt that finds no idle link waits; a dial is begun for it while the bound allows, and
    it gets whichever comes first, a freed link or a finished dial. A dial that its attempt no
    longer needs stays."""

    options: Options
    idle_for: float  # s that an idle link is taken for sound: the settings' idle time less a margin
    rng: random.Random
    top: float = 4096.0  # the bound that the descriptors give
    ready: bool = True
    learned: float = math.inf  # the bound that refusals have taught
    need: float = 0.0  # links used at once, of late
    counts: Counts = field(default_factory=Counts)
    idle: list[Any] = field(default_factory=list)  # the most recently used last
    busy: set[Any] = field(default_factory=set)
    dials: set[int] = field(default_factory=set)
    waiting: deque[tuple[Any, float]] = field(default_factory=deque)  # and until when
    distrusted: bool = False  # a failure: idle links may lead nowhere, a fresh one has to show
    _links: dict[Any, _Link] = field(default_factory=dict)
    _dial: int = 0
    _grown_at: float = 0.0
    _need_at: float = 0.0

    # Sizes.

    def open(self) -> int:
        return len(self.idle) + len(self.busy) + len(self.dials)

    def bound(self) -> int:
        return max(LEAST, int(min(self.top, self.learned)))

    def why(self) -> Why:
        return Why.REFUSED if self.learned < self.top else Why.DESCRIPTORS

    def _used(self, now: float) -> None:
        self.need = max(self.expected(now), float(len(self.busy) + len(self.waiting)))
        self._need_at = now

    def expected(self, now: float) -> float:
        """Links that the traffic of late has used at once."""
        return self.need * math.exp((self._need_at - now) / NEED_FADES)

    # Attempts.

    def ask(
        self, now: float, waiter: Any, patience: float, sound: Callable[[Any], bool]
    ) -> list[Action]:
        """`patience`: s that the attempt has in all. `sound` looks whether an idle link still
        stands."""
        actions: list[Action] = []
        self.counts.asked += 1
        if not self.ready:
            self.counts.refused += 1
            return [Refuse(waiter, True)]
        link = None if self.distrusted else self._take(now, actions, sound)
        if link is not None:
            self._hand_out(now, waiter, link, actions)
            return actions
        if len(self.waiting) >= self.options.queue:
            self.counts.refused += 1
            actions.append(Refuse(waiter, False))
            return actions
        self.waiting.append((waiter, now + patience * WAIT_PART))
        self._used(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _take(self, now: float, actions: list[Action], sound: Callable[[Any], bool]) -> Any | None:
        while self.idle:
            link = self.idle.pop()
            state = self._links[link]
            if state.idle_since <= now - self.idle_for or state.dies <= now:
                self._forget(link, actions)
            elif not sound(link):
                self.counts.caught += 1
                self._forget(link, actions)
            else:
                return link
        return None

    def _forget(self, link: Any, actions: list[Action]) -> None:
        del self._links[link]
        actions.append(Close(link))

    def _hand_out(self, now: float, waiter: Any, link: Any, actions: list[Action]) -> None:
        state = self._links[link]
        self.counts.reused += state.used > 0
        state.used, state.left = state.used + 1, state.left - 1
        self.busy.add(link)
        self._used(now)
        actions.append(HandOut(waiter, link))

    def _dial_for_waiting(self, now: float, actions: list[Action]) -> None:
        """A dial for each that waits, within the bound. With none busy there is always room for
        one."""
        while len(self.dials) < len(self.waiting) and (
            self.open() < self.bound() or self._displace(actions)
        ):
            self._open(actions)

    def _displace(self, actions: list[Action]) -> bool:
        """A distrusted idle link gives its place to a dial."""
        if not self.idle:
            return False
        self._forget(self.idle.pop(0), actions)
        return True

    def _open(self, actions: list[Action]) -> None:
        self._dial += 1
        self.counts.dials += 1
        self.dials.add(self._dial)
        actions.append(Open(self._dial))

    def cancel(self, waiter: Any) -> None:
        """It waits no longer. Its dial goes on, and what comes of it is kept."""
        self.waiting = deque(entry for entry in self.waiting if entry[0] is not waiter)

    # Links.

    def dialled(self, now: float, dial: int, link: Any) -> list[Action]:
        """A dial has come up. The backend answers: idle links are trusted again."""
        self.dials.discard(dial)
        if not self.ready:
            return [Close(link)]
        vary = 1 + self.rng.uniform(-JITTER, JITTER)
        left = max(1, int(self.options.requests * vary))
        self._links[link] = _Link(now, now + self.options.age * vary, left)
        self.distrusted = False
        actions: list[Action] = []
        self._offer(now, link, actions)
        return actions

    def failed(self, now: float, dial: int, refused: bool) -> list[Action]:
        """A dial has not come up. `refused`: the backend, or this process, had no place for it."""
        self.dials.discard(dial)
        self.counts.failed += 1
        actions: list[Action] = []
        if refused and self.busy:  # it serves others, so it is there: there are too many
            self.learned = max(float(LEAST), (len(self.busy) + len(self.idle)) * BACK_OFF)
            self._grown_at = now
        else:
            self.distrust(actions)
        if self.waiting:
            self.counts.refused += 1
            actions.append(Refuse(self.waiting.popleft()[0], True))
        self._dial_for_waiting(now, actions)
        return actions

    def freed(self, now: float, link: Any, reusable: bool) -> list[Action]:
        """An exchange is over. Its link goes to who waits, rests, or is closed."""
        self.busy.discard(link)
        state = self._links[link]
        state.idle_since = now
        actions: list[Action] = []
        worn = state.left <= 0 or state.dies <= now or self.open() >= self.bound()
        if worn or not (reusable and self.ready):
            self._forget(link, actions)
        else:
            self._offer(now, link, actions)
        self._grow(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _offer(self, now: float, link: Any, actions: list[Action]) -> None:
        if self.waiting:
            self._hand_out(now, self.waiting.popleft()[0], link, actions)
        else:
            self.idle.append(link)

    def _grow(self, now: float) -> None:
        """Additive: after a while at the bound without another refusal there may be room for one
        more."""
        if (
            self.learned < self.top
            and self.open() >= self.bound() - 1
            and now - self._grown_at >= GROW_EVERY
        ):
            self.learned, self._grown_at = self.learned + 1, now
            if self.learned >= self.top:
                self.learned = math.inf

    def lost(self, now: float, link: Any, under_request: bool) -> list[Action]:
        """A link has ended by itself. `under_request`: with a request out and nothing of an
        answer."""
        actions: list[Action] = []
        state = self._links.pop(link, None)
        if state is None:
            return actions
        if link in self.busy:
            self.busy.discard(link)
            self.counts.missed += under_request and state.used > 1
        else:
            self.idle.remove(link)
            self.counts.caught += 1
        if under_request:
            self.distrust(actions)
        self._dial_for_waiting(now, actions)
        return actions

    def distrust(self, actions: list[Action]) -> None:
        """The backend has failed without a word: the other idle links may lead to what is no longer
        there."""
        for link in self.idle:
            self._forget(link, actions)
        self.idle.clear()

    def doubt(self) -> None:
        """It has said nothing for long: idle links are not used until a fresh one has come up."""
        self.distrusted = self.distrusted or bool(self.idle)

    # Time, the list, the configuration.

    def tick(self, now: float, gap: bool = False) -> list[Action]:
        """Each second or so. `gap`: the process or the machine has stood still, and every link is
        old."""
        actions: list[Action] = []
        oldest = now - self.idle_for
        kept = []
        for link in self.idle:
            state = self._links[link]
            if gap or state.idle_since <= oldest or state.dies <= now:
                self._forget(link, actions)
            else:
                kept.append(link)
        self.idle[:] = kept
        actions += self.shrink(self.bound())
        while self.waiting and self.waiting[0][1] <= now:
            self.counts.refused += 1
            actions.append(Refuse(self.waiting.popleft()[0], False))
        self._dial_for_waiting(now, actions)
        return actions

    def next_at(self) -> float:
        """When the first that waits has waited long enough; inf: nobody waits."""
        return self.waiting[0][1] if self.waiting else math.inf

    def withdraw(self, ready: bool) -> list[Action]:
        """Drained, out, moved or gone: nothing more is written there. Busy links end their
        exchange."""
        self.ready = ready
        actions: list[Action] = [GiveUp(dial) for dial in sorted(self.dials)]
        self.dials.clear()
        self.distrust(actions)
        while self.waiting:
            self.counts.refused += 1
            actions.append(Refuse(self.waiting.popleft()[0], True))
        self.learned, self.distrusted = math.inf, False
        return actions

    def shrink(self, to: int) -> list[Action]:
        """Idle links beyond `to` in all are closed, the least recently used first."""
        actions: list[Action] = []
        while self.idle and self.open() > to:
            self._forget(self.idle.pop(0), actions)
        return actions

    def close_idle(self, count: int) -> list[Action]:
        """Room is needed elsewhere, or they are not wanted: the least recently used go."""
        actions: list[Action] = []
        for link in self.idle[:count]:
            self._forget(link, actions)
        del self.idle[:count]
        return actions

    def warm(self, now: float) -> list[Action]:
        """One link ahead of its request, where the traffic of late would use it; requests come
        first."""
        wanted = min(float(self.options.warm), math.ceil(self.expected(now)), self.bound())
        actions: list[Action] = []
        if self.ready and not self.waiting and self.open() < wanted:
            self._open(actions)
        return actions
