"""Connections to the backends, one request on each: attempts, their outcomes, probes."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import math
import os
import random
import re
import select
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import httptools

from cairndale.ingress.net.bodies import KERNEL
from cairndale.ingress.net.discovery import Entry
from cairndale.ingress.net.engine import Answer, Data, Flow
from cairndale.ingress.net.http import HOP_BY_HOP, HttpConnection, Message
from cairndale.ingress.net.pool import Action, Close, GiveUp, HandOut, Open, Options, Pool, Refuse
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy.interface import Outcome

# of the time after which a backend closes an idle connection: ours is closed by then
IDLE_PART = 0.75
SWEEP = 1.0  # s between looks for such connections
# s beyond that for which the process or the machine has stood still: every link is old then
GAP = 2.0
# links a second opened ahead at a backend by all gateways together: handshakes cost it work
WARM_RATE = 5.0
PROBE_TIMEOUT = 0.25
HELD = 0.05  # s that the first part of an answer of unknown length waits for the rest
STALLED = 6.0  # s without another part of an answer, after which the backend is taken for gone

Ended = Callable[[Answer], None]
KEPT = re.compile(rb"(?:^|[,;\s])timeout=([0-9]{1,6})")  # of a Keep-Alive field: whole seconds
Judge = Callable[[Message, bytes], Answer]  # an answer, and what was sent
log = logging.getLogger(__name__)


async def _come_up(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int], within: float
) -> None:
    """The connection is begun at once, and is up when this returns; `within` s. One that is up when
    the time is over counts: it was this process that stood still, not the backend. Raises OSError,
    TimeoutError."""
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except OSError:  # a name: others look it up meanwhile
        async with asyncio.timeout(within):
            found = await loop.getaddrinfo(*address, family=socket.AF_INET, type=socket.SOCK_STREAM)
        address = (str(found[0][4][0]), address[1])
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        writable = asyncio.Event()
        loop.add_writer(sock, writable.set)
        try:
            async with asyncio.timeout(within):
                await writable.wait()
        except TimeoutError:
            look = select.poll()
            look.register(sock, select.POLLOUT)
            if not look.poll(0):
                raise
        finally:
            loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class Exchange:
    """An attempt: waits for its connection, then is written, then answered. Ends once."""

    __slots__ = ("_ended", "_server", "data", "flow", "link", "over", "sent_at", "whole", "written")

    def __init__(
        self, data: Data, ended: Ended, flow: Flow | None = None, server: Server | None = None
    ) -> None:
        self.data, self._ended, self.flow, self._server = data, ended, flow, server
        self.link: Link | None = None
        self.sent_at = math.inf
        self.written = self.over = False
        self.whole = False  # its last byte is written, or waits in the connection's buffer

    def end(self, answer: Answer) -> None:
        if not self.over:
            self.over = True
            self._ended(answer)

    def lost(self) -> None:
        """No answer will come: whether it has run depends on whether its last byte was written."""
        self.end(Answer(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def unsent(self) -> None:
        """There was no link for it, which says nothing of the backend."""
        self.end(Answer(Outcome.MOOT))

    def more(self, data: bytes) -> None:
        if self.link and not self.link.dead:
            self.link.transport.write(data)

    def all_written(self) -> None:
        self.written = self.whole = True

    def pause(self, paused: bool) -> None:
        """The client takes no more of the answer for now, or does again."""
        if self.link and not self.link.dead:
            (self.link.transport.pause_reading if paused else self.link.transport.resume_reading)()
            self.link.heard_at = math.inf if paused else self.link.pool.now()

    def abort(self) -> bool:
        self.over = True
        if self.link is None and self._server:
            self._server.cancelled(self)
        if self.link:
            if self._server and not self.link.passing:
                self._server.silent(self.sent_at)
            self.link.drop()
        return self.written


class Link(HttpConnection):
    """One connection to a backend. The socket is ours, so that a send tells how much was written, a
    look tells whether the connection still stands, and giving up takes effect before anything else
    is sent."""

    def __init__(self, pool: Server, sock: socket.socket) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.pool, self.sock, self.address = pool, sock, pool.address
        self.keep_fields = pool.relays
        self.exchange: Exchange | None = None
        self.lost_word = False  # it broke under a request of which nothing had been answered
        self.dead = self.passing = False  # passing: an answer goes on to the client in parts
        self.astray = False  # it has brought an answer that belongs to another request
        self.answered = b""  # id of the request that it answered last
        self.heard_at = math.inf  # while it does, when the last part came
        self._hold: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange) -> None:
        if exchange.flow and exchange.flow.id and exchange.flow.id == self.answered:
            # a second answer to the attempt before, still on its way, would count for this one
            self.drop()
            self.pool.ask(exchange)
            return
        data = exchange.data if isinstance(exchange.data, bytes) else exchange.data()
        if data is None:  # what was true when it was begun holds no longer: not a byte has gone
            self.pool.rest(self, True)
            exchange.unsent()
            return
        exchange.data = data
        self.exchange, exchange.link, exchange.sent_at = exchange, self, self.pool.now()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop()
            exchange.lost()
            return
        upload = exchange.flow.upload if exchange.flow else None
        exchange.whole = upload is None
        exchange.written = exchange.whole or self.pool.strict
        if sent < len(data):  # from here on the last byte may be written at any time
            self.transport.write(data[sent:])
        if upload:
            self.transport.set_write_buffer_limits(upload.share())
            upload.attach(exchange)

    def stands(self) -> bool:
        """False if the backend has ended it, or said something nobody asked for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.dead
        except OSError:
            pass
        return False

    def drop(self) -> None:
        if not self.dead:
            self.dead = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
            self.pool.left(self, self.lost_word)

    def pause_writing(self) -> None:
        self._press(True)

    def resume_writing(self) -> None:
        self._press(False)

    def _press(self, paused: bool) -> None:
        if self.exchange and self.exchange.flow and self.exchange.flow.upload:
            self.exchange.flow.upload.pause(paused)

    def data_received(self, data: bytes) -> None:
        self.pool.heard_at = self.pool.now()
        # nobody has asked: the rest of it would come under the next request
        if self.exchange is None:
            self.drop()
        else:
            super().data_received(data)

    def headed(self, message: Message) -> None:
        """An answer of unknown length may be short, and can be asked for again until some of it
        goes on; it is not held for long, as it may be large and slow."""
        served = self._answer(message).outcome is Outcome.OK
        if message.length is None and served and not message.in_parts:
            self._hold = asyncio.get_running_loop().call_later(HELD, self._held_long, message)

    def _held_long(self, message: Message) -> None:
        if message is self._message and not (self._in_head or message.in_parts or self.dead):
            self.in_parts()
            self._run_hooks()

    def opened(self, message: Message) -> None:
        exchange, answer = self.exchange, self._answer(message)
        if answer.outcome is Outcome.MOOT:  # another request's: it passes by
            self.astray = True
        elif answer.outcome is not Outcome.OK or exchange is None or exchange.flow is None:
            self._settle(exchange, answer)
        elif exchange.flow.opened(answer):
            self.passing, self.heard_at = True, self.pool.now()
        else:  # nobody waits for it any longer
            self._settle(exchange, answer)

    def part(self, message: Message, data: bytes) -> None:
        if self.passing and self.exchange and self.exchange.flow:
            if self.heard_at < math.inf:
                self.heard_at = self.pool.now()
            self.exchange.flow.part(data)

    def ended(self, message: Message) -> None:
        if self.passing:
            self.passing = False
            self.received(message)

    def _settle(self, exchange: Exchange | None, answer: Answer) -> None:
        """The answer's head has said enough: the rest is not waited for."""
        self.exchange = None
        self.drop()
        if exchange:
            exchange.end(answer)

    def stalled(self, since: float) -> bool:
        return self.passing and self.heard_at < since

    def received(self, message: Message) -> None:
        exchange = self.exchange
        if self._hold:
            self._hold.cancel()
        answer = self._answer(message)
        if (100 <= message.status < 200 or answer.outcome is Outcome.MOOT) and exchange:
            self.astray = self.astray or answer.outcome is Outcome.MOOT
            return
        self.exchange, self.answered = None, exchange.flow.id if exchange and exchange.flow else b""
        if kept := KEPT.search(message.headers.get(b"keep-alive", b"")):
            self.pool.kept(int(kept[1]))
        # Answered before it had all been read, or more said than was asked for: a part of a
        # message, what is none, or whole ones read along with this, which the next request would
        # get for its answer.
        unsound = self.transport.get_write_buffer_size() > 0 or self._begun or self._lost_framing
        unsound = unsound or bool(self._hooks) or self.astray or not (exchange and exchange.whole)
        self.pool.rest(self, message.keep_alive and not unsound)
        if exchange:
            exchange.end(answer)

    def _answer(self, message: Message) -> Answer:
        """200 is served, and where answers are relayed all but those of a server that cannot serve
        now. MOOT: another request's."""
        if judge := self.pool.judge:
            asked = self.exchange.data if self.exchange else b""
            answer = judge(message, asked if isinstance(asked, bytes) else b"")
            if answer.outcome is Outcome.ERROR and message.status >= 200:
                self.astray = True  # nothing shows whose it is: its own answer may yet come
            return answer
        headers, status = message.headers, message.status
        load = headers.get(b"server-load", b"")
        if self.keep_fields and status not in (502, 503, 504):
            named = {n.strip().lower() for n in headers.get(b"connection", b"").split(b",")}
            left = HOP_BY_HOP | named
            fields = b"".join(
                b"%b: %b\r\n" % (n, v) for n, v in message.fields if n.lower() not in left
            )
            return Answer(
                Outcome.OK, message.body, length=message.length, status=status, fields=fields
            )
        if status == 200:
            return Answer(
                Outcome.OK, message.body, headers.get(b"content-type", b""), load, message.length
            )
        if status in (503, 504) and headers.get(b"not-started") == b"1":
            return Answer(Outcome.FULL, load=load)
        return Answer(Outcome.ERROR, load=load)  # nothing says that it never ran

    def garbage(self, status: int) -> None:
        log.warning("backend %s: answer not understood: %s", self.pool.name, self.wrong)
        self._gone()

    def eof_received(self) -> None:
        self.ended_by_close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()

    def _gone(self) -> None:
        if self._hold:
            self._hold.cancel()
        exchange, self.exchange = self.exchange, None
        self.lost_word = exchange is not None and not self._begun and not self.wrong
        self.drop()
        if exchange:
            exchange.lost()


