"""The platform of `review/standin` with a channel that sends several times slower for a while.

The limits of rules 1 and 3 are stretched alike (wire page, rule 5): both the channel and the limits go by the *channel time*, in
which the channel always sends at its stated pace. Real and channel time agree until the slow phase begins.
"""

import asyncio
import time

from review.standin.world import Proxy, Record, World


class SlowChannelWorld(World):
    """A world whose channel is `factor` times slower from `begin_s` to `end_s` of its record."""

    def __init__(
        self,
        record: Record,
        proxies: int,
        lines_per_s: float,
        factor: float,
        begin_s: float,
        end_s: float,
    ) -> None:
        super().__init__(record, servers=30, slices=64, proxies=proxies, rate=2.0)
        self.settings["Specifics"].update(ChannelRate=lines_per_s, PendingMax=1.5 * lines_per_s)
        self.factor = factor
        self.slow_from = record.started + begin_s
        self.slow_until = record.started + end_s
        self.free_at_channel_time = 0.0

    def channel_time(self, now: float) -> float:
        """Return the channel time of a moment, in seconds."""
        slow_s = min(max(now - self.slow_from, 0.0), self.slow_until - self.slow_from)
        return now - slow_s * (1 - 1 / self.factor)

    def _moment(self, channel_time: float) -> float:
        """Return when it is a channel time."""
        slow_s = min(
            max(channel_time - self.slow_from, 0.0),
            (self.slow_until - self.slow_from) / self.factor,
        )
        return channel_time + slow_s * (self.factor - 1)

    def _send_messages(self, changes: list[dict], mark: int | None) -> None:
        specifics = self.settings["Specifics"]
        lines = specifics["FixedCost"] + len(changes) + (mark is not None)
        now = time.monotonic()
        free_at = max(self.free_at_channel_time, self.channel_time(now))
        for proxy in self.proxies:
            if proxy.joined:
                free_at += lines / specifics["ChannelRate"]
                delay = self._moment(free_at) - now + self.random.uniform(0.05, 0.2)
                asyncio.get_running_loop().call_later(
                    delay, self._deliver, proxy, proxy.life, changes, mark, delay
                )
        self.free_at_channel_time = free_at
        waiting = (free_at - self.channel_time(now)) * specifics["ChannelRate"]
        self.most_waiting = max(self.most_waiting, waiting)

    def _check_bare(self, proxy: Proxy, now: float) -> None:
        limits_from, self.limits_from = self.limits_from, None
        if limits_from is not None:
            self.limits_from = self.channel_time(limits_from)
        super()._check_bare(proxy, self.channel_time(now))
        self.limits_from = limits_from

    def _send(self, proxy: Proxy, name: str, now: float) -> None:
        told = self.servers[name].told_leaving
        if told is not None and self.limits_from is not None:
            since = max(told, proxy.joined_at, self.limits_from)
            self.excuse_s = now - since - (self.channel_time(now) - self.channel_time(since))
        super()._send(proxy, name, now)
        self.excuse_s = 0.0

    def queue_breach(self) -> list[str]:
        """Return the breach of rule 5, if there is one."""
        limit = self.settings["Specifics"]["PendingMax"]
        return [f"rule 5: {self.most_waiting:.0f} of {limit:.0f} lines wait"] * (
            self.most_waiting > limit
        )
