"""Client of discovery: fetches the fleet list, then watches its changes without a gap.

Only differences from the registry's listings are published, and every few seconds that there are
none.
"""

import logging
from collections.abc import Callable
from dataclasses import replace

from lifthinge.interface import FleetNews, FleetNewsKind, Listing, Phase
from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.older_lists import MAX_LIST_LAG_MS, RecentListings
from lifthinge.wire import protocol
from lifthinge.wire.client import HttpClient, build_get
from lifthinge.wire.frames import InvalidMessage, decode_object
from lifthinge.wire.translator import MessageTranslator

log = logging.getLogger(__name__)
# Time that a watch asks discovery to wait for a change; a silent agent is noticed soon after it.
LONG_WATCH_MS = 4_000
# The same after an answer with invalid entries, or one older than what was told: when it is over,
# the full list is requested.
SHORT_WATCH_MS = 1_000
# News without changes, which tells that the list is as it was, is published after this time.
MIN_UNCHANGED_NEWS_INTERVAL_MS = 5_000.0
ANSWER_TIMEOUT_MS = 700.0  # on top of the time that the request asks discovery to wait
# Delay before a request from the second failure in a row on, drawn at random up to the maximum. The
# minimum also follows an answer without a change that came sooner than the maximum.
MIN_RETRY_DELAY_MS = 30.0
MAX_RETRY_DELAY_MS = 150.0
STALE_VERSION = "older than the list held"  # detail of the failure to take a stale list


