"""A member of the cluster on sockets: drives the protocol, the disk and the agreed state, and answers clients."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lifthinge.agreed.commands import OpenSession, Propose
from lifthinge.agreed.commands import encode as pack_command
from lifthinge.agreed.document import SchemaProblem, read_document
from lifthinge.agreed.state import MAX_BODY_BYTES, DocumentStateMachine
from lifthinge.cluster import client_messages
from lifthinge.cluster.client_messages import Rejection
from lifthinge.cluster.disk import Committer, Disk
from lifthinge.cluster.keys import Keys
from lifthinge.cluster.link import Link
from lifthinge.memory.attempts import Failure
from lifthinge.memory.runtime import Runtime
from lifthinge.raft import messages
from lifthinge.raft.messages import Entry, EntryKind, Snapshot
from lifthinge.raft.node import NEVER, Raft, RaftOptions, Refusal, RefusalReason, Role
from lifthinge.wire.connection import connect

log = logging.getLogger(__name__)
Address = tuple[str, int]

REDIAL = 100.0, 1_000.0  # ms until a member that can't be reached is tried again
ASK_WAIT = 8_000.0  # ms until a client hears that the fate of its proposal is unknown
READ_WAIT = 3_000.0  # ms that a read may wait for a round and for what is to be applied
TOUCH_LEAST = 2.0  # election time-outs without a majority: then it says so
CLIENTS_MOST, ASKS_MOST, ASKS_EACH = 2_000, 8_192, 512
SNAPSHOT_BYTES = 20 << 20  # of the log held: time for a snapshot, however few entries they are
SNAPSHOT_LATEST = 3.0  # times that, while one is on its way to a member
HISTORY_PAGE = 200
KEPT_MOST = 16  # messages to a member that is being dialled
CATCH_UP_EVERY = 200.0  # ms between a fresh member's questions to the leader


@dataclass(frozen=True)
class MemberSettings:
    """Which member this is, of which cluster."""

    cluster: str
    name: str
    listen: Address
    options: RaftOptions
    keys: Callable[[str], Keys]
    snapshot_entries: int = 20_000  # behind the last snapshot: time for another


@dataclass(eq=False, slots=True)
class _Ask:
    """A client's question under way."""

    link: Link
    number: int
    deadline: Any = None
    term: int = 0
    sent: bool = False  # it is in the log


