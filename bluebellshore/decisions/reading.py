"""Reads log lines back, damaged ones included."""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellshore.decisions.kinds import Kind

__all__ = ["ProcessId", "ReadTally", "Record", "read_records"]

#: Lines that tell what a process believed or what it left out.
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
#: Fields that are shown on their own.
HEAD_FIELDS = frozenset(
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
    """One life of a process.

    :param source: where its lines were read when they don't name it, else empty.
    """

    instance: str
    incarnation: str
    source: str = ""

    def __str__(self) -> str:
        if self.incarnation.startswith(self.instance):
            return self.incarnation or self.source
        return f"{self.instance} {self.incarnation}"


class Record(msgspec.Struct):
    """One line.

    :param timestamp: Unix seconds by the clock of its instance.
    :param clock: monotonic seconds of its process; None when the line lacks it.
    :param fields: all others.
    """

    process: ProcessId
    kind: str
    timestamp: float
    clock: float | None
    request: str
    fields: dict[str, object]


class ReadTally(msgspec.Struct):
    """What was read.

    :param damaged: lines that are no message.
    """

    lines: int = 0
    damaged: int = 0


class _Head(msgspec.Struct):
    message_type: str
    timestamp: float = 0.0
    clock: float | None = None
    instance: str = ""
    incarnation: str = ""
    request: str = ""
    #: Names a request in the lines of the product's own routers and sidecars.
    key: str = ""


_head_decoder = msgspec.json.Decoder(_Head)


def read_records(
    lines: Iterable[bytes], source: str, request: str, tally: ReadTally
) -> Iterator[Record]:
    """Yield the lines about a request and those about beliefs.

    A collector's words before the message are passed over.

    :param source: names the lines' origin where they don't name their process.
    """
    for line in lines:
        text = line[max(0, line.find(b"{")) :].strip()
        if not text:
            continue
        tally.lines += 1
        try:
            record = _record(text, source, request)
        except (msgspec.MsgspecError, UnicodeError):
            tally.damaged += 1
            continue
        if record is not None:
            yield record


def _record(text: bytes, source: str, request: str) -> Record | None:
    head = _head_decoder.decode(text)
    named = head.request or head.key
    if named != request and (named or head.message_type not in STATE_KINDS):
        return None
    fields = msgspec.json.decode(text, type=dict[str, object])
    is_named = bool(head.instance or head.incarnation)
    return Record(
        process=ProcessId(head.instance, head.incarnation, "" if is_named else source),
        kind=head.message_type,
        timestamp=head.timestamp,
        clock=head.clock,
        request=named,
        fields={name: fields[name] for name in fields if name not in HEAD_FIELDS},
    )
