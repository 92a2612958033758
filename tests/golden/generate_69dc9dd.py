"""Writes the golden files in `tests/golden/69dc9dd`: messages and state of commit 69dc9dd.

Run by hand, inside a checkout of that commit, with its pinned requirements installed:

    git worktree add ../69dc9dd 69dc9dd
    PYTHONPATH=../69dc9dd python tests/golden/generate_69dc9dd.py tests/golden/69dc9dd

The files are evidence of the old program: they are never made anew from a later one.
"""

from __future__ import annotations

import sys
from pathlib import Path

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.rpc import protocol_pb2 as pb

# Records of departures as a later version proposes them: this one takes them for rejected changes.
DEPARTURES = ("draining:i-1", "deregistered:i-1", "deregistered:i-2")


def main(folder: Path) -> None:
    """Writes all files."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "protocol.desc").write_bytes(pb.DESCRIPTOR.serialized_pb)
    state = State()
    for key in DEPARTURES:
        state.apply(Command.decode(Command(Verb.REJECT, key).encode()))
    (folder / "departures.state").write_bytes(state.encode())
    (folder / "departures.command").write_bytes(Command(Verb.REJECT, DEPARTURES[0]).encode())
    operation = pb.OperationRequest(method="POST", path="/-/Drain.Begin/z", request_id="ab12")
    (folder / "operation.message").write_bytes(operation.SerializeToString())


if __name__ == "__main__":
    main(Path(sys.argv[1]))
