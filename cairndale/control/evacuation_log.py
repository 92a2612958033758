"""Which calls for a zone are one order. An evacuation has neither a body nor a name: a second call
may be the same operator's, who got no clear answer, or another's, whose evacuation stands until
that one, too, is taken back.

A call is the same order as the one before it while that is not answered, or for a while after,
unless whoever called is known to have had the answer. One call may come by two ways, and late: it
has an id from where it came in, and an order has that of its first call."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(slots=True)
class _Order:
    verb: str
    token: str
    at: float  # when its first call came
    open: int = 0  # calls that are not answered
    read: bool = False  # the answer was


CALLS = 1024  # that are remembered here; the state that is agreed on remembers more


class EvacuationLog:
    """Times are seconds on the leader's clock."""

    def __init__(self, now: float, again: float, ever: bool) -> None:
        """`again`: for how long an order without an answer may be sent anew. `ever`: another held
        the duty before, and may have heard orders that are sent again here."""
        self._again, self._unknown = again, now + again if ever else now
        self._last: dict[str, _Order] = {}
        self._calls: dict[str, str] = {}  # ids of calls, and their orders

    def came(self, now: float, zone: str, verb: str, stands: bool, call: str = "") -> str:
        """The order that a call belongs to, or nothing if there is nothing to be done. `stands`:
        the zone is as the call wants it; `call`: its id. The call is to be `over` later."""
        last = self._last.get(zone)
        if (
            call in self._calls
        ):  # by another way: whatever has come since, it is the order that it was
            if last and last.token == self._calls[call]:
                last.open += 1
            return self._calls[call]
        if last is None and stands and now < self._unknown:
            return self._is(call, "")
        if last is None or last.verb != verb or not self._is_same(now, last):
            last = self._last[zone] = _Order(verb, call or f"{random.getrandbits(64):016x}", now)
        last.open += 1
        return self._is(call, last.token)

    def _is(self, call: str, token: str) -> str:
        if call:
            self._calls[call] = token
            while len(self._calls) > CALLS:
                del self._calls[next(iter(self._calls))]
        return token

    def _is_same(self, now: float, last: _Order) -> bool:
        return not last.read and (last.open > 0 or now - last.at < self._again)

    def over(self, zone: str, token: str) -> None:
        if (last := self._last.get(zone)) and last.token == token:
            last.open -= 1

    def read(self, zone: str, token: str) -> None:
        """Who called has the answer: a later call is another order."""
        if (last := self._last.get(zone)) and last.token == token:
            last.read = True
