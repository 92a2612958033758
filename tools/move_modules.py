"""Moves modules to new dotted names and rewrites every reference to them.

    python tools/move_modules.py TABLE.toml

The table's `[modules]` maps an old dotted module name to its new one; `[packages]` maps a package's
prefix. Files are moved with `git mv`. Imports are rewritten with LibCST, so that a module that is
imported under its own last name is renamed where it is used; dotted names and paths in strings,
comments and pages are replaced as text, the longest first. The table of the first move is
`tools/moves/cairndale.toml`."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import libcst as cst
from libcst.helpers import get_full_name_for_node
from libcst.metadata import MetadataWrapper, QualifiedNameProvider

TEXT_SUFFIXES = {".md", ".toml", ".py", ".pyi", ".proto", ".sh", ".cfg", ".feature", ".yaml", ""}


def tracked(*patterns: str) -> list[Path]:
    """Files of the repository that git tracks, but for the journal and kept measurements."""
    listed = subprocess.run(
        ("git", "ls-files", *patterns), capture_output=True, text=True, check=True
    )
    paths = [Path(line) for line in listed.stdout.splitlines()]
    return [p for p in paths if p.parts[0] != "journal" and p.is_file()]


class Moves:
    """Old dotted names and their new ones."""

    def __init__(self, modules: dict[str, str], packages: dict[str, str]) -> None:
        self.modules = modules
        self.packages = packages
        self.roots = sorted({name.split(".")[0] for name in (*modules, *packages)})

    def new_name(self, dotted: str) -> str:
        """The new name of a module, or of something in it; unchanged where it is in no table."""
        parts = dotted.split(".")
        for count in range(len(parts), 0, -1):
            head, rest = ".".join(parts[:count]), parts[count:]
            for table in (self.modules, self.packages):
                if head in table:
                    return ".".join([table[head], *rest])
        return dotted

    def text(self, source: str) -> str:
        """Dotted names and slashed paths in a text, outside imports."""
        roots = "|".join(self.roots)
        dotted = re.compile(rf"(?<![\w./-])({roots})((?:\.[a-z_]\w*)+)(?!\w)")
        slashed = re.compile(rf"(?<![\w.-])({roots})((?:/[a-z_]\w*)*)(/?)(\.py)?(?![\w/])")

        def replace_dotted(match: re.Match[str]) -> str:
            if match[2].split(".")[-1] in ("toml", "sock", "json"):
                return match[0]
            return self.new_name(match[0])

        def replace_slashed(match: re.Match[str]) -> str:
            if not match[2] and not match[3]:
                return match[0]
            path = (match[1] + match[2]).replace("/", ".")
            return self.new_name(path).replace(".", "/") + match[3] + (match[4] or "")

        return slashed.sub(replace_slashed, dotted.sub(replace_dotted, source))


class ImportRewriter(cst.CSTTransformer):
    """Rewrites imports, and notes which local names of modules change with them."""

    def __init__(self, moves: Moves) -> None:
        super().__init__()
        self.moves = moves
        self.renamed: dict[
            str, str
        ] = {}  # qualified name of an imported module: its new local name

    def leave_ImportFrom(
        self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom
    ) -> cst.BaseSmallStatement | cst.FlattenSentinel[cst.BaseSmallStatement]:
        module = get_full_name_for_node(original_node.module) if original_node.module else ""
        if not module or isinstance(original_node.names, cst.ImportStar):
            return updated_node
        groups: dict[str, list[cst.ImportAlias]] = {}
        assert not isinstance(updated_node.names, cst.ImportStar)
        for alias in updated_node.names:
            name = alias.evaluated_name
            full = f"{module}.{name}"
            moved = self.moves.new_name(full)
            parent, _, last = moved.rpartition(".")
            if last != name:
                alias = alias.with_changes(name=cst.Name(last))
                if alias.asname is None:
                    self.renamed[full] = last
            groups.setdefault(parent, []).append(
                alias.with_changes(comma=cst.MaybeSentinel.DEFAULT)
            )
        made = []
        for parent, aliases in groups.items():
            node = updated_node.with_changes(module=cst.parse_expression(parent), names=aliases)
            made.append(node)
        return made[0] if len(made) == 1 else cst.FlattenSentinel(made)

    def leave_Import(self, original_node: cst.Import, updated_node: cst.Import) -> cst.Import:
        names = []
        for alias in updated_node.names:
            moved = self.moves.new_name(alias.evaluated_name)
            names.append(alias.with_changes(name=cst.parse_expression(moved)))
        return updated_node.with_changes(names=names)


class UseRewriter(cst.CSTTransformer):
    """Renames local uses of modules whose last name has changed."""

    METADATA_DEPENDENCIES = (QualifiedNameProvider,)

    def __init__(self, renamed: dict[str, str]) -> None:
        super().__init__()
        self.renamed = renamed

    def leave_Name(self, original_node: cst.Name, updated_node: cst.Name) -> cst.Name:
        for qualified in self.get_metadata(QualifiedNameProvider, original_node, ()):
            new = self.renamed.get(qualified.name)
            if new and qualified.name.rpartition(".")[2] == original_node.value:
                return updated_node.with_changes(value=new)
        return updated_node


def rewrite_source(source: str, moves: Moves) -> str:
    """A module's source with imports of moved modules, and what they are used as, under the new
    names."""
    found = ImportRewriter(moves)
    wrapper = MetadataWrapper(cst.parse_module(source))
    wrapper.visit(
        found
    )  # only to learn which local names change; names resolve in the unchanged module
    uses_renamed = wrapper.visit(UseRewriter(found.renamed))
    return uses_renamed.visit(ImportRewriter(moves)).code


def rewrite_file(moves: Moves, path: Path) -> str:
    return moves.text(rewrite_source(path.read_text(), moves))


def move_file(source: Path, target: Path) -> None:
    """Two packages may become one: the docstring of the first one's `__init__` stays, to be written
    anew."""
    if source == target:
        return
    if target.exists():
        subprocess.run(("git", "rm", "-q", "-f", str(source)), check=True)
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(("git", "mv", str(source), str(target)), check=True)


def main() -> int:
    table = tomllib.loads(Path(sys.argv[1]).read_text())
    moves = Moves(table["modules"], table.get("packages", {}))
    sources = [
        path for path in tracked("*.py") if any(root in path.read_text() for root in moves.roots)
    ]
    with ProcessPoolExecutor() as workers:
        for path, text in zip(
            sources, workers.map(partial(rewrite_file, moves), sources), strict=True
        ):
            path.write_text(text)
    for path in tracked():
        if path.suffix in TEXT_SUFFIXES and path.suffix != ".py" and path != Path(sys.argv[1]):
            text = path.read_text()
            if (new := moves.text(text)) != text:
                path.write_text(new)
    for path in tracked(*moves.roots):
        dotted = ".".join(path.with_suffix("").parts)
        is_package = path.name == "__init__.py"
        old = ".".join(path.parts[:-1]) if is_package else dotted
        if path.suffix not in (".py", ".pyi"):
            folder = moves.new_name(".".join(path.parts[:-1])).replace(".", "/")
            move_file(path, Path(folder) / path.name)
            continue
        new = Path(moves.new_name(old).replace(".", "/"))
        move_file(path, new / "__init__.py" if is_package else new.with_suffix(path.suffix))
    return 0


if __name__ == "__main__":
    sys.exit(main())
