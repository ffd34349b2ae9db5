"""Datagrams between controllers of one tier."""

import asyncio
from collections.abc import Callable

from lifthinge.interface import PeerMessage
from lifthinge.memory.runtime import Runtime

DATAGRAM_MOST = 256


class PeerTransport(asyncio.DatagramProtocol):
    """Knows its peers by the address that each sends from."""

    def __init__(
        self,
        runtime: Runtime,
        peers: list[tuple[str, int]],
        everyone: tuple[str, int] | None,
        own: int,
        publish: Callable[[PeerMessage], None],
    ) -> None:
        self.runtime, self.peers, self.everyone, self.own, self.publish = (
            runtime,
            peers,
            everyone,
            own,
            publish,
        )
        self._numbers = {where: number for number, where in enumerate(peers)}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, where: tuple[str, int]) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=where)

    def close(self) -> None:
        if self._transport:
            self._transport.close()

    def send(self, peer: int | None, content: bytes) -> None:
        """To one peer, or to all others; what is too long is not sent."""
        if (
            self._transport is None
            or len(content) > DATAGRAM_MOST
            or (peer or 0) >= len(self.peers)
        ):
            self.runtime.rate_limited_log.warning("note_not_sent", bytes=len(content), peer=peer)
            return
        others = [where for number, where in enumerate(self.peers) if number != self.own]
        where = (
            [self.peers[peer]] if peer is not None else [self.everyone] if self.everyone else others
        )
        for one in where:
            self._transport.sendto(content, one)
            self.runtime.counters.add("peers.sent")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        number = self._numbers.get(addr[:2])
        if number is None or number == self.own:
            self.runtime.rate_limited_log.warning("datagram_of_stranger")
        elif len(data) > DATAGRAM_MOST:
            self.runtime.rate_limited_log.warning("datagram_too_long", bytes=len(data))
        else:
            self.runtime.counters.add("peers.heard")
            self.publish(PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        self.runtime.counters.add("peers.errors")
