"""The list service's program: reads the configuration, opens the data folder, serves until
SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import resource
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from cairndale.discovery.leases import Leases
from cairndale.discovery.replica import Replica
from cairndale.discovery.service import MAX_CONNECTIONS, Service
from cairndale.discovery.store import DataFolderError, Store

Address = tuple[str, int]
# descriptors beside client connections and watches: event loop, files, connection to the leader
RESERVED_DESCRIPTORS = 64
CONFIG_KEYS = {
    "data",
    "reads",
    "writes",
    "follow",
    "history",
    "watches",
    "lease_ms",
    "hold_share",
    "hold_window_s",
}

log = logging.getLogger("cairndale.discovery")


class ConfigError(Exception):
    """The configuration cannot be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The settings of one process, as the configuration file has them."""

    data: Path
    reads: Address
    writes: Address
    follow: Address | None
    history: int
    watches: int
    lease_ms: tuple[int, int]
    hold_share: float
    hold_window_s: float


def _address(raw: dict[str, Any], key: str) -> Address:
    host, _, port = str(raw.get(key)).rpartition(":")
    if not (host and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ConfigError(f"{key}: {raw.get(key)!r} is not HOST:PORT")
    return host, int(port)


def _number(raw: dict[str, Any], key: str, default: float, minimum: float, maximum: float) -> Any:
    """Returns a number within the bounds: an integer, if the default is one."""
    value = raw.get(key, default)
    valid = isinstance(value, int) or (isinstance(default, float) and isinstance(value, float))
    if not valid or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ConfigError(f"{key}: {value!r} is not a number from {minimum} to {maximum}")
    return value


def read_config(path: str) -> Config:
    """Reads and checks the configuration file."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    if unknown := sorted(raw.keys() - CONFIG_KEYS):
        raise ConfigError(f"{unknown[0]}: unknown key")
    if not isinstance(raw.get("data"), str) or not raw["data"]:
        raise ConfigError("data: no folder given")
    lease_ms_range = raw.get("lease_ms", [1000, 60_000])
    if not (
        isinstance(lease_ms_range, list)
        and len(lease_ms_range) == 2
        and all(type(t) is int for t in lease_ms_range)
    ):
        raise ConfigError(f"lease_ms: {lease_ms_range!r} is not [minimum, maximum]")
    if not 100 <= lease_ms_range[0] <= lease_ms_range[1] <= 86_400_000:
        raise ConfigError(
            f"lease_ms: {lease_ms_range!r} must be within 100 to 86400000, minimum first"
        )
    return Config(
        data=Path(raw["data"]),
        reads=_address(raw, "reads"),
        writes=_address(raw, "writes"),
        follow=_address(raw, "follow") if raw.get("follow") is not None else None,
        history=_number(raw, "history", 1024, 1, 100_000),
        watches=_number(raw, "watches", 1024, 1, 100_000),
        lease_ms=(lease_ms_range[0], lease_ms_range[1]),
        hold_share=_number(raw, "hold_share", 0.3, 0, 1),
        hold_window_s=_number(raw, "hold_window_s", 30.0, 1, 3600),
    )


async def serve(config: Config) -> None:
    """Runs the service until SIGTERM or SIGINT."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    ensure_descriptor_limit(config.watches + MAX_CONNECTIONS + RESERVED_DESCRIPTORS)
    store = Store(config.data, config.history)
    try:
        if store.truncated_bytes:
            log.warning(
                "log: truncated %d bytes of an incomplete last record", store.truncated_bytes
            )
        leases = Leases(max_expired_ratio=config.hold_share, window_s=config.hold_window_s)
        service = Service(store, leases, config.lease_ms, config.watches)
        replica = restore_role(service, store, config.follow)
        reads, writes = await service.listen(config.reads, config.writes)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        service.start()
        replica.start()
        log.info(
            "reads on %s:%d, writes on %s:%d", config.reads[0], reads, config.writes[0], writes
        )
        log.info("%s, epoch %d, version %d", service.role, store.state.epoch, store.state.index)
        await stop.wait()
        await replica.stop()
        await service.stop()
    finally:
        store.close()


def ensure_descriptor_limit(required: int) -> None:
    """Raises the limit on descriptors to `required`, or fails the start.

    Otherwise readers could use up the descriptors that the store needs."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < required:
        raise ConfigError(
            f"watches: {required} descriptors are needed, but the hard limit is {hard}"
        )
    if soft != resource.RLIM_INFINITY and soft < required:
        resource.setrlimit(resource.RLIMIT_NOFILE, (required, hard))


def restore_role(service: Service, store: Store, follow: Address | None) -> Replica:
    """Sets the role. The role stored in the data folder takes precedence over the configuration:
    promotions and depositions were explicit."""
    saved_role, epoch = store.role, store.state.epoch
    if saved_role.get("leads") == epoch:
        if follow:
            log.warning("follow: ignored, this replica was promoted and leads epoch %d", epoch)
        return Replica(service, None, str(saved_role.get("deposes") or ""))
    if follow:
        store.save_role(follows="{}:{}".format(*follow))
    elif "follows" in saved_role or "leads" in saved_role:
        raise ConfigError(
            "follow: missing, but the data folder belongs to a follower that was never promoted"
        )
    elif saved_role.get("deposed", 0) > epoch:
        service.role, service.leader_address = "deposed", str(saved_role.get("leader", ""))
    return Replica(service, follow)


def main() -> int:
    """Runs the program; returns its exit status."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s"
    )
    parser = argparse.ArgumentParser(prog="python -m cairndale.discovery", description=__doc__)
    parser.add_argument("config", help="the configuration file, JSON; see docs/directory.md")
    try:
        uvloop.run(serve(read_config(parser.parse_args().config)))
    except (ConfigError, DataFolderError, OSError) as error:
        print(f"cairndale.discovery: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
