"""Structured logs: each record is an event with a stable name and fields, written as key=value
pairs or as JSON.

Records go through a bounded queue to a thread that formats and writes them. If the queue is full,
records are dropped and counted, so that the event loop never blocks. Messages are escaped, so that
no peer can forge a line."""

from __future__ import annotations

import logging
import os
import queue
import re
import signal
import sys
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from types import MappingProxyType
from typing import IO, Any

import structlog

from cairndale.ingress.net.engine import ClientRequest
from cairndale.ingress.policy.interface import Outcome

ROOT_LOGGER = "cairndale.ingress"
FORMER_ROOT_LOGGER = "ironledge"
COALESCE_WINDOW_S = 1.0  # repeated records within this time are written as one
# Written lines of one event per window, beyond which its records are coalesced whatever their text.
MAX_LINES_PER_WINDOW = 20
FLUSH_INTERVAL_S = 0.2  # between checks for coalesced records that are due
STOP_TIMEOUT_S = 2.0  # for writing the queued records at the end
# Names of events by what event_name() derives from their templates now: event names are part of
# the log format and stay when a message is reworded.
STABLE_EVENT_NAMES: Mapping[str, str] = MappingProxyType(
    {
        "backend_invalid_response": "backend_answer_not_understood",
        "process_suspended_for_s_closing_all": "stood_still_for_s_idle_connections",
        "backend_response_stalled_connection_closed": "backend_silent_in_the_middle_of",
        "counter_invalid_answer_connection_closed": "counter_answer_not_understood",
        "counter_no_answer_for_s_reconnecting": "counter_silent_for_s_connecting_anew",
        "discovery_lineage_replaces": "discovery_list_in_place_of",
        "discovery_removed_servers_missing_from_the": "discovery_servers_that_the_list_lacks",
        "discovery_receiving_updates_from": "discovery_told_by",
        "discovery_endpoint_list_is_s_old": "discovery_the_list_is_s_old",
        "discovery_no_data_for_s_reconnecting": "discovery_silent_for_s_watching_anew",
        "action_ignored": "not_for_real_ingresses",
    }
)


@dataclass(frozen=True, slots=True)
class Options:
    """The table `[log]` of the configuration."""

    form: str = "text"  # or json
    level: str = "info"
    levels: tuple[tuple[str, str], ...] = ()  # of single parts, as ("net.discovery", "warning")
    file: str = ""  # standard error if empty
    access: float = 0.0  # share of the requests that get a line in the access log
    customers: bool = False  # in clear text; otherwise hashed
    queue: int = 10_000  # capacity in records


def event_name(template: str) -> str:
    """The stable name of an event, made of the first words of its message template:
    `maintenance_is` for `maintenance: %s is %s`. A name in `STABLE_EVENT_NAMES` is replaced by the
    one that the event had before its message was reworded."""
    words = re.findall(r"[A-Za-z]+", re.sub(r"%[-+ #0-9.]*[a-zA-Z]|'[^']*'", " ", template))
    name = "_".join(w.lower() for w in words[:6]) or "event"
    return STABLE_EVENT_NAMES.get(name, name)


