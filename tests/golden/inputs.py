"""The values behind the golden files, said with the names that the program has now.

`generate.py` says the same values with the names of commit eb69f91; their bytes are to be alike.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Iterator
from hashlib import sha512
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.delta_history import DeltaHistory
from cairndale.configuration.state import State
from cairndale.discovery import state as directory_state
from cairndale.discovery.store import Store as DirectoryStore
from cairndale.ingress.net.discovery import DirectoryConfig, EndpointTable, EndpointUpdate
from cairndale.ingress.net.engine import AttemptResult, ClientRequest, Engine, NameTable
from cairndale.ingress.net.handover import HandoverChannel, HandoverOffer
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome
from cairndale.ingress.wire import settings_from_json
from cairndale.raft import codec, fragments
from cairndale.raft.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
    Leave,
    Member,
    Message,
    PersistedState,
    RequestVote,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Snapshot,
    SnapshotHead,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from cairndale.raft.storage import RaftStorage
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection

SECOND = 1_000_000  # microseconds
VOTER = Member("10.1.0.1:8300", "disk-1", "north-a", "north")
OTHER_VOTER = Member("10.1.0.2:8300", "disk-2", "north-b", "north")
LEARNER = Member("10.2.0.3:8300", "disk-3", "south-a", "south", True)
HEAD = SnapshotHead(9, 6, (VOTER, LEARNER), 1234, bytes(range(16)))
RECEIVED = SnapshotHead(40, 8, (VOTER, OTHER_VOTER), 3000, bytes(range(16, 32)))  # half of it came
MADE = SnapshotHead(
    12, 7, (VOTER, OTHER_VOTER, LEARNER), 900, bytes(range(32, 48))
)  # a third of it is there

FORMER_KINDS = {  # of a message's body: its name in eb69f91, which is no part of the bytes
    "hello": "hello",
    "log_message": "log_message",
    "watch_request": "ask",
    "watch_response": "cue",
    "operation_request": "order",
    "operation_response": "outcome",
    "quota_request": "lease",
    "quota_response": "leased",
    "heartbeat_report": "beats",
    "budget_request": "deal",
    "budget_response": "dealt",
    "evacuation_receipt": "receipt",
    "endpoint_report": "arrivals",
}


# Messages between processes.


def wire_node() -> pb.Node:
    return pb.Node(
        name="edge-1",
        incarnation="life-1",
        address="10.1.0.7:8301",
        http_address="10.1.0.7:8080",
        zone="north-a",
        region="north",
        kind="edge",
        ready=True,
        draining=True,
        control_address="10.1.0.7:8200",
    )


def wire_endpoint() -> pb.Endpoint:
    return pb.Endpoint(
        id="i-1",
        service="tiles",
        address="10.1.0.9:9000",
        zone="north-b",
        generation="v1",
        capacity=4,
        state="draining",
        warmup_left_ms=1500,
        seq=77,
    )


def wire_delta() -> pb.ConfigDelta:
    return pb.ConfigDelta(
        base_generation=11, generation=12, base_digest=13, digest=14, change=b"change"
    )


def wire_watch_request() -> pb.WatchRequest:
    return pb.WatchRequest(
        node=wire_node(),
        epoch="epoch-1",
        config_version=21,
        endpoints_version=22,
        nodes_version=23,
        wait_ms=24,
        generation=25,
        name="edge-2",
        incarnation="life-2",
        idle_ms=26,
        counter_active=True,
        leader_clock_ms=27,
        accepts_delta=True,
    )


def wire_watch_response() -> pb.WatchResponse:
    return pb.WatchResponse(
        epoch="epoch-1",
        lease_ms=31,
        config_version=32,
        content=b"content",
        has_content=True,
        evacuated_zones=["north-a", "south-b"],
        endpoints_version=33,
        endpoints=[wire_endpoint()],
        endpoints_complete=True,
        nodes_version=34,
        nodes=[wire_node()],
        nodes_complete=True,
        removed_nodes=["edge-3"],
        ingress_count=35,
        generation=36,
        counter_active=True,
        has_evacuated_zones=True,
        leader_clock_ms=37,
        endpoints_settled=True,
        compressed_lists=b"lists",
        delta=wire_delta(),
        unlisted_endpoints_gone=True,
    )


def wire_bodies() -> dict[str, Any]:
    """One body of each kind, every field set, no two of one message alike."""
    entry = Entry(41, 6, b"data", (VOTER, LEARNER), True)
    append = AppendEntries(7, VOTER, 40, 5, (entry,), 39, 123_456)
    return {
        "hello": pb.Hello(
            format=1,
            system="system-1",
            incarnation="life-1",
            address="10.1.0.1:8300",
            recipient="10.1.0.2:8300",
        ),
        "log_message": codec.encode_message(append),
        "watch_request": wire_watch_request(),
        "watch_response": wire_watch_response(),
        "operation_request": pb.OperationRequest(
            method="POST", path="/-/Config.Update", body=b"{}", request_id="order-1"
        ),
        "operation_response": pb.OperationResponse(status=409, body=b"refused"),
        "quota_request": pb.QuotaRequest(tenant="north", amount=1.5, spent=2.25),
        "quota_response": pb.QuotaResponse(remaining=3.75),
        "heartbeat_report": pb.HeartbeatReport(ids=["i-1", "i-2"], seqs=[51, 52], ages_ms=[53, 54]),
        "budget_request": pb.BudgetRequest(budgets=["cold i-1", "retry tiles"]),
        "budget_response": pb.BudgetResponse(granted=True, valid_ms=61, retry_after_ms=62),
        "evacuation_receipt": pb.EvacuationReceipt(zone="north-a", order_id="order-1"),
        "endpoint_report": pb.EndpointReport(endpoints=[wire_endpoint()]),
    }


def envelope(kind: str, body: Any) -> pb.Envelope:
    """Of one body, with each field around it set."""
    return pb.Envelope(
        call_id=101,
        is_answer=True,
        forward_to="10.1.0.3:8300",
        fault_code=102,
        term=103,
        request_id=104,
        origin="life-9",
        **{kind: body},
    )


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
    process: Any = SimpleNamespace(
        own_address="10.1.0.1:8300", incarnation="life-1", system="system-1"
    )
    frames = FramedConnection(process, "10.1.0.2:8300")
    frames.transport = transport  # type: ignore[assignment]
    assert frames.write(
        pb.Envelope(
            call_id=1, operation_request=pb.OperationRequest(method="GET", path="/-/Config.Read")
        )
    )
    return bytes(written)


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
        "enrol": Command(
            Verb.ENROL, added_nodes=("edge-2", "edge-1", "edge-3"), removed_nodes=("edge-3",)
        ),
        "replace": Command(Verb.REPLACE, "digest-1", replacement()),
        "update": Command(Verb.UPDATE, "digest-2", change),
        "evacuate": Command(Verb.EVACUATE, "call-1", zone="north-a", call_id="call-1"),
        "evacuate again": Command(Verb.EVACUATE, "call-2", zone="north-a", call_id="call-2"),
        "evacuate another": Command(Verb.EVACUATE, "call-3", zone="south-ä", call_id="call-3"),
        "take back": Command(Verb.RESTORE, "call-4", zone="north-a", call_id="call-4"),
        "refuse": Command(Verb.REJECT, "digest-3"),
    }


def large_command() -> Command:
    """One that a log entry has no room for: its text hardly packs."""
    tenants = [
        {"name": f"tenant-{n:03}", "apiKeys": [sha512(f"{n}".encode()).hexdigest()]}
        for n in range(230)
    ]
    return Command(Verb.UPDATE, "digest-9", {"gen": 9, "parent": 5, "upsert": {"tenants": tenants}})


def large_command_parts() -> list[bytes]:
    return [part for part in fragments.split([large_command().encode()]) if part]


def replicated_state() -> State:
    state = State(evicted_gen=2)
    for command in commands().values():
        state.apply(command)
    return state


def delta_history() -> DeltaHistory:
    """Of a state that had the first configuration, then the update."""
    state, made = State(), commands()
    state.apply(made["replace"])
    while not state.history.digest_next_items(state.content):
        pass
    state.apply(made["update"])
    return state.history


def state_in_format_1(state: State) -> bytes:
    """As `State.out` wrote it before format 2: one packed object, with the fields of then."""
    raw = {name: value for name, value in state.to_dict().items() if name in FORMAT_1_FIELDS}
    return zlib.compress(json.dumps(raw, separators=(",", ":")).encode(), 6)


FORMAT_1_FIELDS = ("gen", "content", "evacuated", "version", "known", "edges", "moves")


# What a member of the control plane has on disk.


def stored_entries() -> tuple[Entry, ...]:
    """After the snapshot: a term's first, members, a command, and a command in parts."""
    command = commands()["refuse"].encode()
    first = (
        Entry(10, 7, is_term_start=True),
        Entry(11, 7, b"", (VOTER, OTHER_VOTER, LEARNER)),
        Entry(12, 7, command),
    )
    return first + tuple(Entry(13 + n, 7, part) for n, part in enumerate(large_command_parts()))


