"""The build commands of the deploy files, with stand-ins for Python and its package manager."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
X86_64, ARM64 = "cpython-311-x86_64-linux-gnu", "cpython-311-aarch64-linux-gnu"
# Says which platform it is, makes environments, and installs nothing but a file named after it.
PYTHON = """#!/bin/sh
case "$*" in
*SOABI*) echo "$PLATFORM" ;;
"-m venv "*) mkdir -p "$3/bin" && cp "$0" "$3/bin/pip" && cp "$0" "$3/bin/python" ;;
"-m compileall"* | "-c "*) ;;
*install*)
    echo "$PLATFORM" >> installed
    folder=$(echo "$*" | sed -n 's/.*--target \\([^ ]*\\).*/\\1/p')
    mkdir -p "${folder:-.venv}" && touch "${folder:-.venv}/$PLATFORM"
    exit "$INSTALL_STATUS" ;;
esac
"""


@dataclass(frozen=True, slots=True)
class Checkout:
    """A checkout with stand-ins, and the build command of one of its deploy files."""

    folder: Path
    command: str

    def build(self, platform: str, install_status: int = 0) -> int:
        """The exit status of the build command on a machine of that platform."""
        path = f"{self.folder / 'stand-ins'}:{os.environ['PATH']}"
        environment = {"PATH": path, "PLATFORM": platform, "INSTALL_STATUS": str(install_status)}
        command = ["sh", "-c", self.command]
        return subprocess.run(command, cwd=self.folder, env=environment, check=False).returncode

    def installed(self) -> list[str]:
        """The platforms for which packages were installed, in order."""
        return (self.folder / "installed").read_text().split()

    def built_files(self) -> set[str]:
        """The names of the files that the installations have left behind."""
        folders = (self.folder / "target/deps", self.folder / ".venv")
        names = {file.name for folder in folders if folder.exists() for file in folder.iterdir()}
        return names & {X86_64, ARM64}


@pytest.fixture(params=["system", "balancer"])
def checkout(request: pytest.FixtureRequest, tmp_path: Path) -> Checkout:
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    for requirements in ROOT.glob("requirements*.txt"):
        shutil.copy(requirements, tmp_path)
    python = tmp_path / "stand-ins/python3"
    python.parent.mkdir()
    python.write_text(PYTHON)
    python.chmod(0o755)
    deploy = tomllib.loads((ROOT / f"deploy/{request.param}.toml").read_text())
    return Checkout(tmp_path, deploy["build"])


# Guards against a build folder that was carried over from another kind of machine: it was kept, the
# build succeeded, and no process of the system could start.
def test_a_build_for_another_kind_of_machine_is_built_again(checkout: Checkout) -> None:
    assert [checkout.build(X86_64), checkout.build(X86_64)] == [0, 0]
    assert checkout.installed() == [X86_64]
    assert checkout.build(ARM64) == 0
    assert checkout.installed() == [X86_64, ARM64]
    assert checkout.built_files() == {ARM64}


def test_a_build_that_was_interrupted_is_built_again(checkout: Checkout) -> None:
    assert checkout.build(X86_64, install_status=1) != 0
    assert checkout.build(X86_64) == 0
    assert checkout.installed() == [X86_64, X86_64]


def test_a_build_of_other_requirements_is_built_again(checkout: Checkout) -> None:
    assert checkout.build(X86_64) == 0
    for requirements in checkout.folder.glob("requirements*.txt"):
        requirements.write_text(requirements.read_text() + "another==1.0\n")
        os.utime(requirements, (0, 0))  # as a checkout of an earlier commit may have it
    assert checkout.build(X86_64) == 0
    assert checkout.installed() == [X86_64, X86_64]
