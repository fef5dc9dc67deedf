"""Finds prompt parts that crash backend servers.

Handles a prompt part that crashes each backend server that begins to write an answer
on it. The requests with it differ in all else, and sound requests share their customer
and their other parts. Each crash also breaks the sound requests that run beside it.

A part that was in requests at several crashes, and in no answer since, is blamed. Parts
that came only together are blamed together: only requests with all of them are refused.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence

import msgspec

from bluebellshore.ids import ScopedPart
from bluebellshore.routing.probes import next_probe_at

__all__ = ["AnsweredPart", "BlamedParts", "SuspectedParts"]

#: Crashes, each with another request, after which a part is blamed.
CRASHES_TO_BLAME = 2
#: Crashes after which a part is blamed although it was answered before the first of
#: them, or although the evidence fits another part as well.
CRASHES_TO_BLAME_DESPITE_DOUBT = 4
#: Answers on a part that are missed, by its share of the answers before, if it is to
#: be blamed though it was answered before.
MIN_MISSED_ANSWERS = 3.0
#: Share of the answers up to which a part is too rare to be missed soon.
RARE_SHARE = 0.1
#: Answers that show which parts are in use.
RECENT_ANSWERS = 256
MIN_RECENT_ANSWERS = 32
#: Time for which a request that ran during a crash is remembered.
EVIDENCE_LIFETIME_SECONDS = 120.0
#: Requests remembered that ran during crashes.
MAX_REQUESTS = 512
#: Time until a request with a blamed part is let through as a probe; it doubles with
#: each crash.
PROBE_INTERVAL_SECONDS = 30.0
MAX_PROBE_INTERVAL_SECONDS = 900.0
#: Parts remembered with their last answer.
MAX_ANSWERED_PARTS = 4096
#: Blamed sets of parts remembered.
MAX_BLAMES = 64
#: Time without requests after which a blame is dropped.
BLAME_LIFETIME_SECONDS = 1800.0


class AnsweredPart(msgspec.Struct, frozen=True):
    """A suspected part on which an answer has begun without a crash.

    :param began_at: monotonic seconds at which the answer began.
    """

    part: ScopedPart
    began_at: float


class BlamedParts(msgspec.Struct, frozen=True):
    """Parts that are blamed, as told to peers.

    :param crashed_at: monotonic seconds of the last crash.
    :param interval_seconds: time until a probe.
    """

    parts: tuple[ScopedPart, ...]
    crashed_at: float
    interval_seconds: float


class _Request(msgspec.Struct):
    """A request that ran during a crash and whose answer had not begun.

    :ivar parts: its parts that have not been answered since.
    :ivar answers_before: answers of this router until then.
    """

    crash: int
    at: float
    fingerprint: str
    parts: set[ScopedPart]
    answers_before: int


class _Blame(msgspec.Struct):
    """A set of parts; requests with all of them are refused.

    :ivar crashed_at: time of the last crash.
    :ivar used_at: time of the last request.
    :ivar reported: whether peers were told.
    """

    parts: set[ScopedPart]
    crashed_at: float
    used_at: float
    interval_seconds: float
    probe_at: float
    reported: bool = False


class SuspectedParts:
    """Weighs crashes against answers for each prompt part.

    Every method takes `now` in monotonic seconds. Parts are given without the last of a
    prompt, which belongs to the request itself.

    :param router: identifies this router; routers probe at different times.
    :param count_routers: returns the number of routers, which share the probes.
    """

    def __init__(self, router: str = "", count_routers: Callable[[], int] = lambda: 1):
        self._router = router
        self._count_routers = count_routers
        self._requests: deque[_Request] = deque(maxlen=MAX_REQUESTS)
        self._blames: list[_Blame] = []
        self._recent_answers: deque[tuple[ScopedPart, ...]] = deque()
        self._recent_uses_by_part: Counter[ScopedPart] = Counter()
        self._answers = 0
        self._to_report: dict[ScopedPart, float] = {}
        #: When the last known answer on a part began; the oldest entry first.
        self._answered_at_by_part: dict[ScopedPart, float] = {}
        self._evidence_changed = False

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def blamed(self) -> list[frozenset[ScopedPart]]:
        """Sets of parts; requests with all parts of one are refused."""
        return [frozenset(blame.parts) for blame in self._blames]

    def add_request(
        self,
        crash: int,
        fingerprint: str,
        parts: Iterable[ScopedPart],
        now: float,
        crashed_at: float | None = None,
    ) -> None:
        """Record that a request ran during a crash before its answer had begun.

        :param crash: number of the crash.
        :param crashed_at: time of the crash if it isn't `now`.
        """
        at = now if crashed_at is None else min(crashed_at, now)
        found = {
            part for part in parts if self._answered_at_by_part.get(part, at) <= at
        }
        if not found:
            return
        request = _Request(crash, at, fingerprint, found, self._answers)
        self._requests.append(request)
        for blame in self._blames:
            if blame.parts <= found:
                self._extend(blame, at, now)
        self._evidence_changed = True

    def record_answer(self, parts: Sequence[ScopedPart], began_at: float) -> None:
        """Record that an answer began without a crash, as this router saw."""
        self._answers += 1
        self._recent_answers.append(tuple(parts))
        self._recent_uses_by_part.update(parts)
        if len(self._recent_answers) > RECENT_ANSWERS:
            oldest = self._recent_answers.popleft()
            self._recent_uses_by_part.subtract(oldest)
            for part in oldest:
                if not self._recent_uses_by_part[part]:
                    del self._recent_uses_by_part[part]
        for part in parts:
            if not self._requests and not self._blames:
                self._remember_answer(part, began_at)
            elif self._clear(part, began_at):
                self._to_report[part] = began_at
        self._evidence_changed = True

    def merge_answers(self, answers: Iterable[AnsweredPart]) -> None:
        """Add answers that began at peers."""
        for answer in answers:
            self._clear(answer.part, answer.began_at)

    def blames(self, *, unreported_only: bool = False) -> list[BlamedParts]:
        """Return the blamed sets of parts; afterwards they count as reported."""
        found = [
            blame for blame in self._blames if not (unreported_only and blame.reported)
        ]
        for blame in found:
            blame.reported = True
        return [
            BlamedParts(
                tuple(sorted(blame.parts)), blame.crashed_at, blame.interval_seconds
            )
            for blame in found
        ]

    def merge_blames(self, blames: Iterable[BlamedParts], now: float) -> None:
        """Add what peers blame, except parts that were answered since the crashes."""
        for blame in blames:
            answered = {
                part: self._answered_at_by_part[part]
                for part in blame.parts
                if self._answered_at_by_part.get(part, -math.inf) > blame.crashed_at
            }
            self._to_report.update(answered)
            parts = set(blame.parts) - answered.keys()
            if parts:
                self._blame(
                    parts,
                    now,
                    crashed_at=min(blame.crashed_at, now),
                    interval_seconds=blame.interval_seconds,
                )

    def take_answers(self) -> list[AnsweredPart]:
        """Return suspected parts that were answered here since the last call."""
        answers = [AnsweredPart(part, at) for part, at in self._to_report.items()]
        self._to_report.clear()
        return answers

    def is_refused(self, parts: Sequence[ScopedPart], now: float) -> bool:
        """Return whether a request with these parts must be refused."""
        self._update_blames(now)
        blames = self._blames_of(parts)
        for blame in blames:
            blame.used_at = now
        return any(now < blame.probe_at for blame in blames)

    def is_blamed(self, parts: Iterable[ScopedPart]) -> bool:
        """Return whether a request with these parts is refused or a probe."""
        return bool(self._blames_of(parts))

    def record_sent(self, parts: Sequence[ScopedPart], now: float) -> None:
        """Record that a request is sent; with blamed parts it is a probe."""
        for blame in self._blames_of(parts):
            self._schedule_probe(blame, now)

    def _blames_of(self, parts: Iterable[ScopedPart]) -> list[_Blame]:
        if not self._blames:
            return []
        found = set(parts)
        return [blame for blame in self._blames if blame.parts <= found]

    def _remember_answer(self, part: ScopedPart, began_at: float) -> None:
        before = self._answered_at_by_part.pop(part, began_at)
        self._answered_at_by_part[part] = max(before, began_at)
        if len(self._answered_at_by_part) > MAX_ANSWERED_PARTS:
            del self._answered_at_by_part[next(iter(self._answered_at_by_part))]

    def _clear(self, part: ScopedPart, began_at: float) -> bool:
        """Clear a part of crashes before `began_at`. :return: whether it had any."""
        cleared = False
        self._evidence_changed = True
        self._remember_answer(part, began_at)
        for request in self._requests:
            if request.at < began_at and part in request.parts:
                request.parts.discard(part)
                cleared = True
        for blame in self._blames:
            if blame.crashed_at < began_at and part in blame.parts:
                blame.parts.discard(part)
                cleared = True
        self._blames = [blame for blame in self._blames if blame.parts]
        return cleared

    def _extend(self, blame: _Blame, at: float, now: float) -> None:
        """Put off the next probe after a crash."""
        # Requests that were sent before the blame crash soon after it.
        if at - blame.crashed_at > PROBE_INTERVAL_SECONDS / 2:
            blame.interval_seconds = min(
                2 * blame.interval_seconds, MAX_PROBE_INTERVAL_SECONDS
            )
        blame.crashed_at = max(blame.crashed_at, at)
        self._schedule_probe(blame, now)

    def _schedule_probe(self, blame: _Blame, now: float) -> None:
        blame.probe_at = next_probe_at(
            now,
            blame.interval_seconds,
            router=self._router,
            subject="\0".join(sorted(blame.parts)),
            routers=self._count_routers(),
        )

    def _update_blames(self, now: float) -> None:
        if not self._evidence_changed:
            return
        self._evidence_changed = False
        self._drop_old(now)
        parts_by_requests = self._suspects()
        crashes_by_requests = {
            numbers: frozenset(self._requests[number].crash for number in numbers)
            for numbers in parts_by_requests
        }
        for numbers, parts in parts_by_requests.items():
            crashes = crashes_by_requests[numbers]
            others = [
                other
                for other_numbers, other in crashes_by_requests.items()
                if other_numbers != numbers
            ]
            if any(crashes < other for other in others):
                # Another part was there at these crashes and at more.
                self._blames = [blame for blame in self._blames if blame.parts != parts]
                continue
            in_doubt = len(crashes) < CRASHES_TO_BLAME_DESPITE_DOUBT
            if in_doubt and any(crashes == other for other in others):
                continue
            crashed_at = max(self._requests[number].at for number in numbers)
            self._blame(parts, now, crashed_at=crashed_at)

    def _suspects(self) -> dict[frozenset[int], set[ScopedPart]]:
        """Return the parts that may be blamed, by the requests that they were in."""
        numbers_by_part: dict[ScopedPart, list[int]] = {}
        for number, request in enumerate(self._requests):
            for part in request.parts:
                numbers_by_part.setdefault(part, []).append(number)
        parts_by_requests: dict[frozenset[int], set[ScopedPart]] = {}
        for part, numbers in numbers_by_part.items():
            if self._is_suspect(part, [self._requests[n] for n in numbers]):
                parts_by_requests.setdefault(frozenset(numbers), set()).add(part)
        return parts_by_requests

    def _is_suspect(self, part: ScopedPart, requests: list[_Request]) -> bool:
        """Return whether a part's crashes are more than chance explains."""
        crashes = len({request.crash for request in requests})
        fingerprints = {request.fingerprint for request in requests}
        if min(crashes, len(fingerprints)) < CRASHES_TO_BLAME:
            return False
        uses = self._recent_uses_by_part.get(part, 0)
        if not uses and len(self._recent_answers) >= MIN_RECENT_ANSWERS:
            return True
        share = uses / max(1, len(self._recent_answers))
        missed = share * (self._answers - requests[0].answers_before)
        if missed >= MIN_MISSED_ANSWERS:
            return True
        return crashes >= CRASHES_TO_BLAME_DESPITE_DOUBT and share <= RARE_SHARE

    def _blame(
        self,
        parts: set[ScopedPart],
        now: float,
        *,
        crashed_at: float,
        interval_seconds: float = PROBE_INTERVAL_SECONDS,
    ) -> None:
        """Blame parts, unless some of them are blamed already."""
        if any(blame.parts <= parts for blame in self._blames):
            return
        wider = [blame for blame in self._blames if parts < blame.parts]
        intervals = [interval_seconds, *(blame.interval_seconds for blame in wider)]
        interval = min(max(intervals), MAX_PROBE_INTERVAL_SECONDS)
        blame = _Blame(set(parts), crashed_at, now, interval, now)
        self._schedule_probe(blame, now)
        self._blames = [kept for kept in self._blames if kept not in wider]
        self._blames.append(blame)
        self._blames.sort(key=lambda kept: kept.used_at)
        del self._blames[:-MAX_BLAMES]

    def _drop_old(self, now: float) -> None:
        while self._requests and now - self._requests[0].at > EVIDENCE_LIFETIME_SECONDS:
            self._requests.popleft()
        self._blames = [
            blame
            for blame in self._blames
            if now - blame.used_at < BLAME_LIFETIME_SECONDS
        ]
