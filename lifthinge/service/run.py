"""Start, reload and stop of a controller process."""

import asyncio
import logging
import os
import resource
import signal
import time
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

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
EXIT_STARTUP_ERROR = 2  # exit status
MS_PER_S = 1000.0


def unix_clock() -> Callable[[], float]:
    """Return a clock of Unix time in ms that never goes back.

    It adds the monotonic clock to one reading of the system clock.
    """
    offset = time.time() - time.monotonic()
    return lambda: (offset + time.monotonic()) * MS_PER_S


def make_runtime(seed: int, sockets: int) -> Runtime:
    """Return a runtime of the running event loop.

    Of the sockets, three quarters may be open connections, and half may wait for an answer.
    """
    loop = asyncio.get_running_loop()
    now = unix_clock()
    counters = Counters()
    deadlines = DeadlineTable(
        now, lambda delay, callback: loop.call_later(delay / MS_PER_S, callback)
    )
    return Runtime(
        deadlines,
        counters,
        RateLimitedLog(logging.getLogger("lifthinge"), counters, now),
        SlotPool(sockets * 3 // 4),
        SlotPool(sockets // 2),
        Random(seed),
    )


def collect_counters(runtime: Runtime) -> dict[str, float]:
    """Return all counters, and the resources that the process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        **runtime.counters.as_dict(),
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "memory_mb": usage.ru_maxrss / 1024,  # ru_maxrss is in KiB on Linux
        "loop_delay_ms": runtime.deadlines.max_lateness_ms,
        "connections": len(runtime.connections),
        "descriptors": len(os.listdir("/proc/self/fd")),
    }


def reload(controller: Controller) -> None:
    """Read the configuration again and apply it; one that can't be used changes nothing."""
    try:
        controller.reload(read_config(os.environ, is_reload=True))
    except StartupError as error:
        controller.runtime.rate_limited_log.warning("reload_failed", key=error.key, why=error.why)


def enable_agreed_document(controller: Controller, operators: "Operators | None") -> None:
    """Have the controller follow the agreed document if the operators' file asks for it.

    Otherwise the modules for that are not even imported. Raises StartupError if the key file can't
    be used.
    """
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
    config: ControllerConfig, runtime: Runtime, operators: "Operators | None"
) -> DecisionModule:
    """Return the decision module, with a capture in front of it if the operators' file has one.

    Raises StartupError if the capture's folder can't be used.
    """
    policy = Policy(config.terms, config.seed)
    if operators is None or operators.capture is None:
        return policy
    from lifthinge.capture.capture import open_capture

    capture_part = operators.capture
    header = {"name": config.name, "seed": config.seed, "life": runtime.now}
    try:
        return open_capture(
            policy,
            capture_part.folder,
            capture_part.budget_mb,
            capture_part.segment_mb,
            header,
            runtime.counters,
        )
    except OSError as error:
        raise StartupError(
            "capture.folder", f"{capture_part.folder}: {error.strerror or error}"
        ) from None


async def serve(
    config: ControllerConfig, early_sighups: list[int], operators: "Operators | None" = None
) -> None:
    """Serve until SIGTERM or SIGINT; reload on SIGHUP, log the counters on SIGUSR1.

    `early_sighups` holds the SIGHUPs received before this call; any causes a reload at the start.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    runtime = make_runtime(config.seed, config.sockets)
    policy = make_decision_module(config, runtime, operators)
    controller = Controller(config, runtime, policy)
    enable_agreed_document(controller, operators)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload(controller))
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", collect_counters(runtime)))
    try:
        await controller.start()
        if early_sighups:
            reload(controller)
        host, port = controller.inbound_server.address
        log.info("started", {"name": config.name, "listen": f"{host}:{port}", "pid": os.getpid()})
        await stopped.wait()
    finally:
        controller.stop()
        if not isinstance(policy, Policy):
            policy.close()
    log.info("stopped", collect_counters(runtime))


def main(early_sighups: list[int], operators: "Operators | None" = None) -> int:
    """Run a controller configured by the environment; return the exit status."""
    logs.configure(operators.log.form if operators else "key-value")
    try:
        asyncio.run(serve(read_config(os.environ), early_sighups, operators))
    except StartupError as error:
        log.error("bad_start", {"key": error.key, "why": error.why})
        return EXIT_STARTUP_ERROR
    return 0
