"""Tests of which requests an entry router sends, retries and refuses."""

import aiohttp

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.fleet import RouteKind
from tests.test_entry_requests import EVENT, EntryCase, FakeAnswer


def attempt_error(outcome: AttemptOutcome, **changes: object) -> AttemptError:
    return AttemptError("failed", step="test", peer="a", outcome=outcome, **changes)


class SafeTest(EntryCase):
    async def test_safe_request_is_repeated_after_a_lost_answer(self) -> None:
        self.add_servers("a", "b")
        lost = attempt_error(AttemptOutcome.UNKNOWN, reset=True)
        self.backend.answers = [lost, FakeAnswer([b"ok"])]
        async with self.get() as response:
            self.assertEqual((response.status, await response.read()), (200, b"ok"))

    async def test_no_more_servers_than_the_route_allows(self) -> None:
        self.add_servers("a", "b", "c")
        lost = [attempt_error(AttemptOutcome.UNKNOWN) for _ in range(3)]
        self.backend.answers = [*lost, FakeAnswer([b"ok"])]
        async with self.get() as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(len(self.backend.answers), 2)

    async def test_answer_that_breaks_off_never_looks_complete(self) -> None:
        self.add_servers("a", "b")
        broken = FakeAnswer([b"half", attempt_error(AttemptOutcome.UNKNOWN)])
        self.backend.answers = [broken, FakeAnswer([b"whole"])]
        async with self.get() as response:
            self.assertEqual(await response.read(), b"whole")

    async def test_request_that_crashes_servers_is_refused(self) -> None:
        self.add_servers("a", "b", "c", "d")
        crash = attempt_error(AttemptOutcome.UNKNOWN, reset=True)
        self.backend.answers = [crash, crash]
        async with self.get() as response:
            self.assertEqual(response.status, 502)
        # A broken connection counts as a crash once its server can't be reached.
        for name in ("a", "b", "c", "d"):
            self.crash_tracker.record_unreachable(name, self.now())
        self.backend.answers = [FakeAnswer([b"not reached"])]
        async with self.get() as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(len(self.backend.answers), 1)
        async with self.get("/a/other") as response:
            self.assertEqual(response.status, 200)


class UnsafeTest(EntryCase):
    kind = RouteKind.UNSAFE
    route_options = {"anonymous": True, "max_attempts": 1}

    async def test_unsafe_request_is_not_repeated_after_a_lost_answer(self):
        self.add_servers("a", "b")
        self.backend.answers = [
            attempt_error(AttemptOutcome.UNKNOWN, reset=True),
            FakeAnswer([b""]),
        ]
        async with self.get() as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(len(self.backend.answers), 1)

    async def test_refusal_of_the_server_is_passed_on_as_not_run(self) -> None:
        self.add_servers("a", "b")
        self.backend.answers = [
            attempt_error(AttemptOutcome.NOT_RUN, status=503),
            FakeAnswer([]),
        ]
        async with self.get() as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)

    async def test_server_that_was_not_reached_is_replaced_by_another(self) -> None:
        self.add_servers("a", "b", "c")
        not_reached = [
            attempt_error(AttemptOutcome.NOT_SENT),
            attempt_error(AttemptOutcome.MISDIRECTED, status=421),
        ]
        self.backend.answers = [*not_reached, FakeAnswer([b"ok"])]
        async with self.get() as response:
            self.assertEqual((response.status, await response.read()), (200, b"ok"))


class StreamTest(EntryCase):
    kind = RouteKind.STREAM
    route_options = {"anonymous": True, "max_attempts": 1}

    async def test_broken_stream_is_cut_towards_the_caller(self) -> None:
        self.add_servers("a", "b")
        broken = FakeAnswer([EVENT % 1, attempt_error(AttemptOutcome.UNKNOWN)])
        self.backend.answers = [broken, FakeAnswer([EVENT % 2])]
        with self.assertRaises(aiohttp.ClientError):
            async with self.get() as response:
                await response.read()
        self.assertEqual(len(self.backend.answers), 1)


class ResumableStreamTest(EntryCase):
    kind = RouteKind.STREAM
    route_options = {"anonymous": True, "max_attempts": 2, "resumable": True}

    async def test_stream_is_resumed_without_a_gap_or_a_repeat(self) -> None:
        self.add_servers("a", "b")
        cut = EVENT % 3
        broken = FakeAnswer(
            [EVENT % 1 + EVENT % 2 + cut[:4], attempt_error(AttemptOutcome.UNKNOWN)]
        )
        rest = FakeAnswer([EVENT % 2, EVENT % 3 + EVENT % 4])
        self.backend.answers = [broken, rest]
        async with self.get() as response:
            body = await response.read()
        self.assertEqual(body, b"".join(EVENT % number for number in (1, 2, 3, 4)))

    async def assert_cut_after(self, next_answer: FakeAnswer) -> None:
        """Break a stream off, and expect nothing of the next answer to reach it."""
        self.add_servers("a", "b")
        broken = FakeAnswer([EVENT % 1, attempt_error(AttemptOutcome.UNKNOWN)])
        self.backend.answers = [broken, next_answer]
        body = bytearray()
        with self.assertRaises(aiohttp.ClientError):
            async with self.get() as response:
                async for data in response.content.iter_any():
                    body += data
        self.assertEqual(EVENT % 1, bytes(body))
        self.assertEqual([], self.backend.answers)

    async def test_error_of_the_next_server_is_joined_to_a_stream(self) -> None:
        for status in (400, 404, 500, 502):
            with self.subTest(status):
                error = FakeAnswer([b"internal error\n\n"], status, "text/plain")
                await self.assert_cut_after(error)

    async def test_text_of_the_next_server_is_joined_to_a_stream(self) -> None:
        for content_type in ("text/plain", "application/json", ""):
            for chunks in ([b"internal error\n\n"], [EVENT % 2], []):
                with self.subTest(content_type, chunks=chunks):
                    await self.assert_cut_after(FakeAnswer(chunks, 200, content_type))

    async def test_empty_answer_ends_a_stream_as_if_it_were_complete(self) -> None:
        await self.assert_cut_after(FakeAnswer([], 204, ""))
