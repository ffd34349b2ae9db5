"""An incremental parser of HTTP/1.1 answers, which takes the framing out of the buffer in place.

The body stands decoded at the front of the buffer, `body` bytes so far; what follows is yet to be read.

>>> from lifthinge.wire.buffer import Buffer
>>> def play(data, step=1, ends=False):
...     parser = ResponseParser(Buffer(1 << 16))
...     for at in range(0, len(data), step):
...         piece = data[at:at + step]
...         parser.buffer.writable_view()[:len(piece)] = piece
...         parser.buffer.commit_write(len(piece))
...         trouble = parser.advance()
...         if trouble:
...             return trouble
...     trouble = parser.on_eof() if ends else None
...     return trouble or (parser.is_done, parser.status, parser.keep_alive, parser.take_body())
>>> counted = b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nhello"
>>> chunked = (b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
...            b"3;x=y\\r\\nhel\\r\\n2\\r\\nlo\\r\\n0\\r\\nA: b\\r\\n\\r\\n")
>>> open_ended = b"HTTP/1.0 503 Busy\\n\\nhello"
>>> [play(counted, step) for step in (1, 7, 99)] == [(True, 200, True, b"hello")] * 3
True
>>> [play(chunked, step) for step in (1, 7, 999)] == [(True, 200, True, b"hello")] * 3
True
>>> play(open_ended, 1, True)
(True, 503, False, b'hello')
>>> play(b"HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 204 No\\r\\n\\r\\n")
(True, 204, True, b'')
>>> all(play(counted[:cut], 1, True) == "early close" for cut in range(len(counted)))
True
>>> all(play(chunked[:cut], 1, True) == "early close" for cut in range(len(chunked)))
True
>>> ok, end = b"HTTP/1.1 200 OK\\r\\n", b"\\r\\n\\r\\n"
>>> for bad in (b"HTTQ/1.1 200 OK\\r\\n", b"HTTP/1.1 2x0 OK" + end, ok + b"No colon" + end,
...             ok + b"Content-Length: -1" + end, ok + b"Content-Length: 99999999" + end,
...             ok + b"Content-Length: 1\\r\\nContent-Length: 2" + end, ok + b"X: " + b"x" * 9000,
...             ok + b"Transfer-Encoding: gzip" + end, chunked.replace(b"3;x=y", b"z"),
...             chunked.replace(b"hel\\r\\n", b"help\\r"), chunked.replace(b"3;x=y", b"fffffff"),
...             counted + b"!"):
...     print(play(bad, 1, True))
bad status line
bad status line
bad header
bad length
body too long
bad length
head too long
bad transfer encoding
bad chunk size
bad chunk end
body too long
bytes after the answer
"""

import re
from enum import Enum

from lifthinge.wire.buffer import Buffer

MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 1 << 20
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
_HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?")


class State(Enum):
    HEAD = 1
    COUNTED = 2
    SIZE = 3
    CHUNK = 4
    CHUNK_END = 5
    TRAILER = 6
    TO_CLOSE = 7
    DONE = 8


