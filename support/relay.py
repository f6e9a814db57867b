"""A TCP relay that can stop forwarding: open connections go silent, or all traffic is cut."""

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
        self.generation = 0     # connections of an older generation stay silent for good
        asyncio.run_coroutine_threadsafe(self._serve(listen), Relay._loop).result(5)

    async def _serve(self, listen):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", listen)

    async def _accept(self, reader, writer):
        generation = self.generation
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, far_writer, generation), self._pump(far_reader, writer, generation), return_exceptions=True)

    async def _pump(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                while self.cut:
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
