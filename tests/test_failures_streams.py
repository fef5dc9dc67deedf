"""Streams whose sidecar, backend server or router fails, and slow readers."""

import asyncio
import unittest

import msgspec

from bluebellshore.bundle.model import Version
from bluebellshore.load.events import EventParser
from bluebellshore.load.fleet import wait_until
from bluebellshore.load.results import CallOutcome, RetryPolicy
from bluebellshore.sidecar.answers import MIN_ANSWER_BUFFER_BYTES
from bluebellshore.standin.generation import BYTES_PER_TOKEN
from tests.system import (
    CHAT,
    ENGINE_VERSION,
    chat_call,
    open_system,
    small_bundle,
)

SLOW_TOKENS = {"between_tokens_seconds": 0.02}


class BackendFailuresTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, system, name, count=4, tokens=60):
        caller = system.caller()
        calls = [
            asyncio.ensure_future(
                caller.call(
                    chat_call(f"{name} {number}", tokens, key=f"{name}-{number}")
                )
            )
            for number in range(count)
        ]
        await asyncio.sleep(0.5)
        return calls

    async def test_streams_are_resumed_elsewhere(self):
        """Each answer comes whole in one try and is billed for all its tokens."""
        results = []
        async with open_system(engines=3, services=0, engine=SLOW_TOKENS) as system:
            victims = {
                "engine": system.engines[0],
                "sidecar": system.sidecars[1],
            }
            for kind, victim in victims.items():
                with self.subTest(f"{kind} killed"):
                    calls = await self.start(system, f"killed-{kind}")
                    await victim.kill()
                    results += await asyncio.gather(*calls)
                    self.check_whole(results)
                await self.replace(system, victim)
            for kind, victim in {
                "engine": system.engines[2],
                "sidecar": system.sidecars[2],
            }.items():
                with self.subTest(f"{kind} frozen"):
                    calls = await self.start(system, f"frozen-{kind}")
                    victim.freeze()
                    results += await asyncio.gather(*calls)
                    victim.wake()
                    self.check_whole(results)
                    await system.wait_ready()
            self.assertEqual(await system.findings(results), [])
            for result in results:
                prompt = -(-len(result.call.text) // BYTES_PER_TOKEN)
                self.assertEqual(result.usage_tokens, prompt + result.call.max_tokens)

    def check_whole(self, results):
        for result in results:
            self.assertEqual(result.outcome, CallOutcome.WHOLE, result)
            self.assertEqual(result.cut_tries, 0, result)

    async def replace(self, system, victim):
        for processes in (system.engines, system.sidecars):
            if victim in processes:
                position = processes.index(victim)
                processes[position] = await system.fleet.replace(victim.name)
        await system.wait_ready()

    async def test_truncated_answers_never_pass_as_whole(self):
        async with open_system(
            engines=2, services=0, routers=1, engine={"fault": "truncate"}
        ) as system:
            call = chat_call("cut", 64)
            async with system.stalled_reader(call) as response:
                body = await response.read()
            self.assertNotIn(b"[DONE]", body)
            self.assertIn(b"event: error\ndata: ", body)
            caller = system.caller(retry=RetryPolicy(attempts=1))
            whole = await caller.call(msgspec.structs.replace(call, stream=False))
            self.assertEqual((whole.outcome, whole.status), (CallOutcome.UNKNOWN, 502))
            keyed = chat_call("keyed", 64, key="keyed")
            cut = await caller.call(keyed)
            self.assertEqual(cut.outcome, CallOutcome.CUT, cut)
            await system.set_faults(system.engines[0], fault="none")
            results = await asyncio.gather(
                caller.call(keyed),
                *(caller.call(chat_call(f"half {n}", 64)) for n in range(6)),
            )
            self.check_whole(results)
            self.assertEqual(await system.findings(results[:1]), [])


class SlowReadersTest(unittest.IsolatedAsyncioTestCase):
    async def test_credit_far_above_the_sidecars_buffer_stops_no_stream(self):
        async with open_system(
            services=0,
            engines=1,
            routers=1,
            engine={"between_tokens_seconds": 0.0005},
            router={"credit_bytes": 256 * 1024},
            sidecar={"stream_buffer_bytes": 16 * 1024},
        ) as system:
            retry = RetryPolicy(attempts=1, attempt_seconds=20.0)
            result = await system.caller(retry=retry).call(
                chat_call("long", 800, key="long")
            )
            self.assertEqual(result.outcome, CallOutcome.WHOLE, result.reason)

    async def test_stalled_readers_hold_bounded_memory_and_get_all(self):
        readers = 16
        stream_bytes, held_bytes = 64 * 1024, 256 * 1024
        async with open_system(
            engines=1,
            routers=1,
            services=0,
            bundle=small_bundle(
                versions={ENGINE_VERSION: Version(concurrency=32, model=CHAT)}
            ),
            engine={
                "between_tokens_seconds": 0.0005,
                "batch_slowdown": 0.0,
                "capacity": 64,
            },
            sidecar={"stream_buffer_bytes": stream_bytes, "held_bytes": held_bytes},
            router={"credit_bytes": 32 * 1024},
        ) as system:
            sidecar = system.sidecars[0]
            answers = [
                asyncio.ensure_future(self.read_late(system, number))
                for number in range(readers)
            ]
            await wait_until(lambda: self.stands_still(system), "stalled readers")
            caller = system.caller()
            others = await asyncio.gather(
                *(caller.call(chat_call(f"quick {n}", 50)) for n in range(8))
            )
            for result in others:
                self.assertEqual(result.outcome, CallOutcome.WHOLE, result)
            self.assertFalse(any(answer.done() for answer in answers))
            state = await system.state(sidecar)
            bound = held_bytes + readers * MIN_ANSWER_BUFFER_BYTES
            self.assertLess(bound, readers * stream_bytes)
            self.assertLessEqual(state["peak_held_bytes"], bound)
            self.assertGreater(state["held_bytes"], held_bytes // 2)
            self.resume.set()
            for text, expected in await asyncio.gather(*answers):
                self.assertEqual(text, expected)

    def setUp(self):
        self.resume = asyncio.Event()
        self.last_bytes = -1

    async def read_late(self, system, number):
        call = chat_call(f"stalled {number}", 16000)
        parser = EventParser()
        pieces = []
        async with system.stalled_reader(call) as response:
            await self.resume.wait()
            async for data in response.content.iter_any():
                pieces += [event.data for event in parser.feed(data)]
        self.assertEqual(pieces.pop(), "[DONE]")
        chunks = [msgspec.json.decode(piece) for piece in pieces]
        deltas = [c["choices"][0]["delta"] for c in chunks if c["choices"]]
        return "".join(delta.get("content", "") for delta in deltas), call.expected

    async def stands_still(self, system):
        """Return whether the engine makes no more tokens."""
        await asyncio.sleep(0.3)
        stats = await system.control(system.engines[0], "/control/stats")
        last, self.last_bytes = self.last_bytes, stats["tokens_generated"]
        return 0 < last == self.last_bytes


if __name__ == "__main__":
    unittest.main()
