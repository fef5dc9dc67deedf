"""What a next life counts for its predecessor, by the store's clock and its own."""

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
from bluebellshore.store.interface import CLOCK_DRIFT, StoreTime, Write
from bluebellshore.store.memory import MemoryTable

HELD = 5_000
CAP = 700
#: Real time at which the predecessor had its last answer.
SEEN_AT = 100.0
#: Steps of the store's clock as it is told.
ROUNDINGS = {"down": math.floor, "nearest": round, "up": math.ceil}


class ProcessClock:
    """Monotonic clock of a process. It is quicker, or stands still for a while.

    :param suspended: real times between which it stands still.
    """

    def __init__(self, rate=1.0, suspended=(0.0, 0.0)):
        self.rate = rate
        self.suspended = suspended

    def at(self, real):
        """Return what it shows."""
        began, ended = self.suspended
        still = max(0.0, min(real, ended) - began)
        return 7_000.0 + (real - still) * self.rate


class Store:
    """The in-memory table with a clock that it tells in whole milliseconds."""

    def __init__(self, rounding=math.floor):
        self.table = MemoryTable()
        self.rounding = rounding

    def shows(self, real):
        """Return what an answer given at that time tells."""
        return self.rounding(real * 1000) / 1000

    async def die(
        self, incarnation="r1.1", seen_at=SEEN_AT, budgets=("acme",), row=None
    ):
        """Leave the rows of a router whose last answer was given then."""
        row = row or IncarnationRow(
            "r1",
            caps=dict.fromkeys(budgets, CAP),
            seen_seconds=self.shows(seen_at),
            lapse_seconds=CAP_LAPSE_SECONDS,
        )
        own = Write(f"incarnation/{incarnation}", 0, encode_row(row))
        await self.table.transact([own])
        for budget in budgets:
            row = self.row(budget)
            row.allotments[incarnation] = Allotment(HELD)
            known = self.table.rows_by_key.get(f"budget/{budget}")
            version = known.version if known else 0
            write = Write(f"budget/{budget}", version, encode_row(row))
            await self.table.transact([write])

    def row(self, budget="acme"):
        row = self.table.rows_by_key.get(f"budget/{budget}")
        return decode_row(row, BudgetRow) or BudgetRow()


class Life:
    """A life that begins at some real time, and its way to the store.

    :param asks_at: real times of its calls; the last one is repeated.
    :param there: time from a call until the store gives the answer.
    :param back: time until that is here.
    :param calls: calls that get an answer at all.
    """

    def __init__(
        self,
        store,
        begins_at,
        asks_at,
        *,
        there=0.0,
        back=0.0,
        clock=None,
        name="r1.2",
        marked=True,
        calls=math.inf,
    ):
        self.store = store
        self.calls = calls
        self.there, self.back = there, back
        self.asks_at = asks_at
        self.clock = clock or ProcessClock()
        self.time = None
        self.predecessors = PredecessorRecovery(
            self,
            name,
            "r1",
            lambda: self.time,
            random.Random(1),
            self.clock.at(begins_at) if marked else math.inf,
        )

    async def recover(self):
        return await self.predecessors.recover()

    async def read(self, keys):
        return self._answer(await self.store.table.read(keys))

    async def scan(self, prefix, after="", limit=1000):
        return self._answer(await self.store.table.scan(prefix, after, limit))

    async def transact(self, writes):
        if not self.calls:
            raise PlatformUnavailableError("out", step="transact")
        return self._answer(await self.store.table.transact(writes))

    def _answer(self, result):
        if not self.calls:
            raise PlatformUnavailableError("out", step="test")
        self.calls -= 1
        asked_at = self.asks_at[0]
        if len(self.asks_at) > 1:
            self.asks_at = self.asks_at[1:]
        answered_at = asked_at + self.there
        local = self.clock.at(answered_at + self.back)
        shown = self.store.shows(answered_at)
        self.time = StoreTime(shown, local, self.clock.at(asked_at))
        return result


def counted(store, *lives):
    """Return what counts as spent once the lives have recovered in turn."""

    async def run():
        if not store.table.rows_by_key:
            await store.die()
        for life in lives:
            await life.recover()
        return store.row().settled

    return run_virtual(run())