class Writer:
    """The log queue, and the thread that writes its records."""

    def __init__(self, options: Options, instance: str) -> None:
        self.options, self.instance = options, instance
        self.queue: queue.Queue[dict[str, Any] | None] = queue.Queue(max(1, options.queue))
        self.dropped = 0
        self._reopen_requested = threading.Event()
        self._out: IO[str] = sys.stderr
        # By event and message: start of the window, records coalesced since, and the last of them.
        self._windows: dict[tuple[str, str], tuple[float, int, dict[str, Any]]] = {}
        # By event: start of the window and lines written since. Its size is bounded, because event
        # names come from the program's own message templates.
        self._line_counts: dict[str, tuple[float, int]] = {}
        self._render: Any = structlog.processors.JSONRenderer()
        if options.form != "json":
            order = ["time", "level", "event"]
            self._render = structlog.processors.LogfmtRenderer(key_order=order, drop_missing=True)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Opens the file and starts the thread. Raises OSError."""
        self._open()
        self._thread.start()

    def reopen(self) -> None:
        """Opens the file again before the next record: after log rotation (SIGUSR1)."""
        self._reopen_requested.set()

    def put(self, entry: dict[str, Any]) -> None:
        """Queues a record, or drops and counts it if the queue is full. Never blocks."""
        try:
            self.queue.put_nowait(entry)
        except queue.Full:
            self.dropped += 1

    def stop(self) -> None:
        """Waits for the queued records to be written, for a limited time."""
        try:
            self.queue.put(None, timeout=STOP_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def _open(self) -> None:
        if self.options.file:
            descriptor = os.open(self.options.file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)
            self._out = os.fdopen(
                descriptor, "a", buffering=1, encoding="utf-8", errors="backslashreplace"
            )

    def _run(self) -> None:
        reported_drops = 0
        while True:
            try:
                entry = self.queue.get(timeout=FLUSH_INTERVAL_S)
            except queue.Empty:
                entry = {}
            if self._reopen_requested.is_set() and self.options.file:
                self._reopen_requested.clear()
                self._out.close()
                self._open()
            if entry:
                self._coalesce(entry)
            self._flush(time.monotonic(), everything=entry is None)
            if self.dropped > reported_drops:
                self._write(
                    {
                        "level": "warning",
                        "event": "log_dropped",
                        "dropped": self.dropped - reported_drops,
                    }
                )
                reported_drops = self.dropped
            if entry is None:
                return

    def _coalesce(self, entry: dict[str, Any]) -> None:
        """Writes the first record of an event at once. Further ones with the same message within
        the window are written as one, with their number."""
        event, now = entry["event"], time.monotonic()
        if event == "request":  # the access log is sampled instead
            self._write(entry)
            return
        window_start, lines = self._line_counts.get(event, (now, 0))
        window_start, lines = (
            (window_start, lines) if now - window_start < COALESCE_WINDOW_S else (now, 0)
        )
        key = (event, entry.get("message", ""))
        key = key if key in self._windows or lines < MAX_LINES_PER_WINDOW else (event, "")
        if key in self._windows:
            first_at, count, _ = self._windows[key]
            self._windows[key] = (first_at, count + 1, entry)
        else:
            self._windows[key] = (now, 0, entry)
            self._write(entry)
            lines += 1
        self._line_counts[event] = (window_start, lines)

    def _flush(self, now: float, everything: bool) -> None:
        for key, (first_at, count, entry) in list(self._windows.items()):
            if everything or now - first_at >= COALESCE_WINDOW_S:
                del self._windows[key]
                if count:
                    self._write(entry | {"repeated": count})

    def _write(self, entry: dict[str, Any]) -> None:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(entry.pop("at", time.time())))
        record = {"time": f"{timestamp}Z", **entry, "instance": self.instance}
        try:
            text = self._render(None, "", {k: _escaped(v) for k, v in record.items()})
            self._out.write((text if isinstance(text, str) else text.decode()) + "\n")
        except (OSError, ValueError):  # full disk or closed pipe: must not stop the ingress
            self.dropped += 1


def _escaped(value: Any) -> Any:
    """The value; of text, line ends and control characters are escaped."""
    if isinstance(value, str):
        return value.encode("unicode_escape").decode() if not value.isprintable() else value
    return value


class Handler(logging.Handler):
    """Turns the program's log records into events for the writer: with the name from the message
    template, the text, the level and the part of the program."""

    def __init__(self, writer: Writer) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record."""
        entry: dict[str, Any] = {
            "at": record.created,
            "level": record.levelname.lower(),
            "event": event_name(str(record.msg)),
            "logger": record.name.removeprefix(f"{ROOT_LOGGER}."),
            "message": record.getMessage(),
        }
        if record.exc_info:
            entry["exception"] = logging.Formatter().formatException(record.exc_info)
        self._writer.put(entry)


class AccessLog:
    """An observer of the engine that writes the access log: one line per sampled request."""

    def __init__(self, writer: Writer, engine: Any) -> None:
        # `_due`: lines due, as the sampling share summed over the requests
        self._writer, self._engine, self._due = writer, engine, 0.0

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        """Writes a line for every sampled request that is over; `us` is its duration."""
        self._due += self._writer.options.access
        if self._due < 1:
            return
        self._due -= 1
        settings = self._engine.settings
        customer = f"{wanted.customer:x}"
        if not self._writer.options.customers:
            customer = blake2b(customer.encode(), digest_size=6).hexdigest()
        self._writer.put(
            {
                "at": time.time(),
                "level": "info",
                "event": "request",
                "id": wanted.id.decode("latin-1"),
                "class": settings.classes[wanted.cls].name,
                "plan": settings.plans[wanted.plan].name,
                "customer": customer,
                "outcome": outcome,
                "ms": round(us / 1000, 3),
                "attempts": attempts,
            }
        )

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        """Attempts are not logged."""
        ...

    def counter_called(self, outcome: Outcome, us: int) -> None:
        """Calls to the counter are not logged."""
        ...


class ObserverGroup:
    """Several observers of the engine as one."""

    def __init__(self, *observers: Any) -> None:
        self._observers = observers

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        """See `Observer` in the engine."""
        for observer in self._observers:
            observer.request(wanted, outcome, us, attempts)

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        """See `Observer` in the engine."""
        for observer in self._observers:
            observer.attempt(backend, outcome, us)

    def counter_called(self, outcome: Outcome, us: int) -> None:
        """See `Observer` in the engine."""
        for observer in self._observers:
            observer.counter_called(outcome, us)


def logger_name(part: str) -> str:
    """The logger of a part of the ingress, which `[log] levels` names as `net.discovery`.

    Settings files from before the packages were renamed may give the full name, under the former
    root.
    """
    relative = "" if part == FORMER_ROOT_LOGGER else part.removeprefix(f"{FORMER_ROOT_LOGGER}.")
    return f"{ROOT_LOGGER}.{relative}" if relative else ROOT_LOGGER


def start_logging(options: Options, instance: str) -> Writer:
    """Sends all of the program's log records to a new writer, which the caller stops at the end."""
    writer = Writer(options, instance)
    writer.start()
    root = logging.getLogger()
    root.handlers = [Handler(writer)]
    root.setLevel(options.level.upper())
    for part, level in options.levels:
        logging.getLogger(logger_name(part)).setLevel(level.upper())
    signal.signal(signal.SIGUSR1, lambda *_: writer.reopen())
    return writer
