"""How far a server has left."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Departure(Enum):
    """What a server has announced of its departure, which is final for its id.

    The values are part of the log format (`control/departure_log.py`).
    """

    DRAINING = "draining"
    ENDED = "deregistered"


DepartureLookup = Callable[[str], Departure | None]  # by the id of a server
