"""Caller of the fleet, as a customer's program would be written."""

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import aiohttp
import msgspec

from bluebellshore.load.events import ServerEvent, read_events
from bluebellshore.load.results import (
    Call,
    CallKind,
    CallOutcome,
    CallResult,
    ReadPace,
    RetryPolicy,
)
from bluebellshore.standin.generation import ChatRequest, Message, expected_text
from bluebellshore.standin.service import expected_answer

__all__ = [
    "CallRequest",
    "Caller",
    "Problem",
    "caller_session",
    "expected_answer_of",
    "request_of",
]

SERVICES_PATH = "/v1/services/"
JSON_HEADERS = {"Content-Type": "application/json"}

DONE_MARK = "[DONE]"
JOB_POLL_SECONDS = 0.1
#: The rest of an answer is not held any more; a new one can be had.
GONE_STATUS = 410
RETRIED_STATUSES = frozenset({409, GONE_STATUS, 425, 429, 500, 502, 503, 504})


@asynccontextmanager
async def caller_session(
    receive_buffer_bytes: int = 0,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Give an HTTP session without a limit on connections.

    :param receive_buffer_bytes: size of the sockets' receive buffers, so that a slow
        reader is felt by the router; 0 for the system's own.
    """

    def make_socket(address: tuple) -> socket.socket:
        family, kind, protocol, *_ = address
        made = socket.socket(family, kind, protocol)
        if receive_buffer_bytes:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        return made

    connector = aiohttp.TCPConnector(limit=0, socket_factory=make_socket)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


class Problem(msgspec.Struct):
    """Problem document of a refusal (RFC 9457)."""

    title: str = ""
    detail: str = ""
    status: int = 0
    run: str = "unknown"


class CallRequest(msgspec.Struct, frozen=True):
    """HTTP request of a call."""

    method: str
    path: str
    body: bytes = b""


class ChatBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a chat request."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    message: _Delta | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Completion(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Cut(Exception):
    """A try ended without a whole answer or a refusal."""


class Caller:
    """A customer's caller, which retries with the same idempotency key.

    :param urls: base URLs of the routers, taken in turn; a change is followed.
    :param bearer: key of the customer.
    :param rng: source of retry delays' jitter.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: Sequence[str],
        bearer: str,
        *,
        customer: str = "",
        retry: RetryPolicy | None = None,
        pace: ReadPace | None = None,
        rng: random.Random | None = None,
    ):
        self.session = session
        self.urls = urls
        self.customer = customer
        self.retry = retry or RetryPolicy()
        self.pace = pace or ReadPace()
        self._bearer = bearer
        self._rng = rng or random.Random(1)
        self._turn = self._rng.randrange(1_000_000)

    async def call(self, call: Call) -> CallResult:
        """Make a call, with retries. :return: what the caller knows at the end."""
        result = CallResult(
            call,
            self.customer,
            time.monotonic(),
            slow=self.pace.pause_seconds > 0,
            token_times=[],
        )
        trial = _Trial(result)
        while True:
            again = await self._try_once(trial)
            result.attempts += 1
            if not again or result.attempts >= self.retry.attempts:
                break
            await asyncio.sleep(self._delay_seconds(result.attempts))
        result.finished = time.monotonic()
        _check_content(result)
        return result

    async def budget(self) -> dict[str, object]:
        """Fetch the customer's budget as the fleet shows it."""
        url = f"{self._next_url()}/v1/budget"
        async with self.session.get(url, headers=self._headers("")) as response:
            response.raise_for_status()
            return await response.json()

    async def _try_once(self, trial: "_Trial") -> bool:
        """Make one try. :return: whether another may help."""
        result = trial.result
        try:
            async with asyncio.timeout(self.retry.attempt_seconds):
                return await self._request(trial)
        except (aiohttp.ClientError, OSError, TimeoutError, _Cut) as error:
            result.outcome = CallOutcome.CUT
            result.cut_tries += 1
            result.reason = f"{type(error).__name__}: {error}"
            return True

    async def _request(self, trial: "_Trial") -> bool:
        call = trial.result.call
        base = self._next_url()
        request = request_of(call)
        async with self.session.request(
            request.method,
            base + request.path,
            data=request.body or None,
            headers=JSON_HEADERS | self._headers(call.key) | trial.headers(),
            timeout=aiohttp.ClientTimeout(total=None),
            read_bufsize=self.pace.chunk_bytes,
        ) as response:
            trial.result.status = response.status
            if response.status == GONE_STATUS:
                trial.begin_again()
            if response.status >= 400:
                return await _take_refusal(response, trial.result)
            if response.status == 202:
                return await self._poll_job(response, trial)
            if response.content_type == "text/event-stream":
                await trial.read_stream(read_events(self._chunks(response)))
            else:
                trial.take_body(await response.read())
        trial.result.outcome = CallOutcome.WHOLE
        return False

    async def _poll_job(
        self, accepted: aiohttp.ClientResponse, trial: "_Trial"
    ) -> bool:
        path = accepted.headers["Location"]
        end = time.monotonic() + self.retry.job_seconds
        while time.monotonic() < end:
            await asyncio.sleep(JOB_POLL_SECONDS)
            try:
                done = await self._fetch_job(path, trial)
            except (aiohttp.ClientError, OSError):
                continue
            if done is not None:
                return done
        trial.result.outcome = CallOutcome.WAITING
        return False

    async def _fetch_job(self, path: str, trial: "_Trial") -> bool | None:
        """Ask for a job's answer. :return: None while there is none."""
        url = self._next_url() + path
        async with self.session.get(url, headers=self._headers("")) as response:
            if response.status in (202, 429, 500, 502, 503, 504):
                return None
            trial.result.status = response.status
            if response.status >= 400:
                return await _take_refusal(response, trial.result)
            trial.take_body(await response.read())
        trial.result.outcome = CallOutcome.WHOLE
        return False

    async def _chunks(self, response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        while chunk := await response.content.read(self.pace.chunk_bytes):
            yield chunk
            if self.pace.pause_seconds:
                await asyncio.sleep(self.pace.pause_seconds)

    def _next_url(self) -> str:
        self._turn += 1
        return self.urls[self._turn % len(self.urls)]

    def _headers(self, key: str) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._bearer}"}
        if key:
            headers["Idempotency-Key"] = key
        return headers

    def _delay_seconds(self, attempts: int) -> float:
        delay = self.retry.delay_seconds * 2 ** (attempts - 1)
        return min(delay, self.retry.max_delay_seconds) * self._rng.uniform(0.5, 1.0)


