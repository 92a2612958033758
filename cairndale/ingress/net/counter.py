"""The counter's client: calls written one behind another on one connection, answers paired in their
order."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable
from typing import cast

from cairndale.ingress.policy.interface import Outcome

PING_INTERVAL_S = 2.5  # s: the counter closes what has stood idle for some 10 s or less
# s that every time limit is longer on sockets: a crowded counter answers a little late
TIMEOUT_SLACK_S = 0.05
ANSWER_TIMEOUT_S = (
    2.0  # s without the answer that is due, after which the connection is taken for dead
)
BACKOFF_S = (0.05, 1.0)  # s between tries to connect: the first, the longest
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 256
MAX_TTL_MS = 60_000

CounterCallback = Callable[[Outcome, float], None]
log = logging.getLogger(__name__)


class CounterCall:
    __slots__ = ("callback", "is_ping", "started_at")

    def __init__(self, answered: CounterCallback | None, at: float) -> None:
        self.callback, self.started_at = answered, at  # None: a ping, or a call that was given up
        self.is_ping = answered is None

    def end(self, outcome: Outcome, total: float = 0.0) -> None:
        answered, self.callback = self.callback, None
        if answered:
            answered(outcome, total)


class QuotaCounterClient:
    def __init__(self, address: tuple[str, int], timeout_us: int) -> None:
        self.address, self.timeout = address, timeout_us / 1e6 + TIMEOUT_SLACK_S
        self._connection: CounterConnection | None = None
        self._pending: dict[CounterCall, bytes] | None = (
            None  # calls while a line that was well is made anew
        )
        # at the address before, with calls that may yet be answered
        self._previous: CounterConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.connected = asyncio.Event()  # set from the first connection on

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep_connected())

    def stop(self) -> None:
        if self._task:
            self._task.cancel()
        for line in (self._connection, self._previous):
            if line:
                line.transport.abort()

    def update_timeout(self, timeout_us: int) -> None:
        """Another time-out, for calls written from now on."""
        self.timeout = timeout_us / 1e6 + TIMEOUT_SLACK_S
        if self._connection:
            self._connection.timeout = self.timeout

    def update_address(self, address: tuple[str, int]) -> None:
        """The counter is elsewhere from now on: new calls wait for a connection there, and those
        that are out have their time for an answer."""
        if address == self.address:
            return
        self.address, self._pending = address, self._pending or {}
        if self._connection:
            self._previous, self._connection = self._connection, None
            asyncio.get_running_loop().call_later(self.timeout, self._previous.transport.abort)
        if self._task:
            self._task.cancel()
            self.start()

    def add(self, name: int, amount: float, ttl_us: int, answered: CounterCallback) -> None:
        loop, ttl = asyncio.get_running_loop(), min(MAX_TTL_MS, max(1, ttl_us // 1000))
        text = b"add %016x %.6f %d\r\n" % (name, amount, ttl)
        call, line = CounterCall(answered, loop.time()), self._connection
        if line and not line.transport.is_closing():
            line.call(text, call)
        elif self._pending is not None or (line and line.answered):
            # it was well until now: the next is soon there
            self._pending = self._pending or {}
            self._pending[call] = text
            loop.call_at(call.started_at + self.timeout, self._give_up, call)
        else:
            call.end(Outcome.CONNECT_FAILED)  # nothing was written

    def _give_up(self, call: CounterCall) -> None:
        if self._pending and self._pending.pop(call, None):
            call.end(Outcome.CONNECT_FAILED)

    def _take_pending(self) -> dict[CounterCall, bytes]:
        held, self._pending = self._pending or {}, None
        return held

    async def _keep_connected(self) -> None:
        loop, wait = asyncio.get_running_loop(), BACKOFF_S[0]
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, line = await loop.create_connection(
                        lambda: CounterConnection(self.timeout), *self.address
                    )
            except OSError:  # TimeoutError is one
                for call in self._take_pending():
                    call.end(Outcome.CONNECT_FAILED)
            else:
                self._connection = line
                self.connected.set()
                for call, text in self._take_pending().items():
                    line.call(text, call)
                await line.closed.wait()
                self._connection = None
                if line.answered:  # no back-off
                    self._pending, wait = self._pending or {}, BACKOFF_S[0]
                    continue
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))  # a fleet's tries are spread
            wait = min(2 * wait, BACKOFF_S[1])


class CounterConnection(asyncio.Protocol):
    """One connection. A call that has timed out keeps its place, so that its late answer is dropped
    and the next is not taken for it."""

    transport: asyncio.Transport

    def __init__(self, timeout: float) -> None:
        self.timeout, self.answered, self.closed = timeout, False, asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._calls: deque[CounterCall] = deque()  # written, unanswered
        self._awaiting_timeout: deque[CounterCall] = (
            deque()
        )  # of these, the ones whose time-out is still to come
        self._timer: asyncio.TimerHandle | None = None
        self._ping_timer: asyncio.TimerHandle | None = None
        self._partial_line = b""
        self._last_call_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._last_call_at = self._loop.time()
        self._check_alive()

    def call(self, line: bytes, call: CounterCall) -> None:
        self._last_call_at = self._loop.time()
        self._calls.append(call)
        self.transport.write(line)
        if call.callback:
            self._awaiting_timeout.append(call)
            if self._timer is None:
                self._timer = self._loop.call_at(call.started_at + self.timeout, self._expire)

    def data_received(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._handle_answer(line.rstrip(b"\r")):
                log.warning("counter: answer not understood")
                self.transport.abort()
                return
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        for timer in (self._timer, self._ping_timer):
            if timer:
                timer.cancel()
        self.closed.set()
        calls, self._calls = self._calls, deque()
        for call in calls:
            call.end(Outcome.RESET if exc else Outcome.TIMEOUT)  # written: it may have been added

    def _handle_answer(self, line: bytes) -> bool:
        word, _, rest = line.partition(b" ")
        outcome, total = Outcome.FULL, 0.0
        if word == b"ok":
            try:
                outcome, total = Outcome.OK, float(rest)
            except ValueError:
                return False
        if word not in (b"ok", b"busy", b"error", b"pong") or not math.isfinite(total):
            return False
        # out of step: nothing can be paired
        if not self._calls or self._calls[0].is_ping != (word == b"pong"):
            return False
        self.answered = True
        self._calls.popleft().end(outcome, total)
        return True

    def _expire(self) -> None:
        now, self._timer = self._loop.time(), None
        while self._awaiting_timeout and (
            self._awaiting_timeout[0].callback is None
            or now >= self._awaiting_timeout[0].started_at + self.timeout
        ):
            self._awaiting_timeout.popleft().end(Outcome.TIMEOUT)
        if self._awaiting_timeout and not self.closed.is_set():
            left = self._awaiting_timeout[0].started_at + self.timeout - now
            self._timer = self._loop.call_later(left, self._expire)

    def _check_alive(self) -> None:
        """A dead counter says nothing: only an answer that stays away tells."""
        now = self._loop.time()
        if self._calls and now - self._calls[0].started_at > ANSWER_TIMEOUT_S:
            log.warning("counter: silent for %.0f s, connecting anew", ANSWER_TIMEOUT_S)
            self.transport.abort()
            return
        if now - self._last_call_at >= PING_INTERVAL_S:
            self.call(b"ping\r\n", CounterCall(None, now))
        self._ping_timer = self._loop.call_later(PING_INTERVAL_S / 2, self._check_alive)
