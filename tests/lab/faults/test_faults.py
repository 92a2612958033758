"""The fault laboratory: the checker on given histories, relays with real sockets, schedules and
runs."""

from __future__ import annotations

import asyncio
import json
import os
import random
import runpy
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.lab.faults import history, linear, links, many, schedule
from cairndale.lab.faults.calls import CallerContext, ConnectFailed, ResponseLost, send_request
from cairndale.lab.faults.history import CONFLICT, OK, REFUSED, UNKNOWN, HistoryWriter, Operation
from cairndale.lab.faults.host import FaultRun, result_of
from cairndale.lab.faults.judge import (
    BROKEN,
    HOLDS,
    UNDECIDED,
    Observations,
    check_operations,
    check_run,
)
from cairndale.lab.faults.launch import CONTROL, Clocks, Control, truncate_to_synced
from cairndale.lab.faults.links import Conditions, Shaper, combine, impair
from cairndale.lab.faults.processes import Process, Processes
from cairndale.lab.faults.relay import MAX_BUFFERED_BYTES, Proxy, Relays, UdpProxy
from cairndale.lab.live.ports import HOST
from cairndale.lab.scenario import ScenarioError
from tests.testing.discovery import ROOT, STARTED_PROCESSES

FIXED = settings(derandomize=True, deadline=None, max_examples=60)


# The checker.


def operations(*rows: tuple[Any, ...]) -> list[Operation]:
    """Operations from rows (kind, begin, end, outcome, value, ...), all on one register, each by a
    caller of its own."""
    return [
        Operation(f"w{n}", "l0", kind, "s0", begin, end, outcome, *more)
        for n, (kind, begin, end, outcome, *more) in enumerate(rows)
    ]


SOUND = operations(
    ("write", 0, 10, OK, 1),
    ("read", 5, 12, OK, 0),
    ("read", 13, 14, OK, 1),
    ("cas", 20, 30, OK, 2, 1),
    ("cas", 21, 29, CONFLICT, 3, 1),
    ("aged", 40, 41, OK, 1, 0, 15),
    ("write", 45, 60, UNKNOWN, 4),
    ("read", 70, 71, OK, 2),
    ("read", 80, 81, OK, 4),
    ("write", 90, 91, REFUSED, 5),
)


@pytest.mark.parametrize(
    ("more", "final", "broken"),
    [
        ((), 4, []),
        ([("read", 82, 83, OK, 2)], 4, ["linearizable"]),  # 4 had been read before
        ([("read", 100, 101, OK, 5)], 4, ["linearizable"]),  # the value of a refused write
        ([("read", 100, 101, OK, 77)], 4, ["linearizable"]),  # a value that nobody wrote
        ([("cas", 100, 101, CONFLICT, 6, 4)], 4, ["linearizable"]),  # it was 4 throughout
        (
            [("write", 100, 110, OK, 6)],
            4,
            [],
        ),  # the write of 4 has an unknown outcome: it may still take effect
        ([("write", 100, 110, OK, 6)], 2, ["kept"]),
        ([("write", 100, 110, OK, 6)], 5, ["kept"]),
        ([("write", 100, 110, OK, 6)], 6, []),
        (
            [("aged", 41, 42, OK, 1, 0, 10)],
            4,
            ["fresh"],
        ),  # 2 was written by 30; the read vouches for 31
        ([("aged", 41, 42, OK, 1, 0, 12)], 4, []),
        ([("aged", 20, 21, OK, 9)], 4, ["fresh"]),
    ],
)
def test_a_history_breaks_exactly_the_expected_property(
    more: Any, final: int, broken: list[str]
) -> None:
    found = check_operations([*SOUND, *operations(*more)], {"s0": final})
    assert found.broken == broken, found.findings
    for finding in found.findings:
        assert 1 <= len(finding.events) <= 5, finding  # few enough for a reader


def test_the_outcome_of_a_request_determines_how_often_its_effect_may_happen() -> None:
    def one(outcome: str, effects: int) -> bool:
        operation = Operation("q0", "i0", "request", "q0-1", 0, 9, outcome)
        return "once" in check_operations([operation], {}, {"q0-1": ["effect"] * effects}).broken

    good = [(o, n) for o in (OK, UNKNOWN, REFUSED) for n in range(3) if not one(o, n)]
    assert good == [(OK, 1), (UNKNOWN, 0), (UNKNOWN, 1), (REFUSED, 0)]
    assert (
        "once"
        in check_operations(
            [Operation("q0", "i0", "request", "r", 0, 9, OK, 1)], {}, {"r": ["e"]}
        ).broken
    )


