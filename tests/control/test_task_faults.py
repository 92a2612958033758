"""Faults in single messages and background tasks of control nodes, which must not end service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cairndale.control import apply_loop
from cairndale.control.applier import Applier
from cairndale.control.follower import Follower
from cairndale.control.leadership import Leadership
from cairndale.control.lease_enrolment import LeaseEnrolment
from cairndale.control.raft_driver import RaftDriver
from cairndale.control.snapshot_worker import SnapshotWorker
from cairndale.control.watch_responses import WatchResponseBuilder
from cairndale.control.watch_server import WatchServer
from cairndale.registry.heartbeats import HeartbeatCollector
from tests.testing.control_calls import (
    first_change,
    now,
    submit_change,
)
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
)

pytestmark = pytest.mark.usefixtures("memory_cluster")


# Faults in single messages and tasks.


def fail_once(monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> list[Any]:
    """Lets the first call of this method at each instance raise; returns those instances."""
    failed: list[Any] = []
    original = getattr(owner, name)

    def method(self: Any, *args: Any, **kwargs: Any) -> Any:
        if not any(self is one for one in failed):
            failed.append(self)
            raise ZeroDivisionError("on purpose")
        return original(self, *args, **kwargs)

    monkeypatch.setattr(owner, name, method)
    return failed


async def change_after_tasks_failed(fail: Callable[[], list[Any]], violations: list[str]) -> None:
    cluster = ControlCluster(Path("tasks"))
    await cluster.start_all()
    history = first_change()
    history.sent[2] = 1, configuration(2, 1)
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    failed = fail()
    await asyncio.sleep(15.0)
    leader = cluster.leader()
    if leader is None or not failed:
        violations.append(f"leader {leader}, failed {failed}")
        return
    begun = now()
    if await submit_change(cluster, history, 2, [leader.settings.ip]) != 200:
        violations.append("no change is accepted")
    if now() - begun > 1.0:
        violations.append(f"a change took {now() - begun:.1f} s")
    if await cluster.send_heartbeat(cluster.hosts[-1], "s9", 1) != 200:
        violations.append("no heartbeat is accepted")
    await asyncio.sleep(2.0)
    if [ingress.gen for ingress in cluster.ingresses] != [2, 2]:
        violations.append("not all ingresses have the change")
    for host, node in cluster.nodes.items():
        if "s9" not in node.endpoint_registry.endpoints:
            violations.append(f"{host} does not know the server")
        if any(task.done() for task in node._tasks):
            violations.append(f"a task of {host} has ended")


TASKS = {
    "tick": (RaftDriver, "tick"),
    "snapshots": (SnapshotWorker, "step_and_pause"),
    "follower watch": (Follower, "_watch_request"),
    "heartbeat reports": (HeartbeatCollector, "report"),
    "watch server": (WatchServer, "answer_due"),
    "removal of lease holders": (LeaseEnrolment, "_remove_expired"),
}


# Guards against a task that ends by an unexpected exception while its process goes on leading.
@pytest.mark.parametrize("task", TASKS)
def test_each_task_of_a_control_node_goes_on_after_an_exception(
    task: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    violations = list[str]()
    run_in_virtual_time(
        change_after_tasks_failed(lambda: fail_once(monkeypatch, *TASKS[task]), violations)
    )
    assert not violations


async def updates_that_cannot_be_made(
    monkeypatch: pytest.MonkeyPatch, violations: list[str]
) -> None:
    """For 10 s no update can be made; the leases of the ingresses must not end."""
    cluster = ControlCluster(Path("unmade"))
    await cluster.start_all()
    history = first_change()
    history.sent[2] = 1, configuration(2, 1)
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    # A change is acknowledged without an ingress that holds no lease yet.
    await cluster.wait_until(lambda: [ingress.gen for ingress in cluster.ingresses] == [1, 1])
    leader = cluster.leader()
    assert leader

    def fail(*_: Any) -> None:
        raise ZeroDivisionError("on purpose")

    with monkeypatch.context() as patch:
        patch.setattr(WatchResponseBuilder, "update", fail)
        task = asyncio.get_running_loop().create_task(
            submit_change(cluster, history, 2, [leader.settings.ip])
        )
        for _ in range(100):
            await asyncio.sleep(0.1)
            silent = [
                name
                for name, lease in leader.node_registry.leases.items()
                if lease.node.kind == "edge"
                and (now() - lease.last_contact_at > 2.0 or lease.lease_end < now() + 2.0)
            ]
            if silent:
                violations.append(f"no responses for {silent}")
                break
        if task.done() and task.result() == 200:
            violations.append("acknowledged, though no ingress has it")
    if await task not in (0, 200, 503):
        violations.append(f"answered {task.result()}")
    if await submit_change(cluster, history, 2, [leader.settings.ip]) != 200:
        violations.append("no change is accepted")


# Guards against one message that cannot be made and that ends all service (review/3).
def test_an_update_that_cannot_be_made_does_not_end_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    violations = list[str]()
    run_in_virtual_time(updates_that_cannot_be_made(monkeypatch, violations))
    assert not violations


async def changes_after_a_failed_turn(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, violations: list[str]
) -> None:
    """One call raises while an entry is applied; later entries must be applied all the same."""
    cluster = ControlCluster(Path("turns"))
    await cluster.start_all()
    history = first_change()
    history.sent |= {gen: (gen - 1, configuration(gen, gen - 1)) for gen in (2, 3)}
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    failed = fail_once(monkeypatch, owner, name)
    for gen in (2, 3):
        if await submit_change(cluster, history, gen, cluster.hosts) != 200:
            violations.append(f"{gen} is not accepted")
    await asyncio.sleep(5.0)
    if not failed:
        violations.append("nothing failed")
    for host, node in cluster.nodes.items():
        if node.state.gen != 3:
            violations.append(f"{host} has applied {node.state.gen}")
    if [ingress.gen for ingress in cluster.ingresses] != [3, 3]:
        violations.append("not all ingresses have the change")


# Guards against a member that votes and leads, but applies no entry any more.
def test_entries_are_applied_after_a_listener_has_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    violations = list[str]()
    run_in_virtual_time(
        changes_after_a_failed_turn(monkeypatch, Leadership, "apply_state", violations)
    )
    assert not violations


# Guards against a member that goes on without an entry that the others have applied.
def test_a_process_that_cannot_apply_an_entry_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    codes = list[int]()
    monkeypatch.setattr(apply_loop.os, "_exit", codes.append)
    run_in_virtual_time(changes_after_a_failed_turn(monkeypatch, Applier, "step", list[str]()))
    assert codes == [1] * 5  # at each member once
