"""The command `ironledge`: runs an ingress, checks and converts configurations, sends operators'
calls, and starts the list service and the lab.

Exit status: 0 done, 1 a call or command failed or was rejected, 2 an invalid configuration or
invalid arguments, 130 interrupted by Ctrl-C."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import click

from cairndale.ingress.cli import read as config_reader
from cairndale.ingress.cli.model import Config, to_builtins
from cairndale.ingress.cli.schema import EXAMPLE_CONFIG, json_schema, reference_page
from cairndale.ingress.net.http import InvalidResponseError, call_blocking, encode_call

EXIT_USAGE, EXIT_FAILED, EXIT_INTERRUPTED = 2, 1, 130
CALL_TIMEOUT_S = 2.0  # ingresses answer operators' calls within 1 s

Arguments = tuple[str, ...]


def _version() -> str:
    try:
        return version("cairndale")
    except PackageNotFoundError:
        return "unknown (not installed)"


def config_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options `--config` and `--set` to a command."""
    command = click.option(
        "--set",
        "overrides",
        multiple=True,
        metavar="KEY=VALUE",
        help="overrides the file and the environment",
    )(command)
    return click.option(
        "-c",
        "--config",
        "path",
        default="ironledge.toml",
        show_default=True,
        type=click.Path(),
        help="configuration file, TOML or JSON",
    )(command)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(_version(), prog_name="ironledge")
def main() -> None:
    """An ingress that enforces customers' quotas across a fleet of ingresses."""


@main.command()
@config_options
def run(path: str, overrides: Arguments) -> None:
    """Runs one ingress until SIGTERM. SIGHUP reloads the configuration."""
    import uvloop

    from cairndale.ingress.__main__ import IngressParts, serve
    from cairndale.ingress.net.config import Config as ProcessConfig
    from cairndale.ingress.net.config import ConfigError, config_from

    loaded = config_reader.load(path, overrides)

    def reload(before: ProcessConfig) -> ProcessConfig:
        try:
            return config_from(
                config_reader.to_platform(config_reader.load(path, overrides).config), before
            )
        except config_reader.InvalidConfigError as error:
            raise ConfigError("; ".join(error.errors)) from None

    from cairndale.ingress.observability import logs

    config = loaded.config
    writer = logs.start_logging(
        logs.Options(
            config.log.form,
            config.log.level,
            tuple(config.log.levels.items()),
            config.log.file,
            config.log.access,
            config.log.customers,
            config.log.queue,
        ),
        config.name,
    )

    def attach_observers(parts: IngressParts) -> None:
        observers: list[Any] = []
        if config.metrics.on:
            from cairndale.ingress.observability.metrics import Metrics

            metrics = Metrics(parts.engine, parts.sockets, lambda: parts.policy.accounts.values())
            metrics.pools = parts.backends.pool_reports
            if process_config.discovery:
                metrics.list_age = parts.discovery.age
            metrics.start()
            parts.ops.metrics = metrics.scrape
            observers.append(metrics)
        if config.log.access:
            observers.append(logs.AccessLog(writer, parts.engine))
        if observers:
            parts.engine.observer = (
                observers[0] if len(observers) == 1 else logs.ObserverGroup(*observers)
            )

    try:
        process_config = config_from(config_reader.to_platform(config))
        uvloop.run(serve(process_config, reload, attach_observers))
    except (ConfigError, OSError) as error:
        _exit_with_message(
            f"ironledge: {error}", EXIT_USAGE if isinstance(error, ConfigError) else EXIT_FAILED
        )
    finally:
        writer.stop()


@main.command()
@config_options
def check(path: str, overrides: Arguments) -> None:
    """Checks a configuration and prints every error. It is not applied."""
    loaded = config_reader.load(path, overrides)
    config = loaded.config
    click.echo(
        f"{path}: valid; {len(config.server)} servers, {len(config.class_)} classes, "
        f"{len(config.plan)} plans, {'shared counter' if config.counter else 'no shared counter'}"
    )


@main.group()
def config() -> None:
    """Creates, shows, compares and converts configurations."""


@config.command()
@click.argument("path", default="ironledge.toml", type=click.Path(dir_okay=False))
@click.option("--force", is_flag=True, help="overwrite an existing file")
def init(path: str, force: bool) -> None:
    """Writes a commented example. It works with two plain HTTP servers."""
    try:
        with Path(path).open("w" if force else "x") as file:
            file.write(EXAMPLE_CONFIG)
    except FileExistsError:
        _exit_with_message(f"{path}: already exists; use --force to overwrite it", EXIT_FAILED)
    except OSError as error:
        _exit_with_message(f"{path}: {error.strerror}", EXIT_FAILED)
    click.echo(path)


