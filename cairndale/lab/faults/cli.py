"""`faults`: the command line of the fault laboratory.

Exit status: 0 all properties hold, 1 a property is broken or undecided, 2 bad input (nothing was
started), 130 Ctrl-C or SIGTERM."""

from __future__ import annotations

import itertools
import shutil
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.status import Status

from cairndale.lab.faults import schedule as schedules
from cairndale.lab.faults.judge import PROPERTIES
from cairndale.lab.faults.plants import PLANTS
from cairndale.lab.scenario import ScenarioError, parameters
from cairndale.lab.stopping import run_until_stopped

OUT = Path("lab-out/faults")
plant_option = click.option(
    "--plant", type=click.Choice(sorted(PLANTS)), help="a known defect to put into the program"
)


@click.group()
def faults() -> None:
    """Real processes, faults between them, and a checker of what they did together."""


@faults.command("list")
def list_() -> None:
    """Lists the shipped schedules."""
    for name in schedules.shipped():
        click.echo(f"{name:20} {schedules.load(name).title}")
    click.echo(f"{'random[:INTENSITY]':20} generated from the seed; INTENSITY faults per 2 s (1)")


@faults.command("parameters")
def parameters_() -> None:
    """Lists every key of a schedule with its default and its unit."""
    for key, default, text in parameters(schedules.Schedule):
        click.echo(f"{key:24} {default:12} {text}")


@faults.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> None:
    """Checks schedules, by name or path, and prints all their errors."""
    errors: list[str] = []
    for name in files:
        try:
            schedules.load(name)
        except ScenarioError as error:
            errors += error.errors
    if errors:
        raise ScenarioError(errors)


@faults.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True, help="of the load, and of a random schedule")
@click.option("--json", "as_json", is_flag=True, help="the verdict as JSON on standard output")
@click.option("--out", type=click.Path(path_type=Path), help=f"the run's folder; {OUT}/NAME-SEED")
@plant_option
def run(name: str, seed: int, as_json: bool, out: Path | None, plant: str | None) -> None:
    """Plays a schedule once, by name or path, and checks the recorded history."""
    from cairndale.lab.faults import host, many

    chosen = schedules.load(name, seed)
    if plant:
        chosen.plant = plant
    folder = out or OUT / f"{chosen.name}-{seed}"
    result = run_until_stopped(host.play(chosen, seed, folder))
    if as_json:
        click.echo(many.as_json(result, folder))
    else:
        from cairndale.lab.faults.picture import write_report

        for happened in result.happened:
            click.echo(f"{happened.begin:6.2f} to {happened.end:6.2f} s  {happened.what}")
        for finding in result.verdict.findings:
            click.echo(f"\n{finding.property}: {finding.text}")
            for event in finding.events:
                click.echo(f"    {event}")
        calls = ", ".join(f"{count} {what}" for what, count in result.verdict.calls.items())
        click.echo(f"\n{calls}")
        for property, verdict in result.verdict.properties.items():
            click.echo(f"{property:14} {verdict}")
        click.echo(f"report: {write_report(result, folder)}")
    sys.exit(0 if result.verdict.passed else 1)


@faults.command()
@click.argument("name", default="random")
@click.option(
    "--minutes", default=5.0, show_default=True, type=click.FloatRange(min=0, min_open=True)
)
@click.option("--seeds", default=0, help="maximum number; 0: as many as time allows")
@click.option("--from", "first", default=1, show_default=True, help="the first seed")
@click.option("--jobs", default=0, help="parallel runs; 0: two for each core")
@click.option("--out", type=click.Path(path_type=Path), default=OUT / "hunt", show_default=True)
@click.option(
    "--stop-on",
    type=click.Choice(PROPERTIES),
    help="end at the first run that breaks this property",
)
@plant_option
def hunt(
    name: str,
    minutes: float,
    seeds: int,
    first: int,
    jobs: int,
    out: Path,
    stop_on: str | None,
    plant: str | None,
) -> None:
    """Plays a schedule over many seeds, on all cores, and keeps the runs that failed."""
    from cairndale.lab.faults import many

    schedules.load(name, first)
    numbers = iter(range(first, first + seeds)) if seeds else itertools.count(first)
    console = Console(stderr=True)
    with Status("starting", console=console) as status:
        found = run_until_stopped(
            many.hunt(
                name,
                numbers,
                minutes,
                jobs or many.default_jobs(),
                out,
                plant or "",
                stop_on or "",
                lambda found: status.update(found.describe()),
            )
        )
    click.echo(found.describe())
    for property, folders in sorted(found.broken.items()):
        click.echo(f"{property}: {' '.join(str(f) for f in folders)}")
    for folder in found.failed:
        click.echo(f"not made: {folder.with_suffix('.log')}")
    sys.exit(0 if found.runs and found.passed_runs == found.runs else 1)


@faults.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--times", default=3, show_default=True, help="runs of each smaller schedule")
@click.option("--bound", default=40, show_default=True, help="maximum number of schedules to try")
@click.option("--jobs", default=0, help="parallel runs; 0: two for each core")
def shrink(folder: Path, times: int, bound: int, jobs: int) -> None:
    """Finds a smaller schedule that fails as this run did, and writes it into the run's folder."""
    from cairndale.lab.faults import many

    result = _result(folder)
    if not result.verdict.broken:
        raise click.UsageError(f"{folder}: this run broke no property")
    console, path = Console(stderr=True), folder / "shrunk.toml"
    with Status("trying", console=console) as status:

        def progress(now: many.Shrunk) -> None:
            many.write_shrunk(
                now, result, path
            )  # so that the best schedule so far survives an interrupt
            faults = len(now.schedule.fault)
            status.update(f"{now.tried} tried; {faults} faults, failed {now.failed} of {now.runs}")

        found = run_until_stopped(
            many.shrink(result, folder, jobs or many.default_jobs(), times, bound, progress)
        )
    shutil.rmtree(folder / "tries", ignore_errors=True)
    click.echo(
        f"{path}: {len(found.schedule.fault)} of {len(result.schedule.fault)} faults, failed "
        f"{found.failed} times of {found.runs}; {found.tried} schedules were tried"
    )
    sys.exit(0 if found.failed else 1)


def _result(folder: Path) -> Any:
    from cairndale.lab.faults import host

    try:
        return host.result_of(folder)
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{folder}: not the folder of a run: {error}") from None


@faults.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--out", type=click.Path(path_type=Path), help="an .svg or .png file; FOLDER/run.svg")
def show(folder: Path, out: Path | None) -> None:
    """Draws a run (processes over time, faults, terms, operations) and writes its report."""
    from cairndale.lab.faults.picture import draw, write_report

    result = _result(folder)
    path = out or folder / "run.svg"
    if path.suffix not in (".svg", ".png"):
        raise click.BadParameter(f"{path}: the suffix must be .svg or .png")
    draw(result, folder, path)
    click.echo(f"{path}\n{write_report(result, folder)}")


@faults.command()
def cost() -> None:
    """Measures the latency that a relay without faults adds, and its throughput."""
    from cairndale.lab.faults import cost as measure

    for row in run_until_stopped(measure.cost()):
        trip = f"round trip {row.median_us:5.0f} us (99%: {row.p99_us:.0f})"
        click.echo(f"{row.path:8} {trip}, {row.mb_per_s:.0f} MB a second")
