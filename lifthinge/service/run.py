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
from lifthinge.service.controller import Controller, Decider
from lifthinge.service.environment import BadStart, Place, read_place

if TYPE_CHECKING:
    from lifthinge.operators import Operators

log = logging.getLogger(__name__)
BAD_START = 2
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


def counters(runtime: Runtime) -> dict[str, float]:
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
        controller.reload(read_place(os.environ, anew=True))
    except BadStart as error:
        controller.runtime.rate_limited_log.warning("reload_failed", key=error.key, why=error.why)


def turn_on(controller: Controller, operators: Optional["Operators"]) -> None:
    """What the operators' file asks for; without it nothing of that is even imported."""
    if operators is None or operators.agreed is None:
        return
    from lifthinge.cluster.keys import NoKeys
    from lifthinge.service.agreed import AgreedDoor, need_keys

    keys = need_keys(operators.agreed)
    if isinstance(keys, NoKeys):
        raise BadStart("agreed.key_file", f"{keys.path}: {keys.why}")
    controller.agree(
        AgreedDoor(
            operators.agreed,
            controller.place.name,
            controller.runtime,
            controller.registry,
            controller.place.site,
            controller.publish,
            keys,
        )
    )


def decider(place: Place, runtime: Runtime, operators: Optional["Operators"]) -> Decider:
    """The decisions, behind a capture where the operators' file asks for one."""
    policy = Policy(place.terms, place.seed)
    if operators is None or operators.capture is None:
        return policy
    from lifthinge.capture.capture import open_capture

    part, head = operators.capture, {"name": place.name, "seed": place.seed, "life": runtime.now}
    try:
        return open_capture(
            policy, part.folder, part.budget_mb, part.segment_mb, head, runtime.counters
        )
    except OSError as error:
        raise BadStart("capture.folder", f"{part.folder}: {error.strerror or error}") from None


async def serve(place: Place, hung_up: list[int], operators: Optional["Operators"] = None) -> None:
    """Serves until SIGTERM; `hung_up` has the SIGHUPs that came before."""
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    runtime = make_runtime(place.seed, place.sockets)
    policy = decider(place, runtime, operators)
    controller = Controller(place, runtime, policy)
    turn_on(controller, operators)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, over.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: reload(controller))
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", counters(runtime)))
    try:
        await controller.start()
        if hung_up:
            reload(controller)
        where = "%s:%d" % controller.inbound_server.address
        log.info("started", {"name": place.name, "listen": where, "pid": os.getpid()})
        await over.wait()
    finally:
        controller.stop()
        if not isinstance(policy, Policy):
            policy.close()
    log.info("stopped", counters(runtime))


def main(hung_up: list[int], operators: Optional["Operators"] = None) -> int:
    logs.start(operators.log.form if operators else "key-value")
    try:
        asyncio.run(serve(read_place(os.environ), hung_up, operators))
    except BadStart as error:
        log.error("bad_start", {"key": error.key, "why": error.why})
        return BAD_START
    return 0
