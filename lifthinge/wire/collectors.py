"""The controller's address: collectors with their reports, whoever asks for a sign of life, and strangers."""
import asyncio
import socket
from typing import Callable, Optional, Union

from lifthinge.interface import Event
from lifthinge.memory.books import Books
from lifthinge.memory.deadlines import Deadline
from lifthinge.wire import names
from lifthinge.wire.connection import Connection
from lifthinge.wire.door import Door
from lifthinge.wire.frames import FRAME_MOST, Lost, Skip, pack, read_frame

STRANGER_MOST = 64 << 10    # bytes of a message from one that has not named its zone
COLLECTORS_MOST = 8         # of one zone; the oldest gives way
FIRST_WORD = 5_000.0        # ms until a connection has said something that can be used
IDLE_MOST = 60_000.0        # ms between messages
SEND_BUFFER = 32 << 10      # bytes that the system holds for one that does not read


class Reporter(Connection):
    """One connection that came in."""
    kind = "inbound"

    def __init__(self, reception: "Reception") -> None:
        super().__init__(reception.books, STRANGER_MOST)
        self.reception = reception
        self.zone: Optional[int] = None
        self.spoke = False
        self.owes_beat = False
        self._deadline: Optional[Deadline] = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self._deadline = self.books.deadlines.set(FIRST_WORD, self._too_long)
        self.reception.came(self)

    def received(self) -> None:
        while not self.lost:
            message = read_frame(self.buffer)
            if message is None:
                return
            if isinstance(message, Lost):
                self.books.notices.note("framing_lost", why=message.why)
                self.abort()
                return
            self._take(message)

    def ended(self) -> None:
        if len(self.buffer):
            self.books.notices.note("framing_lost", why="cut short")

    def gone(self) -> None:
        if self._deadline:
            self._deadline.cancel()
        self.reception.left(self)

    def beat(self) -> None:
        self.owes_beat = False
        self.books.counters.add("beats.answered")
        self.write(pack({names.KIND: names.BEAT_ANSWER}))

    def _take(self, message: Union[dict, Skip]) -> None:
        trouble = message if isinstance(message, Skip) else self._use(message)
        if trouble:
            self.books.notices.note("bad_message", why=trouble.why)
            return
        self.spoke = True

    def _use(self, message: dict) -> Optional[Skip]:
        kind = message.get(names.KIND)
        if kind == names.BEAT:
            self.books.counters.add("beats.asked")
            self.owes_beat = True
            if self.reception.ready():
                self.beat()
            return None
        if kind == names.COLLECTOR:
            zone = self.reception.door.zone(message)
            if isinstance(zone, Skip):
                return zone
            self.zone, self.buffer.limit = zone, FRAME_MOST + 4
            self.reception.collects(self)
            return None
        event = self.reception.door.report(message)
        if isinstance(event, Skip):
            return event
        if self.zone is None:
            return Skip("a report before the zone")
        self.books.counters.add(f"reports.{type(event).__name__}")
        self.reception.tell([event])
        return None

    def _too_long(self) -> None:
        rest = self.heard_at + IDLE_MOST - self.books.now if self.spoke else 0.0
        if rest > 0:
            self._deadline = self.books.deadlines.set(rest, self._too_long)
        else:
            self.books.counters.add("inbound.silent")
            self.abort()


class Reception:
    """Who has come in; the longest silent give way to newcomers, those who never spoke first."""

    def __init__(self, books: Books, door: Door, most: int, ready: Callable[[], bool],
                 tell: Callable[[list[Event]], None]) -> None:
        self.books, self.door, self.most, self.ready, self.tell = books, door, most, ready, tell
        self._present: dict[Reporter, None] = {}
        self._server: Optional[asyncio.Server] = None

    async def open(self, where: tuple[str, int]) -> None:
        self._server = await asyncio.get_running_loop().create_server(lambda: Reporter(self), *where)

    @property
    def where(self) -> tuple[str, int]:
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._server:
            self._server.close()
        for one in list(self._present):
            one.abort()

    def came(self, one: Reporter) -> None:
        self._present[one] = None
        others = [other for other in self._present if other is not one and not other.lost]
        if len(others) >= self.most:
            self.books.counters.add("inbound.crowded_out")
            min(others, key=lambda other: (other.zone is not None, other.spoke, other.heard_at)).abort()

    def left(self, one: Reporter) -> None:
        self._present.pop(one, None)

    def collects(self, one: Reporter) -> None:
        same = [other for other in self._present if other.zone == one.zone and not other.lost]
        if len(same) > COLLECTORS_MOST:
            min(same, key=lambda other: other.heard_at).abort()

    def answer_beats(self) -> None:
        """Answers those who asked before there was anything to answer."""
        for one in list(self._present):
            if one.owes_beat:
                one.beat()
