"""Begins and ends the control node's `Leadership` with its term as Raft leader."""

from __future__ import annotations

from cairndale.control.applier import AppliedEntry, Applier
from cairndale.control.change_notifier import ChangeNotifier
from cairndale.control.clock import Clock
from cairndale.control.leadership import Leadership
from cairndale.errors import NotLeaderError
from cairndale.events import Event, log_event
from cairndale.raft.node import RaftNode
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc.call_kinds import TermFence
from cairndale.settings import Settings


class LeadershipTracker:
    """Tracks whether this node leads, and owns its `Leadership` while it does."""

    def __init__(
        self,
        settings: Settings,
        raft: RaftNode,
        applier: Applier,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        fence: TermFence,
        notifier: ChangeNotifier,
        clock: Clock,
    ) -> None:
        self._settings, self._raft, self._applier = settings, raft, applier
        self._endpoint_registry, self._node_registry = endpoint_registry, node_registry
        self._fence, self._notifier, self._clock = fence, notifier, clock
        self._current: Leadership | None = None

    @property
    def current(self) -> Leadership | None:
        """The leadership as of the last step; `require` also checks that it is still valid."""
        return self._current

    def reconfigure(self, settings: Settings) -> None:
        """Adopts changed settings, which apply to leaderships that begin later."""
        self._settings = settings

    def leads(self) -> bool:
        """Whether this node holds the leader lease and has applied all entries of earlier terms."""
        return self._applier.term == self._raft.term and self._raft.leads(self._clock.now())

    def require(self, term: int = 0) -> Leadership:
        """The leadership, checked at this moment.

        Raises NotLeaderError if this node does not lead, or leads in a term before `term`, in which
        case the caller knows a later leader.
        """
        if self._current is None or not self.leads() or self._current.term < term:
            raise NotLeaderError()
        return self._current

    def tick(self) -> None:
        """Lets the leadership handle what is due by time."""
        if self._current and self._current.tick(self._clock.now()):
            self._notifier.notify()

    def entry_applied(self, applied: AppliedEntry) -> None:
        """Passes a changed state to the leadership, and notifies of the change."""
        if applied.changed:
            if self._current:
                self._current.apply_state(self._applier.state)
            self._notifier.notify()

    def update(self) -> None:
        """Begins or ends the leadership according to the Raft state after a step."""
        raft, leads = self._raft, self.leads()
        if raft.leader:
            self._fence.admits(raft.term)
        if leads and (self._current is None or self._current.term != raft.term):
            self._begin()
        elif self._current and not leads:
            log_event(Event.LEADERSHIP_ENDS, "term %d", self._current.term)
            self._current = None
            self._notifier.notify()

    def _begin(self) -> None:
        raft, state = self._raft, self._applier.state
        had_predecessor = raft.base_snapshot.index > 0 or any(
            e.is_term_start and e.term < raft.term for e in raft.log
        )
        self._current = Leadership(
            term=raft.term,
            now=self._clock.now(),
            had_predecessor=had_predecessor,
            endpoint_registry=self._endpoint_registry,
            node_registry=self._node_registry,
            possible_lease_holders=state.edges,
            bounds=self._settings.bounds,
            heartbeat_interval=self._settings.heartbeat_interval_s,
        )
        self._current.adopt_departures(state, self._clock.now())
        self._current.apply_state(state)
        log_event(Event.LEADERSHIP_BEGINS, "term %d", raft.term)
        self._notifier.notify()
