"""Asks the members: finds who leads, and repeats under the same number until it is known what became of it."""

import asyncio
from typing import Any

import msgspec

from lifthinge.agreed.commands import (
    Accepted,
    InvalidProposal,
    Propose,
    SessionOpened,
    VersionConflict,
)
from lifthinge.cluster import client_messages
from lifthinge.cluster.client_messages import Rejection
from lifthinge.cluster.keys import KeyFile
from lifthinge.cluster.link import Link
from lifthinge.memory.attempts import Failure
from lifthinge.memory.runtime import Runtime
from lifthinge.wire.connection import connect

ANSWER_WAIT = 10_000.0  # ms for one answer, beyond the member's own limit
ASIDE = 20.0, 250.0  # ms between tries, the longer the more have failed
Address = tuple[str, int]


class MemberConnection:
    """One connection to one member, and the asks under way on it."""

    def __init__(self, runtime: Runtime, link: Link) -> None:
        self.runtime, self.link = runtime, link
        self._number = 0
        self._waiting: dict[int, asyncio.Future] = {}
        self.pushed_replies: asyncio.Queue | None = (
            None  # what comes after the first answer of a Follow
        )
        link.on_message, link.on_close = self._heard, self._closed

    def _heard(self, link: Link, body: bytes) -> None:
        number, reply = client_messages.decode_reply(body)
        future = self._waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)
        elif self.pushed_replies is not None:
            self.pushed_replies.put_nowait(reply)

    def _closed(self, link: Link) -> None:
        waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_result(None)
        if self.pushed_replies is not None:
            self.pushed_replies.put_nowait(None)

    async def ask(
        self, what: client_messages.Request, wait: float = ANSWER_WAIT
    ) -> client_messages.Reply | None:
        """The answer; None if the connection broke or nothing came in time: what was asked may have run."""
        self._number += 1
        number = self._number
        future = self._waiting[number] = asyncio.get_running_loop().create_future()
        if not self.link.send(client_messages.encode(number, what)):
            self._waiting.pop(number, None)
            return None
        deadline = self.runtime.deadlines.schedule(
            wait, lambda: future.done() or future.set_result(None)
        )
        try:
            return await future
        finally:
            deadline.cancel()
            self._waiting.pop(number, None)

    def close(self) -> None:
        self.link.abort()


async def connect_member(
    runtime: Runtime, where: Address, cluster: str, name: str, keys: KeyFile
) -> MemberConnection | None:
    """A connection to a member, both sides known; None if there is none to be had."""

    def make() -> Link:
        link = Link(
            runtime, lambda role: keys.now(), cluster, name, role="client", dialed_peer="member"
        )
        link.on_open = lambda link: met.done() or met.set_result(True)
        link.on_close = lambda link: met.done() or met.set_result(False)
        return link

    met = asyncio.get_running_loop().create_future()
    link = await connect(runtime, make, where)
    if isinstance(link, Failure):
        return None
    return MemberConnection(runtime, link) if await met else None


class ClusterClient:
    """Goes from member to member until one answers; `members` are addresses by name, as the asker reaches them."""

    def __init__(
        self, runtime: Runtime, members: dict[str, Address], cluster: str, name: str, keys: KeyFile
    ) -> None:
        self.runtime, self.members, self.cluster, self.name, self.keys = (
            runtime,
            members,
            cluster,
            name,
            keys,
        )
        self._call: MemberConnection | None = None
        self._at = ""
        self.session, self.number = 0, 0
        self.attempts = 0

    def close(self) -> None:
        if self._call is not None:
            self._call.close()
            self._call = None

    async def _reach(self, hint: str = "") -> MemberConnection | None:
        """The connection in use, or another: to who is said to lead, else to any."""
        if hint and hint != self._at and hint in self.members:
            self.close()
            self._at = hint
        if self._call is None or self._call.link.is_closed:
            if not hint:
                self._at = self.runtime.rng.choice(sorted(self.members))
            self._call = await connect_member(
                self.runtime, self.members[self._at], self.cluster, self.name, self.keys
            )
        return self._call

    async def ask(
        self, what: client_messages.Request, until: float
    ) -> client_messages.Reply | None:
        """An answer from who can give it, by `until` (ms, the books' clock); None if none came.

        What took no effect, or takes it once however often it is sent, is sent again.
        """
        hint, failed, last = "", 0, None
        while self.runtime.now < until:
            self.attempts += 1
            link = await self._reach(hint)
            wait = max(until - self.runtime.now, 1.0)
            reply = await link.ask(what, min(wait, ANSWER_WAIT)) if link is not None else None
            if reply is not None and not (isinstance(reply, Rejection) and reply.why in _ELSEWHERE):
                return reply
            last, failed = reply or last, failed + 1
            hint = (
                reply.leader if isinstance(reply, Rejection) and reply.why == "not_leader" else ""
            )
            if reply is None or not hint:
                self.close()
            if failed > 1 or not hint:
                await self.runtime.pause(
                    min(ASIDE[0] * failed, ASIDE[1]) * (0.5 + self.runtime.rng.random())
                )
        return last

    async def propose(
        self, document: dict[str, Any], on: int, author: str, at: float, until: float
    ) -> Accepted | VersionConflict | InvalidProposal | Rejection | None:
        """Proposes a document in place of version `on`; takes effect once, however often it is sent."""
        if not self.session:
            opened = await self.ask(
                client_messages.OpenSessionRequest(self.runtime.rng.randbytes(8)), until
            )
            if not isinstance(opened, SessionOpened):
                return opened
            self.session, self.number = opened.session, 0
        self.number += 1
        body = msgspec.msgpack.encode(document)
        return await self.ask(Propose(self.session, self.number, on, at, author, body), until)


_ELSEWHERE = {
    "not_leader",
    "catching up",
    "nobody leads who could say",
    "no answer in time",
    "its fate is unknown",
    "another entry took its place",
    "busy",
    "changing",
    "not_ready",
    "no majority",
}
