"""Conversion of the policy's state to and from the form that one ingress process hands over to
its successor.

Processes of earlier and later versions of the program read this form, so its keys are a fixed
format. `ACCOUNT_FIELDS`, `ENDPOINT_FIELDS` and `POOL_FIELDS` map each key to an attribute. The keys
are the attributes' names at the time when the format was defined."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from cairndale.ingress.policy.account import TenantAccount
from cairndale.ingress.policy.endpoint_pool import EndpointPool
from cairndale.ingress.policy.engine import RequestPolicy

# Key in the hand-over: attribute. `slot` and the borrowing ring's slots are handed over separately.
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
)  # in the order of writing
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
    """Returns an account's values by their keys in the hand-over."""
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
    """Sets an account's attributes from the handed-over values, and returns the account."""
    for key, attribute in ACCOUNT_FIELDS.items():
        setattr(account, attribute, values[key])
    account.ring.position = values["slot"]
    account.ring.slots = deque(slots)
    return account


def hand_over(policy: RequestPolicy) -> dict[str, Any]:
    """Returns the state that the successor process needs to act as one ingress with this process.

    Leases and slow-start budgets are handed over completely. One half of each account's share of
    its hard rate limit stays here, for requests that still arrive at this process."""
    accounts, backends = [], []
    for customer, account in policy.accounts.items():
        account.ceiling_leased /= 2
        account.ceiling_unreported /= 2
        plan = policy.settings.plans.index(account.plan)
        slots = [list(slot) for slot in account.ring.slots]
        accounts.append([customer, plan, slots, _account_values(account)])
        account.tokens = 0.0
    for number, backend in policy.pool.backends.items():
        values = {key: getattr(backend, name) for key, name in ENDPOINT_FIELDS.items()}
        backends.append([number, backend.info.started, values])
    fleet = {key: getattr(policy.pool, name) for key, name in POOL_FIELDS.items()}
    fleet["returned"] = list(policy.pool.returned_at.items())
    policy.superseded = policy.pool.superseded = True
    pacing = {
        "crowd": policy.backoff_factor,
        "call_at": policy.next_call_at,
        "began": policy.started_at,
    }
    return {"accounts": accounts, "backends": backends, "fleet": fleet, "gateway": pacing}


def take_back(policy: RequestPolicy, state: dict[str, Any]) -> None:
    """Takes back the leases of a hand-over that no process has taken over.

    The half of each rate limit that was handed over refills by itself."""
    policy.superseded = policy.pool.superseded = False
    for customer, _, _, values in state["accounts"]:
        if account := policy.accounts.get(customer):
            account.tokens += values["tokens"]


def take_over(
    policy: RequestPolicy,
    now: int,
    state: dict[str, Any],
    classes: Sequence[int],
    plans: Sequence[int],
) -> None:
    """Takes over the state of the predecessor process.

    `classes` and `plans` map the predecessor's numbers to this process's; -1: no counterpart."""
    accounts: dict[int, TenantAccount] = {}
    for customer, plan, slots, values in state["accounts"]:
        if plans[plan] >= 0:
            own_plan = policy.settings.plans[plans[plan]]
            account = TenantAccount(own_plan, values["spread"], policy.slot_us, now)
            accounts[customer] = _account_from(account, values, slots)
    _take_over_pool(policy.pool, state, classes)
    policy.backoff_factor = state["gateway"]["crowd"]
    policy.next_call_at = state["gateway"]["call_at"]
    policy.accounts, policy.started_at = accounts, state["gateway"]["began"]


def _take_over_pool(pool: EndpointPool, state: dict[str, Any], classes: Sequence[int]) -> None:
    """Takes over latencies and slow-start budgets; class numbers are mapped to this process's."""
    mapped = [(theirs, own) for theirs, own in enumerate(classes) if own >= 0]
    pool_state = state["fleet"]
    for theirs, own in mapped:
        pool.average_latencies[own] = pool_state["usual"][theirs]
        pool.average_ratios[own] = pool_state["typical"][theirs]
    pool.extra_capacity, pool.sent_on_average = pool_state["more"], pool_state["sends"]
    pool.returned_at = dict(pool_state["returned"])
    for number, started, values in state["backends"]:
        if known := pool.backends.get(number):
            known.info = replace(known.info, started=started)
            for key, name in ENDPOINT_FIELDS.items():
                setattr(known, name, values[key])
            known.latency_ratios = [1.0] * len(pool.average_latencies)
            for theirs, own in mapped:
                known.latency_ratios[own] = values["slow"][theirs]