class DiscoveryClient:
    """Fetches and watches the fleet list; `publish` takes the fleet news.

    On a site with fleet news on request, a failed watch is not repeated unless `watch_list` is
    called again. After a change of address, the watch at the former one goes on beside the new
    watch until that has received its list.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        address: tuple[str, int],
        publish: Callable[[FleetNews], None],
    ) -> None:
        self.runtime = runtime
        self.translator = translator
        self.registry = registry
        self.address = address
        self.publish = publish
        self._last_news_ms = float("-inf")
        self.has_answered = False  # whether discovery has ever sent a list that could be read
        # The client of each running `watch_list`, the newest last.
        self._watches: list[HttpClient] = []
        self._list_client = HttpClient(runtime, "discovery_list", address)
        self._has_invalid_entries = False  # whether the last list had entries that can't be used
        # Versions below the one held that a non-empty full list may have nevertheless.
        self._accepted_stale_versions = range(0)
        self._recent_listings = RecentListings()
        self._newest_version = -1  # of all lists; it starts over if an agent counts anew
        # Until when a lower version than that may come from an agent that is behind.
        self._may_be_behind_until_ms = float("-inf")

    def close(self) -> None:
        """Close all connections to discovery."""
        self._close_watches_before(None)
        self._list_client.close()

    def change_address(self, address: tuple[str, int]) -> None:
        """Set host and port for later requests; the caller starts a new `watch_list`."""
        self.address = address
        self._list_client.address = address

    async def watch_list(self) -> None:
        """Request the full list, then one watch after another.

        Return when a newer address has replaced this one, or, on a site with fleet news on
        request, after a failure, which is published.
        """
        watch = HttpClient(self.runtime, "discovery_watch", self.address)
        consecutive_failures = 0
        changes_only = False  # whether the next request is a watch
        wait_ms = LONG_WATCH_MS
        self._watches.append(watch)
        try:
            while watch in self._watches:
                started_at_ms = self.runtime.now
                version = self.registry.version
                failure = await self._request_list(watch, changes_only, wait_ms)
                if failure is None:
                    self._close_watches_before(watch)
                    if (
                        changes_only
                        and version == self.registry.version
                        and self.runtime.now - started_at_ms < MAX_RETRY_DELAY_MS
                    ):
                        # Discovery answered without a change and did not wait: avoid a busy loop.
                        await self.runtime.pause(MIN_RETRY_DELAY_MS)
                    consecutive_failures = 0
                    # After a short watch, the full list is requested.
                    changes_only = wait_ms != SHORT_WATCH_MS
                    wait_ms = (
                        SHORT_WATCH_MS
                        if changes_only and (self._has_invalid_entries or self._is_behind())
                        else LONG_WATCH_MS
                    )
                    continue
                consecutive_failures += 1
                changes_only = changes_only and failure.detail != STALE_VERSION
                if watch not in self._watches[-1:]:  # there is a newer address
                    return
                if self.translator.site.news_on_request:
                    self.publish(FleetNews(FleetNewsKind.MISSED, []))
                    return
                if consecutive_failures > 1:
                    await self.runtime.pause(
                        MIN_RETRY_DELAY_MS
                        + self.runtime.rng.random() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS)
                    )
        finally:
            watch.close()
            self._watches = [other for other in self._watches if other is not watch]

    def _close_watches_before(self, watch: HttpClient | None) -> None:
        """Close the watches that are older than the given one; all of them if it is None."""
        while self._watches and self._watches[0] is not watch:
            self._watches.pop(0).close()

    async def fetch_list(self) -> None:
        """Request the full list once; a failure is published."""
        if await self._request_list(self._list_client, False) is not None:
            self.publish(FleetNews(FleetNewsKind.MISSED, []))

    async def _request_list(
        self, client: HttpClient, changes_only: bool, wait_ms: int = LONG_WATCH_MS
    ) -> Failure | None:
        """Request the list, or its changes; handle the answer or return the failure.

        With `changes_only`, discovery may wait up to `wait_ms` for a change.
        """
        path = protocol.LIST_PATH + (
            f"?{protocol.SINCE_VERSION}={self.registry.version}&{protocol.WATCH_TIMEOUT_MS}={wait_ms}"
            if changes_only
            else ""
        )
        result = await client.call(
            build_get(path), ANSWER_TIMEOUT_MS + (wait_ms if changes_only else 0)
        )
        if not isinstance(result, Failure):
            message = (
                decode_object(result.body)
                if result.status == 200
                else InvalidMessage(f"status {result.status}")
            )
            error = (
                message
                if isinstance(message, InvalidMessage)
                else self._handle_list(message, not changes_only)
            )
            if error is None:
                return None
            result = Failure(SendProgress.ANSWERED, FailureCause.INVALID_RESPONSE, error.why)
        # A watch that was closed meanwhile is not worth a log line.
        if client is self._list_client or client in self._watches:
            self.runtime.rate_limited_log.warning(
                "discovery_failed",
                cause=result.cause.value,
                reach=result.progress.value,
                detail=result.detail,
            )
        return result

    def load_known_list(self, message: dict) -> InvalidMessage | None:
        """Take the list that this controller last stored, which may be out of date.

        Return the error if it can't be used.
        """
        header = self.translator.read_list_header(message)
        if isinstance(header, InvalidMessage):
            return header
        version, _, entries = header
        listings, _ = self._read_entries(entries)
        self.registry.version = self._newest_version = version
        self._store_listings(listings)
        self.publish(FleetNews(FleetNewsKind.CACHED, listings))
        return None

    def _handle_list(self, message: dict, is_first: bool) -> InvalidMessage | None:
        """Take a list or its changes; return the error if it can't be used.

        `is_first` tells an answer to a request for the full list; it is published even if nothing
        has changed. A list older than the one held may come from an agent that is behind, or that
        has begun to count anew: such a full list is accepted if it is not empty, and no older than
        the one that a former request for the full list brought. What it can't know yet, if it is
        behind, stands all the same.
        """
        header = self.translator.read_list_header(message)
        if isinstance(header, InvalidMessage):
            return header
        version, is_full, entries = header
        if version < self.registry.version and not (
            is_full and entries and version in self._accepted_stale_versions
        ):
            self._accepted_stale_versions = (
                range(version, self.registry.version) if is_first else self._accepted_stale_versions
            )
            return InvalidMessage(STALE_VERSION)
        self._accepted_stale_versions = range(0)
        self._note_version(version)
        listings, listed_ids = self._read_entries(entries)
        changed = [
            listing
            for listing in listings
            if self.registry.listings.get(listing.backend) != listing
            and (listing.phase is not Phase.GONE or listing.backend in self.registry.listings)
        ]
        absent = [
            replace(listing, phase=Phase.GONE)
            for listing in self.registry.listings.values()
            if is_full and listing.backend.backend_id not in listed_ids
        ]
        if self._is_behind():
            changed, absent = self._drop_outdated(changed, absent, version)
        changed += absent
        self.has_answered = True
        self._store_listings(changed)
        # Without changes the news only says that the list is as it was.
        is_news_due = self.runtime.now - self._last_news_ms >= MIN_UNCHANGED_NEWS_INTERVAL_MS
        if changed or is_first or is_news_due:
            self._last_news_ms = self.runtime.now
            self.publish(FleetNews(FleetNewsKind.DELTA, changed))
        return None

    def _note_version(self, version: int) -> None:
        """Take over the version of an accepted list; note whether its agent may be behind."""
        if version < self.registry.version:
            self._may_be_behind_until_ms = self.runtime.now + MAX_LIST_LAG_MS
        self.registry.version = version
        if version >= self._newest_version or self.runtime.now >= self._may_be_behind_until_ms:
            self._newest_version = version

    def _is_behind(self) -> bool:
        """Return whether the list held may come from an agent that is behind."""
        return self.registry.version < self._newest_version

    def _drop_outdated(
        self, changed: list[Listing], absent: list[Listing], version: int
    ) -> tuple[list[Listing], list[Listing]]:
        """Return the changes of an older list without those that are older than what was told."""
        now_ms = self.runtime.now
        recent = self._recent_listings
        news = [listing for listing in changed if not recent.contradicts(listing, now_ms)]
        gone = [one for one in absent if not recent.contradicts_absence(one.backend, now_ms)]
        dropped_count = len(changed) + len(absent) - len(news) - len(gone)
        if dropped_count:
            self.runtime.counters.add("discovery.outdated_entries", dropped_count)
            self.runtime.rate_limited_log.warning(
                "list_outdated",
                version=version,
                newest=self._newest_version,
                entries=dropped_count,
            )
        return news, gone

    def _read_entries(self, entries: list) -> tuple[list[Listing], set]:
        """Return the listings of the usable entries, and the ids of all entries, usable or not.

        An invalid entry still counts if it tells that a listed backend drains or is gone.
        """
        self._has_invalid_entries = False
        listings = []
        listed_ids = {
            entry.get(protocol.BACKEND_ID)
            for entry in entries
            if isinstance(entry, dict) and isinstance(entry.get(protocol.BACKEND_ID), str)
        }
        for entry in entries:
            listing = self.translator.read_listing(entry)
            if isinstance(listing, InvalidMessage):
                self.runtime.rate_limited_log.warning("bad_listing", why=listing.why)
                self._has_invalid_entries = True
                listing = self._read_leaving_entry(entry)
            if listing is not None:
                listings.append(listing)
        return listings, listed_ids

    def _read_leaving_entry(self, entry: object) -> Listing | None:
        """Return a listing whose invalid entry has the backend drain or gone, with that phase.

        Return None if the entry does not say so, or the backend is not listed.
        """
        leaving = self.translator.read_leaving(entry)
        known = (
            None if isinstance(leaving, InvalidMessage) else self.registry.listings.get(leaving[0])
        )
        return known and replace(known, phase=leaving[1])

    def _store_listings(self, listings: list[Listing]) -> None:
        """Update the registry's listings; those of gone backends are removed."""
        self._recent_listings.record(listings, self.runtime.now)
        for listing in listings:
            if listing.phase is Phase.GONE:
                self.registry.listings.pop(listing.backend, None)
            else:
                self.registry.listings[listing.backend] = listing