def test_acting_in_an_older_term_after_a_later_one_is_a_violation() -> None:
    def acts(*rows: tuple[str, int, int, int]) -> list[str]:
        made = [
            Operation("w", at, "act", "n", begin, end, OK, term=term)
            for at, term, begin, end in rows
        ]
        return check_operations(made, {}).broken

    assert acts(("l0", 1, 0, 10), ("l1", 2, 12, 20), ("l0", 3, 25, 30)) == []
    assert acts(("l1", 2, 5, 20), ("l0", 1, 10, 30)) == []  # they overlap: it may have acted before
    assert acts(("l1", 2, 5, 20), ("l0", 1, 21, 30)) == ["one-owner"]
    assert acts(("l0", 1, 0, 1), ("l1", 1, 5, 6)) == ["one-owner"]


def simulate_register(seed: int, callers: int, count: int, unknown: float) -> list[Operation]:
    """The history that callers record of a correct register under random interleaving."""
    rng, state, now = random.Random(seed), 0, 0
    done: list[Operation] = []
    open_: dict[
        int, tuple[Operation, int]
    ] = {}  # a caller's operation, and the time at which it takes effect
    value = 0
    while len(done) < count:
        now += 1
        caller = rng.randrange(callers)
        if caller not in open_:
            value += 1
            kind = rng.choice(("write", "read", "cas"))
            operation = Operation(
                f"w{caller}", "l0", kind, "s0", now, 0, OK, value, rng.choice((state, value - 2))
            )
            open_[caller] = operation, now + rng.randrange(1, 12)
            continue
        operation, at = open_[caller]
        if operation.end == 0 and now >= at:
            operation.end = -1  # it has taken effect
            if operation.kind == "read":
                operation.value = state
            elif operation.kind == "write" or operation.expected == state:
                state = operation.value
            else:
                operation.outcome = CONFLICT
        elif operation.end == -1 or rng.random() < unknown / 10:
            del open_[caller]
            if operation.end == 0 or rng.random() < unknown:
                operation.outcome = UNKNOWN
            operation.end = now
            done.append(operation)
    for operation, _ in open_.values():
        operation.outcome, operation.end = UNKNOWN, now
        done.append(operation)
    return done


@FIXED
@given(st.integers(0, 1 << 30), st.integers(1, 6), st.sampled_from([0.0, 0.1, 0.4]))
def test_the_history_of_a_correct_register_passes_and_a_stale_read_added_to_it_fails(
    seed: int, callers: int, unknown: float
) -> None:
    found = simulate_register(seed, callers, 60, unknown)
    assert linear.first_violation(found) is None
    writes = sorted(
        (c for c in found if c.kind == "write" and c.outcome == OK), key=lambda c: c.end
    )
    if not unknown and len(writes) >= 3:
        old, newer = writes[0], next((w for w in writes if w.begin > writes[0].end), None)
        if newer is not None:
            end = max(c.end for c in found) + 1
            stale = Operation("w9", "l0", "read", "s0", end, end + 1, OK, old.value)
            broken = linear.first_violation([*found, stale])
            assert broken is stale
            shown = linear.minimal_violation([*found, stale], stale)
            assert (
                stale in shown
                and len(shown) < len(found)
                and linear.first_violation(shown) is not None
            )


def test_too_many_orders_are_undecided_which_is_not_a_pass() -> None:
    many_ = [Operation(f"w{n}", "l0", "write", "s0", 0, 100, OK, n + 1) for n in range(12)]
    many_ += [Operation("r", "l0", "read", "s0", 101 + n, 102 + n, OK, 50) for n in range(2)]
    with pytest.raises(linear.Undecided):
        linear.first_violation(many_, bound=200)
    found = check_operations(many_, {"s0": 1}, bound=200)
    assert found.properties["linearizable"] == UNDECIDED and not found.passed