LATEST = SEEN_AT + CAP_LAPSE_SECONDS


class SuccessorTest(unittest.TestCase):
    """Each case places the beginning of a life just within the lapse or after it."""

    def test_counts_until_it_began_though_its_first_answer_is_late(self):
        began_at = LATEST - 0.5
        for late in (0.0, 1.0, 5.0):
            life = Life(Store(), began_at, [began_at + late])
            self.assertEqual(counted(life.store, life), CAP, late)

    def test_counts_all_when_it_began_late_whenever_its_answer_comes(self):
        began_at = LATEST + 0.001
        for late in (0.0, 0.5, 5.0, 60.0):
            for there, back in ((0.0, 0.0), (0.6, 0.0), (0.0, 0.6), (2.0, 2.0)):
                life = Life(Store(), began_at, [began_at + late], there=there)
                life.back = back
                self.assertEqual(counted(life.store, life), HELD, (late, there, back))

    def test_time_for_an_answer_to_come_is_not_taken_off(self):
        began_at = LATEST + 0.1
        life = Life(Store(), began_at, [began_at + 0.2], back=1.0)
        self.assertEqual(counted(life.store, life), HELD)

    def test_quick_clock_makes_it_begin_no_earlier(self):
        clock = ProcessClock(1 + CLOCK_DRIFT)
        for late in (0.5, 3.0, 30.0, 300.0):
            began_at = LATEST + 0.001
            life = Life(Store(), began_at, [began_at + late], clock=clock)
            self.assertEqual(counted(life.store, life), HELD, late)

    def test_suspended_between_beginning_and_call_is_no_risk(self):
        began_at = LATEST + 0.1
        clock = ProcessClock(suspended=(began_at + 0.1, began_at + 4.0))
        life = Life(Store(), began_at, [began_at + 4.5], clock=clock)
        self.assertEqual(counted(life.store, life), HELD)
        # It does not know how long it stood still, and must take that for nothing.
        began_at = LATEST - 1.0
        clock = ProcessClock(suspended=(began_at + 0.1, began_at + 4.0))
        life = Life(Store(), began_at, [began_at + 4.5], clock=clock)
        self.assertEqual(counted(life.store, life), HELD)

    def test_frozen_between_call_and_answer_is_no_risk(self):
        began_at = LATEST + 0.1
        for there, back in ((0.0, 3.0), (3.0, 0.0)):
            stopped = (began_at + 0.2, began_at + 3.0)
            for suspended in ((0.0, 0.0), stopped):
                clock = ProcessClock(suspended=suspended)
                asks = [began_at + 0.1]
                life = Life(Store(), began_at, asks, there=there, clock=clock)
                life.back = back
                self.assertEqual(counted(life.store, life), HELD, (there, suspended))

    def test_clock_told_in_steps_hides_no_part_of_the_lapse(self):
        for name, rounding in ROUNDINGS.items():
            for seen_part in range(10):
                for began_part in range(10):
                    seen_at = SEEN_AT + seen_part / 10_000
                    began_at = seen_at + CAP_LAPSE_SECONDS + began_part / 10_000
                    store = Store(rounding)
                    run_virtual(store.die(seen_at=seen_at))
                    life = Life(store, began_at, [began_at])
                    case = (name, seen_part, began_part)
                    self.assertEqual(counted(store, life), HELD, case)

    def test_answer_asked_before_the_mark_counts_as_it_is(self):
        # A mark that comes after the call says nothing on what was before it.
        for asked_at, expected in ((LATEST - 0.2, CAP), (LATEST + 0.2, HELD)):
            life = Life(Store(), asked_at + 5.0, [asked_at])
            self.assertEqual(counted(life.store, life), expected)

    def test_without_a_mark_the_answer_counts(self):
        for asked_at, expected in ((LATEST - 0.2, CAP), (LATEST + 0.2, HELD)):
            life = Life(Store(), SEEN_AT + 0.1, [asked_at], marked=False)
            self.assertEqual(counted(life.store, life), expected)

    def test_row_from_after_the_beginning_counts_whole(self):
        # Nothing of the store's time may follow the death: such a row is not believed.
        life = Life(Store(), SEEN_AT - 1.0, [SEEN_AT + 0.5])
        self.assertEqual(counted(life.store, life), HELD)

    def test_first_answer_decides_for_later_tries(self):
        began_at = LATEST - 0.5
        store = Store()

        async def run():
            await store.die()
            life = Life(store, began_at, [began_at], calls=2)
            with self.assertRaises(PlatformUnavailableError):
                await life.recover()
            life.calls, life.asks_at = math.inf, [began_at + 40.0]
            await life.recover()
            return store.row().settled

        self.assertEqual(run_virtual(run()), CAP)

    def test_second_successor_finds_both_rows(self):
        # The first one died before it settled anything. Of the oldest life the second
        # knows only that it was dead before its own beginning.
        for began_at, oldest in ((LATEST - 0.5, CAP), (LATEST + 0.5, HELD)):
            store = Store()

            async def run(store=store, began_at=began_at):
                await store.die("r1.1", SEEN_AT, ["acme"])
                await store.die("r1.2", began_at - 0.4, ["bolt"])
                life = Life(store, began_at, [began_at + 1.0], name="r1.3")
                await life.recover()

            run_virtual(run())
            self.assertEqual(store.row("acme").settled, oldest)
            self.assertEqual(store.row("bolt").settled, CAP)
            self.assertEqual(store.row("acme").allotments, {})

    def test_second_successor_ends_what_the_first_began(self):
        budgets = [f"c{number:03}" for number in range(80)]
        store = Store()

        async def run():
            await store.die("r1.1", SEEN_AT, budgets)
            began_at = LATEST - 0.5
            first = Life(store, began_at, [began_at], calls=4)  # settles one batch
            with self.assertRaises(PlatformUnavailableError):
                await first.recover()
            began_at = LATEST + 0.5
            await Life(store, began_at, [began_at + 9.0], name="r1.3").recover()

        run_virtual(run())
        settled = [store.row(budget).settled for budget in budgets]
        self.assertEqual(set(settled), {CAP, HELD})
        self.assertFalse([b for b in budgets if store.row(b).allotments])

    def test_no_way_of_telling_time_spares_what_may_be_spent(self):
        rng = random.Random(20)
        spared = 0
        for trial in range(2_000):
            seen_at = SEEN_AT + rng.random()
            began_at = seen_at + rng.uniform(0.0, 2 * CAP_LAPSE_SECONDS)
            asked_at = began_at + rng.choice((0.0, rng.expovariate(1), 60.0))
            stop_at = rng.uniform(began_at, asked_at)
            suspended = rng.choice(((0.0, 0.0), (stop_at, rng.uniform(stop_at, 200))))
            rate = rng.choice((0.9, 1.0, 1 + CLOCK_DRIFT))
            store = Store(rng.choice(list(ROUNDINGS.values())))
            run_virtual(store.die(seen_at=seen_at))
            life = Life(
                store,
                began_at,
                [asked_at],
                there=rng.choice((0.0, rng.expovariate(2))),
                back=rng.choice((0.0, rng.expovariate(2))),
                clock=ProcessClock(rate, suspended),
            )
            settled = counted(store, life)
            if began_at >= seen_at + CAP_LAPSE_SECONDS:
                self.assertEqual(settled, HELD, trial)
            spared += settled == CAP
        self.assertGreater(spared, 400)


