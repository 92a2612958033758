"""The program reads what commit eb69f91 put on the wire and on disk, and writes the same bytes.

The files in `eb69f91` were written by that commit's own code (see `generate.py`); `inputs.py` says
the values with today's names.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
import struct
import zlib
from dataclasses import asdict, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import lmdb
import pytest

from cairndale.configuration import serialization
from cairndale.configuration.commands import Command
from cairndale.configuration.delta import ConfigDelta
from cairndale.configuration.state import State
from cairndale.discovery import state as directory_state
from cairndale.discovery.store import Store as DirectoryStore
from cairndale.ingress import handover_state
from cairndale.ingress.net.handover import HandoverClaim
from cairndale.ingress.policy.account import TenantAccount
from cairndale.raft import codec, fragments
from cairndale.raft.messages import Entry, Member, PersistedState, Snapshot, state_digest
from cairndale.raft.storage import RaftStorage
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import CALL_KINDS
from cairndale.rpc.framing import FramedConnection
from tests.golden import inputs

GOLDEN = Path(__file__).parent / "eb69f91"
MESSAGES: dict[str, Any] = json.loads((GOLDEN / "messages.json").read_text())
STATE: dict[str, Any] = json.loads((GOLDEN / "state.json").read_text())
COMMAND_PARTS = [(GOLDEN / f"command.part-{number}").read_bytes() for number in range(2)]
COMMANDS = inputs.commands()
REPLICATION = {type(message).__name__: message for message in inputs.replication_messages()}
ENTRIES = {
    "command": Entry(41, 6, b"data"),
    "members": Entry(42, 6, b"", (inputs.VOTER, inputs.LEARNER)),
    "opens term": Entry(43, 7, is_term_start=True),
}
DIGEST_BYTES = 16  # of the digest that the last part of a command begins with
PACKED_BY = f"packed by zlib {STATE['zlib']}, and here by {zlib.ZLIB_RUNTIME_VERSION}"


def golden_bytes(text: str) -> bytes:
    return bytes.fromhex(text)


def table_contents(folder: Path) -> dict[str, dict[bytes, bytes]]:
    """Every key and value of a replication store, by table."""
    found: dict[str, dict[bytes, bytes]] = {}
    with lmdb.open(str(folder / "promptbook"), max_dbs=3, lock=False, readonly=True) as env:
        with env.begin() as read:
            names = [bytes(name) for name in read.cursor().iternext(values=False)]
        for name in names:
            table = env.open_db(name, create=False)
            with env.begin(table) as read:
                found[name.decode()] = {bytes(key): bytes(value) for key, value in read.cursor()}
    return found


def copied(source: str, target: Path) -> Path:
    return Path(shutil.copytree(GOLDEN / source, target / source))


# Messages between processes.


def test_no_golden_message_is_left_out() -> None:
    assert set(MESSAGES["envelopes"]) == set(inputs.FORMER_KINDS.values())
    assert set(inputs.wire_bodies()) == set(inputs.FORMER_KINDS) <= set(CALL_KINDS)
    assert set(MESSAGES["replication"]) == set(REPLICATION)
    assert set(MESSAGES["entries"]) == set(ENTRIES)


@pytest.mark.parametrize("kind", sorted(inputs.FORMER_KINDS))
def test_an_envelope_is_read_and_written_as_before(kind: str) -> None:
    golden = golden_bytes(MESSAGES["envelopes"][inputs.FORMER_KINDS[kind]])
    made = inputs.envelope(kind, inputs.wire_bodies()[kind])
    read = pb.Envelope.FromString(golden)
    assert read == made and read.WhichOneof("body") == kind
    assert made.SerializeToString() == read.SerializeToString() == golden


@pytest.mark.parametrize("name", sorted(MESSAGES["replication"]))
def test_a_replication_message_is_read_and_written_as_before(name: str) -> None:
    golden, message = golden_bytes(MESSAGES["replication"][name]), REPLICATION[name]
    assert codec.encode_message(message).SerializeToString() == golden
    read = codec.decode_message(pb.LogMessage.FromString(golden))
    tells_place = name in ("Join", "Leave")
    sender = Member(message.sender.address, message.sender.disk_id)
    if tells_place:
        sender = replace(sender, zone=message.sender.zone, region=message.sender.region)
    assert type(read) is type(message)
    assert asdict(read) == asdict(replace(message, sender=sender))  # places are no part of `==`


@pytest.mark.parametrize("name", sorted(MESSAGES["entries"]))
def test_an_entry_is_read_and_written_as_before(name: str) -> None:
    golden = golden_bytes(MESSAGES["entries"][name])
    assert codec.encode_entry(ENTRIES[name]) == golden
    assert asdict(codec.decode_entry(golden)) == asdict(ENTRIES[name])


def test_the_head_of_a_snapshot_is_read_and_written_as_before() -> None:
    golden = golden_bytes(MESSAGES["snapshot head"])
    assert codec.encode_snapshot_head(inputs.HEAD) == golden
    assert asdict(codec.decode_snapshot_head(golden)) == asdict(inputs.HEAD)


def test_the_first_frames_of_a_connection_are_written_as_before() -> None:
    assert inputs.first_frames() == golden_bytes(MESSAGES["first frames"])


def test_the_first_frames_of_a_connection_are_read_as_before() -> None:
    heard: list[Any] = []
    process: Any = SimpleNamespace(
        now=lambda: 0.0,
        hello_received=lambda connection, hello: True,
        envelope_received=lambda connection, envelope: heard.append(envelope),
        protocol_error=lambda connection, reason: pytest.fail(reason),
        own_address="10.1.0.2:8300",
        incarnation="life-2",
        system="system-1",
    )
    frames = FramedConnection(process)
    frames.transport = SimpleNamespace(is_closing=lambda: False, write=lambda data: None)  # type: ignore
    frames.data_received(golden_bytes(MESSAGES["first frames"]))
    assert frames.peer == pb.Hello(
        format=1,
        system="system-1",
        incarnation="life-1",
        address="10.1.0.1:8300",
        recipient="10.1.0.2:8300",
    )
    assert heard == [
        pb.Envelope(
            call_id=1, operation_request=pb.OperationRequest(method="GET", path="/-/Config.Read")
        )
    ]


# The replicated state.


def test_no_golden_command_is_left_out() -> None:
    assert set(COMMANDS) == set(STATE["commands"])


@pytest.mark.parametrize("name", sorted(STATE["commands"]))
def test_a_command_is_read_and_written_as_before(name: str) -> None:
    golden = golden_bytes(STATE["commands"][name])
    assert Command.decode(golden) == COMMANDS[name]
    assert COMMANDS[name].encode() == golden, PACKED_BY


def test_a_command_in_parts_is_read_and_written_as_before() -> None:
    assert inputs.large_command_parts() == COMMAND_PARTS, PACKED_BY
    read = [fragments.decode_fragment(part) for part in COMMAND_PARTS]
    assert [(part.kind, part.number) for part in read] == [
        (fragments.FragmentKind.MORE, 0),
        (fragments.FragmentKind.LAST, 1),
    ]
    digest, rest = read[1].data[:DIGEST_BYTES], read[1].data[DIGEST_BYTES:]
    whole = read[0].data + rest
    assert state_digest(whole).digest() == digest
    assert Command.decode(whole) == inputs.large_command()


EXPECTED_STATE: dict[str, Any] = {
    "gen": 5,
    "evacuated": {"north-a": 1, "south-ä": 1},
    "moves": {"north-a": "call-4", "south-ä": "call-3"},
    "version": 4,  # not raised where an evacuated zone stays so
    "edges": ["edge-1", "edge-2"],
    "known": {"digest-1": 3, "digest-2": 5, "digest-3": -1},
    "forgotten": 2,
    "calls": {f"call-{number}": f"call-{number}" for number in range(1, 5)},
    "system": "system-1",
}


def expected_content() -> dict[str, Any]:
    routes = [inputs.route(number) for number in range(40)] + [inputs.route(50)]
    routes[7] = routes[7] | {"prio": 0}
    backends = [{"name": "tiles", "healthPath": "/h"}]
    return inputs.replacement() | {"gen": 5, "routes": routes, "backends": backends}


def test_the_state_is_read_and_written_as_before() -> None:
    golden = golden_bytes(STATE["format 2"])
    content = expected_content()
    del content["parent"]
    state = State.decode(golden)
    assert state.to_dict() == EXPECTED_STATE | {"content": content}
    assert state.latest_evacuation_orders == EXPECTED_STATE["moves"]
    assert state.idempotency_records == EXPECTED_STATE["known"]
    assert state.evicted_gen == EXPECTED_STATE["forgotten"]
    assert state.evacuation_calls == EXPECTED_STATE["calls"]
    assert state.system_name == EXPECTED_STATE["system"]
    assert state.encode() == golden, PACKED_BY
    assert serialization.decode(golden) == EXPECTED_STATE | {"content": content}


def test_commands_lead_to_the_same_state_as_before() -> None:
    assert inputs.replicated_state().encode() == golden_bytes(STATE["format 2"]), PACKED_BY


def test_the_state_in_format_1_is_read_as_before() -> None:
    golden = golden_bytes(STATE["format 1"])
    whole = State.decode(golden_bytes(STATE["format 2"]))
    state = State.decode(golden)
    assert state.to_dict() == whole.to_dict() | {"calls": {}, "forgotten": 0, "system": ""}
    assert inputs.state_in_format_1(whole) == golden, PACKED_BY


def test_the_configuration_is_told_as_before() -> None:
    golden = golden_bytes(STATE["told"])
    state = State.decode(golden_bytes(STATE["format 2"]))
    assert state.encoded_content() == golden, PACKED_BY
    assert json.loads(zlib.decompress(golden)) == state.content


def test_a_delta_is_told_as_before() -> None:
    told = STATE["difference"]
    golden = ConfigDelta(
        base_gen=told["before"],
        gen=told["gen"],
        base_digest=told["digest_before"],
        digest=told["digest"],
        encoded_changes=golden_bytes(told["change"]),
    )
    assert inputs.delta_history().delta_since(3) == golden, PACKED_BY
    put = {"route-07": inputs.route(7) | {"prio": 0}, "route-50": inputs.route(50)}
    assert golden.decode_changes() == {"routes": put, "backends": {"books": None}}


# What a member of the control plane has on disk.


def expected_kept() -> PersistedState:
    state = golden_bytes(STATE["format 2"])
    members = (inputs.VOTER, inputs.LEARNER)
    snapshot = Snapshot(9, 6, members, state, state_digest(state).digest())
    entries = list(inputs.stored_entries())
    return PersistedState(
        7, "disk-3", snapshot, entries, (inputs.RECEIVED, b"a" * 700 + b"b" * 700)
    )


def test_a_disk_is_read_as_before(tmp_path: Path) -> None:
    folder = copied("store-format-2", tmp_path)
    for read_only in (True, False):
        store = RaftStorage(folder, read_only=read_only)
        assert (store.disk_id(), store.system_name()) == ("disk-1", "system-1")
        assert asdict(store.load()) == asdict(expected_kept())
        store.close()


def test_a_disk_is_written_as_before(tmp_path: Path) -> None:
    golden = table_contents(copied("store-format-2", tmp_path))
    store = RaftStorage(tmp_path / "new")
    inputs.fill_store(store)
    store.close()
    made = table_contents(tmp_path / "new")
    assert made == golden, PACKED_BY
    assert sorted(golden) == ["entries", "meta", "parts"]
    assert set(golden["meta"]) == {
        b"disk",
        b"format",
        b"made",
        b"promise",
        b"received",
        b"snapshot",
        b"system",
    }
    assert golden["meta"][b"format"] == b"2"
    assert golden["meta"][b"promise"] == struct.pack(">Q", 7) + b"disk-3"
    assert sorted(golden["entries"]) == [struct.pack(">Q", index) for index in range(5, 15)]


def test_what_no_pointer_leads_to_is_swept_from_a_disk(tmp_path: Path) -> None:
    folder = copied("store-format-2", tmp_path)
    store = RaftStorage(folder)
    while store.sweep():
        pass
    assert asdict(store.load()) == asdict(expected_kept())
    store.close()
    left = table_contents(folder)
    assert b"made" not in left["meta"]
    assert sorted(left["entries"]) == [struct.pack(">Q", index) for index in range(10, 15)]
    assert {struct.unpack(">QQ", key)[0] for key in left["parts"]} == {2, 3}


def test_a_disk_of_format_1_is_read_and_converted_as_before(tmp_path: Path) -> None:
    folder = copied("store-format-1", tmp_path)
    state = golden_bytes(STATE["format 1"])
    members = (Member("10.1.0.1:8300", "disk-1"), Member("10.1.0.2:8300", "disk-2"))
    snapshot = Snapshot(9, 6, members, state)
    kept = PersistedState(7, "disk-2", snapshot, list(inputs.stored_entries()[:3]))
    before = table_contents(folder)
    store = RaftStorage(folder, read_only=True)
    assert store.disk_id() == "disk-1" and asdict(store.load()) == asdict(kept)
    store.close()
    assert table_contents(folder) == before
    store = RaftStorage(folder)
    kept.snapshot = replace(snapshot, digest=state_digest(state).digest())
    assert store.disk_id() == "disk-1" and asdict(store.load()) == asdict(kept)
    store.close()
    after = table_contents(folder)
    # The generation is one more than the first eight bytes of the value that was there.
    generation = struct.unpack(">Q", before["meta"][b"snapshot"][:8])[0] + 1
    pointer = struct.pack(">Q", generation) + codec.encode_snapshot_head(kept.snapshot.head)
    assert after["meta"] == before["meta"] | {b"format": b"2", b"snapshot": pointer}
    assert after["entries"] == before["entries"]
    assert after["parts"] == {struct.pack(">QQ", generation, 0): state}


# The data plane's hand-over.

HANDOVER = (GOLDEN / "handover.jsonl").read_bytes()


async def test_an_ingress_is_handed_over_as_before() -> None:
    assert await inputs.handed_over() == HANDOVER


async def taken_over(
    ingress: inputs.Ingress, sockets: Any
) -> tuple[HandoverClaim, socket.socket, int | None]:
    """By a new process, from what the old one of eb69f91 said."""
    here, there = socket.socketpair()
    here.setblocking(False)
    there.setblocking(False)
    await asyncio.get_running_loop().sock_sendall(there, HANDOVER)
    unused: Any = None
    claim = HandoverClaim(here, unused)
    discovery: Any = SimpleNamespace(table=ingress.held)
    index = await claim.take_over(ingress.engine, ingress.gateway, sockets, discovery)
    return claim, there, index


async def test_an_ingress_is_taken_over_as_before() -> None:
    told = json.loads(HANDOVER.splitlines()[0])
    state, module = told["ingress"], told["ingress"]["module"]
    ingress, sockets = inputs.Ingress(), SimpleNamespace(predecessor_count=0)
    claim, there, index = await taken_over(ingress, sockets)
    maintenance: Any = SimpleNamespace()
    claim.confirm_serving(ingress.engine, sockets, maintenance)  # type: ignore[arg-type]
    async with asyncio.timeout(5):
        while "s-1" not in ingress.engine.in_maintenance:
            await asyncio.sleep(0.01)
        said = await asyncio.get_running_loop().sock_recv(there, 100)
    claim.stop()
    there.close()
    assert said == b'"take"\n"serving"\n'
    assert index == 14 and sockets.predecessor_count == 17
    assert json.loads(json.dumps(ingress.held.dump())) == told["held"]
    named = {key: value for key, value in state.items() if key not in ("module", "maintained")}
    again = ingress.engine.dump_state()
    assert {key: again[key] for key in named} == named
    assert again["maintained"] == ["s-1", "s-4"]
    assert (
        ingress.gateway.pool.in_flight_elsewhere == 1
        and ingress.gateway.accounts[9].attempts_elsewhere == 1
    )
    _check_accounts(ingress, module)


def _check_accounts(ingress: inputs.Ingress, module: dict[str, Any]) -> None:
    """What it would hand over in turn: the same, but for half of each ceiling's part."""
    _check_account(ingress.gateway.accounts[9], module["accounts"][2])
    backend = ingress.gateway.pool.backends[1]
    assert (backend.limit, backend.latency_ratios, backend.credit) == (7.5, [1.25, 1.75], 2.5)
    assert (ingress.gateway.backoff_factor, ingress.gateway.started_at) == (1.5, 1_000_000_000)
    expected = json.loads(json.dumps(module))
    for _, _, _, values in expected["accounts"]:
        values["ceiling"], values["sure"] = values["ceiling"] / 2, values["sure"] / 2
    again = json.loads(json.dumps(handover_state.hand_over(ingress.gateway)))
    assert again == expected


