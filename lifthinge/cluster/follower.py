"""Follows the agreed document, in a front end or controller.

It subscribes to any member that is current, and never returns to an older document.
"""

import asyncio
import logging
from collections.abc import Callable

from lifthinge.agreed.state import Fence
from lifthinge.cluster import client_messages
from lifthinge.cluster.client import MemberConnection, connect_member
from lifthinge.cluster.keys import KeyFile
from lifthinge.memory.runtime import Runtime

log = logging.getLogger(__name__)
ANSWER_TIMEOUT_MS = 1_500.0  # then a member that does not answer is left for another
STATUS_INTERVAL_MS = 2_000.0  # between checks whether the member is still current
# The next member is tried after a random delay between these two.
MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 1_000.0
MAX_QUEUED_DOCUMENTS = 64  # received but not yet processed; only the latest matters


class DocumentFollower:
    """Follow the agreed document.

    `on_document` is called with each document that may be used, in their order.
    """

    def __init__(
        self,
        runtime: Runtime,
        members: dict[str, tuple[str, int]],
        cluster: str,
        name: str,
        keys: KeyFile,
        on_document: Callable[[client_messages.VersionReply], None],
    ) -> None:
        self.runtime = runtime
        self.members = members
        self.cluster = cluster
        self.name = name
        self.keys = keys
        self.on_document = on_document
        self.fence = Fence()
        # Whether a member that hears from a majority confirms the document held.
        self.current = False
        self._connection: MemberConnection | None = None

    async def run(self) -> None:
        """Follow one member until it is no longer current, then another; never returns."""
        names = sorted(self.members)
        position = self.runtime.rng.randrange(len(self.members))
        while True:
            position += 1
            self._connection = await connect_member(
                self.runtime,
                self.members[names[position % len(names)]],
                self.cluster,
                self.name,
                self.keys,
            )
            if self._connection is not None:
                await self._subscribe(self._connection)
                self._connection.close()
            if self.current:
                self.runtime.rate_limited_log.warning(
                    "agreed_lost",
                    member=names[position % len(names)],
                    version_held=self.fence.latest_admitted[1],
                )
            self.current = False
            await self.runtime.pause(
                self.runtime.rng.uniform(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
            )

    async def _subscribe(self, connection: MemberConnection) -> None:
        """Receive documents from a member until the connection closes or it rejects."""
        connection.pushed_replies = asyncio.Queue(MAX_QUEUED_DOCUMENTS)
        reply = await connection.ask(
            client_messages.Subscribe(self.fence.latest_admitted), ANSWER_TIMEOUT_MS
        )
        if not isinstance(reply, client_messages.VersionReply):
            self.runtime.counters.add("agreed.turned_away")
            return
        self.current = True
        self._admit(reply)
        status_watch = asyncio.get_running_loop().create_task(self._watch_status(connection))
        try:
            while isinstance(
                reply := await connection.pushed_replies.get(), client_messages.VersionReply
            ):
                self._admit(reply)
        finally:
            status_watch.cancel()

    async def _watch_status(self, connection: MemberConnection) -> None:
        """Close the connection once the member does not answer, or has no majority itself."""
        while True:
            await self.runtime.pause(STATUS_INTERVAL_MS)
            report = await connection.ask(client_messages.GetStatus(), ANSWER_TIMEOUT_MS)
            if (
                not isinstance(report, client_messages.StatusReport)
                or not report.ready
                or not report.in_touch
            ):
                connection.close()
                return

    def _admit(self, document: client_messages.VersionReply) -> None:
        """Pass on a document that is not older than the one held; drop it otherwise."""
        if not document.version:
            return
        if self.fence.admit(document.term, document.index):
            self.runtime.counters.add("agreed.taken")
            self.on_document(document)
        else:
            self.runtime.counters.add("agreed.fenced")

    def close(self) -> None:
        """Close the connection to the member; `run` goes on with the next one unless cancelled."""
        if self._connection is not None:
            self._connection.close()
