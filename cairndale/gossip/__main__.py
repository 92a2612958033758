"""A member on its own: `python -m cairndale.gossip FILE`. It serves nothing but the word of who is
there."""

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
from cairndale.gossip.wire import NAME, Address
from cairndale.ingress.cli.checked import about, sound
from cairndale.ingress.net.http import HttpConnection, Message, encode_response

Positive = Annotated[float, Meta(gt=0)]
PATIENCE = 2.0  # s for an operator's call to come whole


class Options(Struct, forbid_unknown_fields=True):
    """The file, TOML."""

    name: Annotated[
        str, Meta(min_length=1, max_length=NAME), about("this member's, one in the fleet")
    ]
    fleet: Annotated[
        str, Meta(min_length=1, max_length=NAME), about("the fleet's; others are not heard")
    ]
    listen: Annotated[str, about("HOST:PORT, for UDP and TCP; others reach it there")]
    folder: Annotated[str, about("what it keeps over a restart")]
    seeds: Annotated[list[str], about("HOST:PORT of members to join through")] = field(
        default_factory=list
    )
    founds: Annotated[bool, about("begins a fleet where no seed answers: one member at most")] = (
        False
    )
    key_file: Annotated[
        str, about("a file with the fleet's key; without one only loopback is heard")
    ] = ""
    zone: Annotated[str, about("where it stands")] = ""
    ops: Annotated[str, about("HOST:PORT for operators; empty: none")] = ""
    period_s: Annotated[Positive, about("s between probes; all other times go with it")] = 1.0


def address(text: str) -> Address:
    """`HOST:PORT` or `[HOST]:PORT`, the host an address of its own. Raises ValueError."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ip_address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError("no port")
    return host, int(port)


def timing(period: float) -> Timing:
    """All times in proportion to the period."""
    usual = Timing()
    return Timing(
        period=period,
        timeout=usual.timeout * period,
        gossip=usual.gossip * period,
        sync=usual.sync * period,
        heal=usual.heal * period,
        round=usual.round * period,
    )


def read(path: Path) -> tuple[Config, Address | None]:
    """And where operators call. Raises MemberError with every error at once."""
    errors: list[str] = []
    try:
        found = sound(tomllib.loads(path.read_text()), Options, "", errors)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise MemberError(f"{path}: {error}") from None
    places: dict[str, Address] = {}
    key = b""
    if isinstance(found, Options):
        wanted = {"listen": found.listen} | ({"ops": found.ops} if found.ops else {})
        wanted |= {f"seeds[{n}]": seed for n, seed in enumerate(found.seeds)}
        for name, text in wanted.items():
            try:
                places[name] = address(text)
            except ValueError:
                errors.append(f"{name}: found {text!r}, IP:PORT is wanted")
        if found.key_file:
            try:
                key = Path(found.key_file).read_bytes().strip()
            except OSError as error:
                errors.append(f"key_file: {error.strerror}")
            if not errors and len(key) < 16:
                errors.append(f"key_file: {len(key)} bytes, 16 or more are wanted")
        if (
            not found.key_file
            and "listen" in places
            and not ip_address(places["listen"][0]).is_loopback
        ):
            errors.append("key_file: is missing, and listen is not on loopback")
    if errors or not isinstance(found, Options):
        raise MemberError("\n".join(f"{path.name}: {e}" for e in errors))
    seeds = tuple(places[f"seeds[{n}]"] for n in range(len(found.seeds)))
    config = Config(
        found.name,
        found.fleet,
        places["listen"],
        seeds,
        Path(found.folder),
        key,
        found.zone,
        found.founds,
        timing(found.period_s),
    )
    return config, places.get("ops")


class Caller(HttpConnection):
    """`GET /members`, `POST /members/remove?name=NAME`: one call a connection."""

    def __init__(self, member: Member) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._member = member
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._timer = asyncio.get_running_loop().call_later(PATIENCE, self.message_invalid, 408)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()

    def message_received(self, message: Message) -> None:
        path, _, query = message.target.decode("latin-1").partition("?")
        match message.method, path:
            case b"GET", "/members":
                self._answer(200, self._member.status())
            case b"POST", "/members/remove":
                name = query.removeprefix("name=")
                good = query.startswith("name=") and self._member.remove(name)
                self._answer(
                    200 if good else 404, {"removed": name} if good else {"error": "no such member"}
                )
            case _, "/members" | "/members/remove":
                self._answer(405, {"error": "not with this method"})
            case _:
                self._answer(404, {"error": "no such call"})

    def message_invalid(self, status: int) -> None:
        self._answer(status, {"error": "not understood"})

    def _answer(self, status: int, what: object) -> None:
        if not self.transport.is_closing():
            self.transport.write(
                encode_response(status, json.dumps(what).encode() + b"\n", close=True)
            )
            self.transport.close()


async def serve(config: Config, ops: Address | None) -> bool:
    """Until SIGTERM, or until it can keep nothing any longer: then False."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    member = Member(config, lambda changed: None)
    await member.start()
    server = await loop.create_server(lambda: Caller(member), *ops) if ops else None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ends = [loop.create_task(event.wait()) for event in (stop, member.failed)]
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    for task in ends:
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
        return 0 if uvloop.run(serve(*read(Path(sys.argv[1])))) else 1
    except (MemberError, OSError) as error:
        print(f"cairndale.gossip: {error}", file=sys.stderr)
        return 2 if isinstance(error, MemberError) else 1


if __name__ == "__main__":
    sys.exit(main())
