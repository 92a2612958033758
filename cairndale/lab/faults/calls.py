"""Callers of the lab: they work against the processes all along, and note each call with its
outcome."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from cairndale.lab.faults.history import CONFLICT, OK, REFUSED, UNKNOWN, Call, Writer
from cairndale.lab.live.ports import HOST

STEP = 1e-6  # a register is a server's weight: 1 and so many steps
AGAIN = 2  # times that a write of unknown outcome is repeated with its id
AGAIN_AFTER = 0.2  # s
CAS = 0.4  # share of the writes that are conditional
READS = 0.35  # share of the calls on registers that read


class NotSent(Exception):
    """The connection never came up: nothing was asked."""


class Lost(Exception):
    """It was asked, and no answer came."""


async def ask(
    port: int, method: str, path: str, body: bytes = b"", timeout: float = 1.0, **fields: str
) -> tuple[int, bytes]:
    """Status and body; raises NotSent or Lost. `timeout` in s, for all of it."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    try:
        async with asyncio.timeout_at(end):
            reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:  # TimeoutError is one
        raise NotSent(str(error)) from None
    try:
        head = {"Host": "x", "Connection": "close", "Content-Length": str(len(body))}
        head |= {name.replace("_", "-"): value for name, value in fields.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        async with asyncio.timeout_at(end):
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            length = int(answer.lower().partition(b"content-length:")[2].split()[0])
            return int(answer.split(b" ", 2)[1]), await reader.readexactly(length)
    except (
        OSError,
        ValueError,
        IndexError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ) as error:
        raise Lost(repr(error)) from None
    finally:
        writer.transport.abort()


def weight_of(value: int) -> float:
    return 1 + value * STEP


def value_of(weight: float) -> int:
    return round((weight - 1) / STEP)


class Reached(Protocol):
    """A process by its own addresses."""

    name: str
    ports: dict[str, int]


@dataclass(slots=True)
class Place:
    """What callers know of a process: its ports by their names, as one caller reaches them."""

    name: str
    ports: dict[str, int]


@dataclass(slots=True)
class Desk:
    """What callers share."""

    history: Writer
    now: Callable[[], int]  # us since the run's 0
    timeout: float  # s
    pause: float  # s, mean
    registers: dict[str, dict[str, Any]]  # a server's name, and its registration without weight
    names: dict[str, str]  # HOST:PORT of writes, as the program knows it: the list service's name
    values: int = 0  # numbers given out
    open: dict[int, Call] = field(default_factory=dict)  # calls under way
    _opened: int = 0

    def fresh(self) -> int:
        self.values += 1
        return self.values

    def begin(self, call: Call) -> int:
        self._opened += 1
        self.open[self._opened] = call
        return self._opened

    def end(self, number: int, outcome: str) -> None:
        call = self.open.pop(number)
        call.end, call.outcome = self.now(), outcome
        self.history.add(call)

    def drop(self, number: int) -> None:
        """A call that was never made."""
        del self.open[number]

    def close(self) -> None:
        """What is open as the run ends has an unknown outcome."""
        for number in list(self.open):
            self.end(number, UNKNOWN)


class ListWriter:
    """Writes to whoever leads, conditionally or not, and reads from there."""

    def __init__(self, name: str, desk: Desk, lists: list[Place], rng: random.Random) -> None:
        self.name, self.desk, self.lists, self.rng = name, desk, lists, rng
        self.at = 0
        self.sure = False  # the one at `at` has said yes to the last write
        self.seen: dict[str, tuple[int, int]] = {}  # register: version and value, as last heard
        # registers to be read, as whoever leads may have forgotten something
        self.unread: list[str] = []

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.desk.pause))
            key = self.rng.choice(list(self.desk.registers))
            if self.sure and self.unread:
                await self._read(self.unread.pop())
            elif self.sure and self.rng.random() < READS:
                await self._read(key)
            else:
                await self._write(key, self.rng.random() < CAS)

    def _elsewhere(self, leader: str = "") -> None:
        self.sure = False
        wanted = self.desk.names.get(leader)
        known = [n for n, place in enumerate(self.lists) if place.name == wanted]
        self.at = known[0] if known and known[0] != self.at else (self.at + 1) % len(self.lists)

    async def _read(self, key: str) -> None:
        place = self.lists[self.at]
        number = self.desk.begin(Call(self.name, place.name, "read", key, self.desk.now(), 0, OK))
        try:
            status, body = await ask(
                place.ports["writes"], "GET", "/servers", timeout=self.desk.timeout
            )
            found = (
                {s["name"]: s for s in json.loads(body)["servers"]}.get(key)
                if status == 200
                else {}
            )
        except (NotSent, Lost, ValueError):
            found = {}
        if found == {}:
            self.desk.drop(number)  # a read without an answer says nothing
            self._elsewhere()
            return
        if found is None:  # forgotten altogether: as if nobody had written
            self.seen.pop(key, None)
        else:
            self.seen[key] = found["version"], value_of(found["weight"])
            self.desk.open[number].value = self.seen[key][1]
        self.desk.end(number, OK)

    async def _write(self, key: str, conditional: bool) -> None:
        desk, value = self.desk, self.desk.fresh()
        version, expected = self.seen.get(key, (0, 0))
        conditional = conditional and key in self.seen
        call = Call(
            self.name,
            "",
            "cas" if conditional else "write",
            key,
            desk.now(),
            0,
            OK,
            value,
            expected,
        )
        number = desk.begin(call)
        body = json.dumps(desk.registers[key] | {"weight": weight_of(value)}).encode()
        fields = {"Request_Id": f"{self.name}-{value}"} | (
            {"If_Match": str(version)} if conditional else {}
        )
        sent = False
        for attempt in range(1 + AGAIN):
            if attempt:
                await asyncio.sleep(AGAIN_AFTER)
            place = self.lists[self.at]
            call.at = place.name
            try:
                status, said = await ask(
                    place.ports["writes"], "PUT", f"/servers/{key}", body, desk.timeout, **fields
                )
                answer = json.loads(said)
            except NotSent:
                self._elsewhere()
                continue
            except (Lost, ValueError):
                sent = True
                self._elsewhere()
                continue
            if status == 200:
                if not self.sure:
                    self.unread = [other for other in desk.registers if other != key]
                self.sure = True
                self.seen[key] = answer["version"], value
                call.token = answer["epoch"]
                desk.end(number, OK)
                return
            if status == 409 and "version" in answer:
                self.seen.pop(key, None)
                desk.end(number, UNKNOWN if sent else CONFLICT)
                return
            sent = sent or "may be" in answer["error"]  # it may yet be kept
            self._elsewhere(str(answer.get("leader") or ""))
        self.seen.pop(key, None)
        desk.end(number, UNKNOWN if sent else REFUSED)


