"""`ironledge`: run, check, configuration, operators' calls, the list service, the lab.

Exit status: 0 done, 1 something failed or an answer was no, 2 a bad configuration or bad arguments,
130 Ctrl-C."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import click

from cairndale.ingress.cli import read as reading
from cairndale.ingress.cli.model import Config, written
from cairndale.ingress.cli.schema import FIRST, reference, schema

BAD, FAILED, STOPPED = 2, 1, 130
CALL_TIMEOUT = 2.0  # s; an operators' call is answered within one

Sets = tuple[str, ...]


def _version() -> str:
    try:
        return version("cairndale")
    except PackageNotFoundError:
        return "of a checkout"


def configured(command: Callable[..., None]) -> Callable[..., None]:
    command = click.option(
        "--set", "sets", multiple=True, metavar="KEY=VALUE", help="before file and environment"
    )(command)
    return click.option(
        "-c",
        "--config",
        "path",
        default="ironledge.toml",
        show_default=True,
        type=click.Path(),
        help="TOML or JSON",
    )(command)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(_version(), prog_name="ironledge")
def main() -> None:
    """An ingress that holds customers' quotas over a fleet of gateways."""


@main.command()
@configured
def run(path: str, sets: Sets) -> None:
    """Runs one ingress until SIGTERM; SIGHUP reads the configuration anew."""
    import uvloop

    from cairndale.ingress.__main__ import IngressParts, serve
    from cairndale.ingress.net.config import Config as Running
    from cairndale.ingress.net.config import ConfigError, config_from

    found = reading.read(path, sets)

    def again(before: Running) -> Running:
        try:
            return config_from(reading.platform(reading.read(path, sets).config), before)
        except reading.ConfigErrors as error:
            raise ConfigError("; ".join(error.errors)) from None

    from cairndale.ingress.observability import logs

    c = found.config
    writer = logs.begin(
        logs.Options(
            c.log.form,
            c.log.level,
            tuple(c.log.levels.items()),
            c.log.file,
            c.log.access,
            c.log.customers,
            c.log.queue,
        ),
        c.name,
    )

    def look_on(parts: IngressParts) -> None:
        observers: list[Any] = []
        if c.metrics.on:
            from cairndale.ingress.observability.metrics import Metrics

            metrics = Metrics(parts.engine, parts.sockets, lambda: parts.policy.accounts.values())
            metrics.pools = parts.backends.pool_reports
            if running.discovery:
                metrics.list_age = parts.discovery.age
            metrics.start()
            parts.ops.metrics = metrics.scrape
            observers.append(metrics)
        if c.log.access:
            observers.append(logs.Access(writer, parts.engine))
        if observers:
            parts.engine.observer = observers[0] if len(observers) == 1 else logs.Both(*observers)

    try:
        running = config_from(reading.platform(c))
        uvloop.run(serve(running, again, look_on))
    except (ConfigError, OSError) as error:
        _stop(f"ironledge: {error}", BAD if isinstance(error, ConfigError) else FAILED)
    finally:
        writer.stop()


@main.command()
@configured
def check(path: str, sets: Sets) -> None:
    """Checks a configuration without applying it, and says all that is wrong with it."""
    found = reading.read(path, sets)
    c = found.config
    click.echo(
        f"{path}: sound; {len(c.server)} servers, {len(c.class_)} classes, {len(c.plan)} plans, "
        f"{'a shared counter' if c.counter else 'quotas of this process'}"
    )


@main.group()
def config() -> None:
    """Writes, shows, compares and converts configurations."""


@config.command()
@click.argument("path", default="ironledge.toml", type=click.Path(dir_okay=False))
@click.option("--force", is_flag=True, help="write over what is there")
def init(path: str, force: bool) -> None:
    """Writes a commented file that works before two plain HTTP servers."""
    try:
        with Path(path).open("w" if force else "x") as file:
            file.write(FIRST)
    except FileExistsError:
        _stop(f"{path}: is there already; --force writes over it", FAILED)
    except OSError as error:
        _stop(f"{path}: {error.strerror}", FAILED)
    click.echo(path)


