"""Reads a node's answers from the bytes of a connection and tells which of them are complete."""

from __future__ import annotations

from magpiefront.net.answer import Answer, InvalidAnswer, parse_load_report
from magpiefront.net.http1 import MAX_BODY_BYTES, Connection, HeadTooLong

MAX_ERROR_BODY_BYTES = 1024 * 1024  # of an answer that is not passed on to the client
MAX_INTERIM_ANSWERS = 8  # 1xx answers before the final one
CACHE_RESULTS = {b"hit": 1, b"miss": 2, b"pending": 3}  # values of `Srv-Cache`


class AnswerReader(Connection):
    """Reads one answer at a time.

    `framed`: the answer has a length or is chunked, so that its end can be told from a truncation.
    `complete`: all of it has been read. `surplus`: more bytes followed its end. `keep_alive`: the node keeps
    the connection open. `interim`: the number of 1xx answers so far.
    """

    __slots__ = ("answer", "complete", "framed", "interim", "keep_alive", "surplus")

    answer_type: type[Answer] = Answer
    close_delimits = True  # whether the end of the connection may be the end of an answer

    def __init__(self) -> None:
        super().__init__()
        self.complete = self.framed = self.keep_alive = self.surplus = False
        self.interim = 0
        self.answer = self.answer_type()

    def expect_answer(self) -> None:
        """Resets the state: what is read from now on belongs to another answer."""
        self.complete = self.framed = self.surplus = self.in_message = False
        self.in_head, self.interim, self.answer = True, 0, self.answer_type()
        self.message_size.unfinished_bytes = 0

    @property
    def begun(self) -> bool:
        """Whether any of the answer has been read."""
        return self.has_partial_message or self.interim > 0

    def is_for_client(self, answer: Answer) -> bool:
        """Whether an answer is passed on to the client and does not count as a failure of the attempt."""
        return answer.status == 200

    def may_end_by_close(self) -> bool:
        """Whether an answer without a length is accepted. Its end can't be told from a truncation if the
        sender closes the connection too early."""
        return self.close_delimits

    def ends_by_close(self) -> bool:
        """Whether an orderly close of the connection is the end of the answer, as it is for one without a
        length (RFC 9112, 6.3). A reset never is. An answer without any body is not accepted, since it may as
        well have been truncated after its head."""
        answer = self.answer
        if self.complete or self.in_head or self.framed:
            return False
        return self.may_end_by_close() and self.is_for_client(answer) and answer.size > 0

    def is_unusable(self) -> bool:
        """Whether it is pointless to read on: the answer's end can't be told from a truncation, or the answer
        is an error whose body is above `MAX_ERROR_BODY_BYTES` and would only fill memory."""
        answer = self.answer
        if not answer.status:
            return False
        if self.is_for_client(answer):
            return not self.framed and not self.may_end_by_close()
        return not self.framed or answer.size > MAX_ERROR_BODY_BYTES

    # ---- callbacks of the parser

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        if not self.message_size.add_field(name, value):
            raise HeadTooLong
        if not self.in_head:
            return  # a trailer field: dropped (RFC 9110, 6.5.1)
        name, answer = name.lower(), self.answer
        if name == b"content-length":
            answer.length, self.framed = int(value), True
        elif name == b"transfer-encoding":
            self.framed = True
        elif name == b"srv-cache":
            answer.cache_result = CACHE_RESULTS.get(value.lower(), 0)
        elif name == b"srv-declined":
            answer.declined = value == b"1"
        elif name == b"srv-load":
            answer.report = parse_load_report(value)
        elif name == b"content-type":
            answer.content_type = value

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.in_head = False
            self.message_size.unfinished_bytes = 0
            self.answer.status = self.parser.get_status_code()
            self.check_size(self.answer.length or 0)

    def check_size(self, size: int) -> None:
        """Raises InvalidAnswer for an answer above the limit. Answers of gigabytes would take the proxy's
        time from all clients and serve none; a failed attempt lets the request go to another node."""
        if size > MAX_BODY_BYTES:
            raise InvalidAnswer

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.answer.status < 200:
            # An interim answer, before the final one. Taken for the final one, it would fail a request that
            # the node is still serving.
            self.interim += 1
            if self.interim > MAX_INTERIM_ANSWERS:
                raise InvalidAnswer
            self.in_head, self.in_message, self.framed, self.answer = True, False, False, self.answer_type()
            self.message_size.unfinished_bytes = 0
        else:
            self.complete = True
            # Without keep-alive, every request would cost a handshake and a descriptor.
            self.keep_alive = self.parser.should_keep_alive()
