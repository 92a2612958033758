"""Callers: they load the processes during a run and record each operation with its outcome."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from cairndale.lab.faults.history import CONFLICT, OK, REFUSED, UNKNOWN, HistoryWriter, Operation
from cairndale.lab.live.ports import HOST

WEIGHT_STEP = 1e-6  # a register is stored as a server's weight: 1 + value * WEIGHT_STEP
WRITE_RETRIES = 2  # retries of a write without a clear answer; each sends the same request id
WRITE_RETRY_DELAY_S = 0.2  # s
CAS_SHARE = 0.4  # share of the writes that are conditional (compare-and-set)
READ_SHARE = 0.35  # share of the operations on registers that are reads


class ConnectFailed(Exception):
    """The connection was not established, so no request was sent."""


class ResponseLost(Exception):
    """The request may have been sent, but no valid response arrived."""


async def send_request(
    port: int, method: str, path: str, body: bytes = b"", timeout: float = 1.0, **fields: str
) -> tuple[int, bytes]:
    """Sends one HTTP request and returns the status and the body of the response.

    `timeout` is in seconds and covers connecting, sending and receiving. Raises ConnectFailed or
    ResponseLost."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    try:
        async with asyncio.timeout_at(end):
            reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:  # TimeoutError is one
        raise ConnectFailed(str(error)) from None
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
        raise ResponseLost(repr(error)) from None
    finally:
        writer.transport.abort()


def weight_of(value: int) -> float:
    return 1 + value * WEIGHT_STEP


def value_of(weight: float) -> int:
    return round((weight - 1) / WEIGHT_STEP)


class HasPorts(Protocol):
    """A process with its own port numbers, not those of relays."""

    name: str
    ports: dict[str, int]


@dataclass(slots=True)
class Target:
    """A process as one caller reaches it: the relays' port numbers by port name."""

    name: str
    ports: dict[str, int]


@dataclass(slots=True)
class CallerContext:
    """State that all callers of a run share."""

    history: HistoryWriter
    now: Callable[[], int]  # us since the start of the run
    timeout: float  # s
    mean_pause: float  # s between the operations of a caller
    registers: dict[str, dict[str, Any]]  # server name to its registration without the weight
    # HOST:PORT for writes, as the program knows it, to the name of the list service
    names_by_address: dict[str, str]
    last_value: int = 0  # the last value that `next_value` returned
    in_flight: dict[int, Operation] = field(default_factory=dict)
    _last_number: int = 0

    def next_value(self) -> int:
        self.last_value += 1
        return self.last_value

    def begin(self, operation: Operation) -> int:
        self._last_number += 1
        self.in_flight[self._last_number] = operation
        return self._last_number

    def end(self, number: int, outcome: str) -> None:
        operation = self.in_flight.pop(number)
        operation.end, operation.outcome = self.now(), outcome
        self.history.add(operation)

    def discard(self, number: int) -> None:
        """Drops an operation that was not carried out, so that the history does not contain it."""
        del self.in_flight[number]

    def close(self) -> None:
        """Records the operations still in flight at the end of the run with an unknown outcome."""
        for number in list(self.in_flight):
            self.end(number, UNKNOWN)


class ListWriter:
    """Writes to the leader of the list services, conditionally or not, and reads from it."""

    def __init__(
        self, name: str, context: CallerContext, targets: list[Target], rng: random.Random
    ) -> None:
        self.name, self.context, self.targets, self.rng = name, context, targets, rng
        self.target_index = 0
        self.leader_confirmed = False  # the current target accepted the last write
        # register name to version and value, as last received
        self.known_registers: dict[str, tuple[int, int]] = {}
        # registers to read after a change of leader, since the new leader may lack some writes
        self.unread: list[str] = []

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.context.mean_pause))
            key = self.rng.choice(list(self.context.registers))
            if self.leader_confirmed and self.unread:
                await self._read(self.unread.pop())
            elif self.leader_confirmed and self.rng.random() < READ_SHARE:
                await self._read(key)
            else:
                await self._write(key, self.rng.random() < CAS_SHARE)

    def _switch_target(self, leader: str = "") -> None:
        self.leader_confirmed = False
        leader_name = self.context.names_by_address.get(leader)
        indexes = [n for n, target in enumerate(self.targets) if target.name == leader_name]
        self.target_index = (
            indexes[0]
            if indexes and indexes[0] != self.target_index
            else (self.target_index + 1) % len(self.targets)
        )

    async def _read(self, key: str) -> None:
        target = self.targets[self.target_index]
        number = self.context.begin(
            Operation(self.name, target.name, "read", key, self.context.now(), 0, OK)
        )
        try:
            status, body = await send_request(
                target.ports["writes"], "GET", "/servers", timeout=self.context.timeout
            )
            found = (
                {s["name"]: s for s in json.loads(body)["servers"]}.get(key)
                if status == 200
                else {}
            )
        except (ConnectFailed, ResponseLost, ValueError):
            found = {}
        if found == {}:
            self.context.discard(number)  # a read without an answer constrains nothing
            self._switch_target()
            return
        if found is None:  # the register is missing: recorded as its initial value
            self.known_registers.pop(key, None)
        else:
            self.known_registers[key] = found["version"], value_of(found["weight"])
            self.context.in_flight[number].value = self.known_registers[key][1]
        self.context.end(number, OK)

    async def _write(self, key: str, conditional: bool) -> None:
        context, value = self.context, self.context.next_value()
        version, expected = self.known_registers.get(key, (0, 0))
        conditional = conditional and key in self.known_registers
        operation = Operation(
            self.name,
            "",
            "cas" if conditional else "write",
            key,
            context.now(),
            0,
            OK,
            value,
            expected,
        )
        number = context.begin(operation)
        body = json.dumps(context.registers[key] | {"weight": weight_of(value)}).encode()
        fields = {"Request_Id": f"{self.name}-{value}"} | (
            {"If_Match": str(version)} if conditional else {}
        )
        sent = False
        for attempt in range(1 + WRITE_RETRIES):
            if attempt:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
            target = self.targets[self.target_index]
            operation.process = target.name
            try:
                status, response_body = await send_request(
                    target.ports["writes"],
                    "PUT",
                    f"/servers/{key}",
                    body,
                    context.timeout,
                    **fields,
                )
                answer = json.loads(response_body)
            except ConnectFailed:
                self._switch_target()
                continue
            except (ResponseLost, ValueError):
                sent = True
                self._switch_target()
                continue
            if status == 200:
                if not self.leader_confirmed:
                    self.unread = [other for other in context.registers if other != key]
                self.leader_confirmed = True
                self.known_registers[key] = answer["version"], value
                operation.term = answer["epoch"]
                context.end(number, OK)
                return
            if status == 409 and "version" in answer:
                self.known_registers.pop(key, None)
                context.end(number, UNKNOWN if sent else CONFLICT)
                return
            sent = sent or "may be" in answer["error"]  # the write may still be committed
            self._switch_target(str(answer.get("leader") or ""))
        self.known_registers.pop(key, None)
        context.end(number, UNKNOWN if sent else REFUSED)