@config.command()
@config_options
@click.option("--json", "as_json", is_flag=True)
def show(path: str, overrides: Arguments, as_json: bool) -> None:
    """Shows every value in effect, and where it comes from."""
    loaded = config_reader.load(path, overrides)
    if as_json:
        click.echo(json.dumps(to_builtins(loaded.config), indent=1))
        return
    for key, value in config_reader.flatten(loaded.config):
        table = key.partition("[")[0]
        origin = loaded.origins.get(key) or loaded.origins.get(table, "default")
        click.echo(f"{key:28} {json.dumps(value):32} {origin}")


@config.command("schema")
def show_schema() -> None:
    """Prints the JSON Schema of the configuration, for editors."""
    click.echo(json.dumps(json_schema(), indent=1))


@config.command("reference")
def show_reference() -> None:
    """Prints the reference page (docs/configuration-reference.md)."""
    click.echo(reference_page(), nl=False)


@config.command()
@click.argument("source", type=click.Path())
@click.option(
    "--to",
    "output_format",
    type=click.Choice(["toml", "json", "platform"]),
    default="toml",
    show_default=True,
)
def convert(source: str, output_format: str) -> None:
    """Converts a configuration to TOML, to JSON or to the platform format.

    The source may be in any of the three formats."""
    import tomli_w

    source_config = _load_any_format(source)
    if output_format == "toml":
        click.echo(tomli_w.dumps(to_builtins(source_config)), nl=False)
    else:
        click.echo(
            json.dumps(
                to_builtins(source_config)
                if output_format == "json"
                else config_reader.to_platform(source_config),
                indent=1,
            )
        )


@config.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> None:
    """Shows how two configurations differ. The exit status is 1 if they do."""
    differences = config_reader.differences(_load_any_format(before), _load_any_format(after))
    for key, old, new in differences:
        click.echo(f"{key}: {json.dumps(old)} -> {json.dumps(new)}")
    sys.exit(EXIT_FAILED if differences else 0)


def _load_any_format(source: str) -> Config:
    """Loads a configuration in the platform format or in that of `ironledge.toml`."""
    path = Path(source)
    raw = config_reader.parse_text(path, config_reader.read_text(path))
    return (
        config_reader.from_platform(raw)
        if "settings" in raw
        else config_reader.load(source, env={}).config
    )


@main.group()
def ops() -> None:
    """Calls ingresses at their operators' addresses. Several are called in parallel."""


def _call(address: str, method: str, path: str) -> dict[str, Any]:
    """Sends one call; the result as printed by `--json`."""
    host, _, port = address.rpartition(":")
    try:
        response = call_blocking(
            host, int(port), encode_call(method, path, address), CALL_TIMEOUT_S
        )
    except InvalidResponseError as error:
        return {"address": address, "ok": False, "answer": f"invalid answer: {error}"}
    except (OSError, ValueError) as error:
        return {"address": address, "ok": False, "answer": f"unreachable: {error}"}
    text = response.body.decode(errors="replace").strip()
    try:
        answer: Any = json.loads(text)
    except (ValueError, RecursionError):
        answer = text
    return {
        "address": address,
        "ok": 200 <= response.status < 300,
        "status": response.status,
        "answer": answer,
    }


