"""The list service's client: what it takes of replicas that lag, lie, vanish and come back
empty."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cairndale.discovery import lines
from cairndale.discovery.lines import Reader
from cairndale.discovery.state import RejectedError as WriteRefused
from cairndale.discovery.state import State, WriteRequest
from cairndale.ingress.net import discovery as discovery_module
from cairndale.ingress.net.config import ConfigError, _directory
from cairndale.ingress.net.discovery import (
    AddressRotation,
    DirectoryConfig,
    Discovery,
    EndpointEntry,
    EndpointTable,
    EndpointUpdate,
    UpdateRejected,
)
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome
from tests.ingress.net.test_counter import HEAD, chunk
from tests.testing.discovery import register
from tests.testing.ingress import HOST, SETTINGS, PeerServer

FIXED = settings(
    max_examples=300, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def entry(
    name: str, status: str = "up", since: int = 0, version: int | None = None, port: int = 1
) -> dict[str, Any]:
    raw = {"name": name, "address": f"{HOST}:{port}", "status": status, "since_ms": since}
    return raw if version is None else raw | {"version": version}


def listing(
    index: int, *entries: dict[str, Any], whole: bool = True, epoch: int = 1, **more: Any
) -> EndpointUpdate:
    raw = {"index": index, "snapshot": whole, "endpoints": entries, "epoch": epoch, "lineage": "l"}
    return EndpointUpdate(raw | more)


def shown(held: EndpointTable) -> dict[str, str]:
    return {name: e.status for name, e in held.entries.items()}


def client(hold: float = 60.0) -> EndpointTable:
    return EndpointTable(DirectoryConfig((), hold=hold))


# Replicas of one lineage, in any order.

WRITES = st.one_of(
    st.builds(register, st.sampled_from("abc"), st.integers(1, 2), st.integers(0, 1)),
    st.builds(WriteRequest, st.sampled_from(["drain", "remove"]), st.sampled_from("abc")),
)
STEPS = st.lists(
    st.one_of(
        WRITES,
        WRITES,
        st.tuples(st.just("copy"), st.integers(1, 3)),  # a replica catches up with the leader
        st.tuples(st.just("tell"), st.integers(0, 3)),  # the client is told by one
        st.tuples(st.just("tell"), st.integers(0, 3)),
        st.tuples(st.sampled_from(["promote", "copy", "tell", "wipe"]), st.integers(0, 3)),
    ),
    min_size=30,
    max_size=60,
)


class Replicas:
    """A leader and three replicas, each with its own list; whoever was promoted last leads."""

    def __init__(self) -> None:
        self.states = [State("l") for _ in range(4)]
        self.leader, self.wiped = 0, 0

    def do(self, step: Any) -> None:
        match step:
            case ("copy", number):
                self.states[number] = self.states[self.leader].copy()
            case ("promote", number):
                state = self.states[number]
                if number != self.leader and state.lineage == self.states[self.leader].lineage:
                    epoch = max(s.epoch for s in self.states if s.lineage == state.lineage)
                    while state.epoch <= epoch:
                        state.apply(state.promotion_record())
                    self.leader = number
            case ("wipe", number):
                self.wiped += 1
                self.states[number] = State(f"l{self.wiped}")
            case WriteRequest():
                state = self.states[self.leader]
                try:
                    record, _ = state.decide(step)
                except WriteRefused:
                    return
                if record:
                    state.apply(record)


@FIXED
@given(STEPS)
def test_no_version_goes_back_and_no_drain_is_forgotten(steps: list[Any]) -> None:
    replicas, held = Replicas(), client()
    used: dict[str, EndpointEntry] = {}  # what the engine was given
    drains: dict[str, EndpointEntry] = {}  # as the engine was told, until it is told otherwise
    versions: dict[str, int] = {}
    for now, step in enumerate(steps):
        if not (isinstance(step, tuple) and step[0] == "tell"):
            replicas.do(step)
            continue
        reader = Reader("extended", held.epoch, held.lineage or "")
        told = lines.encode_changes(
            replicas.states[step[1]], reader, held.index if held.lineage else 0
        )
        for raw in told.lines.splitlines():
            before, lineage = (held.epoch, held.index), held.lineage
            try:
                change = held.apply_update(EndpointUpdate(json.loads(raw)), float(now))
            except UpdateRejected:
                assert (held.epoch, held.index, held.lineage) == (*before, lineage)
                continue
            if held.lineage == lineage:
                assert (held.epoch, held.index) >= before
            else:
                versions.clear()
            if change is None:
                continue
            removed = {e.name for e in change.entries if e.status == "removed"}
            given = {e.name: e for e in change.entries if e.status != "removed"}
            if change.full:
                removed = used.keys() - given.keys()
            used = {n: e for n, e in (used | given).items() if n not in removed}
            for name in removed:
                drains.pop(name, None)
            for name, e in given.items():
                if e.version is not None:
                    assert e.version >= versions.get(name, -1)
                    versions[name] = e.version
                drained = drains.get(name)
                if drained and drained.is_same_instance(e):
                    assert e.status == "draining"
                drains.pop(name, None)
                if e.status == "draining":
                    drains[name] = e
        assert used.keys() == held.entries.keys()


def test_an_older_version_or_epoch_is_refused_whoever_tells_it() -> None:
    held = client()
    held.apply_update(listing(10, entry("a", version=9), entry("b", version=10)), 0.0)
    for old in (
        listing(9, entry("a", version=9)),
        listing(9, entry("a", version=9), whole=False),
        listing(99, entry("a", version=9), epoch=0),
    ):
        with pytest.raises(UpdateRejected):
            held.apply_update(old, 1.0)
    assert held.index == 10 and shown(held) == {"a": "up", "b": "up"}
    held.apply_update(listing(99, entry("a", version=9), entry("b", version=10), epoch=2), 2.0)
    with pytest.raises(UpdateRejected, match="epoch 1 is past"):
        held.apply_update(listing(200, entry("a", version=9)), 3.0)


def test_a_drain_and_a_removal_hold_over_a_failover_that_lost_them() -> None:
    held = client()
    known = [entry(n, version=v) for v, n in enumerate("abcd", 1)]
    held.apply_update(listing(4, *known), 0.0)
    held.apply_update(listing(5, entry("a", "draining", version=5), whole=False), 1.0)
    held.apply_update(listing(6, entry("b", "removed", version=6), whole=False), 1.0)
    held.apply_update(listing(1000, *known, epoch=2), 2.0)  # a replica that had neither leads
    assert shown(held) == {"a": "draining", "c": "up", "d": "up"}
    # same start, changed
    held.apply_update(listing(1001, entry("a", version=1001), whole=False, epoch=2), 3.0)
    assert held.entries["a"].status == "draining"
    held.apply_update(listing(1002, entry("a", since=5, version=1002), whole=False, epoch=2), 3.0)
    held.apply_update(
        listing(1003, entry("b", version=1003), whole=False, epoch=2), 3.0
    )  # back since
    assert shown(held) == {"a": "up", "b": "up", "c": "up", "d": "up"}


def test_what_a_failover_lost_does_not_come_back_as_news() -> None:
    held = client()
    held.apply_update(listing(4, entry("a", version=3), entry("b", version=4)), 0.0)
    held.apply_update(listing(6, entry("a", port=2, version=6), whole=False), 1.0)  # moved
    held.apply_update(listing(7, entry("b", "draining", version=7), whole=False), 1.0)
    told = (entry("a", version=3), entry("b", version=4))
    # `b` went once, before what is held
    held.apply_update(listing(1000, *told, epoch=2, gone=[["b", 2]]), 2.0)
    assert held.entries["a"].address == (HOST, 2) and shown(held) == {"a": "up", "b": "draining"}


def test_versions_of_another_lineage_are_not_compared() -> None:
    held = client()
    held.apply_update(listing(90, entry("a", version=80), entry("b", version=90)), 0.0)
    held.apply_update(
        listing(2, entry("a", port=2, version=1), entry("b", version=2), lineage="new"), 1.0
    )
    assert held.entries["a"].address == (HOST, 2)


def test_a_drain_holds_over_a_new_lineage() -> None:
    held = client()
    held.apply_update(listing(4, entry("a", "draining", version=4), entry("b", version=1)), 0.0)
    held.apply_update(listing(2, entry("a", version=1), entry("b", version=2), lineage="new"), 1.0)
    assert (held.lineage, held.index) == ("new", 2) and shown(held) == {"a": "draining", "b": "up"}
    with pytest.raises(UpdateRejected, match="list l was left for new"):
        held.apply_update(listing(9, entry("a", version=9)), 2.0)
    with pytest.raises(UpdateRejected, match="changes of the unknown list"):
        held.apply_update(listing(9, entry("a", version=9), lineage="third", whole=False), 2.0)
    with pytest.raises(UpdateRejected, match="no epoch"):
        held.apply_update(EndpointUpdate({"index": 99, "snapshot": True, "endpoints": []}), 2.0)


def test_an_empty_list_after_a_restart_ends_nothing_however_long_it_stays() -> None:
    held = client()
    held.apply_update(listing(4, *[entry(n, version=1) for n in "abcd"]), 0.0)
    held.apply_update(listing(0, lineage="new"), 1.0)
    assert len(held.entries) == 4 and sorted(held.retained) == list("abcd")
    assert held.expire_retained(1e6) is None and len(held.entries) == 4
    held.apply_update(listing(1, entry("a", version=1), whole=False, lineage="new"), 1e6)
    assert held.expire_retained(1e6 + 59) is None  # the others have as long again
    change = held.expire_retained(1e6 + 61)
    assert (
        change
        and sorted(e.name for e in change.entries) == list("bcd")
        and shown(held) == {"a": "up"}
    )


def test_a_drastically_shorter_list_is_taken_late_and_a_told_removal_at_once() -> None:
    held = client()
    held.apply_update(listing(4, *[entry(n, version=1) for n in "abcdef"]), 0.0)
    held.apply_update(
        listing(9, entry("a", version=1), entry("b", version=1), gone=[["c", 8]]), 10.0
    )
    assert sorted(shown(held)) == list("abdef") and sorted(held.retained) == list("def")
    held.apply_update(listing(10, entry("d", "removed", version=10), whole=False), 11.0)
    held.apply_update(listing(11, entry("e", version=11), whole=False), 11.0)
    assert sorted(held.retained) == ["f"]
    assert held.expire_retained(69.0) is None
    assert held.expire_retained(70.0) is not None and sorted(shown(held)) == list("abe")


def test_a_list_that_lacks_a_few_is_taken_as_it_is() -> None:
    held = client()
    held.apply_update(listing(4, *[entry(n, version=1) for n in "abcd"]), 0.0)
    held.apply_update(listing(9, entry("a", version=1), entry("b", version=1)), 10.0)
    assert sorted(shown(held)) == list("ab") and not held.retained


def test_what_is_held_goes_on_in_the_next_process() -> None:
    held, after = client(), client()
    held.apply_update(listing(4, entry("a", version=1), entry("b", version=2)), 0.0)
    held.apply_update(listing(5, entry("a", "removed", version=5), whole=False), 1.0)
    held.apply_update(listing(6), 2.0)
    after.restore(json.loads(json.dumps(held.dump())), [])
    assert after.dump() == held.dump() and after.retained == {"b": 62.0}
    with pytest.raises(UpdateRejected):
        after.apply_update(listing(4, entry("a", version=1)), 2.0)
    before = client()
    before.restore(None, [entry("a", "draining")])  # one that watched the platform's discovery
    before.apply_update(listing(4, entry("a", version=1)), 2.0)
    assert shown(before) == {"a": "draining"}


def test_own_evidence_counts_on_while_the_list_is_old() -> None:
    """A server that refused is left for others, and being told the same list again does not bring
    it back."""
    gateway, now = RequestPolicy(SETTINGS, seed=1), 1_000_000
    told = tuple(it.ListedBackend(n, it.BackendState.READY, 0, 0, 0, 1.0, 0) for n in (1, 2, 3))
    gateway.handle(now, it.BackendsListed(it.ListKind.FULL, 1, told))
    sent = dict.fromkeys((1, 2, 3), 0)

    def ask(number: int) -> None:
        nonlocal now
        now += 100_000
        actions = gateway.handle(now, it.RequestArrived(number, 0, 0, number, 1.0, 4_000_000, 0, 1))
        while actions:
            action = actions.pop(0)
            match action:
                case it.AddToCounter(name, amount):
                    actions += gateway.handle(now, it.CountAnswered(name, Outcome.OK, amount, 1000))
                case it.SendAttempt(request, backend):
                    sent[backend] += 1
                    outcome = Outcome.CONNECT_FAILED if backend == 1 else Outcome.OK
                    ended = it.AttemptEnded(
                        request, 0, backend, outcome, 50_000, outcome is Outcome.OK
                    )
                    actions += gateway.handle(now, ended)

    for number in range(1, 31):
        ask(number)
    learned = sent[1]
    for number in range(31, 61):
        gateway.handle(now, it.BackendsListed(it.ListKind.FULL, 1, told))
        ask(number)
    assert learned > 0 and sent[1] - learned <= learned and sent[2] + sent[3] > 3 * sent[1]


# Which address.


def test_a_fleet_begins_at_all_addresses_and_goes_round_before_it_backs_off() -> None:
    every = ((HOST, 1), (HOST, 2), (HOST, 3))
    addresses = AddressRotation(every, 1)
    waits = []
    for _ in range(9):
        waits.append(
            (addresses.current[1], addresses.watch_ended(False, None, lambda low, high: high))
        )
    assert [port for port, _ in waits] == [2, 3, 1] * 3
    assert [round(wait, 2) for _, wait in waits] == [0.1] * 3 + [0.2] * 3 + [0.4] * 3
    assert addresses.watch_ended(True, False, lambda low, high: high) == 0.1


def test_all_turned_away_is_spread_over_the_fleet() -> None:
    addresses = AddressRotation(((HOST, 1), (HOST, 2)), fleet_size=200)
    waits = [addresses.watch_ended(False, True, lambda low, high: high) for _ in range(6)]
    assert waits == [0.1, 20.0, 0.1, 40.0, 0.2, 80.0]


def test_a_replica_out_of_touch_is_left_now_and_then() -> None:
    addresses = AddressRotation(((HOST, 1), (HOST, 2)))
    assert not addresses.should_switch(9.0, 100.0)
    left = [now for now in range(100, 2000) if addresses.should_switch(now - 90.0, float(now))]
    assert left == [100, 130, 190, 310, 550, 1030, 1630]
    assert not AddressRotation(((HOST, 1),)).should_switch(1e6, 1e6)


# On sockets.


class Fleet:
    """Three addresses of the list service as the test plays them."""

    def __init__(self, servers: list[PeerServer], hold: float = 60.0) -> None:
        self.told: list[EndpointUpdate] = []
        self.servers, self.changed = servers, asyncio.Event()
        first, *more = [(HOST, s.port) for s in servers]
        self.held = EndpointTable(DirectoryConfig(tuple(more), hold=hold))
        self.discovery = Discovery(first, 0, self._changed, table=self.held)
        self.discovery.start()

    def _changed(self, change: EndpointUpdate) -> None:
        self.told.append(change)
        self.changed.set()

    async def heard(self, count: int) -> None:
        async with asyncio.timeout(60):
            while len(self.told) < count:
                self.changed.clear()
                await self.changed.wait()

    async def asked(self, server: int, watch: int = 0) -> bytes:
        """The target of a watch there."""
        peers = self.servers[server].peers
        await self.servers[server].wait_until(
            lambda: len(peers) > watch and b"\r\n\r\n" in peers[watch].data
        )
        return bytes(peers[watch].data.split()[1])

    def say(self, server: int, told: Any, watch: int = 0, head: bool = True) -> None:
        data = told if isinstance(told, bytes) else json.dumps(told).encode() + b"\n"
        self.servers[server].peers[watch].transport.write((HEAD if head else b"") + chunk(data))


@pytest.fixture
async def fleet(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setattr(random, "uniform", lambda low, high: low / 10)
    raised: list[dict[str, Any]] = []  # by callbacks
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    servers = [await PeerServer().start() for _ in range(3)]
    fleet = Fleet(servers)
    yield fleet
    fleet.discovery.stop()
    for server in servers:
        server.stop()
    assert raised == []


def raw(index: int, *entries: dict[str, Any], whole: bool = True, **more: Any) -> dict[str, Any]:
    line = {"index": index, "snapshot": whole, "endpoints": entries, "epoch": 1, "lineage": "l"}
    return line | more


A, B = entry("a", version=1), entry("b", version=2)


async def test_the_next_address_is_asked_from_the_version_held(fleet: Fleet) -> None:
    assert await fleet.asked(0) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    fleet.say(0, raw(7, A, B))
    await fleet.heard(1)
    fleet.servers[0].stop()
    assert await fleet.asked(1) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"


async def test_a_replica_that_lags_is_refused_and_the_next_one_asked(fleet: Fleet) -> None:
    await fleet.asked(0)
    fleet.say(0, raw(7, A, B))
    await fleet.heard(1)
    fleet.servers[0].peers[0].transport.close()
    await fleet.asked(1)
    fleet.say(1, raw(6, A))
    assert await fleet.asked(2) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"
    assert len(fleet.told) == 1 and fleet.discovery.status()["index"] == 7
    assert "older than 7" in fleet.discovery.status()["refused"]


BAD: list[bytes] = [
    b"no json\n",
    b'{"index":1}\n',
    b"[]\n",
    b"[" * 100_000 + b"\n",
    b'{"index":1e999,"snapshot":true,"endpoints":[]}\n',
    json.dumps(raw(9, entry("a", "sideways"))).encode() + b"\n",
    json.dumps(raw(9, entry("a", port=70_000))).encode() + b"\n",
    json.dumps(raw(9, A | {"weight": float("nan")})).encode() + b"\n",
    json.dumps(raw(9, gone=[1])).encode() + b"\n",
    json.dumps(raw(9, A, age_ms=float("nan"))).encode() + b"\n",
    json.dumps(raw(9, A)).encode()[:-3],  # cut off, and then the connection ends
    b"x" * (8 * 1024 * 1024 + 2),  # a line without an end
]


@pytest.mark.parametrize("bad", BAD, ids=range(len(BAD)))
async def test_what_cannot_be_read_leaves_the_list_and_the_next_is_asked(
    fleet: Fleet, bad: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # it is not for its silence that it is left
    monkeypatch.setattr(discovery_module, "WATCH_TIMEOUT_S", 60.0)
    await fleet.asked(0)
    fleet.say(0, raw(7, A, B))
    await fleet.heard(1)
    fleet.say(0, bad, head=False)
    if len(bad) < 1000 and not bad.endswith(b"\n"):
        fleet.servers[0].peers[0].transport.close()
    assert await fleet.asked(1) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"
    assert len(fleet.told) == 1 and shown(fleet.held) == {"a": "up", "b": "up"}


async def test_an_address_that_accepts_and_says_nothing_is_left(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_module, "FIRST_LINE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery_module, "WATCH_TIMEOUT_S", 0.05)
    await fleet.asked(0)
    await fleet.asked(1)
    fleet.say(1, raw(7, A, B))
    await fleet.heard(1)
    # heard, then silent
    assert (await fleet.asked(2)).startswith(b"/discovery/hosts?watch=1&from=7")


async def test_those_missing_are_given_up_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    server = await PeerServer().start()
    fleet = Fleet([server], hold=0.1)
    await fleet.asked(0)
    fleet.say(0, raw(7, A, B, entry("c", version=3)))
    fleet.say(0, raw(8, A), head=False)
    await fleet.heard(3)
    assert {e.name: e.status for e in fleet.told[1].entries} == {"a": "up", "b": "up", "c": "up"}
    assert {e.name: e.status for e in fleet.told[2].entries} == {"b": "removed", "c": "removed"}
    fleet.discovery.stop()
    server.stop()


async def test_the_age_is_told(fleet: Fleet) -> None:
    await fleet.asked(0)
    fleet.say(0, raw(7, A, B))
    await fleet.heard(1)
    assert fleet.discovery.age() < 10
    fleet.say(0, raw(7, whole=False, age_ms=20_000), head=False)
    await fleet.asked(1)  # left for another
    status = fleet.discovery.status()
    assert status["age_s"] >= 20 and status["servers"] == 2 and "out of touch" in status["refused"]


async def test_the_list_service_takes_the_place_of_the_platforms_discovery_and_back(
    fleet: Fleet,
) -> None:
    """As SIGHUP has it: what was in use goes on, drains included."""
    fleet.discovery.stop()
    ports = [s.port for s in fleet.servers]
    told = list[EndpointUpdate]()
    discovery = Discovery((HOST, ports[1]), 41, told.append)
    discovery.start()
    assert b"from=41 " in (await fleet.asked(1)) + b" "
    in_use = [EndpointEntry(entry("a", "draining")), EndpointEntry(entry("b"))]
    directory = DirectoryConfig(((HOST, ports[2]),))
    discovery.update_config((HOST, ports[1]), 1, directory, in_use)
    assert await fleet.asked(1, 1) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    fleet.say(1, raw(7, A, B), watch=1)
    async with asyncio.timeout(60):
        while not told:
            await asyncio.sleep(0.01)
    assert {e.name: e.status for e in told[0].entries} == {"a": "draining", "b": "up"}
    assert discovery.table
    discovery.table.left_lineages.append("once")
    discovery.update_config((HOST, ports[1]), 1, DirectoryConfig(((HOST, ports[2]),), hold=1.0), [])
    # nothing is watched anew for that
    assert discovery.table.left_lineages == [] and discovery.table.index == 7
    discovery.update_config((HOST, ports[2]), 1)
    assert await fleet.asked(2) == b"/discovery/hosts?watch=1&from=7"
    discovery.stop()


def test_the_clients_part_of_the_configuration_is_checked() -> None:
    assert _directory(None) is None
    made = _directory({"addresses": ["127.0.0.1:1"], "hold_s": 5})
    assert made == DirectoryConfig(((HOST, 1),), hold=5.0)
    bad: Iterator[Any] = iter(
        [
            [],
            {},
            {"addresses": "x:1"},
            {"addresses": ["x"]},
            {"addresses": [], "shrink": 2},
            {"addresses": [], "hold_s": -1},
            {"addresses": [], "hold_s": float("nan")},
            {"addresses": [], "hold": 1},
            {"addresses": [], "shrink": True},
            {"addresses": ["127.0.0.1:1"] * 33},
        ]
    )
    for raw in bad:
        with pytest.raises(ConfigError, match=r"^directory"):
            _directory(raw)


async def test_the_platform_discovery_is_watched_as_ever() -> None:
    """Without a `directory`, whatever comes is taken, older versions and shorter lists as well."""
    server, told = await PeerServer().start(), list[EndpointUpdate]()
    discovery = Discovery((HOST, server.port), 41, told.append)
    discovery.start()
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    assert b"?watch=1&from=41 HTTP" in server.peers[0].data
    for index, names in ((50, "ab"), (3, "")):
        line = {"index": index, "snapshot": True, "endpoints": [entry(n) for n in names]}
        head = HEAD if index == 50 else b""
        server.peers[0].transport.write(head + chunk(json.dumps(line).encode() + b"\n"))
    async with asyncio.timeout(60):
        while len(told) < 2:
            await asyncio.sleep(0.01)
    assert [len(t.entries) for t in told] == [2, 0] and discovery.index == 3
    discovery.stop()
    server.stop()
