"""Calls of servers and operators as a tree of matchers: each looks at one part of a request and
hands on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote

MOST_NAME = 256


@dataclass(frozen=True, slots=True)
class Request:
    """A call as it came: what is left of its path, and what was found in it so far."""

    method: str
    path: str
    found: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    call: str
    args: dict[str, str]


@dataclass(frozen=True, slots=True)
class RouteFailure:
    status: int
    why: str


RouteResult = RouteMatch | RouteFailure


class RouteMatcher:
    def match(self, asked: Request) -> RouteResult:
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Call(RouteMatcher):
    """A leaf: nothing may be left."""

    name: str

    def match(self, asked: Request) -> RouteResult:
        return (
            RouteFailure(404, "no such call") if asked.path else RouteMatch(self.name, asked.found)
        )


@dataclass(frozen=True, slots=True)
class Method(RouteMatcher):
    name: str
    then: RouteMatcher

    def match(self, asked: Request) -> RouteResult:
        found = self.then.match(asked)
        if isinstance(found, RouteMatch) and asked.method != self.name:
            return RouteFailure(405, f"only {self.name} is known here")
        return found


@dataclass(frozen=True, slots=True)
class Name(RouteMatcher):
    """The next part of the path is a name, whatever it is."""

    key: str
    then: RouteMatcher

    def match(self, asked: Request) -> RouteResult:
        part, _, rest = asked.path.removeprefix("/").partition("/")
        name = unquote(part)
        if not name or len(name) > MOST_NAME:
            return RouteFailure(404, f"the {self.key} is missing or too long")
        return self.then.match(
            Request(asked.method, "/" + rest if rest else "", asked.found | {self.key: name})
        )


@dataclass(frozen=True, slots=True)
class Parts(RouteMatcher):
    """The next part of the path says where to go on."""

    then: Mapping[str, RouteMatcher]

    def match(self, asked: Request) -> RouteResult:
        part, _, rest = asked.path.removeprefix("/").partition("/")
        if (further := self.then.get(part)) is None:
            return RouteFailure(404, "no such call")
        return further.match(Request(asked.method, "/" + rest if rest else "", asked.found))


def match(tree: RouteMatcher, method: str, target: str) -> RouteResult:
    return tree.match(Request(method, target.partition("?")[0]))


CONTROL_ROUTES = Parts(
    {
        "-": Parts(
            {
                "Instances.Heartbeat": Method("POST", Name("id", Call("beat"))),
                "Instances.Deregister": Method("POST", Name("id", Call("end"))),
                "Config.Replace": Method("POST", Call("replace")),
                "Config.Update": Method("POST", Call("update")),
                "Config.Read": Method("GET", Call("read")),
                "Drain.Begin": Method("POST", Name("zone", Call("evacuate"))),
                "Drain.Finish": Method("POST", Name("zone", Call("take back"))),
                "Fleet.Show": Method("GET", Call("show")),
                "readyz": Method("GET", Call("ready")),
            }
        )
    }
)
LOOKUP_ROUTES = Parts(
    {"-": Parts({"lookup": Method("GET", Call("lookup")), "readyz": Method("GET", Call("ready"))})}
)
READY = Parts({"-": Parts({"readyz": Method("GET", Call("ready"))})})