def _call_all(
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


def _exit_by_results(rows: list[dict[str, Any]]) -> None:
    sys.exit(0 if all(row["ok"] for row in rows) else EXIT_FAILED)


def _add_call_command(name: str, method: str, path: str, help_: str) -> None:
    """Adds a command that sends one call to each address and tabulates the answers."""

    @ops.command(name, help=help_)
    @click.argument("addresses", nargs=-1, required=True)
    @click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")
    def command(addresses: tuple[str, ...], as_json: bool) -> None:
        rows = _call_all(addresses, method, path, as_json)
        if not as_json:
            shown = [
                [r["address"], "yes" if r["ok"] else "no", _summary(r["answer"])] for r in rows
            ]
            _table(["ingress", name, ""], shown)
        _exit_by_results(rows)


def _summary(answer: Any) -> str:
    if isinstance(answer, dict):
        return ", ".join(f"{k} {v}" for k, v in answer.items() if v not in (None, []))
    return str(answer)


_add_call_command("status", "GET", "/status", "Shows whether each ingress can serve.")
_add_call_command(
    "discovery",
    "GET",
    "/discovery",
    "Shows what each ingress watches, and the age of its server list.",
)


@ops.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")
def pools(addresses: tuple[str, ...], as_json: bool) -> None:
    """Shows the connections to the servers, one line per ingress and server."""
    rows = _call_all(addresses, "GET", "/pools", as_json)
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
        server_rows = [
            [r["address"], *(s.get(k) for k in keys)] for r in rows if r["ok"] for s in r["answer"]
        ]
        _table(
            ["ingress", *keys],
            server_rows + [[r["address"], r["answer"]] for r in rows if not r["ok"]],
        )
    _exit_by_results(rows)


_add_call_command("config", "GET", "/config", "Shows the settings in effect, and their hash.")


@ops.command()
@click.argument("address")
@click.option(
    "--every",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 60),
    help="refresh interval in seconds",
)
@click.option("--count", default=0, help="number of refreshes; 0: until Ctrl-C")
def top(address: str, every: float, count: int) -> None:
    """Shows the oldest open requests, refreshed continuously."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    def render() -> Table:
        result = _call(address, "GET", "/debug/requests")
        table = Table(
            "id", "class", "age, ms", "left, ms", "phase", "attempts", "servers", title=address
        )
        for r in result["answer"] if result["ok"] else []:
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
        table.caption = "" if result["ok"] else str(result["answer"])
        return table

    with Live(render(), console=Console(), auto_refresh=False) as screen:
        refreshes = 1
        while not count or refreshes < count:
            time.sleep(every)
            screen.update(render(), refresh=True)
            refreshes += 1


@ops.command()
@click.argument("server")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")
def drain(server: str, addresses: tuple[str, ...], as_json: bool) -> None:
    """Drains a server at the list service (its `writes` address).

    No ingress sends it new requests from then on."""
    from urllib.parse import quote

    rows = _call_all(addresses, "POST", f"/servers/{quote(server, safe='')}/drain", as_json)
    if not as_json:
        _table(
            ["list service", "drain", ""],
            [[r["address"], "yes" if r["ok"] else "no", _summary(r["answer"])] for r in rows],
        )
    _exit_by_results(rows)


@ops.command()
@click.argument("action", type=click.Choice(["enter", "exit"]))
@click.argument("server")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")
def maintenance(action: str, server: str, addresses: tuple[str, ...], as_json: bool) -> None:
    """Puts a server into maintenance at each ingress, or ends its maintenance."""
    from urllib.parse import quote

    rows = _call_all(
        addresses, "POST", f"/maintenance/{action}?who={quote(server, safe='')}", as_json
    )
    if not as_json:
        _table(
            ["ingress", action, ""],
            [[r["address"], "yes" if r["ok"] else "no", r["answer"]] for r in rows],
        )
    _exit_by_results(rows)


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def directory(args: Arguments) -> None:
    """Runs the list service (see docs/directory.md)."""
    _exec_module("cairndale.discovery", args)


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def lab(args: Arguments) -> None:
    """Runs the lab: emulator, experiments, reports (see docs/lab.md)."""
    _exec_module("cairndale.lab", args)


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def demo(args: Arguments) -> None:
    """Runs real ingresses with stand-ins for servers, counter and discovery for half a minute."""
    _exec_module("cairndale.lab", ("demo", *args))


def _exec_module(module: str, args: Arguments) -> None:
    import os
    from importlib.util import find_spec

    if module == "cairndale.lab" and not all(map(find_spec, ("numpy", "matplotlib", "hdrh"))):
        _exit_with_message(
            "the lab's libraries are not installed: run pip install 'cairndale[lab]', or ./demo "
            "in a checkout",
            EXIT_FAILED,
        )

    os.execv(sys.executable, [sys.executable, "-m", module, *args])


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh"]))
def completion(shell: str) -> None:
    """Prints a completion script. Load it with `eval "$(ironledge completion bash)"`."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class
    click.echo(completion_class(main, {}, "ironledge", "_IRONLEDGE_COMPLETE").source())


def _exit_with_message(message: str, status: int) -> None:
    click.echo(message, err=True)
    sys.exit(status)


def entry() -> None:
    """Runs the command line; ends the process with its exit status."""
    try:
        main.main(prog_name="ironledge", standalone_mode=False)
    except config_reader.InvalidConfigError as error:
        _exit_with_message(str(error), EXIT_USAGE)
    except click.exceptions.NoArgsIsHelpError as error:
        _exit_with_message(error.format_message(), EXIT_USAGE)
    except click.ClickException as error:
        error.show()
        sys.exit(EXIT_USAGE)
    except (click.Abort, KeyboardInterrupt):
        _exit_with_message("interrupted", EXIT_INTERRUPTED)


if __name__ == "__main__":
    entry()
