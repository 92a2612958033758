"""The load of a live run: open-loop, drawn ahead of time, never waiting for answers.

Latency is measured from the time at which a request was due, so that neither a late loader nor a
stalled gateway hides delays (coordinated omission). The loader's own lateness is recorded beside
it. Members are distributed over the loaders by their number."""

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
from cairndale.lab.live.worker import Spec, listen_to_tool, send_to_tool, spec_from_argv
from cairndale.lab.record import Record
from cairndale.lab.scenario import parse
from cairndale.lab.world import clients as world_clients
from cairndale.lab.world.clients import Arrival, Clients

HOST = "127.0.0.1"
MAX_CONNECTIONS = 4096  # of one loader; beyond it attempts are unreached, and the run is void
DRAW_AHEAD_US = 3 * SECOND  # arrivals are drawn this long before they are due
DRAW_BATCH = 64
IDLE_POLL_US = 20_000  # between checks while no request is due
KEEP_ALIVE_S = 20.0  # for which an idle connection is kept open
MAX_LATENCY_US = 120 * SECOND  # highest value of the histograms


def histogram() -> Any:
    """A histogram of us with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


class Attempt:
    """One attempt of a client's request at one gateway."""

    __slots__ = (
        "arrival",
        "client_done",
        "connection",
        "deadline",
        "gateway",
        "id",
        "number",
        "root",
        "row",
    )

    def __init__(
        self,
        arrival: Arrival,
        root: int,
        number: int,
        id: int,
        gateway: int,
        deadline: int,
        row: int,
    ):
        self.arrival, self.root, self.number, self.id = arrival, root, number, id
        self.gateway, self.deadline, self.row = gateway, deadline, row
        self.client_done = False
        self.connection: ClientConnection | None = None


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway: one request at a time."""

    transport: asyncio.Transport

    def __init__(self, load: Load, gateway: int, epoch: int) -> None:
        self.load, self.gateway, self.epoch = load, gateway, epoch
        self.attempt: Attempt | None = None
        self.lost = self.used = False
        self.idle_since = 0.0
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._length, self._retry_after_us, self._complete = b"", 0, 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, attempt: Attempt, data: bytes) -> None:
        self.attempt, attempt.connection = attempt, self
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            if data:
                self.load.fault(2, 0, self.gateway)  # more bytes than one response
                self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.load.finish_broken(self.attempt)
            self.transport.abort()
            return
        if self._complete:
            self._answered()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self._retry_after_us = int(float(value) * SECOND)

    def on_body(self, data: bytes) -> None:
        self._length += len(data)
        if len(self._body) < 64:
            self._body += data[:64]

    def on_message_complete(self) -> None:
        self._complete = True

    def _answered(self) -> None:
        attempt, status = self.attempt, self._parser.get_status_code()
        keep, advice, body = self._parser.should_keep_alive(), self._retry_after_us, self._body
        assert attempt
        self.attempt = None
        self.used = True
        self._reset()
        if keep:
            self.load.release(self)
        else:
            self.transport.close()
        if status == 200:
            if not body.startswith(b"%016x:" % attempt.id) and not self.load.rate_only:
                self.load.fault(1, attempt.id, self.gateway)
            self.load.finish_attempt(attempt, rec.SERVED)
        elif status in (429, 503):
            self.load.finish_attempt(attempt, rec.REFUSED, advice)
        else:
            self.load.finish_attempt(attempt, rec.FAILED)

    def eof_received(self) -> None:
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.load.open -= 1
        self.load.on_closed(self)
        if attempt := self.attempt:
            self.attempt = None
            unread = self.used and self._length == 0 and not self._complete
            if unread and self.load.resend_once(attempt):
                return  # the request crossed the close: the client resends it once (PROTOCOL)
            self.load.finish_broken(attempt)


class Load:
    """The load of one loader, with its record."""

    def __init__(self, spec: Spec) -> None:
        self.spec, self.record, self.rate_only = spec, Record(), spec.rate > 0
        self.day = day(parse(spec.scenario, spec.name), spec.seed)
        self.clients, self.loop = Clients(self.day), asyncio.get_running_loop()
        self.now = spec.now
        self.ports: list[int] = [0] * spec.gateways
        self.epochs = [0] * spec.gateways
        self.down: set[int] = set()
        self.idle: list[list[ClientConnection]] = [[] for _ in range(spec.gateways)]
        self.open = self.most_open = self.count = self.crowded = 0
        self.lateness, self.latency = histogram(), histogram()
        self.outcomes: Counter[str] = Counter()
        self._drawn_arrivals: deque[Arrival] = deque()
        self._all_drawn = False
        self._pending_retries = 0  # retries that wait for their time
        self._connecting: set[asyncio.Task[None]] = set()
        self._resent: set[int] = set()
        self._finished_ids: set[int] = set()  # of attempts
        self._slack = int(self.day.scenario.rules.answer_slack_ms * 1000)
        self.asked_work = 0.0
        self.finished = asyncio.Event()

    # Arrivals.

    async def run(self) -> None:
        drawing = self.loop.create_task(self._draw())
        try:
            await self._send_due()
        finally:
            drawing.cancel()
        self.finished.set()

    async def _draw(self) -> None:
        """Draws arrivals `DRAW_AHEAD_US` ahead, in a thread, so that drawing delays no request."""
        source = self._arrivals()
        while True:
            while (
                self._drawn_arrivals and self._drawn_arrivals[-1].due > self.now() + DRAW_AHEAD_US
            ):
                await asyncio.sleep(0.05)
            drawn = await asyncio.to_thread(lambda: list(itertools.islice(source, DRAW_BATCH)))
            if not drawn:
                break
            self._drawn_arrivals.extend(drawn)
        self._all_drawn = True

    async def _send_due(self) -> None:
        ahead = self._drawn_arrivals
        while (
            ahead
            or not self._all_drawn
            or self._pending_retries
            or self.count > len(self._finished_ids)
        ):
            now = self.now()
            while ahead and ahead[0].due <= now:
                arrival = ahead.popleft()
                self._record_lateness(now - arrival.due)
                self.asked_work += arrival.work
                self._start_attempt(arrival, -1, 0, -1)
            if self._all_drawn and not ahead and now > self.spec.length_s * SECOND + MAX_LATENCY_US:
                break
            next_due = ahead[0].due if ahead else now + IDLE_POLL_US
            await asyncio.sleep(max(0.0, min(next_due - self.now(), IDLE_POLL_US) / 1e6))

    def _arrivals(self) -> Iterator[Arrival]:
        if self.rate_only:
            yield from self._even_arrivals()
            return
        for arrival in self.clients.arrivals():
            if arrival.customer % self.spec.workers == self.spec.number:
                yield arrival

    def _even_arrivals(self) -> Iterator[Arrival]:
        """Evenly spaced requests with little work, of random members, for measuring limits."""
        rng = self.day.stream(f"even.{self.spec.number}")
        step = SECOND * self.spec.workers / self.spec.rate
        at, plan = step * self.spec.number / self.spec.workers, len(self.day.plans) - 1
        while at < self.spec.length_s * SECOND:
            draws = tuple(rng.random(world_clients.DRAW_COUNT).tolist())
            yield Arrival(
                int(at), int(rng.integers(1 << 33)), plan, 0, self.spec.gateways, 0, 1.0, draws
            )
            at += step

    def _record_lateness(self, us: int) -> None:
        self.lateness.record_value(max(1, min(us, MAX_LATENCY_US)))

    # Attempts.

    def _start_attempt(self, arrival: Arrival, root: int, number: int, before: int) -> None:
        now = self.now()
        gateway = self.clients.choose_ingress(arrival, now, number, frozenset(self.down), before)
        self.count += 1
        id = ((self.spec.number + 1) << 40) + self.count
        deadline, _ = self.clients.deadlines(arrival, now)
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
            deadline,
            -1,
            rec.NONE,
            0,
        )
        attempt = Attempt(arrival, root, number, id, gateway, deadline, row)
        self.outcomes["tries"] += 1
        if gateway < 0:
            self.finish_attempt(attempt, rec.UNREACHED)
            return
        self._send(attempt)
        self.loop.call_later(max(0, deadline - now) / 1e6, self._expired, attempt)
        if quits := self.clients.quit_after(arrival):
            self.loop.call_later(min(quits, deadline - now) / 1e6, self._client_quits, attempt)

    def _request(self, attempt: Attempt) -> bytes:
        a, cls = attempt.arrival, self.day.classes[attempt.arrival.cls]
        draw = a.draws[world_clients.ATTEMPT_DRAW]
        t = self.day.traffic
        low, high = 200, max(201, int(t["body_bytes"]))
        size = int(low + (high - low) * a.draws[world_clients.BYTES_DRAW])
        if a.draws[world_clients.LARGE_DRAW] < t["large_share"]:
            size = int(t["large_bytes"])
        left = max(1, attempt.deadline - self.now())
        return (
            f"GET /{cls.name}/x?w={a.work:.0f}&e={draw:.6f}&b={size} HTTP/1.1\r\nHost: app.svc\r\n"
            f"Request-Id: {attempt.id:016x}\r\nX-Plan: {self.day.plans[a.plan].name}\r\n"
            f"Cookie: customer={a.customer:016x}\r\nRequest-Timeout: {left}u\r\n"
            f"X-Quota: units=1,spread={a.spread},first={a.first}\r\n\r\n"
        ).encode()

    def _send(self, attempt: Attempt) -> None:
        idle, data = self.idle[attempt.gateway], self._request(attempt)
        while idle:
            connection = idle.pop()
            if not connection.lost and not connection.transport.is_closing():
                connection.send(attempt, data)
                return
        if self.open >= MAX_CONNECTIONS:
            self.crowded += 1
            self.finish_attempt(attempt, rec.UNREACHED)
            return
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        task = self.loop.create_task(self._connect(attempt))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, attempt: Attempt) -> None:
        gateway = attempt.gateway
        try:
            async with asyncio.timeout(max(0.001, (attempt.deadline - self.now()) / 1e6)):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(self, gateway, self.epochs[gateway]),
                    HOST,
                    self.ports[gateway],
                )
        except OSError:
            self.open -= 1
            if not attempt.client_done:
                self.finish_attempt(attempt, rec.UNREACHED)
            return
        if attempt.client_done:
            self.release(connection)
        else:
            connection.send(attempt, self._request(attempt))

    def release(self, connection: ClientConnection) -> None:
        if not connection.lost and connection.epoch == self.epochs[connection.gateway]:
            connection.idle_since = self.loop.time()
            self.idle[connection.gateway].append(connection)
        else:
            connection.transport.close()

    def on_closed(self, connection: ClientConnection) -> None:
        if connection in self.idle[connection.gateway]:
            self.idle[connection.gateway].remove(connection)

    def sweep(self) -> None:
        oldest = self.loop.time() - KEEP_ALIVE_S
        for idle in self.idle:
            while idle and idle[0].idle_since < oldest:
                idle.pop(0).transport.close()

    def resend_once(self, attempt: Attempt) -> bool:
        if attempt.id in self._resent or attempt.client_done:
            return False
        self._resent.add(attempt.id)
        self._send(attempt)
        return True

    def finish_broken(self, attempt: Attempt) -> None:
        self.finish_attempt(attempt, rec.BROKEN)

    def finish_attempt(self, attempt: Attempt, kind: int, advice: int = 0) -> None:
        """Records the final answer of an attempt, or its end without one.

        An answer after the client stopped waiting is recorded, but has no other effect."""
        now, tries = self.now(), self.record.tries
        tries.set(attempt.row, "ended", now)
        tries.set(attempt.row, "kind", kind)
        tries.set(attempt.row, "advice", advice)
        self._finished_ids.add(attempt.id)
        self.outcomes[rec.KINDS[kind]] += 1
        if kind == rec.SERVED:
            self.latency.record_value(max(1, min(now - attempt.arrival.due, MAX_LATENCY_US)))
        if attempt.client_done:
            return
        attempt.client_done = True
        if kind != rec.SERVED:
            self._retry(attempt, advice)

    def _retry(self, attempt: Attempt, advice: int) -> None:
        retry_at = (
            0
            if self.rate_only
            else self.clients.retry_at(attempt.arrival, self.now(), attempt.number + 1, advice)
        )
        if retry_at:
            self._pending_retries += 1
            self.loop.call_later(
                max(0, retry_at - self.now()) / 1e6, self._start_retry, retry_at, attempt
            )

    def _start_retry(self, due: int, before: Attempt) -> None:
        self._pending_retries -= 1
        self._record_lateness(self.now() - due)
        self._start_attempt(before.arrival, before.root, before.number + 1, before.gateway)

    def _expired(self, attempt: Attempt) -> None:
        """The client retries elsewhere; an answer is still accepted for `answer_slack_ms`."""
        if attempt.client_done:
            return
        attempt.client_done = True
        self._retry(attempt, 0)
        self.loop.call_later(self._slack / 1e6, self._stop_waiting, attempt)

    def _stop_waiting(self, attempt: Attempt) -> None:
        if attempt.id not in self._finished_ids:
            self._finished_ids.add(attempt.id)
            self.outcomes["none"] += 1
            self._abort(attempt)

    def _client_quits(self, attempt: Attempt) -> None:
        if not attempt.client_done:
            attempt.client_done = True
            self.record.tries.set(attempt.row, "kind", rec.GONE)
            self._finished_ids.add(attempt.id)
            self.outcomes["client left"] += 1
            self._abort(attempt)

    def _abort(self, attempt: Attempt) -> None:
        if attempt.connection and attempt.connection.attempt is attempt:
            attempt.connection.attempt = None
            attempt.connection.transport.abort()

    def fault(self, code: int, a: int, b: int) -> None:
        self.record.faults.add(self.now(), code, a, b)

    # Messages from and to the tool.

    def on_tool_message(self, message: dict[str, Any]) -> None:
        if "gateway" in message:
            gateway = message["gateway"]
            if "port" in message:
                self.ports[gateway] = message["port"]
                self.epochs[gateway] += 1
            if message.get("down") is True:
                self.down.add(gateway)
            elif message.get("down") is False:
                self.down.discard(gateway)

    def report(self) -> None:
        figures = [self.latency.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        late = self.lateness.get_value_at_percentile(99) / 1000
        send_to_tool(
            load=dict(self.outcomes),
            at=self.now(),
            latency_ms=figures,
            late_ms=late,
            open=self.open,
        )
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
            "seen": dict(self.outcomes),
        }


async def main() -> None:
    spec = spec_from_argv()
    load = Load(spec)
    send_to_tool(ready=True)
    running: list[asyncio.Task[None]] = []

    def on_message(message: dict[str, Any]) -> bool:
        load.on_tool_message(message)
        if "began_ns" in message:
            spec.began_ns, spec.unix_us = message["began_ns"], message["unix_us"]
            running.append(load.loop.create_task(load.run()))
            running[0].add_done_callback(lambda _: send_to_tool(finished=True, **load.figures()))
            load.report()
        return "end" in message

    await listen_to_tool(on_message)
    for task in running:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    load.record.save(Path(spec.folder) / f"loader-{spec.number}.npz")


if __name__ == "__main__":
    sys.setswitchinterval(0.0005)  # s: the thread that draws must not block the event loop
    uvloop.run(main())
