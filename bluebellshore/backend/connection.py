"""One connection to a backend server, which carries one request at a time."""

import asyncio
import collections
import errno
import re
import socket
from enum import Enum

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from bluebellshore.backend.answer import AttemptError, BackendRequest, Outcome
from bluebellshore.backend.encoding import encode_head

__all__ = ["Connection", "ConnectionState", "Counts", "open_connection"]

#: Half of the bytes of a body that are held unread; aiohttp stops reading at twice
#: its limit.
READ_LIMIT_BYTES = 32 * 1024
#: Longest head of an answer; as long as the usual servers' limit for requests' heads.
MAX_HEAD_BYTES = 32 * 1024
#: Time after which unacknowledged bytes break a connection: well below the time
#: callers wait, above a few retransmissions within a region.
USER_TIMEOUT_MS = 1_500
#: Share of the time for which a server keeps an idle connection in which it may still
#: be used; the rest is for the way and for clocks.
KEEP_SHARE = 0.8
#: Time for which a connection is kept whose server names none.
DEFAULT_KEEP_SECONDS = 2.0
#: Attempts that a connection remembers, so that it doesn't carry one of them twice.
REMEMBERED_ATTEMPTS = 64
_HEAD_END = b"\r\n\r\n"
_KEEP_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?(\d+)", re.IGNORECASE)
#: Fed to the parser after an answer: comes back whole if nothing was left in it.
_PROBE_STATUS = 299
_PROBE = b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % _PROBE_STATUS
_SWITCHING_PROTOCOLS = 101


class ConnectionState(Enum):
    """What a connection does."""

    #: Carries nothing.
    IDLE = "idle"
    #: A request was begun and its answer is not whole yet.
    BUSY = "busy"
    #: The answer has come whole, its reader is not through with it.
    DONE = "done"
    CLOSED = "closed"


class Counts:
    """What the connections of a process met with, for the state dump."""

    def __init__(self) -> None:
        self.opened = 0
        self.reused = 0
        self.late_answers = 0
        self.extra_bytes = 0
        self.malformed = 0
        self.broken = 0


