"""Tests of the log lines and metrics of each request at an entry router."""

import asyncio
import contextlib
import unittest

import aiohttp
from prometheus_client import generate_latest

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.decisions import DecisionLog
from bluebellshore.entry.admission import Admission
from bluebellshore.entry.attempt_log import AttemptLog
from bluebellshore.entry.dispatch import Dispatcher
from bluebellshore.entry.ingress import Ingress
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.entry.metrics_port import MetricsPort
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.request_log import RequestLog, RequestTrace
from bluebellshore.entry.stop_schedule import StopSchedule
from bluebellshore.fleet import RouteKind
from bluebellshore.ids import IncarnationId, ZoneName
from bluebellshore.platform.names import ATTEMPT_HEADER, DEADLINE_HEADER, KEY_HEADER
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import LoadReport, LoadTracker, ServerLoad
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.placement import Placer
from bluebellshore.routing.retry_window import WindowedRetryBudget
from tests.entry_fixtures import configuration, route, server

EVENT = b"id: %d\ndata: x\n\n"
BROKEN = AttemptError(
    "connection reset", step="test", peer="a", outcome=AttemptOutcome.UNKNOWN
)
REFUSED = AttemptError(
    "busy", step="test", peer="a", outcome=AttemptOutcome.NOT_RUN, status=503
)


class FakeAnswer:
    """An answer whose body is `chunks`.

    An exception among the chunks is raised, and an event is waited for.
    """

    ends_with_connection = False

    def __init__(self, chunks, status=200, content_type="text/event-stream"):
        self.status = status
        self.headers = []
        self._chunks = chunks
        self._content_type = content_type

    def header(self, name):
        """Return the value of a header."""
        return self._content_type if name == "Content-Type" else ""

    async def chunks(self):
        for chunk in self._chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if isinstance(chunk, asyncio.Event):
                await chunk.wait()
                continue
            yield chunk


class FakeBackend:
    """Answers requests with the next of `answers`; raises it if it is an exception."""

    def __init__(self):
        self.answers = []

    @contextlib.asynccontextmanager
    async def send(self, server, request):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        yield answer


class UnlimitedBudgets:
    """Grants all tokens at once."""

    async def reserve(self, customer, attempt_id, tokens, *, wait_seconds):
        pass

    def settle(self, attempt_id, tokens):
        pass

    def release(self, attempt_id):
        pass


class EntryCase(unittest.IsolatedAsyncioTestCase):
    """The request path of an entry router with a fake backend.

    Log lines are kept in `lines`.
    """

    kind = RouteKind.SAFE
    route_options: dict = {"anonymous": True}

    async def asyncSetUp(self):
        self.lines = []
        self.log = DecisionLog(self.lines.append)
        self.metrics = EntryMetrics()
        self.platform_state = PlatformState(2.0, self.log)
        self.route = route(self.kind, **self.route_options)
        self.platform_state.configuration = configuration(self.route, number=7)
        self.outliers = OutlierDetector()
        self.loads = LoadTracker(self.outliers)
        self.backend = FakeBackend()
        self.admission = Admission(
            self.platform_state,
            self.loads,
            Placer(self.loads, ZoneName("z")),
            self.outliers,
            self.log,
        )
        self.crash_tracker = CrashTracker()
        dispatcher = Dispatcher(
            platform_state=self.platform_state,
            loads=self.loads,
            admission=self.admission,
            outliers=self.outliers,
            backend=self.backend,
            budgets=UnlimitedBudgets(),
            make_headers=lambda call, server, left, event_id: [],
            make_retry_budget=lambda: WindowedRetryBudget(1.0, 100.0, 10.0),
            max_routers=lambda: 1,
            attempt_log=AttemptLog(self.loads, self.log, self.metrics),
            crash_tracker=self.crash_tracker,
        )
        self.ingress = Ingress(
            self.platform_state,
            dispatcher.serve,
            memory_bytes=0,
            request_log=RequestLog(self.log, self.metrics),
        )
        self.address = await self.ingress.start("127.0.0.1:0")
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.ingress.close_port()
        await self.ingress.stop(0.1)

    def now(self):
        return asyncio.get_running_loop().time()

    def add_servers(self, *names):
        for name in names:
            self.platform_state.servers_by_id[name] = server(name)

    def get(self, path="/a/b", host="api.example", **headers):
        headers = {"Host": host, ATTEMPT_HEADER: "try-1"} | headers
        return self.session.get(f"http://{self.address}{path}", headers=headers)

    def message_types(self):
        return [line["message_type"] for line in self.lines]

    def line(self, message_type):
        found = [line for line in self.lines if line["message_type"] == message_type]
        self.assertEqual(len(found), 1, self.message_types())
        return found[0]

    def assert_metrics(self, *samples):
        text = generate_latest(self.metrics.registry).decode()
        for sample in samples:
            self.assertIn(f"bluebellshore_{sample}\n", text)

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)


