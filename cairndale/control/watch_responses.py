"""What the leader answers to watch requests: the delta or the full state, and a renewed lease.

Lists of endpoints and nodes are serialised and compressed once for all nodes that know the same
versions: after a restart of the system thousands of nodes ask for the same within a second.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.configuration.state import State
from cairndale.control.endpoint_codec import encode_endpoint
from cairndale.control.epoch import Epoch
from cairndale.control.grants import GrantService
from cairndale.control.ingress_counter import IngressCounter
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import compress_lists
from cairndale.rpc.lease_timing import NODE_LEASE_S

# Compressed lists are reused for this long: by so much longer an endpoint counts as warming up.
LISTS_TTL_S = 0.2
# Lists of changes are reused for so long for each ingress: half of the time between two rounds.
DELTA_TTL_PER_INGRESS_S = 0.0007
MAX_CACHED_LISTS = 64

NONE_KNOWN = -1  # in place of a version: nothing of this epoch is known


@dataclass(frozen=True, slots=True)
class ListVersions:
    """Versions of the registries up to which a node knows their contents."""

    endpoints: int
    nodes: int

    @property
    def is_partial(self) -> bool:
        """Whether at least one of the lists is not known at all."""
        return min(self.endpoints, self.nodes) < 0


@dataclass(frozen=True, slots=True)
class _CompressedLists:
    made_at: float
    versions: ListVersions  # that whoever applies them knows
    data: bytes


class _ListCache:
    """Compressed lists by what is known already.

    Lists are reused for a while though there have been changes since. Who receives them is sent
    those next, and all nodes that were answered in one round know the same versions in the next.
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
        """A response that holds the lists alone.

        Until the registry of endpoints has settled it is sent as a delta: nothing is known to be
        missing.
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

    Each response renews the lease of the node that it is for, so one that is built must be sent.
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
        """Whether the node that made this request does not know all that there is."""
        if request.epoch != self._epoch.name(now) or request.config_version != state.version:
            return True
        if request.node.kind == "edge" and request.counter_active != self._grants.is_counting:
            return True
        return (
            request.endpoints_version != self._endpoint_registry.version
            or request.nodes_version != self._node_registry.version
        )

    def update(self, now: float, request: pb.WatchRequest, state: State) -> pb.WatchResponse:
        """All that the node does not know yet, and its lease, which begins now."""
        response = self._begin(
            now,
            request,
            epoch=self._epoch.name(now),
            config_version=state.version,
            generation=state.gen,
        )
        response.endpoints_settled = self._epoch.has_settled(now)
        if request.config_version != state.version:
            self._add_configuration(response, request, state)
        self._add_lists(now, response, request)
        return response

    def renewal(self, now: float, request: pb.WatchRequest) -> pb.WatchResponse:
        """A lease that begins now, and nothing else.

        What the node knows stands; updates may be left for the answer to its next request.
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
            lease.idle_until = min(lease.idle_until, now)  # it may spend its share from now on
        return pb.WatchResponse(
            epoch=epoch,
            lease_ms=round(NODE_LEASE_S * 1000),
            config_version=config_version,
            generation=generation,
            ingress_count=self._ingress_counter.count(now),
            counter_active=self._grants.is_counting,
            leader_clock_ms=self._epoch.elapsed_ms(now),
        )

    def _add_configuration(
        self, response: pb.WatchResponse, request: pb.WatchRequest, state: State
    ) -> None:
        """Evacuations, and for an ingress the content: control nodes have that from the log.

        A delta is sent where the node accepts it and its generation is known, else the full state.
        """
        response.evacuated_zones.extend(state.evacuated)
        response.has_evacuated_zones = True
        if request.generation == state.gen or request.node.kind != "edge":
            return
        if request.accepts_delta and (delta := state.history.delta_since(request.generation)):
            response.delta.CopyFrom(
                pb.ConfigDelta(
                    base_generation=delta.base_gen,
                    generation=delta.gen,
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
        # Once the registry has settled, an ingress is not sent again the endpoints that it was sent
        # before in this term; all others are gone.
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