def test_a_long_history_is_checked_in_parts_that_keep_each_key_together(tmp_path: Path) -> None:
    with HistoryWriter(tmp_path) as writer:
        for n in range(4000):
            writer.add(Operation("w", "l0", "write", f"s{n % 40}", 10 * n, 10 * n + 5, OK, n + 1))
        writer.add(Operation("w", "l0", "read", "s7", 90_000, 90_001, OK, 8))
    path = tmp_path / history.HISTORY_FILE
    with history.split_by_key(path, part_bytes=path.stat().st_size // 8) as paths:
        assert len(paths) == 8
        keys = [{c.key for c in history.read_operations(p)} for p in paths]
        assert sum(map(len, keys)) == 40 == len(set.union(*keys))
    assert list(tmp_path.iterdir()) == [path]
    found = check_run(
        tmp_path, Observations(final={f"s{n}": 3961 + n for n in range(40)}, agreed_s=1.0)
    )
    assert found.broken == ["linearizable"] and found.findings[0].key == "s7"
    assert check_run(tmp_path, Observations(nobody=True)).properties["agreement"] == UNDECIDED


# Links and relays.


def test_conditions_add_up_and_a_slow_link_keeps_order() -> None:
    both = combine(
        [Conditions(delay_ms=10, rate=500, loss=0.5), Conditions(delay_ms=5, rate=100, loss=0.5)]
    )
    assert (both.delay_ms, both.rate, both.loss) == (15, 100, 0.75) and not both.passes_through
    rng, shaper, on = random.Random(1), Shaper(), Conditions(delay_ms=100, jitter_ms=50, rate=1000)
    due = [shaper.delivery_time(n / 100, 100, on, rng) for n in range(50)]
    assert due == sorted(due) and due[-1] >= 50 * 0.1 + 0.1


def test_datagrams_are_lost_duplicated_truncated_and_flipped_at_the_stated_rates() -> None:
    rng, data = random.Random(3), bytes(100)
    got = [impair(data, Conditions(loss=0.2, duplicate=0.3), rng) for _ in range(4000)]
    assert 0.17 < sum(not g for g in got) / 4000 < 0.23
    assert 0.27 < sum(len(g) == 2 for g in got) / sum(bool(g) for g in got) < 0.33
    ((_, flipped),) = impair(data, Conditions(flip=1.0), rng)
    assert sum(b.bit_count() for b in flipped) == 1 and len(flipped) == 100
    assert len(impair(data, Conditions(truncate=1.0), rng)[0][1]) < 100
    assert impair(data, Conditions(cut=True), rng) == []
    assert any(delay_s for delay_s, _ in impair(data, Conditions(reorder=1.0), rng))


class RelayedPair:
    """A connecting end `a`, a listening end `b`, and the relay between them."""

    def __init__(self) -> None:
        self.relays = Relays(1)
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
            asyncio.Queue()
        )

    async def open(self) -> RelayedPair:
        self.server = await asyncio.start_server(
            lambda r, w: self.accepted.put_nowait((r, w)), HOST, 0
        )
        self.proxy = Proxy(self.relays, "a>b#x", self.server.sockets[0].getsockname())
        self.relays.tcp["a>b#x"] = self.proxy
        return self

    async def send(self, **message: Any) -> None:
        await self.relays.handle_message(message)

    async def open_connection(self) -> tuple[Any, Any, Any, Any]:
        reader, writer = await asyncio.open_connection(HOST, self.proxy.port.number)
        accepted = await asyncio.wait_for(self.accepted.get(), 10)
        return reader, writer, *accepted

    def close(self) -> None:
        for connection in list(self.relays.connections):
            connection._reset_both()
        self.proxy.port.refuse()
        self.proxy.port._reservation.close()
        self.server.close()


@asynccontextmanager
async def relayed_pair() -> AsyncIterator[RelayedPair]:
    pair = await RelayedPair().open()
    try:
        yield pair
    finally:
        pair.close()


async def receives_nothing(reader: asyncio.StreamReader) -> bool:
    """Whether no data arrives for a while, in which the event loop runs."""
    waiting = asyncio.ensure_future(reader.read(1))
    for _ in range(30):
        await asyncio.sleep(0.002)
    silent = not waiting.done()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    return silent


async def test_a_cut_delays_data_of_its_direction_only_until_the_cut_is_over() -> None:
    async with relayed_pair() as pair:
        a_reads, a_writes, b_reads, b_writes = await pair.open_connection()
        await pair.send(set={"a>b": {"cut": True}})
        a_writes.write(b"held")
        b_writes.write(b"free")
        assert await asyncio.wait_for(a_reads.readexactly(4), 10) == b"free"
        assert await receives_nothing(b_reads)
        a_writes.close()  # the other end is notified only after the cut
        assert await receives_nothing(b_reads)
        await pair.send(set={"a>b": {}})
        assert await asyncio.wait_for(b_reads.readexactly(4), 10) == b"held"
        assert await asyncio.wait_for(b_reads.read(), 10) == b""


