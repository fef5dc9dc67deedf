"""Tests of the emulated model engine."""

import unittest

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.engine import (
    EmulatedEngine,
    EngineFigures,
    Run,
    RunEvent,
)
from bluebellshore.fleet import PromptPart


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.figures = EngineFigures()
        self.events = []

    def engine(self, **figures):
        return EmulatedEngine(self.clock, EngineFigures(**figures))

    def run_of(self, name, tokens, output, priority=5, shared=()):
        parts = (*shared, PromptPart(name, tokens))
        return Run(
            priority,
            parts,
            output,
            lambda event, made: self.events.append((name, event, made, self.clock.now)),
        )

    def times(self, name, event=RunEvent.PIECE):
        return [at for n, e, _, at in self.events if n == name and e is event]

    def test_a_stream_has_its_pieces_in_order(self):
        engine = self.engine()
        engine.submit(self.run_of("a", 100, 10))
        self.clock.run(5.0)
        made = [made for _, _, made, _ in self.events]
        self.assertEqual(made, [1, 3, 6, 9, 10])
        self.assertIs(self.events[-1][1], RunEvent.DONE)

    def test_a_long_prompt_delays_the_tokens_beside_it(self):
        gaps = []
        for long_prompt in (0, 40_000):
            self.events.clear()
            engine = self.engine()
            engine.submit(self.run_of("a", 100, 300))
            if long_prompt:
                engine.submit(self.run_of("long", long_prompt, 3))
            self.clock.run(self.clock.now + 10.0)
            times = self.times("a")
            gaps.append(max(b - a for a, b in zip(times, times[1:], strict=False)))
        self.assertGreater(gaps[1], 8 * gaps[0])

    def test_cached_parts_are_not_read_again(self):
        shared = (PromptPart("s", 20_000),)
        engine = self.engine()
        seconds = []
        for name in ("a", "b"):
            start = self.clock.now
            engine.submit(self.run_of(name, 100, 4, shared=shared))
            self.clock.run(start + 5.0)
            seconds.append(self.times(name)[0] - start)
        self.assertGreater(seconds[0], 10 * seconds[1])

    def test_least_recently_used_parts_are_evicted(self):
        engine = self.engine(cache_tokens=10_000)
        for name in ("a", "b", "a", "c", "d"):
            engine.submit(self.run_of(name, 3000, 2))
            self.clock.run(self.clock.now + 2.0)
        kept = [n for n in "abcd" if engine.memory.cached_tokens([(PromptPart(n, 1))])]
        self.assertEqual(kept, ["a", "c", "d"])

    def test_urgent_requests_are_admitted_first_and_preempt(self):
        engine = self.engine(slots=2, cache_tokens=4000)
        engine.submit(self.run_of("first", 1500, 600, priority=9))
        engine.submit(self.run_of("second", 1500, 600, priority=0))
        self.clock.run(30.0)
        self.assertGreater(engine.preempted, 0)
        done = RunEvent.DONE
        self.assertLess(self.times("second", done)[0], self.times("first", done)[0])
        self.assertLessEqual(engine.memory.used_tokens, 4000)

    def test_a_full_queue_refuses_and_a_crash_breaks_all(self):
        engine = self.engine(slots=1, queue=1)
        for name in "abc":
            engine.submit(self.run_of(name, 10, 50))
        self.assertEqual([e for _, e, _, _ in self.events], [RunEvent.REFUSED])
        engine.crash()
        self.assertEqual(len([1 for e in self.events if e[1] is RunEvent.BROKEN]), 2)
        self.clock.run(1.0)
        engine.submit(self.run_of("d", 10, 4))
        self.clock.run(2.0)
        self.assertEqual(len(self.times("d", RunEvent.DONE)), 1)
        self.assertEqual(engine.running, 0)