@config.command()
@configured
@click.option("--json", "as_json", is_flag=True)
def show(path: str, sets: Sets, as_json: bool) -> None:
    """Every value that holds, and where it comes from."""
    found = reading.read(path, sets)
    if as_json:
        click.echo(json.dumps(written(found.config), indent=1))
        return
    for key, value in reading.flat(found.config):
        plain = key.partition("[")[0]
        origin = found.origins.get(key) or found.origins.get(plain, "default")
        click.echo(f"{key:28} {json.dumps(value):32} {origin}")


@config.command("schema")
def show_schema() -> None:
    """The JSON Schema, for editors."""
    click.echo(json.dumps(schema(), indent=1))


@config.command("reference")
def show_reference() -> None:
    """The reference page (docs/configuration-reference.md)."""
    click.echo(reference(), nl=False)


@config.command()
@click.argument("source", type=click.Path())
@click.option(
    "--to",
    "form",
    type=click.Choice(["toml", "json", "platform"]),
    default="toml",
    show_default=True,
)
def convert(source: str, form: str) -> None:
    """Another form of a configuration: the platform's JSON as TOML, TOML as JSON, either as the
    platform's."""
    import tomli_w

    found = _either(source)
    if form == "toml":
        click.echo(tomli_w.dumps(written(found)), nl=False)
    else:
        click.echo(
            json.dumps(written(found) if form == "json" else reading.platform(found), indent=1)
        )


@config.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> None:
    """What differs between two configurations; status 1 if anything does."""
    found = reading.differences(_either(before), _either(after))
    for key, old, new in found:
        click.echo(f"{key}: {json.dumps(old)} -> {json.dumps(new)}")
    sys.exit(FAILED if found else 0)


def _either(source: str) -> Config:
    path = Path(source)
    raw = reading.raw_of(path, reading.text_of(path))
    return reading.from_platform(raw) if "settings" in raw else reading.read(source, env={}).config


# Operators' calls.


@main.group()
def ops() -> None:
    """Calls running ingresses at their operators' addresses, several at once."""


def _call(address: str, method: str, path: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    try:
        connection = HTTPConnection(host, int(port), timeout=CALL_TIMEOUT)
        try:
            connection.request(method, path)
            answer = connection.getresponse()
            text = answer.read(1 << 22).decode(errors="replace").strip()
        finally:
            connection.close()
    except (OSError, HTTPException, ValueError) as error:
        return {"address": address, "ok": False, "answer": f"not reached: {error}"}
    try:
        said: Any = json.loads(text)
    except ValueError:
        said = text
    return {
        "address": address,
        "ok": 200 <= answer.status < 300,
        "status": answer.status,
        "answer": said,
    }


def _asked(
    addresses: tuple[str, ...], method: str, path: str, as_json: bool
) -> list[dict[str, Any]]:
    with ThreadPoolExecutor(max_workers=min(32, len(addresses))) as pool:
        rows = list(pool.map(lambda a: _call(a, method, path), addresses))
    if as_json:
        click.echo(json.dumps(rows, indent=1))
    return rows


def _table(columns: list[str], rows: list[list[Any]]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns)
    for row in rows:
        table.add_row(*("" if c is None else str(c) for c in row))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


def _end(rows: list[dict[str, Any]]) -> None:
    sys.exit(0 if all(row["ok"] for row in rows) else FAILED)


def _called(name: str, method: str, path: str, help_: str) -> None:
    @ops.command(name, help=help_)
    @click.argument("addresses", nargs=-1, required=True)
    @click.option("--json", "as_json", is_flag=True, help="for programs")
    def command(addresses: tuple[str, ...], as_json: bool) -> None:
        rows = _asked(addresses, method, path, as_json)
        if not as_json:
            shown = [[r["address"], "yes" if r["ok"] else "no", _short(r["answer"])] for r in rows]
            _table(["ingress", name, ""], shown)
        _end(rows)


def _short(answer: Any) -> str:
    if isinstance(answer, dict):
        return ", ".join(f"{k} {v}" for k, v in answer.items() if v not in (None, []))
    return str(answer)


_called("status", "GET", "/status", "Whether each can serve.")
_called("discovery", "GET", "/discovery", "What each watches, and how old its list is.")


@ops.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="for programs")
def pools(addresses: tuple[str, ...], as_json: bool) -> None:
    """Connections to the servers, a line for each ingress and server."""
    rows = _asked(addresses, "GET", "/pools", as_json)
    if not as_json:
        keys = [
            "name",
            "open",
            "idle",
            "busy",
            "waiting",
            "dials",
            "reuse",
            "stale_caught",
            "stale_missed",
            "bound",
            "why",
        ]
        lines = [
            [r["address"], *(s.get(k) for k in keys)] for r in rows if r["ok"] for s in r["answer"]
        ]
        _table(
            ["ingress", *keys], lines + [[r["address"], r["answer"]] for r in rows if not r["ok"]]
        )
    _end(rows)


