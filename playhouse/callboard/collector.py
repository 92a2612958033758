"""Beats that come to one that does not lead: those that say nothing new are told to the leader together."""

from __future__ import annotations

import json

from playhouse.callboard.board import BeatError, Board, read_beat
from playhouse.company.roll import Roll
from playhouse.settings import Settings
from playhouse.wings import cues_pb2 as pb


class Collector:
    def __init__(self, settings: Settings, board: Board, roll: Roll) -> None:
        self._settings, self._board, self._roll = settings, board, roll
        self._beats: dict[str, int] = {}  # seq by server, not told yet

    def nearer(self, body: bytes) -> dict[str, str]:
        """Where a server's later beats are to go, if that is not here: they are the most of what crosses
        zones."""
        zone = json.loads(body)["details"]["zone"]
        region = self._settings.zones.get(zone, "")
        if zone == self._settings.zone:
            return {}
        cores = [h.node for h in self._roll.leases.values() if h.node.kind == "core" and h.node.ctl]
        near = [n for n in cores if n.zone == zone]
        if not near and region != self._settings.region:
            near = [n for n in cores if n.region == region]
        return {"beatUrl": f"http://{near[0].ctl}"} if near else {}

    def plain(self, id: str, body: bytes, now: float) -> bool:
        """A beat that says what is known already: the leader hears of it with others."""
        known = self._board.servers.get(id)
        if known is None or known.state != "ready":
            return False
        try:
            seen = read_beat(id, json.loads(body), now)
        except (ValueError, BeatError):
            return False
        if not known.plain(seen):
            return False
        self._beats[id] = max(seen.seq, self._beats.get(id, 0))
        return True

    def report(self) -> pb.Beats | None:
        """What is to be told to the leader; from then on it counts as told."""
        beats, self._beats = self._beats, {}
        return pb.Beats(id=list(beats), seq=list(beats.values())) if beats else None