class PlainRequestTest(EntryCase):
    async def test_answered_request_leaves_admitted_placed_and_ended(self):
        self.add_servers("a")
        self.loads.merge_report(
            IncarnationId("peer"),
            LoadReport({"a": ServerLoad(2)}),
            asyncio.get_running_loop().time(),
        )
        self.backend.answers = [FakeAnswer([b"body"])]
        async with self.get() as response:
            self.assertEqual(await response.read(), b"body")
        self.assertEqual(self.message_types(), ["admitted", "placed", "ended"])
        self.assertEqual({line["request"] for line in self.lines}, {"try-1"})
        admitted = self.line("admitted")
        self.assertEqual((admitted["route"], admitted["configuration"]), ("r", 7))
        placed = self.line("placed")
        self.assertEqual((placed["server"], placed["candidates"]), ("a", 1))
        self.assertEqual(placed["running"], 2)
        self.assertGreaterEqual(placed["oldest_report_seconds"], 0.0)
        ended = self.line("ended")
        self.assertEqual((ended["status"], ended["outcome"]), (200, "answered"))
        self.assertEqual((ended["attempts"], ended["server"]), (1, "a"))
        self.assert_metrics(
            'requests_total{outcome="answered",route_kind="safe"} 1.0',
            'attempts_total{result="answered"} 1.0',
            "waiting_seconds_count 1.0",
        )

    async def test_request_without_server_leaves_one_refusal_with_its_inputs(self):
        async with self.get() as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(self.message_types(), ["admitted", "refused"])
        refused = self.line("refused")
        self.assertEqual((refused["step"], refused["status"]), ("admission", 503))
        self.assertEqual(refused["run"], "not-run")
        inputs = refused["inputs"]
        self.assertEqual((inputs["listed"], inputs["usable"]), (0, 0))
        self.assert_metrics(
            'refusals_total{reason="admission",status="503"} 1.0',
            'requests_total{outcome="refused",route_kind="safe"} 1.0',
        )

    async def test_request_without_route_is_refused_and_was_not_admitted(self):
        async with self.get(host="other.example") as response:
            self.assertEqual(response.status, 404)
        self.assertEqual(self.message_types(), ["refused"])
        self.assertEqual(self.line("refused")["request"], "try-1")
        self.assertEqual(self.line("refused")["configuration"], 7)

    async def test_refusal_without_configuration_has_the_id_of_its_request(self):
        self.platform_state.configuration = None
        async with self.get() as response:
            self.assertEqual(response.status, 503)
        refused = self.line("refused")
        self.assertEqual((refused["request"], refused["step"]), ("try-1", "ingress"))

    async def test_malformed_request_is_refused_with_its_id(self):
        async with self.get(**{DEADLINE_HEADER: "soon"}) as response:
            self.assertEqual(response.status, 400)
        refused = self.line("refused")
        self.assertEqual((refused["request"], refused["status"]), ("try-1", 400))

    async def test_head_above_its_bound_is_refused(self):
        async with self.get(**{"X-Long": "x" * 20_000}) as response:
            self.assertEqual(response.status, 431)
        refused = self.line("refused")
        self.assertEqual((refused["step"], refused["status"]), ("ingress.head", 431))

    async def test_failed_attempt_is_sent_again_and_ends_once(self):
        self.add_servers("a", "b")
        self.backend.answers = [REFUSED, FakeAnswer([b"body"])]
        async with self.get() as response:
            self.assertEqual(response.status, 200)
        self.assertEqual(
            self.message_types(),
            ["admitted", "placed", "sent_again", "placed", "ended"],
        )
        sent_again = self.line("sent_again")
        self.assertEqual(sent_again["reason"], "not-run: busy")
        self.assertEqual(self.line("ended")["attempts"], 2)
        self.assertNotEqual(self.line("ended")["server"], sent_again["server"])

    async def test_server_error_passed_on_ends_as_failed(self):
        self.add_servers("a")
        self.backend.answers = [FakeAnswer([b"no"], status=500)] * 2
        async with self.get() as response:
            self.assertEqual(response.status, 500)
        self.assertEqual(self.line("ended")["outcome"], "failed")


class KeyTest(EntryCase):
    route_options: dict = {}

    async def test_request_without_a_key_was_refused_for_an_unknown_one(self):
        # Whoever forgot a key looks for another fault than whoever has a wrong one.
        for headers, reason in (
            ({}, "0 keys in place of one"),
            ({KEY_HEADER: "other"}, "unknown key"),
        ):
            self.lines.clear()
            async with self.get(**headers) as response:
                self.assertEqual(response.status, 401)
            self.assertEqual(self.line("refused")["reason"], reason)


