"""Reads a node's answers from the bytes of a connection, and says what of one is whole."""

from __future__ import annotations

from magpiefront.net.answer import Answer, Spoilt, read_report
from magpiefront.net.http1 import BODY_LIMIT, Connection

REFUSAL_LIMIT = 1024 * 1024  # bytes of an answer that is none for the client
INTERIM_ANSWERS = 8  # 1xx answers ahead of the real one
CACHE_NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}  # what `Srv-Cache` says


class AnswerReader(Connection):
    """One answer at a time. `framed`: its end can be told from a break; `complete`: it is whole; `surplus`:
    bytes of something else came behind it; `lasting`: the node keeps the connection."""

    __slots__ = ("answer", "complete", "framed", "interim", "lasting", "surplus")

    answer_type: type[Answer] = Answer
    close_delimits = True  # may the end of the connection be the end of an answer?

    def __init__(self) -> None:
        super().__init__()
        self.complete = self.framed = self.lasting = self.surplus = False
        self.interim = 0
        self.answer = self.answer_type()

    def expect_answer(self) -> None:
        """What comes from now on is another answer."""
        self.complete = self.framed = self.surplus = False
        self.in_head, self.spare, self.interim, self.answer = True, 0, 0, self.answer_type()

    @property
    def begun(self) -> bool:
        """Has any of the answer come?"""
        return self.spare > 0 or not self.in_head or self.interim > 0

    def counts(self, a: Answer) -> bool:
        """Is it an answer for the client, and no failure of the node?"""
        return a.status == 200

    def ends_by_close(self) -> bool:
        """An answer that tells no length ends with the connection (RFC 9112, 6.3): in order, for a reset is
        no end. One with no body at all may as well have been cut off behind its head."""
        a = self.answer
        if self.complete or self.in_head or self.framed:
            return False
        return self.close_delimits and self.counts(a) and a.size > 0

    def is_endless(self) -> bool:
        """Can its end not be told from a break, or does it fill memory for nothing?"""
        a = self.answer
        if not a.status:
            return False
        if self.counts(a):
            return not self.framed and not self.close_delimits
        return not self.framed or a.size > REFUSAL_LIMIT

    # ---- the parser

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name, a = name.lower(), self.answer
        if name == b"content-length":
            a.length, self.framed = int(value), True
        elif name == b"transfer-encoding":
            self.framed = True
        elif name == b"srv-cache":
            a.note = CACHE_NOTES.get(value.lower(), 0)
        elif name == b"srv-declined":
            a.declined = value == b"1"
        elif name == b"srv-load":
            a.report = read_report(value)
        elif name == b"content-type":
            a.content_type = value

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.in_head, self.spare = False, 0
            self.answer.status = self.parser.get_status_code()
            self.check_size(self.answer.length or 0)

    def check_size(self, size: int) -> None:
        """Guards against answers of gigabytes: passed on, they take the proxy's time from everybody and serve
        nobody; as an attempt that failed, the request can go to another node."""
        if size > BODY_LIMIT:
            raise Spoilt

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.answer.status < 200:
            # An interim answer, the real one is to come: taken for that, it failed a request being served.
            self.interim += 1
            if self.interim > INTERIM_ANSWERS:
                raise Spoilt
            self.in_head, self.spare, self.framed, self.answer = True, 0, False, self.answer_type()
        else:
            self.complete = True
            # Without it no connection is used again, and every request pays for a handshake and a descriptor.
            self.lasting = self.parser.should_keep_alive()


