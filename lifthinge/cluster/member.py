"""The server of one cluster member.

It connects the Raft node, the disk and the agreed document's state machine to sockets, and answers
clients.
"""

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

# An unreachable member is dialed again after a random delay between these two.
MIN_REDIAL_DELAY_MS = 100.0
MAX_REDIAL_DELAY_MS = 1_000.0
REQUEST_TIMEOUT_MS = 8_000.0  # then a client is told that the outcome of its proposal is unknown
READ_TIMEOUT_MS = 3_000.0  # covers the heartbeat round and the entries still to be applied
# Requests that are answered from the applied state, once a majority has confirmed it as current.
READ_REQUESTS = (
    client_messages.GetVersion,
    client_messages.ListVersions,
    client_messages.Subscribe,
)
QUORUM_WINDOW_ELECTION_TIMEOUTS = 2.0  # without a majority for longer, the member reports it
MAX_INBOUND_LINKS = 2_000
MAX_PENDING_REQUESTS = 8_192  # of all links together
MAX_PENDING_REQUESTS_PER_LINK = 512
SNAPSHOT_LOG_BYTES = 20 << 20  # a log of this size is compacted, however few entries it holds
MAX_SNAPSHOT_DELAY_FACTOR = 3.0  # times the usual limits, while a snapshot is sent to a member
MAX_VERSIONS_PER_REPLY = 200
MAX_QUEUED_MESSAGES = 16  # for each member that is being dialed
CATCH_UP_INTERVAL_MS = 200.0  # between a restarted member's read requests to the leader


@dataclass(frozen=True)
class MemberSettings:
    """Identity, address and options of a member."""

    cluster: str
    name: str
    listen: Address
    options: RaftOptions
    keys: Callable[[str], Keys]  # of a role, "member" or "client"
    snapshot_entries: int = 20_000  # applied since the last snapshot; then the log is compacted


@dataclass(eq=False, slots=True)
class _PendingRequest:
    """A client's request that has not been answered yet."""

    link: Link
    number: int  # the client's number of the request
    deadline: Any = None
    term: int = 0  # in which the leader appended its entry
    sent: bool = False  # whether its entry was appended to the log


