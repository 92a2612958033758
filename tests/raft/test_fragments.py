"""Large commands in fragments: applied completely or not at all, and identically on all members.

The applier is compared with a reference reading of the whole log. Further tests cover fragments on
disk, damaged in transit, and in control nodes that lag behind."""

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
from tests.raft.test_snapshots import PowerLossEnv, PowerLossError
from tests.testing.control_calls import CallHistory, first_change, send_read, submit_change
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
    use_memory_cluster,
)

ME = Member("a:1", "x")


def encode_entries(command: Command) -> list[bytes]:
    encoded = encode_command(command)
    return [encoded] if isinstance(encoded, bytes) else [data for data in encoded if data]


def tenants(seed: int, count: int, start: int = 0) -> list[dict[str, Any]]:
    rng = random.Random(seed)
    return [
        {"name": f"t{n}", "apiKeys": [f"{rng.getrandbits(64):x}"]}
        for n in range(start, start + count)
    ]


def flip_bit(data: bytes, at: int = 99) -> bytes:
    return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]


def apply_entries(entries: Iterable[Entry], applier: Applier | None = None) -> Applier:
    applier = applier or Applier(State())
    applier.enqueue(entries)
    while applier.has_backlog:
        applier.step()
    return applier


def replace_command(gen: int, parent: int, count: int = 3_000) -> Command:
    order = {
        "gen": gen,
        "parent": parent,
        "routes": [],
        "backends": [],
        "tenants": tenants(gen, count),
    }
    return Command(Verb.REPLACE, f"d{gen}", order, added_nodes=("n",), call_id="c")


# Encoding.


def test_command_survives_encoding_in_bounded_steps_and_entries() -> None:
    """Checks the limit of 20 ms per step in units of work.

    `tests/measurements/measure_snapshots.py` measures the time that these take."""
    command = replace_command(1, 0, 20_000)
    data, applier, steps = encode_entries(command), Applier(State()), 0
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
    (small,) = encode_entries(update)
    assert Command.decode(small) == update
    step_count = sum(1 for _ in applier.state.apply_steps(update))
    assert (
        step_count >= 20_000 // ITEMS_PER_STEP
        and applier.state.content["tenants"][7] == tenants(5, 1, 7)[0]
    )
    item = {"name": "t", "apiKeys": [random.Random(1).randbytes(40_000).hex()]}
    single_item = Command(Verb.REPLACE, "d", {"gen": 1, "parent": 0, "tenants": [item]})
    # A single large item is split too.
    assert (
        max(len(d) for d in encode_entries(single_item))
        <= fragments.FRAGMENT_BYTES
        < len(single_item.encode())
    )


def random_log(seed: int) -> list[Entry]:
    """A random log of several leaders.

    Fragmented commands are interleaved with others; some are truncated, duplicated or damaged."""
    rng, data, gen, lost_fragments = random.Random(seed), list[bytes](), 0, list[bytes]()
    for _ in range(rng.randint(1, 4)):
        data += [b"", *lost_fragments]  # of a command whose leader crashed during it
        for _ in range(rng.randint(1, 4)):
            gen += 1
            fragments_of_command = encode_entries(
                replace_command(gen, rng.choice((gen - 1, 0)), rng.randint(9, 40))
            )
            kind, at = rng.random(), rng.randrange(len(fragments_of_command))
            if kind < 0.4:
                lost_fragments = fragments_of_command[at:]
                fragments_of_command = rng.choice(
                    (
                        fragments_of_command[:at],
                        lost_fragments,
                        fragments_of_command[:at] + fragments_of_command[at + 1 :],
                        fragments_of_command[:at] + fragments_of_command,
                    )
                )
            elif kind < 0.5:
                last = fragments.decode_fragment(fragments_of_command[-1])
                fragments_of_command[-1] = fragments.encode_fragment(
                    FragmentKind.LAST, last.number, flip_bit(last.data, 0)
                )
            elif kind < 0.6:
                fragments_of_command.insert(
                    at, fragments.encode_fragment(FragmentKind.ABORT, 0, b"")
                )
            for fragment in fragments_of_command:
                data.append(fragment)
                if rng.random() < 0.2:
                    data.append(
                        Command(
                            Verb.EVACUATE, f"o{len(data)}", zone=f"z{rng.randint(1, 3)}"
                        ).encode()
                    )
    return [Entry(n, 1, d, is_term_start=not d) for n, d in enumerate(data, 1)]


