"""Discovery: the whole list, then watches without a gap; only differences are told."""

import logging
from collections.abc import Callable
from dataclasses import replace

from lifthinge.interface import FleetNews, FleetNewsKind, Listing, Phase
from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.wire import protocol
from lifthinge.wire.client import HttpClient, build_get
from lifthinge.wire.frames import InvalidMessage, decode_object
from lifthinge.wire.translator import MessageTranslator

log = logging.getLogger(__name__)
WATCH_WAIT = 4_000  # ms that a watch asks discovery to wait: a silent one is found out soon after
WATCH_AGAIN = (
    1_000  # the same after an answer that was spoilt in part: then the whole list is asked for
)
ANSWER_WAIT = 700.0  # beyond that
RETRY_LEAST, RETRY_MOST = 30.0, 150.0
OLDER = "older than the list held"


class DiscoveryClient:
    """`tell` takes the fleet news. On a site that tells only when asked, nothing is asked unbidden.

    After a move the former watch goes on beside the new address's, until that has told its list.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        where: tuple[str, int],
        publish: Callable[[FleetNews], None],
    ) -> None:
        self.runtime, self.translator, self.registry, self.address, self.publish = (
            runtime,
            translator,
            registry,
            where,
            publish,
        )
        self.has_answered = False  # ever
        self._watches: list[HttpClient] = []  # each of a line of watches, the newest last
        self._list = HttpClient(runtime, "discovery_list", where)
        self._spoilt = False  # the last answer had entries that could not be used
        self._older = range(0)  # versions below the one held that are believed of a list

    def close(self) -> None:
        self._end_before(None)
        self._list.close()

    def change_address(self, where: tuple[str, int]) -> None:
        """What is asked from now on is asked there; a new line of watches is the caller's to start."""
        self.address = self._list.address = where

    async def watch_list(self) -> None:
        """Watches for good: for sites that push, or once a subscription has been asked for."""
        watch, failures, since = HttpClient(self.runtime, "discovery_watch", self.address), 0, False
        wait = WATCH_WAIT
        self._watches.append(watch)
        try:
            while watch in self._watches:
                began, version = self.runtime.now, self.registry.version
                failure = await self._call(watch, since, wait)
                if failure is None:
                    self._end_before(watch)
                    if (
                        since
                        and version == self.registry.version
                        and self.runtime.now - began < RETRY_MOST
                    ):
                        await self.runtime.pause(RETRY_LEAST)  # it did not wait: no reason to spin
                    failures, since = (
                        0,
                        wait != WATCH_AGAIN,
                    )  # then a short watch is over, and all is asked
                    wait = WATCH_AGAIN if self._spoilt and since else WATCH_WAIT
                    continue
                failures, since = failures + 1, since and failure.detail != OLDER
                if watch not in self._watches[-1:]:  # there is a newer address
                    return
                if self.translator.site.news_on_request:
                    self.publish(FleetNews(FleetNewsKind.MISSED, []))
                    return
                if failures > 1:
                    await self.runtime.pause(
                        RETRY_LEAST + self.runtime.rng.random() * (RETRY_MOST - RETRY_LEAST)
                    )
        finally:
            watch.close()
            self._watches = [one for one in self._watches if one is not watch]

    def _end_before(self, watch: HttpClient | None) -> None:
        """A newer address has told its list: the watches at former ones are over."""
        while self._watches and self._watches[0] is not watch:
            self._watches.pop(0).close()

    async def fetch_list(self) -> None:
        """One call for the whole list."""
        if await self._call(self._list, False) is not None:
            self.publish(FleetNews(FleetNewsKind.MISSED, []))

    async def _call(
        self, caller: HttpClient, since: bool, wait: int = WATCH_WAIT
    ) -> Failure | None:
        path = protocol.LIST_PATH + (
            f"?{protocol.SINCE_VERSION}={self.registry.version}&{protocol.WATCH_TIMEOUT_MS}={wait}"
            if since
            else ""
        )
        result = await caller.call(build_get(path), ANSWER_WAIT + (wait if since else 0))
        if not isinstance(result, Failure):
            message = (
                decode_object(result.body)
                if result.status == 200
                else InvalidMessage(f"status {result.status}")
            )
            trouble = (
                message if isinstance(message, InvalidMessage) else self._take(message, not since)
            )
            if trouble is None:
                return None
            result = Failure(SendProgress.ANSWERED, FailureCause.INVALID_RESPONSE, trouble.why)
        if caller is self._list or caller in self._watches:  # and not one that was ended
            self.runtime.rate_limited_log.warning(
                "discovery_failed",
                cause=result.cause.value,
                reach=result.progress.value,
                detail=result.detail,
            )
        return result

    def load_known_list(self, message: dict) -> InvalidMessage | None:
        """Takes the list that this controller last held, maybe out of date."""
        found = self.translator.read_list_header(message)
        if isinstance(found, InvalidMessage):
            return found
        listings, _ = self._read(found[2])
        self.registry.version = found[0]
        self._keep(listings)
        self.publish(FleetNews(FleetNewsKind.CACHED, listings))
        return None

    def _take(self, message: dict, first: bool) -> InvalidMessage | None:
        """Takes a list or its changes; the first answer of a subscription is told though nothing changed.

        A list older than the one held may come from an agent that is behind, or that counts anew: it is
        believed if asked for again it is no older, and not empty.
        """
        found = self.translator.read_list_header(message)
        if isinstance(found, InvalidMessage):
            return found
        version, whole, entries = found
        if version < self.registry.version and not (whole and entries and version in self._older):
            self._older = range(version, self.registry.version) if first else self._older
            return InvalidMessage(OLDER)
        self._older = range(0)
        listings, named = self._read(entries)
        changed = [
            one
            for one in listings
            if self.registry.listings.get(one.backend) != one
            and (one.phase is not Phase.GONE or one.backend in self.registry.listings)
        ]
        if whole:
            changed += [
                Listing(one.backend, one.zone, one.cell, Phase.GONE, one.started_at_ms, one.size)
                for one in self.registry.listings.values()
                if one.backend.backend_id not in named
            ]
        self.registry.version, self.has_answered = version, True
        self._keep(changed)
        if changed or first:
            self.publish(FleetNews(FleetNewsKind.DELTA, changed))
        return None

    def _read(self, entries: list) -> tuple[list[Listing], set]:
        """The entries that can be used, and every id that is named, usable or not.

        Of one that is spoilt it still counts that the backend leaves, if that can be read.
        """
        self._spoilt = False
        listings, named = (
            [],
            {
                entry.get(protocol.BACKEND_ID)
                for entry in entries
                if isinstance(entry, dict) and isinstance(entry.get(protocol.BACKEND_ID), str)
            },
        )
        for entry in entries:
            listing = self.translator.read_listing(entry)
            if isinstance(listing, InvalidMessage):
                self.runtime.rate_limited_log.warning("bad_listing", why=listing.why)
                self._spoilt = True
                listing = self._leaving(entry)
            if listing is not None:
                listings.append(listing)
        return listings, named

    def _leaving(self, entry: object) -> Listing | None:
        """A backend that is listed, as an entry that is spoilt elsewhere has it drain or gone."""
        found = self.translator.read_leaving(entry)
        former = None if isinstance(found, InvalidMessage) else self.registry.listings.get(found[0])
        return former and replace(former, phase=found[1])

    def _keep(self, listings: list[Listing]) -> None:
        for one in listings:
            if one.phase is Phase.GONE:
                self.registry.listings.pop(one.backend, None)
            else:
                self.registry.listings[one.backend] = one
