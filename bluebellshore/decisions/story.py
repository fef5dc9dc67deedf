"""Puts the lines about one request in order, each with the state in force."""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellshore.decisions.kinds import Belief, Contact, Kind
from bluebellshore.decisions.reading import ProcessId, Record

__all__ = ["InForce", "Step", "Story", "tell_story"]

#: Difference between the two clocks of a process beyond which it is pointed out.
CLOCK_SHIFT_SECONDS = 0.5
#: Time before and after a request within which lines that are missing concern it.
#: Lines that were left out are counted once a second.
NEAR_SECONDS = 2.0
_ENDS = (Kind.ENDED.value, Kind.REFUSED.value)
_MISSING = (Kind.LEFT_OUT.value, Kind.LINES_DROPPED.value)
_ALWAYS_SHOWN = frozenset(
    kind.value
    for kind in (
        Kind.CONFIGURATION,
        Kind.PEER,
        Kind.RELOADED,
        Kind.ROLLOUT,
        Kind.STOPPED,
        Kind.STOPPING,
        Kind.STORE,
    )
)


class Since(msgspec.Struct, frozen=True):
    """Something that holds since a line said so.

    :param timestamp: Unix seconds.
    """

    value: str
    timestamp: float
    reason: str = ""


class InForce(msgspec.Struct):
    """What a process believed at a step, as far as its lines tell.

    :param configuration: number; None when no line tells of one.
    :param store: whether the store was in contact.
    :param server: belief about the backend server of the step.
    :param allotment: last change of the customer's part of the budget.
    :param ready: backend servers believed ready.
    :param impaired: belief about those that were suspected or leaving, by id.
    :param lost_peers: other routers without contact.
    """

    configuration: Since | None = None
    store: Since | None = None
    server: Since | None = None
    allotment: Since | None = None
    ready: int = 0
    impaired: dict[str, str] = {}
    lost_peers: list[str] = []


class Step(msgspec.Struct):
    """A line about the request, or a change of state between two of them."""

    record: Record
    in_force: InForce
    is_own: bool


class Story(msgspec.Struct):
    """All that the lines tell of one request.

    :param notes: what limits the story: clocks that moved, lines that are missing.
    """

    request: str
    steps: list[Step] = []
    notes: list[str] = []


class _State:
    """Beliefs of one process, as its lines change them."""

    def __init__(self) -> None:
        self._configuration: Since | None = None
        self._store: Since | None = None
        self._servers: dict[str, Since] = {}
        self._peers: dict[str, Since] = {}
        self._allotments: dict[str, Since] = {}

    def apply(self, record: Record) -> None:
        """Take in a line about beliefs."""
        fields = record.fields
        match record.kind:
            case Kind.CONFIGURATION.value:
                if fields.get("outcome") == "in-force":
                    self._configuration = _since(record, "number")
            case Kind.STORE.value:
                self._store = _since(record, "contact")
            case Kind.BACKEND_SERVER.value:
                self._servers[str(fields.get("server"))] = _since(record, "belief")
            case Kind.PEER.value:
                self._peers[str(fields.get("peer"))] = _since(record, "contact")
            case Kind.ALLOTMENT.value:
                customer = str(fields.get("customer"))
                self._allotments[customer] = _since(record, "outcome", "balance")

    def at(self, record: Record, customer: str) -> InForce:
        """Return what was believed at a step."""
        beliefs = {name: since.value for name, since in self._servers.items()}
        impaired = (Belief.SUSPECTED.value, Belief.LEAVING.value)
        usable = (Belief.READY.value, Belief.TRUSTED.value)
        return InForce(
            configuration=self._configuration,
            store=self._store,
            server=self._servers.get(str(record.fields.get("server"))),
            allotment=self._allotments.get(customer),
            ready=sum(belief in usable for belief in beliefs.values()),
            impaired={k: v for k, v in sorted(beliefs.items()) if v in impaired},
            lost_peers=sorted(
                name
                for name, since in self._peers.items()
                if since.value == Contact.LOST.value
            ),
        )


def _since(record: Record, *names: str) -> Since:
    values = [str(record.fields[name]) for name in names if name in record.fields]
    reason = str(record.fields.get("reason", ""))
    return Since(", ".join(values), record.timestamp, reason)