class GrowthTest(unittest.TestCase):
    """Caps that grow, as the router that spends and its successor see them."""

    def live(self, store, clock, seen_at, back=0.0):
        """Return the book of a router that wrote its row, and the row."""
        local = clock.at(seen_at + back)
        told = StoreTime(store.shows(seen_at), local, local)
        accounts = DirectAccounts(store_time=lambda: told)
        accounts.add_grant("acme", HELD)
        for number in range(20):
            now = local - 2.0 + number / 10
            accounts.account("acme").burn_rate.record(40, now)
        self.write(accounts, local)
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

    def write(self, accounts, now):
        limits = accounts.desired_limits({}, {}, now)
        accounts.renew_cap_validity()
        accounts.tighten_limits(limits)
        return limits

    def test_successor_counts_what_the_cap_grew_to(self):
        store = Store()
        accounts, row = self.live(store, ProcessClock(), SEEN_AT)
        run_virtual(store.die(row=row))
        life = Life(store, SEEN_AT + 1.0, [SEEN_AT + 9.0])
        settled = counted(store, life)
        self.assertGreater(settled, row.caps["acme"] + 0.9 * row.growth["acme"])
        self.assertLess(settled, row.caps["acme"] + 1.5 * row.growth["acme"])
        self.assertLess(settled, HELD)

    def test_quick_clock_lets_the_cap_grow_no_faster(self):
        clock = ProcessClock(1 + CLOCK_DRIFT)
        for part in (0.05, 0.3, 0.6, 0.95):
            lived = part * CAP_LAPSE_SECONDS
            store = Store()
            accounts, row = self.live(store, clock, SEEN_AT)
            spent = accounts.available("acme", clock.at(SEEN_AT + lived))
            self.assertGreater(spent, row.caps["acme"])
            self.assertLessEqual(spent, row.cap_at("acme", SEEN_AT + lived))

    def test_in_doubt_the_lower_line_holds_at_each_time(self):
        local = 500.0
        told = [StoreTime(SEEN_AT, local, local)]
        accounts = DirectAccounts(store_time=lambda: told[0], burn_window_seconds=0.5)
        accounts.add_grant("acme", HELD)
        rng = random.Random(7)
        in_doubt = []
        for _ in range(60):
            accounts.account("acme").burn_rate.record(rng.choice((0, 0, 0, 400)), local)
            limits = self.write(accounts, local)
            in_doubt.append(limits)
            if rng.random() < 0.2:
                accounts.apply_limits(limits)
                in_doubt = [limits]
            for ahead in (0.0, 0.05, 0.5, 2.0):
                line = accounts.cap("acme", local + ahead)
                for other in in_doubt:
                    grown = other.growth["acme"] * (local + ahead - other.since)
                    self.assertLessEqual(line, other.caps["acme"] + grown)
            local += rng.uniform(0.0, 0.4)
            if rng.random() < 0.6:
                told[0] = StoreTime(SEEN_AT + local - 500.0, local, local)

    def test_cap_of_the_row_holds_in_doubt_of_its_bills(self):
        accounts, row = self.live(Store(), ProcessClock(), SEEN_AT)
        local = ProcessClock().at(SEEN_AT)
        before = accounts.available("acme", local)
        limits = accounts.desired_limits({}, {}, local, {})
        limits = type(limits)([], {"acme": 0}, {"acme": 40}, {"acme": 0}, local)
        accounts.tighten_limits(limits)
        self.assertEqual(accounts.available("acme", local + 1.0), min(before, 40))

    def test_no_death_is_counted_below_what_was_spent(self):
        rng = random.Random(30)
        spared = 0
        for trial in range(1_500):
            seen_at = SEEN_AT + rng.random()
            store = Store(rng.choice(list(ROUNDINGS.values())))
            clock = ProcessClock(rng.choice((0.9, 1.0, 1 + CLOCK_DRIFT)))
            accounts, row = self.live(store, clock, seen_at, rng.choice((0.0, 0.3)))
            died_at = seen_at + 0.3 + rng.uniform(0.0, 1.2 * CAP_LAPSE_SECONDS)
            spent = accounts.available("acme", clock.at(died_at))
            run_virtual(store.die(row=row))
            began_at = died_at + rng.choice((0.0, rng.random()))
            asked_at = began_at + rng.choice((0.0, rng.expovariate(1), 60.0))
            life = Life(
                store,
                began_at,
                [asked_at],
                there=rng.choice((0.0, rng.expovariate(2))),
                back=rng.choice((0.0, rng.expovariate(2))),
                clock=ProcessClock(rng.choice((0.9, 1.0, 1 + CLOCK_DRIFT))),
            )
            settled = counted(store, life)
            self.assertGreaterEqual(settled, spent, trial)
            spared += settled < HELD
        self.assertGreater(spared, 500)


if __name__ == "__main__":
    unittest.main()