class MemberServer:
    """Owns one member; `fatal` is called with the reason once it can't go on."""

    def __init__(
        self, settings: MemberSettings, runtime: Runtime, disk: Disk, fatal: Callable[[str], None]
    ) -> None:
        self.settings, self.runtime, self.fatal = settings, runtime, fatal
        self.raft = Raft(
            settings.name,
            runtime.rng,
            runtime.now,
            disk.stored_state.persistent_state(),
            settings.options,
        )
        self.state = DocumentStateMachine()
        self.committer = Committer(disk, self._durable, lambda error: self._fail(f"disk: {error}"))
        self.ready = False  # it has applied what was committed when it first asked
        self.in_touch = True
        self.removed = False
        self._in: dict[Link, None] = {}
        self._out: dict[str, Link] = {}  # by member: the link that we dialled
        self._from: dict[str, Link] = {}  # by member: the latest that it dialled
        self._dialling: set[str] = set()
        self._kept: dict[str, deque[messages.Message]] = {}  # said while a member is being dialled
        self._dial_wait: dict[str, float] = {}
        self._followers: dict[Link, int] = {}  # front ends: the number of their question
        self._each: dict[Link, int] = {}  # asks under way, by client
        self._asks = 0
        self._proposed: dict[int, list[_Ask]] = {}  # by index
        self._reads: dict[_Ask, client_messages.GetVersion] = {}
        self._to_apply: list[tuple[int, object]] = []  # reads that wait until this index is applied
        self._turn_due = self._over = False
        self._tick: Any = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._catching_up = False
        self._role = Role.FOLLOWER
        self._told = 0  # index of the version that front ends were told last

    async def start(self) -> None:
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, *self.settings.listen, backlog=512
        )
        self._turn()
        self._catch_up()
        self._look_around()

    @property
    def bound_address(self) -> Address:
        return self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Takes nothing more; what is being written is written to its end."""
        self._over = True
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for link in [*self._in, *self._out.values()]:
            link.abort()
        await asyncio.get_running_loop().run_in_executor(None, self.committer.close)

    def _fail(self, why: str) -> None:
        """What can't be written can't be promised: the member stops, and the others go on."""
        if not self._over:
            self._over = True
            log.error("member_failed", {"why": why})
            self.fatal(why)

    # Turns.

    def _wake(self) -> None:
        """One turn after this pass of the loop: what has come by then goes together."""
        if not self._turn_due and not self._over:
            self._turn_due = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self._turn_due = False
        if self._over:
            return
        out = self.raft.take_output()
        for to, message in out.messages:
            self._say(to, message)
        if out.writes:
            self.committer.submit(out.writes)
        for one in out.to_apply:
            self._apply(one)
        for token, index in out.read_results:
            self._to_apply.append((index, token))
        if self._to_apply:
            self._press_reads()
        if out.to_apply:
            self._tell_followers()
            self._compact()
        self._note_role()
        self._arm()

    def _arm(self) -> None:
        """A time that has moved on is not set anew each time: it is looked at once the former one is due."""
        due = self.raft.next_tick_at
        if self._tick is not None and self._tick.is_pending:
            if self._tick.due_at_ms <= due:
                return
            self._tick.cancel()
        if due < NEVER:
            self._tick = self.runtime.deadlines.schedule(due - self.runtime.now, self._ticked)

    def _ticked(self) -> None:
        if self._over:
            return
        self.raft.tick(self.runtime.now)
        self._turn()

    def _look_around(self) -> None:
        """Every election's time: links are up before they are needed, as an election waits for no dial."""
        if self._over:
            return
        for one in self.raft.log.configuration.members:
            if one.name != self.settings.name:
                self._reach(one.name)
        self._note_touch()
        self.runtime.deadlines.schedule(
            self.settings.options.election_timeout_ms, self._look_around
        )

    def _durable(self, number: int) -> None:
        if not self._over:
            self.raft.record_durable(number)
            self._turn()

    def _note_role(self) -> None:
        if self.raft.role is not self._role and Role.LEADER in (self.raft.role, self._role):
            log.info(
                "leads" if self.raft.role is Role.LEADER else "leads_no_more",
                {"term": self.raft.term},
            )
        self._role = self.raft.role
        configuration = self.raft.log.configuration
        if (
            configuration.members
            and not configuration.get(self.settings.name)
            and self.raft.commit_index >= self.raft.log.configuration_index
        ):
            if not self.removed:
                log.warning("removed", {"member": self.settings.name})
            self.removed = True
        else:
            self.removed = False

    def _note_touch(self) -> None:
        touch = self.raft.has_recent_quorum(
            self.runtime.now, TOUCH_LEAST * self.settings.options.election_timeout_ms
        )
        if touch != self.in_touch:
            self.in_touch = touch
            log.log(
                logging.INFO if touch else logging.WARNING,
                "in_touch" if touch else "no_majority",
                {"version": self.state.version, "term": self.raft.term},
            )

    # Applying.

    def _apply(self, one: Entry | Snapshot) -> None:
        if isinstance(one, Snapshot):
            if one.data:
                self.state.restore(one.data)
            else:
                self.state.skip(one.index, one.term)
            for index in [index for index in self._proposed if index <= one.index]:
                for ask in self._proposed.pop(index):
                    self._answer(
                        ask, Rejection("its fate is unknown", may_have_run=True, **self._leader())
                    )
            return
        if one.kind is EntryKind.COMMAND:
            answer = self.state.apply(one.index, one.term, one.data)
        else:
            self.state.skip(one.index, one.term)
            answer = client_messages.Done(one.index)
        for ask in self._proposed.pop(one.index, ()):
            self._answer(
                ask,
                answer
                if ask.term == one.term
                else Rejection("another entry took its place", **self._leader()),
            )

    def _compact(self) -> None:
        behind, size = self.state.index - self.raft.log.snapshot.index, self.raft.log.size_bytes
        due = max(behind / self.settings.snapshot_entries, size / SNAPSHOT_BYTES)
        if due < 1 or due < SNAPSHOT_LATEST and self.raft.is_sending_snapshot:
            return
        if self.raft.compact(self.state.index, self.state.export()):
            self.runtime.counters.add("member.snapshots")
            self._wake()

    def _press_reads(self) -> None:
        waiting, self._to_apply = self._to_apply, []
        for index, token in waiting:
            if 0 <= index and index > self.state.index:
                self._to_apply.append((index, token))
            elif token == "catch-up":
                self._caught_up(index)
            else:
                self._read_done(token, index)

    def _read_done(self, ask: _Ask, index: int) -> None:
        show = self._reads.pop(ask, None)
        if show is None:
            return
        if index < 0:
            self._answer(ask, Rejection("nobody leads who could say", **self._leader()))
        elif type(show) is client_messages.ListVersions:
            later = [one for one in self.state.versions if one.version >= show.since]
            self._answer(
                ask,
                client_messages.VersionList(
                    tuple(
                        client_messages.version_reply(one, body=False)
                        for one in later[:HISTORY_PAGE]
                    )
                ),
            )
        elif show.version is None:
            self._answer(ask, client_messages.version_reply(self.state.latest))
        else:
            found = next((one for one in self.state.versions if one.version == show.version), None)
            self._answer(
                ask,
                client_messages.version_reply(found)
                if found
                else Rejection(f"version {show.version} is not kept"),
            )

    # Catching up after a start.

    def _catch_up(self) -> None:
        if self.ready or self._over:
            return
        if not self._catching_up and not isinstance(
            self.raft.read("catch-up", self.runtime.now), Refusal
        ):
            self._catching_up = True
            self.runtime.deadlines.schedule(READ_WAIT, self._catch_up_late)
            self._wake()
        self.runtime.deadlines.schedule(CATCH_UP_EVERY, self._catch_up)

    def _catch_up_late(self) -> None:
        if self._catching_up:
            self.raft.cancel_read("catch-up")
            self._catching_up = False

    def _caught_up(self, index: int) -> None:
        self._catching_up = False
        if index >= 0 and not self.ready:
            self.ready = True
            log.info(
                "caught_up", {"index": index, "version": self.state.version, "term": self.raft.term}
            )
            self._tell_followers()

    # Members.

    def _say(self, to: str, message: messages.Message) -> None:
        link = self._out.get(to)
        if link is None and to in self._from and self.raft.log.configuration.get(to) is None:
            link = self._from[
                to
            ]  # a newcomer knows nobody's address yet: it answers where it was asked
        if link is not None and not link.is_closed:
            if link.send(messages.encode(message)):
                self.runtime.counters.add("member.sent")
            else:
                self.runtime.counters.add("member.unsent")
            return
        self._reach(to)
        if to in self._dialling:
            waiting = self._kept.setdefault(to, deque(maxlen=KEPT_MOST))
            waiting.append(message)

    def _reach(self, to: str) -> None:
        """Dials a member that no link goes to, unless that failed just now."""
        if (
            to not in self._dialling
            and to not in self._out
            and self.runtime.now >= self._dial_wait.get(to, 0.0)
        ):
            self._dialling.add(to)
            task = asyncio.get_running_loop().create_task(self._dial(to))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _dial(self, to: str) -> None:
        member = self.raft.log.configuration.get(to) or next(
            (
                one
                for _, configuration in self.raft.log.configurations
                for one in configuration.members
                if one.name == to
            ),
            None,
        )
        try:
            address = member.address.rsplit(":", 1) if member else None
            found = (
                await connect(
                    self.runtime, lambda: self._link(dialed_peer=to), (address[0], int(address[1]))
                )
                if address
                else None
            )
            if found is None or isinstance(found, Failure):
                self.runtime.counters.add("member.unreachable")
                self._redial_later(to)
        except (ValueError, IndexError):
            self.runtime.rate_limited_log.warning("member_address_bad", member=to)
            self._redial_later(to)

    def _redial_later(self, to: str) -> None:
        self._dialling.discard(to)
        self._kept.pop(to, None)
        self._dial_wait[to] = self.runtime.now + self.runtime.rng.uniform(*REDIAL)

    def _link(self, dialed_peer: str = "") -> Link:
        link = Link(
            self.runtime,
            self.settings.keys,
            self.settings.cluster,
            self.settings.name,
            dialed_peer=dialed_peer,
            expected_peer=dialed_peer,
        )
        link.on_open, link.on_message, link.on_close = self._opened, self._heard, self._closed
        return link

    def _accept(self) -> Link:
        link = self._link()
        if len(self._in) >= CLIENTS_MOST:
            self.runtime.rate_limited_log.warning("member_full")
            asyncio.get_running_loop().call_soon(link.abort)
        self._in[link] = None
        return link

    def _opened(self, link: Link) -> None:
        if link.dialed_peer:
            self._out[link.dialed_peer] = link
            self._dialling.discard(link.dialed_peer)
            self.runtime.counters.add("member.links")
            for message in self._kept.pop(link.dialed_peer, ()):
                link.send(messages.encode(message))
        elif link.peer_hello.role == "member":
            self._from[link.peer_hello.sender] = link
            self._dial_wait.pop(link.peer_hello.sender, None)  # it is back

    def _closed(self, link: Link) -> None:
        self._in.pop(link, None)
        self._followers.pop(link, None)
        self._each.pop(link, None)
        if link.peer_hello is not None and self._from.get(link.peer_hello.sender) is link:
            del self._from[link.peer_hello.sender]
        if link.dialed_peer and self._out.get(link.dialed_peer, link) is link:
            self._out.pop(link.dialed_peer, None)
            self._redial_later(link.dialed_peer)

    def _heard(self, link: Link, body: bytes) -> None:
        if self._over:
            return
        try:
            if link.peer_hello.role == "client":
                number, ask = client_messages.decode_request(body)
            else:
                message = messages.decode(body)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            self.runtime.rate_limited_log.warning(
                "member_bad_message", peer=link.peer_hello.sender, why=str(error)
            )
            link.abort()
            return
        if link.peer_hello.role == "client":
            self._asked(link, number, ask)
        else:
            try:
                self.raft.step(link.peer_hello.sender, message, self.runtime.now)
            except (
                AssertionError
            ) as error:  # a promise of the protocol is broken: nothing may build on it
                self._fail(f"protocol: {error}")
                return
        self._wake()

    # Clients.

    def _leader(self) -> dict[str, str]:
        name = self.raft.leader or ""
        member = self.raft.log.configuration.get(name)
        return {"leader": name, "address": member.address if member else ""}

    def _asked(self, link: Link, number: int, what: client_messages.Request) -> None:
        ask = _Ask(link, number)
        if type(what) is client_messages.GetStatus:
            link.send(client_messages.encode(number, self._report()))
            return
        if self._each.get(link, 0) >= ASKS_EACH or self._asks >= ASKS_MOST:
            self.runtime.counters.add("member.busy")
            link.send(
                client_messages.encode(
                    number, Rejection(RefusalReason.BUSY.value, **self._leader())
                )
            )
            return
        if type(what) is client_messages.Subscribe:
            self._follow(ask, what)
            return
        if not self.ready:
            link.send(client_messages.encode(number, Rejection("catching up", **self._leader())))
            return
        self._each[link] = self._each.get(link, 0) + 1
        self._asks += 1
        ask.deadline = self.runtime.deadlines.schedule(
            READ_WAIT
            if type(what) in (client_messages.GetVersion, client_messages.ListVersions)
            else ASK_WAIT,
            lambda: self._given_up(ask),
        )
        if type(what) in (client_messages.GetVersion, client_messages.ListVersions):
            self._reads[ask] = what
            self._settle(ask, self.raft.read(ask, self.runtime.now))
        elif type(what) is client_messages.TransferLeadership:
            refused = self.raft.transfer_leadership(what.target, self.runtime.now)
            self._settle(ask, refused) if refused else self._answer(
                ask, client_messages.Done(self.raft.commit_index)
            )
        elif type(what) is client_messages.ChangeMembership:
            self._settle(
                ask, self.raft.change_membership(what.name, what.address, self.runtime.now)
            )
        elif type(what) is client_messages.OpenSessionRequest:
            self._settle(
                ask, self.raft.propose(pack_command(OpenSession(what.nonce)), self.runtime.now)
            )
        else:
            self._propose(ask, what)

    def _propose(self, ask: _Ask, what: Propose) -> None:
        """Only a document that can be used goes to the log."""
        try:
            found = (
                read_document(msgspec.msgpack.decode(what.body))
                if len(what.body) <= MAX_BODY_BYTES
                else SchemaProblem("document", "too large")
            )
        except (msgspec.DecodeError, RecursionError) as error:
            found = SchemaProblem("document", str(error))
        if isinstance(found, SchemaProblem):
            self._answer(ask, Rejection(f"{found.key}: {found.why}", **self._leader()))
        else:
            self._settle(ask, self.raft.propose(pack_command(what), self.runtime.now))

    def _settle(self, ask: _Ask, came: int | Refusal | None) -> None:
        """What the protocol made of an ask: an index to wait for, a refusal, or (a read) nothing yet."""
        if isinstance(came, Refusal):
            self._reads.pop(ask, None)
            self._answer(ask, Rejection(came.why.value, **self._leader()))
        elif came is not None:
            ask.term, ask.sent = self.raft.term, True
            self._proposed.setdefault(came, []).append(ask)

    def _given_up(self, ask: _Ask) -> None:
        if self._reads.pop(ask, None) is not None:
            self.raft.cancel_read(ask)
        self._proposed = {
            index: left
            for index, asks in self._proposed.items()
            if (left := [one for one in asks if one is not ask])
        }
        self._to_apply = [one for one in self._to_apply if one[1] is not ask]
        self.runtime.counters.add("member.given_up")
        self._answer(ask, Rejection("no answer in time", may_have_run=ask.sent, **self._leader()))

    def _answer(self, ask: _Ask, reply: client_messages.Reply) -> None:
        if ask.deadline is not None:
            ask.deadline.cancel()
            ask.deadline = None
            self._asks -= 1
            if ask.link in self._each:
                self._each[ask.link] -= 1
        self.runtime.counters.add(f"member.answers.{reply.__struct_config__.tag}")
        ask.link.send(client_messages.encode(ask.number, reply))

    # Front ends.

    def _follow(self, ask: _Ask, what: client_messages.Subscribe) -> None:
        """A front end is taken on by a member that is current; it never hears an older document than it holds."""
        latest = self.state.latest
        if not self.ready or not self.in_touch or self.removed:
            ask.link.send(
                client_messages.encode(
                    ask.number,
                    Rejection("no majority" if self.ready else "catching up", **self._leader()),
                )
            )
        elif latest is not None and (latest.term, latest.index) < what.held:
            ask.link.send(
                client_messages.encode(
                    ask.number, Rejection("behind what you hold", **self._leader())
                )
            )
        else:
            self._followers[ask.link] = ask.number
            ask.link.send(client_messages.encode(ask.number, client_messages.version_reply(latest)))

    def _tell_followers(self) -> None:
        latest = self.state.latest
        if latest is None or latest.index <= self._told:
            return
        self._told = latest.index
        reply = client_messages.version_reply(latest)
        for link, number in list(self._followers.items()):
            if not link.send(client_messages.encode(number, reply)):
                link.abort()  # too slow for its own good: it asks anew, and hears the latest

    def _report(self) -> client_messages.StatusReport:
        raft, now = self.raft, self.runtime.now
        views = []
        for one in raft.log.configuration.members:
            seen = raft.progress.get(one.name)
            views.append(
                client_messages.MemberStatus(
                    one.name,
                    one.address,
                    one.votes,
                    seen.match_index if seen else -1,
                    now - seen.heard_at if seen else -1.0,
                )
            )
        return client_messages.StatusReport(
            self.settings.name,
            raft.role.name.lower(),
            raft.term,
            raft.leader or "",
            raft.commit_index,
            raft.log.last_index,
            raft.log.snapshot.index,
            self.state.version,
            self.state.digest,
            self.ready,
            self.in_touch,
            tuple(views),
            {
                "elections": raft.elections,
                "stepped_down": raft.stepped_down,
                "syncs": self.committer.disk.store.sync_count,
                "batches": self.committer.batches,
                "writes": self.committer.writes,
                "followers": len(self._followers),
                "asks": self._asks,
            },
        )
