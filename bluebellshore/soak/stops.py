"""What a router owes to requests while it stops on SIGTERM."""

from collections.abc import Iterable, Sequence

from bluebellshore.soak.callers import Sent
from bluebellshore.soak.faults import Happened
from bluebellshore.soak.system import STOP_SECONDS, Stop
from bluebellshore.standin.runner import Arrival, RunnerFault

__all__ = [
    "CONTACT_SECONDS",
    "is_late",
    "lost_in_stop",
    "may_be_cut",
    "only_planned_around",
]

#: Undisturbed time after which a router's promises with a time bound hold; the settings
#: of the run say the same with less slack.
CONTACT_SECONDS = 4.0
#: A request sent later than this after SIGTERM has no excuse in the grace period's end.
LATE_SECONDS = 3.0
#: Last part of the grace period in which requests that were sent before may be cut.
LAST_SHARE = 1 / 6
#: Time after the end of the grace period in which a stop still accounts for losses.
AFTER_SECONDS = 1.0
#: Time from a request's last byte to the close of its connection that shows that the
#: close did not cross the request.
LOSS_SLACK_SECONDS = 0.2

#: Outcomes for which the backend server or the deadline ended the request.
_EXCUSES = frozenset(
    {
        *(fault.value for fault in RunnerFault),
        "ended with its server",
        "deadline",
        "deadline passed in the queue",
    }
)


def only_planned_around(sent: Sent, happened: Iterable[Happened]) -> str:
    """Return the planned work around a request; empty when something else was, too."""
    around = [
        other.fault.action
        for other in happened
        if other.began_at < sent.ended_at and other.ended_at > sent.at - CONTACT_SECONDS
    ]
    if not all(action.planned for action in around):
        return ""
    return ", ".join(sorted({action.value for action in around}))


def is_late(sent: Sent, stops: Iterable[Stop]) -> bool:
    """Whether a request was sent so late in a stop that its end cannot cut it."""
    stop = _stop_around(sent, stops)
    return stop is not None and sent.at - stop.at > LATE_SECONDS


def may_be_cut(sent: Sent, arrivals: Iterable[Arrival], stops: Iterable[Stop]) -> bool:
    """Whether the end of the grace period may cut a request's answer.

    It was sent soon after SIGTERM at the latest and was still running near that end.
    """
    stop = _stop_around(sent, stops)
    if stop is None or sent.at - stop.at > LATE_SECONDS:
        return False
    last_at = stop.at + STOP_SECONDS * (1 - LAST_SHARE)
    return any(seen.ran and (seen.ended_at or last_at) >= last_at for seen in arrivals)


def lost_in_stop(
    sent: Sent,
    arrivals: Sequence[Arrival],
    happened: Iterable[Happened],
    stops: Iterable[Stop],
) -> str:
    """Return how a request was lost at a stopping router; empty when it was not.

    A request that was passed on, or that a router had the time to read, has an answer.
    """
    stop = _stop_around(sent, stops)
    if stop is None or sent.left or not sent.error:
        return ""
    if sent.ended_at - sent.at >= sent.deadline_seconds:
        return ""
    if any(seen.outcome in _EXCUSES for seen in arrivals):
        return ""
    if may_be_cut(sent, arrivals, stops):
        return ""
    waited = sent.ended_at - sent.written_at
    if not arrivals and not (sent.kept and waited > LOSS_SLACK_SECONDS):
        return ""
    work = only_planned_around(sent, happened)
    if not work:
        return ""
    where = "passed on" if arrivals else "read"
    return (
        f"sent {sent.at - stop.at:.2f} s after SIGTERM, {where}, and closed "
        f"{sent.ended_at - stop.at:.2f} s after it and {waited:.2f} s after its last "
        f"byte, status {sent.status}, {sent.error}, around it {work}"
    )


def _stop_around(sent: Sent, stops: Iterable[Stop]) -> Stop | None:
    """Return the stop of the router's process during a request."""
    for stop in stops:
        if (
            (stop.router, stop.life) == (sent.router, sent.life)
            and stop.at <= sent.ended_at
            and sent.at <= stop.at + STOP_SECONDS + AFTER_SECONDS
        ):
            return stop
    return None
