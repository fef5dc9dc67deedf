"""Tests of leases, claims and stored jobs over the in-memory platform."""

import asyncio
import random
import unittest

from bluebellshore.duties import (
    Claims,
    ClaimState,
    Header,
    Job,
    JobDispatcher,
    Jobs,
    JobState,
    LeaseManager,
    StoredAnswer,
)
from bluebellshore.duties.group_commit import GroupCommit
from bluebellshore.errors import (
    OverloadError,
    PlatformUnavailableError,
    RefusedError,
    RunState,
    TransactionConflictError,
)
from bluebellshore.store.interface import ABSENT, Write
from bluebellshore.store.memory import MemoryObjects, MemoryTable

ANSWER = StoredAnswer(201, [Header("content-type", "text/plain")], b"one spool")
LARGE_ANSWER = StoredAnswer(200, [], b"x" * 100_000)


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.now = 0.0

    def leases(self, holder):
        return LeaseManager(
            self.table, holder, lease_seconds=10.0, clock=lambda: self.now
        )

    async def test_lease_has_one_holder_until_it_expires(self):
        first, second = self.leases("r1"), self.leases("r2")
        self.assertEqual(await first.acquire("jobs"), 1)
        self.assertIsNone(await second.acquire("jobs"))
        self.now = 5.0
        self.assertEqual(await first.acquire("jobs"), 1)
        self.now = 12.0
        self.assertIsNone(await second.acquire("jobs"))
        self.now = 22.0
        self.assertEqual(await second.acquire("jobs"), 2)
        self.assertIsNone(await first.acquire("jobs"))

    async def test_router_that_released_its_leases_acquires_none(self):
        # Duties still ran while the router stopped, and took the leases back.
        first, second = self.leases("r1"), self.leases("r2")
        await first.acquire("jobs")
        await first.release_all()
        self.assertIsNone(await first.acquire("jobs"))
        self.assertEqual(await second.acquire("jobs"), 2)

    async def test_paused_holder_cannot_write(self):
        first, second = self.leases("r1"), self.leases("r2")
        await first.acquire("jobs")
        await second.acquire("jobs")
        self.now = 11.0
        self.assertEqual(await second.acquire("jobs"), 2)
        write = Write("job/1", ABSENT, b"{}")
        with self.assertRaises(TransactionConflictError):
            await first.transact("jobs", [write])
        await second.transact("jobs", [write])

    async def test_lost_answer_of_acquiring_a_lease(self):
        first = self.leases("r1")
        self.table.faults.lose_next = 1
        self.assertIsNone(await first.acquire("jobs"))
        self.assertEqual(await first.acquire("jobs"), 1)

    async def test_released_lease_can_be_acquired_at_once(self):
        first, second = self.leases("r1"), self.leases("r2")
        await first.acquire("jobs")
        await first.release_all()
        self.assertEqual(await second.acquire("jobs"), 2)


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.objects = MemoryObjects()

    def claims(self, seconds=5.0):
        return Claims(
            self.table,
            self.objects,
            claim_timeout_seconds=seconds,
            rng=random.Random(1),
        )

    async def claim(self, claims, key="acme/k1", fingerprint="f1", sidecar="s1"):
        return await claims.claim(key, sidecar, "r1", fingerprint)

    async def test_outcome_is_found_by_a_retry(self):
        first, second = self.claims(), self.claims()
        self.assertIs((await self.claim(first)).state, ClaimState.CLAIMED)
        running = await self.claim(second, sidecar="s2")
        self.assertIs(running.state, ClaimState.RUNNING)
        self.assertEqual((running.sidecar, running.holder), ("s1", "r1"))
        await first.record("acme/k1", ANSWER)
        done = await self.claim(second)
        self.assertIs(done.state, ClaimState.DONE)
        self.assertEqual(done.answer, ANSWER)
        mismatch = await self.claim(second, fingerprint="f2")
        self.assertIs(mismatch.state, ClaimState.MISMATCH)

    async def test_large_outcome(self):
        claims = self.claims()
        await self.claim(claims)
        await claims.record("acme/k1", LARGE_ANSWER)
        self.assertEqual((await self.claim(claims)).answer, LARGE_ANSWER)
        self.assertEqual(self.objects.counts.object_puts, 1)

    async def test_released_claim_can_be_claimed_again(self):
        first, second = self.claims(), self.claims()
        await self.claim(first)
        await first.release("acme/k1")
        again = await self.claim(second, fingerprint="f2")
        self.assertIs(again.state, ClaimState.CLAIMED)
        await first.release("acme/k1")
        self.assertIs(
            (await self.claim(first, fingerprint="f2")).state, ClaimState.RUNNING
        )

    async def test_unknown_outcome_stays(self):
        first, second = self.claims(), self.claims()
        claimed = await self.claim(first)
        await second.record_unknown("acme/k1", claimed.claim_id)
        self.assertIs((await self.claim(second)).state, ClaimState.UNKNOWN)
        await second.release("acme/k1", claimed.claim_id)
        self.assertIs((await self.claim(second)).state, ClaimState.UNKNOWN)

    async def test_lost_answer_is_still_one_claim(self):
        self.table.faults.lose_next = 1
        first, second = self.claims(), self.claims()
        self.assertIs((await self.claim(first)).state, ClaimState.CLAIMED)
        self.assertIs((await self.claim(second)).state, ClaimState.RUNNING)

    async def test_outage_refuses_and_leaves_no_claim(self):
        claims = self.claims(seconds=0.05)
        self.table.faults.lose_next = 1
        task = asyncio.create_task(self.claim(claims))
        for _ in range(200):
            if "claim/acme/k1" in self.table.rows_by_key:
                break
            await asyncio.sleep(0.001)
        self.table.faults.outage = True
        with self.assertRaises(OverloadError) as caught:
            await task
        self.assertIs(caught.exception.run, RunState.NOT_RUN)
        self.table.faults.outage = False
        await claims.close()
        self.assertIs((await self.claim(self.claims())).state, ClaimState.CLAIMED)

    async def test_claims_share_a_transaction(self):
        first, second = self.claims(), self.claims()
        await self.claim(first, key="acme/k7")
        keys = [f"acme/k{number}" for number in range(50)]
        results = await asyncio.gather(*(self.claim(second, key) for key in keys))
        states = [result.state for result in results]
        self.assertEqual(states.count(ClaimState.CLAIMED), 49)
        self.assertIs(states[7], ClaimState.RUNNING)
        self.assertLessEqual(self.table.counts.transactions, 3)

    async def test_racing_claims_under_lost_answers(self):
        self.table.faults.lose_answers = 0.3
        routers = [self.claims() for _ in range(4)]
        for number in range(30):
            results = await asyncio.gather(
                *(self.claim(claims, f"acme/k{number}") for claims in routers)
            )
            states = [result.state for result in results]
            self.assertEqual(states.count(ClaimState.CLAIMED), 1)


