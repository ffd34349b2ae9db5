"""The agreed document as events: its names become objects, and its expiry times are watched."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from lifthinge.agreed.document import Document, SchemaProblem, read_document
from lifthinge.cluster import client_messages
from lifthinge.cluster.follower import DocumentFollower
from lifthinge.cluster.keys import KeyFile, KeyFileProblem, read_keys
from lifthinge.interface import Event, OperatorOverrides
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.operators import AgreedPart, split_address
from lifthinge.settings import SiteLayout

log = logging.getLogger(__name__)


class AgreedDocumentSource:
    """Makes the latest agreed document an `OperatorOverrides` event.

    The event is published for each new document, and when an entry of it expires; after a change of
    the fleet list the controller asks for it.
    """

    def __init__(
        self,
        part: AgreedPart,
        name: str,
        runtime: Runtime,
        registry: Registry,
        site: SiteLayout,
        publish: Callable[[list[Event]], None],
        keys: KeyFile,
    ) -> None:
        self.runtime = runtime
        self.registry = registry
        self.site = site
        self.publish = publish
        self.document: Document | None = None
        self._deadline: Any = None  # at the next expiry of an entry
        members = {member: split_address(address) for member, address in part.members.items()}
        self.follower = DocumentFollower(
            runtime, members, part.cluster, name, keys, self._on_version
        )

    def _on_version(self, reply: client_messages.VersionReply) -> None:
        """Publish a new document; one that can't be used leaves the last in force."""
        document = read_document(msgspec.msgpack.decode(reply.body))
        if isinstance(document, SchemaProblem):
            self.runtime.rate_limited_log.warning(
                "agreed_unusable", version=reply.version, key=document.key, why=document.why
            )
            return
        self.document = document
        log.info(
            "agreed",
            {
                "version": reply.version,
                "term": reply.term,
                "index": reply.index,
                "author": reply.author,
                "out": len(document.backends),
            },
        )
        self.publish([self.current_event()])

    def current_event(self) -> OperatorOverrides:
        """Return what the document says now, and watch for the next expiry of an entry.

        Zones and methods that this deployment does not have are left out, as are backends that
        would be one too many.
        """
        document = self.document or Document()
        now = self.runtime.now
        out_of_service = [
            entry for entry in document.backends if not entry.until or entry.until > now
        ]
        expiry_times_ms = [entry.until for entry in out_of_service if entry.until]
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = (
            self.runtime.deadlines.schedule(
                min(expiry_times_ms) - now, lambda: self.publish([self.current_event()])
            )
            if expiry_times_ms
            else None
        )
        zones = self.site.zones
        methods = self.site.methods
        return OperatorOverrides(
            [
                backend
                for entry in out_of_service
                if (backend := self.registry.get_or_add_backend(entry.id))
            ],
            {
                zones.index(entry.name): entry.share
                for entry in document.zones
                if entry.name in zones
            },
            {
                methods.index(entry.name): entry.criticality
                for entry in document.methods
                if entry.name in methods
            },
        )

    def close(self) -> None:
        """Stop following the document and watching for expiry."""
        self.follower.close()
        if self._deadline is not None:
            self._deadline.cancel()


def open_key_file(part: AgreedPart) -> KeyFile | KeyFileProblem:
    """Return the key file, or why it can't be used."""
    keys = read_keys(part.key_file)
    return keys if isinstance(keys, KeyFileProblem) else KeyFile(part.key_file, keys)