class UnsafeRequestTest(EntryCase):
    kind = RouteKind.UNSAFE

    async def test_one_full_connection_pool_was_logged_as_unreachable_servers(self):
        # The router's own limit of connections says nothing about its servers.
        self.add_servers("a")
        full = AttemptError(
            "all connections are in use",
            step="test",
            peer="a",
            outcome=AttemptOutcome.NOT_SENT,
        )
        self.backend.answers = [full] * 4
        async with self.get() as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(
            self.line("given_up")["why"],
            "too many attempts were not sent to their backend server",
        )

    async def test_attempt_at_a_silent_server_was_counted_as_left_by_the_caller(self):
        # Callers that wait until the deadline have not left.
        self.add_servers("a")
        self.backend.answers = [FakeAnswer([asyncio.Event()])]
        async with self.get(**{DEADLINE_HEADER: "100"}) as response:
            self.assertEqual(response.status, 504)
        self.assert_metrics('attempts_total{result="abandoned"} 1.0')

    async def test_lost_answer_of_a_purchase_says_why_it_is_not_sent_again(self):
        self.add_servers("a")
        self.backend.answers = [BROKEN]
        async with self.get() as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(
            self.message_types(), ["admitted", "placed", "given_up", "ended"]
        )
        self.assertEqual(
            self.line("given_up")["why"],
            "the request may have run and must not be repeated",
        )
        ended = self.line("ended")
        self.assertEqual((ended["status"], ended["outcome"]), (502, "failed"))


class StreamTest(EntryCase):
    kind = RouteKind.STREAM
    route_options = {"anonymous": True, "max_event_gap_seconds": 1e-9}

    async def test_whole_stream_ends_as_completed_with_its_events(self):
        self.add_servers("a")
        self.backend.answers = [FakeAnswer([EVENT % 1, EVENT % 2, EVENT % 3])]
        async with self.get() as response:
            await response.read()
        ended = self.line("ended")
        self.assertEqual((ended["outcome"], ended["events"]), ("completed", 3))
        self.assertGreater(ended["longest_pause_seconds"], 0.0)
        self.assertEqual(self.lines[2]["message_type"], "paused")
        self.assertEqual(self.lines[2]["events"], 1)
        self.assert_metrics('first_event_seconds_count{route_kind="stream"} 1.0')

    async def test_stream_that_breaks_off_ends_as_cut(self):
        self.add_servers("a")
        self.backend.answers = [FakeAnswer([EVENT % 1, BROKEN])]
        with self.assertRaises(aiohttp.ClientError):
            async with self.get() as response:
                await response.read()
        await self.wait_until(lambda: "ended" in self.message_types())
        self.assertEqual(
            self.message_types(), ["admitted", "placed", "given_up", "ended"]
        )
        given_up, ended = self.line("given_up"), self.line("ended")
        self.assertEqual((given_up["server"], given_up["events"]), ("a", 1))
        self.assertEqual((ended["outcome"], ended["status"]), ("cut", 200))
        self.assert_metrics(
            'requests_total{outcome="cut",route_kind="stream"} 1.0',
            'attempts_total{result="broken"} 1.0',
        )

    async def test_caller_that_leaves_ends_the_request_as_left(self):
        self.add_servers("a")
        never = asyncio.Event()
        self.backend.answers = [FakeAnswer([EVENT % 1, never])]
        response = await self.get()
        await response.content.readline()
        response.close()
        await self.wait_until(lambda: "ended" in self.message_types())
        self.assertEqual(self.line("ended")["outcome"], "left")
        self.assertNotIn("refused", self.message_types())
        self.assert_metrics('attempts_total{result="abandoned"} 1.0')

    async def test_request_cut_by_the_routers_own_stop_is_not_logged_as_left(self):
        self.add_servers("a")
        never = asyncio.Event()
        self.backend.answers = [FakeAnswer([EVENT % 1, EVENT % 2])]
        async with self.get() as response:
            await response.read()
        self.backend.answers = [FakeAnswer([EVENT % 1, never])]
        self.ingress.stop_schedule = StopSchedule.begin(self.now(), 8.0)
        async with self.get() as response:
            await response.content.readline()
            await self.ingress.stop(0.01)
            await self.wait_until(lambda: self.message_types().count("ended") == 2)
        first, second = (x for x in self.lines if x["message_type"] == "admitted")
        self.assertEqual(1, first["connection_requests"])
        self.assertNotIn("stopping_seconds", first)
        self.assertEqual(2, second["connection_requests"])
        self.assertGreater(second["connection_seconds"], 0.0)
        self.assertGreaterEqual(second["stopping_seconds"], 0.0)
        self.assertEqual("cut", self.lines[-1]["outcome"])
        self.assertEqual("the router stops", self.lines[-1]["reason"])