def tell_story(request: str, records: Iterable[Record]) -> Story:
    """Return the story of a request.

    Lines of one process are in the order of its steady clock. Processes are merged by
    the time of day, which may differ between instances.

    :param records: as they were written, those of one process in order.
    """
    records_by_process: dict[ProcessId, list[Record]] = {}
    for record in records:
        records_by_process.setdefault(record.process, []).append(record)
    story = Story(request)
    threads = []
    for process in sorted(records_by_process):
        records = _in_order(records_by_process[process])
        if any(record.request for record in records):
            threads.append(_process_steps(records))
            story.notes += _notes(process, records)
            story.notes += _end_notes(process, records, records_by_process)
    story.steps = list(_merged(threads))
    return story


def _in_order(records: list[Record]) -> list[Record]:
    """Return the records of one process by its steady clock."""
    last = float("-inf")
    keyed = []
    for record in records:
        last = last if record.clock is None else record.clock
        keyed.append((last, record))
    return [record for _, record in sorted(keyed, key=lambda item: item[0])]


def _process_steps(records: list[Record]) -> list[Step]:
    own = [index for index, record in enumerate(records) if record.request]
    own_records = [records[index] for index in own]
    servers = {record.fields.get("server") for record in own_records} - {None}
    customers = [record.fields.get("customer") for record in own_records]
    customer = str(next(filter(None, customers), ""))
    state = _State()
    steps = []
    for index, record in enumerate(records[: own[-1] + 1]):
        is_own = bool(record.request)
        if not is_own:
            state.apply(record)
        between = index > own[0] and (
            record.kind in _ALWAYS_SHOWN
            or record.fields.get("server") in servers
            or record.fields.get("customer") == customer
        )
        if is_own or between:
            steps.append(Step(record, state.at(record, customer), is_own))
    return steps


def _merged(threads: list[list[Step]]) -> Iterator[Step]:
    """Merge processes by time without changing the order within one."""
    queues = [list(reversed(steps)) for steps in threads]
    while queues := [steps for steps in queues if steps]:
        first = min(queues, key=lambda steps: steps[-1].record.timestamp)
        yield first.pop()


def _notes(process: ProcessId, records: list[Record]) -> Iterator[str]:
    own = [record for record in records if record.request]
    for before, after in zip(records, records[1:], strict=False):
        shift = _clock_shift(before, after)
        if abs(shift) > CLOCK_SHIFT_SECONDS and _is_near(after, own):
            yield (
                f"{process}: the time of day moved by {shift:+.1f} s against the "
                "steady clock; it was set, or the instance was suspended"
            )
    for record in records:
        if record.kind in _MISSING and _is_near(record, own):
            kind = record.kind.replace("_", " ")
            yield f"{process}: {kind}: {record.fields.get('lines')}"


def _end_notes(
    process: ProcessId,
    records: list[Record],
    records_by_process: dict[ProcessId, list[Record]],
) -> Iterator[str]:
    """Tell what became of a process that wrote no end of the request."""
    if any(record.request and record.kind in _ENDS for record in records):
        return
    text = f"{process}: no line tells how the request ended here"
    if records[-1].kind == Kind.STOPPED.value:
        yield f"{text}; the process stopped in order after it"
        return
    next_lives = [
        record.timestamp
        for other, others in records_by_process.items()
        for record in others
        if other.instance == process.instance
        and other != process
        and record.kind == Kind.STARTED.value
        and record.timestamp > records[-1].timestamp
    ]
    if next_lives:
        seconds = min(next_lives) - records[-1].timestamp
        text += "; the process was killed or failed, its successor started "
        text += f"{seconds:.1f} s after the last line that concerns it"
    yield text


def _clock_shift(before: Record, after: Record) -> float:
    if before.clock is None or after.clock is None:
        return 0.0
    return (after.timestamp - before.timestamp) - (after.clock - before.clock)


def _is_near(record: Record, own: list[Record]) -> bool:
    if record.clock is None or own[0].clock is None or own[-1].clock is None:
        return True
    return own[0].clock - NEAR_SECONDS <= record.clock <= own[-1].clock + NEAR_SECONDS
