"""Commands: the entries of the replicated log, which each member applies to its state."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Verb(Enum):
    """What a command does. The values are part of the log format."""

    REPLACE = "replace"  # the complete configuration
    UPDATE = "update"  # items of the configuration
    EVACUATE = "evacuate"  # a zone
    RESTORE = "take back"  # an evacuated zone
    ENROL = "enrol"  # data-plane nodes that may hold leases
    REJECT = "refuse"  # a change, permanently
    NAME = "name"  # the system, once


@dataclass(frozen=True, slots=True)
class Command:
    """One entry of the replicated log, for `State.apply`.

    Attributes:
        verb: what the command does.
        digest: identifies the command: the digest of a change's request body, the id of an
            evacuation order, or the system's name.
        body: the JSON body of a Replace or Update.
        zone: the zone that is evacuated or restored.
        added_nodes: data-plane nodes that may hold leases from this entry on.
        removed_nodes: data-plane nodes that may not hold leases any longer.
        call_id: the id of an operator's call for a zone, given by the node that received it.
    """

    verb: Verb
    digest: str = ""
    body: dict[str, Any] = field(default_factory=dict)
    zone: str = ""
    added_nodes: tuple[str, ...] = ()
    removed_nodes: tuple[str, ...] = ()
    call_id: str = ""

    def to_dict(self) -> dict[str, Any]:
        """The command as a JSON object. Its keys are part of the log format."""
        return {
            "verb": self.verb.value,
            "digest": self.digest,
            "order": self.body,
            "zone": self.zone,
            "names": list(self.added_nodes),
            "gone": list(self.removed_nodes),
            "call": self.call_id,
        }

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Command:
        """The command of a JSON object. Raises KeyError, TypeError or ValueError."""
        return cls(
            verb=Verb(raw["verb"]),
            digest=raw["digest"],
            body=raw["order"],
            zone=raw["zone"],
            added_nodes=tuple(raw["names"]),
            removed_nodes=tuple(raw["gone"]),
            call_id=raw.get("call", ""),  # missing in logs of earlier versions
        )

    def encode(self) -> bytes:
        """The command as JSON, compressed with zlib."""
        text = json.dumps(self.to_dict(), separators=(",", ":"))
        return zlib.compress(text.encode(), 6)

    @classmethod
    def decode(cls, data: bytes) -> Command:
        """The reverse of `encode`. Raises zlib.error, KeyError, TypeError or ValueError."""
        return cls.from_dict(json.loads(zlib.decompress(data)))
