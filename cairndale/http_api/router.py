"""Routes of the HTTP API: a tree of matchers, each of which consumes one part of a request.

A matcher checks the next segment of the path, or the method, and passes the rest to its child; a
leaf names the call. An unknown path results in 404, a known path with another method in 405.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import unquote

from cairndale.json_text import line_error

MAX_NAME_CHARS = 256


class ApiCall(Enum):
    """The calls of the HTTP API."""

    HEARTBEAT = "heartbeat"  # of a server
    DEREGISTER = "deregister"  # a server ends
    REPLACE = "replace"  # the configuration
    UPDATE = "update"  # items of the configuration
    READ = "read"  # the configuration
    EVACUATE = "evacuate"  # a zone
    RESTORE = "restore"  # an evacuated zone
    SHOW = "show"  # nodes and servers, for operators
    READY = "ready"  # whether this process serves calls of this kind
    LOOKUP = "lookup"  # the ingresses that a client should use


@dataclass(frozen=True, slots=True)
class Request:
    """A request while it is matched against the tree.

    Attributes:
        method: as received.
        path: the part that is not matched yet: empty, or beginning with a slash.
        path_args: the names taken from the path so far, by key.
    """

    method: str
    path: str
    path_args: dict[str, str] = field(default_factory=dict)

    def split(self) -> tuple[str, Request]:
        """Return the next segment of the path, and the request without it."""
        part, _, rest = self.path.removeprefix("/").partition("/")
        return part, Request(self.method, "/" + rest if rest else "", self.path_args)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The call of a request, and the names in its path by key."""

    call: ApiCall
    args: dict[str, str]


@dataclass(frozen=True, slots=True)
class RouteFailure:
    """Why a request matches no call: the HTTP status and an error message."""

    status: int
    reason: str


RouteResult = RouteMatch | RouteFailure


class RouteMatcher:
    """One node of the tree."""

    def match(self, request: Request) -> RouteResult:
        """Match the request against this subtree."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class Call(RouteMatcher):
    """A leaf: the path ends here and selects this call."""

    call: ApiCall

    def match(self, request: Request) -> RouteResult:
        """Return the call, or 404 if the path continues."""
        if request.path:
            return RouteFailure(404, "no such call")
        return RouteMatch(self.call, request.path_args)


@dataclass(frozen=True, slots=True)
class Method(RouteMatcher):
    """Allows only one method in the subtree."""

    name: str
    child: RouteMatcher

    def match(self, request: Request) -> RouteResult:
        """Return the child's result, or 405 if that is a call and the method differs."""
        result = self.child.match(request)
        if isinstance(result, RouteMatch) and request.method != self.name:
            return RouteFailure(405, f"only {self.name} is known here")
        return result


@dataclass(frozen=True, slots=True)
class PathParameter(RouteMatcher):
    """Takes any next segment of the path as a name, which is kept under `key`."""

    key: str
    child: RouteMatcher

    def match(self, request: Request) -> RouteResult:
        """Return the child's result; 404 if the name is missing or too long, 400 if it is no text.

        Bytes that are not UTF-8 would make one name of several, and a line of the log has no place
        for control characters.
        """
        part, rest = request.split()
        try:
            name = unquote(part, errors="strict")
        except UnicodeDecodeError:
            return RouteFailure(400, f"the {self.key} is not UTF-8")
        if not name or len(name) > MAX_NAME_CHARS:
            return RouteFailure(404, f"the {self.key} is missing or too long")
        if reason := line_error(name):
            return RouteFailure(400, f"the {self.key} {reason}")
        return self.child.match(Request(rest.method, rest.path, rest.path_args | {self.key: name}))


@dataclass(frozen=True, slots=True)
class PathSegments(RouteMatcher):
    """Selects a child by the next segment of the path."""

    children: Mapping[str, RouteMatcher]

    def match(self, request: Request) -> RouteResult:
        """Return the selected child's result, or 404 if no child has that segment."""
        part, rest = request.split()
        if (matcher := self.children.get(part)) is None:
            return RouteFailure(404, "no such call")
        return matcher.match(rest)


def match(tree: RouteMatcher, method: str, target: str) -> RouteResult:
    """Match a request against a tree of routes. The query of the target is ignored."""
    return tree.match(Request(method, target.partition("?")[0]))


CONTROL_ROUTES = PathSegments(
    {
        "-": PathSegments(
            {
                "Instances.Heartbeat": Method("POST", PathParameter("id", Call(ApiCall.HEARTBEAT))),
                "Instances.Deregister": Method(
                    "POST", PathParameter("id", Call(ApiCall.DEREGISTER))
                ),
                "Config.Replace": Method("POST", Call(ApiCall.REPLACE)),
                "Config.Update": Method("POST", Call(ApiCall.UPDATE)),
                "Config.Read": Method("GET", Call(ApiCall.READ)),
                "Drain.Begin": Method("POST", PathParameter("zone", Call(ApiCall.EVACUATE))),
                "Drain.Finish": Method("POST", PathParameter("zone", Call(ApiCall.RESTORE))),
                "Fleet.Show": Method("GET", Call(ApiCall.SHOW)),
                "readyz": Method("GET", Call(ApiCall.READY)),
            }
        )
    }
)
LOOKUP_ROUTES = PathSegments(
    {
        "-": PathSegments(
            {
                "lookup": Method("GET", Call(ApiCall.LOOKUP)),
                "readyz": Method("GET", Call(ApiCall.READY)),
            }
        )
    }
)
READINESS_ROUTES = PathSegments({"-": PathSegments({"readyz": Method("GET", Call(ApiCall.READY))})})