class Server:
    """The connections to one backend: its pool's decisions, carried out on sockets."""

    __slots__ = (
        "_backends",
        "_dials",
        "_timer",
        "address",
        "heard_at",
        "held",
        "name",
        "pool",
        "stale",
        "started",
        "up",
    )

    def __init__(self, entry: Entry, backends: Backends, held: bool) -> None:
        self.name, self.address, self._backends = entry.name, entry.address, backends
        self.up, self.held, self.started, self.stale = (
            entry.status == "up",
            held,
            entry.since_us,
            False,
        )
        self.pool = Pool(
            backends.options, backends.idle_for, backends.rng, ready=self.up and not held
        )
        self.heard_at = -math.inf  # when anything came from it
        self._dials: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> list[Link]:
        return self.pool.idle

    @property
    def busy(self) -> set[Link]:
        return self.pool.busy

    @property
    def ready(self) -> bool:
        return self.up and not self.held

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def relays(self) -> bool:
        return self._backends.relays

    @property
    def judge(self) -> Judge | None:
        return self._backends.judge

    @property
    def strict(self) -> bool:
        return self._backends.strict

    def kept(self, seconds: int) -> None:
        """The backend says for how long it keeps an idle connection."""
        self.pool.idle_for = min(self._backends.idle_for, seconds * IDLE_PART)

    def ask(self, exchange: Exchange) -> None:
        patience = exchange.flow.patience if exchange.flow else math.inf
        self._do(self.pool.ask(self.now(), exchange, patience, Link.stands))
        if self.pool.waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.01, min(1.0, self.pool.next_at() - self.now())), self._waited
            )

    def _waited(self) -> None:
        self._timer = None
        self.tick()
        if self.pool.waiting:
            wait = max(0.01, min(1.0, self.pool.next_at() - self.now()))
            self._timer = asyncio.get_running_loop().call_later(wait, self._waited)

    def tick(self, gap: bool = False) -> None:
        self._do(self.pool.tick(self.now(), gap))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case HandOut(waiter, link):
                    link.send(waiter)
                case Refuse(waiter, failed):
                    (waiter.lost if failed else waiter.unsent)()
                case Open(dial):
                    self._open(dial)
                case Close(link):
                    link.drop()
                case GiveUp(dial):
                    if task := self._dials.pop(dial, None):
                        task.cancel()

    # Connections begin.

    def _open(self, dial: int) -> None:
        sockets = self._backends.sockets
        if sockets.room_for_server() or self._backends.evict():
            sockets.opened_to_server()
            self._dials[dial] = asyncio.get_running_loop().create_task(self._connect(dial))
        else:
            self._do(self.pool.failed(self.now(), dial, True))

    async def _connect(self, dial: int) -> None:
        sock: socket.socket | None = None
        link: Link | None = None
        loop, up, refused = asyncio.get_running_loop(), False, False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL)
            if self._backends.unacked_ms:
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._backends.unacked_ms
                )
            await _come_up(loop, sock, self.address, self._backends.connect_timeout)
            link = made = Link(self, sock)
            await loop.create_connection(lambda: made, sock=sock)
            up = True
        except TimeoutError:
            pass
        except (OSError, ValueError):  # refused, out of descriptors
            refused = True
        finally:
            wanted = self._dials.pop(dial, None) is not None
            if link is None or not hasattr(link, "transport"):
                self._backends.sockets.closed_to_server()
                if sock:
                    sock.close()
            elif not (up and wanted):
                # it came up just as its time was over: its end is counted once
                link.drop()
            if up and wanted and link and not link.dead:
                self._do(self.pool.dialled(self.now(), dial, link))
            elif wanted:
                self._do(self.pool.failed(self.now(), dial, refused))

    def warm(self) -> None:
        self._do(self.pool.warm(self.now()))

    def close_idle(self, count: int) -> None:
        self._do(self.pool.close_idle(count))

    # Connections rest and end.

    def rest(self, link: Link, reusable: bool) -> None:
        if link.dead:
            return
        reusable = reusable and link.address == self.address
        if reusable and self.pool.waiting:  # it goes on to them as it is, so it is looked at now
            reusable = link.stands()
        self._do(self.pool.freed(self.now(), link, reusable))

    def left(self, link: Link, under_request: bool) -> None:
        """Its socket is closed, by whichever side."""
        self._backends.sockets.closed_to_server()
        self._do(self.pool.lost(self.now(), link, under_request))

    def cancelled(self, exchange: Exchange) -> None:
        self.pool.cancel(exchange)

    def silent(self, since: float) -> None:
        """An attempt was given up with no word from this backend since it was written."""
        if self.heard_at < since and self.now() - since >= self._backends.connect_timeout:
            self.pool.doubt()

    def withdraw(self) -> None:
        """Attempts that wait for a connection have not been written, and will not be."""
        self._do(self.pool.withdraw(self.ready))

    def figures(self) -> dict[str, Any]:
        """For operators."""
        pool, counts = self.pool, self.pool.counts
        return {
            "name": self.name,
            "open": pool.open(),
            "idle": len(pool.idle),
            "busy": len(pool.busy),
            "waiting": len(pool.waiting),
            "dialling": len(pool.dials),
            "dials": counts.dials,
            "dials_failed": counts.failed,
            "asked": counts.asked,
            "reuse": round(counts.reused / max(1, counts.asked), 3),
            "stale_caught": counts.caught,
            "stale_missed": counts.missed,
            "refused": counts.refused,
            "bound": pool.bound(),
            "why": pool.why().value,
            "expected": round(pool.expected(self.now()), 1),
        }


