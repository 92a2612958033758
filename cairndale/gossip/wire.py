"""Message formats of the membership protocol, and their authentication. Encoded as MessagePack by
msgspec.

A datagram consists of magic bytes, a keyed digest (the first 16 bytes of an HMAC-SHA256; zeros
without a key) and a `Packet`. A member accepts messages of its own protocol version, the one before
and the one after. Unknown fields are ignored, and a gossip update is forwarded as the bytes in
which it was received, so that fields that an older member does not know survive the forwarding."""

from __future__ import annotations

import hmac
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import sha256
from ipaddress import ip_address

import msgspec
from msgspec import Raw, Struct

VERSION = 1
MAGIC = b"im"
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1400
MAX_STATE_BYTES = 4 << 20  # of a full state sent over TCP
REPLAY_WINDOW = 128  # packets of one sender that may arrive out of order
MAX_REPLAY_WINDOWS = 4096  # senders whose replay windows are kept
MAX_NAME_LENGTH = 64  # characters of a member's or fleet's name

Address = tuple[str, int]


class Peer(Struct, frozen=True, array_like=True):
    """A member as it was admitted.

    `generation` distinguishes members that have used the same name one after the other without
    shared state on disk: the Paxos promises of one do not bind the next."""

    name: str
    generation: int
    host: str
    port: int  # UDP and TCP
    zone: str = ""

    @property
    def address(self) -> Address:
        return self.host, self.port


class View(Struct, frozen=True, array_like=True):
    """The members of the fleet, as agreed on by a majority of the previous view. Sorted by name."""

    number: int
    members: tuple[Peer, ...]

    @property
    def digest(self) -> str:
        encoded = msgspec.msgpack.encode((self.number, self.members))
        return sha256(encoded).hexdigest()[:16]

    def find(self, name: str) -> Peer | None:
        return next((p for p in self.members if p.name == name), None)

    def apply(self, change: ViewChange) -> View:
        """Returns the view that results from this change."""
        removed_peers = {p for n, p in enumerate(self.members) if _has_bit(change.removed, n)}
        added = {p.name for p in change.added}
        kept = [p for p in self.members if p not in removed_peers and p.name not in added]
        return View(self.number + 1, tuple(sorted([*kept, *change.added], key=lambda p: p.name)))


class ViewChange(Struct, frozen=True, array_like=True):
    """A change from one view to the next (a cut, in Rapid's terms)."""

    removed: bytes = b""  # bit map over the members of the view, in its order
    added: tuple[Peer, ...] = ()


def _has_bit(bits: bytes, number: int) -> bool:
    return number // 8 < len(bits) and bool(bits[number // 8] >> number % 8 & 1)


