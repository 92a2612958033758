"""The client of the shared quota counter: pipelines calls on one connection.

Answers carry no id: they are matched to the calls by their order.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import re
from collections import deque
from collections.abc import Callable
from typing import cast

from cairndale.ingress.policy.interface import Outcome

PING_INTERVAL_S = 2.5  # the counter closes connections that are idle for about 10 s or less
TIMEOUT_SLACK_S = 0.05  # added to the time limit of calls: a busy counter answers a little late
ANSWER_TIMEOUT_S = 2.0  # a connection with a call unanswered for this long is dead
BACKOFF_S = (0.05, 1.0)  # between attempts to connect: the first and the longest pause
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 256
MAX_TTL_MS = 60_000
# A total; `float` alone also takes white space around it and underscores.
TOTAL = re.compile(rb"[0-9.eE+-]+")

CounterCallback = Callable[[Outcome, float], None]
log = logging.getLogger(__name__)


class CounterCall:
    """A call to the counter; ends once."""

    __slots__ = ("callback", "is_ping", "started_at")

    def __init__(self, callback: CounterCallback | None, started_at: float) -> None:
        self.callback, self.started_at = callback, started_at  # callback None: a ping, or ended
        self.is_ping = callback is None

    def end(self, outcome: Outcome, total: float = 0.0) -> None:
        """Report the result, unless the call has ended already."""
        callback, self.callback = self.callback, None
        if callback:
            callback(outcome, total)


class QuotaCounterClient:
    """Keeps a connection to the counter open, and sends calls on it."""

    def __init__(self, address: tuple[str, int], timeout_us: int) -> None:
        self.address, self.timeout = address, timeout_us / 1e6 + TIMEOUT_SLACK_S
        self._connection: CounterConnection | None = None
        # Calls that wait for a connection, while one that worked is being re-established.
        self._pending: dict[CounterCall, bytes] | None = None
        # The connection to the previous address, with calls that may still be answered.
        self._previous: CounterConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.connected = asyncio.Event()  # set once the first connection is established

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        self._task = asyncio.get_running_loop().create_task(self._keep_connected())

    def stop(self) -> None:
        """Close the connections, and do not reconnect."""
        if self._task:
            self._task.cancel()
        for connection in (self._connection, self._previous):
            if connection:
                connection.transport.abort()

    def update_timeout(self, timeout_us: int) -> None:
        """Apply a new timeout to calls sent from now on."""
        self.timeout = timeout_us / 1e6 + TIMEOUT_SLACK_S
        if self._connection:
            self._connection.timeout = self.timeout

    def update_address(self, address: tuple[str, int]) -> None:
        """Move to another address.

        New calls wait for a connection there. Calls in flight may still be answered within their
        timeout.
        """
        if address == self.address:
            return
        self.address, self._pending = address, self._pending or {}
        if self._connection:
            self._previous, self._connection = self._connection, None
            asyncio.get_running_loop().call_later(self.timeout, self._previous.transport.abort)
        if self._task:
            self._task.cancel()
            self.start()

    def add(self, name: int, amount: float, ttl_us: int, callback: CounterCallback) -> None:
        """Add `amount` to the counter `name`, which expires after `ttl_us`."""
        loop, ttl = asyncio.get_running_loop(), min(MAX_TTL_MS, max(1, ttl_us // 1000))
        text = b"add %016x %.6f %d\r\n" % (name, amount, ttl)
        call, connection = CounterCall(callback, loop.time()), self._connection
        if connection and not connection.transport.is_closing():
            connection.call(text, call)
        elif self._pending is not None or (connection and connection.answered):
            # The connection worked until now, so another one will be established soon.
            self._pending = self._pending or {}
            self._pending[call] = text
            loop.call_at(call.started_at + self.timeout, self._expire_pending, call)
        else:
            call.end(Outcome.CONNECT_FAILED)  # nothing was written

    def _expire_pending(self, call: CounterCall) -> None:
        if self._pending and self._pending.pop(call, None):
            call.end(Outcome.CONNECT_FAILED)

    def _take_pending(self) -> dict[CounterCall, bytes]:
        pending, self._pending = self._pending or {}, None
        return pending

    async def _keep_connected(self) -> None:
        loop, pause = asyncio.get_running_loop(), BACKOFF_S[0]
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(
                        lambda: CounterConnection(self.timeout), *self.address
                    )
            except OSError:  # TimeoutError is one
                for call in self._take_pending():
                    call.end(Outcome.CONNECT_FAILED)
            else:
                self._connection = connection
                self.connected.set()
                for call, text in self._take_pending().items():
                    connection.call(text, call)
                await connection.closed.wait()
                self._connection = None
                if connection.answered:  # the connection worked: reconnect without backoff
                    self._pending, pause = self._pending or {}, BACKOFF_S[0]
                    continue
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))  # spreads the attempts of a fleet
            pause = min(2 * pause, BACKOFF_S[1])


class CounterConnection(asyncio.Protocol):
    """One connection to the counter.

    A call that has timed out keeps its place in the queue, so that its late answer is dropped and
    is not taken for the answer to the next call.
    """

    transport: asyncio.Transport

    def __init__(self, timeout: float) -> None:
        self.timeout, self.answered, self.closed = timeout, False, asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._calls: deque[CounterCall] = deque()  # in flight
        self._awaiting_timeout: deque[CounterCall] = deque()  # those whose timeout has not expired
        self._timer: asyncio.TimerHandle | None = None
        self._ping_timer: asyncio.TimerHandle | None = None
        self._partial_line = b""
        self._last_call_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._last_call_at = self._loop.time()
        self._check_alive()

    def call(self, line: bytes, call: CounterCall) -> None:
        """Send a call, encoded as `line`."""
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
                log.warning("counter: invalid answer, connection closed")
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
            call.end(Outcome.RESET if exc else Outcome.TIMEOUT)  # it may have been added

    def _handle_answer(self, line: bytes) -> bool:
        status, _, rest = line.partition(b" ")
        outcome, total = Outcome.FULL, 0.0
        if status == b"ok":
            if not TOTAL.fullmatch(rest):
                return False
            try:
                outcome, total = Outcome.OK, float(rest)
            except ValueError:
                return False
        if status not in (b"ok", b"busy", b"error", b"pong") or not math.isfinite(total):
            return False
        # Answers and calls are out of step and cannot be matched.
        if not self._calls or self._calls[0].is_ping != (status == b"pong"):
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
            remaining = self._awaiting_timeout[0].started_at + self.timeout - now
            self._timer = self._loop.call_later(remaining, self._expire)

    def _check_alive(self) -> None:
        """Abort the connection if an answer is overdue, and ping an idle one.

        A missing answer is the only sign that the counter is unreachable.
        """
        now = self._loop.time()
        if self._calls and now - self._calls[0].started_at > ANSWER_TIMEOUT_S:
            log.warning("counter: no answer for %.0f s, reconnecting", ANSWER_TIMEOUT_S)
            self.transport.abort()
            return
        if now - self._last_call_at >= PING_INTERVAL_S:
            self.call(b"ping\r\n", CounterCall(None, now))
        self._ping_timer = self._loop.call_later(PING_INTERVAL_S / 2, self._check_alive)
