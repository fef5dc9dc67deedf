"""Tests of the tokens that an incarnation counts as spent by a dead predecessor.

The predecessor's caps lapse some time after its last contact with the store. If its
successor started before that, by the store's clock, the caps count as spent, otherwise
the whole allotment. Clock drift, rounded times, suspended processes and slow calls must
never lead to a count below what the predecessor may have spent.
"""

import math
import random
import unittest

from bluebellshore.budget.direct import CAP_LAPSE_SECONDS, DirectAccounts
from bluebellshore.budget.predecessor import PredecessorRecovery
from bluebellshore.budget.rows import (
    Allotment,
    BudgetRow,
    IncarnationRow,
    decode_row,
    encode_row,
)
from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.experiments.virtual_time import run_virtual
from bluebellshore.store.interface import MAX_CLOCK_DRIFT_SHARE, StoreTime, Write
from bluebellshore.store.memory import MemoryTable

HELD = 5_000
CAP = 700
#: Real time of the store's last answer to the predecessor.
SEEN_AT = 100.0
#: Ways in which the store rounds the times that it reports.
ROUNDING_MODES = {"down": math.floor, "nearest": round, "up": math.ceil}


class ProcessClock:
    """Monotonic clock of a process, which may be fast or stop for some time.

    :param rate: seconds of the clock in a real second.
    :param suspended: real times between which the clock stands still.
    """

    def __init__(self, rate=1.0, suspended=(0.0, 0.0)):
        self.rate = rate
        self.suspended = suspended

    def at(self, real_time):
        """Return the time of the clock at a real time."""
        start, end = self.suspended
        suspended_seconds = max(0.0, min(real_time, end) - start)
        return 7_000.0 + (real_time - suspended_seconds) * self.rate


class ReportingStore:
    """In-memory table that reports the time in whole milliseconds."""

    def __init__(self, rounding=math.floor):
        self.table = MemoryTable()
        self.rounding = rounding

    def reported_time(self, real_time):
        """Return the time that an answer of the store reports at a real time."""
        return self.rounding(real_time * 1000) / 1000

    async def write_dead_router(
        self, incarnation="r1.1", seen_at=SEEN_AT, budgets=("acme",), row=None
    ):
        """Write the rows of a dead router that had its last answer at `seen_at`."""
        row = row or IncarnationRow(
            "r1",
            caps=dict.fromkeys(budgets, CAP),
            seen_seconds=self.reported_time(seen_at),
            lapse_seconds=CAP_LAPSE_SECONDS,
        )
        own = Write(f"incarnation/{incarnation}", 0, encode_row(row))
        await self.table.transact([own])
        for budget in budgets:
            row = self.row(budget)
            row.allotments[incarnation] = Allotment(HELD)
            existing = self.table.rows_by_key.get(f"budget/{budget}")
            version = existing.version if existing else 0
            write = Write(f"budget/{budget}", version, encode_row(row))
            await self.table.transact([write])

    def row(self, budget="acme"):
        row = self.table.rows_by_key.get(f"budget/{budget}")
        return decode_row(row, BudgetRow) or BudgetRow()


