"""Incremental parser of HTTP/1.1 responses, which removes the framing from the buffer in place.

The decoded body is at the front of the buffer, `body_bytes` long so far; what follows is not parsed
yet.

>>> from lifthinge.wire.buffer import Buffer
>>> def parse(data, step=1, ends=False):
...     parser = ResponseParser(Buffer(1 << 16))
...     for at in range(0, len(data), step):
...         piece = data[at:at + step]
...         parser.buffer.writable_view()[:len(piece)] = piece
...         parser.buffer.commit_write(len(piece))
...         error = parser.advance()
...         if error:
...             return error
...     error = parser.on_eof() if ends else None
...     return error or (parser.is_done, parser.status, parser.keep_alive, parser.take_body())
>>> counted = b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nhello"
>>> chunked = (b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
...            b"3;x=y\\r\\nhel\\r\\n2\\r\\nlo\\r\\n0\\r\\nA: b\\r\\n\\r\\n")
>>> open_ended = b"HTTP/1.0 503 Busy\\n\\nhello"
>>> [parse(counted, step) for step in (1, 7, 99)] == [(True, 200, True, b"hello")] * 3
True
>>> [parse(chunked, step) for step in (1, 7, 999)] == [(True, 200, True, b"hello")] * 3
True
>>> parse(open_ended, 1, True)
(True, 503, False, b'hello')
>>> parse(b"HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 204 No\\r\\n\\r\\n")
(True, 204, True, b'')
>>> all(parse(counted[:cut], 1, True) == "early close" for cut in range(len(counted)))
True
>>> all(parse(chunked[:cut], 1, True) == "early close" for cut in range(len(chunked)))
True
>>> ok, end = b"HTTP/1.1 200 OK\\r\\n", b"\\r\\n\\r\\n"
>>> for bad in (b"HTTQ/1.1 200 OK\\r\\n", b"HTTP/1.1 2x0 OK" + end, ok + b"No colon" + end,
...             ok + b"Content-Length: -1" + end, ok + b"Content-Length: 99999999" + end,
...             ok + b"Content-Length: 1\\r\\nContent-Length: 2" + end, ok + b"X: " + b"x" * 9000,
...             ok + b"Transfer-Encoding: gzip" + end, chunked.replace(b"3;x=y", b"z"),
...             chunked.replace(b"hel\\r\\n", b"help\\r"), chunked.replace(b"3;x=y", b"fffffff"),
...             counted + b"!"):
...     print(parse(bad, 1, True))
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

MAX_HEAD_BYTES = 8192  # of the status line and the headers, with line ends
MAX_BODY_BYTES = 1 << 20  # of the decoded body
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
_HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?")


class ParserState(Enum):
    """The part of a response that the parser expects next."""

    HEAD = 1  # status line or header lines
    FIXED_LENGTH_BODY = 2  # body with a Content-Length
    CHUNK_SIZE = 3
    CHUNK_DATA = 4
    CHUNK_END = 5  # the empty line after a chunk's data
    TRAILERS = 6
    BODY_UNTIL_CLOSE = 7  # body that ends when the peer closes
    DONE = 8


class ResponseParser:
    """Parses one response; methods return an error as a text that says what is wrong."""

    def __init__(self, buffer: Buffer) -> None:
        self.buffer = buffer
        self.state = ParserState.HEAD
        self.status = 0  # 0 until the status line has been read
        self.keep_alive = True  # whether the connection can be used for another request
        self.body_bytes = 0  # length of the decoded body at the front of the buffer
        self._remaining_bytes = 0  # of the body, or of the chunk, still to be read
        # Bytes of the head, or of the lines around chunks and the trailers, so far; they are
        # bounded by MAX_HEAD_BYTES.
        self._head_bytes = 0
        self._content_lengths: set[bytes] = set()
        self._transfer_encoding = b""

    @property
    def is_done(self) -> bool:
        """Whether the response is complete."""
        return self.state is ParserState.DONE

    def advance(self) -> str | None:
        """Parse as far as the buffer goes; return an error or None."""
        while not self.is_done:
            previous_progress = self.state, self.body_bytes, self._head_bytes, len(self.buffer)
            error = self._read_next()
            if error:
                return error
            if previous_progress == (
                self.state,
                self.body_bytes,
                self._head_bytes,
                len(self.buffer),
            ):
                return "answer too long" if self.buffer.is_full else None
        return "bytes after the answer" if len(self.buffer) > self.body_bytes else None

    def on_eof(self) -> str | None:
        """Handle the end of the peer's data; return an error if the response is incomplete."""
        if self.state is ParserState.BODY_UNTIL_CLOSE:
            self.state = ParserState.DONE
        return None if self.is_done else "early close"

    def take_body(self) -> bytes:
        """Take what has been decoded of the body out of the buffer."""
        body = self.buffer.take(self.body_bytes)
        self.body_bytes = 0
        return body

    def take_line(self) -> bytes | None:
        """Take the next complete line of the body, without its line end; None if there is none."""
        line_end = self.buffer.find(b"\n")
        if not 0 <= line_end < self.body_bytes:
            return None
        self.body_bytes -= line_end + 1
        return self.buffer.take(line_end + 1)[:-1].rstrip(b"\r")

    def _read_next(self) -> str | None:
        """Parse the next line or part of the body; return an error or None."""
        if self.state in (
            ParserState.FIXED_LENGTH_BODY,
            ParserState.CHUNK_DATA,
            ParserState.BODY_UNTIL_CLOSE,
        ):
            return self._read_body()
        line = self._take_framing_line()
        if line is None:
            prefix = self.buffer.peek(self.body_bytes, self.body_bytes + 5)
            if (
                self.state is ParserState.HEAD
                and not self.status
                and not b"HTTP/".startswith(prefix)
            ):
                return "bad status line"
            return (
                "head too long"
                if len(self.buffer) - self.body_bytes + self._head_bytes > MAX_HEAD_BYTES
                else None
            )
        self._head_bytes += len(line) + 1
        if self._head_bytes > MAX_HEAD_BYTES:
            return "head too long"
        if self.state is ParserState.HEAD:
            return self._read_head_line(line)
        if self.state is ParserState.CHUNK_SIZE:
            self._head_bytes = 0
            return self._read_chunk_size(line)
        if self.state is ParserState.CHUNK_END:
            self.state = ParserState.CHUNK_SIZE
            return "bad chunk end" if line else None
        if not line:
            self.state = ParserState.DONE
        return None

    def _take_framing_line(self) -> bytes | None:
        """Take the next line that is not body out of the buffer; None if it is incomplete."""
        line_end = self.buffer.find(b"\n", self.body_bytes)
        if line_end < 0:
            return None
        line = self.buffer.peek(self.body_bytes, line_end)
        self.buffer.remove(self.body_bytes, line_end + 1 - self.body_bytes)
        return line.removesuffix(b"\r")

    def _read_head_line(self, line: bytes) -> str | None:
        """Parse the status line or a header line."""
        if not self.status:
            match = _STATUS_LINE.fullmatch(line)
            if not match:
                return "bad status line"
            self.keep_alive = match[1] == b"1"  # HTTP/1.1
            self.status = int(match[2])
            return None
        if not line:
            return self._finish_head()
        match = _HEADER_LINE.fullmatch(line)
        if not match:
            return "bad header"
        name = match[1].lower()
        value = match[2].lower()
        if name == b"content-length":
            self._content_lengths.add(value)
        elif name == b"transfer-encoding":
            self._transfer_encoding = value
        elif name == b"connection" and b"close" in value:
            self.keep_alive = False
        return None

    def _finish_head(self) -> str | None:
        """Choose how the body is framed, at the empty line after the headers."""
        if self.status < 200:  # an interim response; the final one follows
            self.status = 0
            self._head_bytes = 0
            self._content_lengths = set()
            self._transfer_encoding = b""
            return None
        self._head_bytes = 0
        if self.status in (204, 304):
            self.state = ParserState.DONE
            return None
        if self._transfer_encoding:
            self.state = ParserState.CHUNK_SIZE
            return None if self._transfer_encoding == b"chunked" else "bad transfer encoding"
        if not self._content_lengths:
            self.state = ParserState.BODY_UNTIL_CLOSE
            self.keep_alive = False
            return None
        length = self._content_lengths.pop()
        if self._content_lengths or not length.isdigit():
            return "bad length"
        # Twelve digits suffice to see that a length is above the limit.
        self._remaining_bytes = int(length[:12])
        self.state = ParserState.FIXED_LENGTH_BODY if self._remaining_bytes else ParserState.DONE
        return "body too long" if self._remaining_bytes > MAX_BODY_BYTES else None

    def _read_chunk_size(self, line: bytes) -> str | None:
        """Parse the line that begins a chunk; a size of 0 ends the body."""
        match = _CHUNK_SIZE_LINE.fullmatch(line)
        if not match:
            return "bad chunk size"
        self._remaining_bytes = int(match[1], 16)
        self.state = ParserState.CHUNK_DATA if self._remaining_bytes else ParserState.TRAILERS
        return "body too long" if self.body_bytes + self._remaining_bytes > MAX_BODY_BYTES else None

    def _read_body(self) -> str | None:
        """Count the body bytes in the buffer as decoded, as far as they belong to the body."""
        available_bytes = len(self.buffer) - self.body_bytes
        if self.state is ParserState.BODY_UNTIL_CLOSE:
            self.body_bytes += available_bytes
            return "body too long" if self.body_bytes > MAX_BODY_BYTES else None
        read_bytes = min(available_bytes, self._remaining_bytes)
        self.body_bytes += read_bytes
        self._remaining_bytes -= read_bytes
        if not self._remaining_bytes:
            self.state = (
                ParserState.DONE
                if self.state is ParserState.FIXED_LENGTH_BODY
                else ParserState.CHUNK_END
            )
        return None