class ListReader:
    """Reads from every list service in turn, as its status says that it may be."""

    def __init__(self, name: str, desk: Desk, lists: list[Place], rng: random.Random) -> None:
        self.name, self.desk, self.lists, self.rng = name, desk, lists, rng

    async def run(self) -> None:
        while True:
            for place in self.lists:
                await asyncio.sleep(self.rng.expovariate(1 / self.desk.pause))
                await self._look(place)

    async def _look(self, place: Place) -> None:
        desk, began = self.desk, self.desk.now()
        try:
            status, said = await ask(place.ports["writes"], "GET", "/status", timeout=desk.timeout)
            told = json.loads(said)
            if status != 200 or told["role"] not in ("leader", "follower"):
                return
            age = 0 if told["role"] == "leader" else int(told["follows"]["age_s"] * 1e6)
            status, said = await ask(
                place.ports["reads"], "GET", "/discovery/hosts", timeout=desk.timeout
            )
            listed = {s["name"]: s for s in json.loads(said)["endpoints"]} if status == 200 else {}
        except (NotSent, Lost, ValueError, KeyError, TypeError):
            return
        for key in desk.registers:
            if key in listed:
                value = value_of(listed[key]["weight"])
                call = Call(
                    self.name, place.name, "aged", key, began, desk.now(), OK, value, 0, age
                )
                desk.history.add(call)


class Client:
    """Asks ingresses for something that takes effect, once a request."""

    def __init__(self, name: str, desk: Desk, ingresses: list[Place], rng: random.Random) -> None:
        self.name, self.desk, self.ingresses, self.rng = name, desk, ingresses, rng
        self.asked = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.desk.pause))
            await self._ask(self.rng.choice(self.ingresses))

    async def _ask(self, place: Place) -> None:
        self.asked += 1
        desk, id = self.desk, f"{self.name}-{self.asked}"
        number = desk.begin(Call(self.name, place.name, "request", id, desk.now(), 0, OK))
        customer = self.rng.getrandbits(32)
        fields = {
            "Request_Id": id,
            "X_Plan": "gold",
            "Cookie": f"customer={customer:016x}",
            "Request_Timeout": f"{int(desk.timeout * 900)}m",
            "X_Quota": "units=1,spread=1,first=0",
        }
        try:
            status, said = await ask(
                place.ports["clients"], "POST", "/order/x?y=1", b"", desk.timeout, **fields
            )
        except NotSent:
            desk.drop(number)
            return
        except Lost:
            desk.end(number, UNKNOWN)
            return
        if status == 200 and said != b"done " + id.encode():
            desk.open[number].value = 1  # somebody else's answer
        desk.end(number, {200: OK, 429: REFUSED, 503: REFUSED}.get(status, UNKNOWN))


class Viewer:
    """Asks members, past all relays, for their view and what they say of themselves."""

    def __init__(
        self, name: str, desk: Desk, members: Sequence[Reached], rng: random.Random
    ) -> None:
        self.name, self.desk, self.members, self.rng = name, desk, members, rng

    async def run(self) -> None:
        while True:
            for member in self.members:
                await asyncio.sleep(self.rng.expovariate(1 / self.desk.pause))
                began = self.desk.now()
                try:
                    _, said = await ask(
                        member.ports["ops"], "GET", "/members", timeout=self.desk.timeout
                    )
                    told = json.loads(said)
                    view, digest = int(told["view"]), int(told["digest"][:12] or "0", 16)
                    key, acts = f"{member.name}/{told['pid']}", int(told["acts"])
                except (NotSent, Lost, ValueError, KeyError, TypeError):
                    continue
                now = self.desk.now()
                call = Call(self.name, member.name, "view", key, began, now, OK, view, digest, acts)
                self.desk.history.add(call)