class ResponseParser:
    """One answer's progress; trouble is a text that says what is wrong."""

    def __init__(self, buffer: Buffer) -> None:
        self.buffer = buffer
        self.state, self.status, self.keep_alive = State.HEAD, 0, True
        self.body = 0  # decoded bytes at the front of the buffer
        self._left = 0  # bytes of the body, or of the chunk, still to come
        self._head = 0  # bytes of head lines so far
        self._lengths: set[bytes] = set()
        self._coding = b""

    @property
    def is_done(self) -> bool:
        return self.state is State.DONE

    def advance(self) -> str | None:
        """Reads as far as the buffer goes."""
        while not self.is_done:
            before = self.state, self.body, self._head, len(self.buffer)
            trouble = self._step()
            if trouble:
                return trouble
            if before == (self.state, self.body, self._head, len(self.buffer)):
                return "answer too long" if self.buffer.is_full else None
        return "bytes after the answer" if len(self.buffer) > self.body else None

    def on_eof(self) -> str | None:
        """The peer sends no more."""
        if self.state is State.TO_CLOSE:
            self.state = State.DONE
        return None if self.is_done else "early close"

    def take_body(self) -> bytes:
        taken, self.body = self.buffer.take(self.body), 0
        return taken

    def take_line(self) -> bytes | None:
        """The next whole line of the body, without its end."""
        at = self.buffer.find(b"\n")
        if not 0 <= at < self.body:
            return None
        self.body -= at + 1
        return self.buffer.take(at + 1)[:-1].rstrip(b"\r")

    def _step(self) -> str | None:
        if self.state in (State.COUNTED, State.CHUNK, State.TO_CLOSE):
            return self._read_body()
        line = self._line()
        if line is None:
            first = self.buffer.peek(self.body, self.body + 5)
            if self.state is State.HEAD and not self.status and not b"HTTP/".startswith(first):
                return "bad status line"
            return (
                "head too long"
                if len(self.buffer) - self.body + self._head > MAX_HEAD_BYTES
                else None
            )
        self._head += len(line) + 1
        if self._head > MAX_HEAD_BYTES:
            return "head too long"
        if self.state is State.HEAD:
            return self._read_head(line)
        if self.state is State.SIZE:
            self._head = 0
            return self._read_size(line)
        if self.state is State.CHUNK_END:
            self.state = State.SIZE
            return "bad chunk end" if line else None
        if not line:
            self.state = State.DONE
        return None

    def _line(self) -> bytes | None:
        at = self.buffer.find(b"\n", self.body)
        if at < 0:
            return None
        line = self.buffer.peek(self.body, at)
        self.buffer.remove(self.body, at + 1 - self.body)
        return line.removesuffix(b"\r")

    def _read_head(self, line: bytes) -> str | None:
        if not self.status:
            found = _STATUS.fullmatch(line)
            if not found:
                return "bad status line"
            self.keep_alive, self.status = found[1] == b"1", int(found[2])
            return None
        if not line:
            return self._end_head()
        found = _HEADER.fullmatch(line)
        if not found:
            return "bad header"
        name, value = found[1].lower(), found[2].lower()
        if name == b"content-length":
            self._lengths.add(value)
        elif name == b"transfer-encoding":
            self._coding = value
        elif name == b"connection" and b"close" in value:
            self.keep_alive = False
        return None

    def _end_head(self) -> str | None:
        if self.status < 200:  # an interim answer: the real one follows
            self.status = self._head = 0
            self._lengths, self._coding = set(), b""
            return None
        self._head = 0
        if self.status in (204, 304):
            self.state = State.DONE
            return None
        if self._coding:
            self.state = State.SIZE
            return None if self._coding == b"chunked" else "bad transfer encoding"
        if not self._lengths:
            self.state, self.keep_alive = State.TO_CLOSE, False
            return None
        length = self._lengths.pop()
        if self._lengths or not length.isdigit():
            return "bad length"
        self._left = int(length[:12])
        self.state = State.COUNTED if self._left else State.DONE
        return "body too long" if self._left > MAX_BODY_BYTES else None

    def _read_size(self, line: bytes) -> str | None:
        found = _CHUNK.fullmatch(line)
        if not found:
            return "bad chunk size"
        self._left = int(found[1], 16)
        self.state = State.CHUNK if self._left else State.TRAILER
        return "body too long" if self.body + self._left > MAX_BODY_BYTES else None

    def _read_body(self) -> str | None:
        here = len(self.buffer) - self.body
        if self.state is State.TO_CLOSE:
            self.body += here
            return "body too long" if self.body > MAX_BODY_BYTES else None
        took = min(here, self._left)
        self.body += took
        self._left -= took
        if not self._left:
            self.state = State.DONE if self.state is State.COUNTED else State.CHUNK_END
        return None
