"""A way between members that can be cut in one direction: a forwarder for one member that knows who dials.

Bytes of a connection that is cut are held, as those of a network that loses packets; at the mend they go on. The
dialling member is read from its hello, which is bare.
"""

import asyncio

import msgspec

from lifthinge.cluster.frame_auth import LENGTH_BYTES, MAC_BYTES, Hello

BLOCK = 64 << 10
HELD_MOST = 32 << 20


class _Side(asyncio.BufferedProtocol):
    """One end of a forwarded connection."""

    def __init__(self, pair: "_Pair", dialled: bool) -> None:
        self.pair, self.dialled = pair, dialled
        self.transport: asyncio.Transport | None = None
        self._block = bytearray(BLOCK)

    def connection_made(self, transport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._block

    def buffer_updated(self, nbytes: int) -> None:
        self.pair.came(self, bytes(self._block[:nbytes]))

    def connection_lost(self, error: Exception | None) -> None:
        self.pair.end()


class _Pair:
    """A forwarded connection: what the dialler sent waits until it is known who it is, and while it is cut."""

    def __init__(self, way: "Way") -> None:
        self.way, self.sender = way, ""
        self.near, self.far = _Side(self, False), _Side(self, True)
        self.head = b""
        self.held: list[tuple[_Side, bytes]] = []
        self.size = 0
        self.over = False

    def came(self, side: _Side, data: bytes) -> None:
        if side is self.near and not self.sender:
            self.head += data
            length = int.from_bytes(self.head[:LENGTH_BYTES], "big")
            if len(self.head) < LENGTH_BYTES + length or len(self.head) < LENGTH_BYTES + MAC_BYTES:
                return
            try:
                self.sender = msgspec.msgpack.decode(
                    self.head[LENGTH_BYTES + MAC_BYTES : LENGTH_BYTES + length], type=Hello
                ).sender
            except (msgspec.DecodeError, msgspec.ValidationError):
                return self.end()
            data, self.head = self.head, b""
            self.way.pairs[self] = None
            task = asyncio.get_running_loop().create_task(self._dial())
            self.way.tasks.add(task)
            task.add_done_callback(self.way.tasks.discard)
        self.held.append((self.far if side is self.near else self.near, data))
        self.size += len(data)
        self.flush()

    async def _dial(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.far, *self.way.target)
        except OSError:
            return self.end()
        self.flush()

    def flush(self) -> None:
        if self.over or self.far.transport is None:
            return
        if self.size > HELD_MOST:
            return self.end()
        waiting, self.held, self.size = self.held, [], 0
        for side, data in waiting:
            cut = (self.sender, self.way.name) if side is self.far else (self.way.name, self.sender)
            if cut in self.way.cuts:
                self.held.append((side, data))
                self.size += len(data)
            else:
                side.transport.write(data)

    def end(self) -> None:
        if not self.over:
            self.over = True
            self.way.pairs.pop(self, None)
            for side in (self.near, self.far):
                if side.transport is not None:
                    side.transport.abort()


class Way:
    """All connections to one member; `cuts` holds (from, to) of what does not get through, shared by all ways."""

    def __init__(self, name: str, target: tuple[str, int], cuts: set[tuple[str, str]]) -> None:
        self.name, self.target, self.cuts = name, target, cuts
        self.pairs: dict[_Pair, None] = {}
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> tuple[str, int]:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: _Pair(self).near, "127.0.0.1", 0
        )
        return self.server.sockets[0].getsockname()[:2]

    def changed(self) -> None:
        """The cuts are others now."""
        for pair in list(self.pairs):
            pair.flush()

    def close(self) -> None:
        self.server.close()
        for pair in list(self.pairs):
            pair.end()
