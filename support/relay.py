"""A TCP relay that injects faults: delays, resets, dropped traffic in one or both directions, connections that go silent, narrow links."""

import asyncio
import socket
import struct
import threading


class Relay:
    """Forwards a listening port to a target port on loopback. All relays share one event loop in a background thread."""

    _loop = None

    def __init__(self, listen, target):
        if Relay._loop is None:
            Relay._loop = asyncio.new_event_loop()
            threading.Thread(target=Relay._loop.run_forever, daemon=True).start()
        self.target = target
        self.cut = False  # holds back all data, on old and new connections
        self.cut_answers = False  # holds back the data that the target sends
        self.delay = 0.0  # seconds, in each direction
        self.bytes_per_s = 0  # that the target sends on all connections together; 0: unlimited
        self.link_free_at = 0.0  # on the loop's clock, if `bytes_per_s` is set
        self.bytes_from_target = 0
        self.generation = 0  # data on connections of older generations is dropped
        self.writers = set()
        asyncio.run_coroutine_threadsafe(self._serve(listen), Relay._loop).result(5)

    async def _serve(self, listen):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", listen)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        generation = self.generation
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        await asyncio.gather(self._pump(reader, target_writer, generation, False), self._pump(target_reader, writer, generation, True),
                             return_exceptions=True)
        self.writers -= pair

    async def _pump(self, reader, writer, generation, from_target):
        try:
            while True:
                narrow = from_target and self.bytes_per_s
                data = await reader.read(max(1, int(self.bytes_per_s / 50)) if narrow else 65536)
                self.bytes_from_target += len(data) if from_target else 0
                if narrow:
                    await self._pass_link(len(data))
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.cut or (from_target and self.cut_answers):
                    await asyncio.sleep(0.05)
                if not data:
                    return
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            self._reset(writer)  # the end of an answer must not look like an ordinary close
            raise
        finally:
            writer.close()

    async def _pass_link(self, size):
        now = Relay._loop.time()
        self.link_free_at = max(now, self.link_free_at) + size / self.bytes_per_s
        await asyncio.sleep(self.link_free_at - now)

    def _reset(self, writer):
        connection = writer.get_extra_info("socket")
        if connection.fileno() >= 0:  # its other end may have closed it just now
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def close(self):
        """Stops listening and frees the port."""
        Relay._loop.call_soon_threadsafe(self.server.close)

    def silence(self):
        """Drops all data on open connections from now on without closing them; new connections work."""
        self.generation += 1

    def reset(self):
        """Resets all open connections; new connections work."""
        Relay._loop.call_soon_threadsafe(lambda: [writer.transport.abort() for writer in list(self.writers)])
