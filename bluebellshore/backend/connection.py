"""A connection to a backend server, which carries one request at a time."""

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
from bluebellshore.traffic import TrafficCounter

__all__ = [
    "Connection",
    "ConnectionContext",
    "ConnectionState",
    "keep_alive_seconds",
    "open_connection",
]

#: Size of the buffer for one read from a socket.
READ_BYTES = 32 * 1024
#: Time after which the kernel drops a connection with unacknowledged data: well below
#: the time that callers wait, and enough for a few retransmissions within a region.
TCP_USER_TIMEOUT_MS = 1_500
#: A request of up to this size fits into the receive window that common servers have
#: before they begin to read. Linux applies ``TCP_USER_TIMEOUT`` to a closed window too:
#: a connection to a peer that didn't read was dropped after 1.8 s. So the timeout is
#: turned off for larger requests.
RECEIVE_WINDOW_BYTES = 8 * 1024
#: Share of a server's keep-alive timeout during which an idle connection may be reused;
#: the rest allows for network latency and clock differences.
KEEP_ALIVE_SHARE = 0.8
#: Keep-alive time where the server announces none; by default servers close idle
#: connections after 2 s or more.
DEFAULT_KEEP_ALIVE_SECONDS = 2.0
#: Attempts that a connection remembers, so that it carries none of them twice. A late
#: answer isn't expected after that many other requests.
MAX_RECENT_ATTEMPTS = 64
#: Errors which mean that the peer did not respond; others mean that it closed or reset
#: the connection.
UNRESPONSIVE_ERRNOS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN}
)
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*\"?([0-9]{1,6})", re.IGNORECASE)


class ConnectionState(Enum):
    """State of a connection."""

    #: No request is in progress.
    IDLE = "idle"
    #: A request was begun and its answer is not complete yet.
    BUSY = "busy"
    #: The answer is complete, but its reader has not finished with it.
    DONE = "done"
    CLOSED = "closed"


