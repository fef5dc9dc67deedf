"""Tests of which routers send to a backend server that limits its rate."""

import unittest

from bluebellshore.ids import BackendServerId, InstanceId
from bluebellshore.routing.rate_senders import (
    MAX_UPDATE_GAP_SECONDS,
    TAKEOVER_SECONDS,
    RateSenders,
)

SERVER = BackendServerId("limited")
NAMES = [InstanceId(f"router-{number}") for number in range(8)]
SETTLE_SECONDS = 2.0
STEP_SECONDS = 0.25


class RateSendersTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.senders = {name: RateSenders(name) for name in NAMES}

    def pass_time(self, seconds, silent=(), leaving=()):
        """Update all routers but the silent ones, which no other reaches."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_SECONDS
            for name, senders in self.senders.items():
                if name not in silent:
                    heard = [n for n in NAMES if n != name and n not in silent]
                    self.update(senders, heard, leaving)

    def update(self, senders, heard, leaving=()):
        senders.update(
            [name for name in heard if name not in leaving],
            leaving,
            registered=len(NAMES),
            settle_seconds=SETTLE_SECONDS,
            now=self.now,
        )

    def shares(self, rate=1.5):
        """Return the share of each router that may send."""
        shares = {
            name: senders.share(SERVER, rate, self.now)
            for name, senders in self.senders.items()
        }
        return {name: share for name, share in shares.items() if share}

    def test_a_few_routers_share_the_whole_rate(self):
        self.pass_time(SETTLE_SECONDS + STEP_SECONDS)
        shares = self.shares()
        self.assertEqual(3, len(shares))
        self.assertAlmostEqual(1.5, sum(shares.values()))

    def test_router_that_started_or_stood_still_sends_nothing_at_first(self):
        self.pass_time(SETTLE_SECONDS / 2)
        self.assertFalse(self.shares())
        self.pass_time(SETTLE_SECONDS)
        frozen = next(iter(self.shares()))
        self.pass_time(MAX_UPDATE_GAP_SECONDS + STEP_SECONDS, silent=(frozen,))
        self.pass_time(STEP_SECONDS)
        self.assertNotIn(frozen, self.shares())
        self.pass_time(SETTLE_SECONDS + STEP_SECONDS)
        self.assertIn(frozen, self.shares())

    def test_place_of_a_dead_router_is_taken_after_a_while(self):
        self.pass_time(SETTLE_SECONDS + STEP_SECONDS)
        dead = next(iter(self.shares()))
        del self.senders[dead]
        self.pass_time(TAKEOVER_SECONDS - STEP_SECONDS, silent=(dead,))
        self.assertEqual(2, len(self.shares()))
        self.pass_time(3 * STEP_SECONDS, silent=(dead,))
        self.assertEqual(3, len(self.shares()))

    def test_place_of_a_leaving_router_is_taken_at_once(self):
        self.pass_time(SETTLE_SECONDS + STEP_SECONDS)
        leaving = next(iter(self.shares()))
        self.senders[leaving].leave()
        self.pass_time(STEP_SECONDS, leaving=(leaving,))
        self.assertEqual(3, len(self.shares()))
        self.assertNotIn(leaving, self.shares())

    def test_router_that_reaches_no_majority_sends_nothing(self):
        self.pass_time(SETTLE_SECONDS + STEP_SECONDS)
        cut_off = tuple(self.shares())
        for _ in range(40):
            self.now += STEP_SECONDS
            for name, senders in self.senders.items():
                side = [n for n in NAMES if (n in cut_off) == (name in cut_off)]
                self.update(senders, [n for n in side if n != name])
        self.assertFalse(set(cut_off) & set(self.shares()))
        self.assertAlmostEqual(1.5, sum(self.shares().values()))

    def test_router_that_met_none_of_the_registered_ones_sends_nothing(self):
        alone = RateSenders(NAMES[0])
        for _ in range(40):
            self.now += STEP_SECONDS
            self.update(alone, [])
        self.assertEqual(0.0, alone.share(SERVER, 1.5, self.now))

    def test_only_router_of_a_fleet_takes_the_whole_rate(self):
        only = RateSenders(NAMES[0])
        for _ in range(40):
            self.now += STEP_SECONDS
            only.update(
                [], [], registered=1, settle_seconds=SETTLE_SECONDS, now=self.now
            )
        self.assertEqual(1.5, only.share(SERVER, 1.5, self.now))
