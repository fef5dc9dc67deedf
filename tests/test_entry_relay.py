"""Tests of relaying event streams: progress, pauses and bytes without end."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.backend import AttemptError
from bluebellshore.entry.events import MAX_EVENT_BYTES, EventSplitter
from bluebellshore.entry.relay import StreamRelay
from bluebellshore.experiments.virtual_time import run_virtual

FIRST_EVENT_SECONDS = 3.0
#: Idle timeout of the route of the tests: the least there is.
IDLE_SECONDS = 2.0


def event(number: int) -> bytes:
    return f"id: {number}\ndata: x\n\n".encode()


class ScriptedAnswer:
    """An answer whose pieces come after given pauses; it may go on for ever."""

    status = 200
    headers = []

    def header(self, name):
        return {"Content-Type": "text/event-stream"}.get(name, "")

    def __init__(self, pieces, ends_with_connection=False):
        self._pieces = pieces
        self.ends_with_connection = ends_with_connection

    async def chunks(self):
        for seconds, data in self._pieces:
            await asyncio.sleep(seconds)
            yield data


class RecordingSink:
    """Takes an answer; each write blocks for a while, as with a slow reader."""

    unsent_bytes = 0

    def __init__(self, write_seconds=0.0):
        self.body = b""
        self.finished = False
        self._write_seconds = write_seconds

    async def start(self, status, headers, length):
        pass

    async def write(self, data):
        await asyncio.sleep(self._write_seconds)
        self.body += data

    async def finish(self):
        self.finished = True


def endlessly(seconds, data):
    while True:
        yield seconds, data


class StreamRelayTest(unittest.TestCase):
    def relay(
        self, pieces, write_seconds=0.0, ends_with_connection=False, last_event_id=""
    ):
        """Relay a stream in virtual time. :return: sink, error, events, seconds."""
        sink = RecordingSink(write_seconds)
        route = mock.Mock(
            resumable=False, max_event_gap_seconds=0.0, objective_seconds=0.1
        )
        call = mock.Mock(route=route, last_event_id=last_event_id)
        relay = StreamRelay(call, sink)
        counts = []

        async def run():
            loop = asyncio.get_running_loop()
            error = None
            try:
                answer = ScriptedAnswer(pieces, ends_with_connection)
                await relay.run(answer, counts.append, FIRST_EVENT_SECONDS)
            except AttemptError as caught:
                error = caught
            return sink, error, sum(counts), loop.time()

        return run_virtual(run())

    def test_slow_but_sound_stream_is_not_cut(self):
        pieces = [(IDLE_SECONDS * 0.9, event(number)) for number in range(1, 20)]
        sink, error, events, _ = self.relay(pieces)
        self.assertIsNone(error)
        self.assertTrue(sink.finished)
        self.assertEqual((events, sink.body), (19, b"".join(d for _, d in pieces)))

    def test_event_may_come_in_pieces(self):
        pieces = [(0.5, event(1)[:4]), (0.5, event(1)[4:]), (1.0, event(2))]
        sink, error, _, _ = self.relay(pieces)
        self.assertIsNone(error)
        self.assertEqual(sink.body, event(1) + event(2))

    def test_stalled_stream_with_a_byte_now_and_then_ends(self):
        for piece in (b"x", b": comment\n\n", b"\n\n", b"\r\n"):

            def pieces(piece=piece):
                yield 0.1, event(1)
                yield from endlessly(0.5, piece)

            with self.subTest(piece=piece):
                sink, error, events, seconds = self.relay(pieces())
                self.assertTrue(error.timed_out)
                self.assertFalse(sink.finished)
                self.assertEqual(events, 1)
                self.assertAlmostEqual(seconds, 0.1 + IDLE_SECONDS, delta=0.1)

    def test_comments_do_not_count_as_the_first_event(self):
        _, error, events, seconds = self.relay(endlessly(0.5, b": wait\n\n"))
        self.assertTrue(error.timed_out)
        self.assertEqual(events, 0)
        self.assertAlmostEqual(seconds, FIRST_EVENT_SECONDS, delta=0.1)

    def test_comments_within_a_sound_stream_reach_the_caller(self):
        pieces = [(0.1, event(1)), (0.1, b": note\n\n"), (0.1, event(2))]
        sink, error, events, _ = self.relay(pieces)
        self.assertIsNone(error)
        self.assertEqual((events, sink.body), (2, b"".join(d for _, d in pieces)))

    def test_time_of_a_slow_reader_is_not_counted_against_the_server(self):
        pieces = [(0.5, event(number)) for number in range(1, 6)]
        sink, error, events, _ = self.relay(pieces, write_seconds=IDLE_SECONDS * 2)
        self.assertIsNone(error)
        self.assertEqual(events, 5)

    def test_event_without_end_breaks_the_stream_off(self):
        chunk = b"data: " + b"x" * 10_000
        _, error, _, seconds = self.relay(endlessly(0.001, chunk))
        self.assertIn("longer than", str(error))
        self.assertLess(seconds, 1.0)

    def test_stream_may_end_with_its_connection_after_an_event(self):
        pieces = [(0.1, event(1)), (0.1, event(2))]
        sink, error, _, _ = self.relay(pieces, ends_with_connection=True)
        self.assertIsNone(error)
        self.assertTrue(sink.finished)

    def test_stream_that_ends_within_an_event_is_broken_off(self):
        for ends_with_connection in (False, True):
            with self.subTest(ends_with_connection=ends_with_connection):
                sink, error, _, _ = self.relay(
                    [(0.1, event(1)), (0.1, event(2)[:5])],
                    ends_with_connection=ends_with_connection,
                )
                self.assertEqual(error.reset, ends_with_connection)
                self.assertFalse(sink.finished)
                self.assertEqual(sink.body, event(1))

    def test_head_of_an_error_reaches_the_caller_in_the_middle_of_a_stream(self):
        head = b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\n"
        for text in (
            head,
            head + b"oops\n\n",
            b"internal error\n\n",
            b'{"error": "gone"}\n\n',
            b"data: an event without an id\n\n",
        ):
            pieces = [(0.1, event(1)), (0.1, event(2) + text + event(3))]
            with self.subTest(text):
                sink, error, _, _ = self.relay(pieces)
                self.assertIn("not an event", str(error))
                self.assertEqual(event(1) + event(2), sink.body)
                self.assertFalse(sink.finished)

    def test_head_of_an_error_reaches_the_caller_of_a_stream_without_ids(self):
        for text in (b"HTTP/1.1 500 Oops\r\nA: b\r\n\r\n", b"internal error\n\n"):
            pieces = [(0.1, b"data: a\n\n"), (0.1, text)]
            with self.subTest(text):
                sink, error, _, _ = self.relay(pieces)
                self.assertIn("not an event", str(error))
                self.assertEqual(b"data: a\n\n", sink.body)

    def test_events_without_ids_pass_as_long_as_none_has_one(self):
        pieces = [(0.1, b"data: a\n\n"), (0.1, b"event: end\nretry: 5\ndata\n\n")]
        sink, error, _, _ = self.relay(pieces)
        self.assertIsNone(error)
        self.assertEqual(b"".join(data for _, data in pieces), sink.body)

    def test_event_with_the_version_of_its_weights_is_sound(self):
        changed = b"x-weight-versions: 7\n" + event(2)
        sink, error, _, _ = self.relay([(0.1, event(1)), (0.1, changed)])
        self.assertIsNone(error)
        self.assertEqual(event(1) + changed, sink.body)

    # The closed connection of a crashed server passed for an empty stream.
    def test_connection_that_ends_before_any_event_is_broken_off(self):
        sink, error, _, _ = self.relay([], ends_with_connection=True)
        self.assertTrue(error.reset)
        self.assertFalse(sink.finished)
        sink, error, _, _ = self.relay([], ends_with_connection=True, last_event_id="7")
        self.assertIsNone(error)


class EventSplitterTest(unittest.TestCase):
    def test_end_that_comes_in_pieces_is_found(self):
        for end in (b"\n\n", b"\r\n\r\n", b"\n\r\n"):
            stream = (b"id: 1\ndata: a" + end) * 3
            for size in range(1, 8):
                splitter = EventSplitter()
                pieces = [stream[i : i + size] for i in range(0, len(stream), size)]
                events = [e for piece in pieces for e in splitter.feed(piece)]
                with self.subTest(end=end, size=size):
                    self.assertEqual(b"".join(e.data for e in events), stream)
                    self.assertEqual([e.number for e in events], [1, 1, 1])

    def test_memory_is_bounded(self):
        splitter = EventSplitter()
        with self.assertRaises(ValueError):
            for _ in range(MAX_EVENT_BYTES):
                splitter.feed(b"x" * 1024)
        self.assertLessEqual(len(splitter.incomplete), MAX_EVENT_BYTES + 1024)


if __name__ == "__main__":
    unittest.main()