class Connection(asyncio.Protocol):
    """One connection; :meth:`start` sends a request, :meth:`head` awaits its answer.

    :ivar keep_until: time of the loop's clock until which it may be used again.
    :ivar payload: body of the answer, None before its head has come.
    :ivar failure: why the answer isn't whole; None while nothing is wrong.
    :ivar lost: is done once the connection is closed.
    :param sock: connected; owned by the transport.
    :param attempt_header: header that carries the id of the attempt that is answered.
    """

    def __init__(
        self, sock: socket.socket, peer: str, attempt_header: str, counts: Counts
    ):
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._peer = peer
        self._attempt_header = attempt_header
        self._counts = counts
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._head_bytes = bytearray()
        self._head: asyncio.Future[RawResponseMessage] | None = None
        self._current: StreamReader | None = None
        self._attempts: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_ATTEMPTS
        )
        self._dirty = False
        self._reading_paused = False
        self.connected = False
        self.state = ConnectionState.IDLE
        self.keep_until = 0.0
        self.keep_seconds = DEFAULT_KEEP_SECONDS
        self.payload: StreamReader | None = None
        self.failure: AttemptError | None = None
        self.lost: asyncio.Future[None] = self._loop.create_future()

    # What the pool asks.

    @property
    def reusable(self) -> bool:
        """Whether the answer came whole and the connection may carry another one."""
        return (
            self.state is ConnectionState.DONE
            and not self._dirty
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
            and self.keep_until > self._loop.time()
        )

    def rest(self) -> None:
        """Go idle after an answer that has come whole."""
        self.state = ConnectionState.IDLE
        self._parser = self.payload = self._current = self._head = None

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
    def first(self) -> bool:
        """Whether it has carried no other request than the present one."""
        return len(self._attempts) <= 1

    def close(self, reason: str = "closed") -> None:
        """Close at once; unread and unsent bytes are dropped."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.BUSY:
            self._fail(reason)
        self.state = ConnectionState.CLOSED
        if self._transport is not None:
            self._transport.abort()

    # What a request does.

    def start(self, request: BackendRequest) -> None:
        """Send `request`.

        :raises AttemptError: no byte of it went out.
        """
        head = encode_head(request, self._peer)
        body = request.body
        try:
            if self._transport is None or self._transport.is_closing():
                raise ConnectionResetError(errno.ECONNRESET, "closed before use")
            sent = self._send_some([head, body] if body else [head])
        except OSError as error:
            self.close()
            raise AttemptError(
                f"the connection broke before the request went out: {error}",
                step="backend.write",
                peer=self._peer,
                outcome=Outcome.NOT_SENT,
                reset=True,
            ) from error
        self._attempts.append(request.attempt_id)
        self._attempt_id = request.attempt_id
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_LIMIT_BYTES,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self._head_bytes.clear()
        self._head = self._loop.create_future()
        self.failure = None
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

    def _send_some(self, parts: list[bytes]) -> int:
        # Past the transport, since only the socket tells whether anything went out.
        # The transport's buffer is empty here, so the order is kept.
        try:
            return self._sock.sendmsg(parts)
        except BlockingIOError:
            return 0

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self.connected = True

    def data_received(self, data: bytes) -> None:
        """Take bytes of answers; bytes that belong to none close the connection."""
        if self.state is ConnectionState.BUSY:
            self._parse(data)
        elif self.state is not ConnectionState.CLOSED:
            self._take_extra()

    def eof_received(self) -> bool:
        """Take the end of the peer's side. :return: False, which closes ours."""
        self._dirty = True
        if self.state is ConnectionState.BUSY:
            if self.payload is None:
                self._fail("closed before the head of the answer", reset=True)
                return False
            try:
                self._parser.feed_eof()
            except HttpProcessingError as error:
                self._fail(f"closed before the end of the answer: {error}", reset=True)
            except Exception as error:
                self._fail(f"closed before the end of the answer: {error}", reset=True)
            else:
                self.state = ConnectionState.DONE
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is not whole."""
        self.connected = False
        if self.state is ConnectionState.BUSY:
            timed_out = isinstance(exc, TimeoutError)
            self._fail(
                f"the connection broke: {exc}",
                reset=not timed_out,
                timed_out=timed_out,
            )
        self.state = ConnectionState.CLOSED
        if not self.lost.done():
            self.lost.set_result(None)

    # What aiohttp's StreamReader calls.

    def pause_reading(self) -> None:
        """Stop reading: enough of a body is unread."""
        self._reading_paused = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on."""
        if not self._reading_paused:
            return
        self._reading_paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # Parsing.

    def _parse(self, data: bytes) -> None:
        try:
            while data and self.state is ConnectionState.BUSY:
                data = self._parse_some(data)
        except Exception as error:
            # Whatever a parser raises on bytes from outside is their fault.
            if self.payload is not None and self.payload.is_eof():
                self._finish(extra=True)
                return
            self._counts.malformed += 1
            self._fail(f"not an answer: {_first_line(error)}")
            return
        if self.state is ConnectionState.DONE and data:
            self._take_extra()

    def _parse_some(self, data: bytes) -> bytes:
        """Parse a head or a piece of a body. :return: what is left."""
        if self._current is None:
            self._head_bytes += data
            end = self._head_bytes.find(_HEAD_END)
            if end < 0:
                if len(self._head_bytes) > MAX_HEAD_BYTES:
                    raise ValueError("head too long")
                return b""
            # The parser drops the heads of data in which it finds a fault.
            end += len(_HEAD_END)
            head, data = bytes(self._head_bytes[:end]), bytes(self._head_bytes[end:])
            self._head_bytes.clear()
            messages, _, _ = self._parser.feed_data(head)
            if len(messages) != 1:
                raise ValueError("malformed head")
        else:
            messages, _, _ = self._parser.feed_data(data)
            data = b""
        self._advance()
        for message, payload in messages:
            if self.state is ConnectionState.DONE:
                self._dirty = True
                break
            self._begin(message, payload)
        return data

    def _begin(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Take the head of an answer."""
        if message.code == _SWITCHING_PROTOCOLS or message.code < 100:
            raise ValueError(f"status {message.code}")
        self._current = payload
        if message.code >= 200:
            found = message.headers.getall(self._attempt_header, [])
            if not found or found == [self._attempt_id]:
                self.payload = payload
                self._note_keeping(message)
                if not self._head.done():
                    self._head.set_result(message)
            else:
                self._counts.late_answers += 1
                if message.should_close:
                    raise ValueError("closed after an answer to another request")
        self._advance()

    def _advance(self) -> None:
        """Go on where the present answer is whole; drop what belongs to another."""
        current = self._current
        if current is None:
            return
        if current is not self.payload:
            current.read_nowait()
        if not current.is_eof():
            return
        if current is self.payload:
            self._finish(extra=self._has_rest())
        else:
            self._current = None

    def _finish(self, *, extra: bool) -> None:
        self.state = ConnectionState.DONE
        self.keep_until = self._loop.time() + self.keep_seconds
        if extra:
            self._take_extra()

    def _has_rest(self) -> bool:
        if self.keep_seconds <= 0:
            return False
        try:
            messages, _, _ = self._parser.feed_data(_PROBE)
        except Exception:
            return True
        return len(messages) != 1 or messages[0][0].code != _PROBE_STATUS

    def _take_extra(self) -> None:
        self._counts.extra_bytes += 1
        self._dirty = True
        if self._transport is not None:
            self._transport.abort()

    def _note_keeping(self, message: RawResponseMessage) -> None:
        if message.should_close:
            self.keep_seconds = 0.0
            return
        found = _KEEP_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        if found:
            self.keep_seconds = int(found[1]) * KEEP_SHARE
        else:
            self.keep_seconds = DEFAULT_KEEP_SECONDS

    def _fail(
        self, reason: str, *, reset: bool = False, timed_out: bool = False
    ) -> None:
        self.failure = AttemptError(
            reason,
            step="backend.read",
            peer=self._peer,
            outcome=Outcome.UNKNOWN,
            reset=reset,
            timed_out=timed_out,
        )
        if reset or timed_out:
            self._counts.broken += 1
        self.state = ConnectionState.CLOSED
        if self._head is not None and not self._head.done():
            self._head.set_exception(self.failure)
            # A caller that has left doesn't ask for it.
            self._head.exception()
        if self.payload is not None and not self.payload.is_eof():
            self.payload.feed_eof()
        if self._transport is not None:
            self._transport.abort()


async def open_connection(
    host: str, port: int, attempt_header: str, counts: Counts, seconds: float
) -> Connection:
    """Connect to a backend server.

    :param seconds: longest time that it may take.
    :raises AttemptError: there is no connection.
    """
    loop = asyncio.get_running_loop()
    peer = f"{host}:{port}"
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        async with asyncio.timeout(seconds):
            await loop.sock_connect(sock, (host, port))
            _, connection = await loop.create_connection(
                lambda: Connection(sock, peer, attempt_header, counts), sock=sock
            )
    except OSError as error:
        sock.close()
        raise AttemptError(
            f"no connection: {error!r}",
            step="backend.connect",
            peer=peer,
            outcome=Outcome.NOT_SENT,
            timed_out=isinstance(error, TimeoutError),
        ) from error
    except BaseException:
        sock.close()
        raise
    counts.opened += 1
    return connection


def _first_line(error: Exception) -> str:
    return str(error).strip().partition("\n")[0]
