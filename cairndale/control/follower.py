"""What a core machine that does not lead hears of the leader, and whether it is in contact with it.

In contact is: the leader, with a majority behind it, has answered something that was sent from here
less than `CONTACT` of a server's beat ago. So whoever is cut off, in either direction, confirms one
beat of a server's after the cut at most, and that one is told as soon as there is a way."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from cairndale.configuration.state import State
from cairndale.control.heartbeat_batch import Arrivals, Batch
from cairndale.control.leadership import Duty, server_in
from cairndale.errors import SystemFailure
from cairndale.raft.messages import Member
from cairndale.registry.endpoints import Board
from cairndale.registry.heartbeats import Collector
from cairndale.registry.nodes import Roll
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import Reach
from cairndale.rpc.peer import Wings
from cairndale.settings import Settings, shown

CONTACT = 2 / 3  # of a server's beat, or ...
# ... s, if that is less: under the beat that a server may take to call elsewhere
CONTACT_MOST = 1.0
REPORT = 0.5  # of that, between reports: with the way there and the answer it is renewed in time
REPORT_WAIT = 0.7  # s for the leader's answer, after which the next goes by another way
AGAIN = 0.5  # s that a failure speaks for what comes after it
ASK_WAIT = 1.0  # s that the leader may keep an ask for news
PASS_ON = 0.95  # s for the leader to answer what is passed on to it: callers go elsewhere after one
WAY = 0.4  # s for one way to the leader, where one is out of contact ...
BEAT = 0.45  # ... and for a beat, by whatever way: its server has to get to another in time


class Log(Protocol):
    @property
    def members(self) -> tuple[Member, ...]: ...


class Process(Protocol):
    settings: Settings
    state: State
    board: Board
    roll: Roll
    wings: Wings
    reach: Reach
    duty: Duty | None

    @property
    def machine(self) -> Log: ...
    def now(self) -> float: ...
    async def hear(self, arrivals: pb.Arrivals, term: int = 0) -> int:
        """At the leader. Raises SystemFailure."""


class Follower:
    """Times are seconds on this process's clock."""

    def __init__(self, process: Process, collector: Collector) -> None:
        self._process, self._collector = process, collector
        self._seen: tuple[str, int, int] = ("", 0, 0)  # epoch, servers, nodes
        self._answered = float("-inf")  # when the newest was sent that the leader has answered
        self._failed = float("-inf")  # when a call was last given up
        self.arrivals = Arrivals(
            process.now, lambda: len(process.machine.members), self._tell_arrivals
        )

    def span(self) -> float:
        return min(CONTACT_MOST, CONTACT * self._process.settings.heartbeat)

    def in_contact(self, now: float) -> bool:
        return now - self._answered < self.span()

    def is_cut_off(self, now: float) -> bool:
        """Out of contact, and a call to the leader was given up so lately that it need not be tried
        again."""
        return not self.in_contact(now) and now - self._failed < AGAIN

    async def call(self, envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
        """The leader's answer. Raises SystemFailure."""
        sent = self._process.now()
        try:
            answer = await self._process.reach.call(envelope, within, patience)
        except SystemFailure:
            self._failed = self._process.now()
            raise
        self._answered = max(self._answered, sent)
        return answer

    async def _tell_arrivals(self, batch: Batch) -> None:
        """Within the time of the beat that came first. Raises SystemFailure."""
        process, now = self._process, self._process.now()
        arrivals = batch.out(now)
        if process.duty:  # this one leads by now
            await process.hear(arrivals)
            return
        is_in_contact = self.in_contact(now)
        within = batch.began + (PASS_ON if is_in_contact else BEAT) - now
        await self.call(pb.Envelope(arrivals=arrivals), within, within if is_in_contact else WAY)

    def _node(self) -> pb.Node:
        settings = self._process.settings
        ctl = shown(settings.listen["ctl"]) if "ctl" in settings.listen else ""
        return pb.Node(
            name=settings.name,
            life=self._process.wings.life,
            door=shown((settings.ip, settings.own_port)),
            zone=settings.zone,
            region=settings.region,
            kind="core",
            ready=True,
            ctl=ctl,
        )

    async def asks(self) -> None:
        """News, for good."""
        process = self._process
        while True:
            if process.duty:
                await asyncio.sleep(0.2)
                continue
            epoch, servers, nodes = self._seen
            ask = pb.Ask(
                node=self._node(),
                epoch=epoch,
                script=process.state.version,
                gen=process.state.gen,
                servers=servers,
                nodes=nodes,
                wait_ms=round(ASK_WAIT * 1000),
            )
            try:
                answer = await self.call(pb.Envelope(ask=ask), 3.0, ASK_WAIT + 0.6)
            except SystemFailure:
                await asyncio.sleep(0.1)
                continue
            if process.duty is None and answer.WhichOneof("body") == "cue":
                self._take(answer.cue)
                if (
                    answer.cue.script != process.state.version
                ):  # its own log is behind: not at once again
                    await asyncio.sleep(0.05)

    def _take(self, cue: pb.Cue) -> None:
        process, now = self._process, self._process.now()
        seen = [server_in(s, now) for s in cue.server]
        if cue.servers != self._seen[1] or cue.servers_whole:
            process.board.take(seen, cue.servers, cue.servers_whole)
        process.roll.take(cue.node, cue.node_gone, cue.nodes_whole, now, cue.nodes)
        for known in process.board.servers.values():
            known.heard_at = now
        self._seen = (cue.epoch, cue.servers, cue.nodes)

    async def reports(self) -> None:
        """Beats that said nothing new are told of together, for good. What was not answered is
        kept, and told again to whoever leads then. With nothing to tell, the answer alone is what
        counts."""
        process = self._process
        while True:
            await asyncio.sleep(REPORT * self.span() * random.uniform(0.8, 1.2))
            beats = self._collector.report(process.now())
            if process.duty:
                process.duty.beats(process.now(), beats)
                self._collector.told(beats)
                continue
            try:
                await self.call(pb.Envelope(beats=beats), REPORT_WAIT, REPORT_WAIT)
            except SystemFailure:
                continue
            self._collector.told(beats)