def job(key="acme/plan-1", deadline=100.0, body=b"{}", fingerprint="f1", **fields):
    return Job(
        key=key,
        customer="acme",
        fingerprint=fingerprint,
        method="POST",
        path="/v1/chat/completions",
        submitted=1.0,
        deadline=deadline,
        body=body,
        **fields,
    )


class FailingTable(MemoryTable):
    """Table whose first transaction fails with `error` once it is let go on."""

    def __init__(self, error: BaseException):
        super().__init__()
        self.error: BaseException | None = error
        self.began, self.go_on = asyncio.Event(), asyncio.Event()

    async def transact(self, writes):
        error, self.error = self.error, None
        if error is not None:
            self.began.set()
            await self.go_on.wait()
            raise error
        return await super().transact(writes)


class GroupCommitTest(unittest.IsolatedAsyncioTestCase):
    async def write_while_one_fails(self, error):
        """Return the results of a write that fails and of one that came meanwhile."""
        table = FailingTable(error)
        group_commit = GroupCommit(table)
        writes = [Write("claim/a", ABSENT, b"{}"), Write("claim/b", ABSENT, b"{}")]
        first = asyncio.create_task(group_commit.write(writes[0]))
        await table.began.wait()
        second = asyncio.create_task(group_commit.write(writes[1]))
        await asyncio.sleep(0)
        table.go_on.set()
        async with asyncio.timeout(10.0):
            return await asyncio.gather(first, second, return_exceptions=True)

    async def test_write_beside_one_that_fails_waits_for_ever(self):
        # It was sent only with the next write, for which a quiet router waits long.
        failed, version = await self.write_while_one_fails(KeyError("odd"))
        self.assertIsInstance(failed, KeyError)
        self.assertGreater(version, ABSENT)

    async def test_cancelled_transaction_cancels_the_writers(self):
        # Their requests ended without an answer, as if their callers had left.
        failed, version = await self.write_while_one_fails(asyncio.CancelledError())
        self.assertIsInstance(failed, PlatformUnavailableError)
        self.assertGreater(version, ABSENT)


class JobTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.jobs = Jobs(
            self.table,
            MemoryObjects(),
            submit_timeout_seconds=1.0,
            rng=random.Random(1),
        )
        self.now = 0.0
        self.dispatched_jobs = []

    def dispatcher(self, holder="r1", max_running=16):
        leases = LeaseManager(
            self.table, holder, lease_seconds=10.0, clock=lambda: self.now
        )
        return JobDispatcher(
            self.jobs,
            leases,
            holder,
            max_running=max_running,
            clock=lambda: self.now,
        )

    async def answer(self, dispatched):
        self.dispatched_jobs.append(dispatched)
        return ANSWER

    async def test_job_runs_and_is_fetched(self):
        job_id = await self.jobs.submit(job(body=b"y" * 100_000))
        dispatcher = self.dispatcher()
        self.assertEqual(await dispatcher.run_once(self.answer), 1)
        await dispatcher.close()
        self.assertEqual(len(self.dispatched_jobs[0].body), 100_000)
        view = await self.jobs.fetch(job_id, "acme")
        self.assertEqual((view.state, view.answer), (JobState.DONE, ANSWER))
        self.assertIsNone(await self.jobs.fetch(job_id, "other"))
        self.assertEqual(await dispatcher.run_once(self.answer), 0)
        self.assertEqual(len(await self.jobs.list_page("acme")), 1)

    async def test_job_is_not_begun_by_a_router_that_waited_for_its_last_one(self):
        # A job begun meanwhile was cut when the router had stopped.
        ids = [await self.jobs.submit(job(key=f"k-{n}")) for n in range(2)]
        dispatcher = self.dispatcher()
        read, gate, reads = self.jobs.read, asyncio.Event(), []

        async def gated_read(job_id):
            reads.append(job_id)
            await gate.wait()
            return await read(job_id)

        self.jobs.read = gated_read
        run = asyncio.create_task(dispatcher.run_once(self.answer))
        while not reads:
            await asyncio.sleep(0)
        stop = asyncio.create_task(dispatcher.stop())
        await asyncio.sleep(0)
        gate.set()
        await stop
        self.assertEqual(1, await run)
        self.assertEqual(0, await dispatcher.run_once(self.answer))
        states = [(await self.jobs.fetch(job_id, "acme")).state for job_id in ids]
        self.assertEqual({JobState.DONE, JobState.WAITING}, set(states))
        self.assertEqual(0, dispatcher.running)

    async def test_same_key_is_one_job(self):
        self.table.faults.lose_next = 1
        first = await self.jobs.submit(job())
        self.assertEqual(await self.jobs.submit(job()), first)
        with self.assertRaises(RefusedError) as caught:
            await self.jobs.submit(job(fingerprint="f2"))
        self.assertEqual(caught.exception.status, 409)

    async def test_earliest_deadline_first(self):
        for number in (3, 1, 2):
            await self.jobs.submit(job(f"acme/p{number}", deadline=number))
        dispatcher = self.dispatcher(max_running=1)
        for _ in range(3):
            await dispatcher.run_once(self.answer)
            await dispatcher.close()
            await asyncio.sleep(0)
        self.assertEqual([j.key[-1] for j in self.dispatched_jobs], ["1", "2", "3"])

    async def test_outage_is_reported_as_unknown(self):
        self.jobs = Jobs(self.table, submit_timeout_seconds=0.05)
        self.table.faults.outage = True
        with self.assertRaises(RefusedError) as caught:
            await self.jobs.submit(job())
        self.assertIs(caught.exception.run, RunState.UNKNOWN)

    async def test_dead_dispatcher_is_replaced(self):
        job_id = await self.jobs.submit(job())
        never = asyncio.Event()

        async def hang(dispatched):
            await never.wait()
            return StoredAnswer(500)

        first, second = self.dispatcher("r1"), self.dispatcher("r2")
        await first.run_once(hang)
        self.assertEqual(await second.run_once(self.answer), 0)
        self.now = 11.0
        self.assertEqual(await second.run_once(self.answer), 1)
        await second.close()
        never.set()
        await first.close()
        view = await self.jobs.fetch(job_id, "acme")
        self.assertEqual((view.answer, view.attempt), (ANSWER, 2))

    async def test_refused_job_waits_and_is_tried_again(self):
        job_id = await self.jobs.submit(job())

        async def refuse(dispatched):
            raise OverloadError("full", step="test")

        dispatcher = self.dispatcher()
        await dispatcher.run_once(refuse)
        await dispatcher.close()
        view = await self.jobs.fetch(job_id, "acme")
        self.assertEqual((view.state, view.reason), (JobState.WAITING, "test: full"))
        self.now = 5.0
        await asyncio.sleep(0)
        await dispatcher.run_once(self.answer)
        await dispatcher.close()
        self.assertIs((await self.jobs.fetch(job_id, "acme")).state, JobState.DONE)

    async def test_unknown_ends_a_job_that_may_not_run_twice(self):
        async def lost(dispatched):
            raise OverloadError("lost", step="test", run=RunState.UNKNOWN)

        for idempotent, state in ((True, JobState.WAITING), (False, JobState.UNKNOWN)):
            job_id = await self.jobs.submit(
                job(f"acme/{idempotent}", idempotent=idempotent)
            )
            dispatcher = self.dispatcher(str(idempotent))
            self.now += 100.0
            await dispatcher.run_once(lost)
            self.now += 100.0
            await dispatcher.run_once(lost)
            await dispatcher.close()
            self.assertIs((await self.jobs.fetch(job_id, "acme")).state, state)

    async def test_outcome_survives_an_outage(self):
        job_id = await self.jobs.submit(job())

        async def answer_in_outage(dispatched):
            self.table.faults.fail_next = 3
            return LARGE_ANSWER

        dispatcher = self.dispatcher()
        await dispatcher.run_once(answer_in_outage)
        await dispatcher.close()
        self.assertEqual((await self.jobs.fetch(job_id, "acme")).answer, LARGE_ANSWER)


if __name__ == "__main__":
    unittest.main()
