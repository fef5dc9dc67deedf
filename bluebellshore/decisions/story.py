"""Reconstructs the course of one request, with the process state at each step."""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellshore.decisions.absences import absence_notes
from bluebellshore.decisions.kinds import (
    AllotmentOutcome,
    Belief,
    Contact,
    EvacuationStep,
    Kind,
)
from bluebellshore.decisions.reading import ProcessId, Record

__all__ = ["ProcessState", "Step", "Story", "tell_story"]

#: Minimum shift of the wall clock against the monotonic clock that is noted.
MIN_CLOCK_SHIFT_SECONDS = 0.5
#: Time before and after a request within which clock shifts and missing lines are
#: noted. It exceeds the second between two counts of lines that were left out.
NEARBY_SECONDS = 2.0
_END_KINDS = (Kind.ENDED.value, Kind.REFUSED.value)
_MISSING_LINE_KINDS = (Kind.LEFT_OUT.value, Kind.LINES_DROPPED.value)
_ALWAYS_SHOWN_KINDS = frozenset(
    kind.value
    for kind in (
        Kind.CONFIGURATION,
        Kind.PEER,
        Kind.RELOADED,
        Kind.ROLLOUT,
        Kind.STOPPED,
        Kind.STOPPING,
        Kind.STORE,
        Kind.ZONE,
    )
)


class StateValue(msgspec.Struct, frozen=True):
    """A value and the time of the line that reported it.

    :param timestamp: Unix seconds.
    :param reason: why the value changed; empty if the line has no reason.
    """

    value: str
    timestamp: float
    reason: str = ""


class ProcessState(msgspec.Struct):
    """State that a process knew of at a step, as far as its log shows.

    :param configuration: number; None if no line reports one.
    :param store: whether contact with the store was lost or regained.
    :param server: state of the backend server of the step.
    :param allotment: last change of the customer's part of the budget.
    :param ready: number of backend servers that were ready or trusted.
    :param impaired: state of each server that was suspected or leaving, by id.
    :param lost_peers: other routers without contact.
    :param evacuated_zones: availability zones whose evacuation was in force.
    """

    configuration: StateValue | None = None
    store: StateValue | None = None
    server: StateValue | None = None
    allotment: StateValue | None = None
    ready: int = 0
    impaired: dict[str, str] = {}
    lost_peers: list[str] = []
    evacuated_zones: list[str] = []


class Step(msgspec.Struct):
    """A line about the request, or a state change between two such lines.

    :param in_force: state of the process after the line.
    :param is_own: whether the line is about the request.
    """

    record: Record
    in_force: ProcessState
    is_own: bool


class Story(msgspec.Struct):
    """Everything that the logs report about one request.

    :param steps: in order of time; the steps of one process keep their order.
    :param notes: what makes the story unreliable, i.e. clock shifts and missing lines,
        and absences of routers that caused a refusal.
    """

    request: str
    steps: list[Step] = []
    notes: list[str] = []


class _StateTracker:
    """State of one process, updated from its log lines."""

    def __init__(self) -> None:
        self._configuration: StateValue | None = None
        self._store: StateValue | None = None
        self._servers: dict[str, StateValue] = {}
        self._peers: dict[str, StateValue] = {}
        self._allotments: dict[str, StateValue] = {}
        self._evacuations: dict[str, StateValue] = {}

    def apply(self, record: Record) -> None:
        """Update the state from a line; lines that report no state are ignored."""
        fields = record.fields
        match record.kind:
            case Kind.CONFIGURATION.value:
                if fields.get("outcome") == "in-force":
                    self._configuration = _state_value(record, "number")
            case Kind.STORE.value:
                self._store = _state_value(record, "contact")
            case Kind.BACKEND_SERVER.value:
                self._servers[str(fields.get("server"))] = _state_value(
                    record, "belief"
                )
            case Kind.PEER.value:
                self._peers[str(fields.get("peer"))] = _state_value(record, "contact")
            case Kind.ZONE.value:
                self._evacuations[str(fields.get("zone"))] = _state_value(
                    record, "evacuation"
                )
            case Kind.ALLOTMENT.value:
                customer = str(fields.get("customer"))
                self._allotments[customer] = _state_value(record, "outcome", "balance")

    def snapshot(self, record: Record, customer: str) -> ProcessState:
        """Return the state at a step.

        :param record: names the backend server of the step.
        :param customer: whose allotment is wanted.
        """
        beliefs = {name: state.value for name, state in self._servers.items()}
        impaired = (
            Belief.SUSPECTED.value,
            Belief.LEAVING.value,
            Belief.COLD.value,
        )
        usable = (Belief.READY.value, Belief.TRUSTED.value, Belief.WARM.value)
        return ProcessState(
            configuration=self._configuration,
            store=self._store,
            server=self._servers.get(str(record.fields.get("server"))),
            allotment=self._allotments.get(customer),
            ready=sum(belief in usable for belief in beliefs.values()),
            impaired={k: v for k, v in sorted(beliefs.items()) if v in impaired},
            lost_peers=sorted(
                name
                for name, state in self._peers.items()
                if state.value == Contact.LOST.value
            ),
            evacuated_zones=sorted(
                zone
                for zone, state in self._evacuations.items()
                if state.value != EvacuationStep.TAKEN_BACK.value
            ),
        )


