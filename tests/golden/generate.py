"""Writes the golden files in `tests/golden/eb69f91`: what commit eb69f91 puts on the wire and disk.

Run by hand, inside a checkout of that commit, with its pinned requirements installed:

    git worktree add ../eb69f91 eb69f91
    PYTHONPATH=../eb69f91 python tests/golden/generate.py tests/golden/eb69f91

It imports the module names of that commit, so it does not run with a later one, and no tool that
renames things is to touch it. The files are evidence of the old program: they are never made anew
from a later one. Two runs write the same bytes.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import struct
import sys
import tempfile
import zlib
from collections.abc import Iterator
from hashlib import sha512
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import lmdb
from ironledge.brain import Gateway
from ironledge.directory import state as directory_state
from ironledge.directory.store import Store as DirectoryStore
from ironledge.interface import Outcome
from ironledge.net.discovery import Directory, Held, Listing
from ironledge.net.engine import Answer, Engine, Names, Wanted
from ironledge.net.handover import Offer, Talk
from ironledge.wire import settings_from_json
from playhouse.promptbook import codec, parts
from playhouse.promptbook.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
    KeepEntries,
    KeepPart,
    KeepSnapshot,
    Kept,
    Leave,
    Member,
    Message,
    RequestVote,
    Snapshot,
    SnapshotHead,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from playhouse.promptbook.store import Store
from playhouse.script.state import Command, State, Verb
from playhouse.wings import cues_pb2 as pb
from playhouse.wings.frames import Frames

SECOND = 1_000_000  # microseconds
VOTER = Member("10.1.0.1:8300", "disk-1", "north-a", "north")
OTHER_VOTER = Member("10.1.0.2:8300", "disk-2", "north-b", "north")
LEARNER = Member("10.2.0.3:8300", "disk-3", "south-a", "south", True)
HEAD = SnapshotHead(9, 6, (VOTER, LEARNER), 1234, bytes(range(16)))
SELDOM_SET = (  # fields of a replication message: of a sender its place, of a voter that it is none
    "sender.zone",
    "sender.region",
    "sender.learner",
    "append_entries.entries.members.learner",
)


def write_json(path: Path, value: Any) -> None:
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")


# Messages between processes.


def wire_node() -> pb.Node:
    return pb.Node(
        name="edge-1",
        life="life-1",
        door="10.1.0.7:8301",
        http="10.1.0.7:8080",
        zone="north-a",
        region="north",
        kind="edge",
        ready=True,
        leaving=True,
        ctl="10.1.0.7:8200",
    )


def wire_server() -> pb.Server:
    return pb.Server(
        id="i-1",
        service="tiles",
        addr="10.1.0.9:9000",
        zone="north-b",
        gen="v1",
        capacity=4,
        state="draining",
        cold_ms=1500,
        seq=77,
    )


def wire_difference() -> pb.Difference:
    return pb.Difference(before=11, gen=12, digest_before=13, digest=14, change=b"change")


def wire_bodies() -> dict[str, Any]:
    """One body of each kind, every field set, no two of one message alike."""
    entry = Entry(41, 6, b"data", (VOTER, LEARNER), True)
    append = AppendEntries(7, VOTER, 40, 5, (entry,), 39, 123_456)
    return {
        "hello": pb.Hello(
            format=1, system="system-1", life="life-1", door="10.1.0.1:8300", to="10.1.0.2:8300"
        ),
        "log_message": codec.message_out(append),
        "ask": pb.Ask(
            node=wire_node(),
            epoch="epoch-1",
            script=21,
            servers=22,
            nodes=23,
            wait_ms=24,
            gen=25,
            name="edge-2",
            life="life-2",
            idle_ms=26,
            counting=True,
            clock_ms=27,
            differences=True,
        ),
        "cue": pb.Cue(
            epoch="epoch-1",
            lease_ms=31,
            script=32,
            content=b"content",
            has_content=True,
            evacuated=["north-a", "south-b"],
            servers=33,
            server=[wire_server()],
            servers_whole=True,
            nodes=34,
            node=[wire_node()],
            nodes_whole=True,
            node_gone=["edge-3"],
            share_of=35,
            gen=36,
            counting=True,
            has_script=True,
            clock_ms=37,
            settled=True,
            lists=b"lists",
            difference=wire_difference(),
            rest_gone=True,
        ),
        "order": pb.Order(method="POST", path="/-/Config.Update", body=b"{}", id="order-1"),
        "outcome": pb.Outcome(status=409, body=b"refused"),
        "lease": pb.Lease(tenant="north", amount=1.5, told=2.25),
        "leased": pb.Leased(left=3.75),
        "beats": pb.Beats(id=["i-1", "i-2"], seq=[51, 52], age_ms=[53, 54]),
        "deal": pb.Deal(whole=["cold i-1", "retry tiles"]),
        "dealt": pb.Dealt(all=True, life_ms=61, wait_ms=62),
        "receipt": pb.Receipt(zone="north-a", order="order-1"),
        "arrivals": pb.Arrivals(server=[wire_server()]),
    }


def envelope(kind: str, body: Any) -> pb.Envelope:
    """Of one body, with each field around it set."""
    head = {
        "call": 101,
        "answer": True,
        "pass_to": "10.1.0.3:8300",
        "fault": 102,
        "term": 103,
        "id": 104,
    }
    return pb.Envelope(**head, origin="life-9", **{kind: body})


def replication_messages() -> list[Message]:
    entry = Entry(41, 6, b"data", (VOTER, LEARNER), True)
    return [
        RequestVote(7, VOTER, True, 41, 6, True),
        VoteReply(8, VOTER, True, True),
        AppendEntries(9, VOTER, 40, 5, (entry, Entry(42, 6, b"more")), 39, 123_456),
        AppendReply(10, VOTER, True, 42, 123_457),
        InstallSnapshot(11, VOTER, HEAD, 1000, b"part", 0xCAFE, 123_458),
        SnapshotReply(12, VOTER, 9, 1004, 123_459),
        Join(13, LEARNER),
        Leave(14, LEARNER),
        TimeoutNow(15, VOTER),
    ]


def first_frames() -> bytes:
    """What a connection's first call puts on the wire: the hello, then the call."""
    written = bytearray()
    transport = SimpleNamespace(
        is_closing=lambda: False, get_write_buffer_size=lambda: 0, write=written.extend
    )
    process: Any = SimpleNamespace(own="10.1.0.1:8300", life="life-1", system="system-1")
    frames = Frames(process, "10.1.0.2:8300")
    frames.transport = transport  # type: ignore[assignment]
    assert frames.write(pb.Envelope(call=1, order=pb.Order(method="GET", path="/-/Config.Read")))
    return bytes(written)


