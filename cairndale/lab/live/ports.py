"""Listening sockets that can refuse connections or leave them unanswered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

HOST = "127.0.0.1"


class Port:
    """A listening socket that can refuse connections or leave them unanswered.

    It keeps its port number: a second socket, bound but never listening, reserves it."""

    def __init__(self, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self._protocol_factory, self._loop = protocol_factory, asyncio.get_running_loop()
        self._reservation = self._bound_socket(0)
        self.number: int = self._reservation.getsockname()[1]
        self._sock: socket.socket | None = None
        self._backlog_fillers: list[socket.socket] = []
        self.open()

    @staticmethod
    def _bound_socket(port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind((HOST, port))
        return sock

    def open(self) -> None:
        """Accepts connections. Those that arrived while it did not answer are reset, as by a
        machine that has restarted."""
        if self._backlog_fillers:
            self.refuse()
        if self._sock is None:
            self._sock = self._bound_socket(self.number)
            self._sock.listen(1024)
            self._loop.add_reader(self._sock.fileno(), self._accept)

    def refuse(self) -> None:
        """Stops listening; connections in the backlog are reset."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers = []

    def stop_answering(self) -> None:
        """Leaves new connections unanswered: the backlog is full, and none is accepted."""
        if self._sock is None or self._backlog_fillers:
            return
        self._loop.remove_reader(self._sock.fileno())
        self._sock.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.number))
            self._backlog_fillers.append(filler)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # no connection is left, or it was closed again
            for _ in range(64):
                if self._sock is None:
                    return
                sock, _ = self._sock.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = self._loop.create_task(self._connect(sock))
                task.add_done_callback(lambda t: t.cancelled() or t.exception())

    async def _connect(self, sock: socket.socket) -> None:
        await self._loop.connect_accepted_socket(self._protocol_factory, sock)
