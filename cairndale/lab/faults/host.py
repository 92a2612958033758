"""One run: starts the processes and relays, runs the callers, carries out the fault schedule and
checks the history."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec

from cairndale.lab.faults.calls import (
    CallerContext,
    Client,
    ConnectFailed,
    ListReader,
    ListWriter,
    ResponseLost,
    Target,
    Viewer,
    send_request,
    value_of,
)
from cairndale.lab.faults.history import HistoryWriter
from cairndale.lab.faults.judge import Observations, Verdict, check_run
from cairndale.lab.faults.launch import DISK_FAILING, DISK_FULL
from cairndale.lab.faults.links import CLEAR, Conditions, combine
from cairndale.lab.faults.processes import LEASE_MS, Process, Processes
from cairndale.lab.faults.schedule import LINK_FAULTS, Fault, Schedule, to_toml
from cairndale.lab.live.host import LiveError
from cairndale.lab.live.ports import HOST
from cairndale.lab.live.worker import PipedProcess
from cairndale.lab.play import write

START_TIMEOUT_S = 30.0  # for all processes to be ready
OPEN_CALL_SLACK_S = 2.0  # for operations in flight at the end of the load
AGREEMENT_POLL_S = 0.1  # between checks whether all processes agree
OPERATOR_DELAY_S = 1.0  # from the end of the load to the operator's steps after a failover
RESTART_DELAY_S = 0.4  # between attempts to start a process
BACKUP_INTERVAL_S = 1.0  # between copies of the folders that a fault restores
MAX_LOOP_LAG_S = 2.0  # of the lab's own event loop; beyond it the run is inconclusive
MAX_RELAY_CPU_SHARE = 0.8  # of one core; beyond it the run is inconclusive
RESULT_FILE = "run.json"


class FaultInterval(msgspec.Struct):
    """A fault as it was carried out. Times are in s from the start of the run."""

    fault: int  # index in the schedule
    what: str
    begin: float
    end: float = -1.0


class StateInterval(msgspec.Struct):
    """A period during which a process was in one state."""

    process: str
    state: str  # up, stopped
    begin: float
    end: float = -1.0


class Result(msgspec.Struct):
    schedule: Schedule
    seed: int
    verdict: Verdict
    happened: list[FaultInterval]
    bars: list[StateInterval]
    seen: Observations
    length_s: float
    relay: dict[str, float] = {}
    plain: str = ""  # the schedule's text


class FaultRun:
    """Carries out one run of a schedule."""

    def __init__(self, schedule: Schedule, seed: int, folder: Path) -> None:
        self.schedule, self.seed, self.folder = schedule, seed, folder
        self.processes = Processes(schedule, seed, folder)
        self.observations = Observations()
        self.happened: list[FaultInterval] = []
        self.bars: list[StateInterval] = []
        self.relay: PipedProcess | None = None
        self._opened: dict[str, int] = {}
        self._proxies_opened = asyncio.Event()
        self._relay_usage: dict[str, float] = {}
        self._link_faults: dict[tuple[str, str], list[tuple[Fault, Conditions]]] = {}
        self._connect_modes: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._began = time.monotonic_ns()
        self._last_fault = 0.0
        self._max_loop_lag = 0.0

    def now(self) -> int:
        return (time.monotonic_ns() - self._began) // 1000

    def _now_s(self) -> float:
        return self.now() / 1e6

    async def run(self) -> Result:
        """Raises LiveError if the processes cannot be started. No process is left in any case."""
        with HistoryWriter(self.folder) as history:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._start()
                await self._play(history)
                await self._await_agreement()
            except TimeoutError:
                raise LiveError(
                    f"not all processes were ready in {START_TIMEOUT_S:.0f} s"
                ) from None
            finally:
                await self._end()
        if self._relay_usage.get("cpu_s", 0.0) > MAX_RELAY_CPU_SHARE * self._now_s():
            self.observations.void.append("the relays were the bottleneck")
        verdict = await asyncio.to_thread(check_run, self.folder, self.observations)
        return Result(
            self.schedule,
            self.seed,
            verdict,
            self.happened,
            self.bars,
            self.observations,
            self._now_s(),
            self._relay_usage,
            to_toml(self.schedule),
        )

    # Starting.

    async def _start(self) -> None:
        self.relay = PipedProcess(
            "relay", ["cairndale.lab.faults.relay"], self.folder, self._on_relay_message
        )
        await self.relay.ready
        proxies = [
            (f"{a}>{b}#{port}", HOST, self.processes.all[b].ports[port])
            for a, b, port in self.processes.proxies()
        ]
        datagram_routes = [
            (f"{a}>{b}#{port}/udp", HOST, self.processes.all[b].ports[port])
            for a, b, port in self.processes.datagram_routes()
        ]
        self.relay.send(tcp=proxies, udp=datagram_routes)
        await self._proxies_opened.wait()
        self.processes.route(self._opened)
        first = [p for p in self.processes.all.values() if p.kind in "lsc"]
        await asyncio.gather(*(self._first_start(p) for p in first))
        for number in range(self.schedule.fleet.servers if self.processes.of_kind("l") else 0):
            body = json.dumps(self._registration(f"s{number}") | {"weight": 1.0}).encode()
            status, response_body = await send_request(
                self.processes.all["l0"].ports["writes"], "PUT", f"/servers/s{number}", body, 10.0
            )
            if status != 200:
                raise LiveError(f"s{number} was not registered: {response_body.decode()}")
        others = [*self.processes.of_kind("i"), *self.processes.of_kind("m")]
        await asyncio.gather(*(self._first_start(p) for p in others))
        while self._members() and self._view_differences(
            [(p, await self._query_state(p)) for p in self.processes.of_kind("m")]
        ):
            await asyncio.sleep(AGREEMENT_POLL_S)

    def _members(self) -> bool:
        return bool(self.processes.of_kind("m"))

    def _registration(self, name: str) -> dict[str, Any]:
        return {"address": self.processes.address(name, "serve"), "lease_ms": LEASE_MS}

    async def _first_start(self, process: Process) -> None:
        if not await self.processes.start(process):
            raise LiveError(f"{process.name} did not start: {process.log[-1000:]}")
        self._record_state(process, "up")

    def _on_relay_message(self, message: dict[str, Any]) -> None:
        if "opened" in message:
            self._opened = message["opened"]
            self._proxies_opened.set()
        if "cpu_s" in message:
            self._relay_usage = message

    def _record_state(self, process: Process, state: str) -> None:
        """Begins a new state of the process; an empty state means that it is not running."""
        for bar in reversed(self.bars):
            if bar.process == process.name:
                if bar.end < 0:
                    bar.end = self._now_s()
                break
        if state:
            self.bars.append(StateInterval(process.name, state, self._now_s()))

    # The run.

    def _task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.observations.void.append(f"a task of the lab failed: {error!r}")

    async def _play(self, history: HistoryWriter) -> None:
        self._began = time.monotonic_ns()
        for bar in self.bars:
            bar.begin = 0.0
        schedule, load = self.schedule, self.schedule.load
        registers = {p.name: self._registration(p.name) for p in self.processes.of_kind("s")}
        names = {
            self.processes.address(p.name, "writes"): p.name for p in self.processes.of_kind("l")
        }
        context = CallerContext(
            history, self.now, load.timeout_ms / 1000, load.pause_ms / 1000, registers, names
        )
        callers: list[Any] = [
            Viewer(
                name,
                context,
                self.processes.of_kind("m"),
                random.Random(f"caller {self.seed} {name}"),
            )
            for name in schedule.callers()
            if name[0] == "v" and self._members()
        ]
        for name in schedule.callers():
            rng = random.Random(f"caller {self.seed} {name}")
            if name[0] == "v":
                continue
            make = {"w": ListWriter, "r": ListReader, "q": Client}[name[0]]
            targets = [
                self._target(name, p)
                for p in self.processes.of_kind("i" if make is Client else "l")
            ]
            if targets and registers:
                callers.append(make(name, context, targets, rng))
        faults = [self._task(self._run_fault(n, f)) for n, f in enumerate(schedule.fault)]
        monitors = [
            self._task(self._supervise()),
            self._task(self._measure_loop_lag()),
            self._task(self._back_up_folders()),
        ]
        caller_tasks = [self._task(c.run()) for c in callers]
        await asyncio.sleep(schedule.length_s)
        if faults:
            await asyncio.wait(faults, timeout=START_TIMEOUT_S)
        for task in caller_tasks:
            task.cancel()  # operations in flight stay open, with an unknown outcome
        await asyncio.gather(*caller_tasks, return_exceptions=True)
        context.close()
        for task in monitors[1:]:
            task.cancel()
        if self._max_loop_lag > MAX_LOOP_LAG_S:
            self.observations.void.append(f"the lab's own loop was {self._max_loop_lag:.1f} s late")

    def _target(self, caller: str, process: Process) -> Target:
        """The process as this caller reaches it, through relays."""
        return Target(
            process.name,
            {p: self._opened.get(f"{caller}>{process.name}#{p}", 0) for p in process.ports},
        )

    async def _measure_loop_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self._max_loop_lag = max(self._max_loop_lag, time.monotonic() - before - 0.05)

    async def _back_up_folders(self) -> None:
        """Copies the folders that a fault will restore."""
        names = {
            n for f in self.schedule.fault if f.folder == "old" for n in self.schedule.select(f.on)
        }
        while names:
            for name in names:
                process = self.processes.all[name]
                if process.up and not process.stopped:
                    await asyncio.to_thread(self.processes.back_up, process, self._now_s())
            await asyncio.sleep(BACKUP_INTERVAL_S)

    async def _supervise(self) -> None:
        """Records processes that end unexpectedly, and restarts them as a supervisor would."""
        while True:
            await asyncio.sleep(0.05)
            for process in self.processes.all.values():
                if (
                    process.up
                    and process.popen
                    and process.popen.poll() is not None
                    and not process.expected
                ):
                    process.up = False
                    code = process.popen.returncode
                    self.observations.crashes.append(
                        f"{process.name} ended with {code} at {self._now_s():.2f} s: "
                        f"{_last_log_line(process)}"
                    )
                    self._record_state(process, "")
                    self._update_connect_modes()
                    self._task(self._restart(process))

    async def _restart(self, process: Process) -> None:
        """Restarts the process, with retries only while its disk has a fault: any other failure to
        start is a crash."""
        while not await self.processes.start(process):
            if process.expected:
                return
            if not process.bad_disk and process.popen:
                code = process.popen.poll()
                self.observations.crashes.append(
                    f"{process.name} did not start ({code}): {_last_log_line(process)}"
                )
                return
            await asyncio.sleep(RESTART_DELAY_S)
        self._record_state(process, "up")
        self._update_connect_modes()

    # Faults.

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self._now_s()))

    async def _run_fault(self, number: int, fault: Fault) -> None:
        await self._sleep_until(fault.at_s)
        end = fault.at_s + fault.len_s
        if fault.kind in LINK_FAULTS:
            await self._run_link_fault(number, fault, end)
        else:
            chosen = [self.processes.all[n] for n in self.schedule.select(fault.on)]
            await asyncio.gather(
                *(self._run_process_fault(number, fault, process, end) for process in chosen)
            )
        self._last_fault = max(self._last_fault, self._now_s())

    def _begin_fault(self, number: int, what: str) -> FaultInterval:
        interval = FaultInterval(number, what, self._now_s())
        self.happened.append(interval)
        return interval

    async def _run_link_fault(self, number: int, fault: Fault, end: float) -> None:
        pairs = self.schedule.directions(fault)
        interval = self._begin_fault(number, fault.kind)
        if fault.kind == "reset":
            assert self.relay
            self.relay.send(reset=[f"{a}>{b}" for a, b in pairs])
        elif fault.kind == "flap":
            bad = False
            while self._now_s() < end:
                bad = not bad
                self._set_link_fault(pairs, fault, bad)
                await self._sleep_until(min(end, self._now_s() + fault.every_s / 2))
            if bad:
                self._set_link_fault(pairs, fault, False)
        else:
            self._set_link_fault(pairs, fault, True)
            await self._sleep_until(end)
            self._set_link_fault(pairs, fault, False)
        interval.end = self._now_s()

    def _set_link_fault(self, pairs: list[tuple[str, str]], fault: Fault, on: bool) -> None:
        """Applies a fault to links, or removes it."""
        assert self.relay
        conditions = fault.conditions() if fault.kind not in ("refuse", "unanswered") else CLEAR
        for pair in pairs:
            active = self._link_faults.setdefault(pair, [])
            if on:
                active.append((fault, conditions))
            else:
                active.remove((fault, conditions))
        changed = {f"{a}>{b}": combine(c for _, c in self._link_faults[a, b]) for a, b in pairs}
        self.relay.send(set={name: msgspec.to_builtins(c) for name, c in changed.items()})
        self._update_connect_modes()

    def _update_connect_modes(self) -> None:
        """Sets how relays treat new connections: a cut link leaves them unanswered, and a process
        that is not running refuses them."""
        assert self.relay
        changed: dict[str, str] = {}
        for a, b, _ in self.processes.proxies():
            active = self._link_faults.get((a, b), [])
            kinds = {f.kind for f, _ in active}
            cut = any(c.cut for _, c in [*active, *self._link_faults.get((b, a), [])])
            mode = "open"
            if cut or "unanswered" in kinds:
                mode = "unanswered"
            elif "refuse" in kinds or not self.processes.all[b].up:
                mode = "refuse"
            if self._connect_modes.get(f"{a}>{b}", "open") != mode:
                changed[f"{a}>{b}"] = mode
        self._connect_modes |= changed
        if changed:
            self.relay.send(connect=changed)

    async def _run_process_fault(
        self, number: int, fault: Fault, process: Process, end: float
    ) -> None:
        if not process.up or process.stopped:
            self._begin_fault(
                number, f"{fault.kind} {process.name}: skipped, the process was not running"
            ).end = self._now_s()
            return
        interval = self._begin_fault(number, f"{fault.kind} {process.name}")
        match fault.kind:
            case "kill" | "terminate":
                await self._take_down(fault, process, end, interval)
            case "stop":
                await self._pause(process, end)
            case "starve":
                while self._now_s() < end and process.up:
                    await self._pause(process, min(end, self._now_s() + fault.every_s / 2))
                    await self._sleep_until(min(end, self._now_s() + fault.every_s / 2))
            case "clock":
                await self._apply_control(
                    process,
                    end,
                    {"wall_us": int(fault.jump_s * 1e6), "rate": fault.clock_rate},
                    {"wall_us": 0, "rate": 1.0},
                )
            case "disk":
                process.bad_disk = True
                mode = {"full": DISK_FULL, "failing": DISK_FAILING}.get(fault.disk, 0)
                slow = fault.sync_ms if fault.disk == "slow" else 0.0
                await self._apply_control(
                    process, end, {"disk": mode, "sync_ms": slow}, {"disk": 0, "sync_ms": 0.0}
                )
                process.bad_disk = False
            case "upgrade":
                if not await self.processes.upgrade(process):
                    self.observations.crashes.append(
                        f"{process.name}: the new process did not serve: {_last_log_line(process)}"
                    )
            case "promote":
                with contextlib.suppress(ConnectFailed, ResponseLost):
                    status, response_body = await send_request(
                        process.ports["writes"], "POST", "/promote"
                    )
                    interval.what += f": {status}" + (
                        "" if status == 200 else f" {response_body.decode().strip()}"
                    )
        interval.end = self._now_s()

    async def _apply_control(
        self, process: Process, end: float, bad: dict[str, Any], good: dict[str, Any]
    ) -> None:
        assert process.control
        process.control.change(**bad)
        await self._sleep_until(end)
        process.control.change(**good)

    async def _pause(self, process: Process, until: float) -> None:
        popen = process.popen
        self.processes.pause(process, True)
        self._record_state(process, "stopped")
        await self._sleep_until(until)
        if process.popen is popen and process.stopped:
            self.processes.pause(process, False)
            self._record_state(process, "up")

    async def _take_down(
        self, fault: Fault, process: Process, end: float, interval: FaultInterval
    ) -> None:
        if fault.in_write and process.control and process.popen:
            process.expected = True
            process.control.change(die_at=process.control.syncs + 1)
            while process.popen.poll() is None and self._now_s() < end:
                await asyncio.sleep(0.005)
            if process.popen.poll() is not None:
                interval.what += " between sync and answer"
            process.control.change(die_at=0)
        if fault.kind == "terminate":
            await self.processes.terminate(process)
        else:
            await self.processes.kill(process)
        self._record_state(process, "")
        self._update_connect_modes()
        unsynced_bytes = await asyncio.to_thread(
            self.processes.restore_folder, process, fault.folder, fault.power
        )
        if unsynced_bytes:
            interval.what += f", {unsynced_bytes} bytes were not synced"
        if fault.for_good:
            return
        await self._sleep_until(end)
        process.expected = False
        await self._restart(process)

    # The end.

    async def _await_agreement(self) -> None:
        """Waits until all processes agree, and takes the operator's steps after a failover."""
        begin, operator_acted = self._now_s(), False
        since = max(begin, self._last_fault)
        while True:
            alive = [p for p in self.processes.all.values() if p.up and p.kind in "lim"]
            if not any(p.kind in "lm" for p in alive):
                self.observations.nobody = True
                return
            results = await asyncio.gather(*(self._query_state(p) for p in alive))
            states = list(zip(alive, results, strict=True))
            differences = self._view_differences([(p, t) for p, t in states if p.kind == "m"])
            differences += self._state_differences([(p, t) for p, t in states if p.kind in "li"])
            if not differences:
                self.observations.agreed_s = round(self._now_s() - since, 2)
                return
            if self._now_s() - since > self.schedule.settle_s:
                self.observations.differences = differences
                return
            if not operator_acted and self._now_s() - begin > OPERATOR_DELAY_S:
                operator_acted = await self._rejoin_followers(
                    [(p, t) for p, t in zip(alive, results, strict=True) if p.kind == "l"]
                )
            await asyncio.sleep(AGREEMENT_POLL_S)

    async def _query_state(self, process: Process) -> dict[str, Any]:
        """The state that the process reports, asked directly; empty if it does not answer."""
        try:
            if process.kind == "m":
                _, response_body = await send_request(process.ports["ops"], "GET", "/members")
                found = json.loads(response_body)
                return {k: found[k] for k in ("view", "digest", "size", "standing")}
            if process.kind == "i":
                _, response_body = await send_request(process.ports["ops"], "GET", "/discovery")
                found = json.loads(response_body)
                return {k: found.get(k) for k in ("lineage", "epoch", "index")}
            _, response_body = await send_request(process.ports["writes"], "GET", "/status")
            status = json.loads(response_body)
            _, response_body = await send_request(process.ports["writes"], "GET", "/servers")
            held = {s["name"]: value_of(s["weight"]) for s in json.loads(response_body)["servers"]}
            keys = ("lineage", "epoch", "index", "role", "leader")
            return {k: status[k] for k in keys} | {"held": held}
        except (ConnectFailed, ResponseLost, ValueError, KeyError):
            return {}

    def _view_differences(self, members: list[tuple[Process, dict[str, Any]]]) -> list[str]:
        """Differences of the members from one common view that contains exactly those running."""
        first = next((t for _, t in members if t), {})
        differences = []
        for process, state in members:
            if state.get("digest") != first.get("digest") or state.get("size") != len(members):
                shown = f"view {state.get('view')} of {state.get('size')}, {state.get('standing')}"
                differences.append(f"{process.name}: {shown}")
            elif state["standing"] not in ("whole", "majority"):
                differences.append(f"{process.name}: {state['standing']}")
        return differences

    def _state_differences(self, states: list[tuple[Process, dict[str, Any]]]) -> list[str]:
        """Differences between list services and ingresses; without any, records the final values of
        the registers."""
        leaders = [(p, t) for p, t in states if t.get("role") == "leader"]
        if len(leaders) > 1:
            return [f"{p.name} leads epoch {t['epoch']} from {t['index']}" for p, t in leaders]
        listed = [t for _, t in leaders] or [t for p, t in states if p.kind == "l" and t]
        reference = listed[0] if listed else {}
        if not states:
            return []
        differences = [] if reference else ["no list service answers"]
        for process, state in states:
            for key in ("lineage", "epoch", "index", *(("held",) if process.kind == "l" else ())):
                if state.get(key) != reference.get(key):
                    differences.append(
                        f"{process.name}: {key} {state.get(key)}, not {reference.get(key)}"
                    )
                    break
            if state.get("role") == "deposed":
                differences.append(f"{process.name} is deposed")
        if not differences and reference:
            registers = {p.name: 0 for p in self.processes.of_kind("s")}
            self.observations.final = registers | {
                n: v for n, v in reference["held"].items() if n in registers
            }
        return differences

    async def _rejoin_followers(self, lists: list[tuple[Process, dict[str, Any]]]) -> bool:
        """Restarts list services that were deposed, or follow one that was, as followers of the
        leader."""
        leaders = [p for p, t in lists if t.get("role") == "leader"]
        if len(leaders) != 1:
            return False
        follow = self.processes.address(leaders[0].name, "reads")
        for process, state in lists:
            if (
                process is not leaders[0]
                and state.get("role") in ("deposed", "follower")
                and process.follow != follow
            ):
                process.follow = follow
                await self.processes.terminate(process)
                process.expected = False
                await self._restart(process)
        return True

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for bar in self.bars:
            if bar.end < 0:
                bar.end = self._now_s()
        self.processes.end()
        if self.relay:
            await self.relay.end()


def _last_log_line(process: Process) -> str:
    lines = [line for line in process.log.splitlines() if line.strip()]
    return lines[-1] if lines else "its log is empty"


async def play(schedule: Schedule, seed: int, folder: Path) -> Result:
    """Carries out one run in `folder`, which is recreated. Raises LiveError."""
    if folder.exists():
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    (folder / "schedule.toml").write_text(to_toml(schedule))
    result = await FaultRun(schedule, seed, folder).run()
    write(folder / RESULT_FILE, result)
    if not result.verdict.broken:
        for name in schedule.processes():
            shutil.rmtree(folder / name, ignore_errors=True)
    return result


def result_of(folder: Path) -> Result:
    return msgspec.json.decode((folder / RESULT_FILE).read_bytes(), type=Result)