def unset_fields(message: Any) -> list[str]:
    """Of a message, those with their default value; of a choice, only the one that is there."""
    left = []
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.containing_oneof and not message.HasField(field.name):
            continue
        if field.message_type:
            for one in value if field.is_repeated else [value]:
                left += [f"{field.name}.{name}" for name in unset_fields(one)]
        if value == field.default_value or (field.is_repeated and not value):
            left.append(field.name)
    return left


def check_messages_complete() -> None:
    """There is one of each kind and of each verb, with every field set that the program sets."""
    bodies = wire_bodies()
    kinds = {field.name for field in pb.Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    assert set(bodies) == kinds
    left = {f"log_message.{name}" for name in SELDOM_SET}
    assert {
        f"{kind}.{name}" for kind, body in bodies.items() for name in unset_fields(body)
    } == left
    steps = {field.name for field in pb.LogMessage.DESCRIPTOR.oneofs_by_name["what"].fields}
    told = {codec.message_out(message).WhichOneof("what") for message in replication_messages()}
    assert told == steps
    assert {command.verb for command in commands().values()} == set(Verb)


def generate_messages(folder: Path) -> None:
    check_messages_complete()
    envelopes = {
        kind: envelope(kind, body).SerializeToString().hex() for kind, body in wire_bodies().items()
    }
    replication = {
        type(message).__name__: codec.message_out(message).SerializeToString().hex()
        for message in replication_messages()
    }
    entries = {
        "command": codec.entry_out(Entry(41, 6, b"data")).hex(),
        "members": codec.entry_out(Entry(42, 6, b"", (VOTER, LEARNER))).hex(),
        "opens term": codec.entry_out(Entry(43, 7, opens=True)).hex(),
    }
    made = {
        "envelopes": envelopes,
        "first frames": first_frames().hex(),
        "replication": replication,
        "entries": entries,
        "snapshot head": codec.head_out(HEAD).hex(),
    }
    write_json(folder / "messages.json", made)


# The replicated state.


def route(number: int) -> dict[str, Any]:
    return {
        "name": f"route-{number:02}",
        "pathPrefix": f"/r{number}/",
        "backend": "tiles",
        "prio": number,
    }


def replacement() -> dict[str, Any]:
    """A first configuration; more routes than go into one record of a stored state."""
    return {
        "gen": 3,
        "parent": 0,
        "routes": [route(number) for number in range(40)],
        "backends": [{"name": "tiles", "healthPath": "/h"}, {"name": "books", "maxConns": 50}],
        "tenants": [{"name": "north", "apiKeys": ["key-1"], "ratePerS": 1000.5}],
        "limits": {"headerTimeout": "3000ms"},
    }


def commands() -> dict[str, Command]:
    """One of each verb, in an order in which each has its effect."""
    change = {
        "gen": 5,
        "parent": 3,
        "upsert": {"routes": [route(7) | {"prio": 0}, route(50)]},
        "remove": {"backends": ["books"]},
    }
    return {
        "name": Command(Verb.NAME, "system-1"),
        "enrol": Command(Verb.ENROL, names=("edge-2", "edge-1", "edge-3"), gone=("edge-3",)),
        "replace": Command(Verb.REPLACE, "digest-1", replacement()),
        "update": Command(Verb.UPDATE, "digest-2", change),
        "evacuate": Command(Verb.EVACUATE, "call-1", zone="north-a", call="call-1"),
        "evacuate again": Command(Verb.EVACUATE, "call-2", zone="north-a", call="call-2"),
        "evacuate another": Command(Verb.EVACUATE, "call-3", zone="south-ä", call="call-3"),
        "take back": Command(Verb.TAKE_BACK, "call-4", zone="north-a", call="call-4"),
        "refuse": Command(Verb.REFUSE, "digest-3"),
    }


def large_command() -> Command:
    """One that a log entry has no room for: its text hardly packs."""
    tenants = [
        {"name": f"tenant-{n:03}", "apiKeys": [sha512(f"{n}".encode()).hexdigest()]}
        for n in range(230)
    ]
    return Command(Verb.UPDATE, "digest-9", {"gen": 9, "parent": 5, "upsert": {"tenants": tenants}})


def large_command_parts() -> list[bytes]:
    return [part for part in parts.cut([large_command().out()]) if part]


def replicated_state() -> State:
    state = State(forgotten=2)
    for command in commands().values():
        state.apply(command)
    return state


def state_in_format_1(state: State) -> bytes:
    """As `State.out` wrote it before format 2: one packed object, with the fields of then."""
    raw = {name: value for name, value in state.raw().items() if name in FORMAT_1_FIELDS}
    return zlib.compress(json.dumps(raw, separators=(",", ":")).encode(), 6)


FORMAT_1_FIELDS = ("gen", "content", "evacuated", "version", "known", "edges", "moves")


def difference() -> dict[str, Any]:
    """What the update changed, as it is told in place of the whole configuration."""
    state, made = State(), commands()
    state.apply(made["replace"])
    while not state.history.weigh(state.content):
        pass
    state.apply(made["update"])
    found = state.history.since(3)
    assert found
    return {
        "before": found.before,
        "gen": found.gen,
        "digest_before": found.digest_before,
        "digest": found.digest,
        "change": found.change.hex(),
    }


def generate_state(folder: Path) -> None:
    state = replicated_state()
    made = {
        "zlib": zlib.ZLIB_RUNTIME_VERSION,
        "commands": {name: command.out().hex() for name, command in commands().items()},
        "format 1": state_in_format_1(state).hex(),
        "format 2": state.out().hex(),
        "told": state.told().hex(),
        "difference": difference(),
    }
    write_json(folder / "state.json", made)
    for number, part in enumerate(large_command_parts()):
        (folder / f"command.part-{number}").write_bytes(part)


# What a member of the control plane has on disk.


def stored_entries() -> tuple[Entry, ...]:
    """After the snapshot: a term's first, members, a command, and a command in parts."""
    command = commands()["refuse"].out()
    first = (
        Entry(10, 7, opens=True),
        Entry(11, 7, b"", (VOTER, OTHER_VOTER, LEARNER)),
        Entry(12, 7, command),
    )
    return first + tuple(Entry(13 + n, 7, part) for n, part in enumerate(large_command_parts()))


def cut(data: bytes, size: int) -> Iterator[tuple[int, bytes]]:
    for offset in range(0, len(data), size):
        yield offset, data[offset : offset + size]


def fill_store(store: Store) -> None:
    """A life of a disk, ended in the middle of receiving one snapshot and of making another."""
    store.begin("disk-1", Kept(3, "disk-2", Snapshot(4, 2, (VOTER,), b"the state before")))
    store.name_system("system-1")
    store.write(
        [KeepEntries(5, tuple(Entry(index, 6, b"old %d" % index) for index in range(5, 10)))]
    )
    state = replicated_state().out()
    snapshot = Snapshot(9, 6, (VOTER, LEARNER), state)
    store.write([KeepPart(snapshot.head, at, part, False) for at, part in cut(state, 400)])
    store.write([KeepSnapshot(snapshot, False)])
    store.write([HardState(7, "disk-3"), KeepEntries(10, stored_entries())])
    received = SnapshotHead(40, 8, (VOTER, OTHER_VOTER), 3000, bytes(range(16, 32)))
    store.write(
        [KeepPart(received, 0, b"a" * 700, True), KeepPart(received, 700, b"b" * 700, True)]
    )
    made = SnapshotHead(12, 7, (VOTER, OTHER_VOTER, LEARNER), 900, bytes(range(32, 48)))
    store.write([KeepPart(made, 0, b"c" * 300, False)])


def fill_format_1(path: Path) -> None:
    """As the store wrote it before format 2: the snapshot in one value, and no table of parts."""
    snapshot = pb.InstallSnapshot(index=9, at_term=6, data=state_in_format_1(replicated_state()))
    snapshot.members.extend(pb.Member(door=m.door, disk=m.disk) for m in (VOTER, OTHER_VOTER))
    with lmdb.open(str(path), map_size=1 << 20, max_dbs=2, lock=False) as env:
        meta, entries = env.open_db(b"meta"), env.open_db(b"entries")
        with env.begin(write=True) as change:
            change.put(b"format", b"1", db=meta)
            change.put(b"disk", b"disk-1", db=meta)
            change.put(b"promise", struct.pack(">Q", 7) + b"disk-2", db=meta)
            change.put(b"snapshot", snapshot.SerializeToString(), db=meta)
            for entry in stored_entries()[:3]:
                change.put(struct.pack(">Q", entry.index), codec.entry_out(entry), db=entries)


def copy_compact(source: Path, target: Path) -> None:
    """Without the free pages, and without the padding of the file's size."""
    target.mkdir(parents=True)
    with lmdb.open(str(source), max_dbs=3, lock=False, readonly=True) as env:
        env.copy(str(target), compact=True)


def generate_stores(folder: Path) -> None:
    with tempfile.TemporaryDirectory() as name:
        made = Path(name)
        store = Store(made / "2")
        fill_store(store)
        store.close()
        (made / "1").mkdir()
        fill_format_1(made / "1" / "promptbook")
        for number in ("1", "2"):
            copy_compact(
                made / number / "promptbook", folder / f"store-format-{number}" / "promptbook"
            )


# The data plane: what one process of an ingress tells the one that replaces it.

INGRESS_SETTINGS: dict[str, Any] = {
    "me": 0,
    "fleet_size": 2,
    "period": 1000,
    "failure_domains": ["hall"],
    "flavors": ["big"],
    "services": [
        {"name": "read", "on_time": 2_000_000, "deadline": 4_000_000, "semantics": "retryable"},
        {"name": "order", "on_time": 2_000_000, "deadline": 4_000_000, "semantics": "fragile"},
    ],
    "contracts": [
        {
            "name": "gold",
            "quota_rate": 5.0,
            "burst": 10.0,
            "never_over_rate": 50.0,
            "never_over_depth": 90.0,
        },
        {"name": "tin", "quota_rate": 1.0, "burst": 2.0},
    ],
    "ceilings": {
        "max_attempts": 2,
        "cancel": True,
        "connect_timeout": 250_000,
        "retry_after": True,
        "conn_idle": 10_000_000,
        "max_retry_after": 500_000,
        "max_open": 100,
    },
    "safety": {
        "answer_slack": 8000,
        "drain_grace": 250_000,
        "cold_share": 0.2,
        "ramp_time": 10_000_000,
        "tip_multiple": 2.0,
        "fall": 1_000_000,
    },
    "telemetry": {"fields": ["pending"], "via": "inline"},
    "domain": {"may_count": True, "count_wait": 30_000},
}


def listed_server(number: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    return {
        "name": f"s-{number}",
        "address": f"10.1.0.{number}:9000",
        "zone": "hall",
        "type": "big",
        "group": number % 2,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
        "version": 10 + number,
    }


def listing(index: int, lineage: str, *servers: dict[str, Any]) -> Listing:
    raw = {
        "index": index,
        "snapshot": True,
        "endpoints": servers,
        "epoch": 2,
        "lineage": lineage,
        "gone": [["s-0", 9]],
    }
    return Listing(raw)


def listings() -> list[Listing]:
    """Of a first list service, of another one, and of that one once it lacks most servers."""
    servers = [listed_server(1), listed_server(2, "draining"), listed_server(3, since_ms=1000)]
    return [
        listing(12, "fedcba9876543210", listed_server(1)),
        listing(13, "0123456789abcdef", *servers),
        listing(14, "0123456789abcdef", servers[1], listed_server(4)),
    ]


class Servers:
    """Stand-ins that answer at once, but for requests whose id begins with `open`."""

    def __init__(self, clock: SimpleNamespace) -> None:
        self.clock = clock

    def know(self, entry: Any, backend: int) -> None: ...
    def settle(self, gone: Any) -> None: ...
    def hold(self, backend: int, out: bool) -> None: ...

    def send(self, backend: int, data: Any, ended: Any, flow: Any = None) -> Any:
        if not flow.id.startswith(b"open"):
            self.clock.time += 3000 * backend
            ended(Answer(Outcome.OK, load=b"pending=%d" % backend))
        return SimpleNamespace(abort=lambda: True, pause=lambda paused: None)


class Counter:
    """Of the tenants' units: answers at once."""

    def __init__(self, clock: SimpleNamespace) -> None:
        self.clock, self.totals = clock, dict[int, float]()

    def add(self, name: int, amount: float, ttl_us: int, answered: Any) -> None:
        self.totals[name] = self.totals.get(name, 0.0) + amount
        self.clock.time += 500
        answered(Outcome.OK, self.totals[name])


class Ingress:
    """Gateway and engine of one process, on a clock of their own."""

    def __init__(self) -> None:
        settings = settings_from_json(json.dumps(INGRESS_SETTINGS).encode())
        timer = SimpleNamespace(cancel=lambda: None)
        loop: Any = SimpleNamespace(call_later=lambda delay, callback, *args: timer)
        self.clock = SimpleNamespace(time=1000 * SECOND)
        self.gateway = Gateway(settings, seed=1)
        names = Names(settings, INGRESS_SETTINGS)
        self.engine = Engine(self.gateway, settings, names, loop, lambda: self.clock.time)
        self.engine.servers, self.engine.counter = Servers(self.clock), Counter(self.clock)
        self.held = Held(Directory(()))

    def request(self, id: bytes, customer: int, plan: int, units: float = 1.0) -> None:
        client: Any = SimpleNamespace(
            serve=lambda answer: None,
            refuse=lambda retry_after, status: None,
            more=lambda data: None,
        )
        wanted = Wanted(
            id,
            0,
            plan,
            customer,
            units,
            2,
            0,
            3 * SECOND,
            self.clock.time,
            False,
            b"GET / HTTP/1.1\r\n",
            b"",
        )
        assert self.engine.arrived(wanted, client)


def set_by_hand(ingress: Ingress) -> None:
    """What seldom differs from its default: no two values alike, and places booked in the ring."""
    account = ingress.gateway.accounts[9]
    account.rate, account.usual = 4.0, 0.5
    for _ in range(5):
        account.book(ingress.clock.time, 1.0)
    account.chance, account.heard_at, account.unheard = 0.75, 998 * SECOND, 0.625
    account.back, account.back_for = 0.375, 987_654_321
    fleet, backend = ingress.gateway.fleet, ingress.gateway.fleet.backends[1]
    fleet.more, fleet.typical, ingress.gateway.crowd = 0.25, [1.125, 1.375], 1.5
    backend.limit, backend.slow, backend.credit, backend.credit_at = 7.5, [1.25, 1.75], 2.5, 42.0


def served_ingress() -> Ingress:
    """Some seconds of requests, within quotas and beyond them; two requests are still open."""
    ingress = Ingress()
    for told in listings():
        if change := ingress.held.offer(told, 1000.0 + told.index):
            ingress.engine.listed(change)
    ingress.engine.maintain("s-3", True)
    ingress.engine.maintain("s-4", True)
    for number in range(40):
        ingress.clock.time += 150_000
        ingress.request(b"a%d" % number, 7, 0)
        ingress.request(b"b%d" % number, 8, 1, 2.0)
        ingress.request(b"c%d" % number, 9, 0, 0.25)
    ingress.engine.maintain("s-3", False)
    ingress.request(b"open-1", 7, 0)
    ingress.request(b"open-2", 9, 0, 0.25)
    set_by_hand(ingress)
    return ingress


async def handed_over() -> bytes:
    """The lines that the old process says: all that it knows, what changes, an operator's call."""
    ingress, written = served_ingress(), bytearray()
    reader = asyncio.StreamReader()
    reader.feed_data(b'"serving"\n')
    writer: Any = SimpleNamespace(write=written.extend)
    talk = Talk(reader, writer)
    listener: Any = SimpleNamespace(step_aside=lambda aside: None)
    sockets: Any = SimpleNamespace(cap=100, open=17)
    discovery: Any = SimpleNamespace(held=ingress.held, index=ingress.held.index)
    rest: Any = None
    offer = Offer(
        Path("unused"),
        ingress.engine,
        ingress.gateway,
        listener,
        sockets,
        discovery,
        rest,
        lambda: None,
    )
    await offer._pass_on(talk)
    talk.say(offer._told())
    talk.maintained("s-1", True)
    return bytes(written)


def generate_handover(folder: Path) -> None:
    (folder / "handover.jsonl").write_bytes(asyncio.run(handed_over()))


# The list service's files.


def registered(name: str, since_ms: int, zone: str = "") -> directory_state.Call:
    server = directory_state.Server(
        name, f"{name}.example:9000", zone, "big", 3, "up", 1.5, since_ms, 20_000
    )
    return directory_state.Call("register", name, server, id=f"register-{name}-{since_ms}")


def write_calls(store: DirectoryStore, *calls: directory_state.Call) -> None:
    """As the service does: the records of some calls, synced together."""
    work, records = store.state.copy(), []
    for call in calls:
        record, _ = work.decide(call)
        assert record
        work.apply(record)
        records.append(record)
    store.append(records, work)


def generate_directory(folder: Path) -> None:
    """A snapshot with a promotion before it, and a log of two syncs after it."""
    target = folder / "directory"
    store = DirectoryStore(target)
    store.reset(directory_state.State("0123456789abcdef"))
    write_calls(store, registered("a", 100, "north"), registered("b", 200), registered("c", 300))
    write_calls(store, directory_state.Call("remove", "c", id="remove-c"))
    after = store.state.copy()
    promoted = after.promoted()
    after.apply(promoted)
    store.append([promoted], after)
    store.compact(store.state)
    write_calls(store, registered("d", 400), directory_state.Call("drain", "a", id="drain-a"))
    write_calls(store, directory_state.Call("remove", "b", expected=2))
    store.keep_role(leads=2, deposes="")
    store.close()
    (target / "lock").unlink()


def main(folder: Path) -> None:
    if folder.exists():
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    for generate in (
        generate_messages,
        generate_state,
        generate_stores,
        generate_handover,
        generate_directory,
    ):
        generate(folder)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
