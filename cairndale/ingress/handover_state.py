"""What the module knows, as plain values for the process that comes next; nothing is decided
here."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from cairndale.ingress.policy.account import Account
from cairndale.ingress.policy.engine import Gateway

# What the next process takes over as it is, beside what is named there.
ACCOUNT_KEYS = (
    "spread",
    "level_at",
    "level",
    "share",
    "tokens",
    "rate",
    "chance",
    "heard_at",
    "usual",
    "demand_at",
    "ceiling",
    "sure",
    "slot",
    "unheard",
    "back",
    "back_for",
)
BACKEND_KEYS = ("limit", "slow", "seen_at", "credit", "credit_at", "load", "load_at")
FLEET_KEYS = ("usual", "typical", "more", "sends")


def hand_over(gateway: Gateway) -> dict[str, Any]:
    """What the next process needs to go on as one gateway with this. Leases and cold backends'
    budgets go to it whole; of each ceiling's part one half stays, for what still comes in here."""
    accounts, backends = [], []
    for customer, a in gateway.accounts.items():
        a.ceiling, a.sure = a.ceiling / 2, a.sure / 2
        values = {key: getattr(a, key) for key in ACCOUNT_KEYS}
        accounts.append(
            [customer, gateway.settings.plans.index(a.plan), [list(s) for s in a.ring], values]
        )
        a.tokens = 0.0
    for number, b in gateway.fleet.backends.items():
        backends.append([number, b.info.started, {key: getattr(b, key) for key in BACKEND_KEYS}])
    fleet = {key: getattr(gateway.fleet, key) for key in FLEET_KEYS}
    gateway.retired = gateway.fleet.retired = True
    crowd = {"crowd": gateway.crowd, "call_at": gateway.call_at, "began": gateway.began}
    fleet["returned"] = list(gateway.fleet.returned.items())
    return {"accounts": accounts, "backends": backends, "fleet": fleet, "gateway": crowd}


def take_back(gateway: Gateway, state: dict[str, Any]) -> None:
    """No process has taken over after all. What a ceiling's other half was, refills."""
    gateway.retired = gateway.fleet.retired = False
    for customer, _, _, values in state["accounts"]:
        if account := gateway.accounts.get(customer):
            account.tokens += values["tokens"]


def take_over(
    gateway: Gateway, now: int, state: dict[str, Any], classes: Sequence[int], plans: Sequence[int]
) -> None:
    """From the process before. `classes` and `plans` give this one's numbers for that one's; -1:
    none."""
    accounts: dict[int, Account] = {}
    for customer, plan, ring, values in state["accounts"]:
        if plans[plan] >= 0:
            made = Account(
                gateway.settings.plans[plans[plan]], values["spread"], gateway.slot_us, now
            )
            for key in ACCOUNT_KEYS:
                setattr(made, key, values[key])
            made.ring = deque(ring)
            accounts[customer] = made
    fleet, kept = gateway.fleet, [(there, here) for there, here in enumerate(classes) if here >= 0]
    for there, here in kept:
        fleet.usual[here] = state["fleet"]["usual"][there]
        fleet.typical[here] = state["fleet"]["typical"][there]
    fleet.more, fleet.sends = state["fleet"]["more"], state["fleet"]["sends"]
    fleet.returned = dict(state["fleet"]["returned"])
    for number, started, values in state["backends"]:
        if known := fleet.backends.get(number):
            known.info = replace(known.info, started=started)
            for key in BACKEND_KEYS:
                setattr(known, key, values[key])
            known.slow = [1.0] * len(fleet.usual)
            for there, here in kept:
                known.slow[here] = values["slow"][there]
    gateway.crowd, gateway.call_at = state["gateway"]["crowd"], state["gateway"]["call_at"]
    gateway.accounts, gateway.began = accounts, state["gateway"]["began"]
