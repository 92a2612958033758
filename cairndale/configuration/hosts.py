"""The normal form of hosts, and an index of routes by host.

One function, `normalize_host`, reads hosts of the configuration, of requests (the `Host` field,
RFC 9110, section 7.2) and of look-ups, so that texts that name the same host find the same routes
(RFC 3986, sections 3.2.2 and 6.2):

- letters are lower case;
- a dot at the end, which marks a fully qualified name, is removed;
- an IPv6 address in brackets has its shortest form;
- a port has no leading zeros, and an empty port is none.

A route whose host has no port serves the host at every port. One whose host has a port serves it at
this port only, and goes first there.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from ipaddress import AddressValueError, IPv6Address
from typing import Generic, NamedTuple, Protocol, TypeVar

ANY_PORT = b""
MAX_PORT = 65_535
# Requests name few hosts; texts of clients, of up to the size of a field, must not add up.
CACHED_HOSTS = 256


class NormalHost(NamedTuple):
    """A host in its normal form.

    Attributes:
        name: a host name or IP address; empty if the text has none.
        port: decimal digits, of any value; ANY_PORT: none.
    """

    name: bytes
    port: bytes = ANY_PORT

    def __str__(self) -> str:
        text = self.name.decode("utf-8", "replace")
        return f"{text}:{self.port.decode()}" if self.port else text


@lru_cache(maxsize=CACHED_HOSTS)
def normalize_host(host: bytes) -> NormalHost:
    """The normal form of a host, with or without a port; any bytes have one."""
    name, port = _split_port(host)
    if port:
        port = port.lstrip(b"0") or b"0"
    if name.startswith(b"[") and name.endswith(b"]"):
        return NormalHost(_normal_ipv6(name), port)
    return NormalHost(_lower(name).removesuffix(b"."), port)


def host_error(host: str) -> str:
    """Why no request can name the host of a route; empty if a request can."""
    name, port = normalize_host(host.encode())
    if not name:
        return "has no name"
    if _is_ipv6(host):
        return "is an IPv6 address without brackets"
    if port and not 0 < _port_number(port) <= MAX_PORT:
        return f"has a port that is not from 1 to {MAX_PORT}"
    return ""


def _split_port(host: bytes) -> tuple[bytes, bytes]:
    name, colon, port = host.rpartition(b":")
    if colon and (not port or port.isdigit()):
        return name, port
    return host, ANY_PORT


def _lower(name: bytes) -> bytes:
    if name.isascii():
        return name.lower()
    return name.decode("utf-8", "surrogateescape").lower().encode("utf-8", "surrogateescape")


def _normal_ipv6(name: bytes) -> bytes:
    name = _lower(name)
    try:
        return b"[%b]" % IPv6Address(name[1:-1].decode("ascii")).compressed.encode()
    except (AddressValueError, UnicodeDecodeError):
        return name


def _is_ipv6(text: str) -> bool:
    if text.count(":") < 2:
        return False
    try:
        IPv6Address(text)
    except AddressValueError:
        return False
    return True


def _port_number(port: bytes) -> int:
    """A port without leading zeros; any number over MAX_PORT for one of too many digits."""
    return int(port) if len(port) <= len(str(MAX_PORT)) else MAX_PORT + 1


class HostRoute(Protocol):
    """The part of a route that decides between routes of the same host and prefix."""

    @property
    def name(self) -> str:
        """The name, which no other route has."""

    @property
    def has_normal_host(self) -> bool:
        """Whether the configuration has the host in its normal form."""


RouteType = TypeVar("RouteType", bound=HostRoute)


def _precedence(route: HostRoute) -> tuple[bool, str]:
    return not route.has_normal_host, route.name


@dataclass(slots=True)
class HostIndex(Generic[RouteType]):
    """Routes by host and path prefix.

    A valid configuration has one route for each host and prefix. Earlier versions took some texts
    of one host for two, and a delta may move a route before it moves the one whose place it takes.
    Of several routes in one place, the one whose host has the normal form is found, else the first
    by name.
    """

    # By name and port of the host, and path prefix.
    _routes: dict[bytes, dict[bytes, dict[bytes, RouteType]]] = field(
        default_factory=dict, init=False
    )
    # The routes that are not found, by host and prefix.
    _others: dict[tuple[NormalHost, bytes], list[RouteType]] = field(
        default_factory=dict, init=False, compare=False
    )

    def add(self, host: NormalHost, prefix: bytes, route: RouteType) -> None:
        """Adds a route."""
        routes = self._routes.setdefault(host.name, {}).setdefault(host.port, {})
        if prefix not in routes:
            routes[prefix] = route
            return
        first, other = sorted((routes[prefix], route), key=_precedence)
        routes[prefix] = first
        self._others.setdefault((host, prefix), []).append(other)

    def remove(self, host: NormalHost, prefix: bytes, route: RouteType) -> None:
        """Removes a route that was added. Raises KeyError or ValueError if it was not."""
        routes = self._routes[host.name][host.port]
        others = self._others.get((host, prefix))
        if others is None:
            del routes[prefix]
            self._prune(host)
            return
        if routes[prefix] is route:
            route = routes[prefix] = min(others, key=_precedence)
        others.remove(route)
        if not others:
            del self._others[host, prefix]

    def prefixes(self, host: NormalHost) -> Sequence[Mapping[bytes, RouteType]]:
        """The routes that a request for the host may use, by prefix, in the order of search."""
        ports = self._routes.get(host.name)
        if ports is None:
            return ()
        found = [ports[host.port]] if host.port in ports else []
        if host.port and ANY_PORT in ports:
            found.append(ports[ANY_PORT])
        return found

    def all_of_host(self, host: NormalHost) -> list[RouteType]:
        """The routes that clients of the host may use; without a port, those of all its ports."""
        if not host.port:
            ports = self._routes.get(host.name, {})
            return [route for routes in ports.values() for route in routes.values()]
        by_prefix: dict[bytes, RouteType] = {}
        for routes in self.prefixes(host):
            by_prefix = {**routes, **by_prefix}
        return list(by_prefix.values())

    def _prune(self, host: NormalHost) -> None:
        """Removes empty tables of a host."""
        ports = self._routes[host.name]
        if not ports[host.port]:
            del ports[host.port]
        if not ports:
            del self._routes[host.name]
