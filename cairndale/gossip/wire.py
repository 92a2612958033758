"""What members say to each other, and how it is told from what strangers say. MessagePack, by
msgspec.

A datagram is a mark, a keyed digest (HMAC-SHA256, its first 16 bytes; zeros without a key) and a
`Packet`. Each side knows its own version and reads the one before and the one after: unknown fields
are ignored, and news that is passed on goes as the bytes it came in, so that what an older member
does not know is not lost on its way."""

from __future__ import annotations

import hmac
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import sha256
from ipaddress import ip_address

import msgspec
from msgspec import Raw, Struct

VERSION = 1
MARK = b"im"
DIGEST = 16
MAX_DATAGRAM = 1400
MAX_STATE = 4 << 20  # bytes of a whole state over TCP
WINDOW = 128  # packets of a sender that may overtake each other
SENDERS = 4096  # whose windows are kept
NAME = 64  # bytes of a name

Address = tuple[str, int]


class Peer(Struct, frozen=True, array_like=True):
    """A member as admitted. `seat` tells apart two that have had one name, of which the second knew
    nothing of the first: what one has promised does not bind the other."""

    name: str
    seat: int
    host: str
    port: int  # UDP and TCP
    zone: str = ""

    @property
    def address(self) -> Address:
        return self.host, self.port


class View(Struct, frozen=True, array_like=True):
    """Who belongs to the fleet, as a majority of the view before has agreed. Sorted by name."""

    number: int
    members: tuple[Peer, ...]

    @property
    def digest(self) -> str:
        told = msgspec.msgpack.encode((self.number, self.members))
        return sha256(told).hexdigest()[:16]

    def find(self, name: str) -> Peer | None:
        return next((p for p in self.members if p.name == name), None)

    def without(self, cut: Cut) -> View:
        """The view that follows by this cut."""
        gone = {p for n, p in enumerate(self.members) if _bit(cut.removed, n)}
        added = {p.name for p in cut.added}
        kept = [p for p in self.members if p not in gone and p.name not in added]
        return View(self.number + 1, tuple(sorted([*kept, *cut.added], key=lambda p: p.name)))


class Cut(Struct, frozen=True, array_like=True):
    """What changes a view: those removed, a bit each in its order, and those added."""

    removed: bytes = b""
    added: tuple[Peer, ...] = ()


def _bit(bits: bytes, number: int) -> bool:
    return number // 8 < len(bits) and bool(bits[number // 8] >> number % 8 & 1)


