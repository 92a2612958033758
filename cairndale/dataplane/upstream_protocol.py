"""What servers answer in the system's protocol, and what they are sent."""

from __future__ import annotations

from cairndale.ingress.net.engine import Answer
from cairndale.ingress.net.http import HOP_BY_HOP, Message
from cairndale.ingress.policy.interface import Outcome

ID = b"x-request-id"
OWN = {
    ID,
    b"x-deadline-ms",
    b"x-tenant",
    b"x-target-instance",
    b"authorization",
    b"expect",
    b"x-not-run",
}
UPWARDS = HOP_BY_HOP | {b"x-not-run"}


def head(message: Message, id: bytes) -> bytes:
    """What goes on to a server, up to what depends on which one it is and when: all fields but
    those that concern one connection, the key, and what only the system may say."""
    named = {n.strip().lower() for n in message.headers.get(b"connection", b"").split(b",")}
    left = HOP_BY_HOP | OWN | named
    made = b"%b %b HTTP/1.1\r\nX-Request-Id: %b\r\n" % (message.method, message.target, id)
    made += b"".join(b"%b: %b\r\n" % (n, v) for n, v in message.fields if n.lower() not in left)
    if message.upload:
        length = message.upload.length
        return made + (
            b"Transfer-Encoding: chunked\r\n"
            if length is None
            else b"Content-Length: %d\r\n" % length
        )
    if message.body or message.method in (b"POST", b"PUT", b"PATCH"):
        made += b"Content-Length: %d\r\n" % len(message.body)
    return made


def request_id(sent: bytes) -> bytes:
    """Of what was sent: it stands in its first field."""
    return sent.partition(b"\r\nX-Request-Id: ")[2].partition(b"\r\n")[0]


def judge(message: Message, sent: bytes) -> Answer:
    """What an answer says. MOOT: it belongs to another request. FULL: the server says that it has
    not run this one, by its id: without one, nothing shows that these bytes belong to it. All else
    was run, and goes to the client as it is; one without a length is whole by the orderly end of
    its connection only, which the connection sees to."""
    headers, status = message.headers, message.status
    if headers.get(ID) != request_id(sent):
        return Answer(Outcome.MOOT) if ID in headers else Answer(Outcome.ERROR)
    if status == 421 or b"x-not-run" in headers:
        return Answer(Outcome.FULL)
    named = {n.strip().lower() for n in headers.get(b"connection", b"").split(b",")}
    fields = b"".join(
        b"%b: %b\r\n" % (n, v)
        for n, v in message.fields
        if n.lower() not in UPWARDS and n.lower() not in named
    )
    return Answer(Outcome.OK, message.body, length=message.length, status=status, fields=fields)
