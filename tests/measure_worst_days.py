"""Draws days for the operators' bench in which each trouble of a deployment may come several times:
`python -m tests.measure_worst_days SITE.toml FOLDER --seeds 1-10 [--most 24] [--length 60]`.

Each file is a day as `fleetbench run SITE FILE` takes it. Nothing is played here.
"""

from __future__ import annotations

import argparse
import random
import tomllib
from pathlib import Path
from typing import Any

PLANNED = frozenset(
    (
        "big_config",
        "config_change",
        "config_race",
        "config_storm",
        "evacuate",
        "release",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    )
)
CLOSING = ("power_off_all", "kill_all", "wipe_after_ack")
HARDER = {
    "core_cut": ("", "one_way", "leader", "leader race", "leader drain meet"),
    "node_kill": ("", "leader race drain", "leader", "power"),
    "after_ack_kill": ("", "kill", "timed"),
    "after_ack_wipe": ("", "timed"),
}


def _value(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)


def _line(trouble: dict[str, Any]) -> str:
    return "  { " + ", ".join(f"{k} = {_value(v)}" for k, v in trouble.items()) + " },"


def drawn(site: dict[str, Any], seed: int, most: int, length: float) -> str:
    """One day: each kind may come more than once; half of what comes is about the core."""
    rng = random.Random(seed)
    troubles = site["troubles"]
    core = [t for t in troubles if t["kind"] in HARDER or "config" in t["kind"] or t["kind"] == "evacuate"]
    rows: dict[str, list[str]] = {"plan": [], "faults": []}
    for _ in range(rng.randint(most // 2, most)):
        chosen = dict(rng.choice(core if rng.random() < 0.5 else troubles))
        if chosen["kind"] in HARDER and rng.random() < 0.6:
            chosen["how"] = rng.choice(HARDER[chosen["kind"]])
        if chosen["kind"] == "core_cut" and rng.random() < 0.4:
            chosen["for_s"] = rng.choice((10.0, 20.0))
        chosen = {"at": round(rng.uniform(1.0, length - 8.0), 2), **chosen}
        rows["plan" if chosen["kind"] in PLANNED else "faults"].append(_line(chosen))
    day = [f'name = "worst-{seed}"', 'slot = "trouble"', f"seed = {seed}", f"length_s = {length}"]
    if rng.random() < 0.7:
        day.append(f'closing = {{ kind = "{rng.choice(CLOSING)}", down_s = 1.2 }}')
    for name, lines in rows.items():
        day += [f"{name} = [", *lines, "]"]
    return "\n".join(day) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--most", type=int, default=24)
    parser.add_argument("--length", type=float, default=60.0)
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    site = tomllib.loads(given.site.read_text())
    given.folder.mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(last or first) + 1):
        made = drawn(site, seed, given.most, given.length)
        (given.folder / f"{given.site.stem}-{seed}.toml").write_text(made)


if __name__ == "__main__":
    main()