def reference_state(log: list[Entry]) -> State:
    """Reference model: at each last fragment, reads all fragments before it again."""
    state = State()
    for at, entry in enumerate(log):
        if entry.data and not fragments.is_fragment(entry.data):
            state.apply(Command.decode(entry.data))
        if (
            not fragments.is_fragment(entry.data)
            or (last := fragments.decode_fragment(entry.data)).kind is not FragmentKind.LAST
        ):
            continue
        term_start = max((n for n in range(at) if log[n].is_term_start), default=0)
        earlier = [
            fragments.decode_fragment(e.data)
            for e in log[term_start:at]
            if fragments.is_fragment(e.data)
        ]
        candidates = earlier[max(0, len(earlier) - last.number) :]
        if [(p.kind, p.number) for p in candidates] == [
            (FragmentKind.MORE, n) for n in range(last.number)
        ]:
            command_data = (
                b"".join(p.data for p in candidates) + last.data[fragments.DIGEST_BYTES :]
            )
            if fragments.state_digest(command_data).digest() == last.data[: fragments.DIGEST_BYTES]:
                state.apply(Command.from_dict(serialization.decode(command_data)))
    return state


def check_against_reference(seed: int, applier_class: type[Applier] = Applier) -> bool:
    """Compares with the reference model; returns whether any command was applied."""
    log, rng = random_log(seed), random.Random(seed)
    applier = applier_class(State())
    for entry in log:
        apply_entries([entry], applier)
        if applier.is_between_commands and rng.random() < 0.3:  # restart from a snapshot
            applier = applier_class(State.decode(applier.state.encode()), entry.index, entry.term)
    assert applier.state == reference_state(log), "differs from the reference"
    assert apply_entries(
        [Entry(len(log) + 1, 99, is_term_start=True)], applier
    ).is_between_commands, "differs from the reference: a command is still incomplete"
    return applier.state.gen > 0


@pytest.fixture
def small_fragments(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fragments, "PAYLOAD_BYTES", 150)
    monkeypatch.setattr(serialization, "PART_TEXT_BYTES", 100)
    monkeypatch.setattr(serialization, "ITEMS_PER_RECORD", 3)


def test_applier_agrees_with_the_reference(small_fragments: None) -> None:
    assert sum(check_against_reference(seed) for seed in range(300)) > 100


def with_defect(
    change: Callable[[Applier, fragments.Fragment], fragments.Fragment | None],
) -> type[Applier]:
    class DefectiveApplier(Applier):
        def _assemble(self, fragment: fragments.Fragment) -> Generator[None, None, Command | None]:
            changed = change(self, fragment)
            return (yield from super()._assemble(changed)) if changed else None

    return DefectiveApplier


def no_digest(applier: Applier, fragment: fragments.Fragment) -> fragments.Fragment:
    if fragment.kind is not FragmentKind.LAST:
        return fragment
    digest = (
        applier._partial.digest
        if applier._partial and fragment.number
        else fragments.state_digest()
    ).copy()
    digest.update(fragment.data[fragments.DIGEST_BYTES :])
    return replace(fragment, data=digest.digest() + fragment.data[fragments.DIGEST_BYTES :])


def no_number(applier: Applier, fragment: fragments.Fragment) -> fragments.Fragment:
    """Ignores number and digest, each of which alone would detect a missing fragment."""
    number = applier._partial.count if applier._partial and fragment.number else fragment.number
    return replace(no_digest(applier, fragment), number=number)


class IgnoresTermStart(Applier):
    def _apply_steps(self, entry: Entry) -> Generator[None, None, bool]:
        return (yield from super()._apply_steps(replace(entry, is_term_start=False)))


class AlwaysBetweenCommands(Applier):
    is_between_commands = True  # type: ignore[assignment]