def cut_of(view: View, names: set[str], added: tuple[Peer, ...] = ()) -> Cut:
    bits = bytearray((len(view.members) + 7) // 8)
    for number, peer in enumerate(view.members):
        if peer.name in names:
            bits[number // 8] |= 1 << number % 8
    return Cut(bytes(bits), added)


def removed(view: View, cut: Cut) -> list[str]:
    return [p.name for n, p in enumerate(view.members) if _bit(cut.removed, n)]


# News: passed on by all, each a few times.


class News(Struct, frozen=True, omit_defaults=True):
    """What is rumoured of one member, or of the fleet.

    `alive`, `suspect` and `left` are of an incarnation, `by` the one who says so; `alert` is an
    observer's word that a member of view `view` has failed, `up` its word that it has not after
    all; `decided` is a cut that was agreed on view `view`."""

    kind: str
    name: str = ""
    incarnation: int = 0
    by: str = ""
    view: int = 0
    cut: Cut = Cut()
    seat: int = 0

    @property
    def key(self) -> tuple[str, str, str]:
        """News of the same key takes the place of what was to be passed on before."""
        if self.kind in ("alive", "suspect", "left"):
            return "state", self.name, ""
        return (
            ("decided", str(self.view), "")
            if self.kind == "decided"
            else ("alert", self.name, self.by)
        )


# Messages.


class Body(Struct, frozen=True, omit_defaults=True):
    """One message. `kind`: ping, ack, ask (to probe `name` for the sender), nack, news, prepare,
    promise, accept, accepted. `seq` pairs an answer with its question."""

    kind: str
    seq: int = 0
    name: str = ""
    incarnation: int = 0
    view: int = 0
    digest: str = ""
    ballot: tuple[int, str] = (0, "")
    held: tuple[int, str] = (0, "")  # ballot of what was accepted before
    cut: Cut | None = None


class Packet(Struct, frozen=True, omit_defaults=True):
    fleet: str
    sender: str
    boot: int  # grows with each start of the sender
    count: int  # of its packets since then
    body: Body
    news: tuple[Raw, ...] = ()
    version: int = VERSION


class Held(Struct, frozen=True, omit_defaults=True):
    """A member's state as another one knows it."""

    name: str
    incarnation: int
    state: str


class State(Struct, frozen=True, omit_defaults=True):
    """All that a member knows, over TCP; `joins` is the member that asks to be admitted."""

    fleet: str
    sender: str
    view: View
    members: tuple[Held, ...] = ()
    lost: tuple[Peer, ...] = ()
    joins: Peer | None = None
    seat: int = 0  # that the one who joins should take: higher than any that its name had
    refused: str = ""
    version: int = VERSION


class Bad(Exception):
    """A datagram or state that is dropped, by the reason that it is counted under."""


_encoder = msgspec.msgpack.Encoder()
_packets = msgspec.msgpack.Decoder(Packet)
_news = msgspec.msgpack.Decoder(News)
_states = msgspec.msgpack.Decoder(State)


def raw_news(news: News) -> bytes:
    return _encoder.encode(news)


def read_news(raw: Raw) -> News | None:
    """None: of a kind that this version cannot read."""
    try:
        found = _news.decode(raw)
    except msgspec.MsgspecError:
        return None
    return found if len(found.name) <= NAME and len(found.by) <= NAME else None


@dataclass(slots=True)
class Window:
    """Which packets of a sender have come: each counts once, and those before its last start never
    again."""

    boot: int = 0
    top: int = 0
    seen: int = 0  # bits of those under `top`

    def takes(self, boot: int, count: int) -> bool:
        if boot < self.boot:
            return False
        if boot > self.boot:
            self.boot, self.top, self.seen = boot, count, 1
            return True
        if count > self.top:
            shift = count - self.top
            self.seen = (self.seen << shift | 1) & ((1 << WINDOW) - 1) if shift < WINDOW else 1
            self.top = count
            return True
        bit = self.top - count
        if bit >= WINDOW or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True


@dataclass(slots=True)
class Codec:
    """Packets of one fleet to bytes and back. Raises Bad for whatever is none of ours."""

    fleet: str
    key: bytes = b""
    _windows: OrderedDict[str, Window] = field(default_factory=OrderedDict)

    def _digest(self, data: bytes) -> bytes:
        return hmac.new(self.key, data, sha256).digest()[:DIGEST] if self.key else bytes(DIGEST)

    def seal(self, data: bytes) -> bytes:
        return MARK + self._digest(data) + data

    def unseal(self, data: bytes, host: str) -> bytes:
        if not self.key and not ip_address(host.partition("%")[0]).is_loopback:
            raise Bad("stranger")
        if data[: len(MARK)] != MARK or len(data) < len(MARK) + DIGEST:
            raise Bad("garbage")
        digest, data = data[len(MARK) : len(MARK) + DIGEST], data[len(MARK) + DIGEST :]
        if not hmac.compare_digest(digest, self._digest(data)):
            raise Bad("key")
        return data

    def write(self, packet: Packet) -> bytes:
        return self.seal(_encoder.encode(packet))

    def read(self, data: bytes, host: str) -> Packet:
        if len(data) > MAX_DATAGRAM:
            raise Bad("oversized")
        try:
            packet = _packets.decode(self.unseal(data, host))
        except msgspec.MsgspecError:
            raise Bad("garbage") from None
        if not VERSION - 1 <= packet.version <= VERSION + 1:
            raise Bad("version")
        if packet.fleet != self.fleet:
            raise Bad("fleet")
        if not 0 < len(packet.sender) <= NAME:
            raise Bad("garbage")
        window = self._windows.get(packet.sender)
        if window is None:
            window = self._windows[packet.sender] = Window()
            if len(self._windows) > SENDERS:
                self._windows.popitem(last=False)
        if not window.takes(packet.boot, packet.count):
            raise Bad("replayed")
        return packet

    def write_state(self, state: State) -> bytes:
        return self.seal(_encoder.encode(state))

    def read_state(self, data: bytes, host: str) -> State:
        try:
            state = _states.decode(self.unseal(data, host))
        except msgspec.MsgspecError:
            raise Bad("garbage") from None
        if not VERSION - 1 <= state.version <= VERSION + 1:
            raise Bad("version")
        if state.fleet != self.fleet:
            raise Bad("fleet")
        return state
