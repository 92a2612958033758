"""The discovery client, with replicas that lag, send invalid data, vanish, and return empty."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cairndale.chaos.malformed import EARLY_HINTS, MALFORMED_HEADS
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
    Watch,
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


def endpoint_update(
    index: int, *entries: dict[str, Any], full: bool = True, epoch: int = 1, **more: Any
) -> EndpointUpdate:
    raw = {"index": index, "snapshot": full, "endpoints": entries, "epoch": epoch, "lineage": "l"}
    return EndpointUpdate(raw | more)


def statuses(table: EndpointTable) -> dict[str, str]:
    return {name: e.status for name, e in table.entries.items()}


def client(hold: float = 60.0) -> EndpointTable:
    return EndpointTable(DirectoryConfig((), hold=hold))


# Updates from the replicas of one lineage, in any order.

WRITES = st.one_of(
    st.builds(register, st.sampled_from("abc"), st.integers(1, 2), st.integers(0, 1)),
    st.builds(WriteRequest, st.sampled_from(["drain", "remove"]), st.sampled_from("abc")),
)
STEPS = st.lists(
    st.one_of(
        WRITES,
        WRITES,
        st.tuples(st.just("copy"), st.integers(1, 3)),  # a replica catches up with the leader
        st.tuples(
            st.just("tell"), st.integers(0, 3)
        ),  # the client receives an update from a replica
        st.tuples(st.just("tell"), st.integers(0, 3)),
        st.tuples(st.sampled_from(["promote", "copy", "tell", "wipe"]), st.integers(0, 3)),
    ),
    min_size=30,
    max_size=60,
)


class Replicas:
    """A leader and three replicas, each with its own list; the last one promoted leads."""

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
def test_versions_never_decrease_and_drains_persist(steps: list[Any]) -> None:
    replicas, table = Replicas(), client()
    used: dict[str, EndpointEntry] = {}  # the list of the engine
    drains: dict[str, EndpointEntry] = {}  # draining entries in the list of the engine
    versions: dict[str, int] = {}
    for now, step in enumerate(steps):
        if not (isinstance(step, tuple) and step[0] == "tell"):
            replicas.do(step)
            continue
        reader = Reader("extended", table.epoch, table.lineage or "")
        lines_since = lines.encode_changes(
            replicas.states[step[1]], reader, table.index if table.lineage else 0
        )
        for raw in lines_since.lines.splitlines():
            before, lineage = (table.epoch, table.index), table.lineage
            try:
                change = table.apply_update(EndpointUpdate(json.loads(raw)), float(now))
            except UpdateRejected:
                assert (table.epoch, table.index, table.lineage) == (*before, lineage)
                continue
            if table.lineage == lineage:
                assert (table.epoch, table.index) >= before
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
        assert used.keys() == table.entries.keys()


def test_older_version_or_epoch_is_rejected() -> None:
    table = client()
    table.apply_update(endpoint_update(10, entry("a", version=9), entry("b", version=10)), 0.0)
    for old in (
        endpoint_update(9, entry("a", version=9)),
        endpoint_update(9, entry("a", version=9), full=False),
        endpoint_update(99, entry("a", version=9), epoch=0),
    ):
        with pytest.raises(UpdateRejected):
            table.apply_update(old, 1.0)
    assert table.index == 10 and statuses(table) == {"a": "up", "b": "up"}
    table.apply_update(
        endpoint_update(99, entry("a", version=9), entry("b", version=10), epoch=2), 2.0
    )
    with pytest.raises(UpdateRejected, match="epoch 1 is past"):
        table.apply_update(endpoint_update(200, entry("a", version=9)), 3.0)


def test_drain_and_removal_persist_over_a_failover_that_lost_them() -> None:
    table = client()
    known = [entry(n, version=v) for v, n in enumerate("abcd", 1)]
    table.apply_update(endpoint_update(4, *known), 0.0)
    table.apply_update(endpoint_update(5, entry("a", "draining", version=5), full=False), 1.0)
    table.apply_update(endpoint_update(6, entry("b", "removed", version=6), full=False), 1.0)
    table.apply_update(
        endpoint_update(1000, *known, epoch=2), 2.0
    )  # a replica without these changes leads
    assert statuses(table) == {"a": "draining", "c": "up", "d": "up"}
    # Another version of the same instance.
    table.apply_update(endpoint_update(1001, entry("a", version=1001), full=False, epoch=2), 3.0)
    assert table.entries["a"].status == "draining"
    table.apply_update(
        endpoint_update(1002, entry("a", since=5, version=1002), full=False, epoch=2), 3.0
    )
    table.apply_update(
        endpoint_update(1003, entry("b", version=1003), full=False, epoch=2), 3.0
    )  # listed again
    assert statuses(table) == {"a": "up", "b": "up", "c": "up", "d": "up"}


def test_entries_lost_in_a_failover_do_not_revert_newer_ones() -> None:
    table = client()
    table.apply_update(endpoint_update(4, entry("a", version=3), entry("b", version=4)), 0.0)
    table.apply_update(endpoint_update(6, entry("a", port=2, version=6), full=False), 1.0)  # moved
    table.apply_update(endpoint_update(7, entry("b", "draining", version=7), full=False), 1.0)
    entries = (entry("a", version=3), entry("b", version=4))
    # `b` was removed before the version that is known.
    table.apply_update(endpoint_update(1000, *entries, epoch=2, gone=[["b", 2]]), 2.0)
    assert table.entries["a"].address == (HOST, 2) and statuses(table) == {
        "a": "up",
        "b": "draining",
    }


def test_versions_of_another_lineage_are_not_compared() -> None:
    table = client()
    table.apply_update(endpoint_update(90, entry("a", version=80), entry("b", version=90)), 0.0)
    table.apply_update(
        endpoint_update(2, entry("a", port=2, version=1), entry("b", version=2), lineage="new"), 1.0
    )
    assert table.entries["a"].address == (HOST, 2)


def test_drain_persists_over_a_new_lineage() -> None:
    table = client()
    table.apply_update(
        endpoint_update(4, entry("a", "draining", version=4), entry("b", version=1)), 0.0
    )
    table.apply_update(
        endpoint_update(2, entry("a", version=1), entry("b", version=2), lineage="new"), 1.0
    )
    assert (table.lineage, table.index) == ("new", 2) and statuses(table) == {
        "a": "draining",
        "b": "up",
    }
    with pytest.raises(UpdateRejected, match="list l was left for new"):
        table.apply_update(endpoint_update(9, entry("a", version=9)), 2.0)
    with pytest.raises(UpdateRejected, match="changes of the unknown list"):
        table.apply_update(
            endpoint_update(9, entry("a", version=9), lineage="third", full=False), 2.0
        )
    with pytest.raises(UpdateRejected, match="no epoch"):
        table.apply_update(EndpointUpdate({"index": 99, "snapshot": True, "endpoints": []}), 2.0)


def test_empty_list_after_a_restart_removes_no_server() -> None:
    table = client()
    table.apply_update(endpoint_update(4, *[entry(n, version=1) for n in "abcd"]), 0.0)
    table.apply_update(endpoint_update(0, lineage="new"), 1.0)
    assert len(table.entries) == 4 and sorted(table.retained) == list("abcd")
    assert table.expire_retained(1e6) is None and len(table.entries) == 4
    table.apply_update(endpoint_update(1, entry("a", version=1), full=False, lineage="new"), 1e6)
    assert (
        table.expire_retained(1e6 + 59) is None
    )  # the others are retained for the full time again
    change = table.expire_retained(1e6 + 61)
    assert (
        change
        and sorted(e.name for e in change.entries) == list("bcd")
        and statuses(table) == {"a": "up"}
    )


def test_drastically_shorter_list_is_applied_late_and_a_removal_at_once() -> None:
    table = client()
    table.apply_update(endpoint_update(4, *[entry(n, version=1) for n in "abcdef"]), 0.0)
    table.apply_update(
        endpoint_update(9, entry("a", version=1), entry("b", version=1), gone=[["c", 8]]), 10.0
    )
    assert sorted(statuses(table)) == list("abdef") and sorted(table.retained) == list("def")
    table.apply_update(endpoint_update(10, entry("d", "removed", version=10), full=False), 11.0)
    table.apply_update(endpoint_update(11, entry("e", version=11), full=False), 11.0)
    assert sorted(table.retained) == ["f"]
    assert table.expire_retained(69.0) is None
    assert table.expire_retained(70.0) is not None and sorted(statuses(table)) == list("abe")


def test_list_that_lacks_few_servers_is_applied_at_once() -> None:
    table = client()
    table.apply_update(endpoint_update(4, *[entry(n, version=1) for n in "abcd"]), 0.0)
    table.apply_update(endpoint_update(9, entry("a", version=1), entry("b", version=1)), 10.0)
    assert sorted(statuses(table)) == list("ab") and not table.retained


def test_table_is_handed_over_to_the_next_process() -> None:
    table, after = client(), client()
    table.apply_update(endpoint_update(4, entry("a", version=1), entry("b", version=2)), 0.0)
    table.apply_update(endpoint_update(5, entry("a", "removed", version=5), full=False), 1.0)
    table.apply_update(endpoint_update(6), 2.0)
    after.restore(json.loads(json.dumps(table.dump())), [])
    assert after.dump() == table.dump() and after.retained == {"b": 62.0}
    with pytest.raises(UpdateRejected):
        after.apply_update(endpoint_update(4, entry("a", version=1)), 2.0)
    before = client()
    before.restore(
        None, [entry("a", "draining")]
    )  # a process that watched the platform's discovery
    before.apply_update(endpoint_update(4, entry("a", version=1)), 2.0)
    assert statuses(before) == {"a": "draining"}


def test_own_evidence_counts_while_the_list_is_unchanged() -> None:
    """A backend that refused connections stays avoided after the same list is received again."""
    policy, now = RequestPolicy(SETTINGS, seed=1), 1_000_000
    backends = tuple(it.ListedBackend(n, it.BackendState.READY, 0, 0, 0, 1.0, 0) for n in (1, 2, 3))
    policy.handle(now, it.BackendsListed(it.ListKind.FULL, 1, backends))
    sent = dict.fromkeys((1, 2, 3), 0)

    def ask(number: int) -> None:
        nonlocal now
        now += 100_000
        actions = policy.handle(now, it.RequestArrived(number, 0, 0, number, 1.0, 4_000_000, 0, 1))
        while actions:
            action = actions.pop(0)
            match action:
                case it.AddToCounter(name, amount):
                    actions += policy.handle(now, it.CountAnswered(name, Outcome.OK, amount, 1000))
                case it.SendAttempt(request, backend):
                    sent[backend] += 1
                    outcome = Outcome.CONNECT_FAILED if backend == 1 else Outcome.OK
                    ended = it.AttemptEnded(
                        request, 0, backend, outcome, 50_000, outcome is Outcome.OK
                    )
                    actions += policy.handle(now, ended)

    for number in range(1, 31):
        ask(number)
    learned = sent[1]
    for number in range(31, 61):
        policy.handle(now, it.BackendsListed(it.ListKind.FULL, 1, backends))
        ask(number)
    assert learned > 0 and sent[1] - learned <= learned and sent[2] + sent[3] > 3 * sent[1]


# The choice of the address.


def test_all_addresses_are_tried_before_backoff_grows() -> None:
    targets = ((HOST, 1), (HOST, 2), (HOST, 3))
    rotation = AddressRotation(targets, 1)
    waits = []
    for _ in range(9):
        waits.append(
            (rotation.current[1], rotation.watch_ended(False, None, lambda low, high: high))
        )
    assert [port for port, _ in waits] == [2, 3, 1] * 3
    assert [round(wait, 2) for _, wait in waits] == [0.1] * 3 + [0.2] * 3 + [0.4] * 3
    assert rotation.watch_ended(True, False, lambda low, high: high) == 0.1


def test_pause_after_rejection_by_all_grows_with_the_fleet() -> None:
    rotation = AddressRotation(((HOST, 1), (HOST, 2)), fleet_size=200)
    waits = [rotation.watch_ended(False, True, lambda low, high: high) for _ in range(6)]
    assert waits == [0.1, 20.0, 0.1, 40.0, 0.2, 80.0]


def test_replica_out_of_touch_is_left_at_growing_intervals() -> None:
    rotation = AddressRotation(((HOST, 1), (HOST, 2)))
    assert not rotation.should_switch(9.0, 100.0)
    left = [now for now in range(100, 2000) if rotation.should_switch(now - 90.0, float(now))]
    assert left == [100, 130, 190, 310, 550, 1030, 1630]
    assert not AddressRotation(((HOST, 1),)).should_switch(1e6, 1e6)


# Over sockets.


class ReplicaFleet:
    """A discovery client, and replicas of the list service that the test scripts."""

    def __init__(self, servers: list[PeerServer], hold: float = 60.0) -> None:
        self.updates: list[EndpointUpdate] = []
        self.servers, self.changed = servers, asyncio.Event()
        first, *others = [(HOST, s.port) for s in servers]
        self.table = EndpointTable(DirectoryConfig(tuple(others), hold=hold))
        self.discovery = Discovery(first, 0, self._changed, table=self.table)
        self.discovery.start()

    def _changed(self, change: EndpointUpdate) -> None:
        self.updates.append(change)
        self.changed.set()

    async def received(self, count: int) -> None:
        async with asyncio.timeout(60):
            while len(self.updates) < count:
                self.changed.clear()
                await self.changed.wait()

    async def watch_target(self, server: int, watch: int = 0) -> bytes:
        """Return the request target of a watch at this replica."""
        peers = self.servers[server].peers
        await self.servers[server].wait_until(
            lambda: len(peers) > watch and b"\r\n\r\n" in peers[watch].data
        )
        return bytes(peers[watch].data.split()[1])

    def send(self, server: int, message: Any, watch: int = 0, head: bool = True) -> None:
        data = message if isinstance(message, bytes) else json.dumps(message).encode() + b"\n"
        self.servers[server].peers[watch].transport.write((HEAD if head else b"") + chunk(data))


@pytest.fixture
async def fleet(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setattr(random, "uniform", lambda low, high: low / 10)
    raised: list[dict[str, Any]] = []  # by callbacks
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    servers = [await PeerServer().start() for _ in range(3)]
    fleet = ReplicaFleet(servers)
    yield fleet
    fleet.discovery.stop()
    for server in servers:
        server.stop()
    assert raised == []


def raw(index: int, *entries: dict[str, Any], full: bool = True, **more: Any) -> dict[str, Any]:
    line = {"index": index, "snapshot": full, "endpoints": entries, "epoch": 1, "lineage": "l"}
    return line | more


A, B = entry("a", version=1), entry("b", version=2)


async def test_next_address_is_watched_from_the_known_version(fleet: ReplicaFleet) -> None:
    assert await fleet.watch_target(0) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    fleet.send(0, raw(7, A, B))
    await fleet.received(1)
    fleet.servers[0].stop()
    assert await fleet.watch_target(1) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"


async def test_lagging_replica_is_rejected_and_the_next_one_watched(fleet: ReplicaFleet) -> None:
    await fleet.watch_target(0)
    fleet.send(0, raw(7, A, B))
    await fleet.received(1)
    fleet.servers[0].peers[0].transport.close()
    await fleet.watch_target(1)
    fleet.send(1, raw(6, A))
    assert await fleet.watch_target(2) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"
    assert len(fleet.updates) == 1 and fleet.discovery.status()["index"] == 7
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
    json.dumps(raw(9, A)).encode()[:-3],  # truncated by the end of the connection
    b"x" * (8 * 1024 * 1024 + 2),  # an endless line
]


@pytest.mark.parametrize("bad", BAD, ids=range(len(BAD)))
async def test_invalid_line_keeps_the_list_and_the_next_address_is_watched(
    fleet: ReplicaFleet, bad: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # So that the address is not left for its silence.
    monkeypatch.setattr(discovery_module, "WATCH_TIMEOUT_S", 60.0)
    await fleet.watch_target(0)
    fleet.send(0, raw(7, A, B))
    await fleet.received(1)
    fleet.send(0, bad, head=False)
    if len(bad) < 1000 and not bad.endswith(b"\n"):
        fleet.servers[0].peers[0].transport.close()
    assert await fleet.watch_target(1) == b"/discovery/hosts?watch=1&from=7&epoch=1&lineage=l"
    assert len(fleet.updates) == 1 and statuses(fleet.table) == {"a": "up", "b": "up"}


async def test_silent_address_is_left(fleet: ReplicaFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "FIRST_LINE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(discovery_module, "WATCH_TIMEOUT_S", 0.05)
    await fleet.watch_target(0)
    await fleet.watch_target(1)
    fleet.send(1, raw(7, A, B))
    await fleet.received(1)
    # A line was received, then nothing.
    assert (await fleet.watch_target(2)).startswith(b"/discovery/hosts?watch=1&from=7")


async def test_missing_servers_are_removed_after_the_hold_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = await PeerServer().start()
    fleet = ReplicaFleet([server], hold=0.1)
    await fleet.watch_target(0)
    fleet.send(0, raw(7, A, B, entry("c", version=3)))
    fleet.send(0, raw(8, A), head=False)
    await fleet.received(3)
    assert {e.name: e.status for e in fleet.updates[1].entries} == {"a": "up", "b": "up", "c": "up"}
    assert {e.name: e.status for e in fleet.updates[2].entries} == {"b": "removed", "c": "removed"}
    fleet.discovery.stop()
    server.stop()


async def test_age_of_the_list_is_reported(fleet: ReplicaFleet) -> None:
    await fleet.watch_target(0)
    fleet.send(0, raw(7, A, B))
    await fleet.received(1)
    assert fleet.discovery.age() < 10
    fleet.send(0, raw(7, full=False, age_ms=20_000), head=False)
    await fleet.watch_target(1)  # the replica is left for another
    status = fleet.discovery.status()
    assert status["age_s"] >= 20 and status["servers"] == 2 and "out of touch" in status["refused"]


async def test_switch_between_platform_discovery_and_list_service(
    fleet: ReplicaFleet,
) -> None:
    """As at SIGHUP: the endpoint list in use is kept, including draining servers."""
    fleet.discovery.stop()
    ports = [s.port for s in fleet.servers]
    updates = list[EndpointUpdate]()
    discovery = Discovery((HOST, ports[1]), 41, updates.append)
    discovery.start()
    assert b"from=41 " in (await fleet.watch_target(1)) + b" "
    in_use = [EndpointEntry(entry("a", "draining")), EndpointEntry(entry("b"))]
    directory = DirectoryConfig(((HOST, ports[2]),))
    discovery.update_config((HOST, ports[1]), 1, directory, in_use)
    assert await fleet.watch_target(1, 1) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    fleet.send(1, raw(7, A, B), watch=1)
    async with asyncio.timeout(60):
        while not updates:
            await asyncio.sleep(0.01)
    assert {e.name: e.status for e in updates[0].entries} == {"a": "draining", "b": "up"}
    assert discovery.table
    discovery.table.left_lineages.append("once")
    discovery.update_config((HOST, ports[1]), 1, DirectoryConfig(((HOST, ports[2]),), hold=1.0), [])
    # This does not reopen the watch.
    assert discovery.table.left_lineages == [] and discovery.table.index == 7
    discovery.update_config((HOST, ports[2]), 1)
    assert await fleet.watch_target(2) == b"/discovery/hosts?watch=1&from=7"
    discovery.stop()


def test_directory_settings_are_validated() -> None:
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


async def test_platform_discovery_updates_are_applied_as_received() -> None:
    """Without a `directory`, all updates are applied, even older versions and shorter lists."""
    server, updates = await PeerServer().start(), list[EndpointUpdate]()
    discovery = Discovery((HOST, server.port), 41, updates.append)
    discovery.start()
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    assert b"?watch=1&from=41 HTTP" in server.peers[0].data
    for index, names in ((50, "ab"), (3, "")):
        line = {"index": index, "snapshot": True, "endpoints": [entry(n) for n in names]}
        head = HEAD if index == 50 else b""
        server.peers[0].transport.write(head + chunk(json.dumps(line).encode() + b"\n"))
    async with asyncio.timeout(60):
        while len(updates) < 2:
            await asyncio.sleep(0.01)
    assert [len(t.entries) for t in updates] == [2, 0] and discovery.index == 3
    discovery.stop()
    server.stop()


class FedWatch:
    """A watch that the test feeds; `updates` are those passed on."""

    def __init__(self) -> None:
        self.updates: list[EndpointUpdate] = []
        self.discovery = Discovery((HOST, 1), 0, self.updates.append)
        self.watch, self.transport = Watch(self.discovery), Mock()
        self.watch.connection_made(self.transport)

    def feed(self, data: bytes, bytewise: bool) -> None:
        for part in [bytes((byte,)) for byte in data] if bytewise else [data]:
            if not (self.transport.abort.called or self.transport.close.called):
                self.watch.data_received(part)
        self.watch.connection_lost(None)


LINE = json.dumps({"index": 5, "snapshot": True, "endpoints": [entry("a")]}).encode() + b"\n"


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("name", MALFORMED_HEADS)
async def test_list_in_a_malformed_response_is_not_applied(name: str, bytewise: bool) -> None:
    fed = FedWatch()
    fed.feed(MALFORMED_HEADS[name](b"", LINE), bytewise)
    assert fed.transport.abort.called and fed.updates == []


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("before", [b"", EARLY_HINTS, b"HTTP/1.1 100 Continue\r\n\r\n"])
async def test_list_in_a_valid_response_is_applied(before: bytes, bytewise: bool) -> None:
    fed = FedWatch()
    fed.feed(before + HEAD + chunk(LINE) + b"0\r\nA: b\r\n\r\n", bytewise)
    assert len(fed.updates) == 1 and not fed.transport.abort.called
    assert fed.transport.close.called