class ConnectionContext:
    """Settings, counters and the read buffer that all connections of a backend share.

    :param attempt_header: header with the id of the attempt that is answered.
    :param connect_timeout_seconds: longest time that opening a connection may take.
    :ivar counts: number of events since the start by name, for the state dump.
    :ivar traffic: bytes of requests and answers.
    """

    def __init__(self, attempt_header: str, connect_timeout_seconds: float):
        self.attempt_header = attempt_header
        self.connect_timeout_seconds = connect_timeout_seconds
        self.traffic = TrafficCounter()
        self.counts = dict.fromkeys(
            ("opened", "reused", "broken", "malformed", "late_answers", "extra_bytes"),
            0,
        )
        #: One buffer is enough: data is copied out before the loop's next read.
        self.read_buffer = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """A connection: :meth:`send_request`, :meth:`read_head`, then :meth:`read_body`.

    :param sock: connected socket, which the transport owns. It is used directly where
        the transport hides whether bytes were sent or received.
    :param peer: address of the backend server, for errors.
    :ivar reusable_until: time by the loop's clock until which the connection may be
        used for another request.
    :ivar failure: why the answer is incomplete; None if there was no failure.
    :ivar closed: done once the connection is closed.
    """

    def __init__(self, sock: socket.socket, peer: str, context: ConnectionContext):
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._peer = peer
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._reader: AnswerReader | None = None
        self._head_future: asyncio.Future[RawResponseMessage] | None = None
        self._recent_attempts: collections.deque[str] = collections.deque(
            maxlen=MAX_RECENT_ATTEMPTS
        )
        self._reuse_prevented = False
        self._user_timeout_lifted = False
        self._reading_paused = False
        self.connected = False
        self.state = ConnectionState.IDLE
        self.reusable_until = 0.0
        self.failure: AttemptError | None = None
        self.closed: asyncio.Future[None] = self._loop.create_future()

    # Called by the pool.

    @property
    def is_reusable(self) -> bool:
        """Whether the answer is complete and another request may follow."""
        return (
            self.state is ConnectionState.DONE
            and not self._reuse_prevented
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
            and self.reusable_until > self._loop.time()
        )

    def mark_idle(self) -> None:
        """Become idle after a complete answer."""
        self.state = ConnectionState.IDLE
        self._reader = self._head_future = None

    def is_usable(self) -> bool:
        """Return whether the connection is idle and open, with no unread data.

        The socket is checked directly, since the event loop may not have processed
        an EOF or data yet.
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
        """Return whether a late answer to `attempt_id` may still arrive here."""
        return attempt_id in self._recent_attempts

    @property
    def is_first_request(self) -> bool:
        """Whether the current request is the first one on this connection."""
        return len(self._recent_attempts) == 1

    def prevent_reuse(self) -> None:
        """Close the connection after the current request instead of reusing it."""
        self._reuse_prevented = True

    def close(self, reason: str = "closed") -> None:
        """Close at once and drop unread and unsent bytes.

        :param reason: text of the error that a request in progress gets.
        """
        if self.state is ConnectionState.BUSY:
            self._fail(reason)
        elif self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSED
            self._transport.abort()

    # Called for a request.

    def send_request(
        self, head: bytes, body: bytes, attempt_id: str, method: str
    ) -> None:
        """Send a request, or hand what doesn't fit the socket to the transport.

        :raises AttemptError: the connection broke and no byte of the request was sent.
        """
        self._lift_user_timeout_if_large(len(head) + len(body))
        try:
            if self._transport.is_closing():
                raise ConnectionResetError(errno.ECONNRESET, "closed before its use")
            sent = self._send_directly([head, body] if body else [head])
        except OSError as error:
            self.close()
            raise AttemptError(
                f"the connection broke before the request went out: {error}",
                step="backend.write",
                peer=self._peer,
                outcome=AttemptOutcome.NOT_SENT,
                reset=True,
            ) from error
        self._context.traffic.sent_bytes += len(head) + len(body)
        self._recent_attempts.append(attempt_id)
        self._reader = AnswerReader(
            self, self._context.attempt_header, attempt_id, has_body=method != "HEAD"
        )
        self._head_future = self._loop.create_future()
        self.state = ConnectionState.BUSY
        if sent < len(head):
            self._transport.write(head[sent:])
            sent = len(head)
        if sent < len(head) + len(body):
            self._transport.write(memoryview(body)[sent - len(head) :])

    async def read_head(self) -> RawResponseMessage:
        """Wait for the head of the answer.

        :raises AttemptError: the connection failed before the head arrived.
        """
        return await self._head_future

    async def read_body(self) -> bytes:
        """Return the next bytes of the answer's body, or ``b""`` at its end.

        :raises AttemptError: the connection failed before the end of the body.
        """
        data = await self._reader.payload.readany()
        if not data and self.failure is not None:
            raise self.failure
        return data

    def _send_directly(self, parts: list[bytes]) -> int:
        # The socket reports how many bytes were sent, the transport doesn't. The
        # transport's buffer is empty here, so bytes stay in order.
        try:
            return self._sock.sendmsg(parts)
        except BlockingIOError:
            return 0

    def _lift_user_timeout_if_large(self, size: int) -> None:
        if size <= RECEIVE_WINDOW_BYTES or self._user_timeout_lifted:
            return
        # It is never turned on again: bytes of this request may still be in the send
        # buffer when the next request begins.
        self._user_timeout_lifted = True
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        except OSError:
            # The socket is closed; sending will report that.
            return

    # asyncio.BufferedProtocol, called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self.connected = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._context.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; close the connection if no answer is expected."""
        self._context.traffic.received_bytes += nbytes
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is not ConnectionState.BUSY:
            self._close_on_extra_bytes()
            return
        reader = self._reader
        late_count = reader.late_count
        try:
            reader.feed(bytes(self._context.read_buffer[:nbytes]))
        except MalformedAnswerError as error:
            self._context.counts["malformed"] += 1
            self._fail(f"not an answer: {error}")
            return
        finally:
            self._context.counts["late_answers"] += reader.late_count - late_count
        self._apply_reader_state()
        if reader.has_extra_bytes:
            self._close_on_extra_bytes()

    def eof_received(self) -> bool:
        """Handle EOF from the peer.

        :return: False, so that the transport closes the connection.
        """
        if self.state is ConnectionState.BUSY:
            try:
                self._reader.feed_eof()
            except MalformedAnswerError as error:
                self._fail(str(error), reset=True)
            else:
                self._apply_reader_state()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if any."""
        self.connected = False
        if self.state is ConnectionState.BUSY:
            timed_out = getattr(exc, "errno", None) in UNRESPONSIVE_ERRNOS
            reason = f"the connection broke: {exc}"
            self._fail(reason, reset=not timed_out, timed_out=timed_out)
        self.state = ConnectionState.CLOSED
        self.closed.set_result(None)

    # FlowControl, called by aiohttp's StreamReader.

    def pause_reading(self) -> None:
        """Stop reading from the socket until the body has been consumed."""
        if self._reading_paused:
            return
        self._reading_paused = True
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading from the socket."""
        if not self._reading_paused:
            return
        self._reading_paused = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    # End of an answer.

    def _apply_reader_state(self) -> None:
        reader = self._reader
        if reader.message is not None and not self._head_future.done():
            self._head_future.set_result(reader.message)
        if reader.complete:
            self.state = ConnectionState.DONE
            message = reader.message
            seconds = (
                0.0 if message.should_close else keep_alive_seconds(message.headers)
            )
            self.reusable_until = self._loop.time() + seconds

    def _close_on_extra_bytes(self) -> None:
        if self.state is ConnectionState.CLOSED or self._reuse_prevented:
            return
        self._context.counts["extra_bytes"] += 1
        self._reuse_prevented = True
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
        if not self._head_future.done():
            self._head_future.set_exception(self.failure)
            # Marks the exception as retrieved: a cancelled caller never awaits it.
            self._head_future.exception()
        payload = self._reader.payload
        if payload is not None and not payload.is_eof():
            # EOF rather than set_exception(), which would discard buffered data;
            # read_body() raises the failure after that data.
            payload.feed_eof()
        self._transport.abort()


async def open_connection(
    host: str, port: int, context: ConnectionContext
) -> Connection:
    """Open a connection to a backend server.

    :raises AttemptError: the server refused the connection or did not respond in time.
    """
    loop = asyncio.get_running_loop()
    peer = f"{host}:{port}"
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        async with asyncio.timeout(context.connect_timeout_seconds):
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


def keep_alive_seconds(headers: Mapping[str, str]) -> float:
    """Return how long an idle connection may be reused after an answer.

    :param headers: headers of the answer.
    """
    found = _KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
    return int(found[1]) * KEEP_ALIVE_SHARE if found else DEFAULT_KEEP_ALIVE_SECONDS
