"""Membership: the state machine in a simulated deterministic network, an exhaustive search of the
consensus, the codec, and real processes."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.gossip import core as core_module
from cairndale.gossip import wire
from cairndale.gossip.__main__ import read_config
from cairndale.gossip.core import ALIVE, Core, KnownMember, Send, Timing
from cairndale.gossip.cuts import Acceptor, AcceptorState, Alerts, Proposal, observers
from cairndale.gossip.shell import MemberError
from cairndale.gossip.standing import assess_standing
from cairndale.gossip.wire import (
    Body,
    Codec,
    GossipUpdate,
    InvalidMessage,
    Packet,
    Peer,
    ReplayWindow,
    View,
    build_view_change,
    removed_names,
)
from cairndale.lab.members import Net
from tests.testing.discovery import ROOT

FIXED = settings(derandomize=True, deadline=None, max_examples=60)
SEEDS = [1, 2, 3]


def peers(count: int) -> tuple[Peer, ...]:
    return tuple(Peer(f"m{n}", 1, "127.0.0.1", 9000 + n) for n in range(count))


def formed_fleet(size: int, seed: int, **options: Any) -> Net:
    net = Net(seed, **options)
    assert net.form(size) is not None
    net.run(net.now + 20)
    return net


def standing_counts(net: Net) -> dict[str, int]:
    counts: dict[str, int] = {}
    for node in net.running():
        assert node.core
        status = node.core.standing.status
        counts[status] = counts.get(status, 0) + 1
    return counts


def check_views(net: Net) -> None:
    """Checks that all members have the same view of each number, and that no member's view number
    decreases."""
    views_by_number: dict[int, View] = {}
    for node in net.nodes.values():
        numbers = [view.number for _, view in node.views if view.number]
        assert numbers == sorted(numbers), (node.name, numbers)
        for _, view in node.views:
            assert views_by_number.setdefault(view.number, view) == view or not view.number


# Failures in a simulated fleet.


@pytest.mark.parametrize("seed", SEEDS)
def test_failed_member_is_removed_and_rejoins_with_or_without_its_state(seed: int) -> None:
    net = formed_fleet(9, seed)
    assert standing_counts(net) == {"whole": 9}
    number_before = max(v.number for n in net.nodes.values() for _, v in n.views)
    net.kill("m0003")
    assert net.until(net.agree, 60) is not None
    assert standing_counts(net) == {"majority": 8}
    assert max(v.number for n in net.nodes.values() for _, v in n.views) == number_before + 1
    first_generation = next(
        p.generation for _, v in net.nodes["m0000"].views for p in v.members if p.name == "m0003"
    )
    net.start("m0003")
    assert net.until(net.agree, 60) is not None
    net.kill("m0003")
    # Without its state it may not act for the member that made the earlier promises: it gets a
    # higher generation.
    net.start("m0003", folder=False)
    assert net.until(lambda: net.agree() and "whole" in standing_counts(net), 60) is not None
    core = net.nodes["m0003"].core
    assert core and core.local.generation > first_generation
    check_views(net)


@pytest.mark.parametrize("seed", SEEDS)
def test_leaving_member_is_removed_without_a_suspicion(seed: int) -> None:
    net = formed_fleet(7, seed)
    net.leave("m0005")
    assert net.until(net.agree, 30) is not None
    net.run(net.now + 10)
    assert standing_counts(net) == {"whole": 6}  # no member counts as unreachable
    assert all(not n.core.unreachable for n in net.running() if n.core)


@pytest.mark.parametrize("seed", SEEDS)
def test_equal_partitions_change_no_view_and_a_minority_partition_is_removed(seed: int) -> None:
    net = formed_fleet(10, seed)
    minority = {"m0000", "m0004", "m0007"}
    net.cut = lambda a, b: (a in minority) != (b in minority)
    majority = set(net.nodes) - minority
    expected = {"majority": 7, "minority": 3}
    assert (
        net.until(lambda: net.agree(majority) and standing_counts(net) == expected, 120) is not None
    )
    for name in minority:
        assert len(net.nodes[name].views[-1][1].members) == 10  # the last view that it agreed on
    net.cut = lambda a, b: False
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 10}, 120) is not None
    half = set(list(net.nodes)[:5])
    net.cut = lambda a, b: (a in half) != (b in half)
    net.run(net.now + 60)
    assert standing_counts(net) == {"minority": 10}
    net.cut = lambda a, b: False
    assert net.until(lambda: standing_counts(net) == {"whole": 10}, 60) is not None
    check_views(net)


@pytest.mark.parametrize("seed", SEEDS)
def test_lossy_slow_or_flapping_member_causes_few_views(seed: int) -> None:
    net = formed_fleet(12, seed, loss=0.05)
    number_before = net.nodes["m0000"].views[-1][1].number
    net.slow["m0004"] = 0.8  # starved of CPU: it receives messages late
    for second in range(60):
        is_cut = second % 2
        net.cut = lambda a, b, is_cut=is_cut: bool(is_cut) and (a == "m0002") and b < "m0006"  # type: ignore[misc]
        net.run(net.now + 1)
    net.cut, net.slow = (lambda a, b: False), {}
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 12}, 60) is not None
    assert net.nodes["m0000"].views[-1][1].number <= number_before + 2, "nearly a view per second"
    check_views(net)


@pytest.mark.parametrize("seed", SEEDS)
def test_simultaneous_failure_of_half_the_fleet_takes_few_views(seed: int) -> None:
    net = formed_fleet(30, seed)
    number_before = net.nodes["m0000"].views[-1][1].number
    for name in list(net.nodes)[16:]:
        net.kill(name)
    assert (
        net.until(lambda: net.agree() and standing_counts(net) == {"majority": 16}, 120) is not None
    )
    assert net.nodes["m0000"].views[-1][1].number <= number_before + 3
    for name in list(net.nodes)[16:]:
        net.start(name)
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 30}, 120) is not None
    check_views(net)


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_keeps_its_view_when_all_members_pause_or_restart(seed: int) -> None:
    net = formed_fleet(8, seed)
    view_before = net.nodes["m0000"].views[-1][1]
    for name in net.nodes:
        net.stop(name)
    net.run(net.now + 45)
    for name in net.nodes:
        net.go_on(name)
    net.run(net.now + 30)
    assert standing_counts(net) == {"whole": 8} and net.nodes["m0000"].views[-1][1] == view_before
    for name in net.nodes:
        net.kill(name)
    net.run(net.now + 10)
    for name in net.nodes:
        net.start(name)
    assert net.until(lambda: standing_counts(net) == {"whole": 8}, 60) is not None
    assert net.nodes["m0003"].views[-1][1] == view_before  # the same view: no member was removed


@pytest.mark.parametrize("seed", SEEDS)
def test_resumed_member_with_stale_updates_overrides_nothing(seed: int) -> None:
    net = formed_fleet(8, seed)
    net.stop("m0002")
    assert net.until(lambda: net.agree(set(net.nodes) - {"m0002"}), 60) is not None
    net.kill("m0005")
    net.run(net.now + 2)
    net.start("m0005")
    net.go_on("m0002")
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 8}, 120) is not None
    check_views(net)


@pytest.mark.parametrize("seed", SEEDS)
def test_member_that_reaches_both_sides_of_a_partition_keeps_one_sequence_of_views(
    seed: int,
) -> None:
    net = formed_fleet(9, seed)
    left, right = {"m0001", "m0002", "m0003", "m0004"}, {"m0005", "m0006", "m0007", "m0008"}
    net.cut = lambda a, b: (a in left and b in right) or (a in right and b in left)
    net.run(net.now + 60)
    net.cut = lambda a, b: False
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 9}, 120) is not None
    check_views(net)


def test_second_member_with_the_same_name_is_refused() -> None:
    net = formed_fleet(4, 1)
    net.add(["twin"])
    duplicate = net.nodes["twin"]
    net.start("twin")
    assert duplicate.core
    duplicate.core.local = Peer("m0002", 0, *duplicate.address)
    net.run(net.now + 20)
    assert duplicate.core.view is None and duplicate.core.refusal.startswith("m0002 is there")
    assert standing_counts(net)["whole"] == 4


def test_member_removed_by_an_operator_does_not_count_as_unreachable() -> None:
    net = formed_fleet(5, 2)
    net.kill("m0004")
    node = net.nodes["m0000"]
    assert node.core
    net._carry_out(node, node.core.remove(net.now, "m0004"))
    assert net.until(lambda: net.agree() and standing_counts(net) == {"whole": 4}, 10) is not None


def test_simulation_is_deterministic_per_seed() -> None:
    def run(seed: int) -> list[Any]:
        net = formed_fleet(6, seed, loss=0.1)
        net.kill("m0001")
        net.run(net.now + 30)
        return [(n.name, n.sent, n.bytes, n.views) for n in net.nodes.values()]

    assert run(5) == run(5) != run(6)


def test_datagram_size_and_traffic_per_member_are_bounded() -> None:
    bytes_per_s = {}
    for size in (10, 60):
        net = formed_fleet(size, 1)
        before = [(n.sent, n.bytes) for n in net.nodes.values()]
        net.run(net.now + 60)
        bytes_per_s[size] = (
            sum(n.bytes - b for n, (_, b) in zip(net.nodes.values(), before, strict=True))
            / size
            / 60
        )
        assert net.largest <= wire.MAX_DATAGRAM_BYTES
    assert bytes_per_s[60] < 1.3 * bytes_per_s[10]


# Merging of gossip updates.

MEMBER_UPDATES = st.tuples(st.sampled_from(["alive", "suspect", "left"]), st.integers(0, 6))


@FIXED
@given(st.lists(MEMBER_UPDATES, max_size=8), st.randoms(use_true_random=False))
def test_result_does_not_depend_on_the_order_of_gossip_updates(
    updates: list[tuple[str, int]], rng: random.Random
) -> None:
    def final_state(ordered: list[tuple[str, int]]) -> tuple[str, int]:
        core = Core(peers(2)[0], "f", Timing(), random.Random(1))
        core.others["m1"] = KnownMember(peers(2)[1])
        for kind, incarnation in ordered:
            core._apply_update(0.0, GossipUpdate(kind, "m1", incarnation, "m0"))
        return core.others["m1"].state, core.others["m1"].incarnation

    shuffled = list(updates)
    rng.shuffle(shuffled)
    assert final_state(updates) == final_state(shuffled)


def test_forged_incarnations_neither_fail_a_member_nor_exhaust_its_range() -> None:
    core = Core(peers(2)[0], "f", Timing(), random.Random(1))
    core.others["m1"] = KnownMember(peers(2)[1], 5)
    for incarnation in (
        core_module.MAX_INCARNATION,
        core_module.MAX_INCARNATION - 1,
        -3,
        5 + core_module.MAX_INCARNATION_STEP + 1,
    ):
        core._apply_update(0.0, GossipUpdate("suspect", "m1", incarnation, "m9"))
        core._apply_update(0.0, GossipUpdate("alive", "m0", incarnation, "m9"))
        core._apply_update(0.0, GossipUpdate("suspect", "m0", incarnation, "m9"))
    assert (
        core.others["m1"].state == ALIVE
        and core.incarnation <= 2
        and core.drop_counts["forged"] == 3
    )


def test_alerts_are_classified_by_the_low_and_high_watermarks() -> None:
    view = View(1, peers(20))
    observed_by = observers(view)
    assert all(len(w) >= 4 and name not in w for name, w in observed_by.items())
    alerts = Alerts(view)
    for observer in observed_by["m3"]:
        assert alerts.add(observer, "m3", 1) and not alerts.add(observer, "m3", 1)
    assert not alerts.add(next(n for n in observed_by if n not in observed_by["m3"]), "m3", 1)
    alerts.add(observed_by["m7"][0], "m7", 1)
    assert alerts.stable_and_unstable() == ({"m3"}, set())
    for observer in observed_by["m7"][1:3]:
        alerts.add(observer, "m7", 1)
    assert alerts.stable_and_unstable() == ({"m3"}, {"m7"})
    alerts.clear("m7", 2)
    alerts.clear("m3", 1)
    assert alerts.stable_and_unstable() == ({"m3"}, set())


# Consensus, over all orders of messages.


def explore_votes(crash: Callable[[AcceptorState], AcceptorState]) -> tuple[int, int]:
    """Explores all states that can be reached when three members decide on one view, the first two
    propose different changes, and the third is killed and restarted once, with what `crash` leaves
    of its acceptor state. Messages arrive in any order or never; a member's own vote counts at
    once. Returns the number of states, and the largest number of changes decided in one of them."""
    view = View(4, peers(3))
    preferred = {"m0": build_view_change(view, {"m2"}), "m1": build_view_change(view, {"m0"})}
    others = {"m0": ("m1", "m2"), "m1": ("m0", "m2")}

    def deliver(state: Any, source: str, to: str, kind: str, ballot: Any, details: Any) -> Any:
        """The state after the delivery of a message, including what follows from it at once."""
        acceptors, proposals, in_flight, decided, restarted = state
        if kind in ("prepare", "accept"):
            acceptor = Acceptor(dict(acceptors)[to])
            new_state = (
                acceptor.prepare(view, ballot)
                if kind == "prepare"
                else acceptor.accept(view, ballot, details)
            )
            if new_state is None:
                return state
            answer = (
                ("promise", ballot, (new_state.accepted_ballot, new_state.change))
                if kind == "prepare"
                else ("accepted", ballot, None)
            )
            acceptors = tuple((n, new_state if n == to else h) for n, h in acceptors)
            state = acceptors, proposals, in_flight, decided, restarted
            if to == source:
                return deliver(state, to, source, *answer)
            return acceptors, proposals, in_flight | {(to, source, *answer)}, decided, restarted
        name, promises, accepted, proposed = next(r for r in proposals if r[0] == to)
        proposal = Proposal(view, (1, to), preferred[to], dict(promises), set(accepted), proposed)
        if kind == "promise":
            chosen = proposal.add_promise(source, *details)
        elif (change := proposal.add_acceptance(source)) is not None:
            decided |= {change}
        updated = (
            name,
            tuple(sorted(proposal.promises.items())),
            frozenset(proposal.accepted_by),
            proposal.change,
        )
        proposals = tuple(updated if r[0] == to else r for r in proposals)
        if kind == "promise" and chosen is not None:
            in_flight |= {(to, other, "accept", ballot, chosen) for other in others[to]}
            return deliver(
                (acceptors, proposals, in_flight, decided, restarted),
                to,
                to,
                "accept",
                ballot,
                chosen,
            )
        return acceptors, proposals, in_flight, decided, restarted

    start: Any = (
        tuple((p.name, AcceptorState()) for p in view.members),
        tuple((n, (), frozenset(), None) for n in preferred),
        frozenset((n, to, "prepare", (1, n), None) for n in preferred for to in others[n]),
        frozenset(),
        False,
    )
    for name in preferred:
        start = deliver(start, name, name, "prepare", (1, name), None)
    queue, seen, most_decided = deque([start]), {start}, 0
    while queue:
        state = queue.popleft()
        acceptors, proposals, in_flight, decided, restarted = state
        most_decided = max(most_decided, len(decided))
        following = [
            deliver((acceptors, proposals, in_flight - {m}, decided, restarted), *m)
            for m in in_flight
        ]
        if not restarted:
            restarted_acceptors = tuple((n, crash(h) if n == "m2" else h) for n, h in acceptors)
            following.append((restarted_acceptors, proposals, in_flight, decided, True))
        for after in following:
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return len(seen), most_decided


def test_at_most_one_change_is_decided_per_view_in_any_message_order() -> None:
    states, most_decided = explore_votes(lambda state: state)  # it was written to disk
    assert most_decided == 1 and states > 1000


def test_acceptor_that_loses_its_promise_allows_two_decisions() -> None:
    """Mutation of the test above: shows why promises are synced to disk before they are sent."""
    assert explore_votes(lambda state: AcceptorState())[1] == 2


def test_standing_determines_whether_a_member_may_act() -> None:
    baseline = {
        "size": 5,
        "alive": 4,
        "suspect": 0,
        "unreachable": 0,
        "unhealthy": False,
        "views_differ": False,
        "no_recent_answer": False,
        "now": 9.0,
        "last_answer_at": 8.0,
    }

    def status(**changes: Any) -> str:
        standing = assess_standing(**(baseline | changes))
        assert (
            standing.may_act == (standing.status in ("whole", "majority")) and standing.age == 1.0
        )
        return standing.status

    assert (
        status() == "whole"
        and status(unreachable=1) == "majority"
        and status(alive=3, suspect=1) == "majority"
    )
    assert (
        status(size=4, alive=1, suspect=2)
        == status(alive=1)
        == status(unhealthy=True, alive=1)
        == "minority"
    )
    assert (
        status(alive=0) == status(size=0, alive=0) == "alone" and status(size=1, alive=0) == "whole"
    )
    assert (
        status(unhealthy=True)
        == status(views_differ=True)
        == status(no_recent_answer=True)
        == "unsure"
    )


# Message formats.


def make_packet(**changes: Any) -> Packet:
    fields = {
        "fleet": "f",
        "sender": "m1",
        "boot_epoch": 1,
        "packet_number": 1,
        "body": Body("ping", 7),
        "updates": (),
    } | changes
    return Packet(**fields)


def test_invalid_and_replayed_packets_are_dropped_with_their_reason() -> None:
    key = b"k" * 32
    codec, other = Codec("f", key), Codec("f", b"j" * 32)
    valid = codec.encode(make_packet())

    def reason(data: bytes, host: str = "10.0.0.1", at: Codec = codec) -> str:
        with pytest.raises(InvalidMessage) as error:
            at.decode(data, host)
        return str(error.value)

    assert codec.decode(valid, "10.0.0.1").body.seq == 7 and reason(valid) == "replayed"
    assert reason(other.encode(make_packet(packet_number=2))) == "key"
    assert reason(Codec("g", key).encode(make_packet(fleet="g", packet_number=2))) == "fleet"
    assert reason(codec.encode(make_packet(packet_number=2, version=3))) == "version"
    assert reason(b"x" * 2000) == "oversized" and reason(b"") == reason(b"im") == "garbage"
    assert reason(codec.seal(b"\xc1 no packet")) == "garbage"
    assert reason(codec.encode(make_packet(sender=""))) == "garbage"
    assert reason(Codec("f").encode(make_packet()), "10.0.0.1", Codec("f")) == "stranger"
    assert Codec("f").decode(Codec("f").encode(make_packet()), "::1").sender == "m1"
    for n in range(len(valid)):
        corrupted = valid[:n] + bytes([valid[n] ^ 1]) + valid[n + 1 :]
        assert reason(valid[:n]) in ("garbage", "key") and reason(corrupted) in ("garbage", "key")
    window = ReplayWindow()
    assert [window.accepts(2, n) for n in (1, 3, 2, 2, 200, 3)] == [
        True,
        True,
        True,
        False,
        True,
        False,
    ]
    assert not window.accepts(1, 999) and window.accepts(3, 1)


@FIXED
@given(st.binary(max_size=200))
def test_random_bytes_are_never_decoded(data: bytes) -> None:
    for sealed in (data, Codec("f").seal(data)):
        with pytest.raises(InvalidMessage):
            Codec("f").decode(sealed, "127.0.0.1")


def test_updates_of_a_later_version_are_forwarded_with_unknown_fields() -> None:
    later = msgspec.msgpack.encode(
        {"kind": "alive", "name": "m1", "incarnation": 3, "by": "m1", "load": [1, 2]}
    )
    core = Core(peers(3)[0], "f", Timing(), random.Random(1))
    core.view = View(1, peers(3))
    core.others = {p.name: KnownMember(p) for p in peers(3)[1:]}
    received = make_packet(
        updates=(
            msgspec.Raw(later),
            msgspec.Raw(msgspec.msgpack.encode({"kind": "new-kind", "x": 1})),
        )
    )
    actions = core.receive(
        0.0,
        ("127.0.0.1", 9001),
        msgspec.msgpack.decode(msgspec.msgpack.encode(received), type=Packet),
    )
    assert core.others["m1"].incarnation == 3
    (ack,) = [a for a in actions if isinstance(a, Send)]
    assert [bytes(r) for r in ack.packet.updates] == [later]
    later_packet = {
        "fleet": "f",
        "sender": "m1",
        "boot": 1,
        "count": 1,
        "version": 2,
        "more": 5,
        "body": {"kind": "ping", "seq": 1, "hint": "x"},
    }
    codec = Codec("f")
    assert codec.decode(codec.seal(msgspec.msgpack.encode(later_packet)), "127.0.0.1").body.seq == 1


def test_view_change_encodes_removals_as_one_bit_per_member() -> None:
    view = View(3, peers(9))
    change = build_view_change(view, {"m0", "m8"}, (Peer("new", 1, "127.0.0.1", 1),))
    assert len(change.removed) == 2 and removed_names(view, change) == ["m0", "m8"]
    after = view.apply(change)
    assert after.number == 4 and [p.name for p in after.members] == [
        *(f"m{n}" for n in range(1, 8)),
        "new",
    ]
    assert len({view.digest, after.digest, View(4, view.members).digest}) == 3


# Real processes.


def test_all_configuration_errors_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "m.toml"
    path.write_text(
        'name = ""\nfleet = "f"\nlisten = "here"\nfolder = "x"\nseeds = ["1.2.3.4"]\nsead = 1\n'
    )
    with pytest.raises(MemberError) as error:
        read_config(path)
    assert [line.split(": ")[1] for line in str(error.value).splitlines()] == ["sead", "name"]
    path.write_text(
        'name = "a"\nfleet = "f"\nlisten = "10.0.0.1:1"\nfolder = "x"\nseeds = ["1.2.3.4"]\n'
    )
    with pytest.raises(MemberError) as error:
        read_config(path)
    assert [line.split(": ")[1] for line in str(error.value).splitlines()] == [
        "seeds[0]",
        "key_file",
    ]


FIVE_MEMBERS = """
name = "five"
length_s = 11
settle_s = 20
[fleet]
lists = 0
ingresses = 0
servers = 0
counter = false
members = 5
[load]
writers = 0
readers = 0
clients = 0
"""


@pytest.mark.parametrize(
    "fault", ['kind = "cut"\nfrom = ["m0", "m1"]\n', 'kind = "kill"\non = ["m1", "m2"]\n']
)
def test_real_members_agree_again_after_a_partition_or_kills(tmp_path: Path, fault: str) -> None:
    path = tmp_path / "s.toml"
    # The view without the unreachable members is decided after about 3.2 s on an idle machine, and
    # later on a slow one: members that are slow themselves extend their timeouts.
    path.write_text(f"{FIVE_MEMBERS}[[fault]]\nat_s = 0.5\nlen_s = 10\n{fault}")
    command = [sys.executable, "-m", "cairndale.lab", "faults", "run", str(path), "--json"]
    result = subprocess.run(
        [*command, "--out", str(tmp_path / "o")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    calls = [json.loads(line) for line in (tmp_path / "o/history.jsonl").read_text().splitlines()]
    # the change of the view was decided during the fault
    assert {c[2] for c in calls} == {"view"} and len({c[7] for c in calls}) >= 2


def test_no_ingress_imports_membership() -> None:
    script = (
        "import sys, cairndale.ingress.__main__; "
        "print([m for m in sys.modules if 'gossip' in m or 'msgspec' in m])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert result.stdout.strip() == "[]"