class SuccessorProcess:
    """A process that recovers its predecessors, and its connection to the store.

    :param started_at: real time at which the process started.
    :param calls_at: real times of its calls; the last one is repeated.
    :param request_seconds: time from a call until the store answers it.
    :param answer_seconds: time from then until the answer arrives.
    :param start_known: whether the process knows a time at which it was running.
    :param answered_calls: number of calls that are answered; later ones fail.
    """

    def __init__(
        self,
        store,
        started_at,
        calls_at,
        *,
        request_seconds=0.0,
        answer_seconds=0.0,
        clock=None,
        name="r1.2",
        start_known=True,
        answered_calls=math.inf,
    ):
        self.store = store
        self.answered_calls = answered_calls
        self.request_seconds, self.answer_seconds = request_seconds, answer_seconds
        self.calls_at = calls_at
        self.clock = clock or ProcessClock()
        self.time = None
        self.predecessors = PredecessorRecovery(
            self,
            name,
            "r1",
            lambda: self.time,
            random.Random(1),
            self.clock.at(started_at) if start_known else math.inf,
        )

    async def recover(self):
        return await self.predecessors.recover()

    async def read(self, keys):
        return self._answer(await self.store.table.read(keys))

    async def scan(self, prefix, after="", limit=1000):
        return self._answer(await self.store.table.scan(prefix, after, limit))

    async def transact(self, writes):
        if not self.answered_calls:
            raise PlatformUnavailableError("out", step="transact")
        return self._answer(await self.store.table.transact(writes))

    def _answer(self, result):
        if not self.answered_calls:
            raise PlatformUnavailableError("out", step="test")
        self.answered_calls -= 1
        called_at = self.calls_at[0]
        if len(self.calls_at) > 1:
            self.calls_at = self.calls_at[1:]
        answered_at = called_at + self.request_seconds
        local = self.clock.at(answered_at + self.answer_seconds)
        reported = self.store.reported_time(answered_at)
        self.time = StoreTime(reported, local, self.clock.at(called_at))
        return result


def settled_after(store, *successors):
    """Return the settled tokens after the successors recovered one by one."""

    async def run():
        if not store.table.rows_by_key:
            await store.write_dead_router()
        for successor in successors:
            await successor.recover()
        return store.row().settled

    return run_virtual(run())


LAPSES_AT = SEEN_AT + CAP_LAPSE_SECONDS


