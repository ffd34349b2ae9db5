"""Start and stop of the program."""

import asyncio
import logging
import os
import resource
import signal
import time
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Optional

from lifthinge.memory.counters import Counters, RateLimitedLog
from lifthinge.memory.deadlines import DeadlineTable
from lifthinge.memory.runtime import Runtime
from lifthinge.memory.slots import SlotPool
from lifthinge.policy import Policy
from lifthinge.service import logs
from lifthinge.service.config import ControllerConfig, StartupError, read_config
from lifthinge.service.controller import Controller, DecisionModule

if TYPE_CHECKING:
    from lifthinge.operators import Operators

log = logging.getLogger(__name__)
EXIT_STARTUP_ERROR = 2
MS = 1000.0


def unix_clock() -> Callable[[], float]:
    """Milliseconds of Unix time that never go back: anchored once, then monotonic."""
    offset = time.time() - time.monotonic()
    return lambda: (offset + time.monotonic()) * MS


def make_runtime(seed: int, sockets: int) -> Runtime:
    loop, now, counters = asyncio.get_running_loop(), unix_clock(), Counters()
    deadlines = DeadlineTable(now, lambda delay, run: loop.call_later(delay / MS, run))
    return Runtime(
        deadlines,
        counters,
        RateLimitedLog(logging.getLogger("lifthinge"), counters, now),
        SlotPool(sockets * 3 // 4),
        SlotPool(sockets // 2),
        Random(seed),
    )


def collect_counters(runtime: Runtime) -> dict[str, float]:
    """All counters, and what the process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        **runtime.counters.as_dict(),
        "cpu_s": used.ru_utime + used.ru_stime,
        "memory_mb": used.ru_maxrss / 1024,
        "loop_delay_ms": runtime.deadlines.max_lateness_ms,
        "connections": len(runtime.connections),
        "descriptors": len(os.listdir("/proc/self/fd")),
    }


def reload(controller: Controller) -> None:
    """Reads the configuration again; one that can't be used changes nothing."""
    try:
        controller.reload(read_config(os.environ, anew=True))
    except StartupError as error:
        controller.runtime.rate_limited_log.warning("reload_failed", key=error.key, why=error.why)


def enable_agreed_document(controller: Controller, operators: Optional["Operators"]) -> None:
    """What the operators' file asks for; without it nothing of that is even imported."""
    if operators is None or operators.agreed is None:
        return
    from lifthinge.cluster.keys import KeyFileProblem
    from lifthinge.service.agreed_source import AgreedDocumentSource, open_key_file

    keys = open_key_file(operators.agreed)
    if isinstance(keys, KeyFileProblem):
        raise StartupError("agreed.key_file", f"{keys.path}: {keys.why}")
    controller.set_agreed_source(
        AgreedDocumentSource(
            operators.agreed,
            controller.config.name,
            controller.runtime,
            controller.registry,
            controller.config.site,
            controller.publish,
            keys,
        )
    )


def make_decision_module(
    config: ControllerConfig, runtime: Runtime, operators: Optional["Operators"]
) -> DecisionModule:
    """The decisions, behind a capture where the operators' file asks for one."""
    policy = Policy(config.terms, config.seed)
    if operators is None or operators.capture is None:
        return policy
    from lifthinge.capture.capture import open_capture

    part, head = operators.capture, {"name": config.name, "seed": config.seed, "life": runtime.now}
    try:
        return open_capture(
            policy, part.folder, part.budget_mb, part.segment_mb, head, runtime.counters
        )
    except OSError as error:
        raise StartupError("capture.folder", f"{part.folder}: {error.strerror or error}") from None


async def serve(
    config: ControllerConfig, hung_up: list[int], operators: Optional["Operators"] = None
) -> None:
    """Serves until SIGTERM; `hung_up` has the SIGHUPs that came before."""
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    runtime = make_runtime(config.seed, config.sockets)
    policy = make_decision_module(config, runtime, operators)
    controller = Controller(config, runtime, policy)
    enable_agreed_document(controller, operators)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, over.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload(controller))
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", collect_counters(runtime)))
    try:
        await controller.start()
        if hung_up:
            reload(controller)
        where = "%s:%d" % controller.inbound_server.address
        log.info("started", {"name": config.name, "listen": where, "pid": os.getpid()})
        await over.wait()
    finally:
        controller.stop()
        if not isinstance(policy, Policy):
            policy.close()
    log.info("stopped", collect_counters(runtime))


def main(hung_up: list[int], operators: Optional["Operators"] = None) -> int:
    logs.configure(operators.log.form if operators else "key-value")
    try:
        asyncio.run(serve(read_config(os.environ), hung_up, operators))
    except StartupError as error:
        log.error("bad_start", {"key": error.key, "why": error.why})
        return EXIT_STARTUP_ERROR
    return 0
