"""Large commands in parts: put together whole or not at all, alike at all members, beside a plain
reading of the whole log; on disk, spoilt on the way, and in core machines of which some lag
behind."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections.abc import Callable, Generator, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

import cairndale.control.node
from cairndale.configuration import json_stream, serialization, stepwise
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.content import ITEMS_PER_STEP
from cairndale.configuration.state import State
from cairndale.control import applier, apply_loop, proposals
from cairndale.control.applier import Applier, encode_command
from cairndale.control.apply_loop import ApplyLoop
from cairndale.control.leadership_tracker import LeadershipTracker
from cairndale.control.node import ControlNode
from cairndale.raft import fragments
from cairndale.raft.fragments import FragmentKind
from cairndale.raft.messages import AppendEntries, AppendReply, Entry, Member, SaveEntries
from cairndale.raft.node import MAX_APPEND_BYTES, RaftNode, bootstrap_state
from cairndale.raft.replica import Role
from cairndale.raft.storage import RaftStorage, StorageError
from tests.control.test_operations import CallHistory, first_change, send_read, submit_change
from tests.raft.test_snapshots import Killed, KillError
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
    use_memory_cluster,
)

ME = Member("a:1", "x")


def whole_or_parts(command: Command) -> list[bytes]:
    made = encode_command(command)
    return [made] if isinstance(made, bytes) else [data for data in made if data]


def tenants(seed: int, count: int, start: int = 0) -> list[dict[str, Any]]:
    rng = random.Random(seed)
    return [
        {"name": f"t{n}", "apiKeys": [f"{rng.getrandbits(64):x}"]}
        for n in range(start, start + count)
    ]


def spoils(data: bytes, at: int = 99) -> bytes:
    return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]


def in_force(entries: Iterable[Entry], applier: Applier | None = None) -> Applier:
    applier = applier or Applier(State())
    applier.enqueue(entries)
    while applier.has_backlog:
        applier.step()
    return applier


def replaced(gen: int, parent: int, count: int = 3_000) -> Command:
    order = {
        "gen": gen,
        "parent": parent,
        "routes": [],
        "backends": [],
        "tenants": tenants(gen, count),
    }
    return Command(Verb.REPLACE, f"d{gen}", order, added_nodes=("n",), call_id="c")


# The form.


def test_a_command_comes_back_and_no_step_or_entry_has_more_than_its_share() -> None:
    """The bound of 20 ms in units of work; `tests/measurements/measure_snapshots.py` says what
    these take."""
    command = replaced(1, 0, 20_000)
    data, applier, steps = whole_or_parts(command), Applier(State()), 0
    assert len(data) > 8 and {len(d) for d in data[:-1]} == {
        fragments.FRAGMENT_BYTES - fragments.DIGEST_BYTES
    }
    assert 2 * fragments.FRAGMENT_BYTES <= MAX_APPEND_BYTES
    applier.enqueue(Entry(n, 1, d) for n, d in enumerate(data, 1))
    while applier.has_backlog:
        assert applier.state == State()
        applier.step()
        steps += 1
    assert steps > sum(1 for _ in serialization.encode_parts(command.to_dict())) - 2
    plain = State()
    assert (
        plain.apply(Command.decode(command.encode()))
        and applier.state == plain
        and applier.index == len(data)
    )
    assert json.dumps(applier.state.content) == json.dumps(plain.content)
    update = Command(
        Verb.UPDATE, "u", {"gen": 2, "parent": 1, "upsert": {"tenants": tenants(5, 1, 7)}}
    )
    (small,) = whole_or_parts(update)
    assert Command.decode(small) == update
    many = sum(1 for _ in applier.state.apply_steps(update))
    assert (
        many >= 20_000 // ITEMS_PER_STEP
        and applier.state.content["tenants"][7] == tenants(5, 1, 7)[0]
    )
    item = {"name": "t", "apiKeys": [random.Random(1).randbytes(40_000).hex()]}
    one = Command(Verb.REPLACE, "d", {"gen": 1, "parent": 0, "tenants": [item]})
    # One item is cut as well.
    assert max(len(d) for d in whole_or_parts(one)) <= fragments.FRAGMENT_BYTES < len(one.encode())


def drawn_log(seed: int) -> list[Entry]:
    """Of several leaders: commands in parts, with others between, some cut short, doubled,
    spoilt."""
    rng, data, gen, rest = random.Random(seed), list[bytes](), 0, list[bytes]()
    for _ in range(rng.randint(1, 4)):
        data += [b"", *rest]  # of one whose leader ended amid it
        for _ in range(rng.randint(1, 4)):
            gen += 1
            made = whole_or_parts(replaced(gen, rng.choice((gen - 1, 0)), rng.randint(9, 40)))
            kind, at = rng.random(), rng.randrange(len(made))
            if kind < 0.4:
                rest = made[at:]
                made = rng.choice((made[:at], rest, made[:at] + made[at + 1 :], made[:at] + made))
            elif kind < 0.5:
                last = fragments.decode_fragment(made[-1])
                made[-1] = fragments.encode_fragment(
                    FragmentKind.LAST, last.number, spoils(last.data, 0)
                )
            elif kind < 0.6:
                made.insert(at, fragments.encode_fragment(FragmentKind.ABORT, 0, b""))
            for part in made:
                data.append(part)
                if rng.random() < 0.2:
                    data.append(
                        Command(
                            Verb.EVACUATE, f"o{len(data)}", zone=f"z{rng.randint(1, 3)}"
                        ).encode()
                    )
    return [Entry(n, 1, d, is_term_start=not d) for n, d in enumerate(data, 1)]


def plain_reading(log: list[Entry]) -> State:
    """At each last part, all before it are looked at anew."""
    state = State()
    for at, entry in enumerate(log):
        if entry.data and not fragments.is_fragment(entry.data):
            state.apply(Command.decode(entry.data))
        if (
            not fragments.is_fragment(entry.data)
            or (last := fragments.decode_fragment(entry.data)).kind is not FragmentKind.LAST
        ):
            continue
        opened = max((n for n in range(at) if log[n].is_term_start), default=0)
        before = [
            fragments.decode_fragment(e.data)
            for e in log[opened:at]
            if fragments.is_fragment(e.data)
        ]
        found = before[max(0, len(before) - last.number) :]
        if [(p.kind, p.number) for p in found] == [
            (FragmentKind.MORE, n) for n in range(last.number)
        ]:
            whole = b"".join(p.data for p in found) + last.data[fragments.DIGEST_BYTES :]
            if fragments.state_digest(whole).digest() == last.data[: fragments.DIGEST_BYTES]:
                state.apply(Command.from_dict(serialization.decode(whole)))
    return state


def compare(seed: int, made: type[Applier] = Applier) -> bool:
    """Whether a command in parts came into force."""
    log, rng = drawn_log(seed), random.Random(seed)
    applier = made(State())
    for entry in log:
        in_force([entry], applier)
        if applier.is_between_commands and rng.random() < 0.3:  # a snapshot, and a start from it
            applier = made(State.decode(applier.state.encode()), entry.index, entry.term)
    assert applier.state == plain_reading(log), "not as the plain reading of the log"
    assert in_force([Entry(len(log) + 1, 99, is_term_start=True)], applier).is_between_commands, (
        "not as the plain reading: open"
    )
    return applier.state.gen > 0


@pytest.fixture
def small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fragments, "PAYLOAD_BYTES", 150)
    monkeypatch.setattr(serialization, "PART_TEXT_BYTES", 100)
    monkeypatch.setattr(serialization, "ITEMS_PER_RECORD", 3)


def test_whole_or_not_at_all_as_the_log_says(small_parts: None) -> None:
    assert sum(compare(seed) for seed in range(300)) > 100


def reads(
    change: Callable[[Applier, fragments.Fragment], fragments.Fragment | None],
) -> type[Applier]:
    class Planted(Applier):
        def _assemble(self, part: fragments.Fragment) -> Generator[None, None, Command | None]:
            changed = change(self, part)
            return (yield from super()._assemble(changed)) if changed else None

    return Planted


def no_digest(applier: Applier, part: fragments.Fragment) -> fragments.Fragment:
    if part.kind is not FragmentKind.LAST:
        return part
    digest = (
        applier._partial.digest if applier._partial and part.number else fragments.state_digest()
    ).copy()
    digest.update(part.data[fragments.DIGEST_BYTES :])
    return replace(part, data=digest.digest() + part.data[fragments.DIGEST_BYTES :])


def neither_number(applier: Applier, part: fragments.Fragment) -> fragments.Fragment:
    """Each of the two alone finds a part that is missing."""
    number = applier._partial.count if applier._partial and part.number else part.number
    return replace(no_digest(applier, part), number=number)


class StaysOpen(Applier):
    def _apply_steps(self, entry: Entry) -> Generator[None, None, bool]:
        return (yield from super()._apply_steps(replace(entry, is_term_start=False)))


class AlwaysWhole(Applier):
    is_between_commands = True  # type: ignore[assignment]


PLANTED = {
    "digest": reads(no_digest),
    "number": reads(neither_number),
    "void": reads(lambda applier, part: None if part.kind is FragmentKind.ABORT else part),
    "is_term_start": StaysOpen,
}


@pytest.mark.parametrize("planted", PLANTED)
def test_planted_defects_of_reading_are_seen(planted: str, small_parts: None) -> None:
    with pytest.raises(AssertionError, match="not as the plain reading"):
        for seed in range(300):
            compare(seed, PLANTED[planted])


# On disk, and on the way.


def test_power_lost_at_each_write_leaves_the_older_configuration_or_the_whole_new_one(
    tmp_path: Path,
) -> None:
    log = [Entry(n, 1, data) for n, data in enumerate(whole_or_parts(replaced(1, 0, 6_000)), 1)]
    whole = plain_reading(log)
    assert len(log) > 3
    for after in range(100):
        store = RaftStorage(tmp_path / str(after))
        store.initialize("x", bootstrap_state([ME]))
        env, store._env = store._env, Killed(store._env, after)
        try:
            for entry in log:
                store.write([SaveEntries(entry.index, (entry,))])
        except KillError:
            pass
        finally:
            env.close()
        kept = RaftStorage(tmp_path / str(after)).load()
        assert kept.entries == log[:after]
        assert in_force(kept.entries).state == (whole if after == len(log) else State())
        if after == len(log):
            return


def test_a_part_that_a_disk_has_spoilt_is_told(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path)
    store.initialize("x", bootstrap_state([ME]))
    store.write([SaveEntries(1, (Entry(1, 1, spoils(whole_or_parts(replaced(1, 0))[0])),))])
    with pytest.raises(StorageError, match="entry 1 is not as it was written"):
        store.load()


def test_a_part_that_is_spoilt_on_the_way_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = [Entry(n, 1, data) for n, data in enumerate(whole_or_parts(replaced(1, 0, 9_000)), 1)]
    came = (log[0], replace(log[1], data=spoils(log[1].data)), log[2])
    machine = RaftNode(ME, bootstrap_state([ME, Member("b:1", "y")]), 0.0, random.Random(1))
    for entries, match in ((came, 1), (tuple(log), len(log))):
        step = machine.receive(1.0, AppendEntries(1, Member("b:1", "y"), 0, 0, entries, 0, 7))
        (reply,) = (m for _, m in step.sends if isinstance(m, AppendReply))
        assert (
            reply.success
            and reply.match_index == match == machine.last_index
            and bool(step.corrupt_entry) == (match == 1)
        )
    assert machine.log == log
    monkeypatch.setattr(fragments, "is_intact", lambda data: True)
    machine = RaftNode(ME, bootstrap_state([ME, Member("b:1", "y")]), 0.0, random.Random(1))
    machine.receive(1.0, AppendEntries(1, Member("b:1", "y"), 0, 0, came, 0, 7))
    assert machine.last_index == 3  # the plant is seen: what is spoilt is acknowledged


# Core machines.


@pytest.fixture
def core_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    use_memory_cluster(monkeypatch)


def slow(
    monkeypatch: pytest.MonkeyPatch, who: Callable[[RaftNode], bool], pause: float = 0.1
) -> None:
    """These take so many s between two steps of what they apply."""

    def leave(self: ApplyLoop, more: Callable[[], None]) -> None:
        self._loop.call_later(pause if who(self._raft) else 0.0, more)

    monkeypatch.setattr(ApplyLoop, "_yield_to_loop", leave)
    monkeypatch.setattr(apply_loop, "MAX_TURN_S", 0.0)


async def begun(count: int = 6_000) -> tuple[ControlCluster, CallHistory, ControlNode]:
    """A configuration in force, and a large one to come."""
    world, history = ControlCluster(Path("parts")), first_change()
    await world.start_all()
    assert await submit_change(world, history, 1, world.hosts) == 200
    history.sent[2] = 1, configuration(2, 1, tenants=tenants(2, count))
    leader = world.leader()
    assert leader
    return world, history, leader


async def alike(world: ControlCluster) -> State:
    await asyncio.sleep(8.0)
    (state,) = {c.state.encode() for c in world.nodes.values()}
    assert all(c.applier.is_between_commands for c in world.nodes.values()), (
        "it waits for what will never come"
    )
    return State.decode(state)


def log_of(core: ControlNode) -> list[Entry]:
    return [*core.raft.compacted_tail._entries, *core.raft.log]


def told(core: ControlNode) -> list[fragments.Fragment]:
    """The parts in its log."""
    return [
        fragments.decode_fragment(e.data) for e in log_of(core) if fragments.is_fragment(e.data)
    ]


async def amid_a_snapshot() -> None:
    """Snapshots after each 2nd entry: a member that starts again has the command all the same."""
    world, history, leader = await begun(15_000)
    host = next(h for h in world.hosts if h != leader.settings.ip)
    task = asyncio.create_task(submit_change(world, history, 2, world.hosts))
    await world.wait_until(lambda: len(told(leader)) >= 10)
    await world.crash(host)
    await world.start(host)
    assert await task == 200
    await alike(world)


async def read_amid() -> None:
    """It is decided, and in force a little later: who reads in between waits for it."""
    world, history, leader = await begun()
    host, log = leader.settings.ip, leader.raft
    task = asyncio.create_task(world.call(host, "POST", "Config.Replace", history.sent[2][1]))
    await world.wait_until(
        lambda: (
            any(p.kind is FragmentKind.LAST for p in told(leader))
            and log.commit_index == log.last_index
        )
    )
    assert leader.state.gen == 1 and leader.applier.index < log.commit_index
    _, body = await world.call(host, "GET", "Config.Read")
    assert body["gen"] == 2, "an older one was read"
    assert (await task)[0] == 200


async def leader_behind(quick: set[str]) -> None:
    """Acknowledged by a leader that ends at once; who leads next has yet to apply it."""
    world, history, leader = await begun(12_000)
    quick.add(leader.me.address)
    assert await submit_change(world, history, 2, [leader.settings.ip]) == 200
    await world.crash(leader.settings.ip)
    assert max(c.state.gen for c in world.nodes.values()) == 1
    for _ in range(60):
        await asyncio.gather(*(send_read(world, history, host) for host in world.nodes))
        await asyncio.sleep(0.05)
    assert not history.violations([0, 1, 2]), "an older one was read"
    assert any(t.gen == 2 for t in history.attempts if t.kind == "read")


async def ends_amid() -> None:
    """The leader ends amid a command: it is void everywhere, sent again it is taken, once."""
    world, history, leader = await begun(15_000)
    task = asyncio.create_task(submit_change(world, history, 2, world.hosts))
    await world.wait_until(lambda: len(told(leader)) >= 3)
    assert told(leader)[-1].kind is FragmentKind.MORE
    await world.crash(leader.settings.ip)
    assert await task == 200
    assert list((await alike(world)).idempotency_records.values()) == [1, 2]


async def given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """No part is decided in time, and the leader stays: its next snapshot does not wait for the
    rest."""
    world, history, _ = await begun()
    with monkeypatch.context() as hasty:
        hasty.setattr(proposals, "DECISION_TIMEOUT_S", 0.03)
        assert (await world.call(world.hosts[0], "POST", "Config.Replace", history.sent[2][1]))[
            0
        ] == 503
    assert (await alike(world)).gen == 1
    assert await submit_change(world, history, 2, world.hosts) == 200


def test_control_nodes_take_a_large_command(core_machines: None) -> None:
    async def scene() -> None:
        world, history, leader = await begun()
        assert await submit_change(world, history, 2, world.hosts) == 200
        assert len((await alike(world)).content["tenants"]) == 6_000
        *before, last = (p.kind for p in told(leader))
        assert last is FragmentKind.LAST and {*before} == {FragmentKind.MORE} and len(before) > 2
        assert (
            max(len(e.data) for c in world.nodes.values() for e in log_of(c))
            <= fragments.FRAGMENT_BYTES
        )

    run_in_virtual_time(scene())


def test_no_snapshot_is_made_amid_a_command(
    core_machines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(apply_loop, "SNAPSHOT_INTERVAL_ENTRIES", 2)
    run_in_virtual_time(amid_a_snapshot())
    monkeypatch.setattr(cairndale.control.node, "Applier", AlwaysWhole)
    with pytest.raises(ValueError, match="too many values"):  # states that differ
        run_in_virtual_time(amid_a_snapshot())


def test_who_reads_waits_for_what_is_decided(
    core_machines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow(monkeypatch, lambda raft: raft.role is Role.LEADER, 0.02)
    run_in_virtual_time(read_amid())
    monkeypatch.setattr(ApplyLoop, "applied_index", lambda self: self._raft.commit_index)
    with pytest.raises(AssertionError, match="an older one"):
        run_in_virtual_time(read_amid())


def test_who_leads_next_applies_all_first(
    core_machines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    quick: set[str] = set()
    slow(monkeypatch, lambda raft: raft.me.address not in quick)
    run_in_virtual_time(leader_behind(quick))
    monkeypatch.setattr(
        LeadershipTracker, "leads", lambda self: self._raft.leads(self._clock.now())
    )
    monkeypatch.setattr(ApplyLoop, "applied_index", lambda self: self._raft.commit_index)
    with pytest.raises(AssertionError, match="an older one"):
        run_in_virtual_time(leader_behind(quick))


async def told_in_steps(made: list[int]) -> None:
    """Two leaders: what ingresses are told is there before they are told it."""
    world, history, leader = await begun()
    assert await submit_change(world, history, 2, world.hosts) == 200
    await world.crash(leader.settings.ip)
    history.sent[3] = 2, configuration(3, 2, tenants=tenants(3, 6_000))
    made.clear()
    assert await submit_change(world, history, 3, world.hosts) == 200
    assert all(i.gen == 3 for i in world.ingresses) and max(made, default=0) == 0, "made at once"


def test_what_ingresses_are_told_is_made_in_steps(
    core_machines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    content: dict[str, Any]
    for content in (
        {},
        {"gen": 1, "a": [], "b": [1]},
        {"t": tenants(1, 2_000), "r": [], "x": {"a": [1]}},
    ):
        assert (
            json.loads(zlib.decompress(State(gen=1, content=content).encoded_content())) == content
        )
    made = list[int]()

    def counted(work: Generator[None, None, Any]) -> Any:
        steps = list(work)
        made.append(len(steps))

    monkeypatch.setattr(stepwise, "run_to_completion", counted)
    run_in_virtual_time(told_in_steps(made))
    monkeypatch.setattr(
        Applier,
        "encodes_content",
        property(lambda self: False, lambda self, value: None),
        raising=False,
    )
    with pytest.raises(AssertionError, match="made at once"):
        run_in_virtual_time(told_in_steps(made))


def test_a_command_whose_leader_ends_or_gives_it_up_is_void(
    core_machines: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_in_virtual_time(ends_amid())
    run_in_virtual_time(given_up(monkeypatch))
    monkeypatch.setattr(proposals, "encode_fragment", lambda *_: b"")
    with pytest.raises(AssertionError, match="it waits"):
        run_in_virtual_time(given_up(monkeypatch))


def test_commands_of_disks_of_old_are_read() -> None:
    """A large one in one entry."""
    data = replaced(1, 0, 30_000).encode()
    assert len(data) > applier.LARGE_ENTRY_BYTES and in_force([Entry(1, 1, data)]).state.gen == 1


# The body of a call.


def test_a_body_is_read_in_steps_to_what_json_makes_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(5)
    monkeypatch.setattr(json_stream, "LARGE_BODY_BYTES", 0)
    monkeypatch.setattr(json_stream, "ITEMS_PER_STEP", 3)
    monkeypatch.setattr(json_stream, "DECODED_BYTES_PER_STEP", 5)
    monkeypatch.setattr(json_stream, "LOOKAHEAD_CHARS", 7)
    item = [{"name": 'ä"', "a": [1, {}]}, 7, None, [], "x", 1e9]
    raw = {"gen": 1, "a": item * 3, "upsert": {"b": item, "c": {"d": {"b": 1}}}, "e": {}, "l": []}
    whole, wrong, steps = json.dumps(raw, indent=2, ensure_ascii=False), 0, 0
    for n in range(3_000):
        at, put = rng.randrange(len(whole)), rng.choice(["", *',]}":[{\\5 ', "NaN"])
        text = whole[:at] + put + whole[at + n % 2 :]
        data = text.encode(rng.choice(["utf-8", "utf-16", "utf-8-sig", "utf-32-le"]))
        data = data[: rng.choice((None, None, -1))]
        try:
            wanted = repr(json.loads(data))
        except ValueError:
            wrong += 1
            with pytest.raises(ValueError):
                stepwise.run_to_completion(json_stream.loads_steps(data))
            continue
        assert repr(stepwise.run_to_completion(json_stream.loads_steps(data))) == wanted
        steps += sum(1 for _ in json_stream.loads_steps(data))
    assert 300 < wrong < 2_900 and steps > 3_000