def build_view_change(view: View, names: set[str], added: tuple[Peer, ...] = ()) -> ViewChange:
    """Builds the change that removes the members `names` from the view and adds `added`."""
    bits = bytearray((len(view.members) + 7) // 8)
    for number, peer in enumerate(view.members):
        if peer.name in names:
            bits[number // 8] |= 1 << number % 8
    return ViewChange(bytes(bits), added)


def removed_names(view: View, change: ViewChange) -> list[str]:
    return [p.name for n, p in enumerate(view.members) if _has_bit(change.removed, n)]


# Gossip updates: each member forwards each of them a limited number of times.


class GossipUpdate(Struct, frozen=True, omit_defaults=True):
    """A gossip update about one member, or about the view of the fleet.

    The kinds are:
    - `alive`, `suspect`, `left`: the state of an incarnation of member `name`, as reported by
      `reported_by`;
    - `alert`: the observer `reported_by` reports that member `name` of view number `view` has
      failed;
    - `up`: the observer withdraws its alert (this version neither sends nor processes it);
    - `decided`: `change` was agreed on for view number `view`. `name` is then the proposer, and
      `reported_by` holds the digest of the view.
    """

    kind: str
    name: str = ""
    incarnation: int = 0
    reported_by: str = msgspec.field(name="by", default="")
    view: int = 0
    change: ViewChange = msgspec.field(name="cut", default=ViewChange())
    generation: int = msgspec.field(name="seat", default=0)

    @property
    def key(self) -> tuple[str, str, str]:
        """An update replaces a queued one of the same key."""
        if self.kind in ("alive", "suspect", "left"):
            return "state", self.name, ""
        return (
            ("decided", str(self.view), "")
            if self.kind == "decided"
            else ("alert", self.name, self.reported_by)
        )


# Messages.


class Body(Struct, frozen=True, omit_defaults=True):
    """One message.

    The kinds are:
    - SWIM's `ping` and `ack`; `ask` (SWIM's ping-req: probe `name` for the sender); `relayed` (the
      ack of an indirect probe, forwarded to the member that asked for it);
    - Lifeguard's `nack`: an indirect probe has had no ack so far;
    - `news`: carries gossip updates only;
    - Paxos' `prepare`, `promise`, `accept` and `accepted`.

    `seq` matches a response to its request."""

    kind: str
    seq: int = 0
    name: str = ""
    incarnation: int = 0
    view: int = 0
    digest: str = ""
    ballot: tuple[int, str] = (0, "")
    # in a promise: the ballot at which the acceptor accepted `change` before, if it did
    accepted_ballot: tuple[int, str] = msgspec.field(name="held", default=(0, ""))
    change: ViewChange | None = msgspec.field(name="cut", default=None)


class Packet(Struct, frozen=True, omit_defaults=True):
    """The payload of a datagram: one message, and gossip updates that travel with it."""

    fleet: str
    sender: str
    boot_epoch: int = msgspec.field(name="boot")  # increases with each start of the sender
    packet_number: int = msgspec.field(name="count")  # increases with each packet of a boot epoch
    body: Body
    updates: tuple[Raw, ...] = msgspec.field(name="news", default=())
    version: int = VERSION


class MemberState(Struct, frozen=True, omit_defaults=True):
    """The state of one member as another member knows it."""

    name: str
    incarnation: int
    state: str


class FullState(Struct, frozen=True, omit_defaults=True):
    """Everything that a member knows of the fleet, exchanged over TCP (anti-entropy)."""

    fleet: str
    sender: str
    view: View
    members: tuple[MemberState, ...] = ()
    # removed from the view as failed, and not admitted again since
    unreachable: tuple[Peer, ...] = msgspec.field(name="lost", default=())
    # the sender, if it asks to be admitted
    joining: Peer | None = msgspec.field(name="joins", default=None)
    # for the joining member to take: higher than all earlier ones of its name; 0: it keeps its own
    generation: int = msgspec.field(name="seat", default=0)
    # why the joining member is not admitted; empty: it is not refused
    refusal: str = msgspec.field(name="refused", default="")
    version: int = VERSION


class InvalidMessage(Exception):
    """A datagram or full state is dropped; its text is the reason under which it is counted."""


_encoder = msgspec.msgpack.Encoder()
_packet_decoder = msgspec.msgpack.Decoder(Packet)
_update_decoder = msgspec.msgpack.Decoder(GossipUpdate)
_state_decoder = msgspec.msgpack.Decoder(FullState)


def encode_update(update: GossipUpdate) -> bytes:
    return _encoder.encode(update)


def decode_update(raw: Raw) -> GossipUpdate | None:
    """Returns None for an update that this version cannot decode."""
    try:
        update = _update_decoder.decode(raw)
    except msgspec.MsgspecError:
        return None
    return (
        update
        if len(update.name) <= MAX_NAME_LENGTH and len(update.reported_by) <= MAX_NAME_LENGTH
        else None
    )


@dataclass(slots=True)
class ReplayWindow:
    """Which packets of a sender have been received. Each packet is accepted once, and packets of
    earlier boot epochs are rejected."""

    boot_epoch: int = 0
    highest: int = 0
    received: int = 0  # bit map of packet numbers: bit n stands for `highest - n`

    def accepts(self, boot_epoch: int, packet_number: int) -> bool:
        """Returns whether the packet is new, and records it."""
        if boot_epoch < self.boot_epoch:
            return False
        if boot_epoch > self.boot_epoch:
            self.boot_epoch, self.highest, self.received = boot_epoch, packet_number, 1
            return True
        if packet_number > self.highest:
            shift = packet_number - self.highest
            self.received = (
                (self.received << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
                if shift < REPLAY_WINDOW
                else 1
            )
            self.highest = packet_number
            return True
        bit = self.highest - packet_number
        if bit >= REPLAY_WINDOW or self.received >> bit & 1:
            return False
        self.received |= 1 << bit
        return True


@dataclass(slots=True)
class Codec:
    """Encodes and decodes the messages of one fleet. Decoding raises InvalidMessage for data that
    is damaged, replayed, of another fleet or not authentic."""

    fleet: str
    key: bytes = b""
    _windows: OrderedDict[str, ReplayWindow] = field(default_factory=OrderedDict)

    def _digest(self, data: bytes) -> bytes:
        return (
            hmac.new(self.key, data, sha256).digest()[:DIGEST_BYTES]
            if self.key
            else bytes(DIGEST_BYTES)
        )

    def seal(self, data: bytes) -> bytes:
        """Prepends the magic bytes and the digest."""
        return MAGIC + self._digest(data) + data

    def unseal(self, data: bytes, host: str) -> bytes:
        """Checks and strips the magic bytes and the digest. Without a key, only data from loopback
        addresses is accepted."""
        if not self.key and not ip_address(host.partition("%")[0]).is_loopback:
            raise InvalidMessage("stranger")
        if data[: len(MAGIC)] != MAGIC or len(data) < len(MAGIC) + DIGEST_BYTES:
            raise InvalidMessage("garbage")
        digest, data = (
            data[len(MAGIC) : len(MAGIC) + DIGEST_BYTES],
            data[len(MAGIC) + DIGEST_BYTES :],
        )
        if not hmac.compare_digest(digest, self._digest(data)):
            raise InvalidMessage("key")
        return data

    def encode(self, packet: Packet) -> bytes:
        return self.seal(_encoder.encode(packet))

    def decode(self, data: bytes, host: str) -> Packet:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise InvalidMessage("oversized")
        try:
            packet = _packet_decoder.decode(self.unseal(data, host))
        except msgspec.MsgspecError:
            raise InvalidMessage("garbage") from None
        if not VERSION - 1 <= packet.version <= VERSION + 1:
            raise InvalidMessage("version")
        if packet.fleet != self.fleet:
            raise InvalidMessage("fleet")
        if not 0 < len(packet.sender) <= MAX_NAME_LENGTH:
            raise InvalidMessage("garbage")
        window = self._windows.get(packet.sender)
        if window is None:
            window = self._windows[packet.sender] = ReplayWindow()
            if len(self._windows) > MAX_REPLAY_WINDOWS:
                self._windows.popitem(last=False)
        if not window.accepts(packet.boot_epoch, packet.packet_number):
            raise InvalidMessage("replayed")
        return packet

    def encode_state(self, state: FullState) -> bytes:
        return self.seal(_encoder.encode(state))

    def decode_state(self, data: bytes, host: str) -> FullState:
        try:
            state = _state_decoder.decode(self.unseal(data, host))
        except msgspec.MsgspecError:
            raise InvalidMessage("garbage") from None
        if not VERSION - 1 <= state.version <= VERSION + 1:
            raise InvalidMessage("version")
        if state.fleet != self.fleet:
            raise InvalidMessage("fleet")
        return state
