"""What is not meant for this life of this process of this system, or was said by an older leader,
is acted upon by nobody: hellos, answers, terms, copies."""

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
from tests.rpc.test_peer import HOST, free, order, rpc_peer

HERE, OTHER = "0123456789abcdef", "fedcba9876543210"


def framed(envelope: pb.Envelope) -> bytes:
    data = envelope.SerializeToString()
    return struct.pack(">I", len(data)) + data


def hello(to: str, **fields: Any) -> pb.Envelope:
    made = {
        "format": FRAME_FORMAT,
        "system": HERE,
        "incarnation": "b",
        "address": "127.0.0.1:1",
        "recipient": to,
    }
    made |= fields
    return pb.Envelope(hello=pb.Hello(**made))


class Raw:
    """The other end of a connection, which says what the test wants."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> pb.Envelope:
        async with asyncio.timeout(5):
            (size,) = struct.unpack(">I", await self.reader.readexactly(4))
            return pb.Envelope.FromString(await self.reader.readexactly(size))

    def write(self, *envelopes: pb.Envelope) -> None:
        self.writer.write(b"".join(map(framed, envelopes)))

    async def ended(self) -> bool:
        """Whether nothing more comes, but for a hello."""
        try:
            while (await self.read()).HasField("hello"):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            return True
        return False

    @classmethod
    async def dial(cls, address: str) -> Raw:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))


@asynccontextmanager
async def raw_server(port: int = 0) -> AsyncIterator[tuple[str, asyncio.Queue[Raw]]]:
    came: asyncio.Queue[Raw] = asyncio.Queue()
    server = await asyncio.start_server(lambda r, w: came.put_nowait(Raw(r, w)), HOST, port)
    try:
        yield f"{HOST}:{server.sockets[0].getsockname()[1]}", came
    finally:
        server.close()
        while not came.empty():
            came.get_nowait().writer.close()


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.002)


def outcome(envelope: pb.Envelope, body: bytes, **fields: Any) -> pb.Envelope:
    """An answer to that call."""
    return pb.Envelope(
        call_id=envelope.call_id,
        is_answer=True,
        operation_response=pb.OperationResponse(status=200, body=body),
        **fields,
    )


# Answers.


async def test_an_answer_is_taken_on_the_connection_that_its_call_went_out_on() -> None:
    async with rpc_peer() as ours, raw_server() as (address, came):
        ours.system = HERE
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        asked = await came.get()
        assert (
            said := (await asked.read()).hello
        ).recipient == address and said.incarnation == ours.incarnation
        sent = await asked.read()  # together with the hello: it waits for no answer to that
        stranger = await Raw.dial(ours.own_address)
        stranger.write(hello(ours.own_address), outcome(sent, b"by another process"))
        await until(lambda: ours.rejected.get("unsolicited") == 1)
        assert not call.done()
        asked.write(hello("", address=address), outcome(sent, b"by who was asked"))
        assert (await call).operation_response.body == b"by who was asked"
        stranger.writer.close()


async def test_a_late_answer_of_a_life_before_is_not_taken_on_a_newer_connection() -> None:
    async with rpc_peer() as ours, raw_server() as (address, came):
        with pytest.raises(CallError) as silent:
            await asyncio.gather(ours.call(address, order(), 5.0), end_first(came))
        assert silent.value.code is FaultCode.TIMED_OUT and silent.value.may_have_run
        ours._pool._backoffs.clear()
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        second = await came.get()
        await second.read()
        sent = await second.read()
        second.write(
            hello("", address=address), outcome(pb.Envelope(call_id=sent.call_id - 1), b"late")
        )
        await until(lambda: ours.rejected.get("unsolicited") == 1)
        second.write(hello("", address=address, incarnation="c"), outcome(sent, b"of another life"))
        # the connection's life cannot change: what follows is not heard
        with pytest.raises(CallError):
            await call
        assert ours.rejected["malformed"] == 1


async def end_first(came: asyncio.Queue[Raw]) -> None:
    first = await came.get()
    await first.read()
    await first.read()
    first.writer.transport.abort()


async def test_two_lives_neither_share_a_name_nor_count_their_calls_alike() -> None:
    lives = [RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None)) for _ in range(20)]
    assert (
        len({w.incarnation for w in lives}) == len({w._pending._last_id >> 8 for w in lives}) == 20
    )


# Who may connect.

FOREIGN = {
    "another format": [hello("", format=FRAME_FORMAT + 1)],
    "no life": [hello("", incarnation="")],
    "no door": [hello("", address="")],
    "meant for another": [hello("10.9.9.9:7600")],
    "meant for nobody": [hello("nobody")],
    "another system": [hello("", system=OTHER)],
    "no hello": [order()],
    "another life later": [hello(""), hello("", incarnation="c")],
    "another system later": [hello("", system=""), hello("", system=OTHER)],
}


@pytest.mark.parametrize("what", FOREIGN)
async def test_what_is_foreign_is_dropped_and_nothing_acted_upon(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    noted = list[Event]()
    monkeypatch.setattr(rejection_log, "log_event", lambda event, *args: noted.append(event))
    async with rpc_peer() as ours, rpc_peer() as friend:
        ours.system = friend.system = HERE
        heard = list[pb.Envelope]()
        ours._handle_message = heard.append
        for _ in range(3):
            raw = await Raw.dial(ours.own_address)
            said = [pb.Envelope.FromString(e.SerializeToString()) for e in FOREIGN[what]]
            for envelope in said:
                if envelope.HasField("hello") and not envelope.hello.recipient:
                    envelope.hello.recipient = ours.own_address
                elif envelope.HasField("hello") and envelope.hello.recipient == "nobody":
                    envelope.hello.recipient = ""
            raw.write(*said, pb.Envelope(log_message=pb.LogMessage(term=9)), order())
            assert await raw.ended()
        assert heard == [] and sum(ours.rejected.values()) == 3
        # one in 5 s
        assert len(noted) == 1 and noted[0] in (Event.FOREIGN_PEER, Event.MALFORMED_FRAME)
        assert (await friend.call(ours.own_address, order(), 2.0)).operation_response.status == 200


async def test_a_foreign_process_at_a_reused_address_is_left_and_not_dialled_at_once() -> None:
    async with rpc_peer() as ours, raw_server() as (address, came):
        ours.system = HERE
        call = asyncio.create_task(ours.call(address, order(), 5.0))
        raw = await came.get()
        await raw.read()
        sent = await raw.read()
        raw.write(hello("", system=OTHER, address=address), outcome(sent, b"foreign"))
        with pytest.raises(CallError) as broken:
            await call
        assert broken.value.may_have_run and ours.rejected["foreign"] == 1
        with pytest.raises(CallError) as paused:
            await ours.call(address, order(), 5.0)
        assert paused.value.code is FaultCode.UNREACHABLE and came.empty()


async def test_a_name_is_learnt_from_who_was_dialled_and_from_nobody_else() -> None:
    async with rpc_peer() as ours, rpc_peer() as named:
        heard = list[pb.Envelope]()
        ours._handle_message = heard.append
        named.system = OTHER
        beat = pb.Envelope(log_message=pb.LogMessage(term=9))
        named.send(ours.own_address, beat)  # as the leader of a system that had this address before
        await until(lambda: ours.rejected.get("untrusted") == 1)
        assert ours.system == "" and heard == []
        # asked, it may answer
        assert (await named.call(ours.own_address, order(), 2.0)).operation_response.status == 200
        async with rpc_peer() as seed:
            assert (
                await ours.call(seed.own_address, order(), 2.0)
            ).operation_response.status == 200 and ours.system == ""
            seed.set_system_name(HERE)  # drawn while they were connected
            await until(lambda: ours.system == HERE)
            assert ours.rejected.get("foreign") == 1  # the other system's was left then
            seed.send(ours.own_address, beat)
            await until(lambda: len(heard) == 1)


class Ends:
    """A process that writes down what its connection brings."""

    own_address, incarnation, system = "127.0.0.1:2", "a", HERE

    def __init__(self) -> None:
        self.came_in: list[bytes] = []
        self.bad = 0

    def now(self) -> float:
        return 0.0

    def connection_opened(self, connection: FramedConnection) -> None: ...
    def connection_closed(self, connection: FramedConnection) -> None: ...
    def hello_received(self, connection: FramedConnection, hello: pb.Hello) -> bool:
        return True

    def envelope_received(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        self.came_in.append(envelope.SerializeToString())

    def protocol_error(self, connection: FramedConnection, reason: str) -> None:
        self.bad += 1
        connection.abort()


class Wire:
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


def plainly(data: bytes) -> tuple[list[bytes], int]:
    """The model: frames one after the other, until the first that is bad; a hello comes first."""
    came, greeted, life = list[bytes](), False, ("", "")
    while len(data) >= 4:
        size = int.from_bytes(data[:4], "big")
        if size > (32 << 20 if greeted else MAX_HELLO_BYTES):
            return came, 1
        if len(data) < 4 + size:
            break
        frame, data = data[4 : 4 + size], data[4 + size :]
        try:
            envelope = pb.Envelope.FromString(frame)
        except Exception:
            return came, 1
        if envelope.HasField("hello"):
            now = (envelope.hello.incarnation, envelope.hello.address)
            if greeted and now != life:
                return came, 1
            greeted, life = True, now
        elif not greeted:
            return came, 1
        else:
            came.append(envelope.SerializeToString())
    return came, 0


GOOD = [
    framed(e)
    for e in (
        order("x"),
        outcome(order(), b"y"),
        pb.Envelope(call_id=7, watch_request=pb.WatchRequest(config_version=3)),
    )
]
PIECES = st.one_of(
    st.sampled_from(
        [*GOOD, framed(hello("t")), framed(hello("t", incarnation="c")), struct.pack(">I", 1 << 31)]
    ),
    st.binary(max_size=12),
    st.builds(lambda piece, cut: piece[:cut], st.sampled_from(GOOD), st.integers(0, 30)),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.booleans(), st.lists(PIECES, max_size=8), st.lists(st.integers(1, 40), max_size=30))
def test_bytes_cut_anywhere_bring_what_the_plain_model_reads(
    greets: bool, pieces: list[bytes], cuts: list[int]
) -> None:
    data = (framed(hello("t")) if greets else b"") + b"".join(pieces)
    process, wire = Ends(), Wire()
    frames = FramedConnection(process, "127.0.0.1:1")
    frames.connection_made(cast(Any, wire))
    rest, sizes = data, [*cuts, len(data) + 1]
    for size in sizes:
        if rest and not wire.closing:
            frames.data_received(rest[:size])
            rest = rest[size:]
    assert (process.came_in, process.bad) == plainly(data)


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


async def test_an_old_leaders_word_after_a_newer_one_is_refused_also_through_a_peer() -> None:
    async with (
        rpc_peer() as ours,
        rpc_peer() as old,
        rpc_peer() as new,
        rpc_peer() as peer,
        rpc_peer() as heard_both,
    ):
        old._handle_call, new._handle_call = leader(4, b"old"), leader(5, b"new")
        ask = LeaderClient(ours, lambda: [new.own_address], lambda: [peer.own_address])
        assert (
            await ask.call(order(), 2.0, 1.0)
        ).operation_response.body == b"new" and ours.fence.newest == 5
        ask.leader_address = old.own_address
        assert (await ask.call(order(), 2.0, 1.0)).operation_response.body == b"new"
        assert ours.rejected["stale"] == 1 and ask.leader_address == new.own_address
        # the way there is cut: by the peer
        ask.leader_address, ask._avoided[old.own_address] = (
            old.own_address,
            AvoidedAddress(ours.now() + 9, 9.0),
        )
        assert (
            await ask.call(order(), 2.0, 1.0)
        ).operation_response.body == b"new" and ours.rejected["stale"] == 2
        heard_both.fence.newest = 5
        passed = order()
        passed.forward_to = old.own_address
        # a peer that has heard the newer passes no older on
        with pytest.raises(CallError) as refused:
            await peer.call(heard_both.own_address, passed, 2.0)
        assert refused.value.code is FaultCode.TIMED_OUT and refused.value.may_have_run


WORDS = st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=12)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(WORDS)
def test_which_words_may_be_acted_on_as_in_the_plain_model(words: list[tuple[int, bool]]) -> None:
    """Only such as are of no older term than any that was acted on in this life, whichever way they
    come."""

    async def play() -> None:
        ours = RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None))
        left, acted, terms = list(words), list[int](), list[int]()

        async def call(address: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
            assert envelope.term == max(terms, default=0)  # the leader is told what was heard
            if not left:
                raise RejectedError()
            term, by_peer = left.pop(0)
            ask._avoided = {"core:1": AvoidedAddress(ours.now() + 9, 9.0)} if by_peer else {}
            if term >= max(terms, default=0):
                terms.append(term)
            return pb.Envelope(term=term, quota_response=pb.QuotaResponse(remaining=term))

        ours.call = call  # type: ignore[method-assign]
        ask = LeaderClient(ours, lambda: ["core:1", "core:2"], lambda: ["peer:1"])
        while left:
            try:
                acted.append(
                    (
                        await ask.call(
                            pb.Envelope(quota_request=pb.QuotaRequest(amount=1)), 5.0, 5.0
                        )
                    ).term
                )
            except CallError:
                break
        assert acted == terms

    asyncio.run(play())


async def test_every_kind_of_call_says_what_a_copy_does_and_remembered_ones_carry_an_id() -> None:
    kinds = {field.name for field in pb.Envelope.DESCRIPTOR.oneofs_by_name["body"].fields}
    assert kinds == CALL_KINDS.keys()
    assert {n for n, kind in CALL_KINDS.items() if kind.from_leader} == {
        n for n, kind in CALL_KINDS.items() if kind.duplicates is DuplicateSafety.ANSWER
    }
    ours, sent = RpcPeer((HOST, 1), lambda envelope: None, cast(Any, None)), list[pb.Envelope]()

    async def call(address: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
        sent.append(envelope)
        raise CallTimeoutError() if len(sent) % 3 else RejectedError()

    ours.call = call  # type: ignore[method-assign]
    ask = LeaderClient(ours, lambda: ["core:1"], list)
    for envelope in (
        pb.Envelope(budget_request=pb.BudgetRequest()),
        pb.Envelope(quota_request=pb.QuotaRequest()),
        pb.Envelope(watch_request=pb.WatchRequest()),
    ):
        with pytest.raises(CallError):
            await ask.call(envelope, 5.0, 5.0)
    assert [e.request_id for e in sent] == [1, 1, 1, 2, 2, 2, 0, 0, 0]  # alike on every copy


async def core(folder: Path, **fields: Any) -> ControlNode:
    """A control node that leads; its loops do not run."""
    port = free()
    raw = {name: dict(part) for name, part in SETTINGS.items()}
    raw["self"] |= {"ip": HOST, "stateDir": str(folder), "serves": [], "bootstrap": True}
    raw["network"] |= {"portRange": [port, port + 9], "peers": [f"{HOST}:9"], "listen": {}}
    made = ControlNode(parse_settings(raw))
    return made


async def lead(made: ControlNode) -> int:
    async with asyncio.timeout(10):
        while not (made.leadership and made.rpc_peer.system):
            made.driver.tick()
            made.system_name.propose()
            await asyncio.sleep(0.005)
    assert made.leadership
    return made.leadership.term


async def test_a_full_disk_does_not_keep_a_core_from_its_systems_name(tmp_path: Path) -> None:
    made = await core(tmp_path)
    env = made._storage._env

    class Full:
        def begin(self, *args: Any, **fields: Any) -> Any:
            raise lmdb.DiskError("no room")

    made.state.system_name = HERE
    cast(Any, made._storage)._env = Full()
    made.system_name.adopt()
    assert made.rpc_peer.system == HERE
    cast(Any, made._storage)._env = env
    assert made._storage.system_name() == ""
    made._storage.close()


async def test_the_leader_takes_no_call_meant_for_another_term_and_keeps_the_systems_name(
    tmp_path: Path,
) -> None:
    made = await core(tmp_path)
    term = await lead(made)
    assert made.leadership
    seen = Endpoint("i", "s", "a:1", "z", "", 2, "ready", 0.0, 1, made.now())
    made.leadership.endpoint_registry.record_heartbeat(seen)
    for said, seq, then in ((term + 1, 7, 1), (term - 1, 8, 8), (term, 9, 9), (term, 5, 9)):
        beats = pb.Envelope(
            term=said, heartbeat_report=pb.HeartbeatReport(ids=["i"], seqs=[seq], ages_ms=[3000])
        )
        before = seen.last_heartbeat_at
        answer = asyncio.create_task(made.dispatcher.answer(beats))
        while not answer.done():
            made.driver.tick()
            await asyncio.sleep(0.005)
        # What a leader before has not answered is told to this one, and is a word of the server's.
        assert seen.seq == then and (answer.result().fault_code == FaultCode.NOT_LEADER) == (
            said > term
        )
        assert seen.last_heartbeat_at == before  # that it is late counts
    lease = pb.QuotaRequest(tenant="t", amount=1)
    # The last has no such tenant.
    for said, code in ((term - 1, FaultCode.STALE), (term, FaultCode.REJECTED)):
        with pytest.raises(CallError) as failure:
            await made.dispatcher.answer(pb.Envelope(term=said, quota_request=lease))
        assert failure.value.code is code
    kinds = (
        pb.Envelope(quota_request=lease),
        pb.Envelope(budget_request=pb.BudgetRequest()),
        pb.Envelope(watch_request=pb.WatchRequest()),
        pb.Envelope(operation_request=pb.OperationRequest(method="GET", path="/-/Fleet.Show")),
    )
    for envelope in kinds:
        envelope.term = term + 1  # who calls has heard of a later leader: this one is over
        assert (await made.dispatcher.answer(envelope)).fault_code == FaultCode.NOT_LEADER
    envelope.term = term
    assert (await made.dispatcher.answer(envelope)).term == term == made.rpc_peer.fence.newest
    name = made.rpc_peer.system
    made.rpc_peer.stop()
    made._storage.close()
    again = await core(tmp_path)
    assert again.rpc_peer.system == name and len(name) == 16
    again._storage.close()


# Copies.


def leadership(term: int = 3, began: float = 100.0) -> Leadership:
    state, endpoint_registry = State(), EndpointRegistry()
    tenants = [{"name": "t", "apiKeys": ["k"], "ratePerS": 10.0, "burst": 100}]
    content = {"gen": 1, "parent": 0, "routes": [], "tenants": tenants}
    state.apply(
        Command(Verb.REPLACE, "d", content | {"backends": [{"name": "s", "warmupPerS": 5.3}]})
    )
    endpoint_registry.record_heartbeat(
        Endpoint("i", "s", "a:1", "z", "", 2, "ready", 1e5, 1, began)
    )
    made = Leadership(
        term,
        began,
        False,
        endpoint_registry,
        NodeRegistry(),
        [],
        Bounds(quota_slack=20, warmup_slack=5),
        1.5,
    )
    made.apply_state(state)
    return made


def unit_call(id: int, origin: str = "a", term: int = 3, deal: bool = False) -> pb.Envelope:
    if deal:
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
def test_a_copy_is_answered_as_the_first_and_counted_once(
    calls: list[tuple[bool, int, str]],
) -> None:
    """The model keeps every answer for good, and counts each call once, at another leader."""
    made, plain = leadership(), leadership()
    answers: dict[tuple[int, str], pb.Envelope] = {}
    now = 100.0
    for deal, id, origin in calls:
        now += 0.01
        id = id + 10 * deal
        answer = made.grants.answer(now, unit_call(id, origin, deal=deal))
        if (id, origin) not in answers:
            answers[id, origin] = plain.grants.answer(now, unit_call(0, "", deal=deal))
        assert answer == answers[id, origin]
        answer.call_id = 9  # what the connection does with one is nothing to the next


def test_copies_are_known_for_as_long_as_they_may_come_and_no_more_than_so_many() -> None:
    made = leadership()
    call = unit_call(1)
    call.quota_request.amount = 80
    first = made.grants.answer(100.0, call)
    assert made.grants.answer(100.0 + idempotency.ANSWER_TTL_S - 0.01, call) == first
    # wasted, and bounded
    assert made.grants.answer(100.0 + idempotency.ANSWER_TTL_S, call) != first
    for id in range(2, 2 * idempotency.MAX_CACHED_ANSWERS):
        made.grants.answer(105.0, unit_call(id))
    assert len(made.grants._idempotency_cache._answers) <= idempotency.MAX_CACHED_ANSWERS
    with pytest.raises(CallError) as stale:
        made.grants.answer(105.0, unit_call(1, term=2))
    assert stale.value.code is FaultCode.STALE
    size = warmup_budget(Bounds(warmup_slack=5), 5.3).capacity
    granted = [
        made.grants.answer(105.0, unit_call(9000 + n, deal=True)).budget_response.granted
        for n in range(10)
    ]
    assert granted.count(True) == int(size)  # another id is another unit


def asks(made: Leadership, now: float, clock: int, epoch: str = "3", life: str = "1") -> None:
    node = pb.Node(name="e", incarnation=life, kind="edge", address="d", http_address="h")
    ask = pb.WatchRequest(node=node, epoch=epoch, leader_clock_ms=clock, counter_active=True)
    made.record_watch_request(now, ask)


def test_a_copy_of_an_ask_that_was_held_up_is_no_sign_of_life() -> None:
    """A frozen peer passes it on whenever it thaws: who asked spends its own part of the quotas by
    then."""
    made = leadership()
    asks(made, 100.0, 0, "")
    held = made.node_registry.leases["e"]
    made.watch_responses.update(100.2, pb.WatchRequest(node=held.node), State())
    assert not held.uses_quota_counter  # it has not heard yet that this term counts
    asks(made, 100.3, 290)
    assert held.uses_quota_counter and held.requested_at == 100.3
    asks(made, 100.32, 290)  # the same one by another way, soon
    asks(made, 101.0, 700)
    assert (
        held.requested_at == 100.7
        and made.node_registry.count_isolated(100.7 + 0.25 + NODE_CONTACT_MARGIN_S, 1) == 1
    )
    for now, clock, epoch in ((101.1, 290, "3"), (101.1, 0, ""), (110.0, 900, "3")):
        with pytest.raises(CallError) as stale:
            asks(made, now, clock, epoch)
        assert stale.value.code is FaultCode.STALE and held.last_contact_at == 101.0
    asks(made, 101.2, 0, "", life="2")  # another life has heard nothing yet
    assert (
        made.node_registry.leases["e"].node.incarnation == "2"
        and made.node_registry.leases["e"].lease_end <= 101.2 + NODE_LEASE_S
    )


def test_a_watch_request_says_that_it_counts_only_where_its_sender_has_just_had_a_response() -> (
    None
):
    """One that is sent again after a silence would count as in touch while its sender no longer
    is."""
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
    # never ahead
    assert 5000 < prompt.leader_clock_ms <= 5010 and 5290 <= late.leader_clock_ms < 5300
    assert client.apply(pb.WatchResponse(epoch="3", config_version=1), node, 11.0, 11.0, 0)
    assert (
        client.apply(pb.WatchResponse(epoch="3", lease_ms=9000), node, 12.0, 12.0, 0) is None
        and client.last_response_at == 11.0
    )


def test_a_fence_never_goes_back() -> None:
    rng, fence, newest = random.Random(4), TermFence(), 0
    for _ in range(500):
        term = rng.randint(0, 30)
        assert fence.admits(term) == (term >= newest)
        newest = max(newest, term)
    assert fence.newest == newest
