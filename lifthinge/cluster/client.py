"""Clients of the cluster.

They find the leader, and repeat a proposal under the same number until its outcome is known.
"""

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

ANSWER_TIMEOUT_MS = 10_000.0  # longer than the member's own limits
# The delay between attempts grows by the step with each failure, up to the maximum.
RETRY_DELAY_STEP_MS = 20.0
MAX_RETRY_DELAY_MS = 250.0
Address = tuple[str, int]


class MemberConnection:
    """A connection to one member, and the requests that wait for replies on it."""

    def __init__(self, runtime: Runtime, link: Link) -> None:
        self.runtime = runtime
        self.link = link
        self._last_number = 0
        self._pending_replies: dict[int, asyncio.Future] = {}
        # Replies after the first one to a `Subscribe`, then None when the connection has closed.
        self.pushed_replies: asyncio.Queue | None = None
        link.on_message = self._on_message
        link.on_close = self._on_close

    def _on_message(self, link: Link, body: bytes) -> None:
        """Pass a reply to the request that waits for it, or queue it."""
        number, reply = client_messages.decode_reply(body)
        future = self._pending_replies.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)
        elif self.pushed_replies is not None:
            self.pushed_replies.put_nowait(reply)

    def _on_close(self, link: Link) -> None:
        """End all waiting requests without a reply."""
        pending_replies, self._pending_replies = self._pending_replies, {}
        for future in pending_replies.values():
            if not future.done():
                future.set_result(None)
        if self.pushed_replies is not None:
            self.pushed_replies.put_nowait(None)

    async def ask(
        self, request: client_messages.Request, timeout_ms: float = ANSWER_TIMEOUT_MS
    ) -> client_messages.Reply | None:
        """Send a request and return its reply.

        Returns None if the connection broke or no reply came within `timeout_ms`; the request may
        have been executed.
        """
        self._last_number += 1
        number = self._last_number
        future = self._pending_replies[number] = asyncio.get_running_loop().create_future()
        if not self.link.send(client_messages.encode(number, request)):
            self._pending_replies.pop(number, None)
            return None
        deadline = self.runtime.deadlines.schedule(
            timeout_ms, lambda: future.done() or future.set_result(None)
        )
        try:
            return await future
        finally:
            deadline.cancel()
            self._pending_replies.pop(number, None)

    def close(self) -> None:
        """Abort the connection."""
        self.link.abort()


async def connect_member(
    runtime: Runtime, address: Address, cluster: str, name: str, keys: KeyFile
) -> MemberConnection | None:
    """Connect to a member and authenticate both sides; return None if that fails."""

    def create_link() -> Link:
        link = Link(
            runtime, lambda role: keys.now(), cluster, name, role="client", dialed_peer="member"
        )
        link.on_open = lambda link: opened.done() or opened.set_result(True)
        link.on_close = lambda link: opened.done() or opened.set_result(False)
        return link

    opened = asyncio.get_running_loop().create_future()
    link = await connect(runtime, create_link, address)
    if isinstance(link, Failure):
        return None
    return MemberConnection(runtime, link) if await opened else None


class ClusterClient:
    """A client that tries one member after the other until one answers.

    `members` are the addresses by name, as this client reaches them.
    """

    def __init__(
        self, runtime: Runtime, members: dict[str, Address], cluster: str, name: str, keys: KeyFile
    ) -> None:
        self.runtime = runtime
        self.members = members
        self.cluster = cluster
        self.name = name
        self.keys = keys
        self._connection: MemberConnection | None = None
        self._member_name = ""
        self.session = 0  # 0 before a session is open
        self.number = 0  # of the last proposal in the session
        self.attempts = 0  # of all requests so far

    def close(self) -> None:
        """Close the connection in use, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _reach(self, hint: str = "") -> MemberConnection | None:
        """Return the connection in use or a new one: to the member `hint`, else to a random one."""
        if hint and hint != self._member_name and hint in self.members:
            self.close()
            self._member_name = hint
        if self._connection is None or self._connection.link.is_closed:
            if not hint:
                self._member_name = self.runtime.rng.choice(sorted(self.members))
            self._connection = await connect_member(
                self.runtime, self.members[self._member_name], self.cluster, self.name, self.keys
            )
        return self._connection

    async def ask(
        self, request: client_messages.Request, deadline_ms: float
    ) -> client_messages.Reply | None:
        """Send a request until a member answers it or the runtime's clock reaches `deadline_ms`.

        A request is sent again if it had no effect, or has its effect only once however often it
        is sent. Returns the last reply if none was final, None if there was none at all.
        """
        hint = ""
        failures = 0
        last_reply = None
        while self.runtime.now < deadline_ms:
            self.attempts += 1
            connection = await self._reach(hint)
            timeout_ms = max(deadline_ms - self.runtime.now, 1.0)
            reply = (
                await connection.ask(request, min(timeout_ms, ANSWER_TIMEOUT_MS))
                if connection is not None
                else None
            )
            if reply is not None and not (
                isinstance(reply, Rejection) and reply.why in _RETRYABLE_REJECTIONS
            ):
                return reply
            last_reply = reply or last_reply
            failures += 1
            hint = (
                reply.leader if isinstance(reply, Rejection) and reply.why == "not_leader" else ""
            )
            if reply is None or not hint:
                self.close()
            if failures > 1 or not hint:
                await self.runtime.pause(
                    min(RETRY_DELAY_STEP_MS * failures, MAX_RETRY_DELAY_MS)
                    * (0.5 + self.runtime.rng.random())
                )
        return last_reply

    async def propose(
        self,
        document: dict[str, Any],
        base_version: int,
        author: str,
        proposed_at_ms: float,
        deadline_ms: float,
    ) -> Accepted | VersionConflict | InvalidProposal | Rejection | None:
        """Propose a document in place of version `base_version`.

        It takes effect once, however often it is sent. `proposed_at_ms` is recorded with it;
        `deadline_ms` is as for `ask`. Returns what `ask` returned.
        """
        if not self.session:
            opened = await self.ask(
                client_messages.OpenSessionRequest(self.runtime.rng.randbytes(8)), deadline_ms
            )
            if not isinstance(opened, SessionOpened):
                return opened
            self.session = opened.session
            self.number = 0
        self.number += 1
        body = msgspec.msgpack.encode(document)
        return await self.ask(
            Propose(self.session, self.number, base_version, proposed_at_ms, author, body),
            deadline_ms,
        )


# Reasons in a `Rejection` for which the request is sent again, possibly to another member.
_RETRYABLE_REJECTIONS = {
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
