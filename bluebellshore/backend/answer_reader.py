"""Finds the answer to one request among the bytes of a connection."""

import asyncio
from typing import Protocol

from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

__all__ = ["AnswerReader", "Flow", "MalformedAnswerError"]

#: Bytes of a body that are held unread before reading stops, by half: aiohttp stops
#: at twice its limit.
HALF_HELD_BYTES = 16 * 1024
#: Longest head of an answer; twice what common servers allow for heads of requests.
MAX_HEAD_BYTES = 32 * 1024
HEAD_END = b"\r\n\r\n"
SWITCHING_PROTOCOLS = 101
#: Fed to the parser after an answer: comes back alone if nothing was left over.
PROBE_STATUS = 299
PROBE = b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % PROBE_STATUS


class MalformedAnswerError(ValueError):
    """Bytes that are no answer in the protocol."""


class Flow(Protocol):
    """What aiohttp's reader asks of a connection.

    :ivar connected: whether more may come.
    """

    connected: bool
    _reading_paused: bool

    def pause_reading(self) -> None:
        """Stop reading from the socket."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on."""


class AnswerReader:
    """Parses answers until that to one attempt is whole.

    Interim answers and those to other attempts are dropped. An answer without an id
    is taken for the attempt's; whoever reads its head decides.

    :ivar message: head of the answer, None before it has come.
    :ivar payload: its body.
    :ivar whole: whether it has come to its end.
    :ivar extra: whether bytes followed its end.
    :ivar late: answers to other attempts that came before it.
    :param has_body: False when the answer has none whatever its head says.
    """

    def __init__(
        self, flow: Flow, attempt_header: str, attempt_id: str, *, has_body: bool
    ):
        self._attempt_header = attempt_header
        self._attempt_id = attempt_id
        self._parser = HttpResponseParser(
            flow,
            asyncio.get_running_loop(),
            HALF_HELD_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._head_bytes = bytearray()
        #: Body that is being parsed, that of another attempt too.
        self._current: StreamReader | None = None
        self.message: RawResponseMessage | None = None
        self.payload: StreamReader | None = None
        self.whole = False
        self.extra = False
        self.late = 0

    def feed(self, data: bytes) -> None:
        """Take bytes.

        :raises MalformedAnswerError: they are no answers; none can follow.
        """
        try:
            while data and not self.whole:
                data = self._parse(data)
        except Exception as error:
            # Whatever the parser raises on bytes from outside is their fault.
            if self.payload is None or not self.payload.is_eof():
                reason = str(error).strip().partition("\n")[0]
                raise MalformedAnswerError(reason) from error
            self.whole = True
            data = b"fault"
        if data:
            self.extra = True

    def end(self) -> None:
        """Take the orderly end of the connection.

        :raises MalformedAnswerError: the answer isn't whole.
        """
        if self.whole:
            return
        if self.payload is None:
            raise MalformedAnswerError("closed before the head of the answer")
        try:
            self._parser.feed_eof()
        except Exception as error:
            raise MalformedAnswerError(f"closed too early: {error}") from error
        self.whole = True

    def _parse(self, data: bytes) -> bytes:
        """Parse a head or a piece of a body. :return: what is left."""
        if self._current is None:
            self._head_bytes += data
            end = self._head_bytes.find(HEAD_END)
            if end < 0:
                if len(self._head_bytes) > MAX_HEAD_BYTES:
                    raise MalformedAnswerError("the head is too long")
                return b""
            # Alone, as the parser drops the heads of data in which it finds a fault.
            end += len(HEAD_END)
            head, data = bytes(self._head_bytes[:end]), bytes(self._head_bytes[end:])
            self._head_bytes.clear()
            messages, _, _ = self._parser.feed_data(head)
            if len(messages) != 1:
                raise MalformedAnswerError("the head is malformed")
        else:
            messages, _, _ = self._parser.feed_data(data)
            data = b""
            self._advance()
        for message, payload in messages:
            if self.whole:
                self.extra = True
                break
            self._begin(message, payload)
        return data

    def _begin(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Take the head of an answer."""
        if message.code == SWITCHING_PROTOCOLS or message.code < 100:
            raise MalformedAnswerError(f"status {message.code}")
        self._current = payload
        if message.code >= 200:
            found = message.headers.getall(self._attempt_header, [])
            if not found or found == [self._attempt_id]:
                self.message, self.payload = message, payload
            else:
                self.late += 1
                if message.should_close:
                    raise MalformedAnswerError("ends after another attempt's answer")
        self._advance()

    def _advance(self) -> None:
        """Go on where the present answer is whole; drop what belongs to another."""
        current = self._current
        if current is not self.payload:
            current.read_nowait()
        if not current.is_eof():
            return
        self._current = None
        if current is self.payload:
            self.whole = True
            self.extra = not self.message.should_close and self._has_rest()

    def _has_rest(self) -> bool:
        # Only the parser knows where a body in chunks ended in the data.
        try:
            messages, _, _ = self._parser.feed_data(PROBE)
        except Exception:
            return True
        return len(messages) != 1 or messages[0][0].code != PROBE_STATUS