class QueueTest(EntryCase):
    async def test_wait_for_a_place_is_logged_when_it_ends(self):
        self.platform_state.servers_by_id["a"] = server("a", slots=1)
        gate = asyncio.Event()
        self.backend.answers = [FakeAnswer([gate, b"1"]), FakeAnswer([b"2"])]

        async def send_request():
            async with self.get() as response:
                return await response.read()

        first = asyncio.create_task(send_request())
        await self.wait_until(lambda: "placed" in self.message_types())
        second = asyncio.create_task(send_request())
        await self.wait_until(lambda: self.admission.waiting_count)
        gate.set()
        self.assertEqual(await first, b"1")
        self.assertEqual(await second, b"2")
        waited = self.line("waited")
        self.assertEqual(waited["reason"], "all backend servers are full")
        self.assertEqual((waited["outcome"], waited["servers"]), ("placed", 1))
        self.assertEqual(self.message_types().count("ended"), 2)

    async def send_to_a_full_server(self):
        """Send a request that waits for a place, after one that has it."""
        self.platform_state.servers_by_id["a"] = server("a", slots=1)
        self.backend.answers = [FakeAnswer([asyncio.Event()])]
        first = asyncio.create_task(self.get().__aenter__())
        await self.wait_until(lambda: "placed" in self.message_types())
        second = asyncio.create_task(self.get().__aenter__())
        await self.wait_until(lambda: self.admission.waiting_count)
        return first, second

    async def test_wait_that_the_routers_stop_ended_was_logged_as_the_callers(self):
        # The caller is connected until it gets the refusal.
        first, second = await self.send_to_a_full_server()
        self.ingress.stop_schedule = StopSchedule.begin(self.now(), 8.0)
        self.ingress.end_requests(sent=False)
        async with await second as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(self.line("waited")["outcome"], "cancelled")
        self.assertEqual(self.line("refused")["reason"], "the router stops")
        first.cancel()

    async def test_wait_that_failed_was_logged_as_placed(self):
        # An unexpected error gives no place.
        first, second = await self.send_to_a_full_server()
        waiting = next(iter(self.admission._waiting.values()))
        waiting.future.set_exception(RuntimeError("unexpected"))
        async with await second as response:
            self.assertEqual(response.status, 500)
        self.assertEqual(self.line("waited")["outcome"], "failed")
        # The requests behind it could not be placed: KeyError.
        self.admission.place_waiting("engines")
        first.cancel()


class TraceTest(unittest.TestCase):
    def test_only_pauses_that_grow_beyond_the_allowed_are_logged(self):
        trace = RequestTrace(0.0)
        logged = [
            trace.should_log_pause(pause, 0.1) for pause in (0.05, 0.2, 0.3, 0.5, 0.9)
        ]
        self.assertEqual(logged, [False, True, False, True, False])

    def test_no_pause_is_logged_where_none_is_declared(self):
        self.assertFalse(RequestTrace(0.0).should_log_pause(9.0, 0.0))


class MetricsPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_metrics_are_refreshed_and_the_state_is_json(self):
        metrics = EntryMetrics()
        port = MetricsPort(
            metrics.registry,
            refresh=lambda: metrics.set_requests(active=3, waiting=1),
            snapshot=lambda: {"role": "entry", "peers": {1: ZoneName("z")}},
        )
        address = await port.start("127.0.0.1:0")
        self.addAsyncCleanup(port.stop)
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{address}/metrics") as response:
                text = await response.text()
            async with session.get(f"http://{address}/state") as response:
                state = await response.json()
        self.assertIn("bluebellshore_requests_active 3.0", text)
        self.assertEqual(state, {"role": "entry", "peers": {"1": "z"}})


if __name__ == "__main__":
    unittest.main()


class LeavingCallerTest(EntryCase):
    async def test_caller_that_leaves_between_two_writes_is_no_internal_error(self):
        async def serve(call, sink, trace):
            await sink.start(200, [], None)
            await sink.write(b"begin")
            sink._request.transport.abort()
            await sink.write(b"rest")

        self.ingress._serve = serve
        with self.assertNoLogs("aiohttp.server", "ERROR"):
            with self.assertRaises(aiohttp.ClientError):
                async with self.get() as response:
                    await response.read()
        self.assertEqual(self.line("ended")["outcome"], "left")
