"""Messages of other systems, other incarnations or former leaders, and duplicates, have no effect.

Covers hellos, answers, terms and duplicate calls.
"""

from __future__ import annotations

import asyncio
import random
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, cast

import lmdb
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.control import idempotency
from cairndale.control.leadership import Leadership
from cairndale.control.node import ControlNode
from cairndale.dataplane.config_client import ConfigClient
from cairndale.errors import CallError, CallTimeoutError, FaultCode, RejectedError
from cairndale.events import Event
from cairndale.quota.budget_counter import warmup_budget
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import leader_client, rejection_log
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import CALL_KINDS, DuplicateSafety, TermFence
from cairndale.rpc.framing import FRAME_FORMAT, MAX_HELLO_BYTES, FramedConnection
from cairndale.rpc.leader_client import AvoidedAddress, LeaderClient
from cairndale.rpc.lease_timing import (
    FRESH_REQUEST_S,
    LEADER_CONTACT_MARGIN_S,
    NODE_CONTACT_MARGIN_S,
    NODE_LEASE_S,
    PROMPT_REQUEST_S,
)
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Bounds, parse_settings
from tests.control.test_state_models import SETTINGS
from tests.rpc.test_peer import HOST, free_port, order, rpc_peer

HERE, OTHER = "0123456789abcdef", "fedcba9876543210"


def framed(envelope: pb.Envelope) -> bytes:
    data = envelope.SerializeToString()
    return struct.pack(">I", len(data)) + data


def hello(to: str, **fields: Any) -> pb.Envelope:
    values = {
        "format": FRAME_FORMAT,
        "system": HERE,
        "incarnation": "b",
        "address": "127.0.0.1:1",
        "recipient": to,
    }
    values |= fields
    return pb.Envelope(hello=pb.Hello(**values))


