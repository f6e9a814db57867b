"""A TCP relay that misbehaves: it delays, resets, cuts one way or both, or lets open connections go silent."""

import asyncio
import threading


class Relay:
    """Forwards one listening port to a target; all relays run on one background loop."""

    _loop = None

    def __init__(self, listen, target):
        if Relay._loop is None:
            Relay._loop = asyncio.new_event_loop()
            threading.Thread(target=Relay._loop.run_forever, daemon=True).start()
        self.target = target
        self.cut = False        # nothing passes, on old connections and new ones
        self.cut_answers = False  # what the target sends does not pass
        self.delay = 0.0        # seconds, each way
        self.generation = 0     # connections of an older generation stay silent for good
        self.writers = set()
        asyncio.run_coroutine_threadsafe(self._serve(listen), Relay._loop).result(5)

    async def _serve(self, listen):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", listen)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        generation = self.generation
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(self._pump(reader, far_writer, generation, False), self._pump(far_reader, writer, generation, True),
                             return_exceptions=True)
        self.writers -= pair

    async def _pump(self, reader, writer, generation, is_answer):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.cut or (is_answer and self.cut_answers):
                    await asyncio.sleep(0.05)
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        finally:
            writer.close()

    def close(self):
        """Takes no more connections; the port is free again."""
        Relay._loop.call_soon_threadsafe(self.server.close)

    def silence(self):
        """Makes all open connections silent for good; new ones work."""
        self.generation += 1

    def reset(self):
        """Resets all open connections; new ones work."""
        Relay._loop.call_soon_threadsafe(lambda: [writer.transport.abort() for writer in list(self.writers)])