def _check_account(account: TenantAccount, told: list[Any]) -> None:
    """Each key that was told is in the attribute that means the same."""
    customer, plan, slots, values = told
    assert (customer, account.plan.name) == (9, ["gold", "tin"][plan])
    assert [list(slot) for slot in account.ring.slots] == slots
    assert slots[:4] == [[1.75, 0], [-0.25, 3], [1.75, 0], [-0.25, 1]]
    assert values == {
        "spread": account.ingress_count,
        "level_at": account.bucket_updated_at,
        "level": account.bucket_units,
        "share": account.isolated_share,
        "tokens": account.tokens,
        "rate": account.lease_rate,
        "chance": account.admit_probability,
        "heard_at": account.total_seen_at,
        "usual": account.demand,
        "demand_at": account.demand_at,
        "ceiling": account.ceiling_leased,
        "sure": account.ceiling_unreported,
        "slot": account.ring.position,
        "unheard": account.unreported,
        "back": account.refund,
        "back_for": account.refund_name,
    }
    assert (values["rate"], values["usual"], values["chance"]) == (4.0, 0.5, 0.75)
    assert (values["unheard"], values["back"], values["back_for"]) == (0.625, 0.375, 987_654_321)


# The list service's files.


def directory_server(name: str, since_ms: int, version: int, **more: Any) -> directory_state.Server:
    address = f"{name}.example:9000"
    made = directory_state.Server(name, address, "", "big", 3, "up", 1.5, since_ms, 20_000, version)
    return replace(made, **more)


