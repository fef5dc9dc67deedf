"""Generated input for every reader of what another process wrote."""

import json
import math
import os
import unittest
import zlib
from unittest import mock

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bluebellshore.backend.answer_reader import AnswerReader, MalformedAnswerError
from bluebellshore.budget.rows import BudgetRow, IncarnationRow, decode_row
from bluebellshore.bundle.delta import decode_header, decode_update
from bluebellshore.bundle.rows import decode_row as decode_bundle_row
from bluebellshore.bundle.signing import decode_payload
from bluebellshore.duties.jobs import decode_job
from bluebellshore.entry.events import EventSplitter
from bluebellshore.entry.peers import PeerExchange
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.errors import BluebellshoreError
from bluebellshore.events import EventStreamParser, add_completion_tokens
from bluebellshore.ids import IncarnationId, InstanceId
from bluebellshore.moves.rows import decode_row as decode_move
from bluebellshore.platform.configuration import decode_configuration
from bluebellshore.platform.requests import RequestHead, read_backpressure
from bluebellshore.platform.rollouts import decode_record
from bluebellshore.platform.servers import decode_rollout_order, decode_server
from bluebellshore.platform.settings import parse_settings_file
from bluebellshore.rollouts import ExposureLimit
from bluebellshore.router.calls import parse_chat_request
from bluebellshore.routing.backpressure import BackpressureTracker
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import LoadTracker
from bluebellshore.store import MemoryTable, Row
from bluebellshore.wire import peer_pb2 as pb
from tests.entry_fixtures import call, route, server
from tests.scripted_server import ATTEMPT, answer
from tests.test_entry_platform_state import change, configuration_row, order_row
from tests.test_platform_decoding import ServerTest, encode, make_configuration

#: Number of examples of each test with fresh seeds, for runs by hand.
EXAMPLES_VARIABLE = "BLUEBELLSHORE_EXAMPLES"
BY_HAND = int(os.environ.get(EXAMPLES_VARIABLE, 0))
#: Without that variable each run tries the same examples.
GENERATED = settings(
    max_examples=BY_HAND or 40,
    deadline=None,
    derandomize=not BY_HAND,
    database=None,
    suppress_health_check=list(HealthCheck),
)

ORDER = {"service": "s", "target": "v2", "durationS": 30.0}
RECORD = {
    "order": 4,
    "target": "v2",
    "state": "in-progress",
    "began_at": 1.0,
    "replaced": ["v1"],
}
SETTINGS = {
    "nodeName": "entry-1",
    "zone": "a",
    "listenAddresses": {"frontend": "10.0.0.1:80"},
    "seedNodes": ["10.0.0.2:81"],
    "limits": {"memoryMb": 200},
    "bounds": {"drainMs": 2000},
    "platformSettings": {"address": "10.0.0.3:82"},
}
BUDGET = {"settled": 5, "allotments": {"r.1": {"outstanding": 7, "sequence": 2}}}
INCARNATION = {"instance_id": "r", "caps": {"c": 5}, "growth": {"c": 2}}
#: Decoders that raise `BluebellshoreError`, with a value that they take.
CHECKED = {
    "server": (lambda value: decode_server("s-1", value), ServerTest.ENTRY),
    "order": (decode_rollout_order, ORDER),
    "configuration": (decode_configuration, make_configuration()),
    "record": (decode_record, RECORD),
    "settings": (parse_settings_file, SETTINGS),
    "chat": (
        parse_chat_request,
        {"model": "m", "messages": [{"role": "user", "content": "x"}]},
    ),
    "update": (decode_update, {}),
    "header": (decode_header, {}),
    "bundle row": (lambda value: decode_bundle_row(value, "bundle/1"), {}),
    "payload": (decode_payload, {}),
}
#: Decoders of the system's own rows, which raise msgspec's error.
OWN_ROWS = {
    "budget": (lambda value: decode_row(Row("budget/c", 1, value), BudgetRow), BUDGET),
    "incarnation": (
        lambda value: decode_row(Row("incarnation/r", 1, value), IncarnationRow),
        INCARNATION,
    ),
    "job": (lambda value: decode_job(Row("job/1", 1, value)), {}),
    "move": (lambda value: decode_move(Row("move/1", 1, value)), {}),
}
numbers = st.one_of(
    st.integers(),
    st.sampled_from([0, -1, 2**31, 2**63, 2**64, 10**30, 10**400, 1e300, -1e300]),
    st.floats(allow_nan=False, allow_infinity=False),
)
texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(
        ["", "\0", "a\r\nb: c", "10.0.0.1:0", "10.0.0.1:99999", "x" * 70000]
    ),
)
values = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, texts),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)


