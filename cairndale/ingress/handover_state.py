"""The policy's state in the form in which one ingress process hands it to the next; nothing is
decided.

The form is read by processes of earlier and later versions of the program, so its keys are a
format: `ACCOUNT_FIELDS` and its kin say which attribute each key stands for. The names of the keys
are those that the attributes had when the format was made."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from cairndale.ingress.policy.account import TenantAccount
from cairndale.ingress.policy.endpoint_pool import EndpointPool
from cairndale.ingress.policy.engine import RequestPolicy

# Key in the hand-over: attribute. `slot` and the ring's slots are handed over beside these.
ACCOUNT_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "spread": "ingress_count",
        "level_at": "bucket_updated_at",
        "level": "bucket_units",
        "share": "isolated_share",
        "tokens": "tokens",
        "rate": "lease_rate",
        "chance": "admit_probability",
        "heard_at": "total_seen_at",
        "usual": "demand",
        "demand_at": "demand_at",
        "ceiling": "ceiling_leased",
        "sure": "ceiling_unreported",
        "unheard": "unreported",
        "back": "refund",
        "back_for": "refund_name",
    }
)
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
)  # in the order in which they are written
ENDPOINT_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "limit": "limit",
        "slow": "latency_ratios",
        "seen_at": "last_outcome_at",
        "credit": "credit",
        "credit_at": "credit_at",
        "load": "reported_load",
        "load_at": "reported_at",
    }
)
POOL_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        "usual": "average_latencies",
        "typical": "average_ratios",
        "more": "extra_capacity",
        "sends": "sent_on_average",
    }
)


def _account_values(account: TenantAccount) -> dict[str, Any]:
    """An account's values by the keys of the hand-over."""
    values: dict[str, Any] = {}
    for key in ACCOUNT_KEYS:
        if key == "slot":
            values[key] = account.ring.position
        else:
            values[key] = getattr(account, ACCOUNT_FIELDS[key])
    return values


def _account_from(
    account: TenantAccount, values: Mapping[str, Any], slots: Sequence[list[float]]
) -> TenantAccount:
    """Fills an account from what was handed over."""
    for key, attribute in ACCOUNT_FIELDS.items():
        setattr(account, attribute, values[key])
    account.ring.position = values["slot"]
    account.ring.slots = deque(slots)
    return account


def hand_over(gateway: RequestPolicy) -> dict[str, Any]:
    """What the next process needs to go on as one ingress with this one.

    Leases and the budgets of endpoints in slow start go to it whole; of each ceiling's part one
    half stays, for what still comes in here."""
    accounts, backends = [], []
    for customer, account in gateway.accounts.items():
        account.ceiling_leased /= 2
        account.ceiling_unreported /= 2
        plan = gateway.settings.plans.index(account.plan)
        slots = [list(slot) for slot in account.ring.slots]
        accounts.append([customer, plan, slots, _account_values(account)])
        account.tokens = 0.0
    for number, backend in gateway.pool.backends.items():
        values = {key: getattr(backend, name) for key, name in ENDPOINT_FIELDS.items()}
        backends.append([number, backend.info.started, values])
    fleet = {key: getattr(gateway.pool, name) for key, name in POOL_FIELDS.items()}
    fleet["returned"] = list(gateway.pool.returned_at.items())
    gateway.superseded = gateway.pool.superseded = True
    pacing = {
        "crowd": gateway.backoff_factor,
        "call_at": gateway.next_call_at,
        "began": gateway.started_at,
    }
    return {"accounts": accounts, "backends": backends, "fleet": fleet, "gateway": pacing}


def take_back(gateway: RequestPolicy, state: dict[str, Any]) -> None:
    """No process has taken over after all. The other half of each ceiling refills."""
    gateway.superseded = gateway.pool.superseded = False
    for customer, _, _, values in state["accounts"]:
        if account := gateway.accounts.get(customer):
            account.tokens += values["tokens"]


def take_over(
    gateway: RequestPolicy,
    now: int,
    state: dict[str, Any],
    classes: Sequence[int],
    plans: Sequence[int],
) -> None:
    """From the process before. `classes` and `plans` give this one's numbers for that one's; -1:
    none."""
    accounts: dict[int, TenantAccount] = {}
    for customer, plan, ring, values in state["accounts"]:
        if plans[plan] >= 0:
            plan_here = gateway.settings.plans[plans[plan]]
            made = TenantAccount(plan_here, values["spread"], gateway.slot_us, now)
            accounts[customer] = _account_from(made, values, ring)
    _take_over_pool(gateway.pool, state, classes)
    gateway.backoff_factor = state["gateway"]["crowd"]
    gateway.next_call_at = state["gateway"]["call_at"]
    gateway.accounts, gateway.started_at = accounts, state["gateway"]["began"]


def _take_over_pool(pool: EndpointPool, state: dict[str, Any], classes: Sequence[int]) -> None:
    """Latencies and slow-start budgets; those by class go to this process's number of the class."""
    kept = [(there, here) for there, here in enumerate(classes) if here >= 0]
    handed = state["fleet"]
    for there, here in kept:
        pool.average_latencies[here] = handed["usual"][there]
        pool.average_ratios[here] = handed["typical"][there]
    pool.extra_capacity, pool.sent_on_average = handed["more"], handed["sends"]
    pool.returned_at = dict(handed["returned"])
    for number, started, values in state["backends"]:
        if known := pool.backends.get(number):
            known.info = replace(known.info, started=started)
            for key, name in ENDPOINT_FIELDS.items():
                setattr(known, name, values[key])
            known.latency_ratios = [1.0] * len(pool.average_latencies)
            for there, here in kept:
                known.latency_ratios[here] = values["slow"][there]
