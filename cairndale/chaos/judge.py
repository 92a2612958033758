"""Checks the history of a storm (`records.py`) and returns the violations.

Together with `World.verdict`: no request runs twice, no guarantee in a response is broken, accepted
orders form one chain of versions, orders and reads are linearizable, no acknowledged order is lost,
no ingress goes back to an older version, no server with steady heartbeats is reported missing, and
no isolated node gives an answer that needs a quorum."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from typing import Any

from cairndale.chaos import register
from cairndale.chaos.records import NEVER, FleetStatus, Order, Record
from cairndale.chaos.standins import Heartbeat
from cairndale.chaos.world import Attempt

# A draining server receives no more requests this long after the drain was acknowledged, if no
# fault began or ended from CALM_BEFORE_S before the acknowledgement on.
DRAIN_BOUND_S = 1.5
CALM_BEFORE_S = 5.0  # longer than the lease of an ingress
DRAIN_BOUND_UNDER_FAULTS_S = 9.0  # the same bound whatever the faults
# An evacuated zone receives no more requests this long after the evacuation was acknowledged.
EVACUATION_BOUND_S = 1.0
# After this long without contact a machine gives no answer that needs a majority.
ISOLATION_BOUND_S = 5.0
# A server with steady heartbeats is not missing from the list for longer than MAX_MISSING_S, nor
# MISSING_COUNT_LIMIT times while no fault begins or ends.
MAX_MISSING_S = 2.5
MISSING_COUNT_LIMIT = 3
# Heartbeats are steady if acknowledged ones have followed each other within MAX_HEARTBEAT_GAP_S for
# at least STEADY_AFTER_S.
MAX_HEARTBEAT_GAP_S = 1.5
STEADY_AFTER_S = 6.0


def record_violations(record: Record, final_read: register.Observation | None) -> list[str]:
    """Return the violations of all rules except `World.verdict` and `bound_violations`.

    `final_read`: the configuration read after recovery.
    """
    violations = (
        check_order_chain(record) + check_reads(record, final_read) + check_served_versions(record)
    )
    return (
        violations
        + check_drains(record)
        + check_evacuations(record)
        + check_missing_servers(record)
        + check_isolated_nodes(record)
        + record.unexpected_exits
    )


def check_order_chain(record: Record) -> list[str]:
    """Accepted orders form one chain by parent, and no rejected order is among them."""
    violations, accepted = [], record.accepted_orders()
    for order in accepted:
        for rejection in order.rejections:
            known_accepted_at = min(
                order.acked_at,
                *(read.received_at for read in record.reads if read.marker == order.marker),
                NEVER,
                NEVER,
            )
            is_resent = known_accepted_at < rejection.sent_at
            description = (
                "was accepted, then rejected when it was sent again"
                if is_resent
                else "was rejected, then accepted"
            )
            violations.append(
                f"{order.marker}: {description} ({rejection.status} from {rejection.address}, "
                f"{rejection.sent_at - order.sent_at:.2f} s after it was first sent)"
            )
            break
    for earlier, later in pairwise(accepted):
        if earlier.gen == later.gen:
            violations.append(
                f"{earlier.marker} and {later.marker} were both accepted with one version number"
            )
        elif later.parent != earlier.gen:
            violations.append(
                f"{later.marker} was accepted on top of {later.parent}, but {earlier.marker} "
                "came between"
            )
    return violations


def check_reads(record: Record, final_read: register.Observation | None) -> list[str]:
    """Orders and reads are linearizable as one register."""
    accepted = [order for order in record.accepted_orders()]
    writes = [register.Write(order.gen, order.sent_at, order.acked_at) for order in accepted]
    observations = [
        register.Observation(read.gen, read.sent_at, read.received_at) for read in record.reads
    ] + ([final_read] if final_read else [])
    for order in record.orders.values():
        conflicts = [submission for submission in order.rejections if submission.status == 412]
        observations += [
            register.Observation(order.parent, submission.sent_at, submission.received_at, True)
            for submission in conflicts
        ]
    markers = {order.gen: order.marker for order in accepted}
    violations = [
        f"version {read.gen} was read as {read.marker}, but is {markers[read.gen]}"
        for read in record.reads
        if read.marker and read.marker != markers.get(read.gen, read.marker)
    ][:3]
    violation = register.first_violation(writes, observations)
    return violations + ([violation] if violation else [])


def check_served_versions(record: Record) -> list[str]:
    """No ingress serves a version older than one acknowledged before, and none goes back to an
    older version within one incarnation."""
    violations, accepted = [], record.accepted_orders()
    acks = sorted((order.acked_at, order.gen) for order in accepted if order.acked_at < NEVER)
    versions_by_request = {
        execution.request: record.orders[execution.tenant].gen
        for execution in record.ledger.executions
        if execution.tenant in record.orders
    }
    newest_served: dict[tuple[str, int], int] = {}
    for probe in record.probes:
        if (version := versions_by_request.get(probe.request)) is None:
            continue
        acknowledged = max((gen for acked, gen in acks if acked < probe.sent_at), default=0)
        if version < acknowledged:
            violations.append(
                f"{probe.edge}: served version {version} although {acknowledged} was "
                "acknowledged before"
            )
        if version < newest_served.get((probe.edge, probe.incarnation), 0):
            violations.append(f"{probe.edge}: went back to version {version}")
        newest_served[probe.edge, probe.incarnation] = version
    return violations


def check_drains(record: Record, calm_bound_s: float = DRAIN_BOUND_S) -> list[str]:
    """No request reaches a draining server later than the bound after its acknowledgement.

    `calm_bound_s`: the bound while no fault begins or ends.
    """
    violations = []
    for id, acked in record.drained:
        is_calm = record.has_no_fault_change(acked - CALM_BEFORE_S, acked + calm_bound_s)
        bound = calm_bound_s if is_calm else DRAIN_BOUND_UNDER_FAULTS_S
        late = [
            arrival
            for arrival in record.ledger.arrivals
            if arrival.server == id and arrival.at > acked + bound
        ]
        if late:
            violations.append(
                f"{id} is draining, but received {len(late)} late requests, the last "
                f"{late[-1].at - acked:.1f} s after the acknowledgement"
            )
    return violations


def check_evacuations(record: Record) -> list[str]:
    """No request reaches an evacuated zone later than the bound after its acknowledgement."""
    violations = []
    for evacuation in record.evacuations:
        late = [
            arrival
            for arrival in record.ledger.arrivals
            if arrival.zone == evacuation.zone
            and evacuation.acked_at + EVACUATION_BOUND_S < arrival.at < evacuation.ends_at
        ]
        if late:
            violations.append(
                f"{evacuation.zone} is evacuated, but received {len(late)} late requests, "
                f"the last {late[-1].at - evacuation.acked_at:.1f} s after the acknowledgement"
            )
    return violations


def steady_intervals(heartbeats: list[Heartbeat]) -> Iterator[tuple[float, float]]:
    """Return the intervals in which a server's heartbeats were acknowledged without a gap, each
    from `STEADY_AFTER_S` after its begin."""
    begin = end = -NEVER
    for heartbeat in sorted(heartbeats, key=lambda b: b.received_at):
        if heartbeat.received_at - end > MAX_HEARTBEAT_GAP_S:
            if end > begin + STEADY_AFTER_S:
                yield begin + STEADY_AFTER_S, end
            begin = heartbeat.received_at
        end = heartbeat.received_at
    if end > begin + STEADY_AFTER_S:
        yield begin + STEADY_AFTER_S, end


def missing_intervals(
    fleet_statuses: list[FleetStatus], id: str, begin: float, end: float
) -> list[tuple[float, float]]:
    """Return the parts of an interval in which `Fleet.Show` did not list the server as ready."""
    intervals: list[tuple[float, float]] = []
    is_missing = False
    for status in fleet_statuses:
        if begin <= status.sent_at and status.received_at <= end:
            if id not in status.ready:
                intervals = (
                    [*intervals[:-1], (intervals[-1][0], status.received_at)]
                    if is_missing
                    else [*intervals, (status.sent_at, status.received_at)]
                )
            is_missing = id not in status.ready
    return intervals


def check_missing_servers(record: Record) -> list[str]:
    """No server with steady heartbeats is missing from the list for long, or repeatedly."""
    violations = []
    heartbeats_by_server: dict[str, list[Heartbeat]] = {}
    for heartbeat in record.ledger.heartbeats:
        if heartbeat.state == "ready":
            heartbeats_by_server.setdefault(heartbeat.server, []).append(heartbeat)
    fleet_statuses = sorted(record.fleet_statuses, key=lambda status: status.sent_at)
    for id, heartbeats in heartbeats_by_server.items():
        for begin, end in steady_intervals(heartbeats):
            intervals = missing_intervals(fleet_statuses, id, begin, end)
            long_absences = [b - a for a, b in intervals if b - a > MAX_MISSING_S]
            calm_absences = [
                interval
                for interval in intervals
                if record.has_no_fault_change(interval[0] - MAX_MISSING_S, interval[0])
            ]
            if long_absences:
                violations.append(
                    f"{id} was not listed for {max(long_absences):.1f} s, "
                    "although its heartbeats were acknowledged"
                )
            elif len(calm_absences) >= MISSING_COUNT_LIMIT:
                violations.append(
                    f"{id} was not listed {len(calm_absences)} times, "
                    "although its heartbeats were acknowledged"
                )
    return violations


def check_isolated_nodes(record: Record) -> list[str]:
    """A node that has been isolated for long gives no answer that needs a quorum."""
    violations = []
    answers = [
        (
            heartbeat.address,
            f"a heartbeat of {heartbeat.server}",
            heartbeat.sent_at,
            heartbeat.received_at,
        )
        for heartbeat in record.ledger.heartbeats
    ]
    answers += [
        (read.address, f"a read with version {read.gen}", read.sent_at, read.received_at)
        for read in record.reads
    ]
    answers += [
        (
            submission.address,
            f"{order.marker} with {submission.status}",
            submission.sent_at,
            submission.received_at,
        )
        for order in record.orders.values()
        for submission in order.submissions
        if submission.status
    ]
    answers += [
        (answer.address, answer.description, answer.sent_at, answer.received_at)
        for answer in record.quorum_answers
    ]
    for isolation in record.isolations:
        wrong_answers = [
            answer
            for answer in answers
            if answer[0] == isolation.address
            and answer[2] > isolation.begin + ISOLATION_BOUND_S
            and answer[3] < isolation.end
        ]
        if wrong_answers:
            duration, after = isolation.end - isolation.begin, wrong_answers[0][2] - isolation.begin
            violations.append(
                f"{isolation.address} was isolated for {duration:.0f} s, but after {after:.1f} s "
                f"it answered {wrong_answers[0][1]} ({len(wrong_answers)} such answers)"
            )
    return violations


def max_in_window(times: list[float], window: float) -> int:
    """Return the largest number of times within any window of that length."""
    highest, first, times = 0, 0, sorted(times)
    for count, at in enumerate(times, 1):
        while times[first] <= at - window:
            first += 1
        highest = max(highest, count - first)
    return highest


def bound_violations(
    record: Record,
    attempts: list[Attempt],
    slo: dict[str, Any],
    services: tuple[str, ...],
    rate: float,
    burst: float,
    warm_per_s: float,
) -> list[str]:
    """Return the time windows in which quota, slow start or retries exceeded their bounds.

    `rate` and `burst` are those of the tenant "south"; `warm_per_s` is the limit of requests a
    second to a server in slow start.
    """
    violations, ledger = [], record.ledger
    execution_times = [entry.at for entry in ledger.executions if entry.tenant == "south"]
    bound = (rate * 5.0 + burst) * (1 + slo["quotaOverrun"]) + slo["quotaSlack"]
    if (count := max_in_window(execution_times, 5.0)) > bound:
        violations.append(f"quota: {count} requests ran in 5 s, at most {bound:.0f} are allowed")
    bound = warm_per_s * slo["warmupOverrun"] + slo["warmupSlack"]
    for id in {entry.server for entry in ledger.arrivals}:
        cold_arrival_times = [
            entry.at for entry in ledger.arrivals if entry.server == id and entry.cold
        ]
        if (count := max_in_window(cold_arrival_times, 1.0)) > bound:
            violations.append(
                f"cold: {count} requests reached {id} in 1 s, at most {bound:.0f} are allowed"
            )
    for service in services:
        request_times = [
            attempt.sent_at for attempt in attempts if attempt.path.startswith(f"/{service}/")
        ]
        seen_requests: set[str] = set()
        retry_times = []
        for entry in ledger.arrivals:
            if entry.service == service:
                if entry.request in seen_requests:
                    retry_times.append(entry.at)
                seen_requests.add(entry.request)
        for at in retry_times:
            count = sum(1 for other in retry_times if at - 10.0 < other <= at)
            bound = (
                slo["retryRatio"]
                * max(
                    sum(
                        1
                        for sent_at in request_times
                        if window_start <= sent_at < window_start + 10.0
                    )
                    for window_start in (at - 10.0, at - 15.0, at - 20.0)
                )
                + slo["retrySlack"]
            )
            if count > bound:
                violations.append(
                    f"retries: {count} of {service} in 10 s, at most {bound:.1f} are allowed"
                )
                break
    return violations


def newest_acknowledged(record: Record) -> Order | None:
    """Return the acknowledged order with the highest version, if any."""
    return max(
        (o for o in record.orders.values() if o.acked_at < NEVER), key=lambda o: o.gen, default=None
    )
