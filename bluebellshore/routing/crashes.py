"""What one router knows of a backend server's crash, its own and told by peers."""

from enum import Enum

import msgspec

from bluebellshore.ids import BackendServerId, ScopedPart

__all__ = ["Crash", "CrashOutcome"]


class CrashOutcome(Enum):
    """What became of a backend server whose connections broke."""

    #: Its entry can still lapse or be renewed.
    UNDECIDED = "undecided"
    #: Its entry is gone, or says that it has started again, or another server has its
    #: address.
    DIED = "died"
    #: It answered or renewed its entry, or it was leaving in any case.
    LIVES = "lives"


class Crash(msgspec.Struct, eq=False):
    """A crash, or a broken connection that may turn out to be one.

    :ivar number: the same for records of one crash.
    :ivar began_at: monotonic seconds at which connections broke.
    :ivar started_unix_ms: start of the server that may have crashed; 0 if unknown.
    :ivar address: its address; empty if unknown.
    :ivar listed: whether its entry was seen here since.
    :ivar fingerprints: requests that ran during the crash and haven't completed since.
    :ivar confirming: requests whose connections broke at this router, or at one that
        took this for a crash.
    :ivar sent_at_by_fingerprint: monotonic seconds at which each was last sent.
    :ivar own_fingerprints: those of them that this router sent.
    :ivar parts_by_fingerprint: prompt parts of those whose answer had not begun, until
        they are handed on as evidence.
    :ivar own_parts_by_fingerprint: the same of this router's requests.
    :ivar routers_differ: whether connections of several routers broke.
    :ivar confirmed: whether this seems a crash and not just one broken connection.
    :ivar doubted: whether the server had lived through broken connections lately.
    :ivar unreported: this router's requests that peers were not told at all.
    :ivar reported_confirmed: whether peers were told that it is confirmed.
    :ivar reported_died: whether peers were told that the server died.
    :ivar settled: whether the server's entry has decided on the outcome.
    """

    number: int
    server_id: BackendServerId
    began_at: float
    started_unix_ms: int = 0
    address: str = ""
    listed: bool = False
    fingerprints: set[str] = msgspec.field(default_factory=set)
    confirming: set[str] = msgspec.field(default_factory=set)
    sent_at_by_fingerprint: dict[str, float] = msgspec.field(default_factory=dict)
    own_fingerprints: set[str] = msgspec.field(default_factory=set)
    parts_by_fingerprint: dict[str, tuple[ScopedPart, ...]] = msgspec.field(
        default_factory=dict
    )
    own_parts_by_fingerprint: dict[str, tuple[ScopedPart, ...]] = msgspec.field(
        default_factory=dict
    )
    routers_differ: bool = False
    confirmed: bool = False
    outcome: CrashOutcome = CrashOutcome.UNDECIDED
    doubted: bool = False
    unreported: set[str] = msgspec.field(default_factory=set)
    reported_confirmed: bool = False
    reported_died: bool = False
    settled: bool = False

    @property
    def is_likely(self) -> bool:
        """Whether the server seems to have crashed."""
        if self.outcome is CrashOutcome.UNDECIDED:
            return self.confirmed and not self.doubted
        return self.outcome is CrashOutcome.DIED