async def test_data_buffered_by_a_slow_link_is_forwarded_at_once_when_the_fault_ends() -> None:
    async with relayed_pair() as pair:
        _, a_writes, b_reads, _ = await pair.open_connection()
        await pair.send(set={"a>b": {"rate": 10}})  # all of it would take 1,000 s
        for n in range(100):
            a_writes.write(b"%099d" % n)
            await asyncio.sleep(0)
        assert await receives_nothing(b_reads)
        await pair.send(set={"a>b": {}})
        got = await asyncio.wait_for(b_reads.readexactly(9900), 10)
        assert got == b"".join(b"%099d" % n for n in range(100))


async def test_a_half_closed_connection_stays_open_in_the_other_direction() -> None:
    async with relayed_pair() as pair:
        a_reads, a_writes, b_reads, b_writes = await pair.open_connection()
        a_writes.write_eof()
        assert await asyncio.wait_for(b_reads.read(), 10) == b""
        b_writes.write(b"answer")
        b_writes.close()
        assert await asyncio.wait_for(a_reads.read(), 10) == b"answer"
        while pair.relays.connections:
            await asyncio.sleep(0.001)


async def test_a_reset_truncates_a_message_and_reaches_both_ends() -> None:
    async with relayed_pair() as pair:
        a_reads, a_writes, b_reads, _ = await pair.open_connection()
        await pair.send(set={"a>b": {"delay_ms": 60_000}})
        a_writes.write(b"0123456789" * 10)
        while not any(
            direction._buffered_bytes
            for connection in pair.relays.connections
            for direction in connection.directions
        ):
            await asyncio.sleep(0.001)
        await pair.send(reset=["a>b"])
        got = b""
        with pytest.raises(ConnectionResetError):
            while True:
                part = await asyncio.wait_for(b_reads.read(100), 10)
                assert part, "an end, not a reset"
                got += part
        assert len(got) < 100 and b"0123456".startswith(got)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(a_reads.read(1), 10)


async def test_connections_are_refused_or_unanswered_and_then_accepted_at_the_same_port() -> None:
    async with relayed_pair() as pair:
        port = pair.proxy.port.number
        await pair.send(connect={"a>b": "refuse"})
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, port)
        await pair.send(connect={"a>b": "unanswered"})
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(HOST, port), 0.1)
        await pair.send(connect={"a>b": "open"})
        assert pair.proxy.port.number == port
        _, writer, reader, _ = await pair.open_connection()
        writer.write(b"x")
        assert await asyncio.wait_for(reader.readexactly(1), 10) == b"x"


async def test_the_buffer_of_a_relay_is_bounded_and_the_sender_gets_backpressure() -> None:
    async with relayed_pair() as pair:
        _, a_writes, b_reads, _ = await pair.open_connection()
        await pair.send(set={"a>b": {"cut": True}})
        a_writes.transport.set_write_buffer_limits(0)
        sent = 16 << 20
        a_writes.write(bytes(sent))
        buffered = 0
        for _ in range(100):
            await asyncio.sleep(0.002)
            buffered = max(
                [
                    buffered,
                    *(
                        direction._buffered_bytes
                        for connection in pair.relays.connections
                        for direction in connection.directions
                    ),
                ]
            )
        assert buffered <= 2 * MAX_BUFFERED_BYTES and a_writes.transport.get_write_buffer_size() > 0
        await pair.send(set={"a>b": {}})
        assert len(await asyncio.wait_for(b_reads.readexactly(sent), 60)) == sent


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[tuple[bytes, Any]] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.append((data, addr))


