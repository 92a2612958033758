"""The stored form of the state; its keys and their order are part of the format."""

from __future__ import annotations

import dataclasses

import pytest

from cairndale.configuration.serialization import FormatError
from cairndale.configuration.state import STORED_KEYS, State

KEYS = [
    "gen",
    "content",
    "evacuated",
    "moves",
    "version",
    "edges",
    "known",
    "forgotten",
    "calls",
    "system",
]


def test_each_attribute_is_stored_under_its_key_in_order() -> None:
    public = [
        attribute.name
        for attribute in dataclasses.fields(State)
        if not attribute.name.startswith("_")
    ]
    assert list(STORED_KEYS) == public
    assert list(STORED_KEYS.values()) == list(State().to_dict()) == KEYS


def test_stored_values_are_restored_to_the_same_attributes() -> None:
    state = State(
        gen=7,
        content={"gen": 7},
        evacuated={"z": 1},
        latest_evacuation_orders={"z": "o"},
        version=3,
        edges=["e"],
        idempotency_records={"d": 7},
        evicted_gen=2,
        evacuation_calls={"c": "o"},
        system_name="s",
    )
    assert list(state.to_dict().values()) == [
        7,
        {"gen": 7},
        {"z": 1},
        {"z": "o"},
        3,
        ["e"],
        {"d": 7},
        2,
        {"c": "o"},
        "s",
    ]
    assert State.from_dict(state.to_dict()) == State.decode(state.encode()) == state


@pytest.mark.parametrize("raw", [{"later": 1}, {"evicted_gen": 1}, {"_history": None}])
def test_a_state_with_an_unknown_key_is_rejected(raw: dict[str, object]) -> None:
    with pytest.raises(FormatError):
        State.from_dict(raw)
