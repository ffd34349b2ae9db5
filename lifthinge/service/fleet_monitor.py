"""Watches how many ready backends are withdrawn and how many tables lack an active entry.

A sample is taken every second. Changes are logged, the most of each is a counter.
"""

import logging

from lifthinge.interface import Phase
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime

log = logging.getLogger(__name__)
SAMPLE_INTERVAL_MS = 1_000.0


class FleetMonitor:
    """Takes samples of the backends and tables of a registry until it is stopped."""

    def __init__(self, runtime: Runtime, registry: Registry) -> None:
        self.runtime = runtime
        self.registry = registry
        self._bare_since_ms: float | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Take the first sample after an interval."""
        self.runtime.deadlines.schedule(SAMPLE_INTERVAL_MS, self._sample)

    def stop(self) -> None:
        """Take no further sample."""
        self._is_stopped = True

    def _sample(self) -> None:
        if self._is_stopped:
            return
        self.start()
        ready = [b for b in self.registry.listings if b.listed_phase is Phase.READY]
        withdrawn_count = sum(backend.is_withdrawn for backend in ready)
        bare_count = sum(
            bool(slice_.table) and all(backend.is_withdrawn for backend in slice_.table)
            for slice_ in self.registry.leased_slices
        )
        counters = self.runtime.counters
        counters.record_max("backends.ready_withdrawn.most", withdrawn_count)
        counters.record_max("tables.bare.most", bare_count)
        self._log_bare_tables(bare_count, len(ready), withdrawn_count)

    def _log_bare_tables(self, bare_count: int, ready_count: int, withdrawn_count: int) -> None:
        """Log when tables begin and cease to be bare."""
        if bare_count and self._bare_since_ms is None:
            self._bare_since_ms = self.runtime.now
            self.runtime.rate_limited_log.warning(
                "tables_bare",
                tables=bare_count,
                ready=ready_count,
                ready_withdrawn=withdrawn_count,
            )
        elif not bare_count and self._bare_since_ms is not None:
            elapsed_ms = self.runtime.now - self._bare_since_ms
            self._bare_since_ms = None
            log.info("tables_served", {"after_ms": round(elapsed_ms)})
