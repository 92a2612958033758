"""`python -m cairndale.lab`: scenarios, runs, experiments, reports, the paper's experiment, the
demonstration.

Exit status: 0 done, 1 a run failed or `--fail-on` was met, 2 bad input (nothing was started), 130
Ctrl-C or SIGTERM."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, TextColumn, TimeElapsedColumn
from rich.progress import Progress as Bar

from cairndale.lab import experiment, scenario
from cairndale.lab.faults.cli import faults
from cairndale.lab.play import Run, Variant, VariantError
from cairndale.lab.stopping import heed_ctrl_c, ignore_stopping, run_until_stopped

BAD, FAILED, STOPPED = 2, 1, 130


def _texts(names: tuple[str, ...]) -> dict[str, str]:
    """Scenarios by name or path, all of them checked before anything starts."""
    texts: dict[str, str] = {}
    errors: list[str] = []
    for name in names or tuple(n for n in scenario.shipped() if n not in ("demo", "fleet-200")):
        path = scenario.path_of(name)
        try:
            made = scenario.load(name)
        except scenario.ScenarioError as error:
            errors += error.errors
            continue
        if texts.setdefault(made.name, text := path.read_text()) != text:
            errors.append(f"{path.name}: name: {made.name!r} stands for another file as well")
    if errors:
        raise scenario.ScenarioError(errors)
    return texts


def _variants(names: tuple[str, ...]) -> list[Variant]:
    from cairndale.lab.policies import BASELINES

    return [Variant.parse(name, list(BASELINES)) for name in names]


def _seeds(_context: click.Context, _parameter: click.Parameter, value: str) -> list[int]:
    """`4`, `1-8` or `1,3,5-7`."""
    found: list[int] = []
    try:
        for part in value.split(","):
            low, dash, high = part.partition("-")
            found += range(int(low), int(high if dash else low) + 1)
    except ValueError:
        found = []
    if not found or len(set(found)) < len(found) or min(found) < 0:
        raise click.BadParameter(f"{value!r} is not like 4, 1-8 or 1,3,5-7")
    return found


def _stop(message: str, status: int) -> None:
    click.echo(message, err=True)
    sys.exit(status)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def main() -> None:
    """An emulator of the platform, its load, its judge and its experiments."""


main.add_command(faults)


@main.command()
def scenarios() -> None:
    """The scenarios that are shipped."""
    for name in scenario.shipped():
        click.echo(f"{name:16} {scenario.load(name).title}")


@main.command()
def parameters() -> None:
    """Every key of a scenario: its default, its unit and where the figure comes from."""
    for key, default, text in scenario.parameters():
        click.echo(f"{key:28} {default:18} {text}")


@main.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> None:
    """Checks scenarios, by name or path, and says all that is wrong with them."""
    _texts(files)


@main.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True, help="of every draw")
@click.option(
    "--variant", default="module", show_default=True, help="POLICY[@CHECKOUT][+PATH=VALUE]..."
)
@click.option("--live", is_flag=True, help="the real programs on loopback, as the clock")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True)
@click.option("--record", is_flag=True, help="keep everything that was seen (.npz)")
def run(name: str, seed: int, variant: str, live: bool, out: Path, record: bool) -> None:
    """Plays one scenario once, judges it, and writes the report."""
    from cairndale.lab import demo

    ((known, text),) = _texts((name,)).items()
    (chosen,) = _variants((variant,))
    if (
        live
        and chosen.policy == "module"
        and not chosen.checkout
        and not chosen.told
        and not record
    ):
        verdict = demo.demonstrate(known, text, seed, out)
        sys.exit(FAILED if verdict.broken or verdict.void else 0)
    plan = experiment.Plan(
        {known: text}, [chosen], [seed], ["live" if live else "sim"], out, 1, record
    )
    _check_overrides(plan)
    rows = _carried_out(plan, [])
    for row in (
        r for r in rows if (r["scenario"], r["variant"], r["seed"]) == (known, variant, seed)
    ):
        v = row["verdict"]
        click.echo(
            f"G {v['g']:.3f}, served {v['whole']:.1%}, worst 10 s "
            f"{v['worst_window']:.1%}, worst plan "
            f"{v['worst_plan']:.1%}; {v['requests']} requests, {v['tries']} tries; "
            f"{row['cpu_s']:.1f} s of "
            f"processor time"
        )
        for broken in v["broken"]:
            click.echo(f"BROKEN {broken['rule']}: {broken['text']}")


@main.command("experiment")
@click.argument("names", nargs=-1)
@click.option(
    "--variant", "variants", multiple=True, default=("module",), help="the first one is the base"
)
@click.option("--baselines", is_flag=True, help="all baselines beside the module")
@click.option("--seeds", default="1-8", show_default=True, callback=_seeds, help="as 1-8 or 1,3,5")
@click.option(
    "--host", "hosts", multiple=True, type=click.Choice(["sim", "live"]), default=("sim",)
)
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, type=click.IntRange(1, 256))
@click.option("--record", is_flag=True, help="keep everything that was seen (.npz)")
@click.option(
    "--fail-on",
    "conditions",
    multiple=True,
    help="broken, void or FIGURE<-X; status 1 where it holds",
)
def experiments(
    names: tuple[str, ...],
    variants: tuple[str, ...],
    baselines: bool,
    seeds: list[int],
    hosts: tuple[str, ...],
    out: Path,
    jobs: int,
    record: bool,
    conditions: tuple[str, ...],
) -> None:
    """Variants x scenarios x seeds on all cores; what is finished is kept, and not played again.

    Without NAMES, all shipped scenarios but the large one and the demonstration.
    """
    from cairndale.lab.policies import BASELINES

    chosen = _variants(tuple(dict.fromkeys((*variants, *(BASELINES if baselines else ())))))
    plan = experiment.Plan(
        _texts(names), chosen, seeds, list(dict.fromkeys(hosts)), out, jobs, record
    )
    _check_overrides(plan)
    experiment.failures([], chosen[0].text, list(conditions))
    _carried_out(plan, list(conditions))


def _check_overrides(plan: experiment.Plan) -> None:
    from cairndale.lab.play import drawn

    for name, text in plan.scenarios.items():
        for variant in plan.variants:
            drawn(
                Run(
                    text,
                    name,
                    variant.text,
                    variant.policy,
                    plan.seeds[0],
                    "sim",
                    "",
                    told=list(variant.told),
                )
            )


def _carried_out(plan: experiment.Plan, conditions: list[str]) -> list[dict[str, Any]]:
    from cairndale.lab.report import write_report

    async def all_runs() -> experiment.Progress:
        """Cancelled, what runs is ended, what is finished stays."""
        if not sys.stdout.isatty():
            return await experiment.carry_out(plan, lambda _: None)
        columns = (
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
        )
        with Bar(*columns, console=Console()) as bar:
            shown = bar.add_task("runs", total=None)

            def told(progress: experiment.Progress) -> None:
                current = next(iter(progress.running), "")
                bar.update(
                    shown,
                    completed=progress.done,
                    total=progress.total,
                    description=f"runs {current}",
                )

            return await experiment.carry_out(plan, told)

    base = plan.variants[0].text
    try:
        progress = run_until_stopped(all_runs())
    except KeyboardInterrupt:
        rows = experiment.results(plan.folder)
        write_report(rows, base, plan.folder, plan.folder.name)
        _stop(f"stopped; {len(rows)} finished runs are kept in {plan.folder}", STOPPED)
        raise
    rows = experiment.results(plan.folder)
    page, summary = write_report(rows, base, plan.folder, plan.folder.name)
    kept = f", {progress.kept} of them from before" if progress.kept else ""
    click.echo(f"{progress.done} of {progress.total} runs{kept}; {page}, {summary}")
    wanted = {(r.name, r.variant, r.seed, r.host) for r in plan.runs()}
    mine = [r for r in rows if (r["scenario"], r["variant"], r["seed"], r["host"]) in wanted]
    found = progress.failed + experiment.failures(mine, base, conditions)
    for why in found:
        click.echo(why, err=True)
    if found:
        sys.exit(FAILED)
    return rows


@main.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "--base", default="module", show_default=True, help="the variant that others are compared with"
)
def report(folder: Path, base: str) -> None:
    """Writes report.html and summary.md anew from a folder's results."""
    from cairndale.lab.report import write_report

    page, summary = write_report(experiment.results(folder), base, folder, folder.resolve().name)
    click.echo(f"{page}\n{summary}")


