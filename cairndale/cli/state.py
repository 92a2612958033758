"""The command `state`."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cairndale.cli.command import ApiCommand, CommandError, ExitCode

if TYPE_CHECKING:
    from cairndale.configuration.state import State
    from cairndale.raft.messages import PersistedState


@dataclass(frozen=True, slots=True)
class _Disk:
    """A control node's disk: its id and contents, and the state with all entries applied."""

    id: str
    persisted: PersistedState
    state: State


class StateCommand(ApiCommand):
    """Shows the contents of a control node's disk. Reads only, and works while the node runs."""

    name = "state"
    description = "Shows the contents of a control node's disk, or its damage. Changes nothing."
    arguments: ClassVar[list[Argument]] = [argument("folder", "the node's stateDir")]
    options: ClassVar[list[Option]] = [
        option("config", None, "print only the configuration in force", flag=True)
    ]

    def run_command(self) -> ExitCode:
        """Print members, log and state, or the configuration alone."""
        folder = Path(self.argument("folder"))
        if not (folder / "promptbook").is_dir():
            raise CommandError(ExitCode.USAGE, f"{folder}: contains no directory `promptbook`")
        disk = _load(folder)
        if self.option("config"):
            self.line(json.dumps(disk.state.content, indent=2))
            return ExitCode.DONE
        self._show_members(disk)
        self._show_log(disk)
        return ExitCode.DONE

    def _show_members(self, disk: _Disk) -> None:
        persisted = disk.persisted
        members = persisted.snapshot.members
        for entry in persisted.entries:
            members = entry.members or members
        voted_for = persisted.voted_for or "nobody"
        self.line(f"disk {disk.id}; term {persisted.term}, voted for {voted_for}")
        for role, learner in (("voters", False), ("learners", True)):
            shown = [f"{m.address} ({m.disk_id})" for m in members if m.learner is learner]
            self.line(f"{role}: {', '.join(shown) or 'none'}")

    def _show_log(self, disk: _Disk) -> None:
        state = disk.state
        snapshot, entries = disk.persisted.snapshot, disk.persisted.entries
        last = entries[-1].index if entries else snapshot.index
        self.line(
            f"snapshot at index {snapshot.index}, {len(entries)} entries after it, "
            f"up to index {last}"
        )
        evacuated = list(state.evacuated)
        self.line(
            f"with all entries applied: gen {state.gen}, version {state.version}, "
            f"evacuated {evacuated}"
        )
        self.line("the last entries may not be committed yet: that takes a majority of the voters")


def _load(folder: Path) -> _Disk:
    """Raises CommandError: the disk cannot be read, or its contents are damaged."""
    # Imported here, so that the other commands start without lmdb.
    from cairndale.configuration.serialization import FormatError
    from cairndale.configuration.state import State
    from cairndale.control.applier import Applier
    from cairndale.raft.storage import RaftStorage, StorageError

    try:
        storage = RaftStorage(folder, read_only=True)
        disk_id, persisted = storage.disk_id(), storage.load()
        storage.close()
        state = State.decode(persisted.snapshot.state)
    except (StorageError, FormatError) as error:
        raise CommandError(ExitCode.REJECTED, f"{folder}: {error}") from error
    applier = Applier(state)
    applier.enqueue(persisted.entries)
    while applier.has_backlog:
        applier.step()
    return _Disk(disk_id, persisted, state)
