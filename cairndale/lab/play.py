"""One run: a variant on a scenario with a seed, in virtual time or live; a result that says what
came of it.

`python -m cairndale.lab.play SPEC` is what experiments start, a process a run.
"""

from __future__ import annotations

import json
import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from cairndale.lab.checkout import CheckoutError, adopt_policy, layout_of

if TYPE_CHECKING:
    from cairndale.lab.draw import Day
    from cairndale.lab.judge import Verdict
    from cairndale.lab.record import Record

HERE = Path(__file__).parents[2]


class VariantError(Exception):
    pass


@dataclass(frozen=True, slots=True)
class Variant:
    """`POLICY[@CHECKOUT][+PATH=VALUE]...`: a baseline or `module`, the checkout whose decisions
    (and, live, whose program) run, and settings that gateways are told other than the scenario's,
    as `ceilings.max_attempts=2`."""

    text: str
    policy: str
    checkout: str = ""
    told: tuple[tuple[str, Any], ...] = ()

    @classmethod
    def parse(cls, text: str, policies: list[str]) -> Variant:
        """Raises VariantError."""
        head, *overrides = text.split("+")
        policy, _, checkout = head.partition("@")
        if policy not in policies:
            raise VariantError(
                f"variant {text!r}: {policy!r} is not known; {', '.join(policies)} are"
            )
        if checkout:
            try:
                layout_of(Path(checkout))
            except CheckoutError as error:
                raise VariantError(f"variant {text!r}: {error}") from error
        told = []
        for override in overrides:
            key, equals, value = override.partition("=")
            try:
                told.append((key, json.loads(value)))
            except ValueError:
                raise VariantError(
                    f"variant {text!r}: {override!r} is not PATH=VALUE, the value in JSON"
                ) from None
            if not equals:
                raise VariantError(f"variant {text!r}: {override!r} is not PATH=VALUE")
        return cls(text, policy, str(Path(checkout).resolve()) if checkout else "", tuple(told))


class Run(msgspec.Struct):
    """What a process of an experiment is told."""

    scenario: str  # its text
    name: str
    variant: str
    policy: str
    seed: int
    host: str  # sim or live
    result: str  # file
    checkout: str = ""
    told: list[tuple[str, Any]] = []
    record: str = ""  # file for the whole record, if it is wanted
    loaders: int = 1

    def key(self) -> str:
        return f"{self.name}--{slug(self.variant)}--s{self.seed}--{self.host}"


def slug(text: str) -> str:
    """A variant as part of a file's name; what that loses is told apart by a check sum."""
    from zlib import crc32

    plain = "".join(c if c.isalnum() or c in "-_." else "_" for c in text)
    return plain if plain == text else f"{plain[-60:]}-{crc32(text.encode()):08x}"


def adopt(checkout: str) -> None:
    """The decisions of another checkout of this project in place of this one's, before anything
    imports them."""
    if "cairndale.lab.simulate" in sys.modules:
        raise VariantError("the decisions are in use already")
    try:
        adopt_policy(Path(checkout))
    except CheckoutError as error:
        raise VariantError(str(error)) from error


def drawn(run: Run) -> Day:
    from dataclasses import replace

    from cairndale.lab.draw import day
    from cairndale.lab.scenario import parse

    made = replace(
        day(parse(run.scenario, run.name), run.seed), told=tuple((k, v) for k, v in run.told)
    )
    made.raw_settings(0)  # a path that is not there is an error before anything starts
    return made


def simulated(run: Run) -> tuple[Day, Record]:
    from cairndale.lab.policies import policy_factory
    from cairndale.lab.simulate import simulate

    made = drawn(run)
    return made, simulate(made, policy_factory(run.policy))


def result(
    run: Run, made: Day, record: Record, verdict: Verdict, cpu_s: float, wall_s: float
) -> dict[str, Any]:
    """Everything that a report shows of a run, and no more than some tens of kB."""
    from cairndale.lab.series import series

    figures = {k: v for k, v in record.figures.items() if k != "void"}
    return {
        "scenario": run.name,
        "title": made.scenario.title,
        "variant": run.variant,
        "seed": run.seed,
        "host": run.host,
        "verdict": verdict.row(),
        "figures": figures,
        "series": series(made, record),
        "cpu_s": cpu_s,
        "wall_s": wall_s,
        "fleet": [len(made.gateway_zones), len(made.servers)],
    }


def write(path: Path, what: Any) -> None:
    """Whole or not at all, on disk before it is there."""
    temporary = path.with_suffix(f".{os.getpid()}.tmp")
    with temporary.open("wb") as file:
        file.write(msgspec.json.encode(what))
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)


def play(run: Run) -> dict[str, Any]:
    """Plays the run in this process and returns its result. Live runs raise LiveError if nothing
    can start."""
    from cairndale.lab.judge import judge

    cpu, wall = time.process_time(), time.monotonic()
    if run.host == "sim":
        made, record = simulated(run)
    else:
        made, record = _live(run)
    verdict = judge(made, record, live=run.host == "live")
    verdict.void = list(record.figures.get("void", []))
    if run.record:
        record.save(Path(run.record))
    return result(run, made, record, verdict, time.process_time() - cpu, time.monotonic() - wall)


def _live(run: Run) -> tuple[Day, Record]:
    import tempfile

    from cairndale.lab.live.host import Options, play
    from cairndale.lab.stopping import run_until_stopped

    if run.policy != "module":
        raise VariantError(
            f"{run.policy!r} runs in virtual time alone: live, the program itself runs"
        )
    made = drawn(run)
    options = Options(loaders=run.loaders, checkout=Path(run.checkout) if run.checkout else None)
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    return made, run_until_stopped(play(made, run.scenario, folder, options))


def main() -> int:
    run = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Run)
    if run.checkout and run.host == "sim":
        adopt(run.checkout)
    write(Path(run.result), play(run))
    return 0


if __name__ == "__main__":
    sys.exit(main())
