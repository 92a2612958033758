"""`python -m cairndale.scale.floor FILE`: measures what the gauge itself costs an idle process."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from cairndale.scale.node import WorkerProcess

SPAN_S = 10.0


async def measure_floor(folder: Path) -> dict[str, float]:
    """Return the cores and MB that an idle process uses, and the load average."""
    worker = await WorkerProcess.begin("idle", folder, [], {"PATH": os.environ.get("PATH", "")})
    try:
        await worker.request({"seed": 1, "cores": [], "control": [], "beat": 1.0, "life": 1.0})
        await worker.request({"do": "count"})
        await asyncio.sleep(SPAN_S)
        usage = await worker.request({"do": "count"})
    finally:
        await worker.end()
    return {"cpu": usage["cpu"], "mb": usage["mb"], "load": os.getloadavg()[0]}


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        Path(sys.argv[1]).write_text(
            json.dumps(asyncio.run(measure_floor(Path(folder))), indent=1) + "\n"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
