"""Probes: a backend is asked for its health, or for its load where that is how loads are told."""

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

PROBE_WAIT = 400.0
PROBES_MOST = 32  # at once
_PAIR = re.compile(rb"([A-Za-z_]+) *= *([0-9.eE+-]+)")


class Prober:
    """Each probe has a connection of its own, so none waits for another."""

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        publish: Callable[[ProbeResult], None],
    ) -> None:
        self.runtime, self.translator, self.registry, self.publish = (
            runtime,
            translator,
            registry,
            publish,
        )
        self._running: dict[asyncio.Task, Backend] = {}

    def probe(self, backend: Backend) -> None:
        if backend in self._running.values():
            self.runtime.counters.add("probe.doubled")
        elif not self.translator.site.sends_probes or backend not in self.registry.addresses:
            self.runtime.counters.add("probe.not_to_be_had")
        elif len(self._running) >= PROBES_MOST:
            self.runtime.counters.add("probe.no_room")
        else:
            task = asyncio.get_running_loop().create_task(self._one(backend))
            self._running[task] = backend
            task.add_done_callback(lambda done: self._running.pop(done, None))

    def close(self) -> None:
        for task in self._running:
            task.cancel()

    async def _one(self, backend: Backend) -> None:
        began, fields = self.runtime.now, self.translator.site.load_fields
        caller = HttpClient(self.runtime, "probe", self.registry.addresses[backend])
        path = protocol.LOAD_PATH if fields else protocol.HEALTH_PATH
        try:
            result = await caller.call(build_get(path), PROBE_WAIT)
        finally:
            caller.close()
        load = (
            read_load(read_text(result.body), fields)
            if isinstance(result, Response) and fields
            else ()
        )
        self.publish(ProbeResult(backend, outcome(result), self.runtime.now - began, load))


def outcome(result: Response | Failure) -> ProbeOutcome:
    """
    >>> [outcome(Response(status, b"")).value for status in (200, 503, 500)]
    ['ok', 'pushed_back', 'aborted']
    >>> from lifthinge.memory.attempts import SendProgress
    >>> [outcome(Failure(SendProgress.NOT_SENT, cause)).value for cause in FailureCause]
    ['unreachable', 'unreachable', 'late', 'broken', 'aborted', 'unreachable', 'unreachable', 'unreachable']
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


def read_text(body: bytes) -> dict[str, float]:
    """
    >>> read_text(b"TEXT inflight=7, queue=2, util=0.61, bad=1.2.3")
    {'inflight': 7.0, 'queue': 2.0, 'util': 0.61}
    """
    found = {}
    for name, value in _PAIR.findall(body):
        try:
            found[name.decode()] = float(value)
        except ValueError:
            continue
    return found
