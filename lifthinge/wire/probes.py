"""Probes of backends: requests of a backend's health, or of its load if the site uses loads."""

import asyncio
import re
from collections.abc import Callable

from lifthinge.interface import Backend, ProbeOutcome, ProbeResult
from lifthinge.memory.attempts import Failure, FailureCause
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.wire import protocol
from lifthinge.wire.client import HttpClient, Response, build_get
from lifthinge.wire.translator import MessageTranslator, read_load

PROBE_TIMEOUT_MS = 400.0  # from sending the request
MAX_RUNNING_PROBES = 32
# One `name=value` pair of a load text.
_LOAD_VALUE = re.compile(rb"([A-Za-z_]+) *= *([0-9.eE+-]+)")


class Prober:
    """Probes backends and publishes the results.

    Each probe has a connection of its own, so none waits for another.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        publish: Callable[[ProbeResult], None],
    ) -> None:
        self.runtime = runtime
        self.translator = translator
        self.registry = registry
        self.publish = publish
        self._running: dict[asyncio.Task, Backend] = {}

    def probe(self, backend: Backend) -> None:
        """Start a probe of a backend, unless one is running or it can't be probed now."""
        if backend in self._running.values():
            self.runtime.counters.add("probe.doubled")
        elif not self.translator.site.sends_probes or backend not in self.registry.addresses:
            self.runtime.counters.add("probe.not_to_be_had")
        elif len(self._running) >= MAX_RUNNING_PROBES:
            self.runtime.counters.add("probe.no_room")
        else:
            task = asyncio.get_running_loop().create_task(self._run_probe(backend))
            self._running[task] = backend
            task.add_done_callback(lambda done: self._running.pop(done, None))

    def close(self) -> None:
        """Cancel the running probes."""
        for task in self._running:
            task.cancel()

    async def _run_probe(self, backend: Backend) -> None:
        """Probe a backend by HTTP and publish the result."""
        started_at_ms = self.runtime.now
        load_fields = self.translator.site.load_fields
        client = HttpClient(self.runtime, "probe", self.registry.addresses[backend])
        path = protocol.LOAD_PATH if load_fields else protocol.HEALTH_PATH
        try:
            result = await client.call(build_get(path), PROBE_TIMEOUT_MS)
        finally:
            client.close()
        load = (
            read_load(read_load_text(result.body), load_fields)
            if isinstance(result, Response) and load_fields
            else ()
        )
        self.publish(
            ProbeResult(backend, probe_outcome(result), self.runtime.now - started_at_ms, load)
        )


def probe_outcome(result: Response | Failure) -> ProbeOutcome:
    """Return the outcome of a probe: status 200 is ok, 503 is pushed back, any other is aborted.

    >>> [probe_outcome(Response(status, b"")).value for status in (200, 503, 500)]
    ['ok', 'pushed_back', 'aborted']
    >>> from lifthinge.memory.attempts import SendProgress
    >>> for cause in FailureCause:
    ...     print(cause.value, probe_outcome(Failure(SendProgress.NOT_SENT, cause)).value)
    refused unreachable
    unreachable unreachable
    late late
    broken broken
    unreadable aborted
    no_room unreachable
    moved unreachable
    renewed unreachable
    """
    if isinstance(result, Response):
        return {200: ProbeOutcome.OK, 503: ProbeOutcome.PUSHED_BACK}.get(
            result.status, ProbeOutcome.ABORTED
        )
    return {
        FailureCause.LATE: ProbeOutcome.LATE,
        FailureCause.BROKEN: ProbeOutcome.BROKEN,
        FailureCause.INVALID_RESPONSE: ProbeOutcome.ABORTED,
    }.get(result.cause, ProbeOutcome.UNREACHABLE)


def read_load_text(body: bytes) -> dict[str, float]:
    """Return the `name=value` pairs of a load text; values that are not numbers are left out.

    >>> read_load_text(b"TEXT inflight=7, queue=2, util=0.61, bad=1.2.3")
    {'inflight': 7.0, 'queue': 2.0, 'util': 0.61}
    """
    values = {}
    for name, value in _LOAD_VALUE.findall(body):
        try:
            values[name.decode()] = float(value)
        except ValueError:
            continue
    return values
