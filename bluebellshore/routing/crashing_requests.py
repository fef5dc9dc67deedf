"""Decides which requests to refuse because they crash backend servers.

Handles a request that crashes each backend server that begins to run it and is sent
again and again, through any router. Sound requests run beside it, and popular ones that
many callers send alike run beside many crashes. A request is refused if it was sent
again after a crash and the next server crashed as well. One that is answered anywhere
since then is cleared, and one that was answered before needs more crashes.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from bluebellshore.routing.crashes import Crash, CrashOutcome
from bluebellshore.routing.probes import next_probe_at

__all__ = ["AnsweredRequest", "CrashingRequests", "RefusedRequest"]

#: Crashes in a row, each of a try that was sent after the one before, after which a
#: request is refused.
CRASHES_TO_REFUSE = 2
#: The same for a request that was answered before the first of them.
CRASHES_TO_REFUSE_ANSWERED = 4
#: Times of one crash that routers tell each other differ by less.
SAME_CRASH_SECONDS = 2.0
#: Time until a refused request is let through as a probe. It grows with each crash, so
#: that a day sees a few of them.
PROBE_INTERVAL_SECONDS = 900.0
PROBE_INTERVAL_GROWTH = 4.0
MAX_PROBE_INTERVAL_SECONDS = 86_400.0
#: Time without a request, after its last one or after a probe was due, after which a
#: refusal ends.
REFUSAL_LIFETIME_SECONDS = 86_400.0
#: Requests remembered that ran during crashes.
MAX_SUSPECTS = 4096
#: Crashes remembered of one request.
MAX_CRASHES_OF_REQUEST = 8
#: Refused requests remembered.
MAX_REFUSALS = 256
#: Requests remembered with their last answer.
MAX_ANSWERED = 4096


class AnsweredRequest(msgspec.Struct, frozen=True):
    """A suspected request that a backend server has answered.

    :param answered_at: monotonic seconds.
    """

    fingerprint: str
    answered_at: float


class RefusedRequest(msgspec.Struct, frozen=True):
    """A request that is refused, as told to peers.

    :param crashed_at: monotonic seconds of the last crash.
    :param interval_seconds: time until a probe.
    :param crashes: number of crashes in a row.
    """

    fingerprint: str
    crashed_at: float
    interval_seconds: float
    crashes: int


class _Try(msgspec.Struct):
    """The last try of a request that ran at a server when it crashed."""

    crash: Crash
    sent_at: float


class _Refusal(msgspec.Struct):
    """Why and until when a request is refused.

    :ivar used_at: monotonic seconds of its last request.
    :ivar reported: whether peers were told.
    """

    crashed_at: float
    interval_seconds: float
    crashes: int
    used_at: float
    probe_at: float = 0.0
    reported: bool = False


class CrashingRequests:
    """Weighs crashes against answers for each request, known by its fingerprint.

    Every method takes `now` in monotonic seconds.

    :param router: identifies this router; routers probe at different times.
    :param count_routers: returns the number of routers, which share the probes.
    """

    def __init__(
        self, router: str = "", count_routers: Callable[[], int] = lambda: 1
    ) -> None:
        self._router = router
        self._count_routers = count_routers
        #: Tries by crash number; the request that was last suspected comes last.
        self._tries_by_fingerprint: dict[str, dict[int, _Try]] = {}
        self._refusals_by_fingerprint: dict[str, _Refusal] = {}
        #: The request that was last answered comes last.
        self._answered_at_by_fingerprint: dict[str, float] = {}
        self._answers_to_report: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._tries_by_fingerprint) + len(self._refusals_by_fingerprint)

    @property
    def refused(self) -> frozenset[str]:
        """Requests that are refused for certain."""
        return frozenset(self._refusals_by_fingerprint)

    def add_try(
        self, fingerprint: str, crash: Crash, sent_at: float, now: float
    ) -> bool:
        """Record that a request ran at a server when it crashed.

        :param sent_at: when it was sent there.
        :return: whether it is a suspect; false if it was answered since.
        """
        answered_at = self._answered_at_by_fingerprint.get(fingerprint)
        if answered_at is not None:
            self._answers_to_report[fingerprint] = answered_at
            if answered_at > crash.began_at:
                return False
        tries = self._tries_by_fingerprint.pop(fingerprint, {})
        known = tries.get(crash.number)
        if known is not None:
            sent_at = max(sent_at, known.sent_at)
        tries[crash.number] = _Try(crash, sent_at)
        while len(tries) > MAX_CRASHES_OF_REQUEST:
            del tries[next(iter(tries))]
        self._tries_by_fingerprint[fingerprint] = tries
        _drop_first(self._tries_by_fingerprint, MAX_SUSPECTS)
        self.record_crash(fingerprint, crash, now)
        return True

    def record_crash(self, fingerprint: str, crash: Crash, now: float) -> None:
        """Weigh a suspect again, as more is known of one of its crashes."""
        refusal = self._refusals_by_fingerprint.get(fingerprint)
        if refusal is not None:
            # A broken probe is taken for a crash, as a second one costs more.
            if crash.outcome is not CrashOutcome.LIVES:
                self._extend(fingerprint, refusal, crash.began_at, now)
            return
        tries = self._tries_by_fingerprint.get(fingerprint, {})
        died = [t for t in tries.values() if t.crash.outcome is CrashOutcome.DIED]
        crashes = _count_in_a_row(died)
        if crashes >= self._crashes_needed(fingerprint):
            crashed_at = max(t.crash.began_at for t in died)
            self._refuse(
                RefusedRequest(
                    fingerprint, crashed_at, PROBE_INTERVAL_SECONDS, crashes
                ),
                now,
            )

    def record_answer(self, fingerprint: str, answered_at: float) -> None:
        """Record that a request was answered, as this router saw."""
        if self._clear(fingerprint, answered_at):
            self._answers_to_report[fingerprint] = answered_at

    def merge_answers(self, answers: Iterable[AnsweredRequest]) -> None:
        """Add answers that peers saw."""
        for answer in answers:
            self._clear(answer.fingerprint, answer.answered_at)

    def take_answers(self) -> list[AnsweredRequest]:
        """Return suspects that are known to have been answered, once each."""
        answers = [
            AnsweredRequest(fingerprint, answered_at)
            for fingerprint, answered_at in self._answers_to_report.items()
        ]
        self._answers_to_report.clear()
        return answers

    def refusals(self, *, unreported_only: bool = False) -> list[RefusedRequest]:
        """Return the refused requests; afterwards they count as reported."""
        found = {
            fingerprint: refusal
            for fingerprint, refusal in self._refusals_by_fingerprint.items()
            if not (unreported_only and refusal.reported)
        }
        for refusal in found.values():
            refusal.reported = True
        return self.refusals_of(found)

    def refusals_of(self, fingerprints: Iterable[str]) -> list[RefusedRequest]:
        """Return those of the requests that are refused."""
        by_fingerprint = self._refusals_by_fingerprint
        return [
            RefusedRequest(
                fingerprint,
                by_fingerprint[fingerprint].crashed_at,
                by_fingerprint[fingerprint].interval_seconds,
                by_fingerprint[fingerprint].crashes,
            )
            for fingerprint in fingerprints
            if fingerprint in by_fingerprint
        ]

    def merge_refusals(self, refusals: Iterable[RefusedRequest], now: float) -> None:
        """Add what peers refuse, except requests that are known to be answered."""
        for refusal in refusals:
            fingerprint = refusal.fingerprint
            answered_at = self._answered_at_by_fingerprint.get(fingerprint)
            if answered_at is not None:
                self._answers_to_report[fingerprint] = answered_at
                if answered_at > refusal.crashed_at or (
                    refusal.crashes < self._crashes_needed(fingerprint)
                ):
                    continue
            known = self._refusals_by_fingerprint.get(fingerprint)
            if known is None:
                self._refuse(refusal, now, reported=True)
            elif refusal.crashed_at > known.crashed_at:
                known.interval_seconds = max(
                    known.interval_seconds, refusal.interval_seconds
                )
                self._extend(fingerprint, known, refusal.crashed_at, now, grow=False)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must be refused."""
        refusal = self._refusals_by_fingerprint.get(fingerprint)
        if refusal is not None:
            refusal.used_at = now
            return now < refusal.probe_at
        tries = self._tries_by_fingerprint.get(fingerprint)
        if tries is None:
            return False
        likely = [found for found in tries.values() if found.crash.is_likely]
        return _count_in_a_row(likely) >= self._crashes_needed(fingerprint)

    def record_sent(self, fingerprint: str, now: float) -> None:
        """Record that a request is sent; a refused one is a probe."""
        refusal = self._refusals_by_fingerprint.get(fingerprint)
        if refusal is not None:
            self._schedule_probe(fingerprint, refusal, now)

    def keep_crashes(self, numbers: set[int]) -> None:
        """Drop all crashes but those with these numbers."""
        for fingerprint, tries in list(self._tries_by_fingerprint.items()):
            for number in tries.keys() - numbers:
                del tries[number]
            if not tries:
                del self._tries_by_fingerprint[fingerprint]

    def drop_unused(self, now: float) -> None:
        """Drop refusals of requests that are no longer sent."""
        for fingerprint, refusal in list(self._refusals_by_fingerprint.items()):
            unused_since = max(refusal.used_at, refusal.probe_at)
            if now - unused_since > REFUSAL_LIFETIME_SECONDS:
                del self._refusals_by_fingerprint[fingerprint]

    def _crashes_needed(self, fingerprint: str) -> int:
        if fingerprint in self._answered_at_by_fingerprint:
            return CRASHES_TO_REFUSE_ANSWERED
        return CRASHES_TO_REFUSE

    def _clear(self, fingerprint: str, answered_at: float) -> bool:
        """Clear a request of crashes before an answer. :return: whether it had any."""
        before = self._answered_at_by_fingerprint.pop(fingerprint, -math.inf)
        self._answered_at_by_fingerprint[fingerprint] = max(before, answered_at)
        _drop_first(self._answered_at_by_fingerprint, MAX_ANSWERED)
        suspected = False
        tries = self._tries_by_fingerprint.get(fingerprint)
        if tries is not None:
            suspected = True
            for number, found in list(tries.items()):
                if found.crash.began_at < answered_at:
                    found.crash.fingerprints.discard(fingerprint)
                    del tries[number]
            if not tries:
                del self._tries_by_fingerprint[fingerprint]
        refusal = self._refusals_by_fingerprint.get(fingerprint)
        if refusal is not None:
            suspected = True
            if (
                refusal.crashed_at < answered_at
                or refusal.crashes < CRASHES_TO_REFUSE_ANSWERED
            ):
                del self._refusals_by_fingerprint[fingerprint]
        return suspected

    def _refuse(
        self, refused: RefusedRequest, now: float, *, reported: bool = False
    ) -> None:
        refusal = _Refusal(
            min(refused.crashed_at, now),
            min(refused.interval_seconds, MAX_PROBE_INTERVAL_SECONDS),
            refused.crashes,
            now,
            reported=reported,
        )
        self._schedule_probe(refused.fingerprint, refusal, now)
        self._refusals_by_fingerprint[refused.fingerprint] = refusal
        if len(self._refusals_by_fingerprint) > MAX_REFUSALS:
            by_fingerprint = self._refusals_by_fingerprint
            del by_fingerprint[
                min(by_fingerprint, key=lambda f: by_fingerprint[f].used_at)
            ]

    def _extend(
        self,
        fingerprint: str,
        refusal: _Refusal,
        crashed_at: float,
        now: float,
        *,
        grow: bool = True,
    ) -> None:
        """Put off the next probe after a crash."""
        # Tries that were sent before the refusal crash soon after it.
        if grow and crashed_at - refusal.crashed_at > PROBE_INTERVAL_SECONDS / 2:
            refusal.interval_seconds = min(
                refusal.interval_seconds * PROBE_INTERVAL_GROWTH,
                MAX_PROBE_INTERVAL_SECONDS,
            )
        if crashed_at > refusal.crashed_at + SAME_CRASH_SECONDS:
            refusal.crashes += 1
            refusal.crashed_at = crashed_at
            self._schedule_probe(fingerprint, refusal, now)

    def _schedule_probe(self, fingerprint: str, refusal: _Refusal, now: float) -> None:
        refusal.probe_at = next_probe_at(
            now,
            refusal.interval_seconds,
            router=self._router,
            subject=fingerprint,
            routers=self._count_routers(),
        )


def _count_in_a_row(tries: Iterable[_Try]) -> int:
    """Return the number of crashes that came each of a try sent after the last one."""
    count, crashed_at = 0, -math.inf
    for found in sorted(tries, key=lambda found: found.crash.began_at):
        if found.sent_at >= crashed_at:
            count += 1
            crashed_at = found.crash.began_at
    return count


def _drop_first(by_key: dict, most: int) -> None:
    while len(by_key) > most:
        del by_key[next(iter(by_key))]
