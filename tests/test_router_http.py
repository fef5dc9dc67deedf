"""Property tests of the caller port: any request is answered or refused with 4xx."""

import asyncio
import logging
import unittest
from unittest import mock

import msgspec
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from bluebellshore.duties.answers import StoredAnswer
from bluebellshore.ids import CustomerId
from bluebellshore.router.http import CallerPort
from bluebellshore.router.relay import StoredAnswerSource
from tests.system import CHAT, key_of, small_bundle

PROPERTY = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    suppress_health_check=list(HealthCheck),
)
BEARER = f"Bearer {key_of('acme')}"

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=8,
)
MESSAGES = st.just([{"role": "user", "content": "x"}])
CHATS = st.fixed_dictionaries(
    {"model": st.just(CHAT) | JSON, "messages": MESSAGES | JSON},
    optional={
        name: JSON
        for name in (
            "stream",
            "max_tokens",
            "max_completion_tokens",
            "n",
            "stream_options",
            "seed",
            "resume_text",
        )
    },
)
BODIES = st.binary(max_size=40) | CHATS | CHATS
VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20)
HEADERS = st.fixed_dictionaries(
    {"Authorization": st.just(BEARER) | st.just(BEARER) | VALUES},
    optional={
        name: VALUES
        for name in (
            "Idempotency-Key",
            "Last-Event-ID",
            "Prefer",
            "Content-Type",
            "Accept-Language",
            "Expect",
        )
    }
    | {"Content-Encoding": st.sampled_from(("gzip", "deflate", "br", "odd"))},
)
PATHS = st.sampled_from(
    (
        "/v1/chat/completions",
        "/v1/chat/completions",
        "/v1/services/stock/a%2Fb%0d%0aX:%20y?x=%00",
        "/v1/services/stock",
        "/v1/services//..%2f../orders",
        "/v1/services/orders/%ff%fe",
        "/v1/jobs/%2e%2e",
        "/v1/models",
        "/v1/budget",
        "/nothing",
    )
)
METHODS = st.sampled_from(("POST", "POST", "GET", "PUT", "FOO", "HEAD"))


class FakeKeeper:
    current = small_bundle()

    def customer_for_key(self, bearer):
        return CustomerId("acme") if bearer == key_of("acme") else None


class FakeDispatcher:
    async def open(self, call):
        version = FakeKeeper.current.versions[call.route.version]
        call.body_for(version, "so far")
        msgspec.msgpack.encode([call.path, call.headers, call.fingerprint])
        return StoredAnswerSource(StoredAnswer(200, [], b"data: [DONE]\n\n"))


class FakeJobs:
    async def submit(self, job):
        msgspec.json.encode(job)
        return "1"

    async def fetch(self, job_id, customer):
        return None


class FakeBudgets:
    async def balance(self, customer):
        return {}


class CancelledAnswer:
    """Answer whose source is cancelled by another task after its first part."""

    status, headers = 200, ()

    async def __aiter__(self):
        yield b"data: 1\n\n"
        raise asyncio.CancelledError

    def close(self):
        pass


class CallerPortTestCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.port = CallerPort(
            listen="127.0.0.1:0",
            incarnation="router.1",
            keeper=FakeKeeper(),
            dispatcher=FakeDispatcher(),
            jobs=FakeJobs(),
            budgets=FakeBudgets(),
            max_body_bytes=1000,
            max_streams=10,
            increment=lambda name: None,
        )
        self.address = self.runner.run(self.port.start())
        self.addCleanup(lambda: self.runner.run(self.port.stop(0.0)))

    async def exchange(self, data, *, half_close):
        """Send `data` on a new connection.

        :param half_close: close the sending side afterwards, which cancels a request in
            progress.
        :return: the response; empty if there was none.
        """
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        if half_close:
            writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    def request(self, method, path, headers, body):
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body) if is_encodable(body) else b"{}"
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        data = "\r\n".join(lines).encode("latin-1") + body
        return self.runner.run(self.exchange(data, half_close=False))


class CallerPortPropertyTest(CallerPortTestCase):
    def check_request(self, method, path, headers, body):
        status = status_of(self.request(method, path, headers, body))
        self.assertTrue(status in (200, 202) or 400 <= status < 500, status)
        return status

    @PROPERTY
    @given(METHODS, PATHS, HEADERS, BODIES)
    @example("POST", "/v1/chat/completions", {"Authorization": BEARER}, b"[" * 900)
    def test_any_request(self, method, path, headers, body):
        self.check_request(method, path, headers, body)

    @PROPERTY
    @given(BODIES)
    def test_any_body(self, body):
        headers = {"Authorization": BEARER}
        self.check_request("POST", "/v1/chat/completions", headers, body)

    @PROPERTY
    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        answer = self.runner.run(self.exchange(data + b"\r\n\r\n", half_close=True))
        status = status_of(answer)
        self.assertTrue(status == 0 or 400 <= status < 500, status)

    def test_good_request_passes(self):
        body = {"model": CHAT, "messages": [{"role": "user", "content": "x"}]}
        path = "/v1/chat/completions"
        self.assertEqual(
            self.check_request("POST", path, {"Authorization": BEARER}, body), 200
        )


class CancelledCallTest(CallerPortTestCase):
    def answer(self, result, **options):
        opened = mock.AsyncMock(side_effect=[result])
        self.enterContext(mock.patch.object(FakeDispatcher, "open", opened))
        message = {"role": "user", "content": "x"}
        body = {"model": CHAT, "messages": [message]} | options
        headers = {"Authorization": BEARER}
        return self.request("POST", "/v1/chat/completions", headers, body)

    def test_cancelled_call_is_neither_answered_nor_refused(self):
        # It was taken for a caller that left, and the connection was closed.
        self.assertEqual(500, status_of(self.answer(asyncio.CancelledError())))

    def test_cancelled_answer_is_closed_without_a_response(self):
        self.assertEqual(500, status_of(self.answer(CancelledAnswer())))

    def test_cancelled_stream_is_cut_without_an_error(self):
        answer = self.answer(CancelledAnswer(), stream=True)
        self.assertEqual(200, status_of(answer))
        self.assertIn(b"data: 1", answer)
        self.assertIn(b"internal error", answer)


def status_of(answer):
    """Return the status of a response, 0 if it is empty."""
    return int(answer.split(b" ", 2)[1]) if answer else 0


def is_encodable(value):
    """Return whether `value` can be encoded as JSON."""
    try:
        msgspec.json.encode(value)
    except (OverflowError, ValueError):
        return False
    return True


if __name__ == "__main__":
    unittest.main()