def cut(data: bytes, size: int) -> Iterator[tuple[int, bytes]]:
    for offset in range(0, len(data), size):
        yield offset, data[offset : offset + size]


def fill_store(store: RaftStorage) -> None:
    """A life of a disk, ended in the middle of receiving one snapshot and of making another."""
    store.initialize(
        "disk-1", PersistedState(3, "disk-2", Snapshot(4, 2, (VOTER,), b"the state before"))
    )
    store.set_system_name("system-1")
    store.write(
        [SaveEntries(5, tuple(Entry(index, 6, b"old %d" % index) for index in range(5, 10)))]
    )
    state = replicated_state().encode()
    snapshot = Snapshot(9, 6, (VOTER, LEARNER), state)
    store.write([SaveSnapshotChunk(snapshot.head, at, part, False) for at, part in cut(state, 400)])
    store.write([SaveSnapshot(snapshot, False)])
    store.write([HardState(7, "disk-3"), SaveEntries(10, stored_entries())])
    store.write(
        [
            SaveSnapshotChunk(RECEIVED, 0, b"a" * 700, True),
            SaveSnapshotChunk(RECEIVED, 700, b"b" * 700, True),
        ]
    )
    store.write([SaveSnapshotChunk(MADE, 0, b"c" * 300, False)])


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