class ListReader:
    """Reads from every list service in turn, and records the maximum age that its status states."""

    def __init__(
        self, name: str, context: CallerContext, targets: list[Target], rng: random.Random
    ) -> None:
        self.name, self.context, self.targets, self.rng = name, context, targets, rng

    async def run(self) -> None:
        while True:
            for target in self.targets:
                await asyncio.sleep(self.rng.expovariate(1 / self.context.mean_pause))
                await self._read_with_age(target)

    async def _read_with_age(self, target: Target) -> None:
        context, began = self.context, self.context.now()
        try:
            status, response_body = await send_request(
                target.ports["writes"], "GET", "/status", timeout=context.timeout
            )
            report = json.loads(response_body)
            if status != 200 or report["role"] not in ("leader", "follower"):
                return
            age = 0 if report["role"] == "leader" else int(report["follows"]["age_s"] * 1e6)
            status, response_body = await send_request(
                target.ports["reads"], "GET", "/discovery/hosts", timeout=context.timeout
            )
            listed = (
                {s["name"]: s for s in json.loads(response_body)["endpoints"]}
                if status == 200
                else {}
            )
        except (ConnectFailed, ResponseLost, ValueError, KeyError, TypeError):
            return
        for key in context.registers:
            if key in listed:
                value = value_of(listed[key]["weight"])
                operation = Operation(
                    self.name, target.name, "aged", key, began, context.now(), OK, value, 0, age
                )
                context.history.add(operation)


class Client:
    """Sends requests with a side effect to the ingresses, each request once."""

    def __init__(
        self, name: str, context: CallerContext, ingresses: list[Target], rng: random.Random
    ) -> None:
        self.name, self.context, self.ingresses, self.rng = name, context, ingresses, rng
        self.requests_sent = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.context.mean_pause))
            await self._send_order(self.rng.choice(self.ingresses))

    async def _send_order(self, target: Target) -> None:
        self.requests_sent += 1
        context, id = self.context, f"{self.name}-{self.requests_sent}"
        number = context.begin(
            Operation(self.name, target.name, "request", id, context.now(), 0, OK)
        )
        customer = self.rng.getrandbits(32)
        fields = {
            "Request_Id": id,
            "X_Plan": "gold",
            "Cookie": f"customer={customer:016x}",
            "Request_Timeout": f"{int(context.timeout * 900)}m",
            "X_Quota": "units=1,spread=1,first=0",
        }
        try:
            status, response_body = await send_request(
                target.ports["clients"], "POST", "/order/x?y=1", b"", context.timeout, **fields
            )
        except ConnectFailed:
            context.discard(number)
            return
        except ResponseLost:
            context.end(number, UNKNOWN)
            return
        if status == 200 and response_body != b"done " + id.encode():
            context.in_flight[number].value = 1  # the answer to another request
        context.end(number, {200: OK, 429: REFUSED, 503: REFUSED}.get(status, UNKNOWN))


class Viewer:
    """Reads the membership view and status of each member directly, not through relays."""

    def __init__(
        self, name: str, context: CallerContext, members: Sequence[HasPorts], rng: random.Random
    ) -> None:
        self.name, self.context, self.members, self.rng = name, context, members, rng

    async def run(self) -> None:
        while True:
            for member in self.members:
                await asyncio.sleep(self.rng.expovariate(1 / self.context.mean_pause))
                began = self.context.now()
                try:
                    _, response_body = await send_request(
                        member.ports["ops"], "GET", "/members", timeout=self.context.timeout
                    )
                    report = json.loads(response_body)
                    view, digest = int(report["view"]), int(report["digest"][:12] or "0", 16)
                    key, acts = f"{member.name}/{report['pid']}", int(report["acts"])
                except (ConnectFailed, ResponseLost, ValueError, KeyError, TypeError):
                    continue
                now = self.context.now()
                operation = Operation(
                    self.name, member.name, "view", key, began, now, OK, view, digest, acts
                )
                self.context.history.add(operation)
