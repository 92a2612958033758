"""The demonstration: real ingresses, stand-ins, list service, half a minute of traffic, one
trouble, a report."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live as Screen
from rich.table import Table

from cairndale.lab.draw import SECOND, Day, day
from cairndale.lab.judge import Verdict, judge
from cairndale.lab.live.host import Options, play
from cairndale.lab.play import Run, result, write
from cairndale.lab.report import write_report
from cairndale.lab.scenario import SHIPPED, parse
from cairndale.lab.stopping import run_until_stopped

EVERY = 5  # s between lines where the output is no terminal


class Watched:
    """What the run's second-by-second news looks like to a person."""

    def __init__(self, drawn: Day) -> None:
        self.day, self._before, self._cpu = drawn, dict[str, int](), dict[int, int]()

    def counts(self, seen: dict[str, Any]) -> tuple[dict[str, int], dict[str, int]]:
        """All tries so far by how they ended, and those of the last second."""
        total: dict[str, int] = {}
        for said in seen["load"].values():
            for kind, count in said["load"].items():
                total[kind] = total.get(kind, 0) + count
        fresh = {k: n - self._before.get(k, 0) for k, n in total.items()}
        self._before = total
        return total, fresh

    def trouble(self, at: int) -> str:
        now = at / SECOND
        return ", ".join(
            t.kind.replace("_", " ")
            for t in self.day.scenario.trouble
            if t.at_s <= now < t.at_s + max(1, t.len_s)
        )

    def screen(self, seen: dict[str, Any]) -> Group:
        total, fresh = self.counts(seen)
        at = max(0, seen["at"])
        head = Table.grid(padding=(0, 2))
        loads = list(seen["load"].values())
        latency = loads[0]["latency_ms"] if loads else [0, 0]
        head.add_row(
            f"{at // SECOND} of {self.day.length // SECOND} s",
            f"served {total.get('served', 0)}",
            f"refused {total.get('refused', 0)}",
            f"failed {_failed(total)}",
            f"median {latency[0]:.0f} ms, 99% {latency[1]:.0f} ms",
            f"[bold red]{self.trouble(at)}[/]",
        )
        gateways = Table(title="ingresses", expand=False)
        for column in ("", "state", "processor", "memory", "descriptors"):
            gateways.add_column(column, justify="right")
        for index, cpu, memory, files, here in seen["gateways"]:
            used = max(0, cpu - self._cpu.get(index, cpu)) / SECOND
            self._cpu[index] = cpu
            state = "[green]serves[/]" if here else "[red]gone[/]"
            gateways.add_row(
                f"n{index}", state, f"{used:.0%}", f"{memory / 1024:.0f} MB", str(files)
            )
        servers = Table(title="profile servers", expand=False)
        for column in ("", "state", "in work and waiting", "connections"):
            servers.add_column(column, justify="right")
        for number, (held, connections, _, warmth, alive) in enumerate(seen["servers"]):
            state = (
                "[red]gone[/]"
                if not alive
                else "[yellow]cold[/]"
                if warmth < 1000
                else "[green]warm[/]"
            )
            servers.add_row(
                f"s-{number}", state, "█" * min(30, held) + f" {held}", str(connections)
            )
        last = f"last second: {fresh.get('tries', 0)} tries, {fresh.get('served', 0)} served, "
        last += f"{fresh.get('refused', 0)} refused; {seen.get('calls', 0)} counter calls so far"
        return Group(head, gateways, servers, last)

    def line(self, seen: dict[str, Any]) -> str:
        total, _ = self.counts(seen)
        at, loads = max(0, seen["at"]), list(seen["load"].values())
        latency = loads[0]["latency_ms"] if loads else [0, 0]
        here = sum(1 for row in seen["gateways"] if row[4])
        trouble = self.trouble(at)
        return (
            f"{at // SECOND:3d} s: {total.get('served', 0)} served, "
            f"{total.get('refused', 0)} refused, "
            f"{_failed(total)} failed, median {latency[0]:.0f} ms, {here} ingresses serve"
            + (f"; {trouble}" if trouble else "")
        )


def _failed(total: dict[str, int]) -> int:
    return sum(total.get(k, 0) for k in ("failed", "broken", "unreached", "none"))


def told(verdict: Verdict) -> str:
    """What a run came to, in a few lines."""
    kinds = ", ".join(f"{n} {k}" for k, n in verdict.kinds.items() if n)
    lines = [
        f"G {verdict.g:.3f}: {verdict.whole:.1%} of the worth asked inside the quotas was "
        "answered in time "
        f"(worst 10 s {verdict.worst_window:.1%}, worst plan {verdict.worst_plan:.1%})",
        f"{verdict.requests} requests in {verdict.tries} tries: {kinds}; median "
        f"{verdict.p50_ms:.0f} ms, "
        f"99% {verdict.p99_ms:.0f} ms; {verdict.calls_per_request:.2f} counter calls a request",
    ]
    lines += [f"BROKEN {b.rule}: {b.text}" for b in verdict.broken]
    lines += [f"VOID: {why}" for why in verdict.void]
    return "\n".join(lines if verdict.broken else [*lines, "no rule was broken"])


def demonstrate(name: str, text: str, seed: int, out: Path) -> Verdict:
    """Plays it live, shows it as it goes, and leaves the report in `out`. Raises LiveError."""
    drawn, console = day(parse(text, name), seed), Console()
    watched = Watched(drawn)
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    gateways, servers = len(drawn.gateway_zones), len(drawn.servers)
    console.print(
        f"{drawn.scenario.title}\nstarting {gateways} ingresses, {servers} profile "
        "servers, counter and list"
    )
    if sys.stdout.isatty():
        with Screen(console=console, refresh_per_second=4, transient=True) as screen:
            options = Options(on_second=lambda seen: screen.update(watched.screen(seen)))
            record = run_until_stopped(play(drawn, text, folder, options))
    else:

        def say(seen: dict[str, Any]) -> None:
            if seen["at"] // SECOND % EVERY == 0:
                print(watched.line(seen), flush=True)

        record = run_until_stopped(play(drawn, text, folder, Options(on_second=say)))
    verdict = judge(drawn, record, live=True)
    verdict.void = list(record.figures.get("void", []))
    run = Run(text, name, "module", "module", seed, "live", "")
    row = result(run, drawn, record, verdict, 0.0, 0.0)
    (out / "runs").mkdir(parents=True, exist_ok=True)
    write(out / "runs" / f"{run.key()}.json", row)
    page, _ = write_report([row], "module", out, f"{name}, live, seed {seed}")
    console.print(told(verdict), highlight=False, markup=False)
    console.print(f"report: {page.resolve()}", highlight=False, soft_wrap=True)
    return verdict


def shipped(name: str) -> str:
    return (SHIPPED / f"{name}.toml").read_text()