@main.command()
@click.argument("before", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("after", type=click.Path(path_type=Path, exists=True, file_okay=False))
def compare(before: Path, after: Path) -> None:
    """Differences of what is in both folders, paired by scenario, variant, host and seed."""
    from cairndale.lab.report import DIFFERENCE_HEAD, compared

    rows = compared(experiment.results(before), experiment.results(after))
    if not rows:
        _stop("the folders have no run in common", FAILED)
    click.echo("| " + " | ".join(DIFFERENCE_HEAD) + " |\n|" + " --- |" * len(DIFFERENCE_HEAD))
    for row in rows:
        click.echo("| " + " | ".join(row) + " |")


@main.command()
@click.option("--seeds", default=30, show_default=True, type=click.IntRange(1, 1000))
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, type=click.IntRange(1, 256))
@click.option("--out", type=click.Path(path_type=Path), help="a file; otherwise it is printed")
def paper(seeds: int, jobs: int, out: Path | None) -> None:
    """The paper's experiment: which of its findings come out again here."""
    from cairndale.lab.paper import markdown, study

    text = markdown(study(seeds, jobs), seeds)
    if out:
        out.write_text(text)
    else:
        click.echo(text)


@main.command()
@click.option("--loaders", default=2, show_default=True, type=click.IntRange(1, 64))
@click.option("--checkout", type=click.Path(path_type=Path, exists=True, file_okay=False))
def limits(loaders: int, checkout: Path | None) -> None:
    """The loader's own limit beside that of one ingress."""
    from cairndale.lab.limits import limit

    best = {}
    for what, null, start in (("the loader alone", True, 2000.0), ("one ingress", False, 500.0)):
        click.echo(f"{what}:")
        carried = 0.0
        for row in limit(loaders, null, start, checkout):
            click.echo(
                f"  {row.rate:7.0f} a second: {row.answered:.1%} in time, loader "
                f"{row.late_ms:.1f} ms late, "
                f"{row.loader_cpu:.2f} cores; gateway {row.gateway_cpu:.2f} cores"
            )
            carried = row.rate if row.good else carried
        best[what] = carried
    loader, ingress = best["the loader alone"], best["one ingress"]
    click.echo(f"the loader reaches {loader / max(1.0, ingress):.1f} times what one ingress takes")