async def test_datagrams_go_both_ways_and_come_from_the_proxy_of_the_reverse_direction(
    capsys: Any,
) -> None:
    relays, loop = Relays(1), asyncio.get_running_loop()
    a, b = Datagrams(), Datagrams()
    (transport_a, _), (transport_b, _) = [
        await loop.create_datagram_endpoint(lambda p=p: p, (HOST, 0)) for p in (a, b)
    ]  # type: ignore[misc]
    await relays.handle_message(
        {
            "udp": [
                ["a>b", *transport_b.get_extra_info("sockname")],
                ["b>a", *transport_a.get_extra_info("sockname")],
            ]
        }
    )
    opened = json.loads(capsys.readouterr().out)["opened"]
    transport_a.sendto(b"hello", (HOST, opened["a>b"]))
    while not b.got:
        await asyncio.sleep(0.001)
    assert b.got[0] == (b"hello", (HOST, opened["b>a"]))  # the address at which `b` reaches `a`
    await relays.handle_message({"set": {"a>b": {"cut": True}}})
    transport_a.sendto(b"lost", (HOST, opened["a>b"]))
    transport_b.sendto(b"back", (HOST, opened["b>a"]))
    while not a.got:
        await asyncio.sleep(0.001)
    assert a.got[0][0] == b"back" and len(b.got) == 1
    assert isinstance(relays.udp["a>b"], UdpProxy)
    for transport in (transport_a, transport_b, *(f.transport for f in relays.udp.values())):
        transport.close()


# Wrapped programs.


def test_a_loss_of_power_truncates_each_file_to_its_synced_size(tmp_path: Path) -> None:
    folder, synced = tmp_path / "data", tmp_path / "synced"
    folder.mkdir()
    (folder / "log").write_bytes(b"0123456789")
    (folder / "new").write_bytes(b"abc")
    synced.write_text(f"{(folder / 'log').stat().st_ino} 4\n{(folder / 'log').stat().st_ino} 6\n")
    assert truncate_to_synced(folder, synced) == 7
    assert (folder / "log").read_bytes() == b"012345" and (folder / "new").read_bytes() == b""


def test_the_monotonic_clock_never_goes_back_when_the_rate_changes_or_the_wall_clock_jumps(
    tmp_path: Path,
) -> None:
    control = Control(tmp_path / "control", create=True)
    assert (tmp_path / "control").stat().st_size == CONTROL.size
    clocks, seen = Clocks(control), list[int]()
    for rate, jump in ((1.0, 0), (3.0, 5_000_000), (0.2, -5_000_000), (1.0, 0)):
        control.change(rate=rate, wall_us=jump)
        wall = clocks.time_ns() - clocks.monotonic_ns()
        assert abs(wall - clocks._wall - jump * 1000) < 50_000_000
        seen += [clocks.monotonic_ns() for _ in range(100)]
    assert seen == sorted(seen)


# Schedules.