class _Trial:
    """What a call has received over all of its tries."""

    def __init__(self, result: CallResult):
        self.result = result
        self._pieces: list[str] = []
        self._last_id = ""

    def headers(self) -> dict[str, str]:
        """Return the headers of the next try beyond the common ones."""
        headers = {}
        if self.result.call.kind is CallKind.DEFERRED:
            headers["Prefer"] = "respond-async"
        if self._last_id:
            headers["Last-Event-ID"] = self._last_id
        else:
            self._pieces.clear()
        return headers

    def begin_again(self) -> None:
        """Have the next try ask for the answer from its begin."""
        self._last_id = ""

    async def read_stream(self, events: AsyncIterator[ServerEvent]) -> None:
        """Read a stream to its mark of completeness."""
        async for event in events:
            self._last_id = event.event_id or self._last_id
            if event.event == "error":
                raise _Cut(event.data)
            if event.data == DONE_MARK:
                self.result.text = "".join(self._pieces)
                return
            self._take_completion(event.data.encode())
        raise _Cut("stream ended without its mark")

    def take_body(self, body: bytes) -> None:
        """Take an answer that came in one piece."""
        self._pieces.clear()
        if self.result.call.kind in (CallKind.ORDER, CallKind.STOCK):
            self.result.text = body.decode()
            return
        self._take_completion(body)
        self.result.text = "".join(self._pieces)

    def _take_completion(self, data: bytes) -> None:
        try:
            completion = msgspec.json.decode(data, type=_Completion)
        except msgspec.DecodeError as error:
            raise _Cut(f"not a completion: {error}") from error
        for choice in completion.choices:
            piece = choice.delta or choice.message
            if piece is not None and piece.content:
                self._pieces.append(piece.content)
                self.result.token_times.append(time.monotonic())
        usage = completion.usage
        if usage is not None:
            self.result.usage_tokens = usage.prompt_tokens + usage.completion_tokens


def request_of(call: Call) -> CallRequest:
    """Return the request that makes a call."""
    service = f"{SERVICES_PATH}{call.route}"
    if call.kind is CallKind.ORDER:
        body = msgspec.json.encode({"order_id": call.key, "item": call.text})
        return CallRequest("POST", f"{service}/orders", body)
    if call.kind is CallKind.STOCK:
        return CallRequest("GET", f"{service}/stock/{call.text}")
    chat = ChatBody(
        model=call.route,
        messages=[Message("user", call.text)],
        stream=call.stream and call.kind is CallKind.CHAT,
        max_tokens=call.max_tokens,
    )
    return CallRequest("POST", "/v1/chat/completions", msgspec.json.encode(chat))


def expected_answer_of(call: Call, model: str) -> str:
    """Return the text with which the stand-ins answer a call.

    :param model: model of the backend server version that serves the call's route.
    """
    request = request_of(call)
    if call.kind in (CallKind.ORDER, CallKind.STOCK):
        path = request.path.removeprefix(f"{SERVICES_PATH}{call.route}")
        return expected_answer(request.method, path, request.body).decode()
    messages = [Message("user", call.text)]
    return expected_text(ChatRequest(model, messages, max_tokens=call.max_tokens))


async def _take_refusal(response: aiohttp.ClientResponse, result: CallResult) -> bool:
    """Note a refusal. :return: whether another try may help."""
    try:
        problem = msgspec.json.decode(await response.read(), type=Problem)
    except msgspec.DecodeError:
        problem = Problem(title="no problem document")
    not_run = problem.run == CallOutcome.NOT_RUN.value
    result.outcome = CallOutcome.NOT_RUN if not_run else CallOutcome.UNKNOWN
    result.reason = problem.detail or problem.title
    return response.status in RETRIED_STATUSES


def _check_content(result: CallResult) -> None:
    """Mark a whole answer that is not the expected one."""
    expected = result.call.expected
    if result.outcome is CallOutcome.WHOLE and expected is not None:
        if result.text != expected:
            result.outcome = CallOutcome.WRONG
