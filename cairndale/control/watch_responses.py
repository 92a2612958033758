"""Builds the leader's responses to watch requests: a delta or the full state, and a renewed lease.

Lists of endpoints and nodes are serialised and compressed once for all nodes that know the same
versions: after a restart of the system, thousands of nodes request the same lists within a second.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.configuration.generation_id import generation_id
from cairndale.configuration.state import State
from cairndale.control.endpoint_codec import encode_endpoint
from cairndale.control.epoch import Epoch
from cairndale.control.grants import GrantService
from cairndale.control.ingress_counter import IngressCounter
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import compress_lists
from cairndale.rpc.leader_time import set_leader_time
from cairndale.rpc.lease_timing import NODE_LEASE_S

# How long compressed lists are reused: for that much longer an endpoint may seem to be warming up.
LISTS_TTL_S = 0.2
# How long lists of changes are reused, per ingress: half of the interval between rounds.
DELTA_TTL_PER_INGRESS_S = 0.0007
MAX_CACHED_LISTS = 64

NONE_KNOWN = -1  # in place of a version: the node knows nothing of this epoch


@dataclass(frozen=True, slots=True)
class ListVersions:
    """Versions of the registries that a node has received."""

    endpoints: int
    nodes: int

    @property
    def is_partial(self) -> bool:
        """Whether at least one of the lists is entirely unknown to the node."""
        return min(self.endpoints, self.nodes) < 0


@dataclass(frozen=True, slots=True)
class _CompressedLists:
    made_at: float
    versions: ListVersions  # that a node has after applying the lists
    data: bytes


class _ListCache:
    """Cache of compressed lists, by the versions that the receiving node already has.

    Lists are reused for a short time even if there have been changes since. A node that receives
    them gets those changes in its next response, and all nodes answered in one round have the same
    versions in the next round.
    """

    def __init__(
        self,
        epoch: Epoch,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        ingress_counter: IngressCounter,
    ) -> None:
        self._epoch, self._ingress_counter = epoch, ingress_counter
        self._endpoint_registry, self._node_registry = endpoint_registry, node_registry
        self._lists: dict[tuple[ListVersions, bool], _CompressedLists] = {}

    def get(self, now: float, known: ListVersions) -> _CompressedLists:
        has_settled = self._epoch.has_settled(now)
        current = ListVersions(self._endpoint_registry.version, self._node_registry.version)
        cached = self._lists.get((known, has_settled))
        if cached and 0 <= now - cached.made_at < self._life(now, known, cached, current):
            return cached
        message = self._message(now, known, current, has_settled)
        if len(self._lists) >= MAX_CACHED_LISTS:
            self._lists.clear()
        lists = self._lists[known, has_settled] = _CompressedLists(
            now, current, compress_lists(message)
        )
        return lists

    def _life(
        self, now: float, known: ListVersions, cached: _CompressedLists, current: ListVersions
    ) -> float:
        if cached.versions == current or known.is_partial:
            return LISTS_TTL_S
        return min(LISTS_TTL_S, DELTA_TTL_PER_INGRESS_S * self._ingress_counter.count(now))

    def _message(
        self, now: float, known: ListVersions, current: ListVersions, has_settled: bool
    ) -> pb.WatchResponse:
        """A response that contains only the lists.

        Until the endpoint registry has settled, endpoints are sent as a delta, because an endpoint
        that is missing from the registry may still exist.
        """
        message = pb.WatchResponse(
            endpoints_complete=known.endpoints < 0 and has_settled, nodes_complete=known.nodes < 0
        )
        if known.endpoints != current.endpoints:
            endpoints = self._changed_endpoints(known.endpoints)
            message.MergeFromString(b"".join([encode_endpoint(e, now) for e in endpoints]))
        if known.nodes < 0:
            message.nodes.extend(self._node_registry.listed_nodes())
        elif known.nodes != current.nodes:
            listed, gone = self._node_registry.changed_since(known.nodes)
            message.nodes.extend(listed)
            message.removed_nodes.extend(gone)
        return message

    def _changed_endpoints(self, known_version: int) -> list[Endpoint]:
        changed = self._endpoint_registry.changed_since(max(0, known_version))
        if known_version >= 0:
            return changed
        return [e for e in changed if e.state != "gone" or e.has_ended]


class WatchResponseBuilder:
    """Builds responses within one term. Times are seconds on the leader's clock.

    Building a response renews the lease of its node, so every response must be sent.
    """

    def __init__(
        self,
        epoch: Epoch,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        grants: GrantService,
        ingress_counter: IngressCounter,
    ) -> None:
        self._epoch, self._grants, self._ingress_counter = epoch, grants, ingress_counter
        self._endpoint_registry, self._node_registry = endpoint_registry, node_registry
        self._lists = _ListCache(epoch, endpoint_registry, node_registry, ingress_counter)

    def has_update(self, now: float, request: pb.WatchRequest, state: State) -> bool:
        """Whether there is anything that the requesting node has not received yet."""
        if request.epoch != self._epoch.name(now) or request.config_version != state.version:
            return True
        if request.node.kind == "edge" and request.counter_active != self._grants.is_counting:
            return True
        return (
            request.endpoints_version != self._endpoint_registry.version
            or request.nodes_version != self._node_registry.version
        )

    def update(self, now: float, request: pb.WatchRequest, state: State) -> pb.WatchResponse:
        """Everything that the node has not received yet, and its lease, which starts now."""
        response = self._begin(
            now,
            request,
            epoch=self._epoch.name(now),
            config_version=state.version,
            generation=generation_id(state.gen),
        )
        response.endpoints_settled = self._epoch.has_settled(now)
        if request.config_version != state.version:
            self._add_configuration(response, request, state)
        self._add_lists(now, response, request)
        return response

    def renewal(self, now: float, request: pb.WatchRequest) -> pb.WatchResponse:
        """A lease that starts now, without updates.

        The versions stay those of the request; pending updates follow in a later response.
        """
        response = self._begin(
            now,
            request,
            epoch=request.epoch,
            config_version=request.config_version,
            generation=request.generation,
        )
        response.endpoints_version, response.nodes_version = (
            request.endpoints_version,
            request.nodes_version,
        )
        return response

    def _begin(
        self,
        now: float,
        request: pb.WatchRequest,
        *,
        epoch: str,
        config_version: int,
        generation: int,
    ) -> pb.WatchResponse:
        self._node_registry.renew_lease(now, request.node.name)
        if lease := self._node_registry.leases.get(request.node.name):
            lease.idle_until = min(lease.idle_until, now)  # from now on it may spend its share
        response = pb.WatchResponse(
            epoch=epoch,
            lease_ms=round(NODE_LEASE_S * 1000),
            config_version=config_version,
            generation=generation,
            ingress_count=self._ingress_counter.count(now),
            counter_active=self._grants.is_counting,
        )
        set_leader_time(response, self._epoch.elapsed_ms(now))
        return response

    def _add_configuration(
        self, response: pb.WatchResponse, request: pb.WatchRequest, state: State
    ) -> None:
        """Adds evacuated zones and, for an ingress, the configuration's content.

        Control nodes have the content from the log. A delta is sent if the node accepts it and its
        generation is known, else the full content.
        """
        response.evacuated_zones.extend(state.evacuated)
        response.has_evacuated_zones = True
        if request.generation == response.generation or request.node.kind != "edge":
            return
        if request.accepts_delta and (delta := state.history.delta_since(request.generation)):
            if response.generation != state.gen:
                response.wide_generation = str(state.gen)
            response.delta.CopyFrom(
                pb.ConfigDelta(
                    base_generation=delta.base_gen,
                    generation=generation_id(delta.gen),
                    base_digest=delta.base_digest,
                    digest=delta.digest,
                    change=delta.encoded_changes,
                )
            )
        else:
            response.has_content, response.content = True, state.encoded_content()

    def _add_lists(self, now: float, response: pb.WatchResponse, request: pb.WatchRequest) -> None:
        is_current_epoch = request.epoch == response.epoch
        is_of_term = is_current_epoch or request.epoch == self._epoch.unsettled_name
        # Once the registry has settled, an ingress is not sent the endpoints that it has already
        # received in this term again; all others that it knows are removed.
        response.unlisted_endpoints_gone = (
            is_of_term and not is_current_epoch and request.node.kind == "edge"
        )
        knows_endpoints = is_current_epoch or response.unlisted_endpoints_gone
        known = ListVersions(
            endpoints=request.endpoints_version if knows_endpoints else NONE_KNOWN,
            nodes=request.nodes_version if is_of_term else NONE_KNOWN,
        )
        lists = self._lists.get(now, known)
        response.endpoints_version, response.nodes_version = (
            lists.versions.endpoints,
            lists.versions.nodes,
        )
        response.compressed_lists = lists.data
