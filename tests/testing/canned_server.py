"""A server that answers by given bytes, for clients that block."""

from __future__ import annotations

import socket
import threading
import time
from types import TracebackType

from tests.testing.ingress import HOST

BYTE_PAUSE_S = 0.0005


class CannedServer:
    """Answers each connection's request by the next response, the last one from then on.

    A response is written whole or byte by byte, then the connection is closed.
    """

    def __init__(self, *responses: bytes, bytewise: bool = False) -> None:
        self.responses, self.bytewise, self.requests = list(responses), bytewise, list[bytes]()
        self._listening = socket.create_server((HOST, 0))
        self.port: int = self._listening.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> CannedServer:
        self._thread.start()
        return self

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        self._thread.join()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listening.accept()
            except OSError:
                return
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                try:
                    self._answer(connection)
                except OSError:  # the client has closed the connection
                    continue

    def _answer(self, connection: socket.socket) -> None:
        self.requests.append(_read_request(connection))
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        if not self.bytewise:
            connection.sendall(response)
            return
        for byte in response:
            connection.sendall(bytes((byte,)))
            time.sleep(BYTE_PAUSE_S)


def _read_request(connection: socket.socket) -> bytes:
    """Read all of it: data left unread would reset the connection as it is closed."""
    request, length = b"", 0
    while len(request.partition(b"\r\n\r\n")[2]) < length or b"\r\n\r\n" not in request:
        if not (data := connection.recv(1 << 16)):
            raise OSError("the request ended early")
        request += data
        length = int(request.partition(b"Content-Length: ")[2].partition(b"\r\n")[0] or 0)
    return request
