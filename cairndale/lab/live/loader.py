"""The load of a live run: open, drawn ahead, never waiting for answers.

Latency counts from the moment a request was due, so a late loader or a stalled gateway hides
nothing; the loader's own lateness is kept beside it. Members are shared out over the loaders by
their number."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import sys
from collections import Counter, deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import httptools
import uvloop
from hdrh.histogram import HdrHistogram

from cairndale.lab import record as rec
from cairndale.lab.draw import SECOND, day
from cairndale.lab.live.worker import Spec, listen_to_tool, say, spec_from_argv
from cairndale.lab.record import Record
from cairndale.lab.scenario import parse
from cairndale.lab.world import clients as world_clients
from cairndale.lab.world.clients import Arrival, Clients

HOST = "127.0.0.1"
OPEN_MOST = 4096  # connections of one loader; further tries count as unreached, and the run as void
AHEAD = 3 * SECOND  # us of arrivals that are drawn ahead of their time
DRAWN_AT_ONCE = 64
LOOK = 20_000  # us between looks where nothing is due
KEEP = 20.0  # s that an idle connection is kept
LONGEST = 120 * SECOND  # us that the histograms hold


def histogram() -> Any:
    """us, three digits."""
    return HdrHistogram(1, LONGEST, 3)


class Try:
    __slots__ = ("arrival", "gateway", "id", "link", "number", "over", "root", "row", "until")

    def __init__(
        self, arrival: Arrival, root: int, number: int, id: int, gateway: int, until: int, row: int
    ):
        self.arrival, self.root, self.number, self.id = arrival, root, number, id
        self.gateway, self.until, self.row = gateway, until, row
        self.over = False
        self.link: Link | None = None


class Link(asyncio.Protocol):
    """A client's connection to a gateway: one request at a time."""

    transport: asyncio.Transport

    def __init__(self, load: Load, gateway: int, life: int) -> None:
        self.load, self.gateway, self.life = load, gateway, life
        self.trying: Try | None = None
        self.lost = self.used = False
        self.rested = 0.0
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._length, self._advice, self._whole = b"", 0, 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, trying: Try, data: bytes) -> None:
        self.trying, trying.link = trying, self
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.trying is None:
            if data:
                self.load.fault(2, 0, self.gateway)  # more than was asked for
                self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.load.broken(self.trying)
            self.transport.abort()
            return
        if self._whole:
            self._answered()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self._advice = int(float(value) * SECOND)

    def on_body(self, data: bytes) -> None:
        self._length += len(data)
        if len(self._body) < 64:
            self._body += data[:64]

    def on_message_complete(self) -> None:
        self._whole = True

    def _answered(self) -> None:
        trying, status = self.trying, self._parser.get_status_code()
        keep, advice, body = self._parser.should_keep_alive(), self._advice, self._body
        assert trying
        self.trying = None
        self.used = True
        self._reset()
        if keep:
            self.load.rest(self)
        else:
            self.transport.close()
        if status == 200:
            if not body.startswith(b"%016x:" % trying.id) and not self.load.bare:
                self.load.fault(1, trying.id, self.gateway)
            self.load.heard(trying, rec.SERVED)
        elif status in (429, 503):
            self.load.heard(trying, rec.REFUSED, advice)
        else:
            self.load.heard(trying, rec.FAILED)

    def eof_received(self) -> None:
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.load.open -= 1
        self.load.left(self)
        if trying := self.trying:
            self.trying = None
            unread = self.used and self._length == 0 and not self._whole
            if unread and self.load.again_at_once(trying):
                return  # the close crossed the request: the client sends it once more (PROTOCOL)
            self.load.broken(trying)