class RawConnection:
    """The other side of a connection, scripted by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> pb.Envelope:
        async with asyncio.timeout(5):
            (size,) = struct.unpack(">I", await self.reader.readexactly(4))
            return pb.Envelope.FromString(await self.reader.readexactly(size))

    def write(self, *envelopes: pb.Envelope) -> None:
        self.writer.write(b"".join(map(framed, envelopes)))

    async def ended(self) -> bool:
        """Whether the connection is closed without further envelopes, except hellos."""
        try:
            while (await self.read()).HasField("hello"):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            return True
        return False

    @classmethod
    async def dial(cls, address: str) -> RawConnection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))


@asynccontextmanager
async def raw_server(port: int = 0) -> AsyncIterator[tuple[str, asyncio.Queue[RawConnection]]]:
    accepted_connections: asyncio.Queue[RawConnection] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda r, w: accepted_connections.put_nowait(RawConnection(r, w)), HOST, port
    )
    try:
        yield f"{HOST}:{server.sockets[0].getsockname()[1]}", accepted_connections
    finally:
        server.close()
        while not accepted_connections.empty():
            accepted_connections.get_nowait().writer.close()


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.002)


def answer_to(envelope: pb.Envelope, body: bytes, **fields: Any) -> pb.Envelope:
    """An answer to this call."""
    return pb.Envelope(
        call_id=envelope.call_id,
        is_answer=True,
        operation_response=pb.OperationResponse(status=200, body=body),
        **fields,
    )


# Answers.


async def test_answer_is_accepted_only_on_the_connection_of_its_call() -> None:
    async with rpc_peer() as ours, raw_server() as (address, accepted_connections):
        ours.system = HERE
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        connection = await accepted_connections.get()
        assert (
            own_hello := (await connection.read()).hello
        ).recipient == address and own_hello.incarnation == ours.incarnation
        sent = await connection.read()  # sent together with the hello, without waiting for a reply
        stranger = await RawConnection.dial(ours.own_address)
        stranger.write(hello(ours.own_address), answer_to(sent, b"by another process"))
        await until(lambda: ours.rejected.get("unsolicited") == 1)
        assert not call.done()
        connection.write(hello("", address=address), answer_to(sent, b"by the called process"))
        assert (await call).operation_response.body == b"by the called process"
        stranger.writer.close()


async def test_late_answer_of_an_earlier_incarnation_is_rejected_on_a_newer_connection() -> None:
    async with rpc_peer() as ours, raw_server() as (address, accepted_connections):
        with pytest.raises(CallError) as silent:
            await asyncio.gather(ours.call(address, order(), 5.0), end_first(accepted_connections))
        assert silent.value.code is FaultCode.TIMED_OUT and silent.value.may_have_run
        ours._pool._backoffs.clear()
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        second = await accepted_connections.get()
        await second.read()
        sent = await second.read()
        second.write(
            hello("", address=address), answer_to(pb.Envelope(call_id=sent.call_id - 1), b"late")
        )
        await until(lambda: ours.rejected.get("unsolicited") == 1)
        second.write(
            hello("", address=address, incarnation="c"), answer_to(sent, b"of another incarnation")
        )
        # The incarnation of a connection cannot change: the answer is not processed.
        with pytest.raises(CallError):
            await call
        assert ours.rejected["malformed"] == 1


async def end_first(accepted_connections: asyncio.Queue[RawConnection]) -> None:
    first = await accepted_connections.get()
    await first.read()
    await first.read()
    first.writer.transport.abort()


async def test_incarnations_differ_in_their_id_and_their_call_ids() -> None:
    incarnations = [RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None)) for _ in range(20)]
    assert (
        len({peer.incarnation for peer in incarnations})
        == len({peer._pending._last_id >> 8 for peer in incarnations})
        == 20
    )


# Handshake.

FOREIGN = {
    "another format": [hello("", format=FRAME_FORMAT + 1)],
    "no incarnation": [hello("", incarnation="")],
    "no address": [hello("", address="")],
    "meant for another": [hello("10.9.9.9:7600")],
    "meant for nobody": [hello("nobody")],
    "another system": [hello("", system=OTHER)],
    "no hello": [order()],
    "another incarnation later": [hello(""), hello("", incarnation="c")],
    "another system later": [hello("", system=""), hello("", system=OTHER)],
}


@pytest.mark.parametrize("what", FOREIGN)
async def test_foreign_connection_is_closed_and_none_of_its_messages_processed(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = list[Event]()
    monkeypatch.setattr(rejection_log, "log_event", lambda event, *args: logged.append(event))
    async with rpc_peer() as ours, rpc_peer() as friend:
        ours.system = friend.system = HERE
        received_messages = list[pb.Envelope]()
        ours._handle_message = received_messages.append
        for _ in range(3):
            raw = await RawConnection.dial(ours.own_address)
            envelopes = [pb.Envelope.FromString(e.SerializeToString()) for e in FOREIGN[what]]
            for envelope in envelopes:
                if envelope.HasField("hello") and not envelope.hello.recipient:
                    envelope.hello.recipient = ours.own_address
                elif envelope.HasField("hello") and envelope.hello.recipient == "nobody":
                    envelope.hello.recipient = ""
            raw.write(*envelopes, pb.Envelope(log_message=pb.LogMessage(term=9)), order())
            assert await raw.ended()
        assert received_messages == [] and sum(ours.rejected.values()) == 3
        # One log line in 5 s.
        assert len(logged) == 1 and logged[0] in (Event.FOREIGN_PEER, Event.MALFORMED_FRAME)
        assert (await friend.call(ours.own_address, order(), 2.0)).operation_response.status == 200


async def test_foreign_process_at_a_reused_address_is_disconnected_and_backed_off() -> None:
    async with rpc_peer() as ours, raw_server() as (address, accepted_connections):
        ours.system = HERE
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        raw = await accepted_connections.get()
        await raw.read()
        sent = await raw.read()
        raw.write(hello("", system=OTHER, address=address), answer_to(sent, b"foreign"))
        with pytest.raises(CallError) as broken:
            await call
        assert broken.value.may_have_run and ours.rejected["foreign"] == 1
        with pytest.raises(CallError) as paused:
            await ours.call(address, order(), 5.0)
        assert paused.value.code is FaultCode.UNREACHABLE and accepted_connections.empty()


async def test_system_name_is_learnt_from_dialled_processes_only() -> None:
    async with rpc_peer() as ours, rpc_peer() as named:
        received_messages = list[pb.Envelope]()
        ours._handle_message = received_messages.append
        named.system = OTHER
        heartbeat = pb.Envelope(log_message=pb.LogMessage(term=9))
        # As from the leader of another system that had this address before.
        named.send(ours.own_address, heartbeat)
        await until(lambda: ours.rejected.get("untrusted") == 1)
        assert ours.system == "" and received_messages == []
        # It may answer calls.
        assert (await named.call(ours.own_address, order(), 2.0)).operation_response.status == 200
        async with rpc_peer() as seed:
            assert (
                await ours.call(seed.own_address, order(), 2.0)
            ).operation_response.status == 200 and ours.system == ""
            seed.set_system_name(HERE)  # assigned while they are connected
            await until(lambda: ours.system == HERE)
            assert ours.rejected.get("foreign") == 1  # the other system's connection was closed
            seed.send(ours.own_address, heartbeat)
            await until(lambda: len(received_messages) == 1)


class RecordingOwner:
    """A connection owner that records the envelopes received."""

    own_address, incarnation, system = "127.0.0.1:2", "a", HERE

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.error_count = 0

    def now(self) -> float:
        return 0.0

    def connection_opened(self, connection: FramedConnection) -> None: ...
    def connection_closed(self, connection: FramedConnection) -> None: ...
    def hello_received(self, connection: FramedConnection, hello: pb.Hello) -> bool:
        return True

    def envelope_received(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        self.received.append(envelope.SerializeToString())

    def protocol_error(self, connection: FramedConnection, reason: str) -> None:
        self.error_count += 1
        connection.abort()


class MemoryTransport:
    """A transport in memory."""

    def __init__(self) -> None:
        self.written, self.closing = b"", False

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True


def parse_by_model(data: bytes) -> tuple[list[bytes], int]:
    """The model: frames in order, until the first invalid one; the first must be a hello.

    Returns the envelopes and the number of protocol errors.
    """
    envelopes, greeted, identity = list[bytes](), False, ("", "")
    while len(data) >= 4:
        size = int.from_bytes(data[:4], "big")
        if size > (32 << 20 if greeted else MAX_HELLO_BYTES):
            return envelopes, 1
        if len(data) < 4 + size:
            break
        frame, data = data[4 : 4 + size], data[4 + size :]
        try:
            envelope = pb.Envelope.FromString(frame)
        except Exception:
            return envelopes, 1
        if envelope.HasField("hello"):
            now = (envelope.hello.incarnation, envelope.hello.address)
            if greeted and now != identity:
                return envelopes, 1
            greeted, identity = True, now
        elif not greeted:
            return envelopes, 1
        else:
            envelopes.append(envelope.SerializeToString())
    return envelopes, 0


VALID_FRAMES = [
    framed(e)
    for e in (
        order("x"),
        answer_to(order(), b"y"),
        pb.Envelope(call_id=7, watch_request=pb.WatchRequest(config_version=3)),
    )
]
PIECES = st.one_of(
    st.sampled_from(
        [
            *VALID_FRAMES,
            framed(hello("t")),
            framed(hello("t", incarnation="c")),
            struct.pack(">I", 1 << 31),
        ]
    ),
    st.binary(max_size=12),
    st.builds(
        lambda piece, length: piece[:length], st.sampled_from(VALID_FRAMES), st.integers(0, 30)
    ),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.booleans(), st.lists(PIECES, max_size=8), st.lists(st.integers(1, 40), max_size=30))
def test_frames_split_anywhere_are_read_as_by_the_model(
    greets: bool, pieces: list[bytes], chunk_sizes: list[int]
) -> None:
    data = (framed(hello("t")) if greets else b"") + b"".join(pieces)
    owner, transport = RecordingOwner(), MemoryTransport()
    connection = FramedConnection(owner, "127.0.0.1:1")
    connection.connection_made(cast(Any, transport))
    rest, sizes = data, [*chunk_sizes, len(data) + 1]
    for size in sizes:
        if rest and not transport.closing:
            connection.data_received(rest[:size])
            rest = rest[size:]
    assert (owner.received, owner.error_count) == parse_by_model(data)


# Terms.


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(leader_client, "RETRY_PAUSE_S", (0.0, 0.001))
    yield


def leader(term: int, body: bytes) -> Any:
    async def answer(envelope: pb.Envelope) -> pb.Envelope:
        return pb.Envelope(
            term=term, operation_response=pb.OperationResponse(status=200, body=body)
        )

    return answer


async def test_answer_of_a_former_leader_is_rejected_also_through_a_peer() -> None:
    async with (
        rpc_peer() as ours,
        rpc_peer() as old,
        rpc_peer() as new,
        rpc_peer() as peer,
        rpc_peer() as newer_peer,
    ):
        old._handle_call, new._handle_call = leader(4, b"old"), leader(5, b"new")
        client = LeaderClient(ours, lambda: [new.own_address], lambda: [peer.own_address])
        assert (
            await client.call(order(), 2.0, 1.0)
        ).operation_response.body == b"new" and ours.fence.newest == 5
        client.leader_address = old.own_address
        assert (await client.call(order(), 2.0, 1.0)).operation_response.body == b"new"
        assert ours.rejected["stale"] == 1 and client.leader_address == new.own_address
        # The former leader's address is avoided: the call goes through the peer.
        client.leader_address, client._avoided[old.own_address] = (
            old.own_address,
            AvoidedAddress(ours.now() + 9, 9.0),
        )
        assert (
            await client.call(order(), 2.0, 1.0)
        ).operation_response.body == b"new" and ours.rejected["stale"] == 2
        newer_peer.fence.newest = 5
        forwarded = order()
        forwarded.forward_to = old.own_address
        # A peer that knows the newer term forwards no answer of an older one.
        with pytest.raises(CallError) as refused:
            await peer.call(newer_peer.own_address, forwarded, 2.0)
        assert refused.value.code is FaultCode.TIMED_OUT and refused.value.may_have_run


# Answers of leaders: term, and whether the answer comes through a peer.
LEADER_ANSWERS = st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=12)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(LEADER_ANSWERS)
def test_answers_are_accepted_by_term_as_in_the_model(
    leader_answers: list[tuple[int, bool]],
) -> None:
    """An answer is accepted only if no answer of a newer term was accepted by this incarnation,
    directly or through a peer."""

    async def play() -> None:
        ours = RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None))
        left, accepted, terms = list(leader_answers), list[int](), list[int]()

        async def call(address: str, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            assert envelope.term == max(terms, default=0)  # calls carry the newest known term
            if not left:
                raise RejectedError()
            term, by_peer = left.pop(0)
            client._avoided = {"core:1": AvoidedAddress(ours.now() + 9, 9.0)} if by_peer else {}
            if term >= max(terms, default=0):
                terms.append(term)
            return pb.Envelope(term=term, quota_response=pb.QuotaResponse(remaining=term))

        ours.call = call  # type: ignore[method-assign]
        client = LeaderClient(ours, lambda: ["core:1", "core:2"], lambda: ["peer:1"])
        while left:
            try:
                accepted.append(
                    (
                        await client.call(
                            pb.Envelope(quota_request=pb.QuotaRequest(amount=1)), 5.0, 5.0
                        )
                    ).term
                )
            except CallError:
                break
        assert accepted == terms

    asyncio.run(play())


async def test_call_kinds_cover_all_bodies_and_remembered_ones_carry_a_request_id() -> None:
    kinds = {field.name for field in pb.Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    assert kinds == CALL_KINDS.keys()
    assert {n for n, kind in CALL_KINDS.items() if kind.from_leader} == {
        n for n, kind in CALL_KINDS.items() if kind.duplicates is DuplicateSafety.ANSWER
    }
    ours, sent = RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None)), list[pb.Envelope]()

    async def call(address: str, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        sent.append(envelope)
        raise CallTimeoutError() if len(sent) % 3 else RejectedError()

    ours.call = call  # type: ignore[method-assign]
    client = LeaderClient(ours, lambda: ["core:1"], list)
    for envelope in (
        pb.Envelope(budget_request=pb.BudgetRequest()),
        pb.Envelope(quota_request=pb.QuotaRequest()),
        pb.Envelope(watch_request=pb.WatchRequest()),
    ):
        with pytest.raises(CallError):
            await client.call(envelope, 5.0, 5.0)
    assert [e.request_id for e in sent] == [1, 1, 1, 2, 2, 2, 0, 0, 0]  # the same on each attempt


async def control_node(folder: Path, **fields: Any) -> ControlNode:
    """A control node whose loops do not run; `lead` makes it the leader."""
    port = free_port()
    raw = {name: dict(part) for name, part in SETTINGS.items()}
    raw["self"] |= {"ip": HOST, "stateDir": str(folder), "serves": [], "bootstrap": True}
    raw["network"] |= {"portRange": [port, port + 9], "peers": [f"{HOST}:9"], "listen": {}}
    node = ControlNode(parse_settings(raw))
    return node


async def lead(node: ControlNode) -> int:
    async with asyncio.timeout(10):
        while not (node.leadership and node.rpc_peer.system):
            node.driver.tick()
            node.system_name.propose()
            await asyncio.sleep(0.005)
    assert node.leadership
    return node.leadership.term


async def test_control_node_adopts_the_system_name_with_a_full_disk(tmp_path: Path) -> None:
    node = await control_node(tmp_path)
    env = node._storage._env

    class Full:
        def begin(self, *args: Any, **fields: Any) -> Any:
            raise lmdb.DiskError("no room")

    node.state.system_name = HERE
    cast(Any, node._storage)._env = Full()
    node.system_name.adopt()
    assert node.rpc_peer.system == HERE
    cast(Any, node._storage)._env = env
    assert node._storage.system_name() == ""
    node._storage.close()


async def test_leader_rejects_calls_of_other_terms_and_keeps_the_system_name(
    tmp_path: Path,
) -> None:
    node = await control_node(tmp_path)
    term = await lead(node)
    assert node.leadership
    seen = Endpoint("i", "s", "a:1", "z", "", 2, "ready", 0.0, 1, node.now())
    node.leadership.endpoint_registry.record_heartbeat(seen)
    for call_term, seq, expected_seq in (
        (term + 1, 7, 1),
        (term - 1, 8, 8),
        (term, 9, 9),
        (term, 5, 9),
    ):
        report = pb.Envelope(
            term=call_term,
            heartbeat_report=pb.HeartbeatReport(ids=["i"], seqs=[seq], ages_ms=[3000]),
        )
        before = seen.last_heartbeat_at
        answer = asyncio.create_task(node.dispatcher.answer(report))
        while not answer.done():
            node.driver.tick()
            await asyncio.sleep(0.005)
        # A report that an earlier leader did not acknowledge is sent to this one, and is accepted
        # as the server's heartbeat.
        assert seen.seq == expected_seq and (
            answer.result().fault_code == FaultCode.NOT_LEADER
        ) == (call_term > term)
        assert seen.last_heartbeat_at == before  # the report's age is taken into account
    lease = pb.QuotaRequest(tenant="t", amount=1)
    # In the second case the term is current, but there is no such tenant.
    for call_term, code in ((term - 1, FaultCode.STALE), (term, FaultCode.REJECTED)):
        with pytest.raises(CallError) as failure:
            await node.dispatcher.answer(pb.Envelope(term=call_term, quota_request=lease))
        assert failure.value.code is code
    kinds = (
        pb.Envelope(quota_request=lease),
        pb.Envelope(budget_request=pb.BudgetRequest()),
        pb.Envelope(watch_request=pb.WatchRequest()),
        pb.Envelope(operation_request=pb.OperationRequest(method="GET", path="/-/Fleet.Show")),
    )
    for envelope in kinds:
        envelope.term = term + 1  # the caller knows a leader of a later term
        assert (await node.dispatcher.answer(envelope)).fault_code == FaultCode.NOT_LEADER
    envelope.term = term
    assert (await node.dispatcher.answer(envelope)).term == term == node.rpc_peer.fence.newest
    name = node.rpc_peer.system
    node.rpc_peer.stop()
    node._storage.close()
    restarted = await control_node(tmp_path)
    assert restarted.rpc_peer.system == name and len(name) == 16
    restarted._storage.close()


# Duplicates.


def make_leadership(term: int = 3, began: float = 100.0) -> Leadership:
    state, endpoint_registry = State(), EndpointRegistry()
    tenants = [{"name": "t", "apiKeys": ["k"], "ratePerS": 10.0, "burst": 100}]
    content = {"gen": 1, "parent": 0, "routes": [], "tenants": tenants}
    state.apply(
        Command(Verb.REPLACE, "d", content | {"backends": [{"name": "s", "warmupPerS": 5.3}]})
    )
    endpoint_registry.record_heartbeat(
        Endpoint("i", "s", "a:1", "z", "", 2, "ready", 1e5, 1, began)
    )
    leadership = Leadership(
        term,
        began,
        False,
        endpoint_registry,
        NodeRegistry(),
        [],
        Bounds(quota_slack=20, warmup_slack=5),
        1.5,
    )
    leadership.apply_state(state)
    return leadership


def unit_call(id: int, origin: str = "a", term: int = 3, from_budget: bool = False) -> pb.Envelope:
    if from_budget:
        return pb.Envelope(
            request_id=id,
            origin=origin,
            term=term,
            budget_request=pb.BudgetRequest(budgets=["starts/i"]),
        )
    return pb.Envelope(
        request_id=id,
        origin=origin,
        term=term,
        quota_request=pb.QuotaRequest(tenant="t", amount=10),
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.integers(1, 3), st.sampled_from("ab")), max_size=20))
def test_duplicate_is_answered_like_the_first_call_and_counted_once(
    calls: list[tuple[bool, int, str]],
) -> None:
    """The model never discards an answer, and counts each call once, at a second leader."""
    leadership, model = make_leadership(), make_leadership()
    answers: dict[tuple[int, str], pb.Envelope] = {}
    now = 100.0
    for from_budget, id, origin in calls:
        now += 0.01
        id = id + 10 * from_budget
        answer = leadership.grants.answer(now, unit_call(id, origin, from_budget=from_budget))
        if (id, origin) not in answers:
            answers[id, origin] = model.grants.answer(
                now, unit_call(0, "", from_budget=from_budget)
            )
        assert answer == answers[id, origin]
        answer.call_id = 9  # a change by the connection must not affect later answers


def test_answers_are_kept_for_the_life_of_duplicates_and_in_bounded_number() -> None:
    leadership = make_leadership()
    call = unit_call(1)
    call.quota_request.amount = 80
    first = leadership.grants.answer(100.0, call)
    assert leadership.grants.answer(100.0 + idempotency.ANSWER_TTL_S - 0.01, call) == first
    # After that time a duplicate is counted again: it wastes units, but a bounded number.
    assert leadership.grants.answer(100.0 + idempotency.ANSWER_TTL_S, call) != first
    for id in range(2, 2 * idempotency.MAX_CACHED_ANSWERS):
        leadership.grants.answer(105.0, unit_call(id))
    assert len(leadership.grants._idempotency_cache._answers) <= idempotency.MAX_CACHED_ANSWERS
    with pytest.raises(CallError) as stale:
        leadership.grants.answer(105.0, unit_call(1, term=2))
    assert stale.value.code is FaultCode.STALE
    size = warmup_budget(Bounds(warmup_slack=5), 5.3).capacity
    granted = [
        leadership.grants.answer(
            105.0, unit_call(9000 + n, from_budget=True)
        ).budget_response.granted
        for n in range(10)
    ]
    assert granted.count(True) == int(size)  # each id takes a unit of its own


def record_watch(
    leadership: Leadership, now: float, clock: int, epoch: str = "3", incarnation: str = "1"
) -> None:
    node = pb.Node(name="e", incarnation=incarnation, kind="edge", address="d", http_address="h")
    request = pb.WatchRequest(node=node, epoch=epoch, leader_clock_ms=clock, counter_active=True)
    leadership.record_watch_request(now, request)


def test_delayed_duplicate_of_a_watch_request_does_not_renew_the_contact() -> None:
    """A paused peer forwards the request when it resumes; by then the node may be isolated and
    spend its own quota shares."""
    leadership = make_leadership()
    record_watch(leadership, 100.0, 0, "")
    lease = leadership.node_registry.leases["e"]
    leadership.watch_responses.update(100.2, pb.WatchRequest(node=lease.node), State())
    assert not lease.uses_quota_counter  # the node does not know yet that the counter is active
    record_watch(leadership, 100.3, 290)
    assert lease.uses_quota_counter and lease.requested_at == 100.3
    record_watch(leadership, 100.32, 290)  # a duplicate by another path, shortly after
    record_watch(leadership, 101.0, 700)
    assert (
        lease.requested_at == 100.7
        and leadership.node_registry.count_isolated(100.7 + 0.25 + NODE_CONTACT_MARGIN_S, 1) == 1
    )
    for now, clock, epoch in ((101.1, 290, "3"), (101.1, 0, ""), (110.0, 900, "3")):
        with pytest.raises(CallError) as stale:
            record_watch(leadership, now, clock, epoch)
        assert stale.value.code is FaultCode.STALE and lease.last_contact_at == 101.0
    # A new incarnation that has received no response yet.
    record_watch(leadership, 101.2, 0, "", incarnation="2")
    assert (
        leadership.node_registry.leases["e"].node.incarnation == "2"
        and leadership.node_registry.leases["e"].lease_end <= 101.2 + NODE_LEASE_S
    )


def test_watch_request_reports_an_active_counter_only_right_after_a_response() -> None:
    """Otherwise a request that is repeated after a timeout would make the leader count its sender
    as in contact when it no longer is."""
    assert LEADER_CONTACT_MARGIN_S + FRESH_REQUEST_S + PROMPT_REQUEST_S < NODE_CONTACT_MARGIN_S
    client, node = ConfigClient(0.0, []), pb.Node(name="e", incarnation="1")
    client.apply(
        pb.WatchResponse(epoch="3", counter_active=True, leader_clock_ms=5000, lease_ms=4500),
        node,
        9.9,
        10.0,
        0,
    )
    prompt, late = client.watch_request(node, 10.01, 0.25), client.watch_request(node, 10.3, 0.25)
    assert prompt.counter_active and not late.counter_active and client.in_contact(10.3)
    assert prompt.name == "e" and not prompt.HasField("node")
    # Never ahead of the leader's clock.
    assert 5000 < prompt.leader_clock_ms <= 5010 and 5290 <= late.leader_clock_ms < 5300
    assert client.apply(pb.WatchResponse(epoch="3", config_version=1), node, 11.0, 11.0, 0)
    assert (
        client.apply(pb.WatchResponse(epoch="3", lease_ms=9000), node, 12.0, 12.0, 0) is None
        and client.last_response_at == 11.0
    )


def test_term_of_a_fence_never_decreases() -> None:
    rng, fence, newest = random.Random(4), TermFence(), 0
    for _ in range(500):
        term = rng.randint(0, 30)
        assert fence.admits(term) == (term >= newest)
        newest = max(newest, term)
    assert fence.newest == newest