class MemberServer:
    """Run one member; `on_fatal` is called with a reason when it cannot continue."""

    def __init__(
        self,
        settings: MemberSettings,
        runtime: Runtime,
        disk: Disk,
        on_fatal: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.runtime = runtime
        self.on_fatal = on_fatal
        self.raft = Raft(
            settings.name,
            runtime.rng,
            runtime.now,
            disk.stored_state.persistent_state(),
            settings.options,
        )
        self.state = DocumentStateMachine()
        self.committer = Committer(
            disk, self._on_durable, lambda error: self._fail(f"disk: {error}")
        )
        self.ready = False  # has applied everything that was committed when it started
        self.in_touch = True  # heard from a majority recently
        self.removed = False  # by a committed membership change
        self._inbound_links: dict[Link, None] = {}
        self._dialed_links: dict[str, Link] = {}  # by the name of the member dialed
        self._inbound_by_member: dict[str, Link] = {}  # the latest from each member
        self._dialing: set[str] = set()
        self._queued_messages: dict[str, deque[messages.Message]] = {}  # while dialing
        self._redial_at_ms: dict[str, float] = {}
        self._subscribers: dict[Link, int] = {}  # the numbers of their Subscribe requests
        self._pending_per_link: dict[Link, int] = {}
        self._pending_count = 0
        self._pending_proposals: dict[int, list[_PendingRequest]] = {}  # by log index
        self._pending_reads: dict[_PendingRequest, client_messages.Request] = {}
        # Reads that wait until an index is applied: (index, token); -1 for a failed read.
        self._reads_awaiting_apply: list[tuple[int, object]] = []
        self._is_output_scheduled = False
        self._is_stopped = False
        self._tick_timer: Any = None
        self._server: asyncio.Server | None = None
        self._dial_tasks: set[asyncio.Task] = set()
        self._is_catching_up = False
        self._last_role = Role.FOLLOWER
        self._last_published_index = 0  # the log index of a version

    async def start(self) -> None:
        """Listen, start the Raft node, and begin to catch up and to dial the other members."""
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, *self.settings.listen, backlog=512
        )
        self._process_output()
        self._catch_up()
        self._keep_connected()

    @property
    def bound_address(self) -> Address:
        """The host and port on which the member listens."""
        return self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close all connections and wait until the disk has finished the current write."""
        self._is_stopped = True
        if self._server is not None:
            self._server.close()
        for task in list(self._dial_tasks):
            task.cancel()
        for link in [*self._inbound_links, *self._dialed_links.values()]:
            link.abort()
        await asyncio.get_running_loop().run_in_executor(None, self.committer.close)

    def _fail(self, reason: str) -> None:
        """Stop this member and report why; the others go on.

        A member that cannot write must not acknowledge anything.
        """
        if not self._is_stopped:
            self._is_stopped = True
            log.error("member_failed", {"why": reason})
            self.on_fatal(reason)

    # Output of the Raft node.

    def _schedule_output(self) -> None:
        """Process the node's output after this pass of the event loop, as one batch."""
        if not self._is_output_scheduled and not self._is_stopped:
            self._is_output_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_output)

    def _process_output(self) -> None:
        """Send messages, submit writes, apply committed entries and answer reads."""
        self._is_output_scheduled = False
        if self._is_stopped:
            return
        output = self.raft.take_output()
        for recipient, message in output.messages:
            self._send_to_member(recipient, message)
        if output.writes:
            self.committer.submit(output.writes)
        for entry in output.to_apply:
            self._apply(entry)
        for token, index in output.read_results:
            self._reads_awaiting_apply.append((index, token))
        if self._reads_awaiting_apply:
            self._serve_applied_reads()
        if output.to_apply:
            self._publish_latest()
            self._compact()
        self._update_role()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule the node's next tick.

        If the tick has moved to a later time, the earlier timer stays: when it fires, the next one
        is scheduled.
        """
        due_at_ms = self.raft.next_tick_at
        if self._tick_timer is not None and self._tick_timer.is_pending:
            if self._tick_timer.due_at_ms <= due_at_ms:
                return
            self._tick_timer.cancel()
        if due_at_ms < NEVER:
            self._tick_timer = self.runtime.deadlines.schedule(
                due_at_ms - self.runtime.now, self._on_tick
            )

    def _on_tick(self) -> None:
        """Tell the node the time."""
        if self._is_stopped:
            return
        self.raft.tick(self.runtime.now)
        self._process_output()

    def _keep_connected(self) -> None:
        """Dial members without a link, once per election timeout.

        Links are opened before they are needed, as an election does not wait for dialing.
        """
        if self._is_stopped:
            return
        for member in self.raft.log.configuration.members:
            if member.name != self.settings.name:
                self._start_dialing(member.name)
        self._update_in_touch()
        self.runtime.deadlines.schedule(
            self.settings.options.election_timeout_ms, self._keep_connected
        )

    def _on_durable(self, number: int) -> None:
        """Tell the node that all writes up to this number are durable."""
        if not self._is_stopped:
            self.raft.record_durable(number)
            self._process_output()

    def _update_role(self) -> None:
        """Log a change of leadership, and note whether this member has been removed."""
        if self.raft.role is not self._last_role and Role.LEADER in (
            self.raft.role,
            self._last_role,
        ):
            log.info(
                "leads" if self.raft.role is Role.LEADER else "leads_no_more",
                {"term": self.raft.term},
            )
        self._last_role = self.raft.role
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

    def _update_in_touch(self) -> None:
        """Note and log whether a majority has been heard from recently."""
        in_touch = self.raft.has_recent_quorum(
            self.runtime.now,
            QUORUM_WINDOW_ELECTION_TIMEOUTS * self.settings.options.election_timeout_ms,
        )
        if in_touch != self.in_touch:
            self.in_touch = in_touch
            log.log(
                logging.INFO if in_touch else logging.WARNING,
                "in_touch" if in_touch else "no_majority",
                {"version": self.state.version, "term": self.raft.term},
            )

    # Committed entries and reads.

    def _apply(self, entry: Entry | Snapshot) -> None:
        """Apply a committed entry or an installed snapshot, and answer the waiting requests."""
        if isinstance(entry, Snapshot):
            if entry.data:
                self.state.restore(entry.data)
            else:
                self.state.skip(entry.index, entry.term)
            for index in [index for index in self._pending_proposals if index <= entry.index]:
                for pending in self._pending_proposals.pop(index):
                    self._answer(
                        pending,
                        Rejection(
                            "its fate is unknown", may_have_run=True, **self._leader_fields()
                        ),
                    )
            return
        if entry.kind is EntryKind.COMMAND:
            answer = self.state.apply(entry.index, entry.term, entry.data)
        else:
            self.state.skip(entry.index, entry.term)
            answer = client_messages.Done(entry.index)
        for pending in self._pending_proposals.pop(entry.index, ()):
            self._answer(
                pending,
                answer
                if pending.term == entry.term
                else Rejection("another entry took its place", **self._leader_fields()),
            )

    def _compact(self) -> None:
        """Take a snapshot and compact the log once it is long or large enough.

        While a snapshot is being sent to a member, the log may grow further.
        """
        entries_behind = self.state.index - self.raft.log.snapshot.index
        log_bytes = self.raft.log.size_bytes
        fill_ratio = max(
            entries_behind / self.settings.snapshot_entries, log_bytes / SNAPSHOT_LOG_BYTES
        )
        if (
            fill_ratio < 1
            or fill_ratio < MAX_SNAPSHOT_DELAY_FACTOR
            and self.raft.is_sending_snapshot
        ):
            return
        if self.raft.compact(self.state.index, self.state.export()):
            self.runtime.counters.add("member.snapshots")
            self._schedule_output()

    def _serve_applied_reads(self) -> None:
        """Answer the reads whose index has been applied, and those that have failed."""
        waiting, self._reads_awaiting_apply = self._reads_awaiting_apply, []
        for index, token in waiting:
            if 0 <= index and index > self.state.index:
                self._reads_awaiting_apply.append((index, token))
            elif token == "catch-up":
                self._finish_catch_up(index)
            else:
                self._answer_read(token, index)

    def _answer_read(self, pending: _PendingRequest, index: int) -> None:
        """Answer a read from the applied state; a negative index means that it failed."""
        request = self._pending_reads.pop(pending, None)
        if request is None:
            return
        if index < 0:
            self._answer(pending, Rejection("nobody leads who could say", **self._leader_fields()))
        elif type(request) is client_messages.Subscribe:
            self._subscribe(pending, request)
        elif type(request) is client_messages.ListVersions:
            later = [version for version in self.state.versions if version.version >= request.since]
            self._answer(
                pending,
                client_messages.VersionList(
                    tuple(
                        client_messages.version_reply(version, include_body=False)
                        for version in later[:MAX_VERSIONS_PER_REPLY]
                    )
                ),
            )
        elif request.version is None:
            self._answer(pending, client_messages.version_reply(self.state.latest))
        else:
            version = next(
                (version for version in self.state.versions if version.version == request.version),
                None,
            )
            self._answer(
                pending,
                client_messages.version_reply(version)
                if version
                else Rejection(f"version {request.version} is not kept"),
            )

    # Catching up after a restart.

    def _catch_up(self) -> None:
        """Ask the leader for its commit index, repeatedly until the member is ready."""
        if self.ready or self._is_stopped:
            return
        if not self._is_catching_up and not isinstance(
            self.raft.read("catch-up", self.runtime.now), Refusal
        ):
            self._is_catching_up = True
            self.runtime.deadlines.schedule(READ_TIMEOUT_MS, self._cancel_catch_up)
            self._schedule_output()
        self.runtime.deadlines.schedule(CATCH_UP_INTERVAL_MS, self._catch_up)

    def _cancel_catch_up(self) -> None:
        """Give up a catch-up read that was not answered in time; the next one follows."""
        if self._is_catching_up:
            self.raft.cancel_read("catch-up")
            self._is_catching_up = False

    def _finish_catch_up(self, index: int) -> None:
        """Mark the member as ready; a negative index means that the read failed."""
        self._is_catching_up = False
        if index >= 0 and not self.ready:
            self.ready = True
            log.info(
                "caught_up", {"index": index, "version": self.state.version, "term": self.raft.term}
            )
            self._publish_latest()

    # Links to other members.

    def _send_to_member(self, recipient: str, message: messages.Message) -> None:
        """Send a message, or queue it while the member is being dialed.

        It is dropped if the link's outbox is full or the member cannot be dialed now; Raft repeats
        what matters.
        """
        link = self._dialed_links.get(recipient)
        if (
            link is None
            and recipient in self._inbound_by_member
            and self.raft.log.configuration.get(recipient) is None
        ):
            # A new member knows no address yet: it answers on the link on which it was asked.
            link = self._inbound_by_member[recipient]
        if link is not None and not link.is_closed:
            if link.send(messages.encode(message)):
                self.runtime.counters.add("member.sent")
            else:
                self.runtime.counters.add("member.unsent")
            return
        self._start_dialing(recipient)
        if recipient in self._dialing:
            queue = self._queued_messages.setdefault(recipient, deque(maxlen=MAX_QUEUED_MESSAGES))
            queue.append(message)

    def _start_dialing(self, name: str) -> None:
        """Dial a member without a link, unless that failed a moment ago."""
        if (
            name not in self._dialing
            and name not in self._dialed_links
            and self.runtime.now >= self._redial_at_ms.get(name, 0.0)
        ):
            self._dialing.add(name)
            task = asyncio.get_running_loop().create_task(self._dial(name))
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)

    async def _dial(self, name: str) -> None:
        """Connect to a member, at its address in the current or an earlier configuration."""
        member = self.raft.log.configuration.get(name) or next(
            (
                candidate
                for _, configuration in self.raft.log.configurations
                for candidate in configuration.members
                if candidate.name == name
            ),
            None,
        )
        try:
            address = member.address.rsplit(":", 1) if member else None
            connection = (
                await connect(
                    self.runtime,
                    lambda: self._create_link(dialed_peer=name),
                    (address[0], int(address[1])),
                )
                if address
                else None
            )
            if connection is None or isinstance(connection, Failure):
                self.runtime.counters.add("member.unreachable")
                self._postpone_redial(name)
        except (ValueError, IndexError):
            self.runtime.rate_limited_log.warning("member_address_bad", member=name)
            self._postpone_redial(name)

    def _postpone_redial(self, name: str) -> None:
        """End an attempt to dial: drop the queued messages and delay the next attempt."""
        self._dialing.discard(name)
        self._queued_messages.pop(name, None)
        self._redial_at_ms[name] = self.runtime.now + self.runtime.rng.uniform(
            MIN_REDIAL_DELAY_MS, MAX_REDIAL_DELAY_MS
        )

    def _create_link(self, dialed_peer: str = "") -> Link:
        """Create a link to the member `dialed_peer`, or an inbound one if it is empty."""
        link = Link(
            self.runtime,
            self.settings.keys,
            self.settings.cluster,
            self.settings.name,
            dialed_peer=dialed_peer,
            expected_peer=dialed_peer,
        )
        link.on_open = self._on_open
        link.on_message = self._on_message
        link.on_close = self._on_close
        return link

    def _accept(self) -> Link:
        """Create the link of an inbound connection; it is aborted at once if there are too many."""
        link = self._create_link()
        if len(self._inbound_links) >= MAX_INBOUND_LINKS:
            self.runtime.rate_limited_log.warning("member_full")
            asyncio.get_running_loop().call_soon(link.abort)
        self._inbound_links[link] = None
        return link

    def _on_open(self, link: Link) -> None:
        """Register a link whose peer is authenticated, and send it the queued messages."""
        if link.dialed_peer:
            self._dialed_links[link.dialed_peer] = link
            self._dialing.discard(link.dialed_peer)
            self.runtime.counters.add("member.links")
            for message in self._queued_messages.pop(link.dialed_peer, ()):
                link.send(messages.encode(message))
        elif link.peer_hello.role == "member":
            self._inbound_by_member[link.peer_hello.sender] = link
            self._redial_at_ms.pop(link.peer_hello.sender, None)  # it is reachable again

    def _on_close(self, link: Link) -> None:
        """Forget a closed link; a member that was dialed is dialed again later."""
        self._inbound_links.pop(link, None)
        self._subscribers.pop(link, None)
        self._pending_per_link.pop(link, None)
        if (
            link.peer_hello is not None
            and self._inbound_by_member.get(link.peer_hello.sender) is link
        ):
            del self._inbound_by_member[link.peer_hello.sender]
        if link.dialed_peer and self._dialed_links.get(link.dialed_peer, link) is link:
            self._dialed_links.pop(link.dialed_peer, None)
            self._postpone_redial(link.dialed_peer)

    def _on_message(self, link: Link, body: bytes) -> None:
        """Decode a message and pass it to the node or to the client requests."""
        if self._is_stopped:
            return
        try:
            if link.peer_hello.role == "client":
                number, request = client_messages.decode_request(body)
            else:
                message = messages.decode(body)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            self.runtime.rate_limited_log.warning(
                "member_bad_message", peer=link.peer_hello.sender, why=str(error)
            )
            link.abort()
            return
        if link.peer_hello.role == "client":
            self._handle_request(link, number, request)
        else:
            try:
                self.raft.step(link.peer_hello.sender, message, self.runtime.now)
            except AssertionError as error:
                # An invariant of Raft is violated: the member must not go on from this state.
                self._fail(f"protocol: {error}")
                return
        self._schedule_output()

    # Clients.

    def _leader_fields(self) -> dict[str, str]:
        """Return the leader's name and address as fields of a `Rejection`; empty if unknown."""
        name = self.raft.leader or ""
        member = self.raft.log.configuration.get(name)
        return {"leader": name, "address": member.address if member else ""}

    def _handle_request(self, link: Link, number: int, request: client_messages.Request) -> None:
        """Answer a client's request, or start what it asks for and register it as pending."""
        pending = _PendingRequest(link, number)
        if type(request) is client_messages.GetStatus:
            link.send(client_messages.encode(number, self._status_report()))
            return
        if (
            self._pending_per_link.get(link, 0) >= MAX_PENDING_REQUESTS_PER_LINK
            or self._pending_count >= MAX_PENDING_REQUESTS
        ):
            self.runtime.counters.add("member.busy")
            link.send(
                client_messages.encode(
                    number, Rejection(RefusalReason.BUSY.value, **self._leader_fields())
                )
            )
            return
        if type(request) is client_messages.Subscribe and not self._is_current():
            self._turn_away(pending)
            return
        if not self.ready:
            link.send(
                client_messages.encode(number, Rejection("catching up", **self._leader_fields()))
            )
            return
        self._pending_per_link[link] = self._pending_per_link.get(link, 0) + 1
        self._pending_count += 1
        pending.deadline = self.runtime.deadlines.schedule(
            READ_TIMEOUT_MS if type(request) in READ_REQUESTS else REQUEST_TIMEOUT_MS,
            lambda: self._on_timeout(pending),
        )
        if type(request) in READ_REQUESTS:
            self._pending_reads[pending] = request
            self._handle_raft_result(pending, self.raft.read(pending, self.runtime.now))
        elif type(request) is client_messages.TransferLeadership:
            refusal = self.raft.transfer_leadership(request.target, self.runtime.now)
            self._handle_raft_result(pending, refusal) if refusal else self._answer(
                pending, client_messages.Done(self.raft.commit_index)
            )
        elif type(request) is client_messages.ChangeMembership:
            self._handle_raft_result(
                pending,
                self.raft.change_membership(request.name, request.address, self.runtime.now),
            )
        elif type(request) is client_messages.OpenSessionRequest:
            self._handle_raft_result(
                pending,
                self.raft.propose(pack_command(OpenSession(request.nonce)), self.runtime.now),
            )
        else:
            self._propose(pending, request)

    def _propose(self, pending: _PendingRequest, request: Propose) -> None:
        """Propose a document to the node if it is valid; reject it otherwise."""
        try:
            document = (
                read_document(msgspec.msgpack.decode(request.body))
                if len(request.body) <= MAX_BODY_BYTES
                else SchemaProblem("document", "too large")
            )
        except (msgspec.DecodeError, RecursionError) as error:
            document = SchemaProblem("document", str(error))
        if isinstance(document, SchemaProblem):
            self._answer(
                pending, Rejection(f"{document.key}: {document.why}", **self._leader_fields())
            )
        else:
            self._handle_raft_result(
                pending, self.raft.propose(pack_command(request), self.runtime.now)
            )

    def _handle_raft_result(self, pending: _PendingRequest, result: int | Refusal | None) -> None:
        """Handle what the node returned: a log index to wait for, a refusal, or None for a read."""
        if isinstance(result, Refusal):
            self._pending_reads.pop(pending, None)
            self._answer(pending, Rejection(result.why.value, **self._leader_fields()))
        elif result is not None:
            pending.term = self.raft.term
            pending.sent = True
            self._pending_proposals.setdefault(result, []).append(pending)

    def _on_timeout(self, pending: _PendingRequest) -> None:
        """Forget a request that was not answered in time, and tell its client so."""
        if self._pending_reads.pop(pending, None) is not None:
            self.raft.cancel_read(pending)
        self._pending_proposals = {
            index: remaining
            for index, requests in self._pending_proposals.items()
            if (remaining := [item for item in requests if item is not pending])
        }
        self._reads_awaiting_apply = [
            item for item in self._reads_awaiting_apply if item[1] is not pending
        ]
        self.runtime.counters.add("member.given_up")
        self._answer(
            pending,
            Rejection("no answer in time", may_have_run=pending.sent, **self._leader_fields()),
        )

    def _answer(self, pending: _PendingRequest, reply: client_messages.Reply) -> None:
        """Send the reply to a pending request and release its place."""
        if pending.deadline is not None:
            pending.deadline.cancel()
            pending.deadline = None
            self._pending_count -= 1
            if pending.link in self._pending_per_link:
                self._pending_per_link[pending.link] -= 1
        self.runtime.counters.add(f"member.answers.{reply.__struct_config__.tag}")
        pending.link.send(client_messages.encode(pending.number, reply))

    # Subscribers: front ends that follow the agreed document.

    def _subscribe(self, pending: _PendingRequest, request: client_messages.Subscribe) -> None:
        """Accept a subscriber once a majority has confirmed the applied state as current.

        A subscriber is never sent a document older than the one it holds.
        """
        latest = self.state.latest
        if not self._is_current():
            self._answer(pending, self._not_current())
        elif latest is not None and (latest.term, latest.index) < request.held:
            self._answer(pending, Rejection("behind what you hold", **self._leader_fields()))
        elif not pending.link.is_closed:
            self._subscribers[pending.link] = pending.number
            self._answer(pending, client_messages.version_reply(latest))

    def _is_current(self) -> bool:
        """Return whether this member has caught up, and a majority was heard from recently."""
        return self.ready and self.in_touch and not self.removed

    def _not_current(self) -> Rejection:
        """Return the rejection of a subscriber by a member that is not current."""
        why = "no majority" if self.ready else "catching up"
        return Rejection(why, **self._leader_fields())

    def _turn_away(self, pending: _PendingRequest) -> None:
        """Reject a subscriber at once, without a round to a majority."""
        pending.link.send(client_messages.encode(pending.number, self._not_current()))

    def _publish_latest(self) -> None:
        """Send the latest document to all subscribers, unless they have it already."""
        latest = self.state.latest
        if latest is None or latest.index <= self._last_published_index:
            return
        self._last_published_index = latest.index
        reply = client_messages.version_reply(latest)
        for link, number in list(self._subscribers.items()):
            if not link.send(client_messages.encode(number, reply)):
                link.abort()  # too slow; it subscribes again and receives the latest document

    def _status_report(self) -> client_messages.StatusReport:
        """Return how this member sees itself and the cluster."""
        raft = self.raft
        now = self.runtime.now
        members = []
        for member in raft.log.configuration.members:
            progress = raft.progress.get(member.name)
            members.append(
                client_messages.MemberStatus(
                    member.name,
                    member.address,
                    member.votes,
                    progress.match_index if progress else -1,
                    now - progress.heard_at if progress else -1.0,
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
            tuple(members),
            {
                "elections": raft.elections,
                "stepped_down": raft.stepped_down,
                "syncs": self.committer.disk.store.sync_count,
                "batches": self.committer.batches,
                "writes": self.committer.writes,
                "followers": len(self._subscribers),
                "asks": self._pending_count,
            },
        )