class Load:
    def __init__(self, spec: Spec) -> None:
        self.spec, self.record, self.bare = spec, Record(), spec.rate > 0
        self.day = day(parse(spec.scenario, spec.name), spec.seed)
        self.clients, self.loop = Clients(self.day), asyncio.get_running_loop()
        self.now = spec.now
        self.ports: list[int] = [0] * spec.gateways
        self.lives = [0] * spec.gateways
        self.down: set[int] = set()
        self.idle: list[list[Link]] = [[] for _ in range(spec.gateways)]
        self.open = self.most_open = self.count = self.crowded = 0
        self.lateness, self.latency = histogram(), histogram()
        self.seen: Counter[str] = Counter()
        self._ahead: deque[Arrival] = deque()
        self._all_drawn = False
        self._waiting = 0  # tries that come again after a wait
        self._connecting: set[asyncio.Task[None]] = set()
        self._resent: set[int] = set()
        self._ended: set[int] = set()  # tries that are through
        self._slack = int(self.day.scenario.rules.answer_slack_ms * 1000)
        self.asked_work = 0.0
        self.finished = asyncio.Event()

    # What is due.

    async def run(self) -> None:
        drawing = self.loop.create_task(self._draw())
        try:
            await self._send_due()
        finally:
            drawing.cancel()
        self.finished.set()

    async def _draw(self) -> None:
        """Keeps `AHEAD` of arrivals drawn, off the loop, so that drawing makes no request late."""
        source = self._rows()
        while True:
            while self._ahead and self._ahead[-1].due > self.now() + AHEAD:
                await asyncio.sleep(0.05)
            drawn = await asyncio.to_thread(lambda: list(itertools.islice(source, DRAWN_AT_ONCE)))
            if not drawn:
                break
            self._ahead.extend(drawn)
        self._all_drawn = True

    async def _send_due(self) -> None:
        ahead = self._ahead
        while ahead or not self._all_drawn or self._waiting or self.count > len(self._ended):
            now = self.now()
            while ahead and ahead[0].due <= now:
                arrival = ahead.popleft()
                self._late(now - arrival.due)
                self.asked_work += arrival.work
                self._begin(arrival, -1, 0, -1)
            if self._all_drawn and not ahead and now > self.spec.length_s * SECOND + LONGEST:
                break
            soon = ahead[0].due if ahead else now + LOOK
            await asyncio.sleep(max(0.0, min(soon - self.now(), LOOK) / 1e6))

    def _rows(self) -> Iterator[Arrival]:
        if self.bare:
            yield from self._even()
            return
        for arrival in self.clients.arrivals():
            if arrival.customer % self.spec.workers == self.spec.number:
                yield arrival

    def _even(self) -> Iterator[Arrival]:
        """For measuring limits: requests at an even pace, of one member each, with little work."""
        rng = self.day.stream(f"even.{self.spec.number}")
        step = SECOND * self.spec.workers / self.spec.rate
        at, plan = step * self.spec.number / self.spec.workers, len(self.day.plans) - 1
        while at < self.spec.length_s * SECOND:
            draws = tuple(rng.random(world_clients.DRAW_COUNT).tolist())
            yield Arrival(
                int(at), int(rng.integers(1 << 33)), plan, 0, self.spec.gateways, 0, 1.0, draws
            )
            at += step

    def _late(self, us: int) -> None:
        self.lateness.record_value(max(1, min(us, LONGEST)))

    # Tries.

    def _begin(self, arrival: Arrival, root: int, number: int, before: int) -> None:
        now = self.now()
        gateway = self.clients.choose_ingress(arrival, now, number, frozenset(self.down), before)
        self.count += 1
        id = ((self.spec.number + 1) << 40) + self.count
        until, _ = self.clients.deadlines(arrival, now)
        root = root if root >= 0 else id
        row = self.record.tries.add(
            id,
            root,
            arrival.customer,
            arrival.plan,
            arrival.cls,
            gateway,
            arrival.due,
            now,
            until,
            -1,
            rec.NONE,
            0,
        )
        trying = Try(arrival, root, number, id, gateway, until, row)
        self.seen["tries"] += 1
        if gateway < 0:
            self.heard(trying, rec.UNREACHED)
            return
        self._send(trying)
        self.loop.call_later(max(0, until - now) / 1e6, self._expired, trying)
        if quits := self.clients.quit_after(arrival):
            self.loop.call_later(min(quits, until - now) / 1e6, self._quits, trying)

    def _request(self, trying: Try) -> bytes:
        a, cls = trying.arrival, self.day.classes[trying.arrival.cls]
        draw = a.draws[world_clients.ATTEMPT_DRAW]
        t = self.day.traffic
        low, high = 200, max(201, int(t["body_bytes"]))
        size = int(low + (high - low) * a.draws[world_clients.BYTES_DRAW])
        if a.draws[world_clients.LARGE_DRAW] < t["large_share"]:
            size = int(t["large_bytes"])
        left = max(1, trying.until - self.now())
        return (
            f"GET /{cls.name}/x?w={a.work:.0f}&e={draw:.6f}&b={size} HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {trying.id:016x}\r\nX-Plan: {self.day.plans[a.plan].name}\r\n"
            f"Cookie: customer={a.customer:016x}\r\nRequest-Timeout: {left}u\r\n"
            f"X-Quota: units=1,spread={a.spread},first={a.first}\r\n\r\n"
        ).encode()

    def _send(self, trying: Try) -> None:
        idle, data = self.idle[trying.gateway], self._request(trying)
        while idle:
            link = idle.pop()
            if not link.lost and not link.transport.is_closing():
                link.send(trying, data)
                return
        if self.open >= OPEN_MOST:
            self.crowded += 1
            self.heard(trying, rec.UNREACHED)
            return
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        task = self.loop.create_task(self._connect(trying))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, trying: Try) -> None:
        gateway = trying.gateway
        try:
            async with asyncio.timeout(max(0.001, (trying.until - self.now()) / 1e6)):
                _, link = await self.loop.create_connection(
                    lambda: Link(self, gateway, self.lives[gateway]), HOST, self.ports[gateway]
                )
        except OSError:
            self.open -= 1
            if not trying.over:
                self.heard(trying, rec.UNREACHED)
            return
        if trying.over:
            self.rest(link)
        else:
            link.send(trying, self._request(trying))

    def rest(self, link: Link) -> None:
        if not link.lost and link.life == self.lives[link.gateway]:
            link.rested = self.loop.time()
            self.idle[link.gateway].append(link)
        else:
            link.transport.close()

    def left(self, link: Link) -> None:
        if link in self.idle[link.gateway]:
            self.idle[link.gateway].remove(link)

    def sweep(self) -> None:
        oldest = self.loop.time() - KEEP
        for idle in self.idle:
            while idle and idle[0].rested < oldest:
                idle.pop(0).transport.close()

    def again_at_once(self, trying: Try) -> bool:
        if trying.id in self._resent or trying.over:
            return False
        self._resent.add(trying.id)
        self._send(trying)
        return True

    def broken(self, trying: Try) -> None:
        self.heard(trying, rec.BROKEN)

    def heard(self, trying: Try, kind: int, advice: int = 0) -> None:
        """Its final answer, or its end without one; what comes after its time is kept, and earns
        nothing."""
        now, tries = self.now(), self.record.tries
        tries.set(trying.row, "ended", now)
        tries.set(trying.row, "kind", kind)
        tries.set(trying.row, "advice", advice)
        self._ended.add(trying.id)
        self.seen[rec.KINDS[kind]] += 1
        if kind == rec.SERVED:
            self.latency.record_value(max(1, min(now - trying.arrival.due, LONGEST)))
        if trying.over:
            return
        trying.over = True
        if kind != rec.SERVED:
            self._retry(trying, advice)

    def _retry(self, trying: Try, advice: int) -> None:
        again = (
            0
            if self.bare
            else self.clients.retry_at(trying.arrival, self.now(), trying.number + 1, advice)
        )
        if again:
            self._waiting += 1
            self.loop.call_later(max(0, again - self.now()) / 1e6, self._try_again, again, trying)

    def _try_again(self, due: int, before: Try) -> None:
        self._waiting -= 1
        self._late(self.now() - due)
        self._begin(before.arrival, before.root, before.number + 1, before.gateway)

    def _expired(self, trying: Try) -> None:
        """The client tries elsewhere; a last word is listened for a little longer."""
        if trying.over:
            return
        trying.over = True
        self._retry(trying, 0)
        self.loop.call_later(self._slack / 1e6, self._let_go, trying)

    def _let_go(self, trying: Try) -> None:
        if trying.id not in self._ended:
            self._ended.add(trying.id)
            self.seen["none"] += 1
            self._drop(trying)

    def _quits(self, trying: Try) -> None:
        if not trying.over:
            trying.over = True
            self.record.tries.set(trying.row, "kind", rec.GONE)
            self._ended.add(trying.id)
            self.seen["client left"] += 1
            self._drop(trying)

    def _drop(self, trying: Try) -> None:
        if trying.link and trying.link.trying is trying:
            trying.link.trying = None
            trying.link.transport.abort()

    def fault(self, code: int, a: int, b: int) -> None:
        self.record.faults.add(self.now(), code, a, b)

    # The tool.

    def told(self, said: dict[str, Any]) -> None:
        if "gateway" in said:
            gateway = said["gateway"]
            if "port" in said:
                self.ports[gateway] = said["port"]
                self.lives[gateway] += 1
            if said.get("down") is True:
                self.down.add(gateway)
            elif said.get("down") is False:
                self.down.discard(gateway)

    def report(self) -> None:
        figures = [self.latency.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        late = self.lateness.get_value_at_percentile(99) / 1000
        say(load=dict(self.seen), at=self.now(), latency_ms=figures, late_ms=late, open=self.open)
        self.sweep()
        self.loop.call_later(1.0, self.report)

    def figures(self) -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "latency": self.latency.encode().decode(),
            "lateness": self.lateness.encode().decode(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "crowded": self.crowded,
            "most_open": self.most_open,
            "asked_work": self.asked_work,
            "seen": dict(self.seen),
        }


async def main() -> None:
    spec = spec_from_argv()
    load = Load(spec)
    say(ready=True)
    running: list[asyncio.Task[None]] = []

    def heard(said: dict[str, Any]) -> bool:
        load.told(said)
        if "began_ns" in said:
            spec.began_ns, spec.unix_us = said["began_ns"], said["unix_us"]
            running.append(load.loop.create_task(load.run()))
            running[0].add_done_callback(lambda _: say(finished=True, **load.figures()))
            load.report()
        return "end" in said

    await listen_to_tool(heard)
    for task in running:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    load.record.save(Path(spec.folder) / f"loader-{spec.number}.npz")


if __name__ == "__main__":
    sys.setswitchinterval(0.0005)  # s: drawing in a thread must not hold the loop
    uvloop.run(main())