@main.command()
@click.option(
    "--fleet",
    "fleets",
    multiple=True,
    default=("3x9", "12x36", "50x100", "200x200"),
    show_default=True,
)
def scale(fleets: tuple[str, ...]) -> None:
    """Simulated requests a second of processor time, from small fleets to large ones."""
    from cairndale.lab.limits import exponent, grown

    try:
        sizes = [(int(a), int(b)) for a, b in (f.split("x") for f in fleets)]
    except ValueError:
        raise click.BadParameter("a fleet is GATEWAYSxSERVERS, as 12x36") from None
    found = grown(scenario.load("calm"), sizes)
    for row in found:
        click.echo(
            f"{row.gateways:4d} x {row.servers:4d}: {row.requests:7d} tries, {row.cpu_s:6.1f} s, "
            f"{row.requests / row.cpu_s:6.0f} a second, {row.memory_mb:.0f} MB at the most so far"
        )
    click.echo(f"exponent of processor time over tries: {exponent(found):.2f}")


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--out", type=click.Path(path_type=Path), default=Path("lab-out/demo"), show_default=True
)
def demo(seed: int, out: Path) -> None:
    """Three real ingresses, nine servers, half a minute, one of the ingresses killed; then the
    report."""
    from cairndale.lab.demo import demonstrate, shipped

    verdict = demonstrate("demo", shipped("demo"), seed, out)
    sys.exit(FAILED if verdict.broken else 0)


def entry() -> None:
    from cairndale.lab.live.host import LiveError

    heed_ctrl_c()
    try:
        main.main(standalone_mode=False)
    except (scenario.ScenarioError, VariantError, experiment.ExperimentError) as error:
        _stop(str(error), BAD)
    except LiveError as error:
        _stop(str(error), FAILED)
    except click.ClickException as error:
        error.show()
        sys.exit(BAD)
    except (click.Abort, KeyboardInterrupt):
        ignore_stopping()
        _stop("stopped", STOPPED)


if __name__ == "__main__":
    entry()
