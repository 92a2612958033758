"""Stand-ins over real sockets: profile servers, the counter and discovery's agents, all in one
process.

They follow PROTOCOL, take their decisions from the models that the simulation uses, and record what
they observe."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import uvloop

from cairndale.lab import record as rec
from cairndale.lab.draw import SECOND, Day, day
from cairndale.lab.live.ports import HOST, Port
from cairndale.lab.live.worker import Spec, listen_to_tool, send_to_tool, spec_from_argv
from cairndale.lab.record import Record
from cairndale.lab.scenario import parse
from cairndale.lab.troubles import Step, plan
from cairndale.lab.world.counter import CallStatus, Counter
from cairndale.lab.world.discovery import Discovery, Entry
from cairndale.lab.world.network import Network
from cairndale.lab.world.server import Job, Server, Verdict

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines of a watch (PROTOCOL)
MAX_COUNTER_CONNECTIONS = 32  # of one gateway to the counter (PROTOCOL)
MAX_HEAD_BYTES = 16 << 10  # of a request head, or of a line to the counter
CODES = {"up": rec.UP, "draining": rec.DRAINING, "removed": rec.REMOVED}
COUNTER_OUTCOMES = list(CallStatus)


class ServerConnection(asyncio.Protocol):
    """One connection to a profile server, with one request at a time."""

    transport: asyncio.Transport

    def __init__(self, world: World, server: int, gateway: int) -> None:
        self.world, self.server, self.gateway = world, server, gateway
        self.job: Job | None = None
        self.row, self.first, self.since, self.free_at = -1, -1, 0, 0
        self.counted = self.closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._id, self._timeout = b"", b"", b""
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        world, now = self.world, self.world.now()
        world.record.dials.add(now, max(0, self.gateway), self.server)
        accepted, finished = world.servers[self.server].open(now)
        world.finish_jobs(self.server, finished)
        if not accepted:
            self.transport.abort()
            return
        self.counted = True
        world.connections[self.server].add(self)
        kind = world.day.servers[self.server]
        self.free_at = now + int(
            2 * world.one_way_delay(self) * max(0.5, kind.handshake_rtts - 0.5)
        )
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        if self._idle:
            self._idle.cancel()
        self._idle = self.world.loop.call_later(self.world.idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.job is None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.world.is_partitioned(self):
            return
        if self.first < 0:
            self.first = self.world.now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self._id = value
        elif name.lower() == b"request-timeout":
            self._timeout = value

    def on_message_complete(self) -> None:
        if self._idle:
            self._idle.cancel()
        world, now = self.world, self.world.now()
        try:
            number = int(self._id, 16)
            query = {k: v[0] for k, v in parse_qs(urlsplit(self._url).query.decode()).items()}
            work, draw, size = float(query["w"]), float(query["e"]), int(query["b"])
            wait = int(self._timeout[:-1]) * (1000 if self._timeout.endswith(b"m") else 1)
        except (ValueError, KeyError):
            world.record.faults.add(now, 0, self.server, max(0, self.gateway))
            self._write(404 if not self._id else 400, b"", b"")
            return
        first = max(self.first, now - 60 * SECOND)
        self.row = world.record.sends.add(
            number, max(0, self.gateway), self.server, first, -1, -1, rec.OPEN, 0, 0
        )
        self._size, self._number = size, self._id
        self._url, self._id, self._timeout, self.first = b"", b"", b"", -1
        job = self.job = Job(self, work, now + wait, draw)
        delay = max(world.one_way_delay(self), self.free_at - now)
        world.loop.call_later(delay / 1e6, self._begin, job)

    def _begin(self, job: Job) -> None:
        """The server has received the whole request, and the handshake is complete."""
        world, now = self.world, self.world.now()
        if self.closed or world.is_partitioned(self):
            return
        world.record.sends.set(self.row, "whole", now)
        server = world.servers[self.server]
        verdict, finished = server.offer(now, job)
        world.finish_jobs(self.server, finished)
        if verdict is not None:
            self.done(job, verdict)

    def done(self, job: Job, verdict: Verdict) -> None:
        world, sends = self.world, self.world.record.sends
        now = world.now()
        code = {Verdict.OK: rec.OK, Verdict.ERROR: rec.ERROR, Verdict.FULL: rec.FULL}.get(
            verdict, rec.DOWN
        )
        sends.set(self.row, "ended", now)
        sends.set(self.row, "outcome", code)
        worked = job.target > 0 and verdict in (Verdict.OK, Verdict.ERROR)
        sends.set(self.row, "work", int(job.work) if worked else 0)
        self.job = None
        if job.abandoned or self.closed or world.is_partitioned(self):
            return
        if verdict is Verdict.OK:
            sends.set(self.row, "useful", 1)
        if verdict is Verdict.DOWN or (
            world.network.reset_share and world.rng.random() < world.network.reset_share
        ):
            self.transport.abort()
            return
        world.loop.call_later(
            world.one_way_delay(self) / 1e6, self._answer, verdict, self._number, self._size
        )

    def _answer(self, verdict: Verdict, number: bytes, size: int) -> None:
        if self.closed or self.world.is_partitioned(self):
            return
        if verdict is Verdict.OK:
            prefix = b"%b:%d;" % (number, self.server)
            self._write(200, b"", prefix + b"x" * max(0, size - len(prefix)))
        elif verdict is Verdict.FULL:
            self._write(503, b"Not-Started: 1\r\n", b"")
        else:
            self._write(500, b"", b"")

    def _write(self, status: int, headers: bytes, body: bytes) -> None:
        self.transport.write(
            b"HTTP/1.1 %d x\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)
        )
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._idle:
            self._idle.cancel()
        world = self.world
        world.connections[self.server].discard(self)
        server = world.servers[self.server]
        if self.counted and server.alive:
            server.close()
        if (job := self.job) and job.state in ("waiting", "working", "failing"):
            stopped, finished = server.cancel(world.now(), job)
            world.finish_jobs(self.server, finished)
            if stopped:
                world.record.sends.set(self.row, "ended", world.now())
                world.record.sends.set(self.row, "outcome", rec.CANCELLED)


class CounterConnection(asyncio.Protocol):
    """One connection of a gateway to the counter."""

    transport: asyncio.Transport

    def __init__(self, world: World, gateway: int) -> None:
        self.world, self.gateway = world, gateway
        self._partial_line, self._last = b"", 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        connections = self.world.counter_connections[self.gateway]
        if len(connections) >= MAX_COUNTER_CONNECTIONS:
            self.transport.abort()
            return
        connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.world.counter_connections[self.gateway].discard(self)

    def data_received(self, data: bytes) -> None:
        world = self.world
        if not world.network.linked(world.day.gateway_zones[self.gateway], 0):
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\r\n")
        if len(self._partial_line) > MAX_HEAD_BYTES:
            self.transport.abort()
        for line in lines:
            self._call(line)

    def _call(self, line: bytes) -> None:
        world, now = self.world, self.world.now()
        if line == b"ping":
            self._send_in_order(b"pong", now)
            return
        parts = line.split(b" ")
        try:
            verb, name, amount, lifetime_ms = parts[0], parts[1], float(parts[2]), int(parts[3])
            if verb != b"add" or len(parts) != 4 or not 1 <= len(name) <= 64 or abs(amount) > 1e9:
                raise ValueError(line)
        except (ValueError, IndexError):
            self._send_in_order(b"error", now)
            return
        one_way = world.network.latency(
            world.day.gateway_zones[self.gateway], 0, world.rng.random()
        )
        key = int.from_bytes(name, "big")
        answer = world.counter.add(
            now + one_way, key, amount, lifetime_ms * 1000, world.rng.random()
        )
        world.record.calls.add(now, COUNTER_OUTCOMES.index(answer.status))
        if answer.status is CallStatus.OK:
            self._send_in_order(b"ok %.7g" % answer.total, answer.answered_at + one_way)
        elif answer.status is CallStatus.BUSY:
            self._send_in_order(b"busy", answer.answered_at + one_way)
        elif answer.status is CallStatus.SPOILT:
            self._send_in_order(b"ok ?", answer.answered_at + one_way)

    def _send_in_order(self, answer: bytes, at: int) -> None:
        """Sends the answer at `at` or later, so that answers keep the order of the calls."""
        self._last = max(self._last, at)
        delay = max(0, self._last - self.world.now()) / 1e6
        if delay < 0.0005:
            self._write(answer)
        else:
            self.world.loop.call_later(delay, self._write, answer)

    def _write(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer + b"\r\n")


class AgentConnection(asyncio.Protocol):
    """A connection to discovery's agent on the machine of a gateway: lists and watches."""

    transport: asyncio.Transport

    def __init__(self, world: World, gateway: int) -> None:
        self.world, self.gateway = world, gateway
        self._head, self.watching, self.version = b"", False, 0
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.world.watches[self.gateway].discard(self)
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._head += data
        if len(self._head) > MAX_HEAD_BYTES:
            self.transport.abort()
        while b"\r\n\r\n" in self._head and not self.watching:
            head, _, self._head = self._head.partition(b"\r\n\r\n")
            try:
                url = urlsplit(head.split(b"\r\n")[0].split(b" ")[1].decode())
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                begun = int(query.get("from", 0))
            except (ValueError, IndexError):
                self.transport.abort()
                return
            self._answer(query, begun)

    def _answer(self, query: dict[str, str], begun: int) -> None:
        world = self.world
        if not world.discovery.up:
            return
        if "watch" not in query:
            body = self._line(
                world.agents[self.gateway].version, True, world.agents[self.gateway].full_list()
            )
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watching = True
        world.watches[self.gateway].add(self)
        agent = world.agents[self.gateway]
        known = 0 < begun <= agent.version
        self.send_entries(
            agent.version, not known, agent.since(begun) if known else agent.full_list(), first=True
        )
        self._heartbeat_timer = world.loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        if self.world.discovery.up:
            self._chunk(b"\n")
        self._heartbeat_timer = self.world.loop.call_later(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )

    def send_entries(
        self, version: int, full: bool, entries: list[Entry], first: bool = False
    ) -> None:
        if entries or first:
            self._chunk(self._line(version, full, entries) + b"\n")
            for entry in entries:
                code = CODES[entry.status]
                self.world.record.tells.add(self.world.now(), self.gateway, entry.server, code)

    def _line(self, version: int, full: bool, entries: list[Entry]) -> bytes:
        endpoints = [self.world.endpoint(e, self.gateway) for e in entries]
        return json.dumps({"index": version, "snapshot": full, "endpoints": endpoints}).encode()

    def _chunk(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))


