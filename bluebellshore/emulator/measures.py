"""What callers saw in a trial."""

from collections import Counter, defaultdict
from enum import Enum

import msgspec

from bluebellshore.emulator.traces import Arrival
from bluebellshore.experiments.report import percentile
from bluebellshore.ids import ZoneName

__all__ = ["Measures", "Outcome"]

#: What a late answer counts for.
LATE_CREDIT = 0.3


class Outcome(Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Measures(msgspec.Struct):
    """Counts of a trial.

    :param read_again: shared tokens that were read though an engine held them.
    :param crossing_bytes: bytes of requests and answers between zones.
    :param crossed_at_by_zone: time of each send, and whether it left the zone.
    :param held_seconds: times for which refused requests were held.
    """

    outcomes: Counter[Outcome] = msgspec.field(default_factory=Counter)
    by_kind: dict[str, Counter[Outcome]] = msgspec.field(
        default_factory=lambda: defaultdict(Counter)
    )
    by_customer: dict[str, Counter[Outcome]] = msgspec.field(
        default_factory=lambda: defaultdict(Counter)
    )
    first_event_seconds: list[float] = msgspec.field(default_factory=list)
    longest_pauses: list[float] = msgspec.field(default_factory=list)
    held_seconds: list[float] = msgspec.field(default_factory=list)
    read_again: int = 0
    read: int = 0
    repeats: int = 0
    sends: int = 0
    crossing_bytes: int = 0
    crossed_at_by_zone: dict[ZoneName, list[tuple[float, bool]]] = msgspec.field(
        default_factory=dict
    )

    def note(self, arrival: Arrival, outcome: Outcome) -> None:
        """Count a request that ended."""
        self.outcomes[outcome] += 1
        self.by_kind[arrival.kind.route.name][outcome] += 1
        self.by_customer[arrival.customer][outcome] += 1

    def share(self, outcome: Outcome) -> float:
        """Return the share of all requests."""
        return self.outcomes[outcome] / max(1, self.outcomes.total())

    def kind_share(self, name: str) -> float:
        """Return the share of a kind that was served in time."""
        counts = self.by_kind[name]
        return counts[Outcome.IN_TIME] / max(1, counts.total())

    def customer_share(self, name: str) -> float:
        """Return the share of a customer's requests that was served in time."""
        counts = self.by_customer[name]
        return counts[Outcome.IN_TIME] / max(1, counts.total())

    @property
    def credit(self) -> float:
        """Share served, late answers in part."""
        late = LATE_CREDIT * self.share(Outcome.LATE)
        return self.share(Outcome.IN_TIME) + late

    @property
    def held_p95(self) -> float:
        """Time for which 95 in 100 refused attempts were held at most, in seconds."""
        return percentile(self.held_seconds, 0.95) if self.held_seconds else 0.0

    @property
    def worst_customer_share(self) -> float:
        """The least of the customers' shares."""
        return min(self.customer_share(name) for name in self.by_customer)

    @property
    def first_event_p95(self) -> float:
        """Time to the first event that 95 in 100 keep, in seconds."""
        return percentile(self.first_event_seconds, 0.95)

    @property
    def pause_p99(self) -> float:
        """Longest pause that 99 in 100 streams keep, in seconds."""
        return percentile(self.longest_pauses, 0.99)
