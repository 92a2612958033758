"""Structured logs: each record an event with a stable name and fields, as key=value for people or
as JSON.

Records go through a bounded queue to a thread that formats and writes; a full queue drops and
counts, and never holds the loop. What stands in for a message is escaped, so that no line can be
forged."""

from __future__ import annotations

import logging
import os
import queue
import re
import signal
import sys
import threading
import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import IO, Any

import structlog

from cairndale.ingress.net.engine import ClientRequest
from cairndale.ingress.policy.interface import Outcome

ROOT_LOGGER = "cairndale.ingress"
FORMER_ROOT = "ironledge"
REPEAT = 1.0  # s in which the same event is gathered
FLOOD = 20  # lines of one event in that time from which on all of it is gathered
FLUSH = 0.2  # s between looks for gathered events
END = 2.0  # s for what is queued to be written at the end


@dataclass(frozen=True, slots=True)
class Options:
    """`[log]` of the configuration."""

    form: str = "text"  # or json
    level: str = "info"
    levels: tuple[tuple[str, str], ...] = ()  # by part, as ("net.discovery", "warning")
    file: str = ""  # standard error if empty
    access: float = 0.0  # share of the requests that get a line
    customers: bool = False  # in clear; otherwise hashed
    queue: int = 10_000  # records


def stable(template: str) -> str:
    """A name for an event, from what its message is made of: `maintenance_is` for `maintenance: %s
    is %s`."""
    words = re.findall(r"[A-Za-z]+", re.sub(r"%[-+ #0-9.]*[a-zA-Z]|'[^']*'", " ", template))
    return "_".join(w.lower() for w in words[:6]) or "event"


class Writer:
    """The thread behind the queue."""

    def __init__(self, options: Options, instance: str) -> None:
        self.options, self.instance = options, instance
        self.queue: queue.Queue[dict[str, Any] | None] = queue.Queue(max(1, options.queue))
        self.dropped = 0
        self._reopen = threading.Event()
        self._out: IO[str] = sys.stderr
        self._last: dict[tuple[str, str], tuple[float, int, dict[str, Any]]] = {}
        # lines of an event since when; events are the program's
        self._pace: dict[str, tuple[float, int]] = {}
        self._render: Any = structlog.processors.JSONRenderer()
        if options.form != "json":
            order = ["time", "level", "event"]
            self._render = structlog.processors.LogfmtRenderer(key_order=order, drop_missing=True)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        self._open()
        self._thread.start()

    def reopen(self) -> None:
        """SIGUSR1: the file has been moved away."""
        self._reopen.set()

    def put(self, entry: dict[str, Any]) -> None:
        try:
            self.queue.put_nowait(entry)
        except queue.Full:
            self.dropped += 1

    def stop(self) -> None:
        try:
            self.queue.put(None, timeout=END)
        except queue.Full:
            return
        self._thread.join(END)

    def _open(self) -> None:
        if self.options.file:
            made = os.open(self.options.file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)
            self._out = os.fdopen(
                made, "a", buffering=1, encoding="utf-8", errors="backslashreplace"
            )

    def _run(self) -> None:
        told = 0
        while True:
            try:
                entry = self.queue.get(timeout=FLUSH)
            except queue.Empty:
                entry = {}
            if self._reopen.is_set() and self.options.file:
                self._reopen.clear()
                self._out.close()
                self._open()
            if entry:
                self._gather(entry)
            self._flush(time.monotonic(), everything=entry is None)
            if self.dropped > told:
                self._write(
                    {"level": "warning", "event": "log_dropped", "dropped": self.dropped - told}
                )
                told = self.dropped
            if entry is None:
                return

    def _gather(self, entry: dict[str, Any]) -> None:
        """The first of an event is written at once; those like it within a second as one, with a
        number."""
        event, now = entry["event"], time.monotonic()
        if event == "request":  # the access log is sampled, never gathered
            self._write(entry)
            return
        since, lines = self._pace.get(event, (now, 0))
        since, lines = (since, lines) if now - since < REPEAT else (now, 0)
        key = (event, entry.get("message", ""))  # alike to the letter; of a flood, whatever it says
        key = key if key in self._last or lines < FLOOD else (event, "")
        if key in self._last:
            began, count, _ = self._last[key]
            self._last[key] = (began, count + 1, entry)
        else:
            self._last[key] = (now, 0, entry)
            self._write(entry)
            lines += 1
        self._pace[event] = (since, lines)

    def _flush(self, now: float, everything: bool) -> None:
        for key, (since, count, entry) in list(self._last.items()):
            if everything or now - since >= REPEAT:
                del self._last[key]
                if count:
                    self._write(entry | {"repeated": count})

    def _write(self, entry: dict[str, Any]) -> None:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(entry.pop("at", time.time())))
        made = {"time": f"{stamp}Z", **entry, "instance": self.instance}
        try:
            text = self._render(None, "", {k: _plain(v) for k, v in made.items()})
            self._out.write((text if isinstance(text, str) else text.decode()) + "\n")
        except (OSError, ValueError):  # a full disk, a closed pipe: the ingress goes on without
            self.dropped += 1


