"""Converts rollout reports to and from the messages that routers exchange."""

from collections import Counter
from collections.abc import Iterable, Mapping

from bluebellshore.entry.message_values import is_duration
from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts import AttemptCounts, CountsKey, RolloutReport, RolloutState
from bluebellshore.rollouts.evidence import LAST_BUCKET
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["read_reports", "write_reports"]

_PROGRESS_BY_STATE = {
    RolloutState.IN_PROGRESS: pb.ROLLOUT_PROGRESS_OPEN,
    RolloutState.COMPLETED: pb.ROLLOUT_PROGRESS_COMPLETED,
    RolloutState.ROLLED_BACK: pb.ROLLOUT_PROGRESS_ROLLED_BACK,
}
_STATE_BY_PROGRESS = {progress: state for state, progress in _PROGRESS_BY_STATE.items()}


def write_reports(reports: Iterable[RolloutReport], state: pb.PeerState) -> None:
    """Add reports to a message for a peer."""
    for report in reports:
        message = state.rollouts.add(
            service=report.service,
            order=report.order_version,
            age_seconds=report.age_seconds,
            share=report.share,
            running=report.other_version_requests,
            progress=_PROGRESS_BY_STATE[report.state],
            bad=report.bad_reason,
            exposed=report.exposed_requests,
            requests=report.total_requests,
        )
        for key, counts in report.counts_by_key.items():
            message.evidence.add(
                route=key.route,
                server=key.server,
                target=key.is_target,
                sent=counts.sent,
                ended=counts.ended,
                failed=counts.failed,
                first=counts.first,
                gap=counts.gap,
            )


def read_reports(state: pb.PeerState) -> list[RolloutReport]:
    """Return the reports in a peer's message."""
    return [
        RolloutReport(
            service=message.service,
            order_version=message.order,
            age_seconds=message.age_seconds,
            share=message.share,
            other_version_requests=message.running,
            state=_STATE_BY_PROGRESS.get(message.progress, RolloutState.IN_PROGRESS),
            bad_reason=message.bad,
            exposed_requests=message.exposed,
            total_requests=message.requests,
            counts_by_key=dict(_counts(item) for item in message.evidence),
        )
        for message in state.rollouts
        if is_duration(message.age_seconds) and 0.0 <= message.share <= 1.0
    ]


def _counts(item: pb.PeerEvidence) -> tuple[CountsKey, AttemptCounts]:
    key = CountsKey(RouteName(item.route), BackendServerId(item.server), item.target)
    counts = AttemptCounts(
        item.sent, item.ended, item.failed, _known(item.first), _known(item.gap)
    )
    return key, counts


def _known(count_by_bucket: Mapping[int, int]) -> Counter[int]:
    """Return the counts of the latency buckets that this build knows."""
    return Counter({b: n for b, n in count_by_bucket.items() if b <= LAST_BUCKET})
