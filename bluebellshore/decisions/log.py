"""The decision log of a process, written to standard output."""

import contextlib
import sys
from collections.abc import Iterator

import eliot

from bluebellshore.decisions.changes import ChangeLines
from bluebellshore.decisions.kinds import LogLevel
from bluebellshore.decisions.requests import RequestLines
from bluebellshore.decisions.volume import VolumeLimits
from bluebellshore.decisions.writer import LineWriter

__all__ = ["DecisionLog", "open_decision_log", "silent_log"]


class DecisionLog(RequestLines, ChangeLines):
    """Log with a method for each kind of decision and each observed state change.

    :ivar writer: thread that writes the lines; None if they go elsewhere.
    """

    writer: LineWriter | None = None

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start because the output was not read."""
        return 0 if self.writer is None else self.writer.dropped


def silent_log() -> DecisionLog:
    """Return a log that discards all lines."""
    return DecisionLog(lambda line: None, level=LogLevel.BELIEFS)


@contextlib.contextmanager
def open_decision_log(
    instance: str,
    incarnation: str,
    *,
    level: LogLevel = LogLevel.ALL,
    limits: VolumeLimits | None = None,
    descriptor: int | None = None,
) -> Iterator[DecisionLog]:
    """Return a context manager that logs to standard output.

    All other eliot messages are written there as well, with the same instance and
    incarnation. On exit, lines that are still queued are written.

    :param instance: id of this instance, written in each line.
    :param incarnation: id of this run of the process, written in each line.
    :param descriptor: open file descriptor to write to; None for standard output.
    """
    if descriptor is None:
        sys.stdout.flush()
        descriptor = sys.stdout.fileno()
    writer = LineWriter(descriptor, {"instance": instance, "incarnation": incarnation})
    eliot.add_destinations(writer)
    log = DecisionLog(level=level, limits=limits)
    log.writer = writer
    try:
        yield log
    finally:
        log.report()
        eliot.remove_destination(writer)
        writer.close()
