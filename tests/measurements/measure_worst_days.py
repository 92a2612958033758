"""Draws days for the operators' bench in which each trouble of a deployment may come several times.

`python -m tests.measurements.measure_worst_days SITE.toml FOLDER --seeds 1-10 [--most 24]
[--length 60] [--every] [--changes 300]`.

`--every`: also the kinds that the site's own list leaves out, each in all its variants;
`--changes`: so many changes of the configuration besides, in storms over the whole day. Each file
is a day as `fleetbench run SITE FILE` takes it. Nothing is played here."""

from __future__ import annotations

import argparse
import random
import tomllib
from pathlib import Path
from typing import Any

PLANNED = frozenset(
    (
        "bad_config",
        "big_config",
        "config_change",
        "config_race",
        "config_storm",
        "evacuate",
        "hup",
        "release",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    )
)
CLOSING = ("power_off_all", "kill_all", "wipe_after_ack")
CLOSING_HOW = ("", "timed", "taken", "oldest")
HARDER = {
    "core_cut": ("", "one_way", "leader", "leader race", "leader drain meet"),
    "node_kill": ("", "leader race drain", "leader", "power"),
    "after_ack_kill": ("", "kill", "timed"),
    "after_ack_wipe": ("", "timed"),
}
MEETING = ("", "meet", "race", "drain", "meet drain", "race drain", "hard")
# The operators' list of kinds: (kind, fields to draw from, variants). A field's tuple is (lowest,
# highest).
EVERY: tuple[tuple[str, dict[str, tuple[float, float]], tuple[str, ...]], ...] = (
    ("hot_tenant", {"x": (4.0, 9.0), "for_s": (4.0, 8.0)}, ("",)),
    (
        "srv_crash",
        {"share": (0.1, 0.2), "for_s": (3.0, 6.0)},
        ("", "dark", "gone", "dark gone", "across"),
    ),
    ("release", {"share": (0.2, 0.5), "x": (1, 3), "gap_s": (0.6, 1.2)}, ("",)),
    ("scale_in", {"share": (0.08, 0.15)}, ("", "spot")),
    ("scale_out", {"share": (0.2, 0.3), "gap_s": (1.0, 3.0)}, ("",)),
    ("cold_return", {"for_s": (3.0, 5.0)}, ("", "dark")),
    ("answer_lost", {"share": (0.3, 0.6), "x": (0.02, 0.06), "for_s": (3.0, 6.0)}, ("", "reset")),
    (
        "garble",
        {"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": (3.0, 6.0)},
        ("", "extra", "unframed", "early", "extra late", "extra unframed"),
    ),
    ("node_kill", {"share": (0.1, 0.2), "for_s": (1.0, 4.0)}, ("", "power", "turn")),
    (
        "roll_term",
        {"share": (0.2, 0.5), "x": (1, 4), "gap_s": (0.8, 1.5)},
        ("", "busy", "remove", "busy drain"),
    ),
    ("herd_kill", {"share": (0.4, 0.7), "for_s": (1.0, 2.5)}, ("", "power", "taken", "taken all")),
    ("seed_turnover", {}, ("",)),
    (
        "after_ack_kill",
        {"for_s": (2.0, 4.0)},
        ("", "kill", "timed", "kill timed", "taken", "taken gone"),
    ),
    ("after_ack_wipe", {"for_s": (2.0, 4.0)}, ("", "timed", "oldest", "taken")),
    (
        "clock_step",
        {"share": (0.2, 0.5), "x": (1500.0, 4000.0), "for_s": (3.0, 8.0)},
        ("", "back", "ahead", "leader"),
    ),
    ("zone_loss", {"for_s": (3.0, 6.0)}, ("",)),
    ("zone_cut", {"for_s": (3.0, 8.0)}, ("", "reset", "refuse")),
    (
        "core_cut",
        {"for_s": (3.0, 9.0)},
        (
            "",
            "all",
            "near",
            "oldest",
            "one_way",
            "seeds",
            "both",
            "lure",
            "leader",
            "leader lure",
            "leader refuse",
            "leader reset",
            "turn all",
            "leader near",
        ),
    ),
    (
        "node_cut",
        {"share": (0.1, 0.3), "for_s": (3.0, 9.0)},
        ("", "all", "servers", "reset", "refuse"),
    ),
    ("config_change", {}, ("route", "weights", "timeout", "tenant", "quota", "idle")),
    ("config_race", {"count": (1, 4), "gap_s": (0.4, 1.2)}, ("",)),
    ("big_config", {"count": (200, 400)}, ("",)),
    (
        "bad_config",
        {"count": (2, 4), "gap_s": (0.3, 1.0)},
        (
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
            "shared_key",
        ),
    ),
    ("ack_lost", {"x": (0.4, 0.8), "for_s": (4.0, 9.0)}, ("",)),
    ("revoke", {"count": (1, 4), "gap_s": (0.4, 1.5)}, ("",)),
    ("evacuate", {"for_s": (5.0, 9.0)}, ("", "warm")),
    ("burst", {"x": (1.3, 2.0), "for_s": (3.0, 6.0)}, ("",)),
    ("retry_abuse", {"share": (0.1, 0.4), "x": (1, 3), "for_s": (3.0, 6.0)}, ("",)),
    ("give_up", {"share": (0.1, 0.4), "for_s": (3.0, 6.0)}, ("",)),
    ("srv_slow", {"share": (0.1, 0.2), "x": (2.0, 5.0), "for_s": (3.0, 6.0)}, ("", "across")),
    ("replace_with_reuse", {"share": (0.08, 0.15)}, ("", "drain", "dark")),
    ("node_freeze", {"share": (0.05, 0.15), "for_s": (1.0, 5.0)}, ("", "leader")),
    ("node_slow", {"share": (0.05, 0.15), "x": (2.0, 6.0), "for_s": (2.0, 5.0)}, ("", "leader")),
    ("replace_core", {"x": (1, 3)}, ("", "oldest", "planned", "leader")),
    ("disk_slow", {"for_s": (3.0, 6.0)}, ("", "leader")),
    ("disk_full", {"for_s": (3.0, 6.0)}, ("", "leader")),
    ("disk_stall", {"for_s": (2.0, 5.0)}, ("", "leader")),
    ("hup", {"share": (0.2, 0.5), "gap_s": (0.5, 2.0)}, ("",)),
    ("reset_conns", {"share": (0.1, 0.3), "x": (0.3, 0.8)}, ("",)),
)
HEALTH: tuple[tuple[str, dict[str, tuple[float, float]], tuple[str, ...]], ...] = (
    (
        "srv_grey",
        {"share": (0.08, 0.15), "x": (0.3, 0.5), "for_s": (4.0, 7.0)},
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
    ),
    (
        "srv_lying_health",
        {"share": (0.08, 0.15), "for_s": (4.0, 7.0)},
        ("errors", "hang", "reset", "bad"),
    ),
    ("srv_flap", {"share": (0.08, 0.12), "gap_s": (1.0, 2.0), "for_s": (4.0, 7.0)}, ("",)),
    ("idle_race", {"share": (0.3, 0.5), "x": (250.0, 400.0), "for_s": (4.0, 7.0)}, ("",)),
)
ON_CORE = frozenset(
    ("node_kill", "roll_term", "herd_kill", "node_freeze", "node_slow", "hup", "reset_conns")
)


