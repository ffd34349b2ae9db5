"""News from the relay: a stream that is opened again whenever it breaks, falls silent or can't be read."""
import asyncio
import logging
from typing import Callable, Optional

from lifthinge.interface import Event
from lifthinge.memory.attempts import Cause, Failure
from lifthinge.memory.books import Books
from lifthinge.memory.calls import Calls
from lifthinge.memory.deadlines import Deadline
from lifthinge.memory.stand import Stand
from lifthinge.memory.world import World
from lifthinge.wire import names
from lifthinge.wire.client import HttpConnection, get
from lifthinge.wire.connection import connect
from lifthinge.wire.door import Door
from lifthinge.wire.frames import Skip, read_object

log = logging.getLogger(__name__)
SILENCE = 2_200.0       # ms without a line; a sign of life comes every second
RETRY_LEAST, RETRY_MOST = 50.0, 250.0


class NewsConnection(HttpConnection):
    """Hands on line by line for as long as they come."""

    def __init__(self, books: Books, line: Callable[[bytes], None]) -> None:
        super().__init__(books, "relay_news")
        self._line = line
        self._silence: Optional[Deadline] = None

    def open(self, data: bytes) -> "asyncio.Future":
        self._listen()
        return self.ask(data, float("inf"))

    def received(self) -> None:
        self._listen()
        trouble = self.parser.advance() if self.parser else "unasked"
        if not trouble and self.parser.status == 200:
            while (line := self.parser.take_line()) is not None and not self.lost:
                self._line(line)
        if trouble or self.parser.done:
            self.fail(Cause.UNREADABLE, trouble or f"status {self.parser.status}")

    def gone(self) -> None:
        if self._silence:
            self._silence.cancel()
        super().gone()

    def _listen(self) -> None:
        if self._silence:
            self._silence.cancel()
        self._silence = self.books.deadlines.set(SILENCE, lambda: self.fail(Cause.LATE, "silent"))


class News:
    """`tell` takes the events; `stood` is called when what stands has been heard."""

    def __init__(self, books: Books, door: Door, world: World, calls: Calls, where: tuple[str, int],
                 tell: Callable[[list[Event]], None]) -> None:
        self.books, self.door, self.world, self.calls, self.where = books, door, world, calls, where
        self.tell = tell
        self.stood = False              # ever heard what stands
        self._stand: Optional[Stand] = None

    async def run(self) -> None:
        failures = 0
        while True:
            opened = self.books.now
            result = await self._once()
            self.books.notices.note("news_ended", cause=result.cause.value, detail=result.detail)
            failures = failures + 1 if self.books.now - opened < SILENCE else 0
            if failures:
                await self.books.pause(RETRY_LEAST + self.books.dice.random() * (RETRY_MOST - RETRY_LEAST))

    async def _once(self) -> Failure:
        self._stand = Stand()
        connection = await connect(self.books, lambda: NewsConnection(self.books, self._take), self.where)
        if isinstance(connection, Failure):
            return connection
        try:
            return await connection.open(get(names.NEWS_PATH, self.where))
        finally:
            connection.abort()

    def _take(self, line: bytes) -> None:
        message = read_object(line)
        if message == {}:
            self._end_stand()
            return
        event = message if isinstance(message, Skip) else self.door.news(message)
        if isinstance(event, Skip):
            self.books.notices.note("bad_news", why=event.why)
            return
        self.books.counters.add(f"news.{type(event).__name__}")
        if self._stand is None or not self._stand.take(event):
            self.tell([event])

    def _end_stand(self) -> None:
        stand, self._stand = self._stand, None
        if stand is not None:
            self.stood = True
            self.tell(stand.difference(self.world, self.calls))
