"""Parses log lines that concern a request; skips and counts damaged lines."""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellshore.decisions.kinds import Kind
from bluebellshore.decoding import decode_json

__all__ = ["ProcessId", "ReadTally", "Record", "read_records"]

#: Kinds of lines that report the state of a process or a gap in its log.
STATE_KINDS = frozenset(
    kind.value
    for kind in (
        Kind.CONFIGURATION,
        Kind.BACKEND_SERVER,
        Kind.PEER,
        Kind.STORE,
        Kind.ALLOTMENT,
        Kind.ROLLOUT,
        Kind.STARTED,
        Kind.RELOADED,
        Kind.STOPPING,
        Kind.STOPPED,
        Kind.LEFT_OUT,
        Kind.LINES_DROPPED,
    )
)
#: Fields that a `Record` has as attributes, or that it omits.
COMMON_FIELDS = frozenset(
    {
        "clock",
        "incarnation",
        "instance",
        "key",
        "line",
        "message_type",
        "request",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


class ProcessId(msgspec.Struct, frozen=True, order=True):
    """Identity of one run of a process.

    :param incarnation: id of the run; a restarted instance has a new one.
    :param source: file name, if the lines don't name their process; else empty.
    """

    instance: str
    incarnation: str
    source: str = ""

    def __str__(self) -> str:
        if self.incarnation.startswith(self.instance):
            return self.incarnation or self.source
        return f"{self.instance} {self.incarnation}"


class Record(msgspec.Struct):
    """A parsed log line.

    :param kind: the line's ``message_type``.
    :param timestamp: Unix seconds by the wall clock of its instance.
    :param clock: monotonic seconds of its process; None if the line has none.
    :param request: id of the request that the line concerns; empty if none.
    :param fields: all other fields.
    """

    process: ProcessId
    kind: str
    timestamp: float
    clock: float | None
    request: str
    fields: dict[str, object]


class ReadTally(msgspec.Struct):
    """Counts of the lines that were read.

    :param lines: lines that are not empty, including damaged ones.
    :param damaged: lines that could not be parsed.
    """

    lines: int = 0
    damaged: int = 0


class _CommonFields(msgspec.Struct):
    message_type: str
    timestamp: float = 0.0
    clock: float | None = None
    instance: str = ""
    incarnation: str = ""
    request: str = ""
    #: Names the request in lines of the `router` and `sidecar` packages.
    key: str = ""


def read_records(
    lines: Iterable[bytes], source: str, request: str, tally: ReadTally
) -> Iterator[Record]:
    """Yield the lines about a request and those about the state of a process.

    A prefix that a log collector puts before the JSON object is skipped.

    :param source: identifies the process of lines that don't name theirs.
    :param request: id of the request whose lines are wanted.
    :param tally: counts of lines; updated as lines are read.
    """
    for line in lines:
        text = line[max(0, line.find(b"{")) :].strip()
        if not text:
            continue
        tally.lines += 1
        try:
            record = _parse_record(text, source, request)
        except msgspec.MsgspecError:
            tally.damaged += 1
            continue
        if record is not None:
            yield record


def _parse_record(text: bytes, source: str, request: str) -> Record | None:
    common = decode_json(text, _CommonFields)
    record_request = common.request or common.key
    if record_request != request and (
        record_request or common.message_type not in STATE_KINDS
    ):
        return None
    fields = decode_json(text, dict[str, object])
    has_process = bool(common.instance or common.incarnation)
    return Record(
        process=ProcessId(
            common.instance, common.incarnation, "" if has_process else source
        ),
        kind=common.message_type,
        timestamp=common.timestamp,
        clock=common.clock,
        request=record_request,
        fields={name: fields[name] for name in fields if name not in COMMON_FIELDS},
    )