def test_the_list_service_reads_its_files_as_before(tmp_path: Path) -> None:
    store = DirectoryStore(copied("directory", tmp_path))
    store.close()
    first = directory_state.PROMOTION_VERSION_GAP + 4  # of the second epoch
    assert (store.truncated_bytes, store.replayed, store.role) == (
        0,
        3,
        {"leads": 2, "deposes": ""},
    )
    state = store.state
    assert (state.lineage, state.epoch, state.index, state.compacted_index) == (
        "0123456789abcdef",
        2,
        first + 3,
        0,
    )
    assert state.past_epochs == ((1, 0, 4),)
    assert state.servers == {
        "a": directory_server("a", 100, first + 2, zone="north", status="draining"),
        "d": directory_server("d", 400, first + 1),
    }
    assert list(state.removed_versions.items()) == [("c", 4), ("b", first + 3)]
    versions = {id: (version, at) for id, _, version, at in state.writes.values()}
    assert versions == {
        "register-a-100": (1, 1),
        "register-b-200": (2, 2),
        "register-c-300": (3, 3),
        "remove-c": (4, 4),
        "register-d-400": (first + 1, first + 1),
        "drain-a": (first + 2, first + 2),
    }


@pytest.mark.parametrize("name", ["snapshot", "log", "role"])
def test_the_list_service_writes_its_files_as_before(tmp_path: Path, name: str) -> None:
    store = DirectoryStore(tmp_path)
    inputs.fill_directory(store)
    store.close()
    assert (tmp_path / name).read_bytes() == (GOLDEN / "directory" / name).read_bytes()
