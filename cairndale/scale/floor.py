"""`python -m cairndale.scale.floor FILE`: what the gauge itself costs a process that does nothing
else."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from cairndale.scale.node import Node

SPAN = 10.0  # s


async def floor(folder: Path) -> dict[str, float]:
    """Cores and MB."""
    node = await Node.begin("idle", folder, [], {"PATH": os.environ.get("PATH", "")})
    try:
        await node.say({"seed": 1, "cores": [], "control": [], "beat": 1.0, "life": 1.0})
        await node.say({"do": "count"})
        await asyncio.sleep(SPAN)
        told = await node.say({"do": "count"})
    finally:
        await node.end()
    return {"cpu": told["cpu"], "mb": told["mb"], "load": os.getloadavg()[0]}


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        Path(sys.argv[1]).write_text(json.dumps(asyncio.run(floor(Path(folder))), indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
