"""Routes of the HTTP API: a tree of matchers, each of which takes one part of a request.

A matcher looks at the next part of the path, or at the method, and hands the rest to the matcher
below it; a leaf names the call. A path that no branch knows is a 404, a known path with another
method a 405.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote

MAX_NAME_CHARS = 256


@dataclass(frozen=True, slots=True)
class Request:
    """A request on its way down the tree.

    Attributes:
        method: as it came.
        path: what is left of it: empty, or beginning with a slash.
        path_args: the names taken from the path so far, by key.
    """

    method: str
    path: str
    path_args: dict[str, str] = field(default_factory=dict)

    def split(self) -> tuple[str, Request]:
        """The next part of the path, and the request without it."""
        part, _, rest = self.path.removeprefix("/").partition("/")
        return part, Request(self.method, "/" + rest if rest else "", self.path_args)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The call that a request means, and the names in its path by key."""

    call: str
    args: dict[str, str]


@dataclass(frozen=True, slots=True)
class RouteFailure:
    """Why a request means no call: the HTTP status, and a sentence."""

    status: int
    reason: str


RouteResult = RouteMatch | RouteFailure


class RouteMatcher:
    """One node of the tree."""

    def match(self, request: Request) -> RouteResult:
        """What the request means, from here downwards."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Call(RouteMatcher):
    """A leaf: the path ends here, and means this call."""

    name: str

    def match(self, request: Request) -> RouteResult:
        """The call, or 404 if something of the path is left."""
        if request.path:
            return RouteFailure(404, "no such call")
        return RouteMatch(self.name, request.path_args)


@dataclass(frozen=True, slots=True)
class Method(RouteMatcher):
    """Only one method is allowed below here."""

    name: str
    child: RouteMatcher

    def match(self, request: Request) -> RouteResult:
        """What is found below, or 405 if that is a call and the method another."""
        result = self.child.match(request)
        if isinstance(result, RouteMatch) and request.method != self.name:
            return RouteFailure(405, f"only {self.name} is known here")
        return result


@dataclass(frozen=True, slots=True)
class PathParameter(RouteMatcher):
    """The next part of the path is a name, whatever it is, and is kept under `key`."""

    key: str
    child: RouteMatcher

    def match(self, request: Request) -> RouteResult:
        """What is found below, or 404 if the name is missing or too long."""
        part, rest = request.split()
        name = unquote(part)
        if not name or len(name) > MAX_NAME_CHARS:
            return RouteFailure(404, f"the {self.key} is missing or too long")
        return self.child.match(Request(rest.method, rest.path, rest.path_args | {self.key: name}))


@dataclass(frozen=True, slots=True)
class PathSegments(RouteMatcher):
    """The next part of the path selects the matcher below."""

    children: Mapping[str, RouteMatcher]

    def match(self, request: Request) -> RouteResult:
        """What is found below, or 404 if no matcher has that part."""
        part, rest = request.split()
        if (matcher := self.children.get(part)) is None:
            return RouteFailure(404, "no such call")
        return matcher.match(rest)


def match(tree: RouteMatcher, method: str, target: str) -> RouteResult:
    """What a request means by this tree. The query of the target does not matter."""
    return tree.match(Request(method, target.partition("?")[0]))


CONTROL_ROUTES = PathSegments(
    {
        "-": PathSegments(
            {
                "Instances.Heartbeat": Method("POST", PathParameter("id", Call("beat"))),
                "Instances.Deregister": Method("POST", PathParameter("id", Call("end"))),
                "Config.Replace": Method("POST", Call("replace")),
                "Config.Update": Method("POST", Call("update")),
                "Config.Read": Method("GET", Call("read")),
                "Drain.Begin": Method("POST", PathParameter("zone", Call("evacuate"))),
                "Drain.Finish": Method("POST", PathParameter("zone", Call("take back"))),
                "Fleet.Show": Method("GET", Call("show")),
                "readyz": Method("GET", Call("ready")),
            }
        )
    }
)
LOOKUP_ROUTES = PathSegments(
    {
        "-": PathSegments(
            {"lookup": Method("GET", Call("lookup")), "readyz": Method("GET", Call("ready"))}
        )
    }
)
READINESS_ROUTES = PathSegments({"-": PathSegments({"readyz": Method("GET", Call("ready"))})})