class Backends:
    def __init__(
        self,
        sockets: Sockets,
        conn_idle_us: int,
        connect_timeout_us: int,
        options: Options | None = None,
        fleet_size: int = 1,
    ) -> None:
        self.sockets, self.options, self.rng = sockets, options or Options(), random.Random()
        self._pools: dict[int, Server] = {}
        self.relays = False  # answers go on whatever their status, with their fields
        # what an answer says, where that is not the platform's protocol
        self.judge: Judge | None = None
        self.strict = False  # from its first byte on a request counts as written, not from its last
        self.stalled = STALLED
        # without an acknowledgement, after which a link is given up; 0: the kernel's time
        self.unacked_ms = 0
        self._fleet = fleet_size
        self.tune(conn_idle_us, connect_timeout_us)
        self._held: set[int] = set()  # out for maintenance, apart from what is listed
        self._loop = asyncio.get_running_loop()
        self._sweep: asyncio.TimerHandle | None = None
        self._ticked = (self._loop.time(), time.time())
        sockets.on_crowded(self.evict)
        self._tick()

    def tune(
        self,
        conn_idle_us: int,
        connect_timeout_us: int,
        options: Options | None = None,
        fleet_size: int = 0,
    ) -> None:
        """Other figures from now on, for what is open as well."""
        self.idle_for, self.connect_timeout = (
            conn_idle_us / 1e6 * IDLE_PART,
            connect_timeout_us / 1e6,
        )
        self.options, self._fleet = options or self.options, fleet_size or self._fleet
        for server in self._pools.values():
            server.pool.options, server.pool.idle_for = self.options, self.idle_for
        self._size()
        for server in list(self._pools.values()):
            server.tick()

    def _size(self) -> None:
        """The backends' part of the descriptors, shared out over the backends that are in use."""
        used = sum(1 for s in self._pools.values() if s.pool.open())
        for server in self._pools.values():
            server.pool.top = self.sockets.most_servers / max(1, used)

    def stop(self) -> None:
        if self._sweep:
            self._sweep.cancel()
        for server in self._pools.values():
            server.up = False
            server.withdraw()
            for link in list(server.busy):
                link.drop()

    # The list.

    def know(self, entry: Entry, backend: int) -> None:
        server = self._pools.get(backend)
        if server is None:
            if entry.status != "removed":
                self._pools[backend] = Server(entry, self, backend in self._held)
            return
        server.up = entry.status == "up"
        server.pool.ready = server.ready
        # a new start or address: what was connected leads to the one before
        if entry.status != "removed":
            server.stale = server.address != entry.address or server.started != entry.since_us
            server.address, server.started = entry.address, entry.since_us

    def settle(self, gone: Iterable[int]) -> None:
        for backend in gone:
            if server := self._pools.pop(backend, None):
                server.up = False
                server.withdraw()
        for server in list(self._pools.values()):
            if server.stale or not server.ready:
                server.stale = False
                server.withdraw()

    def hold(self, backend: int, out: bool) -> None:
        (self._held.add if out else self._held.discard)(backend)
        if server := self._pools.get(backend):
            server.held = out
            server.pool.ready = server.ready
            if out:
                server.withdraw()

    # Attempts.

    def send(self, backend: int, data: Data, ended: Ended, flow: Flow | None = None) -> Exchange:
        server = self._pools.get(backend)
        exchange = Exchange(data, ended, flow, server)
        if server is None or not server.ready:
            exchange.lost()
        else:
            server.ask(exchange)
        return exchange

    def probe(self, backend: int, ended: Ended) -> None:
        exchange = self.send(backend, b"GET /metrics/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", ended)

        def give_up() -> None:
            if not exchange.over:
                exchange.abort()
                ended(Answer(Outcome.TIMEOUT))

        self._loop.call_later(PROBE_TIMEOUT, give_up)

    def close_idle(self, backend: int) -> None:
        if server := self._pools.get(backend):
            server.close_idle(len(server.idle))

    def figures(self) -> list[dict[str, Any]]:
        """For operators: every backend that is known, with what its pool does and why."""
        return [server.figures() for server in self._pools.values()]

    # Idle connections.

    def evict(self) -> bool:
        for server in self._pools.values():
            if server.idle:
                server.close_idle(1)
                return True
        return False

    def _tick(self) -> None:
        now, wall = self._loop.time(), time.time()
        gap = max(now - self._ticked[0], abs(wall - self._ticked[1])) > SWEEP + GAP
        if gap:
            log.info(
                "stood still for %.0f s: idle connections are not trusted", now - self._ticked[0]
            )
        self._ticked = (now, wall)
        self._size()
        for server in list(self._pools.values()):
            server.tick(gap)
            for link in [link for link in server.busy if link.stalled(now - self.stalled)]:
                log.warning("backend %s: silent in the middle of an answer", server.name)
                link._gone()
            if self.options.warm and self.rng.random() < WARM_RATE * SWEEP / self._fleet:
                server.warm()
        self._sweep = self._loop.call_later(SWEEP, self._tick)
