"""One connection to a backend server, which carries one request at a time."""

import asyncio
import collections
import errno
import re
import socket
from collections.abc import Mapping
from enum import Enum

from aiohttp.http_parser import RawResponseMessage

from bluebellshore.backend.answer import AttemptError, AttemptOutcome
from bluebellshore.backend.answer_reader import AnswerReader, MalformedAnswerError

__all__ = [
    "Connection",
    "ConnectionContext",
    "ConnectionState",
    "keep_seconds",
    "open_connection",
]

#: Bytes that one read takes from a socket.
READ_BYTES = 32 * 1024
#: Time after which unacknowledged bytes break a connection: well below the time that
#: callers wait, above a few retransmissions within a region.
USER_TIMEOUT_MS = 1_500
#: A request up to this size fits into the receive window of a server that doesn't
#: read yet, as common servers set it. Linux applies the limit above to a closed window
#: too, so beyond it the limit is lifted (in a trial with a peer that didn't read the
#: connection broke after 1.8 s).
WINDOW_BYTES = 8 * 1024
#: Share of the time for which a server keeps an idle connection in which it may still
#: be used; the rest is for the way and for clocks.
KEEP_SHARE = 0.8
#: Time for which a connection is kept whose server names none: a few seconds, as
#: servers close after 2 s or more by default.
DEFAULT_KEEP_SECONDS = 2.0
#: Attempts that a connection remembers so as not to carry one of them twice; an
#: answer that comes later than that many others isn't expected.
REMEMBERED_ATTEMPTS = 64
#: Errors that say that no sign came from the peer; others mean that it ended.
SILENCE_ERRNOS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN}
)
_KEEP_TIMEOUT = re.compile(r"\btimeout\s*=\s*\"?([0-9]{1,6})", re.IGNORECASE)


class ConnectionState(Enum):
    """What a connection does."""

    #: Carries nothing.
    IDLE = "idle"
    #: A request was begun and its answer is not whole yet.
    BUSY = "busy"
    #: The answer has come whole, its reader is not through with it.
    DONE = "done"
    CLOSED = "closed"