class SuccessorTest(unittest.TestCase):
    """Successors that start just before the caps lapse or after it."""

    def test_counts_the_cap_at_its_start_when_the_first_answer_is_late(self):
        started_at = LAPSES_AT - 0.5
        for delay in (0.0, 1.0, 5.0):
            successor = SuccessorProcess(
                ReportingStore(), started_at, [started_at + delay]
            )
            self.assertEqual(settled_after(successor.store, successor), CAP, delay)

    def test_counts_the_whole_allotment_when_started_after_the_lapse(self):
        started_at = LAPSES_AT + 0.001
        for delay in (0.0, 0.5, 5.0, 60.0):
            for request_seconds, answer_seconds in (
                (0.0, 0.0),
                (0.6, 0.0),
                (0.0, 0.6),
                (2.0, 2.0),
            ):
                successor = SuccessorProcess(
                    ReportingStore(),
                    started_at,
                    [started_at + delay],
                    request_seconds=request_seconds,
                )
                successor.answer_seconds = answer_seconds
                self.assertEqual(
                    settled_after(successor.store, successor),
                    HELD,
                    (delay, request_seconds, answer_seconds),
                )

    def test_latency_of_the_answer_is_not_subtracted(self):
        started_at = LAPSES_AT + 0.1
        successor = SuccessorProcess(
            ReportingStore(), started_at, [started_at + 0.2], answer_seconds=1.0
        )
        self.assertEqual(settled_after(successor.store, successor), HELD)

    def test_fast_clock_does_not_move_the_start_earlier(self):
        clock = ProcessClock(1 + MAX_CLOCK_DRIFT_SHARE)
        for delay in (0.5, 3.0, 30.0, 300.0):
            started_at = LAPSES_AT + 0.001
            successor = SuccessorProcess(
                ReportingStore(), started_at, [started_at + delay], clock=clock
            )
            self.assertEqual(settled_after(successor.store, successor), HELD, delay)

    def test_suspend_between_start_and_call_counts_the_whole_allotment(self):
        started_at = LAPSES_AT + 0.1
        clock = ProcessClock(suspended=(started_at + 0.1, started_at + 4.0))
        successor = SuccessorProcess(
            ReportingStore(), started_at, [started_at + 4.5], clock=clock
        )
        self.assertEqual(settled_after(successor.store, successor), HELD)
        # The process cannot know how long it was suspended and must count it as zero.
        started_at = LAPSES_AT - 1.0
        clock = ProcessClock(suspended=(started_at + 0.1, started_at + 4.0))
        successor = SuccessorProcess(
            ReportingStore(), started_at, [started_at + 4.5], clock=clock
        )
        self.assertEqual(settled_after(successor.store, successor), HELD)

    def test_freeze_between_call_and_answer_counts_the_whole_allotment(self):
        started_at = LAPSES_AT + 0.1
        for request_seconds, answer_seconds in ((0.0, 3.0), (3.0, 0.0)):
            stopped = (started_at + 0.2, started_at + 3.0)
            for suspended in ((0.0, 0.0), stopped):
                clock = ProcessClock(suspended=suspended)
                calls_at = [started_at + 0.1]
                successor = SuccessorProcess(
                    ReportingStore(),
                    started_at,
                    calls_at,
                    request_seconds=request_seconds,
                    clock=clock,
                )
                successor.answer_seconds = answer_seconds
                self.assertEqual(
                    settled_after(successor.store, successor),
                    HELD,
                    (request_seconds, suspended),
                )

    def test_rounded_store_time_does_not_extend_the_lapse(self):
        for name, rounding in ROUNDING_MODES.items():
            for seen_part in range(10):
                for began_part in range(10):
                    seen_at = SEEN_AT + seen_part / 10_000
                    started_at = seen_at + CAP_LAPSE_SECONDS + began_part / 10_000
                    store = ReportingStore(rounding)
                    run_virtual(store.write_dead_router(seen_at=seen_at))
                    successor = SuccessorProcess(store, started_at, [started_at])
                    case = (name, seen_part, began_part)
                    self.assertEqual(settled_after(store, successor), HELD, case)

    def test_answer_to_a_call_before_the_start_mark_counts_unchanged(self):
        # A mark after the call does not show how long the process had been running.
        for called_at, expected in ((LAPSES_AT - 0.2, CAP), (LAPSES_AT + 0.2, HELD)):
            successor = SuccessorProcess(ReportingStore(), called_at + 5.0, [called_at])
            self.assertEqual(settled_after(successor.store, successor), expected)

    def test_answer_counts_when_the_start_is_unknown(self):
        for called_at, expected in ((LAPSES_AT - 0.2, CAP), (LAPSES_AT + 0.2, HELD)):
            successor = SuccessorProcess(
                ReportingStore(), SEEN_AT + 0.1, [called_at], start_known=False
            )
            self.assertEqual(settled_after(successor.store, successor), expected)

    def test_row_written_after_the_start_counts_the_whole_allotment(self):
        # The row's time is later than the router can have seen: its caps are ignored.
        successor = SuccessorProcess(ReportingStore(), SEEN_AT - 1.0, [SEEN_AT + 0.5])
        self.assertEqual(settled_after(successor.store, successor), HELD)

    def test_first_answer_decides_for_later_tries(self):
        started_at = LAPSES_AT - 0.5
        store = ReportingStore()

        async def run():
            await store.write_dead_router()
            successor = SuccessorProcess(
                store, started_at, [started_at], answered_calls=2
            )
            with self.assertRaises(PlatformUnavailableError):
                await successor.recover()
            successor.answered_calls, successor.calls_at = math.inf, [started_at + 40.0]
            await successor.recover()
            return store.row().settled

        self.assertEqual(run_virtual(run()), CAP)

    def test_second_successor_finds_both_rows(self):
        # The first successor died before it settled anything. The second one knows only
        # that the oldest incarnation was dead before its own start.
        for started_at, expected in ((LAPSES_AT - 0.5, CAP), (LAPSES_AT + 0.5, HELD)):
            store = ReportingStore()

            async def run(store=store, started_at=started_at):
                await store.write_dead_router("r1.1", SEEN_AT, ["acme"])
                await store.write_dead_router("r1.2", started_at - 0.4, ["bolt"])
                successor = SuccessorProcess(
                    store, started_at, [started_at + 1.0], name="r1.3"
                )
                await successor.recover()

            run_virtual(run())
            self.assertEqual(store.row("acme").settled, expected)
            self.assertEqual(store.row("bolt").settled, CAP)
            self.assertEqual(store.row("acme").allotments, {})

    def test_second_successor_completes_a_partial_recovery(self):
        budgets = [f"c{number:03}" for number in range(80)]
        store = ReportingStore()

        async def run():
            await store.write_dead_router("r1.1", SEEN_AT, budgets)
            started_at = LAPSES_AT - 0.5
            # Four answered calls settle one batch of budgets.
            first = SuccessorProcess(store, started_at, [started_at], answered_calls=4)
            with self.assertRaises(PlatformUnavailableError):
                await first.recover()
            started_at = LAPSES_AT + 0.5
            await SuccessorProcess(
                store, started_at, [started_at + 9.0], name="r1.3"
            ).recover()

        run_virtual(run())
        settled = [store.row(budget).settled for budget in budgets]
        self.assertEqual(set(settled), {CAP, HELD})
        self.assertFalse([b for b in budgets if store.row(b).allotments])

    def test_no_clock_error_counts_less_than_may_be_spent(self):
        rng = random.Random(20)
        below_allotment = 0
        for trial in range(2_000):
            seen_at = SEEN_AT + rng.random()
            started_at = seen_at + rng.uniform(0.0, 2 * CAP_LAPSE_SECONDS)
            called_at = started_at + rng.choice((0.0, rng.expovariate(1), 60.0))
            stop_at = rng.uniform(started_at, called_at)
            suspended = rng.choice(((0.0, 0.0), (stop_at, rng.uniform(stop_at, 200))))
            rate = rng.choice((0.9, 1.0, 1 + MAX_CLOCK_DRIFT_SHARE))
            store = ReportingStore(rng.choice(list(ROUNDING_MODES.values())))
            run_virtual(store.write_dead_router(seen_at=seen_at))
            successor = SuccessorProcess(
                store,
                started_at,
                [called_at],
                request_seconds=rng.choice((0.0, rng.expovariate(2))),
                answer_seconds=rng.choice((0.0, rng.expovariate(2))),
                clock=ProcessClock(rate, suspended),
            )
            settled = settled_after(store, successor)
            if started_at >= seen_at + CAP_LAPSE_SECONDS:
                self.assertEqual(settled, HELD, trial)
            below_allotment += settled == CAP
        self.assertGreater(below_allotment, 400)


