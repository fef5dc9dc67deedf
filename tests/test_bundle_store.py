"""Tests of accepting bundles and reading them from the table service."""

import asyncio
import unittest

import msgspec

from bluebellshore.bundle import BundleKeeper, BundleStore, sign_bundle
from bluebellshore.bundle.delta import encode_update, snapshot_of
from bluebellshore.bundle.model import Budget, Move, Route, RouteKind, Version
from bluebellshore.bundle.rows import HEAD_KEY
from bluebellshore.errors import (
    BundleConflictError,
    BundleError,
    PlatformUnavailableError,
)
from bluebellshore.moves.controller import ROLLBACK_RESERVE_SECONDS
from bluebellshore.store.interface import Write
from bluebellshore.store.memory import MemoryObjects, MemoryTable
from tests.test_bundle_keeper import PRIVATE, VERIFIER, encoded_snapshot, make_bundle

UNIX_NOW = 1_000_000.0
VERSIONS = {name: Version(concurrency=4, model="a") for name in ("a1", "a2", "a3")}
MOVE = Move(route="chat", old="a1", new="a2", deadline=UNIX_NOW + 3600)


def signed_bundle(number, **fields):
    return sign_bundle(make_bundle(number, **fields), PRIVATE)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table, self.objects = MemoryTable(), MemoryObjects()
        self.store = self.make_store()
        self.keeper = BundleKeeper(VERIFIER, self.table, self.objects)

    def make_store(self):
        return BundleStore(
            self.table, self.objects, verifier=VERIFIER, clock=lambda: UNIX_NOW
        )

    async def accept(self, number, **fields):
        await self.store.accept(signed_bundle(number, **fields))

    async def problems_of(self, number, **fields):
        with self.assertRaises(BundleError) as caught:
            await self.accept(number, **fields)
        return " ".join(caught.exception.problems)

    async def write_move_row(self, value: bytes):
        row = self.table.rows_by_key.get("move/m1")
        await self.table.transact([Write("move/m1", row.version if row else 0, value)])

    async def test_keepers_follow_from_any_number(self):
        keepers = []
        for number in range(1, 71):
            await self.accept(number, total=number, comment=f"top-up {number}")
            if number % 10 == 1:
                keepers.append(BundleKeeper(VERIFIER, self.table, self.objects))
                await keepers[-1].poll_once()
                self.assertEqual(keepers[-1].number, number)
        for keeper in [*keepers, self.keeper]:
            await keeper.poll_once()
            self.assertEqual(keeper.current, make_bundle(70, 70, comment="top-up 70"))

    async def test_large_bundle_lies_in_the_object_store(self):
        budgets = {"fes": Budget(1)} | {f"b{n}": Budget(n) for n in range(12_000)}
        await self.accept(1, budgets=budgets)
        await self.accept(2, budgets=budgets | {"b9": Budget(10**6)})
        await self.keeper.poll_once()
        self.assertEqual(self.keeper.current.budgets["b9"].prepaid_total, 10**6)
        self.assertEqual(len(self.objects.data_by_name), 1)

    async def test_racing_operators_one_wins_and_is_named(self):
        await self.accept(1)
        results = await asyncio.gather(
            self.accept(2, total=200, comment="winner"),
            self.accept(2, total=300, comment="loser"),
            return_exceptions=True,
        )
        failures = [result for result in results if result is not None]
        self.assertEqual([type(error) for error in failures], [BundleConflictError])
        self.assertRegex(str(failures[0]), r"bundle 2 of key \w{16} .* 'winner'.*fes")
        await self.keeper.poll_once()
        self.assertEqual(self.keeper.current.comment, "winner")

    async def test_one_wins_of_operators_who_begin_one_after_another(self):
        await self.accept(1)
        self.table.faults.delay_seconds = 0.01
        accept_tasks = []
        for number in range(8):
            accept = self.accept(2, total=200 + number)
            accept_tasks.append(asyncio.ensure_future(accept))
            await asyncio.sleep(0.004)
        results = await asyncio.gather(*accept_tasks, return_exceptions=True)
        failures = [r for r in results if isinstance(r, BundleConflictError)]
        self.assertEqual(len(failures), len(accept_tasks) - 1, results)

    async def test_poll_never_goes_below_what_a_peer_told_meanwhile(self):
        await self.accept(1)
        await self.accept(2)
        read = self.table.read

        async def read_while_peer_sends(keys):
            rows = await read(keys)
            if HEAD_KEY not in keys:
                self.keeper.offer(encoded_snapshot(make_bundle(3, total=300)))
            return rows

        self.table.read = read_while_peer_sends
        await self.keeper.poll_once()
        self.assertEqual(self.keeper.number, 3)

    async def test_lost_answer_and_repeated_submit_are_harmless(self):
        self.table.faults.lose_next = 1
        await self.accept(1)
        await self.accept(1)
        await self.accept(2)
        await self.accept(1)
        self.assertEqual((await self.store.head()).number, 2)

    async def test_outage_is_reported_and_leaves_the_keeper_unharmed(self):
        await self.accept(1)
        await self.keeper.poll_once()
        await self.accept(2)
        self.table.faults.outage = True
        with self.assertRaises(PlatformUnavailableError):
            await self.accept(3)
        with self.assertRaises(PlatformUnavailableError):
            await self.keeper.poll_once()
        self.table.faults.outage = False
        await self.keeper.poll_once()
        self.assertEqual(self.keeper.number, 2)

    async def test_keeper_passes_over_a_bundle_of_an_untrusted_key(self):
        await self.accept(1)
        unverified_store = BundleStore(self.table, self.objects, clock=lambda: UNIX_NOW)
        untrusted_key = bytes(range(32))
        await unverified_store.accept(
            sign_bundle(make_bundle(2, total=200), untrusted_key)
        )
        with self.assertRaises(BundleError):
            await self.keeper.poll_once()
        self.assertIsNone(self.keeper.current)
        older_keeper = BundleKeeper(VERIFIER, self.table, self.objects)
        older_keeper.offer(encode_update(snapshot_of(signed_bundle(1))))
        await self.accept(3, total=300)
        for keeper in (self.keeper, older_keeper):
            await keeper.poll_once()
            self.assertEqual(keeper.current, make_bundle(3, total=300))

    async def test_refuses_all_problems_at_once(self):
        await self.accept(1, versions=VERSIONS)
        expired_move = Move(route="chat", old="a1", new="a2", deadline=UNIX_NOW - 1)
        problems = await self.problems_of(
            2,
            total=99,
            versions=VERSIONS,
            routes={"chat": Route(kind=RouteKind.MODEL, version="a2")},
            moves={"m1": expired_move},
        )
        for path in (
            "budgets.fes.prepaid_total: falls from 100 to 99",
            "routes.chat.version: 'a1' to 'a2' needs a move that is done",
            "moves.m1.deadline",
            "moves.m1.old",
        ):
            self.assertIn(path, problems)

    async def test_refuses_a_gap_in_the_sequence(self):
        await self.accept(1)
        self.assertIn("the newest accepted bundle is 1", await self.problems_of(3))

    async def test_life_of_a_move(self):
        routes_after_move = {"chat": Route(kind=RouteKind.MODEL, version="a2")}
        await self.accept(1, versions=VERSIONS, moves={"m1": MOVE})
        other = Move(route="chat", old="a1", new="a3", deadline=UNIX_NOW + 3600)
        problems = await self.problems_of(
            2, versions=VERSIONS, moves={"m1": MOVE, "m2": other}
        )
        self.assertIn("has the open move 'm1'", problems)
        await self.write_move_row(b'{"state": "taken_back"}')
        problems = await self.problems_of(
            2, versions=VERSIONS, routes=routes_after_move
        )
        self.assertIn("needs a move that is done", problems)
        await self.write_move_row(b'{"state": "done"}')
        self.assertIn(
            "moves.m1: is done",
            await self.problems_of(2, versions=VERSIONS),
        )
        problems = await self.problems_of(
            2, versions=VERSIONS, moves={"m1": MOVE, "m2": other}
        )
        self.assertIn("moves.m2.old: route 'chat' is on version 'a2'", problems)
        await self.accept(2, versions=VERSIONS, routes=routes_after_move)
        problems = await self.problems_of(
            3, versions=VERSIONS, routes=routes_after_move, moves={"m1": MOVE}
        )
        self.assertIn("an earlier move of this id", problems)

    async def test_open_move_may_be_withdrawn(self):
        await self.accept(1, versions=VERSIONS, moves={"m1": MOVE})
        await self.accept(2, versions=VERSIONS)

    async def test_deadline_leaves_time_for_all_steps(self):
        min_seconds = len(MOVE.steps) * MOVE.step_seconds + ROLLBACK_RESERVE_SECONDS
        too_early = msgspec.structs.replace(MOVE, deadline=UNIX_NOW + min_seconds - 1)
        problems = await self.problems_of(1, versions=VERSIONS, moves={"m1": too_early})
        self.assertIn("moves.m1.deadline", problems)
        just_enough = msgspec.structs.replace(MOVE, deadline=UNIX_NOW + min_seconds)
        await self.accept(1, versions=VERSIONS, moves={"m1": just_enough})