class ConnectionContext:
    """What the connections of one backend share.

    :ivar counts: events since the start by name, for the state dump.
    :param attempt_header: header that carries the id of the attempt that is answered.
    :param connect_seconds: longest time that opening a connection may take.
    """

    def __init__(self, attempt_header: str, connect_seconds: float):
        self.attempt_header = attempt_header
        self.connect_seconds = connect_seconds
        self.counts = dict.fromkeys(
            ("opened", "reused", "broken", "malformed", "late_answers", "extra_bytes"),
            0,
        )
        #: One for all: a read is copied out before the loop begins the next.
        self.read_buffer = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """One connection; :meth:`start` sends a request, :meth:`head` awaits its answer.

    :ivar keep_until: time of the loop's clock until which it may be used again.
    :ivar failure: why the answer isn't whole; None while nothing is wrong.
    :ivar lost: is done once the connection is closed.
    :param sock: connected; owned by the transport.
    """

    def __init__(self, sock: socket.socket, peer: str, context: ConnectionContext):
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._peer = peer
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._reader: AnswerReader | None = None
        self._head: asyncio.Future[RawResponseMessage] | None = None
        self._attempts: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_ATTEMPTS
        )
        self._tainted = False
        self._patient = False
        self._reading_paused = False
        self.connected = False
        self.state = ConnectionState.IDLE
        self.keep_until = 0.0
        self.failure: AttemptError | None = None
        self.lost: asyncio.Future[None] = self._loop.create_future()

    # What the pool asks.

    @property
    def reusable(self) -> bool:
        """Whether the answer came whole and the connection may carry another one."""
        return (
            self.state is ConnectionState.DONE
            and not self._tainted
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
            and self.keep_until > self._loop.time()
        )

    def rest(self) -> None:
        """Go idle after an answer that has come whole."""
        self.state = ConnectionState.IDLE
        self._reader = self._head = None

    def is_quiet(self) -> bool:
        """Return whether an idle connection is open and nothing has come on it.

        Looks at the socket itself: the loop may not have got to it yet.
        """
        if self.state is not ConnectionState.IDLE or self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def has_carried(self, attempt_id: str) -> bool:
        """Return whether an answer to `attempt_id` may still come on it."""
        return attempt_id in self._attempts

    @property
    def is_first(self) -> bool:
        """Whether it has carried no other request than the present one."""
        return len(self._attempts) == 1

    def taint(self) -> None:
        """Let it carry no further request."""
        self._tainted = True

    def close(self, reason: str = "closed") -> None:
        """Close at once; unread and unsent bytes are dropped."""
        if self.state is ConnectionState.BUSY:
            self._fail(reason)
        elif self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSED
            self._transport.abort()

    # What a request does.

    def start(self, head: bytes, body: bytes, attempt_id: str, method: str) -> None:
        """Send a request.

        :raises AttemptError: no byte of it went out.
        """
        self._await_slow_reader(len(head) + len(body))
        try:
            if self._transport.is_closing():
                raise ConnectionResetError(errno.ECONNRESET, "closed before its use")
            sent = self._send_some([head, body] if body else [head])
        except OSError as error:
            self.close()
            raise AttemptError(
                f"the connection broke before the request went out: {error}",
                step="backend.write",
                peer=self._peer,
                outcome=AttemptOutcome.NOT_SENT,
                reset=True,
            ) from error
        self._attempts.append(attempt_id)
        self._reader = AnswerReader(
            self, self._context.attempt_header, attempt_id, has_body=method != "HEAD"
        )
        self._head = self._loop.create_future()
        self.state = ConnectionState.BUSY
        if sent < len(head):
            self._transport.write(head[sent:])
            sent = len(head)
        if sent < len(head) + len(body):
            self._transport.write(memoryview(body)[sent - len(head) :])

    async def head(self) -> RawResponseMessage:
        """Return the head of the answer to the request.

        :raises AttemptError: none came.
        """
        return await self._head

    async def read(self) -> bytes:
        """Return the next bytes of the answer's body, none at its end.

        :raises AttemptError: the body broke off.
        """
        data = await self._reader.payload.readany()
        if not data and self.failure is not None:
            raise self.failure
        return data

    def _send_some(self, parts: list[bytes]) -> int:
        # Past the transport, since only the socket tells whether anything went out.
        # The transport's buffer is empty here, so the order is kept.
        try:
            return self._sock.sendmsg(parts)
        except BlockingIOError:
            return 0

    def _await_slow_reader(self, size: int) -> None:
        if size <= WINDOW_BYTES or self._patient:
            return
        # For good: bytes may wait in the socket when the next request begins.
        self._patient = True
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        except OSError:
            # It is closed; sending says so.
            return

    # What the loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self.connected = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next read goes."""
        return self._context.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes of answers; bytes that belong to none close the connection."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is not ConnectionState.BUSY:
            self._take_extra()
            return
        reader = self._reader
        late = reader.late
        try:
            reader.feed(bytes(self._context.read_buffer[:nbytes]))
        except MalformedAnswerError as error:
            self._context.counts["malformed"] += 1
            self._fail(f"not an answer: {error}")
            return
        finally:
            self._context.counts["late_answers"] += reader.late - late
        self._note_progress()
        if reader.extra:
            self._take_extra()

    def eof_received(self) -> bool:
        """Take the end of the peer's side. :return: False, which closes ours."""
        if self.state is ConnectionState.BUSY:
            try:
                self._reader.end()
            except MalformedAnswerError as error:
                self._fail(str(error), reset=True)
            else:
                self._note_progress()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an answer that isn't whole."""
        self.connected = False
        if self.state is ConnectionState.BUSY:
            timed_out = getattr(exc, "errno", None) in SILENCE_ERRNOS
            reason = f"the connection broke: {exc}"
            self._fail(reason, reset=not timed_out, timed_out=timed_out)
        self.state = ConnectionState.CLOSED
        self.lost.set_result(None)

    # What aiohttp's reader calls.

    def pause_reading(self) -> None:
        """Stop reading from the socket: enough of a body is unread."""
        if self._reading_paused:
            return
        self._reading_paused = True
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on."""
        if not self._reading_paused:
            return
        self._reading_paused = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    # Ends of answers.

    def _note_progress(self) -> None:
        reader = self._reader
        if reader.message is not None and not self._head.done():
            self._head.set_result(reader.message)
        if reader.whole:
            self.state = ConnectionState.DONE
            message = reader.message
            seconds = 0.0 if message.should_close else keep_seconds(message.headers)
            self.keep_until = self._loop.time() + seconds

    def _take_extra(self) -> None:
        if self.state is ConnectionState.CLOSED or self._tainted:
            return
        self._context.counts["extra_bytes"] += 1
        self._tainted = True
        self._transport.abort()

    def _fail(
        self, reason: str, *, reset: bool = False, timed_out: bool = False
    ) -> None:
        if reset or timed_out:
            self._context.counts["broken"] += 1
        self.state = ConnectionState.CLOSED
        self.failure = AttemptError(
            reason,
            step="backend.read",
            peer=self._peer,
            outcome=AttemptOutcome.UNKNOWN,
            reset=reset,
            timed_out=timed_out,
        )
        if not self._head.done():
            self._head.set_exception(self.failure)
            # Marks it as seen: a caller that has left doesn't ask for it.
            self._head.exception()
        payload = self._reader.payload
        if payload is not None and not payload.is_eof():
            # Not by an exception in the reader, which would drop what it holds.
            payload.feed_eof()
        self._transport.abort()


async def open_connection(
    host: str, port: int, context: ConnectionContext
) -> Connection:
    """Connect to a backend server.

    :raises AttemptError: there is no connection.
    """
    loop = asyncio.get_running_loop()
    peer = f"{host}:{port}"
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        async with asyncio.timeout(context.connect_seconds):
            await loop.sock_connect(sock, (host, port))
            _, connection = await loop.create_connection(
                lambda: Connection(sock, peer, context), sock=sock
            )
    except OSError as error:
        sock.close()
        raise AttemptError(
            f"no connection: {error!r}",
            step="backend.connect",
            peer=peer,
            outcome=AttemptOutcome.NOT_SENT,
            timed_out=isinstance(error, TimeoutError),
        ) from error
    except BaseException:
        sock.close()
        raise
    context.counts["opened"] += 1
    return connection


def keep_seconds(headers: Mapping[str, str]) -> float:
    """Return for how long a connection may be kept after an answer."""
    found = _KEEP_TIMEOUT.search(headers.get("Keep-Alive", ""))
    return int(found[1]) * KEEP_SHARE if found else DEFAULT_KEEP_SECONDS
