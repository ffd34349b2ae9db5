"""The agreed document on its way to the decisions: ids become objects here, and `until` is watched."""

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
    """Makes the event `OperatorOverrides` of the document that is obeyed, whenever it or the list of backends changes."""

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
        self.runtime, self.registry, self.site, self.publish = runtime, registry, site, publish
        self.document: Document | None = None
        self._deadline: Any = None
        members = {member: split_address(address) for member, address in part.members.items()}
        self.follower = DocumentFollower(runtime, members, part.cluster, name, keys, self._told)

    def _told(self, one: client_messages.VersionReply) -> None:
        found = read_document(msgspec.msgpack.decode(one.body))
        if isinstance(found, SchemaProblem):
            self.runtime.rate_limited_log.warning(
                "agreed_unusable", version=one.version, key=found.key, why=found.why
            )
            return
        self.document = found
        log.info(
            "agreed",
            {
                "version": one.version,
                "term": one.term,
                "index": one.index,
                "author": one.author,
                "out": len(found.backends),
            },
        )
        self.publish([self.current_event()])

    def current_event(self) -> OperatorOverrides:
        """What the document says now, in objects; names that this deployment does not know mean nothing to it."""
        document, now = self.document or Document(), self.runtime.now
        out = [one for one in document.backends if not one.until or one.until > now]
        later = [one.until for one in out if one.until]
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = (
            self.runtime.deadlines.schedule(
                min(later) - now, lambda: self.publish([self.current_event()])
            )
            if later
            else None
        )
        zones, methods = self.site.zones, self.site.methods
        return OperatorOverrides(
            [found for one in out if (found := self.registry.get_or_add_backend(one.id))],
            {zones.index(one.name): one.share for one in document.zones if one.name in zones},
            {
                methods.index(one.name): one.criticality
                for one in document.methods
                if one.name in methods
            },
        )

    def close(self) -> None:
        self.follower.close()
        if self._deadline is not None:
            self._deadline.cancel()


def open_key_file(part: AgreedPart) -> KeyFile | KeyFileProblem:
    keys = read_keys(part.key_file)
    return keys if isinstance(keys, KeyFileProblem) else KeyFile(part.key_file, keys)