class Agent:
    """The entries that the agent of one gateway has received."""

    def __init__(self, entries: list[Entry], version: int) -> None:
        self.version = version
        self.entries = {e.server: e for e in entries}

    def update(self, version: int, entries: list[Entry]) -> None:
        self.version = version
        self.entries |= {e.server: e for e in entries}

    def full_list(self) -> list[Entry]:
        return [
            self.entries[s] for s in sorted(self.entries) if self.entries[s].status != "removed"
        ]

    def since(self, version: int) -> list[Entry]:
        return [self.entries[s] for s in sorted(self.entries) if self.entries[s].version > version]


class World:
    """The modelled servers, counter, discovery and network, with the connections to them."""

    def __init__(self, spec: Spec, drawn: Day) -> None:
        self.spec, self.day, self.record = spec, drawn, Record()
        self.loop, self.rng = asyncio.get_running_loop(), random.Random(drawn.seed)
        self.now = spec.now
        self.network, self.counter = (
            Network.from_figures(drawn.network),
            Counter.from_figures(drawn.counter),
        )
        count = len(drawn.gateway_zones)
        self.discovery = Discovery.from_figures(
            count, drawn.discovery, random.Random(drawn.seed + 1)
        )
        self.servers = [Server(kind, -1) for kind in drawn.servers]
        rules = drawn.scenario.rules
        for server in self.servers:
            server.overload_multiple, server.overload_us = (
                rules.fall_multiple,
                int(rules.fall_ms * 1000),
            )
        self.discovery.initialize(dict.fromkeys(range(len(self.servers)), -1))
        entries = self.discovery.full_list()
        self.agents = [Agent(entries, self.discovery.version) for _ in range(count)]
        self.connections: list[set[ServerConnection]] = [set() for _ in self.servers]
        self.watches: list[set[AgentConnection]] = [set() for _ in range(count)]
        self.counter_connections: list[set[CounterConnection]] = [set() for _ in range(count)]
        self.vanished: set[int] = set()
        self._recorded_falls: set[int] = set()
        self._wake_timers: dict[int, asyncio.TimerHandle] = {}
        self.idle_s = drawn.scenario.server.idle_s
        each = range(count) if spec.per_gateway else (-1,)
        self.ports = [
            [Port(partial(ServerConnection, self, s, g)) for g in each]
            for s in range(len(self.servers))
        ]
        self.counter_ports = [Port(partial(CounterConnection, self, g)) for g in range(count)]
        self.agent_ports = [Port(partial(AgentConnection, self, g)) for g in range(count)]

    # Queries of the connections.

    def one_way_delay(self, connection: ServerConnection) -> int:
        zone = self.day.servers[connection.server].zone
        gateway = self.day.gateway_zones[connection.gateway] if connection.gateway >= 0 else zone
        return self.network.latency(gateway, zone, self.rng.random())

    def is_partitioned(self, connection: ServerConnection) -> bool:
        """Whether the server is unreachable, or the link between it and the gateway is cut."""
        if connection.server in self.vanished:
            return True
        zones = self.day.gateway_zones
        return connection.gateway >= 0 and not self.network.linked(
            zones[connection.gateway], self.day.servers[connection.server].zone
        )

    def endpoint(self, entry: Entry, gateway: int) -> dict[str, Any]:
        ports = self.ports[entry.server]
        port = ports[gateway if len(ports) > 1 else 0].number
        started = (self.spec.unix_us + entry.started) // 1000 if entry.started >= 0 else 0
        zone = self.day.zones[self.day.servers[entry.server].zone]
        return {
            "name": f"s-{entry.server}",
            "address": f"{HOST}:{port}",
            "zone": zone,
            "type": "lab",
            "group": 0,
            "status": entry.status,
            "weight": 1.0,
            "since_ms": started,
        }

    def finish_jobs(self, number: int, finished: list[tuple[Job, Verdict]]) -> None:
        server = self.servers[number]
        if server.failed_overloaded and not server.alive and number not in self._recorded_falls:
            self._recorded_falls.add(number)
            self.record.falls.add(self.now(), number)
            self._close_server(number)
        for job, verdict in finished:
            cast(ServerConnection, job.key).done(job, verdict)
        if handle := self._wake_timers.pop(number, None):
            handle.cancel()
        if due := server.next_event_at():
            wait = max(0, due - self.now()) / 1e6
            self._wake_timers[number] = self.loop.call_later(wait, self._wake, number)

    def _wake(self, number: int) -> None:
        self._wake_timers.pop(number, None)
        self.finish_jobs(number, self.servers[number].advance(self.now()))

    # The endpoint list.

    def list_change(self, server: int, status: str, started: int) -> None:
        # the tool forwards the change to the list service, if one is used
        send_to_tool(list=server, status=status, started=started)
        for gateway, when in self.discovery.change(self.now(), server, status, started).items():
            self.loop.call_later(max(0, when - self.now()) / 1e6, self._notify_watches, gateway)

    def _notify_watches(self, gateway: int) -> None:
        version, entries = self.discovery.take_update(gateway)
        if not entries:
            return
        self.agents[gateway].update(version, entries)
        for watch in list(self.watches[gateway]):
            watch.send_entries(version, False, entries)

    # Starts and ends of servers.

    def _close_server(self, number: int) -> None:
        for port in self.ports[number]:
            port.refuse()
        for connection in list(self.connections[number]):
            connection.transport.abort()
        self._schedule_removal(number, self.day.discovery["notice_s"])

    def _schedule_removal(self, number: int, wait: float) -> None:
        started = self.servers[number].started
        self.loop.call_later(wait, self._remove_if_dead, number, started)

    def _remove_if_dead(self, number: int, started: int) -> None:
        if not self.servers[number].alive and self.servers[number].started == started:
            self.list_change(number, "removed", started)

    def vanish(self, number: int) -> None:
        if not self.servers[number].alive:
            return
        self.vanished.add(number)
        for port in self.ports[number]:
            port.stop_answering()
        self.servers[number].terminate(self.now())
        self._schedule_removal(number, self.day.discovery["silent_notice_s"])

    def begin(self, number: int) -> None:
        self.vanished.discard(number)
        for connection in list(self.connections[number]):
            connection.transport.abort()
        self.servers[number].start(self.now())
        self._recorded_falls.discard(number)
        for port in self.ports[number]:
            port.open()
        started = self.servers[number].started
        self.loop.call_later(self.day.discovery["add_s"], self._add_if_alive, number, started)

    def _add_if_alive(self, number: int, started: int) -> None:
        if self.servers[number].alive and self.servers[number].started == started:
            self.list_change(number, "up", started)

    def _replace_when_idle(self, number: int) -> None:
        server = self.servers[number]
        if not server.alive:
            return
        if server.request_count():
            self.loop.call_later(0.1, self._replace_when_idle, number)
            return
        server.terminate(self.now())
        for connection in list(self.connections[number]):
            connection.transport.abort()
        self.begin(number)

    def apply_step(self, step: Step) -> None:
        server = self.servers[step.target] if 0 <= step.target < len(self.servers) else None
        match step.verb:
            case "cut":
                self.network.partitioned_zones.add(step.target)
                self._apply_to_zone_ports(step.target, Port.stop_answering)
            case "mend":
                self.network.partitioned_zones.discard(step.target)
                self._apply_to_zone_ports(step.target, Port.open)
            case "vanish":
                self.vanish(step.target)
            case "begin":
                self.begin(step.target)
            case "slow" if server:
                server.slowdown = step.value
            case "failing" if server:
                server.failure_share = step.value
            case "replace" if server and server.alive:
                self.list_change(step.target, "draining", server.started)
                grace = (
                    self.day.discovery["period_ms"] + self.day.discovery["spread_ms"] + 500
                ) / 1000
                self.loop.call_later(grace, self._replace_when_idle, step.target)
            case "drain" | "undrain" if server and server.alive:
                self.list_change(
                    step.target, "draining" if step.verb == "drain" else "up", server.started
                )
            case "discovery_down":
                self.discovery.up = False
            case "discovery_up":
                self.discovery.up = True
                for gateway, when in self.discovery.notification_times(self.now()).items():
                    self.loop.call_later(
                        max(0, when - self.now()) / 1e6, self._notify_watches, gateway
                    )
            case "counter_down":
                self.counter.stop()
                for port in self.counter_ports:
                    port.refuse()
                for connections in self.counter_connections:
                    for connection in list(connections):
                        connection.transport.abort()
            case "counter_up":
                self.counter.restart(self.now())
                for port in self.counter_ports:
                    port.open()
            case "counter_spoilt":
                self.counter.invalid_share = step.value
            case "resets":
                self.network.reset_share = step.value
            case _:
                pass

    def _apply_to_zone_ports(self, zone: int, act: Callable[[Port], None]) -> None:
        """Calls `act` for each port between the zone and the others."""
        for server, ports in enumerate(self.ports):
            for gateway, port in enumerate(ports):
                here, there = self.day.servers[server].zone, self.day.gateway_zones[gateway]
                if here != there and zone in (here, there) and server not in self.vanished:
                    act(port)
        # connections that lasted through the cut are reset once it is over (PROTOCOL)
        if act is Port.open:
            for connections in self.connections:
                for connection in list(connections):
                    here = self.day.servers[connection.server].zone
                    there = (
                        self.day.gateway_zones[connection.gateway]
                        if connection.gateway >= 0
                        else here
                    )
                    if here != there and zone in (here, there):
                        connection.transport.abort()

    # The run.

    def sample(self) -> None:
        now, seen = self.now(), []
        for number, server in enumerate(self.servers):
            self.finish_jobs(number, server.advance(now))
            row = (
                server.request_count(),
                server.connections,
                int(server.capacity_used),
                int(server.warmth(now) * 1000),
            )
            self.record.servers.add(now, number, *row, int(server.alive), server.kind.slots)
            seen.append((*row, server.alive))
        send_to_tool(servers=seen, at=now, calls=self.counter.calls)
        self.loop.call_later(1.0, self.sample)


async def main() -> None:
    spec = spec_from_argv()
    drawn = day(parse(spec.scenario, spec.name), spec.seed)
    world = World(spec, drawn)
    send_to_tool(
        ready=True,
        servers=[[p.number for p in ports] for ports in world.ports],
        counters=[p.number for p in world.counter_ports],
        agents=[p.number for p in world.agent_ports],
        known=[
            world.endpoint(e, g) for g in range(spec.gateways) for e in world.discovery.full_list()
        ],
    )

    def on_message(message: dict[str, Any]) -> bool:
        if "began_ns" in message:
            spec.began_ns, spec.unix_us = message["began_ns"], message["unix_us"]
            for step in plan(drawn):
                if not step.on_gateways:
                    world.loop.call_later(
                        max(0, step.at - world.now()) / 1e6, world.apply_step, step
                    )
            world.loop.call_later(max(0, -world.now()) / 1e6, world.sample)
        if "step" in message:
            world.apply_step(
                Step(0, message["step"], message.get("target", -1), message.get("value", 0.0))
            )
        return "end" in message

    await listen_to_tool(on_message)
    world.record.save(Path(spec.folder) / "standins.npz")


if __name__ == "__main__":
    uvloop.run(main())