def test_all_errors_of_a_schedule_are_reported_and_nothing_is_started(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text(
        'name = "bad"\nlength_s = 5\nplant = "nothing"\n[fleet]\nlists = 2\nlist = 3\n'
        '[[fault]]\nkind = "kill"\nat_s = 4\nlen_s = 3\non = ["l7", "s0"]\n'
        '[[fault]]\nkind = "cut"\nat_s = 1\non = ["l0"]\n'
        '[[fault]]\nkind = "melt"\nat_s = -1\n'
    )
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "cairndale.lab",
            "faults",
            "run",
            str(bad),
            "--out",
            str(tmp_path / "out"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and not (tmp_path / "out").exists()
    assert [line.split(":")[1].strip() for line in completed.stderr.splitlines()] == [
        "fleet.list",
        "fault[2].kind",
        "fault[2].at_s",
    ]
    bad.write_text(
        bad.read_text().replace("list = 3\n", "").partition('[[fault]]\nkind = "melt"')[0]
    )
    with pytest.raises(ScenarioError) as errors:
        schedule.load(str(bad))
    assert [e.split(": ")[1] for e in errors.value.errors] == [
        "plant",
        "fault[0].len_s",
        "fault[0].on",
        "fault[1].from",
        "fault[1].on",
    ]
    with pytest.raises(ScenarioError, match="partition-halves"):
        schedule.load("partition-halfs")


def test_shipped_schedules_are_valid_and_a_seed_always_generates_the_same_one() -> None:
    names = (
        "partition-halves partition-bridge ring one-way minority-leader flapping-link slow-link "
    )
    names += "sleeping-owner kill-during-write rolling-kill half-lost all-restart "
    names += "old-snapshot clock-jump "
    names += "full-disk"
    assert set(names.split()) <= set(schedule.shipped())
    page = (ROOT / "docs/faults.md").read_text()
    for name in schedule.shipped():
        assert schedule.load(name).name == name and f"`{name}`" in page, name
    kinds = set()
    for seed in range(300):
        made = schedule.draw_schedule(seed, 1.5)
        assert schedule.to_toml(made) == schedule.to_toml(schedule.load("random:1.5", seed))
        # valid, and unchanged by writing and parsing it
        assert schedule.parse(schedule.to_toml(made), "drawn") == made
        kinds |= {f.kind for f in made.fault}
    assert kinds >= set(schedule.DRAWN_KINDS)
    counts = [sum(len(schedule.draw_schedule(s, i).fault) for s in range(50)) for i in (0.5, 1, 4)]
    assert counts[0] * 1.5 < counts[1] and counts[1] * 3 < counts[2]


def test_smaller_schedules_are_smaller_and_valid_or_skipped() -> None:
    made = schedule.draw_schedule(11, 3)
    found = list(many.smaller_schedules(made))
    assert any(len(s.fault) <= len(made.fault) // 2 + 1 for s in found)
    size = len(schedule.to_toml(made))
    for one in found:
        assert schedule.to_toml(one) != schedule.to_toml(made)
        assert len(schedule.to_toml(one)) <= size + 40
        if not list(schedule.cross_field_errors(one)):
            assert schedule.parse(schedule.to_toml(one), "smaller") == one


def test_a_link_fault_affects_the_directions_between_its_ends() -> None:
    made = schedule.Schedule("x")
    cut = schedule.Fault("cut", 1, from_=["l0"], to=["lists", "i0"])
    assert made.directions(cut) == [("l0", "l1"), ("l0", "i0"), ("l1", "l0"), ("i0", "l0")]
    cut.both, cut.to = False, []
    assert made.directions(cut) == [("l0", p) for p in made.processes() if p != "l0"]
    assert links.CLEAR.passes_through


async def test_a_members_port_is_below_the_ephemeral_ports_and_reserved(tmp_path: Path) -> None:
    """Otherwise the system may assign the port of a member that is not started yet to the UDP
    socket of a relay."""
    five = schedule.parse('name = "five"\nlength_s = 5\n[fleet]\nmembers = 5\n', "five")
    processes = Processes(five, 1, tmp_path)
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    drawn = [processes.all[f"m{number}"].ports["member"] for number in range(5)]
    assert len(set(drawn)) == 5 and max(drawn) < lowest
    for number in drawn:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as member:
            member.bind((HOST, number))
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((HOST, number))  # reserved for this run
    for reservation in processes.reservations:
        reservation.close()


# Runs.


def run(
    tmp_path: Path, text: str, *more: str, status: int, by: Sequence[str] = ("-m", "cairndale.lab")
) -> Any:
    path = tmp_path / "schedule.toml"
    path.write_text(text)
    command = [sys.executable, *by, "faults", "run", str(path), "--json", *more]
    command += ["--out", str(tmp_path / "out")]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert completed.returncode == status, completed.stderr + completed.stdout
    return json.loads(completed.stdout)


SMALL = """
name = "small"
length_s = 4
[fleet]
lists = 2
ingresses = 1
servers = 2
[load]
writers = 2
clients = 1
"""
POWER = """
[[fault]]
kind = "kill"
at_s = 1
len_s = 0.5
on = ["l0"]
power = true
[[fault]]
kind = "cut"
at_s = 2.5
len_s = 1
from = ["l0"]
to = ["l1", "i0"]
[[fault]]
kind = "stop"
at_s = 2.5
len_s = 0.5
on = ["s0"]
"""


def test_a_run_with_a_kill_a_cut_and_a_stop_passes_and_its_chart_is_drawn(tmp_path: Path) -> None:
    result = run(tmp_path, SMALL + POWER, status=0)
    assert set(result["properties"].values()) == {HOLDS}
    assert (
        result["calls"]["write ok"] > 5
        and result["calls"]["request ok"] > 5
        and result["agreed_s"] is not None
    )
    assert [h["fault"] for h in result["happened"]] == [0, 1, 2]
    for happened in result["happened"]:
        assert 0 < happened["begin"] < happened["end"]
    out = tmp_path / "out"
    shown = subprocess.run(
        [
            sys.executable,
            "-m",
            "cairndale.lab",
            "faults",
            "show",
            str(out),
            "--out",
            str(tmp_path / "x.png"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert shown.returncode == 0, shown.stderr
    assert (tmp_path / "x.png").read_bytes().startswith(b"\x89PNG") and "<svg" not in shown.stdout
    assert (
        "kill l0" in (out / "report.html").read_text() or "svg" in (out / "report.html").read_text()
    )
    assert result_of(out).verdict.passed and not (out / "l0").exists()


def run_lab_synchronized_with_its_writer() -> None:
    """Runs the lab's command line, and makes two of its steps independent of the machine's speed.

    `l0` is killed only after a write to each register was acknowledged. Its restart counts as
    complete only after a register was read that was not written since."""
    written: set[str] = set()  # before `l0` was restarted
    rewritten: set[str] = set()  # since then
    all_written, stale_read, restarted = asyncio.Event(), asyncio.Event(), asyncio.Event()
    end, run_process_fault, restart = (
        CallerContext.end,
        FaultRun._run_process_fault,
        FaultRun._restart,
    )

    def end_and_record(self: CallerContext, number: int, outcome: str) -> None:
        operation = self.in_flight[number]
        end(self, number, outcome)
        if operation.kind in ("write", "cas") and outcome in (OK, UNKNOWN) and restarted.is_set():
            rewritten.add(operation.key)
        elif operation.kind in ("write", "cas") and outcome == OK:
            written.add(operation.key)
            if written == set(self.registers):
                all_written.set()
        elif operation.kind == "read" and restarted.is_set() and operation.key not in rewritten:
            stale_read.set()

    async def kill_after_writes(
        self: FaultRun, number: int, fault: schedule.Fault, process: Process, until: float
    ) -> None:
        if fault.power:
            await all_written.wait()
        await run_process_fault(self, number, fault, process, until)

    async def restart_until_read(self: FaultRun, process: Process) -> None:
        await restart(self, process)
        restarted.set()
        await stale_read.wait()  # the load continues until all faults are over, or for another 30 s

    CallerContext.end, FaultRun._run_process_fault, FaultRun._restart = (  # type: ignore[method-assign]
        end_and_record,
        kill_after_writes,
        restart_until_read,
    )
    runpy.run_module("cairndale.lab", run_name="__main__", alter_sys=True)


def test_a_write_acknowledged_before_its_sync_is_detected_after_a_loss_of_power(
    tmp_path: Path,
) -> None:
    """After the restart of the leader, the only writer finds all registers at their initial values:
    it reads them before they can be written again."""
    text = SMALL.replace("writers = 2", "writers = 1").replace("servers = 2", "servers = 4")
    program = (
        "from tests.lab.faults import test_faults as t; t.run_lab_synchronized_with_its_writer()"
    )
    by = ("-c", program)
    result = run(tmp_path, text + POWER, "--plant", "unsynced-answer", status=1, by=by)
    assert BROKEN in (result["properties"][p] for p in ("linearizable", "kept", "fresh"))
    assert result["properties"]["once"] == HOLDS and any(f["events"] for f in result["findings"])


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_no_process_outlives_the_tool_after_sigint_or_sigkill(
    tmp_path: Path, number: signal.Signals
) -> None:
    (tmp_path / "small.toml").write_text(SMALL.replace("length_s = 4", "length_s = 50"))
    command = [sys.executable, "-m", "cairndale.lab", "faults", "run", str(tmp_path / "small.toml")]
    tool = subprocess.Popen([*command, "--out", str(tmp_path / "out")], cwd=ROOT, text=True)
    STARTED_PROCESSES.append(tool)

    def children() -> list[int]:
        found = []
        for path in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                if str(tmp_path / "out") in path.read_bytes().decode(errors="replace"):
                    found.append(int(path.parent.name))
            except OSError:
                continue
        return [pid for pid in found if pid != tool.pid]

    async def interrupt_and_wait() -> None:
        async with asyncio.timeout(50):
            while len(children()) < 4 or not (tmp_path / "out/i0/config.json").exists():
                await asyncio.sleep(0.05)
            os.kill(tool.pid, number)
            await asyncio.to_thread(tool.wait)
            while children():
                await asyncio.sleep(0.05)

    asyncio.run(interrupt_and_wait())
    assert tool.returncode == (130 if number == signal.SIGINT else -number)


async def test_a_failed_connection_is_distinguished_from_a_lost_response() -> None:
    server = await asyncio.start_server(lambda r, w: w.close(), HOST, 0)
    port = server.sockets[0].getsockname()[1]
    with pytest.raises(ResponseLost):
        await send_request(port, "GET", "/")
    server.close()
    with pytest.raises(ConnectFailed):
        await send_request(port, "GET", "/")