def paths(value: object, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a JSON document."""
    found = [path]
    if isinstance(value, dict):
        for name, inner in value.items():
            found += paths(inner, (*path, name))
    if isinstance(value, list):
        for number, inner in enumerate(value):
            found += paths(inner, (*path, number))
    return found


def replaced(value: object, path: tuple, new: object) -> object:
    """Return a copy of a document with another value at `path`."""
    if not path:
        return new
    first, *rest = path
    if isinstance(value, dict):
        return {**value, first: replaced(value[first], tuple(rest), new)}
    return [
        replaced(inner, tuple(rest), new) if number == first else inner
        for number, inner in enumerate(value)
    ]


@st.composite
def damaged(draw, value: object) -> bytes:
    """Draw bytes that resemble the encoding of `value`."""
    at = draw(st.sampled_from(paths(value)))
    kind = draw(st.sampled_from(["value", "nested", "unknown", "cut", "flip", "bytes"]))
    if kind == "bytes":
        return draw(st.binary(max_size=60))
    data = encode(replaced(value, at, draw(values)))
    if kind == "nested":
        mark = "replaced-below"
        depth = draw(st.sampled_from([10, 1000, 100_000]))
        opening, closing = draw(st.sampled_from([(b"[", b"]"), (b'{"a":', b"}")]))
        nested = opening * depth + b"1" + closing * depth
        data = encode(replaced(value, at, mark)).replace(
            json.dumps(mark).encode(), nested
        )
    elif kind == "unknown" and isinstance(value, dict):
        data = encode({**value, "novelty": draw(values)})
    elif kind == "cut":
        data = data[: draw(st.integers(0, len(data)))]
    elif kind == "flip" and data:
        position = draw(st.integers(0, len(data) - 1))
        data = data[:position] + draw(st.binary(max_size=2)) + data[position + 1 :]
    return draw(st.sampled_from([data, data, data, zlib.compress(data), data + b"x"]))


class DecodersTest(unittest.TestCase):
    def test_odd_value_raises_another_error_than_the_readers_handle(self) -> None:
        for decoders, error_type in (
            (CHECKED, BluebellshoreError),
            (OWN_ROWS, msgspec.MsgspecError),
        ):
            for name, (decode, sound) in decoders.items():
                with self.subTest(name):
                    self._check(decode, sound, error_type)

    def _check(self, decode, sound: object, error_type: type[Exception]) -> None:
        @GENERATED
        @given(damaged(sound))
        def check(value: bytes) -> None:
            try:
                decode(value)
            except error_type:
                pass

        check()

    @GENERATED
    @given(damaged(ServerTest.ENTRY))
    def test_server_of_an_odd_entry_can_be_called(self, value: bytes) -> None:
        try:
            found = decode_server("s-1", value)
        except BluebellshoreError:
            return
        self.assertTrue(0 < found.port < 65536)
        self.assertTrue(0 < found.slots <= 100_000)
        self.assertTrue(math.isfinite(found.warmup_seconds))
        self.assertTrue(found.host.isprintable() and " " not in found.host)

    @GENERATED
    @given(st.dictionaries(st.text(max_size=8), damaged(ServerTest.ENTRY), max_size=4))
    def test_odd_rows_hide_the_sound_ones(self, odd: dict[str, bytes]) -> None:
        state = PlatformState(2.0)
        rows = [Row(f"servers/{name}", 2, value) for name, value in odd.items()]
        rows += [Row("op/rollout/s", 3, value) for value in odd.values()]
        sound = Row("servers/sound-1", 4, encode(ServerTest.ENTRY))
        state.apply("servers", change(*rows, sound), 0.0)
        state.apply("op", change(*rows, configuration_row(3, 5)), 0.0)
        self.assertIn("sound-1", state.servers_by_id)
        self.assertEqual(3, state.configuration.number)

    @GENERATED
    @given(st.binary(max_size=200), damaged({"choices": [{"delta": {"content": "x"}}]}))
    def test_odd_event_of_an_engine_ends_its_stream(self, data: bytes, text: bytes):
        parser = EventStreamParser(keep_text=True)
        parser.feed(data)
        parser.feed(b"data: " + text + b"\n\n")
        add_completion_tokens(b"data: " + text + b"\n\n", 3)

    @GENERATED
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "X-Attempt-Id",
                        "X-Deadline-Ms",
                        "X-Token-Usage",
                        "X-Prompt-Prefix",
                        "Last-Event-Id",
                        "Connection",
                        "Retry-After",
                        "Server-Limit",
                    ]
                ),
                st.one_of(
                    st.text(max_size=30), st.from_regex(r"[0-9a-f:,.eE+-]{0,30}")
                ),
            ),
            max_size=6,
        )
    )
    def test_odd_head_raises_another_error_than_a_refusal(self, headers) -> None:
        read_backpressure(503, dict(headers))
        try:
            head = RequestHead.decode(headers)
        except BluebellshoreError:
            return
        self.assertGreaterEqual(head.prompt_tokens, 0)
        self.assertGreaterEqual(head.max_output_tokens, 0)


answer_pieces = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            answer("a1", b"ours"),
            answer("a0", b"late"),
            answer(None, b"x", status=503),
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 204 No\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: -1\r\n",
            b"\r\n",
            b"ffffffffffffffffff\r\n",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
            b"id: 1\ndata: x\n\n",
            b"id: " + b"9" * 5000 + b"\n\n",
        ]
    ),
)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_odd_answer_raises_another_error_than_a_malformed_answer(self):
        @GENERATED
        @given(st.lists(answer_pieces, max_size=8), st.integers(1, 64))
        def check(pieces: list[bytes], size: int) -> None:
            flow = mock.Mock(connected=True, _reading_paused=False)
            reader = AnswerReader(flow, ATTEMPT, "a1", has_body=True)
            data = b"".join(pieces)
            try:
                for start in range(0, len(data), size):
                    reader.feed(data[start : start + size])
                reader.feed_eof()
            except MalformedAnswerError:
                return
            found = reader.message.headers.getall(ATTEMPT, [])
            self.assertIn(found, ([], ["a1"]))

        check()

    @GENERATED
    @given(st.lists(answer_pieces, max_size=8), st.integers(1, 64))
    def test_odd_stream_raises_another_error_than_its_reader_handles(
        self, pieces: list[bytes], size: int
    ) -> None:
        splitter = EventSplitter()
        data = b"".join(pieces)
        events = []
        try:
            for start in range(0, len(data), size):
                events += splitter.feed(data[start : start + size])
        except ValueError:
            return
        whole = b"".join(event.data for event in events) + splitter.incomplete
        self.assertEqual(data, whole)


floats = st.one_of(st.floats(), st.sampled_from([math.nan, math.inf, -math.inf, 1e300]))
names = st.sampled_from(["s", "s-1", "other", "", "\0", "a\r\nb"])
small = st.integers(0, 2**32 - 1)
large = st.integers(0, 2**64 - 1)


@st.composite
def peer_states(draw) -> pb.PeerState:
    """Draw a message that no sound router sends."""
    state = pb.PeerState(
        instance_id=draw(names),
        incarnation=draw(names),
        address=draw(st.sampled_from(["", "10.0.0.9:1", "\0", "nowhere"])),
        peers=draw(st.lists(names, max_size=2)),
        leaving=draw(st.booleans()),
        store_lost=draw(st.booleans()),
        configuration=draw(large),
    )
    state.versions.add(
        table=draw(names), version=draw(st.integers(-(2**63), 2**63 - 1))
    )
    state.loads.add(
        server=draw(names),
        running=draw(small),
        prefill_tokens=draw(large),
        held_tokens=draw(large),
    )
    state.parts.add(
        server=draw(names), parts=draw(st.lists(names)), tokens=[draw(small)]
    )
    state.results.add(
        server=draw(names), good=draw(floats), bad=draw(floats), lost=draw(floats)
    )
    for crashes in (state.crashes, state.broken):
        crash = crashes.add(
            server=draw(names), fingerprints=[draw(names)], age_seconds=draw(floats)
        )
        crash.requests.add(fingerprint=draw(names), parts=draw(st.lists(names)))
    state.answered.add(part=draw(names), age_seconds=draw(floats))
    state.blamed.add(
        parts=draw(st.lists(names)),
        age_seconds=draw(floats),
        interval_seconds=draw(floats),
    )
    state.statements.add(
        server=draw(names),
        started_unix_ms=draw(large),
        per_second=draw(floats),
        age_seconds=draw(floats),
        leaving=draw(st.booleans()),
    )
    rollout = state.rollouts.add(
        service="s",
        order=draw(st.sampled_from([4, 5, 2**64 - 1])),
        age_seconds=draw(floats),
        share=draw(floats),
        running=draw(small),
        progress=draw(st.sampled_from([0, 1, 2, 7])),
        bad=draw(st.sampled_from(["", "bad"])),
        exposed=draw(large),
        requests=draw(large),
    )
    rollout.evidence.add(
        route=draw(names),
        server=draw(names),
        target=draw(st.booleans()),
        sent=draw(small),
        ended=draw(small),
        failed=draw(small),
        first={draw(small): draw(small)},
        gap={draw(small): draw(small)},
    )
    return state


class PeerMessagesTest(unittest.IsolatedAsyncioTestCase):
    """Merges generated messages of peers, then serves as before."""

    def exchange(self) -> tuple[PeerExchange, LoadTracker, RolloutController]:
        state = PlatformState(2.0)
        state.apply("op", change(configuration_row(3, 5), order_row("v2", 4)), 0.0)
        loads = LoadTracker()
        exchange = PeerExchange(
            address="10.0.0.1:1",
            seeds=(),
            instance_id=InstanceId("r"),
            incarnation=IncarnationId("r.1"),
            platform_state=state,
            loads=loads,
            crashes=CrashTracker(),
            store_lost=lambda: True,
            backpressure=BackpressureTracker(),
        )
        exchange.rollouts = RolloutController(
            state,
            MemoryTable(),
            IncarnationId("r.1"),
            ExposureLimit(0.1, 10),
            peers=exchange.serving,
            store_lost=lambda: False,
            store_seconds=lambda: None,
        )
        return exchange, loads, exchange.rollouts

    async def test_odd_message_of_a_peer_ends_the_exchange(self) -> None:
        @GENERATED
        @given(st.lists(peer_states(), min_size=1, max_size=3))
        def check(messages: list[pb.PeerState]) -> None:
            exchange, loads, rollouts = self.exchange()
            for message in messages:
                exchange._merge_state(message)
            rollouts.tick()
            request = call(route())
            rollouts.candidates(request, [server("s-1", service="s")], 1.0)
            ticket = loads.begin(request, server("s-1"), 1.0)
            loads.load_of("s-1", 1.0)
            loads.snapshot_of("s-1", 1.0)
            loads.abandon(ticket, 2.0)
            exchange._collect_updates()
            exchange._state_for(None).SerializeToString()

        check()


if __name__ == "__main__":
    unittest.main()