def _plain(value: Any) -> Any:
    """Text without line ends or control characters."""
    if isinstance(value, str):
        return value.encode("unicode_escape").decode() if not value.isprintable() else value
    return value


class Handler(logging.Handler):
    """Where the program's records go: an event's name from its template, its text, its level and
    part."""

    def __init__(self, writer: Writer) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        entry: dict[str, Any] = {
            "at": record.created,
            "level": record.levelname.lower(),
            "event": stable(str(record.msg)),
            "logger": record.name.removeprefix(f"{ROOT_LOGGER}."),
            "message": record.getMessage(),
        }
        if record.exc_info:
            entry["exception"] = logging.Formatter().formatException(record.exc_info)
        self._writer.put(entry)


class Access:
    """The engine's observer for the access log: a sampled line a request."""

    def __init__(self, writer: Writer, names: Any) -> None:
        self._writer, self._engine, self._due = writer, names, 0.0

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        self._due += self._writer.options.access
        if self._due < 1:
            return
        self._due -= 1
        settings = self._engine.settings
        who = f"{wanted.customer:x}"
        if not self._writer.options.customers:
            who = blake2b(who.encode(), digest_size=6).hexdigest()
        self._writer.put(
            {
                "at": time.time(),
                "level": "info",
                "event": "request",
                "id": wanted.id.decode("latin-1"),
                "class": settings.classes[wanted.cls].name,
                "plan": settings.plans[wanted.plan].name,
                "customer": who,
                "outcome": outcome,
                "ms": round(us / 1000, 3),
                "attempts": attempts,
            }
        )

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None: ...
    def counter_called(self, outcome: Outcome, us: int) -> None: ...


class Both:
    """Several observers as one."""

    def __init__(self, *observers: Any) -> None:
        self._observers = observers

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        for observer in self._observers:
            observer.request(wanted, outcome, us, attempts)

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        for observer in self._observers:
            observer.attempt(backend, outcome, us)

    def counter_called(self, outcome: Outcome, us: int) -> None:
        for observer in self._observers:
            observer.counter_called(outcome, us)


def logger_name(part: str) -> str:
    """The logger of a part of the ingress, as `[log] levels` names it: `net.discovery`.

    Settings files of before the packages moved may give the whole name, under the root it had then.
    """
    relative = "" if part == FORMER_ROOT else part.removeprefix(f"{FORMER_ROOT}.")
    return f"{ROOT_LOGGER}.{relative}" if relative else ROOT_LOGGER


def begin(options: Options, instance: str) -> Writer:
    """Takes all of the program's logging over. The caller stops the writer at the end."""
    writer = Writer(options, instance)
    writer.start()
    root = logging.getLogger()
    root.handlers = [Handler(writer)]
    root.setLevel(options.level.upper())
    for part, level in options.levels:
        logging.getLogger(logger_name(part)).setLevel(level.upper())
    signal.signal(signal.SIGUSR1, lambda *_: writer.reopen())
    return writer