class GrowthTest(unittest.TestCase):
    """Caps that grow, as computed by the spending router and by its successor."""

    def live_accounts(self, store, clock, seen_at, answer_seconds=0.0):
        """Return the accounts of a router that wrote its row, and the row."""
        local = clock.at(seen_at + answer_seconds)
        store_time = StoreTime(store.reported_time(seen_at), local, local)
        accounts = DirectAccounts(store_time=lambda: store_time)
        accounts.add_grant("acme", HELD)
        for number in range(20):
            now = local - 2.0 + number / 10
            accounts.account("acme").burn_rate.record(40, now)
        self.tighten(accounts, local)
        limits = accounts.desired_limits({}, {}, local)
        accounts.apply_limits(limits)
        seen_seconds, lapse_seconds = accounts.renew_cap_validity()
        row = IncarnationRow(
            "r1",
            caps=limits.caps,
            growth=limits.growth,
            seen_seconds=seen_seconds,
            lapse_seconds=lapse_seconds,
        )
        return accounts, row

    def tighten(self, accounts, now):
        limits = accounts.desired_limits({}, {}, now)
        accounts.renew_cap_validity()
        accounts.tighten_limits(limits)
        return limits

    def test_successor_counts_the_grown_cap(self):
        store = ReportingStore()
        accounts, row = self.live_accounts(store, ProcessClock(), SEEN_AT)
        run_virtual(store.write_dead_router(row=row))
        successor = SuccessorProcess(store, SEEN_AT + 1.0, [SEEN_AT + 9.0])
        settled = settled_after(store, successor)
        self.assertGreater(settled, row.caps["acme"] + 0.9 * row.growth["acme"])
        self.assertLess(settled, row.caps["acme"] + 1.5 * row.growth["acme"])
        self.assertLess(settled, HELD)

    def test_fast_clock_does_not_speed_up_the_growth_of_caps(self):
        clock = ProcessClock(1 + MAX_CLOCK_DRIFT_SHARE)
        for part in (0.05, 0.3, 0.6, 0.95):
            seconds = part * CAP_LAPSE_SECONDS
            store = ReportingStore()
            accounts, row = self.live_accounts(store, clock, SEEN_AT)
            spent = accounts.available("acme", clock.at(SEEN_AT + seconds))
            self.assertGreater(spent, row.caps["acme"])
            self.assertLessEqual(spent, row.cap_at("acme", SEEN_AT + seconds))

    def test_unanswered_rows_keep_the_lowest_cap_at_each_time(self):
        local = 500.0
        store_time = [StoreTime(SEEN_AT, local, local)]
        accounts = DirectAccounts(
            store_time=lambda: store_time[0], burn_window_seconds=0.5
        )
        accounts.add_grant("acme", HELD)
        rng = random.Random(7)
        unanswered = []
        for _ in range(60):
            accounts.account("acme").burn_rate.record(rng.choice((0, 0, 0, 400)), local)
            limits = self.tighten(accounts, local)
            unanswered.append(limits)
            if rng.random() < 0.2:
                accounts.apply_limits(limits)
                unanswered = [limits]
            for seconds_ahead in (0.0, 0.05, 0.5, 2.0):
                cap = accounts.cap("acme", local + seconds_ahead)
                for other in unanswered:
                    growth = other.growth["acme"] * (
                        local + seconds_ahead - other.since
                    )
                    self.assertLessEqual(cap, other.caps["acme"] + growth)
            local += rng.uniform(0.0, 0.4)
            if rng.random() < 0.6:
                store_time[0] = StoreTime(SEEN_AT + local - 500.0, local, local)

    def test_cap_covers_the_bills_of_an_unanswered_row(self):
        accounts, row = self.live_accounts(ReportingStore(), ProcessClock(), SEEN_AT)
        local = ProcessClock().at(SEEN_AT)
        before = accounts.available("acme", local)
        limits = accounts.desired_limits({}, {}, local, {})
        limits = type(limits)([], {"acme": 0}, {"acme": 40}, {"acme": 0}, local)
        accounts.tighten_limits(limits)
        self.assertEqual(accounts.available("acme", local + 1.0), min(before, 40))

    def test_recovery_never_counts_less_than_was_spent(self):
        rng = random.Random(30)
        below_allotment = 0
        for trial in range(1_500):
            seen_at = SEEN_AT + rng.random()
            store = ReportingStore(rng.choice(list(ROUNDING_MODES.values())))
            clock = ProcessClock(rng.choice((0.9, 1.0, 1 + MAX_CLOCK_DRIFT_SHARE)))
            accounts, row = self.live_accounts(
                store, clock, seen_at, rng.choice((0.0, 0.3))
            )
            died_at = seen_at + 0.3 + rng.uniform(0.0, 1.2 * CAP_LAPSE_SECONDS)
            spent = accounts.available("acme", clock.at(died_at))
            run_virtual(store.write_dead_router(row=row))
            started_at = died_at + rng.choice((0.0, rng.random()))
            called_at = started_at + rng.choice((0.0, rng.expovariate(1), 60.0))
            successor = SuccessorProcess(
                store,
                started_at,
                [called_at],
                request_seconds=rng.choice((0.0, rng.expovariate(2))),
                answer_seconds=rng.choice((0.0, rng.expovariate(2))),
                clock=ProcessClock(rng.choice((0.9, 1.0, 1 + MAX_CLOCK_DRIFT_SHARE))),
            )
            settled = settled_after(store, successor)
            self.assertGreaterEqual(settled, spent, trial)
            below_allotment += settled < HELD
        self.assertGreater(below_allotment, 500)


if __name__ == "__main__":
    unittest.main()
