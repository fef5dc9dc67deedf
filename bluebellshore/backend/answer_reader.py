"""Parses the bytes of a connection and picks out the answer to one attempt."""

import asyncio
from typing import Protocol

from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

__all__ = ["AnswerReader", "FlowControl", "MalformedAnswerError"]

#: Half of the unread body bytes at which reading from the socket pauses: aiohttp
#: pauses at twice the limit that it is given.
HALF_BODY_BUFFER_BYTES = 16 * 1024
#: Longest head of an answer; twice the limit of common servers for request heads.
MAX_HEAD_BYTES = 32 * 1024
#: Bytes in a row that may be no part of the answer's body: interim answers, late
#: answers to other attempts, chunk extensions, trailers. A server that sends more,
#: maybe without end, is at fault.
MAX_SKIPPED_BYTES = 1024 * 1024
HEAD_END = b"\r\n\r\n"
SWITCHING_PROTOCOLS = 101
#: Status of an artificial answer that is fed to the parser after a complete answer. If
#: the parser returns only that one, no bytes were left over.
PROBE_STATUS = 299
PROBE_ANSWER = b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % PROBE_STATUS


class MalformedAnswerError(ValueError):
    """The peer sent bytes that are not a valid answer to the request."""


class FlowControl(Protocol):
    """Flow control that aiohttp's ``StreamReader`` expects from its protocol.

    :ivar connected: whether the peer can still send data.
    """

    connected: bool
    _reading_paused: bool

    def pause_reading(self) -> None:
        """Stop reading from the socket."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading from the socket."""


class AnswerReader:
    """Parses answers until the one to a given attempt is complete.

    Interim (1xx) answers and answers to other attempts are dropped. An answer without
    an attempt id ends the reading: :class:`DirectBackend` checks whose it can be.

    :param attempt_header: name of the header with the attempt id.
    :param has_body: False if the answer has no body whatever its head says, as for
        ``HEAD`` requests.
    :ivar message: head of the answer; None until it has arrived.
    :ivar payload: body of the answer; None until its head has arrived.
    :ivar complete: whether the answer has arrived completely.
    :ivar has_extra_bytes: whether more bytes followed the end of the answer.
    :ivar late_count: number of answers to other attempts that came before it.
    """

    def __init__(
        self, flow: FlowControl, attempt_header: str, attempt_id: str, *, has_body: bool
    ):
        self._attempt_header = attempt_header
        self._attempt_id = attempt_id
        self._parser = HttpResponseParser(
            flow,
            asyncio.get_running_loop(),
            HALF_BODY_BUFFER_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._head_bytes = bytearray()
        self._skipped_bytes = 0
        #: Body being parsed, which may belong to another attempt's answer.
        self._current_body: StreamReader | None = None
        self.message: RawResponseMessage | None = None
        self.payload: StreamReader | None = None
        self.complete = False
        self.has_extra_bytes = False
        self.late_count = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes that were received.

        :raises MalformedAnswerError: the bytes are no valid answer; the reader can't
            be used any more.
        """
        received, body_bytes = len(data), self._body_bytes()
        try:
            while data and not self.complete:
                data = self._parse(data)
            if self._body_bytes() > body_bytes:
                self._skipped_bytes = 0
            else:
                self._skipped_bytes += received
            if not self.complete and self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise MalformedAnswerError("too many bytes that are no answer")
        except Exception as error:
            # The input is untrusted: any exception of the parser means bad input.
            if self.payload is None or not self.payload.is_eof():
                reason = str(error).strip().partition("\n")[0]
                raise MalformedAnswerError(reason) from error
            # The answer itself was complete, so the bad bytes come after its end.
            self.complete = True
            data = b"fault"
        if data:
            self.has_extra_bytes = True

    def feed_eof(self) -> None:
        """Handle EOF, which may end a body without an announced length.

        :raises MalformedAnswerError: the answer is incomplete.
        """
        if self.complete:
            return
        if self.payload is None:
            raise MalformedAnswerError("closed before the head of the answer")
        try:
            self._parser.feed_eof()
        except Exception as error:
            raise MalformedAnswerError(f"closed too early: {error}") from error
        self.complete = True

    def _body_bytes(self) -> int:
        return 0 if self.payload is None else self.payload.total_bytes

    def _parse(self, data: bytes) -> bytes:
        """Parse a head or a piece of a body.

        :return: the bytes after the head, which are not parsed yet.
        """
        if self._current_body is None:
            self._head_bytes += data
            end = self._head_bytes.find(HEAD_END)
            if end < 0:
                if len(self._head_bytes) > MAX_HEAD_BYTES:
                    raise MalformedAnswerError("the head is too long")
                return b""
            # Each head is parsed on its own: on an error the parser drops every
            # message that it found in the same data.
            end += len(HEAD_END)
            head, data = bytes(self._head_bytes[:end]), bytes(self._head_bytes[end:])
            self._head_bytes.clear()
            messages, _, _ = self._parser.feed_data(head)
            if len(messages) != 1:
                raise MalformedAnswerError("the head is malformed")
        else:
            messages, _, _ = self._parser.feed_data(data)
            data = b""
            self._end_body_if_complete()
        for message, payload in messages:
            if self.complete:
                self.has_extra_bytes = True
                break
            self._handle_head(message, payload)
        return data

    def _handle_head(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Start the answer with this head, or skip it if it answers another attempt."""
        if message.code == SWITCHING_PROTOCOLS or message.code < 100:
            raise MalformedAnswerError(f"status {message.code}")
        self._current_body = payload
        if message.code >= 200:
            found = message.headers.getall(self._attempt_header, [])
            if not found or found == [self._attempt_id]:
                self.message, self.payload = message, payload
            else:
                self.late_count += 1
                if message.should_close:
                    raise MalformedAnswerError("ends after another attempt's answer")
        self._end_body_if_complete()

    def _end_body_if_complete(self) -> None:
        """Finish the current body if it is complete; discard data of other attempts."""
        current = self._current_body
        if current is not self.payload:
            current.read_nowait()
        if not current.is_eof():
            return
        self._current_body = None
        if current is self.payload:
            self.complete = True
            self.has_extra_bytes = (
                not self.message.should_close and self._has_leftover_bytes()
            )

    def _has_leftover_bytes(self) -> bool:
        # The parser doesn't tell where in the data a chunked body ended.
        try:
            messages, _, _ = self._parser.feed_data(PROBE_ANSWER)
        except Exception:
            return True
        return len(messages) != 1 or messages[0][0].code != PROBE_STATUS