_called("config", "GET", "/config", "The settings that run, and their hash.")


@ops.command()
@click.argument("address")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 60), help="s")
@click.option("--count", default=0, help="looks; 0: until Ctrl-C")
def top(address: str, every: float, count: int) -> None:
    """The oldest open requests, live."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    def look() -> Table:
        said = _call(address, "GET", "/debug/requests")
        table = Table(
            "id", "class", "age, ms", "left, ms", "phase", "attempts", "servers", title=address
        )
        for r in said["answer"] if said["ok"] else []:
            row = (
                r["id"],
                r["class"],
                r["age_ms"],
                r["left_ms"],
                r["phase"],
                r["attempts"],
                " ".join(r["servers"]),
            )
            table.add_row(*(str(v) for v in row))
        table.caption = "" if said["ok"] else str(said["answer"])
        return table

    with Live(look(), console=Console(), auto_refresh=False) as screen:
        looks = 1
        while not count or looks < count:
            time.sleep(every)
            screen.update(look(), refresh=True)
            looks += 1


@ops.command()
@click.argument("server")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="for programs")
def drain(server: str, addresses: tuple[str, ...], as_json: bool) -> None:
    """Drains a server at the list service (its `writes` address): it gets nothing new anywhere."""
    from urllib.parse import quote

    rows = _asked(addresses, "POST", f"/servers/{quote(server, safe='')}/drain", as_json)
    if not as_json:
        _table(
            ["list service", "drain", ""],
            [[r["address"], "yes" if r["ok"] else "no", _short(r["answer"])] for r in rows],
        )
    _end(rows)


@ops.command()
@click.argument("what", type=click.Choice(["enter", "exit"]))
@click.argument("server")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="for programs")
def maintenance(what: str, server: str, addresses: tuple[str, ...], as_json: bool) -> None:
    """Takes a server out at each ingress, or puts it back."""
    from urllib.parse import quote

    rows = _asked(addresses, "POST", f"/maintenance/{what}?who={quote(server, safe='')}", as_json)
    if not as_json:
        _table(
            ["ingress", what, ""],
            [[r["address"], "yes" if r["ok"] else "no", r["answer"]] for r in rows],
        )
    _end(rows)


# The other programs.


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def directory(args: Sets) -> None:
    """The list service (see docs/directory.md)."""
    _other("cairndale.discovery", args)


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def lab(args: Sets) -> None:
    """The lab: emulator, experiments, reports (see docs/lab.md)."""
    _other("cairndale.lab", args)


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def demo(args: Sets) -> None:
    """Real ingresses amid stand-ins for half a minute."""
    _other("cairndale.lab", ("demo", *args))


def _other(module: str, args: Sets) -> None:
    import os
    from importlib.util import find_spec

    if module == "cairndale.lab" and not all(map(find_spec, ("numpy", "matplotlib", "hdrh"))):
        _stop(
            "the lab's libraries are not there: pip install 'cairndale[lab]', or ./demo "
            "in a checkout",
            FAILED,
        )

    os.execv(sys.executable, [sys.executable, "-m", module, *args])


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh"]))
def completion(shell: str) -> None:
    """A script that completes commands: `eval "$(ironledge completion bash)"`."""
    from click.shell_completion import get_completion_class

    found = get_completion_class(shell)
    assert found
    click.echo(found(main, {}, "ironledge", "_IRONLEDGE_COMPLETE").source())


def _stop(message: str, status: int) -> None:
    click.echo(message, err=True)
    sys.exit(status)


def entry() -> None:
    try:
        main.main(prog_name="ironledge", standalone_mode=False)
    except reading.ConfigErrors as error:
        _stop(str(error), BAD)
    except click.exceptions.NoArgsIsHelpError as error:
        _stop(error.format_message(), BAD)
    except click.ClickException as error:
        error.show()
        sys.exit(BAD)
    except (click.Abort, KeyboardInterrupt):
        _stop("stopped", STOPPED)


if __name__ == "__main__":
    entry()