def any_kind(rng: random.Random, health: bool) -> dict[str, Any]:
    """A trouble of any kind that the operators list, in one of its variants. `health`: of ill
    servers too."""
    kind, fields, variants = rng.choice(EVERY + HEALTH if health else EVERY)
    made: dict[str, Any] = {"kind": kind}
    for name, (low, high) in fields.items():
        made[name] = (
            rng.randint(low, high) if isinstance(low, int) else round(rng.uniform(low, high), 3)
        )
    how = rng.choice(variants)
    if kind in ON_CORE and rng.random() < 0.5:
        made = {k: v for k, v in made.items() if k != "share"} | {"on": "core", "count": 1}
        if kind in ("node_kill", "roll_term", "node_freeze"):
            how = " ".join(
                filter(None, ("leader" if rng.random() < 0.6 else "", how, rng.choice(MEETING)))
            )
        if kind == "herd_kill":
            how = rng.choice(("", "power", "taken", "taken all"))
    elif kind == "core_cut" and rng.random() < 0.5:
        how = f"{how} {rng.choice(MEETING)}".strip()
    return made | ({"how": how} if how else {})


def _value(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)


def _line(trouble: dict[str, Any]) -> str:
    return "  { " + ", ".join(f"{k} = {_value(v)}" for k, v in trouble.items()) + " },"


def drawn(
    site: dict[str, Any], seed: int, most: int, length: float, every: bool = False, changes: int = 0
) -> str:
    """One day: each kind may come more than once; half of what comes is about the core."""
    rng = random.Random(seed)
    troubles = site["troubles"]
    core = [
        t
        for t in troubles
        if t["kind"] in HARDER or "config" in t["kind"] or t["kind"] == "evacuate"
    ]
    rows: dict[str, list[str]] = {"plan": [], "faults": []}
    for _ in range(rng.randint(most // 2, most)):
        if every:
            chosen = any_kind(rng, "health" in site["contracts"])
        else:
            chosen = dict(rng.choice(core if rng.random() < 0.5 else troubles))
        if not every and chosen["kind"] in HARDER and rng.random() < 0.6:
            chosen["how"] = rng.choice(HARDER[chosen["kind"]])
        if not every and chosen["kind"] == "core_cut" and rng.random() < 0.4:
            chosen["for_s"] = rng.choice((10.0, 20.0))
        chosen = {"at": round(rng.uniform(1.0, length - 8.0), 2), **chosen}
        rows["plan" if chosen["kind"] in PLANNED else "faults"].append(_line(chosen))
    for storm in range(changes // 50):
        span = (length - 10.0) / (changes // 50)
        at = round(1.0 + storm * span, 2)
        line = {
            "at": at,
            "kind": "config_storm",
            "for_s": round(span - 0.2, 2),
            "gap_s": round(span / 50, 3),
        }
        rows["plan"].append(_line(line))
    day = [f'name = "worst-{seed}"', 'slot = "trouble"', f"seed = {seed}", f"length_s = {length}"]
    if rng.random() < 0.7:
        how = f', how = "{rng.choice(CLOSING_HOW)}"' if every else ""
        day.append(f'closing = {{ kind = "{rng.choice(CLOSING)}", down_s = 1.2{how} }}')
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
    parser.add_argument("--every", action="store_true")
    parser.add_argument("--changes", type=int, default=0)
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    site = tomllib.loads(given.site.read_text())
    given.folder.mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(last or first) + 1):
        made = drawn(site, seed, given.most, given.length, given.every, given.changes)
        (given.folder / f"{given.site.stem}-{seed}.toml").write_text(made)


if __name__ == "__main__":
    main()
