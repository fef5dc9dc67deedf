"""The log of a process: all kinds of lines, written to standard output."""

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
    """One method for each kind of decision and each change of belief.

    :ivar writer: writes the lines out; None where they go elsewhere.
    """

    writer: LineWriter | None = None

    @property
    def dropped(self) -> int:
        """Lines since the start that were lost because nobody read them in time."""
        return 0 if self.writer is None else self.writer.dropped


def silent_log() -> DecisionLog:
    """Return a log that writes nothing."""
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
    """Log to standard output for the time of the block.

    All other messages of eliot go there as well, with the same head.

    :param descriptor: open file to write to; None for standard output.
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
