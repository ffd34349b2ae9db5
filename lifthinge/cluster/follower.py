"""A front end's or controller's side: follows the agreed document from whichever member is current, and never goes back."""

import asyncio
import logging
from collections.abc import Callable

from lifthinge.agreed.state import Fence
from lifthinge.cluster import client_messages
from lifthinge.cluster.client import MemberConnection, connect_member
from lifthinge.cluster.keys import KeyFile
from lifthinge.memory.runtime import Runtime

log = logging.getLogger(__name__)
ANSWER_WAIT = 1_500.0  # ms until a member that says nothing is left for another
LOOK_EVERY = 2_000.0  # ms between questions whether the member is still current
ASIDE = 100.0, 1_000.0  # ms until the next member is tried
TOLD_MOST = 64  # documents not yet taken in; the latest of them counts


class DocumentFollower:
    """`told` is called with each document that may be obeyed, in their order."""

    def __init__(
        self,
        runtime: Runtime,
        members: dict[str, tuple[str, int]],
        cluster: str,
        name: str,
        keys: KeyFile,
        told: Callable[[client_messages.VersionReply], None],
    ) -> None:
        self.runtime, self.members, self.cluster, self.name, self.keys = (
            runtime,
            members,
            cluster,
            name,
            keys,
        )
        self.told, self.fence = told, Fence()
        self.current = False  # a member that hears a majority vouches for what is held
        self._call: MemberConnection | None = None

    async def run(self) -> None:
        """Follows for good: from one member until it is no longer current, then from another."""
        names, place = sorted(self.members), self.runtime.rng.randrange(len(self.members))
        while True:
            place += 1
            self._call = await connect_member(
                self.runtime,
                self.members[names[place % len(names)]],
                self.cluster,
                self.name,
                self.keys,
            )
            if self._call is not None:
                await self._follow(self._call)
                self._call.close()
            if self.current:
                self.runtime.rate_limited_log.warning(
                    "agreed_lost",
                    member=names[place % len(names)],
                    version_held=self.fence.latest_admitted[1],
                )
            self.current = False
            await self.runtime.pause(self.runtime.rng.uniform(*ASIDE))

    async def _follow(self, link: MemberConnection) -> None:
        link.pushed_replies = asyncio.Queue(TOLD_MOST)
        reply = await link.ask(client_messages.Subscribe(self.fence.latest_admitted), ANSWER_WAIT)
        if not isinstance(reply, client_messages.VersionReply):
            self.runtime.counters.add("agreed.turned_away")
            return
        self.current = True
        self._take(reply)
        look = asyncio.get_running_loop().create_task(self._look(link))
        try:
            while isinstance(
                reply := await link.pushed_replies.get(), client_messages.VersionReply
            ):
                self._take(reply)
        finally:
            look.cancel()

    async def _look(self, link: MemberConnection) -> None:
        """Ends the connection once the member does not answer, or hears no majority itself."""
        while True:
            await self.runtime.pause(LOOK_EVERY)
            report = await link.ask(client_messages.GetStatus(), ANSWER_WAIT)
            if (
                not isinstance(report, client_messages.StatusReport)
                or not report.ready
                or not report.in_touch
            ):
                link.close()
                return

    def _take(self, one: client_messages.VersionReply) -> None:
        if not one.version:
            return
        if self.fence.admit(one.term, one.index):
            self.runtime.counters.add("agreed.taken")
            self.told(one)
        else:
            self.runtime.counters.add("agreed.fenced")

    def close(self) -> None:
        if self._call is not None:
            self._call.close()