def listing(index: int, lineage: str, *servers: dict[str, Any]) -> EndpointUpdate:
    raw = {
        "index": index,
        "snapshot": True,
        "endpoints": servers,
        "epoch": 2,
        "lineage": lineage,
        "gone": [["s-0", 9]],
    }
    return EndpointUpdate(raw)


def listings() -> list[EndpointUpdate]:
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

    def update_endpoint(self, entry: Any, backend: int) -> None: ...
    def apply_updates(self, gone: Any) -> None: ...
    def set_maintenance(self, backend: int, out: bool) -> None: ...

    def send(self, backend: int, data: Any, ended: Any, flow: Any = None) -> Any:
        if not flow.request_id.startswith(b"open"):
            self.clock.time += 3000 * backend
            ended(AttemptResult(Outcome.OK, load=b"pending=%d" % backend))
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
        self.gateway = RequestPolicy(settings, seed=1)
        names = NameTable(settings, INGRESS_SETTINGS)
        self.engine = Engine(self.gateway, settings, names, loop, lambda: self.clock.time)
        self.engine.upstreams, self.engine.counter = Servers(self.clock), Counter(self.clock)
        self.held = EndpointTable(DirectoryConfig(()))

    def request(self, id: bytes, customer: int, plan: int, units: float = 1.0) -> None:
        client: Any = SimpleNamespace(
            send_response=lambda answer: None,
            reject=lambda retry_after, status: None,
            write_body=lambda data: None,
        )
        wanted = ClientRequest(
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
        assert self.engine.request_arrived(wanted, client)


def set_by_hand(ingress: Ingress) -> None:
    """What seldom differs from its default: no two values alike, and places booked in the ring."""
    account = ingress.gateway.accounts[9]
    account.lease_rate, account.demand = 4.0, 0.5
    for _ in range(5):
        account.borrow_for_retry(ingress.clock.time, 1.0)
    account.admit_probability, account.total_seen_at = 0.75, 998 * SECOND
    account.unreported, account.refund, account.refund_name = 0.625, 0.375, 987_654_321
    fleet, backend = ingress.gateway.pool, ingress.gateway.pool.backends[1]
    fleet.extra_capacity, fleet.average_ratios, ingress.gateway.backoff_factor = (
        0.25,
        [1.125, 1.375],
        1.5,
    )
    backend.limit, backend.latency_ratios = 7.5, [1.25, 1.75]
    backend.credit, backend.credit_at = 2.5, 42.0


def served_ingress() -> Ingress:
    """Some seconds of requests, within quotas and beyond them; two requests are still open."""
    ingress = Ingress()
    for told in listings():
        if change := ingress.held.apply_update(told, 1000.0 + told.index):
            ingress.engine.update_endpoints(change)
    ingress.engine.set_maintenance("s-3", True)
    ingress.engine.set_maintenance("s-4", True)
    for number in range(40):
        ingress.clock.time += 150_000
        ingress.request(b"a%d" % number, 7, 0)
        ingress.request(b"b%d" % number, 8, 1, 2.0)
        ingress.request(b"c%d" % number, 9, 0, 0.25)
    ingress.engine.set_maintenance("s-3", False)
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
    talk = HandoverChannel(reader, writer)
    listener: Any = SimpleNamespace(suspend=lambda suspended: None)
    sockets: Any = SimpleNamespace(capacity=100, open_count=17)
    discovery: Any = SimpleNamespace(table=ingress.held, index=ingress.held.index)
    rest: Any = None
    offer = HandoverOffer(
        Path("unused"),
        ingress.engine,
        ingress.gateway,
        listener,
        sockets,
        discovery,
        rest,
        lambda: None,
    )
    await offer._transfer(talk)
    talk.send(offer._load())
    talk.send_maintenance("s-1", True)
    return bytes(written)


# The list service's files.


def registered(name: str, since_ms: int, zone: str = "") -> directory_state.WriteRequest:
    server = directory_state.Server(
        name, f"{name}.example:9000", zone, "big", 3, "up", 1.5, since_ms, 20_000
    )
    return directory_state.WriteRequest("register", name, server, id=f"register-{name}-{since_ms}")


def write_calls(store: DirectoryStore, *calls: directory_state.WriteRequest) -> None:
    """As the service does: the records of some calls, synced together."""
    work, records = store.state.copy(), []
    for call in calls:
        record, _ = work.decide(call)
        assert record
        work.apply(record)
        records.append(record)
    store.append(records, work)


def fill_directory(store: DirectoryStore) -> None:
    """A snapshot with a promotion before it, and a log of two syncs after it."""
    store.reset(directory_state.State("0123456789abcdef"))
    write_calls(store, registered("a", 100, "north"), registered("b", 200), registered("c", 300))
    write_calls(store, directory_state.WriteRequest("remove", "c", id="remove-c"))
    after = store.state.copy()
    promoted = after.promotion_record()
    after.apply(promoted)
    store.append([promoted], after)
    store.compact(store.state)
    write_calls(
        store, registered("d", 400), directory_state.WriteRequest("drain", "a", id="drain-a")
    )
    write_calls(store, directory_state.WriteRequest("remove", "b", expected=2))
    store.save_role(leads=2, deposes="")