DEFECTS = {
    "digest": with_defect(no_digest),
    "number": with_defect(no_number),
    "void": with_defect(
        lambda applier, fragment: None if fragment.kind is FragmentKind.ABORT else fragment
    ),
    "is_term_start": IgnoresTermStart,
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_injected_applier_defects_are_detected(defect: str, small_fragments: None) -> None:
    with pytest.raises(AssertionError, match="differs from the reference"):
        for seed in range(300):
            check_against_reference(seed, DEFECTS[defect])


# On disk and in transit.


def test_power_loss_at_each_write_leaves_the_old_or_the_complete_new_configuration(
    tmp_path: Path,
) -> None:
    log = [
        Entry(n, 1, data) for n, data in enumerate(encode_entries(replace_command(1, 0, 6_000)), 1)
    ]
    complete = reference_state(log)
    assert len(log) > 3
    for after in range(100):
        storage = RaftStorage(tmp_path / str(after))
        storage.initialize("x", bootstrap_state([ME]))
        env, storage._env = storage._env, PowerLossEnv(storage._env, after)
        try:
            for entry in log:
                storage.write([SaveEntries(entry.index, (entry,))])
        except PowerLossError:
            pass
        finally:
            env.close()
        persisted = RaftStorage(tmp_path / str(after)).load()
        assert persisted.entries == log[:after]
        assert apply_entries(persisted.entries).state == (
            complete if after == len(log) else State()
        )
        if after == len(log):
            return


def test_fragment_damaged_on_disk_is_reported(tmp_path: Path) -> None:
    storage = RaftStorage(tmp_path)
    storage.initialize("x", bootstrap_state([ME]))
    storage.write(
        [SaveEntries(1, (Entry(1, 1, flip_bit(encode_entries(replace_command(1, 0))[0])),))]
    )
    with pytest.raises(StorageError, match="entry 1: checksum mismatch"):
        storage.load()


def test_fragment_damaged_in_transit_is_requested_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = [
        Entry(n, 1, data) for n, data in enumerate(encode_entries(replace_command(1, 0, 9_000)), 1)
    ]
    damaged = (log[0], replace(log[1], data=flip_bit(log[1].data)), log[2])
    node = RaftNode(ME, bootstrap_state([ME, Member("b:1", "y")]), 0.0, random.Random(1))
    for entries, match in ((damaged, 1), (tuple(log), len(log))):
        ready = node.receive(1.0, AppendEntries(1, Member("b:1", "y"), 0, 0, entries, 0, 7))
        (reply,) = (m for _, m in ready.sends if isinstance(m, AppendReply))
        assert (
            reply.success
            and reply.match_index == match == node.last_index
            and bool(ready.corrupt_entry) == (match == 1)
        )
    assert node.log == log
    monkeypatch.setattr(fragments, "is_intact", lambda data: True)
    node = RaftNode(ME, bootstrap_state([ME, Member("b:1", "y")]), 0.0, random.Random(1))
    node.receive(1.0, AppendEntries(1, Member("b:1", "y"), 0, 0, damaged, 0, 7))
    assert node.last_index == 3  # without the check, a damaged entry is acknowledged


# Control nodes.


@pytest.fixture
def in_memory_cluster(monkeypatch: pytest.MonkeyPatch) -> None:
    use_memory_cluster(monkeypatch)


def slow_down(
    monkeypatch: pytest.MonkeyPatch, is_slow: Callable[[RaftNode], bool], pause: float = 0.1
) -> None:
    """Nodes for which `is_slow` holds wait `pause` seconds between two steps of the apply loop."""

    def yield_slowly(self: ApplyLoop, resume: Callable[[], None]) -> None:
        self._loop.call_later(pause if is_slow(self._raft) else 0.0, resume)

    monkeypatch.setattr(ApplyLoop, "_yield_to_loop", yield_slowly)
    monkeypatch.setattr(apply_loop, "MAX_TURN_S", 0.0)


async def started_world(count: int = 6_000) -> tuple[ControlCluster, CallHistory, ControlNode]:
    """A world with an applied configuration, and a large one prepared as operation 2."""
    world, history = ControlCluster(Path("parts")), first_change()
    await world.start_all()
    assert await submit_change(world, history, 1, world.hosts) == 200
    history.sent[2] = 1, configuration(2, 1, tenants=tenants(2, count))
    leader = world.leader()
    assert leader
    return world, history, leader


async def converged_state(world: ControlCluster) -> State:
    await asyncio.sleep(8.0)
    (state,) = {c.state.encode() for c in world.nodes.values()}
    assert all(c.applier.is_between_commands for c in world.nodes.values()), (
        "waits for fragments that will never arrive"
    )
    return State.decode(state)


def log_of(core: ControlNode) -> list[Entry]:
    return [*core.raft.compacted_tail._entries, *core.raft.log]


def logged_fragments(core: ControlNode) -> list[fragments.Fragment]:
    """The fragments in the log of a control node."""
    return [
        fragments.decode_fragment(e.data) for e in log_of(core) if fragments.is_fragment(e.data)
    ]


async def restart_during_command() -> None:
    """With a snapshot after every 2nd entry, a node that restarts still applies the command."""
    world, history, leader = await started_world(15_000)
    host = next(h for h in world.hosts if h != leader.settings.ip)
    task = asyncio.create_task(submit_change(world, history, 2, world.hosts))
    await world.wait_until(lambda: len(logged_fragments(leader)) >= 10)
    await world.crash(host)
    await world.start(host)
    assert await task == 200
    await converged_state(world)


async def read_before_application() -> None:
    """A read between the commit of a command and its application waits for the latter."""
    world, history, leader = await started_world()
    host, log = leader.settings.ip, leader.raft
    task = asyncio.create_task(world.call(host, "POST", "Config.Replace", history.sent[2][1]))
    await world.wait_until(
        lambda: (
            any(p.kind is FragmentKind.LAST for p in logged_fragments(leader))
            and log.commit_index == log.last_index
        )
    )
    assert leader.state.gen == 1 and leader.applier.index < log.commit_index
    _, body = await world.call(host, "GET", "Config.Read")
    assert body["gen"] == 2, "stale read"
    assert (await task)[0] == 200


async def successor_lags(fast_addresses: set[str]) -> None:
    """The leader crashes right after the acknowledgement; its successor has not applied it yet."""
    world, history, leader = await started_world(12_000)
    fast_addresses.add(leader.me.address)
    assert await submit_change(world, history, 2, [leader.settings.ip]) == 200
    await world.crash(leader.settings.ip)
    assert max(c.state.gen for c in world.nodes.values()) == 1
    for _ in range(60):
        await asyncio.gather(*(send_read(world, history, host) for host in world.nodes))
        await asyncio.sleep(0.05)
    assert not history.violations([0, 1, 2]), "stale read"
    assert any(t.gen == 2 for t in history.attempts if t.kind == "read")


async def leader_crashes_during_command() -> None:
    """The leader crashes during a command: no node applies it, and a retry is applied once."""
    world, history, leader = await started_world(15_000)
    task = asyncio.create_task(submit_change(world, history, 2, world.hosts))
    await world.wait_until(lambda: len(logged_fragments(leader)) >= 3)
    assert logged_fragments(leader)[-1].kind is FragmentKind.MORE
    await world.crash(leader.settings.ip)
    assert await task == 200
    assert list((await converged_state(world)).idempotency_records.values()) == [1, 2]


async def command_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The commit times out and the leader stays: its next snapshot does not wait for the rest."""
    world, history, _ = await started_world()
    with monkeypatch.context() as short_timeout:
        short_timeout.setattr(proposals, "DECISION_TIMEOUT_S", 0.03)
        assert (await world.call(world.hosts[0], "POST", "Config.Replace", history.sent[2][1]))[
            0
        ] == 503
    assert (await converged_state(world)).gen == 1
    assert await submit_change(world, history, 2, world.hosts) == 200


def test_control_nodes_apply_a_large_command(in_memory_cluster: None) -> None:
    async def scene() -> None:
        world, history, leader = await started_world()
        assert await submit_change(world, history, 2, world.hosts) == 200
        assert len((await converged_state(world)).content["tenants"]) == 6_000
        *before, last = (p.kind for p in logged_fragments(leader))
        assert last is FragmentKind.LAST and {*before} == {FragmentKind.MORE} and len(before) > 2
        assert (
            max(len(e.data) for c in world.nodes.values() for e in log_of(c))
            <= fragments.FRAGMENT_BYTES
        )

    run_in_virtual_time(scene())


def test_no_snapshot_is_made_during_a_command(
    in_memory_cluster: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(apply_loop, "SNAPSHOT_INTERVAL_ENTRIES", 2)
    run_in_virtual_time(restart_during_command())
    monkeypatch.setattr(cairndale.control.node, "Applier", AlwaysBetweenCommands)
    with pytest.raises(ValueError, match="too many values"):  # states that differ
        run_in_virtual_time(restart_during_command())


def test_read_waits_until_committed_entries_are_applied(
    in_memory_cluster: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow_down(monkeypatch, lambda raft: raft.role is Role.LEADER, 0.02)
    run_in_virtual_time(read_before_application())
    monkeypatch.setattr(ApplyLoop, "applied_index", lambda self: self._raft.commit_index)
    with pytest.raises(AssertionError, match="stale read"):
        run_in_virtual_time(read_before_application())


def test_new_leader_applies_all_entries_before_it_serves(
    in_memory_cluster: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    fast_addresses: set[str] = set()
    slow_down(monkeypatch, lambda raft: raft.me.address not in fast_addresses)
    run_in_virtual_time(successor_lags(fast_addresses))
    monkeypatch.setattr(
        LeadershipTracker, "leads", lambda self: self._raft.leads(self._clock.now())
    )
    monkeypatch.setattr(ApplyLoop, "applied_index", lambda self: self._raft.commit_index)
    with pytest.raises(AssertionError, match="stale read"):
        run_in_virtual_time(successor_lags(fast_addresses))


async def content_encoded_in_steps(step_counts: list[int]) -> None:
    """Under two leaders in turn, the content for ingresses is encoded in steps beforehand."""
    world, history, leader = await started_world()
    assert await submit_change(world, history, 2, world.hosts) == 200
    await world.crash(leader.settings.ip)
    history.sent[3] = 2, configuration(3, 2, tenants=tenants(3, 6_000))
    step_counts.clear()
    assert await submit_change(world, history, 3, world.hosts) == 200
    assert all(i.gen == 3 for i in world.ingresses) and max(step_counts, default=0) == 0, (
        "encoded at once"
    )


def test_content_for_ingresses_is_encoded_in_steps(
    in_memory_cluster: None, monkeypatch: pytest.MonkeyPatch
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
    step_counts = list[int]()

    def count_steps(work: Generator[None, None, Any]) -> Any:
        steps = list(work)
        step_counts.append(len(steps))

    monkeypatch.setattr(stepwise, "run_to_completion", count_steps)
    run_in_virtual_time(content_encoded_in_steps(step_counts))
    monkeypatch.setattr(
        Applier,
        "encodes_content",
        property(lambda self: False, lambda self, value: None),
        raising=False,
    )
    with pytest.raises(AssertionError, match="encoded at once"):
        run_in_virtual_time(content_encoded_in_steps(step_counts))


def test_command_is_void_if_its_leader_crashes_or_abandons_it(
    in_memory_cluster: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_in_virtual_time(leader_crashes_during_command())
    run_in_virtual_time(command_abandoned(monkeypatch))
    monkeypatch.setattr(proposals, "encode_fragment", lambda *_: b"")
    with pytest.raises(AssertionError, match="waits for fragments"):
        run_in_virtual_time(command_abandoned(monkeypatch))


def test_large_command_of_an_earlier_version_is_applied() -> None:
    """Earlier versions stored a large command in a single entry."""
    data = replace_command(1, 0, 30_000).encode()
    assert (
        len(data) > applier.LARGE_ENTRY_BYTES and apply_entries([Entry(1, 1, data)]).state.gen == 1
    )


# The body of a request.


def test_body_parsed_in_steps_equals_the_result_of_json(monkeypatch: pytest.MonkeyPatch) -> None:
    rng = random.Random(5)
    monkeypatch.setattr(json_stream, "LARGE_BODY_BYTES", 0)
    monkeypatch.setattr(json_stream, "ITEMS_PER_STEP", 3)
    monkeypatch.setattr(json_stream, "DECODED_BYTES_PER_STEP", 5)
    monkeypatch.setattr(json_stream, "LOOKAHEAD_CHARS", 7)
    item = [{"name": 'ä"', "a": [1, {}]}, 7, None, [], "x", 1e9]
    raw = {"gen": 1, "a": item * 3, "upsert": {"b": item, "c": {"d": {"b": 1}}}, "e": {}, "l": []}
    text, invalid, steps = json.dumps(raw, indent=2, ensure_ascii=False), 0, 0
    for n in range(3_000):
        at, inserted = rng.randrange(len(text)), rng.choice(["", *',]}":[{\\5 ', "NaN"])
        changed_text = text[:at] + inserted + text[at + n % 2 :]
        data = changed_text.encode(rng.choice(["utf-8", "utf-16", "utf-8-sig", "utf-32-le"]))
        data = data[: rng.choice((None, None, -1))]
        try:
            expected = repr(json.loads(data))
        except ValueError:
            invalid += 1
            with pytest.raises(ValueError):
                stepwise.run_to_completion(json_stream.loads_steps(data))
            continue
        assert repr(stepwise.run_to_completion(json_stream.loads_steps(data))) == expected
        steps += sum(1 for _ in json_stream.loads_steps(data))
    assert 300 < invalid < 2_900 and steps > 3_000
