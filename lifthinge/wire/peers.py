"""Datagrams between the controllers of one tier."""

import asyncio
from collections.abc import Callable

from lifthinge.interface import PeerMessage
from lifthinge.memory.runtime import Runtime

MAX_DATAGRAM_BYTES = 256  # longer ones are neither sent nor accepted


class PeerTransport(asyncio.DatagramProtocol):
    """Sends datagrams to the other controllers and publishes theirs.

    A controller's number is its index in `peers`; it is known by the address that it sends from.
    Datagrams to all others go to `broadcast_address`, if there is one, else to each of them.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: list[tuple[str, int]],
        broadcast_address: tuple[str, int] | None,
        own_number: int,
        publish: Callable[[PeerMessage], None],
    ) -> None:
        self.runtime = runtime
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.own_number = own_number
        self.publish = publish
        self._number_by_address = {address: number for number, address in enumerate(peers)}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Bind the socket to a host and port."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def send(self, peer: int | None, content: bytes) -> None:
        """Send a datagram to one peer, or with None to all others.

        Content that is too long, or for an unknown peer, is logged and not sent.
        """
        if (
            self._transport is None
            or len(content) > MAX_DATAGRAM_BYTES
            or (peer or 0) >= len(self.peers)
        ):
            self.runtime.rate_limited_log.warning("note_not_sent", bytes=len(content), peer=peer)
            return
        others = [address for number, address in enumerate(self.peers) if number != self.own_number]
        addresses = (
            [self.peers[peer]]
            if peer is not None
            else [self.broadcast_address]
            if self.broadcast_address
            else others
        )
        for address in addresses:
            self._transport.sendto(content, address)
            self.runtime.counters.add("peers.sent")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send with."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Publish a datagram of a peer; log one of an unknown sender or that is too long."""
        number = self._number_by_address.get(addr[:2])
        if number is None or number == self.own_number:
            self.runtime.rate_limited_log.warning("datagram_of_stranger")
        elif len(data) > MAX_DATAGRAM_BYTES:
            self.runtime.rate_limited_log.warning("datagram_too_long", bytes=len(data))
        else:
            self.runtime.counters.add("peers.heard")
            self.publish(PeerMessage(number, data))

    def error_received(self, exc: Exception) -> None:
        """Count an error of an earlier send."""
        self.runtime.counters.add("peers.errors")
