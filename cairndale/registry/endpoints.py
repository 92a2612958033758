"""Which servers there are: soft state, told by the servers themselves and told anew after any loss.

Times are seconds on the leader's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from cairndale.settings import seconds

STATES = ("ready", "draining", "gone")
MISSED = 3  # beats in a row after which a server is taken for gone
MOST = 1_000_000  # of slots that a server may name
COLD = 3600.0  # s, at the most, for which a server is taken at its word that it is cold
REMEMBER = 30.0  # s that those gone are remembered, so that late news of them raises nobody


@dataclass(slots=True)
class Endpoint:
    id: str
    service: str
    addr: str
    zone: str
    gen: str
    capacity: int
    state: str
    cold_until: float
    seq: int
    heard_at: float
    ended: bool = False  # it said so itself: no word of it counts any longer
    changed: int = 0  # the board's number at its last change
    told: tuple[int, bytes] = (
        -1,
        b"",
    )  # at which change, and how others are told of it while it is not cold

    def plain(self, told: Endpoint) -> bool:
        """A later word that says nothing which the data plane would have to hear."""
        same = all(
            getattr(self, n) == getattr(told, n)
            for n in ("service", "addr", "zone", "capacity", "state")
        )
        return same and told.cold_until <= max(self.cold_until, told.heard_at) + 0.3


class HeartbeatError(ValueError):
    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def read_heartbeat(id: str, raw: Any, now: float) -> Endpoint:
    """A heartbeat's body. Raises BeatError with all that is wrong."""
    errors: list[str] = []

    def part(of: Any, at: str, name: str, kind: type, least: int = 0, most: int = MOST) -> Any:
        value = of.get(name) if isinstance(of, dict) else None
        sound = isinstance(value, kind) and not isinstance(value, bool)
        sound = sound and (not isinstance(value, int) or least <= value <= most)
        if not sound or (kind is str and not value):
            errors.append(f"{at}{name}: {value!r} is not what stands there")
            return kind()
        return value

    details, status = (raw.get(n) if isinstance(raw, dict) else None for n in ("details", "status"))
    addr = part(raw, "", "addr", str)
    if addr and not (addr.rpartition(":")[0] and addr.rpartition(":")[2].isdigit()):
        errors.append(f"addr: {addr!r} is no address")
    state = part(status, "status.", "state", str)
    if state and state not in STATES[:2]:
        errors.append(f"status.state: {state!r} is none of {', '.join(STATES[:2])}")
    left = status.get("warmupLeft", "0s") if isinstance(status, dict) else "0s"
    try:
        cold = now + min(COLD, seconds(left))
    except ValueError as error:
        errors.append(f"status.warmupLeft: {error}")
        cold = now
    made = Endpoint(
        id,
        part(details, "details.", "backend", str),
        addr,
        part(details, "details.", "zone", str),
        str(details.get("gen", "")) if isinstance(details, dict) else "",
        part(details, "details.", "capacity", int, 1),
        state,
        cold,
        part(status, "status.", "seq", int, 0, 1 << 62),
        now,
    )
    if errors:
        raise HeartbeatError(errors)
    return made


class EndpointRegistry:
    def __init__(self) -> None:
        self.servers: dict[str, Endpoint] = {}
        self.number = 0  # rises with every change
        self._changed: dict[str, None] = {}  # those known, by their last change: the newest last

    def _change(self, seen: Endpoint) -> None:
        self.number += 1
        seen.changed = self.number
        self._changed.pop(seen.id, None)
        self._changed[seen.id] = None

    def beat(self, told: Endpoint) -> bool:
        """True if it is news to the data plane."""
        known = self.servers.get(told.id)
        if known is None:
            self.servers[told.id] = told
            self._change(told)
            return True
        if known.ended or told.seq < known.seq:
            return False
        known.seq, known.heard_at = told.seq, told.heard_at
        worse = (
            known.state == "draining" and told.state == "ready"
        )  # a late word: nobody comes back from that
        told.state = known.state if worse else told.state
        plain = known.plain(told)
        known.cold_until = told.cold_until
        if plain:
            return False
        for name in ("service", "addr", "zone", "gen", "capacity", "state"):
            setattr(known, name, getattr(told, name))
        self._change(known)
        return True

    def end(self, id: str, now: float) -> bool:
        """It has said that it ends."""
        known = self.servers.get(id)
        if known is None:
            known = self.servers[id] = Endpoint(id, "", "", "", "", 1, "gone", now, 0, now)
        elif known.state == "gone" and known.ended:
            return False
        known.state, known.ended, known.heard_at = "gone", True, now
        self._change(known)
        return True

    def expire(self, now: float, beat: float) -> bool:
        """Those silent for too long are gone, until they are heard again; those long gone are
        forgotten."""
        news = False
        for id, seen in list(self.servers.items()):
            silent = now - seen.heard_at
            if seen.state == "gone":
                if silent > REMEMBER:
                    del self.servers[id]
                    self._changed.pop(id, None)
            elif silent > MISSED * beat:
                seen.state = "gone"
                self._change(seen)
                news = True
        return news

    def chill(self, zone: str, now: float, warmups: dict[str, float]) -> bool:
        """A zone is taken back: its servers may have become cold since they were heard."""
        news = False
        for seen in self.servers.values():
            if seen.zone == zone and seen.state != "gone" and warmups.get(seen.service, 0) > 0:
                seen.cold_until = max(seen.cold_until, now + warmups[seen.service])
                self._change(seen)
                news = True
        return news

    def since(self, number: int) -> list[Endpoint]:
        found = []
        for id in reversed(self._changed):
            if (seen := self.servers[id]).changed <= number:
                break
            found.append(seen)
        return found

    def take(self, told: Iterable[Endpoint], number: int, whole: bool) -> None:
        """What the leader's board says, for one that may hold the duty next."""
        if whole:
            self.servers, self._changed = {}, {}
        for seen in told:
            self.servers[seen.id] = replace(seen, changed=number)
            self._changed.pop(seen.id, None)
            self._changed[seen.id] = None
        self.number = number
