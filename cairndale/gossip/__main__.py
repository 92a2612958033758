"""Runs a standalone member: `python -m cairndale.gossip FILE`. It serves nothing but the membership
itself."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import httptools
import uvloop
from msgspec import Meta, Struct, field

from cairndale.gossip.core import Timing
from cairndale.gossip.shell import Config, Member, MemberError
from cairndale.gossip.wire import MAX_NAME_LENGTH, Address
from cairndale.ingress.cli.checked import about, sound
from cairndale.ingress.net.http import HttpConnection, Message, plain

Positive = Annotated[float, Meta(gt=0)]
MIN_KEY_BYTES = 16
REQUEST_TIMEOUT = 2.0  # s, for an operator's request to be received completely


class Options(Struct, forbid_unknown_fields=True):
    """The configuration file, in TOML."""

    name: Annotated[
        str,
        Meta(min_length=1, max_length=MAX_NAME_LENGTH),
        about("name of this member, unique in the fleet"),
    ]
    fleet: Annotated[
        str,
        Meta(min_length=1, max_length=MAX_NAME_LENGTH),
        about("name of the fleet; messages of other fleets are dropped"),
    ]
    listen: Annotated[str, about("HOST:PORT that other members reach it at, by UDP and TCP")]
    folder: Annotated[str, about("directory of the state that is kept over restarts")]
    seeds: Annotated[list[str], about("HOST:PORT of members to join through")] = field(
        default_factory=list
    )
    founds: Annotated[
        bool, about("creates a fleet if no seed answers; true for at most one member")
    ] = False
    key_file: Annotated[
        str, about("file with the key of the fleet; without it, only loopback is accepted")
    ] = ""
    zone: Annotated[str, about("availability zone")] = ""
    ops: Annotated[str, about("HOST:PORT of the operator's page; empty: none")] = ""
    period_s: Annotated[Positive, about("s between probes; all other times scale with it")] = 1.0


def parse_address(text: str) -> Address:
    """Parses `HOST:PORT` or `[HOST]:PORT`, where HOST is an IP address. Raises ValueError."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ip_address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError("not a port number: expected 1 to 65535")
    return host, int(port)


def scaled_timing(probe_period: float) -> Timing:
    """The default timing, with all times scaled in proportion to the probe period."""
    defaults = Timing()
    return Timing(
        probe_period=probe_period,
        probe_timeout=defaults.probe_timeout * probe_period,
        gossip_interval=defaults.gossip_interval * probe_period,
        sync_interval=defaults.sync_interval * probe_period,
        reconnect_interval=defaults.reconnect_interval * probe_period,
        ballot_timeout=defaults.ballot_timeout * probe_period,
    )


def read_config(path: Path) -> tuple[Config, Address | None]:
    """Reads the configuration file, and the address of the operator's page if there is one. Raises
    MemberError with all errors at once."""
    errors: list[str] = []
    try:
        options = sound(tomllib.loads(path.read_text()), Options, "", errors)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise MemberError(f"{path}: {error}") from None
    addresses: dict[str, Address] = {}
    key = b""
    if isinstance(options, Options):
        address_texts = {"listen": options.listen} | ({"ops": options.ops} if options.ops else {})
        address_texts |= {f"seeds[{n}]": seed for n, seed in enumerate(options.seeds)}
        for name, text in address_texts.items():
            try:
                addresses[name] = parse_address(text)
            except ValueError:
                errors.append(f"{name}: expected IP:PORT, got {text!r}")
        if options.key_file:
            try:
                key = Path(options.key_file).read_bytes().strip()
            except OSError as error:
                errors.append(f"key_file: {error.strerror}")
            if not errors and len(key) < MIN_KEY_BYTES:
                errors.append(f"key_file: {len(key)} bytes, expected {MIN_KEY_BYTES} or more")
        if (
            not options.key_file
            and "listen" in addresses
            and not ip_address(addresses["listen"][0]).is_loopback
        ):
            errors.append("key_file: required, because listen is not on loopback")
    if errors or not isinstance(options, Options):
        raise MemberError("\n".join(f"{path.name}: {e}" for e in errors))
    seeds = tuple(addresses[f"seeds[{n}]"] for n in range(len(options.seeds)))
    config = Config(
        options.name,
        options.fleet,
        addresses["listen"],
        seeds,
        Path(options.folder),
        key,
        options.zone,
        options.founds,
        scaled_timing(options.period_s),
    )
    return config, addresses.get("ops")


class OperatorConnection(HttpConnection):
    """Serves the operator's page: `GET /members` and `POST /members/remove?name=NAME`, one request
    per connection."""

    def __init__(self, member: Member) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._member = member
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT, self.garbage, 408)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()

    def received(self, message: Message) -> None:
        path, _, query = message.target.decode("latin-1").partition("?")
        match message.method, path:
            case b"GET", "/members":
                self._answer(200, self._member.status())
            case b"POST", "/members/remove":
                name = query.removeprefix("name=")
                removed = query.startswith("name=") and self._member.remove(name)
                self._answer(
                    200 if removed else 404,
                    {"removed": name} if removed else {"error": "no such member"},
                )
            case _, "/members" | "/members/remove":
                self._answer(405, {"error": "not with this method"})
            case _:
                self._answer(404, {"error": "no such call"})

    def garbage(self, status: int) -> None:
        self._answer(status, {"error": "not understood"})

    def _answer(self, status: int, body: object) -> None:
        if not self.transport.is_closing():
            self.transport.write(plain(status, json.dumps(body).encode() + b"\n", close=True))
            self.transport.close()


async def serve(config: Config, ops: Address | None) -> bool:
    """Runs the member until SIGTERM or SIGINT. Returns False if it stopped because its state could
    not be written to disk."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    member = Member(config, lambda changed: None)
    await member.start()
    server = await loop.create_server(lambda: OperatorConnection(member), *ops) if ops else None
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    waits = [loop.create_task(event.wait()) for event in (stop, member.failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in waits:
        task.cancel()
    if server:
        server.close()
    await member.stop()
    return not member.failed.is_set()


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s"
    )
    if len(sys.argv) != 2:
        print("usage: python -m cairndale.gossip FILE", file=sys.stderr)
        return 2
    try:
        return 0 if uvloop.run(serve(*read_config(Path(sys.argv[1])))) else 1
    except (MemberError, OSError) as error:
        print(f"cairndale.gossip: {error}", file=sys.stderr)
        return 2 if isinstance(error, MemberError) else 1


if __name__ == "__main__":
    sys.exit(main())
