"""HTTP connections of callers: limits of heads and of requests sent ahead."""

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from bluebellshore.entry.caller_memory import (
    CallerHolding,
    CallerMemory,
    GiveWayReason,
    Stage,
)
from bluebellshore.entry.head_size import HEAD_END, HeadSize
from bluebellshore.entry.parse_pieces import (
    is_fragmented,
    parsable_chunk_bytes,
    parsable_head_bytes,
    past_small_head,
)
from bluebellshore.ids import CustomerId
from bluebellshore.traffic import TrafficCounter

__all__ = ["CallerConnection"]

#: Wait between the head's timeout and closing the connection. The timers of a process
#: that was paused run before it reads what arrived during the pause.
UNREAD_GRACE_SECONDS = 0.1
LATE_HEAD_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
#: Answer of a connection that gives way before its request was received whole.
GIVE_WAY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
LARGE_HEAD_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
#: Bytes of later requests above which a connection is read no further until then.
MAX_AHEAD_BYTES = 64 * 1024
#: Bytes of answers unsent that aren't counted: what a connection has on its way anyway.
UNCOUNTED_UNSENT_BYTES = 8 * 1024


class CallerConnection(RequestHandler):
    """A connection that is closed when the head of a request is not received in time.

    The timeout starts with the first byte of a head; it does not run on an idle
    connection. Requests that are sent ahead of the answers are not parsed until their
    turn comes, and are read only up to a limit.

    :param head_bytes: returns the largest size of a head.
    :param memory: the account of what callers hold.
    :param parse_later: has :meth:`parse_ahead` called soon, after other connections.

    :param head_seconds: returns the longest time from the first byte of a head to its
        end.
    :param on_late: called with that time before the connection is closed for it.
    :param all_traffic: counts the bytes of all connections.
    :ivar interrupt: ends the wait for a body that is being received; None for none.
    :ivar opened_at: monotonic seconds at which the connection was accepted.
    :ivar requests: requests whose handling has begun.
    :ivar traffic: bytes received, and bytes of answers written.
    :ivar customer: customer of the last request; None for none.
    :ivar closes_after_answer: whether to close after the present or next answer.
    """

    __slots__ = (
        "interrupt",
        "opened_at",
        "requests",
        "traffic",
        "customer",
        "closes_after_answer",
        "_ahead",
        "_all_traffic",
        "_body",
        "_before",
        "_body_is_full",
        "_body_left",
        "_serving",
        "_idle_since",
        "_is_dropping",
        "_is_paused",
        "_head",
        "_head_bytes",
        "_head_seconds",
        "_head_timer",
        "_holding",
        "_memory",
        "_next_head_began",
        "_now",
        "_on_late",
        "_parse_later",
        "_parsed_head",
        "_past_head",
        "_transport",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        head_seconds: Callable[[], float],
        on_late: Callable[[float], None],
        head_bytes: Callable[[], int],
        memory: CallerMemory,
        parse_later: Callable[["CallerConnection"], None],
        all_traffic: TrafficCounter,
        **options: object,
    ):
        super().__init__(manager, **options)
        self._all_traffic = all_traffic
        self._memory = memory
        self._parse_later = parse_later
        self._head_bytes = head_bytes
        #: The head that is being received.
        self._head = HeadSize()
        #: Bytes of the body that were not parsed; None for one in chunks.
        self._body_left: int | None = None
        #: Bytes that were parsed with a head and follow it.
        self._past_head = 0
        #: Last bytes that were parsed, where they don't end a request.
        self._before = b""
        self._holding: CallerHolding | None = None
        #: Bytes received and not parsed, as they belong to later requests.
        self._ahead = bytearray()
        #: Whether the rest of a body is dropped unread, until the connection is closed.
        self._is_dropping = False
        #: Ends the wait for a body; None while there is none.
        self.interrupt: Callable[[float], None] | None = None
        #: Whether reading is paused because of them, and because of the body.
        self._is_paused = self._body_is_full = False
        #: Whether a head was parsed whose request has not begun.
        self._parsed_head = False
        self._head_seconds = head_seconds
        self._on_late = on_late
        self._head_timer: asyncio.TimerHandle | None = None
        self._now: Callable[[], float] = asyncio.get_running_loop().time
        self.opened_at = self._now()
        self.requests = 0
        self.traffic = TrafficCounter()
        self.customer: CustomerId | None = None
        self.closes_after_answer = False
        #: Body of the last request; after an early refusal it may still be arriving.
        self._body: StreamReader | None = None
        self._serving = False
        self._idle_since = self.opened_at
        self._next_head_began = False
        #: Kept until the connection is lost, unlike `transport`, which is unset as soon
        #: as the connection is told to close.
        self._transport: asyncio.BaseTransport | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes buffered in this process for the caller, also while it closes."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def gave_way(self) -> GiveWayReason | None:
        """The limit for which the connection was closed; None for none."""
        return None if self._holding is None else self._holding.gave_way

    def request_began(self, body: StreamReader, length: int | None = None) -> None:
        """Stop the timeout of a head that was read completely.

        :param body: the request's body, which may still be arriving.
        :param length: bytes of such a body; None for one in chunks.
        """
        self._body, self._serving = body, True
        self._body_left = None if length is None else length - self._past_head
        self._parsed_head = False
        self._head.clear()
        self.requests += 1
        self._stop_timer()
        if self._holding is not None:
            self._memory.request_began(self._holding, self._now())
        if self._ahead:
            self.parse_ahead()

    def request_ended(self) -> None:
        """Mark the request as answered.

        If the next head began to arrive meanwhile, its timeout starts now.
        """
        self._serving = False
        self._idle_since = self._now()
        if self._holding is not None:
            self._memory.request_ended(self._holding, self._idle_since)
        if self._next_head_began:
            self._next_head_began = False
            self._start_timer()
        if self._ahead:
            self.parse_ahead()

    def body_began(
        self, customer: CustomerId | None, interrupt: Callable[[float], None]
    ) -> None:
        """Note that a part of the body is still to come.

        :param interrupt: ends the wait for it, at a time of the loop.
        """
        self.interrupt = interrupt
        if self._holding is not None:
            self._memory.body_began(self._holding, customer, self._now())

    def body_ended(self) -> None:
        """Note that the body was received whole."""
        self.interrupt = None
        if self._holding is not None:
            self._memory.body_ended(self._holding, self._now())

    def request_refused(self) -> None:
        """Note that the request was refused while its body is still arriving."""
        self.interrupt = None
        if self._holding is not None:
            self._memory.refused(self._holding, self._now())

    def count_unsent(self, written: int = 0) -> None:
        """Count what the caller has not read.

        :param written: bytes that are about to be written.
        """
        holding, size = self._holding, self.unsent_bytes
        size = size + written if size > UNCOUNTED_UNSENT_BYTES else 0
        if holding is None or not (size or holding.unsent_bytes):
            return
        if not self._memory.set_unsent(holding, size, self._now()):
            self._abort()

    def close_idle(self, min_seconds: float = 0.0) -> None:
        """Close the connection unless a request is being received or served.

        :param min_seconds: a connection that has been idle for less stays open.
        """
        idle_seconds = self._now() - self._idle_since
        if (
            not self._serving
            and not self._parsed_head
            and self._head_timer is None
            and idle_seconds >= min_seconds
        ):
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; the first byte of a head starts its timeout.

        aiohttp calls this with no bytes when it resumes reading.
        """
        self.traffic.received_bytes += len(data)
        self._all_traffic.received_bytes += len(data)
        if self._is_dropping:
            return
        if not data:
            super().data_received(data)
        elif self._is_at_rest and (past := past_small_head(data)) >= 0:
            # Needs neither a timeout nor an account, as all of its head is here.
            self._parsed_head, self._past_head, self._before = True, past, data[-3:]
            super().data_received(data)
        elif self._ahead or self._is_later_turn:
            if self._serving:
                self._next_head_began = True
            else:
                self._start_timer()
            self._ahead += data
            self._count_ahead()
        else:
            self._receive(data)

    def pause_reading(self) -> None:
        """Read no more for now: a body has enough bytes that were not taken yet."""
        self._body_is_full = True
        super().pause_reading()

    def resume_reading(self, *arguments: object, **options: object) -> None:
        """Read on, but not while too many bytes were sent ahead."""
        self._body_is_full = False
        super().resume_reading(*arguments, **options)
        if self._is_paused and self._transport is not None:
            self._transport.pause_reading()

    def count_sent(self, size: int) -> None:
        """Count bytes of an answer."""
        self.traffic.sent_bytes += size
        self._all_traffic.sent_bytes += size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection, or refuse it."""
        self._transport = transport
        super().connection_made(transport)
        self._holding = self._memory.open(
            self._give_way, self._now(), lambda: self.unsent_bytes
        )
        if self._holding is None:
            transport.write(GIVE_WAY_ANSWER)
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timeout when the connection is lost."""
        self._transport = None
        self._stop_timer()
        self._ahead.clear()
        if self._holding is not None:
            self._memory.close(self._holding)
        super().connection_lost(exc)

    @property
    def _is_at_rest(self) -> bool:
        """Whether nothing was received of a request that has not been answered."""
        is_receiving = self._parsed_head or self._head_timer is not None
        return not (is_receiving or self._serving or self._ahead or self._in_body)

    @property
    def _in_body(self) -> bool:
        """Whether the last request's body is still arriving."""
        return self._body is not None and not self._body.is_eof()

    @property
    def _is_later_turn(self) -> bool:
        """Whether bytes that come next belong to a later request."""
        return self._parsed_head or (self._serving and not self._in_body)

    def _receive(self, data: bytes) -> None:
        """Have bytes parsed, up to the end of a request where there are several."""
        if self._parsable_bytes(data) >= len(data):
            self._parse(data)
            return
        self._ahead += data
        self.parse_ahead()

    def parse_ahead(self) -> None:
        """Have kept bytes parsed as far as it is their turn."""
        while self._ahead and not self._is_later_turn:
            size = self._parsable_bytes(self._ahead)
            is_slow = (
                self._in_body and self._body_left is None and is_fragmented(self._ahead)
            )
            data = bytes(self._ahead[:size])
            del self._ahead[:size]
            self._parse(data)
            if is_slow and self._in_body and self._ahead:
                self._parse_later(self)
                break
        self._count_ahead()

    def _parsable_bytes(self, data: bytes | bytearray) -> int:
        if not self._in_body:
            return parsable_head_bytes(data, self._before)
        if self._body_left is None:
            return parsable_chunk_bytes(data, self._before)
        return min(len(data), self._body_left)

    def _parse(self, data: bytes) -> None:
        if self._in_body:
            is_counted = self._count_body(data)
        else:
            self._start_timer()
            is_counted = self._count_head(data)
        if not is_counted:
            return
        self._before = (self._before + data[-3:])[-3:]
        if self._in_body and self._body_left is not None:
            self._body_left -= len(data)
        was_in_body = self._in_body
        super().data_received(data)
        if self._in_body:
            return
        if (was_in_body and self._body_left == 0) or data.endswith(HEAD_END):
            self._before = b""

    def _count_body(self, data: bytes) -> bool:
        """Count a part of a body. :return: whether to parse it."""
        holding = self._holding
        if holding is None or holding.stage is Stage.REFUSED:
            return True
        if self._memory.body_grew(holding, len(data), self._now()):
            return True
        self._is_dropping = True
        self._ahead.clear()
        if self.interrupt is None:
            self._refuse(GIVE_WAY_ANSWER)
        else:
            self.interrupt(self._now())
        return False

    def _count_head(self, data: bytes) -> bool:
        """Count a part of a head, and what it costs. :return: whether to parse it."""
        self._past_head = self._head.add(data, self._before)
        self._parsed_head = self._past_head >= 0
        if self._head.is_above(self._head_bytes()):
            self._memory.head_refused()
            self._refuse(LARGE_HEAD_ANSWER)
            return False
        holding = self._holding
        grown = self._head.cost_bytes - (0 if holding is None else holding.head_bytes)
        if holding is None or grown <= 0:
            return True
        if not self._memory.head_grew(holding, grown, self._now()):
            self._refuse(GIVE_WAY_ANSWER)
            return False
        return True

    def _refuse(self, answer: bytes) -> None:
        """Answer instead of parsing more, and close the connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer)
            self.force_close()

    def _count_ahead(self) -> None:
        """Stop or resume reading by what was sent ahead, and count it."""
        if self._transport is None:
            return
        size = len(self._ahead)
        if size >= MAX_AHEAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        elif not size and self._is_paused:
            self._is_paused = False
            if not self._body_is_full:
                self._transport.resume_reading()
        holding = self._holding
        if holding is None or size == holding.ahead_bytes:
            return
        if not self._memory.set_ahead(holding, size, self._now()):
            self._abort()

    def _give_way(self, reason: GiveWayReason) -> None:
        """Close the connection; a request that was not received whole is refused."""
        if self._transport is None:
            return
        if self._holding.stage in (Stage.HEAD, Stage.BODY):
            self._refuse(GIVE_WAY_ANSWER)
        else:
            self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _start_timer(self) -> None:
        if self._head_timer is None:
            if self._holding is not None:
                self._memory.head_began(self._holding, self._now())
            seconds = self._head_seconds()
            self._head_timer = asyncio.get_running_loop().call_later(
                seconds, self._await_unread, seconds
            )

    def _await_unread(self, seconds: float) -> None:
        self._head_timer = asyncio.get_running_loop().call_later(
            UNREAD_GRACE_SECONDS, self._close_late, seconds
        )

    def _close_late(self, seconds: float) -> None:
        self._head_timer = None
        if self.transport is None or self.transport.is_closing():
            return
        self._on_late(seconds)
        self.transport.write(LATE_HEAD_ANSWER)
        self.force_close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