def _state_value(record: Record, *names: str) -> StateValue:
    values = [str(record.fields[name]) for name in names if name in record.fields]
    reason = str(record.fields.get("reason", ""))
    return StateValue(", ".join(values), record.timestamp, reason)


def tell_story(request: str, records: Iterable[Record]) -> Story:
    """Return the steps of a request in all processes that logged it.

    The lines of one process are ordered by its monotonic clock. The processes are
    merged by wall clock time, which may differ between instances.

    :param request: id of the request.
    :param records: lines about the request and about process state, those of one
        process in the order in which they were written.
    """
    records_by_process: dict[ProcessId, list[Record]] = {}
    for record in records:
        records_by_process.setdefault(record.process, []).append(record)
    story = Story(request)
    step_lists = []
    for process in sorted(records_by_process):
        records = _sort_by_clock(records_by_process[process])
        if any(record.request for record in records):
            step_lists.append(_process_steps(records))
            story.notes += _gap_notes(process, records)
            story.notes += _missing_end_notes(process, records, records_by_process)
    story.notes += absence_notes(
        record for records in records_by_process.values() for record in records
    )
    story.steps = list(_merge_steps(step_lists))
    return story


def _sort_by_clock(records: list[Record]) -> list[Record]:
    """Return the records of one process in the order of its monotonic clock.

    A record without a clock stays behind the one before it.
    """
    last = float("-inf")
    keyed = []
    for record in records:
        last = last if record.clock is None else record.clock
        keyed.append((last, record))
    return [record for _, record in sorted(keyed, key=lambda item: item[0])]


def _process_steps(records: list[Record]) -> list[Step]:
    """Return the lines about the request and related changes between them."""
    request_indexes = [index for index, record in enumerate(records) if record.request]
    own_records = [records[index] for index in request_indexes]
    servers = {record.fields.get("server") for record in own_records} - {None}
    customers = [record.fields.get("customer") for record in own_records]
    customer = str(next(filter(None, customers), ""))
    state = _StateTracker()
    steps = []
    for index, record in enumerate(records[: request_indexes[-1] + 1]):
        is_own = bool(record.request)
        if not is_own:
            state.apply(record)
        is_related_change = (
            index > request_indexes[0]
            and record.fields.get("outcome") != AllotmentOutcome.BILLED.value
            and (
                record.kind in _ALWAYS_SHOWN_KINDS
                or record.fields.get("server") in servers
                or record.fields.get("customer") == customer
            )
        )
        if is_own or is_related_change:
            steps.append(Step(record, state.snapshot(record, customer), is_own))
    return steps


def _merge_steps(step_lists: list[list[Step]]) -> Iterator[Step]:
    """Merge the steps by wall clock time, keeping the order within each process."""
    queues = [list(reversed(steps)) for steps in step_lists]
    while queues := [steps for steps in queues if steps]:
        first = min(queues, key=lambda steps: steps[-1].record.timestamp)
        yield first.pop()


def _gap_notes(process: ProcessId, records: list[Record]) -> Iterator[str]:
    """Yield notes on clock shifts and missing lines close to the request."""
    own_records = [record for record in records if record.request]
    for before, after in zip(records, records[1:], strict=False):
        shift = _clock_shift(before, after)
        if abs(shift) > MIN_CLOCK_SHIFT_SECONDS and _is_near_request(
            after, own_records
        ):
            yield (
                f"{process}: the wall clock moved by {shift:+.1f} s against the "
                "monotonic clock; it was set, or the instance was suspended"
            )
    for record in records:
        if record.kind in _MISSING_LINE_KINDS and _is_near_request(record, own_records):
            kind = record.kind.replace("_", " ")
            yield f"{process}: {kind}: {record.fields.get('lines')}"


def _missing_end_notes(
    process: ProcessId,
    records: list[Record],
    records_by_process: dict[ProcessId, list[Record]],
) -> Iterator[str]:
    """Yield a note on a process that logged no end of the request."""
    if any(record.request and record.kind in _END_KINDS for record in records):
        return
    text = f"{process}: no line reports how the request ended here"
    # A count of dropped lines may follow the last line of a normal end.
    if any(record.kind == Kind.STOPPED.value for record in records):
        yield f"{text}; the process then shut down normally"
        return
    restart_times = [
        record.timestamp
        for other, others in records_by_process.items()
        for record in others
        if other.instance == process.instance
        and other != process
        and record.kind == Kind.STARTED.value
        and record.timestamp > records[-1].timestamp
    ]
    if restart_times:
        seconds = min(restart_times) - records[-1].timestamp
        text += "; the process was killed or failed, its successor started "
        text += f"{seconds:.1f} s after its last line that was read"
    yield text


def _clock_shift(before: Record, after: Record) -> float:
    """Return the seconds that the wall clock moved against the monotonic clock."""
    if before.clock is None or after.clock is None:
        return 0.0
    return (after.timestamp - before.timestamp) - (after.clock - before.clock)


def _is_near_request(record: Record, own_records: list[Record]) -> bool:
    """Return whether a record was written close to the request, as far as known."""
    if (
        record.clock is None
        or own_records[0].clock is None
        or own_records[-1].clock is None
    ):
        return True
    return (
        own_records[0].clock - NEARBY_SECONDS
        <= record.clock
        <= own_records[-1].clock + NEARBY_SECONDS
    )
