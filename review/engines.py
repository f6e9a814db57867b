"""Model engines that read one prompt after the other, and leave as the users' pages say."""

import asyncio
import time

from http_peer import response
from platform_upstreams import Engine

DRAIN_MS = 2500  # `drain_ms` of the settings

# As in the configuration of the site, with one token an event.
ENGINE_SPEC = {"slots": 64, "kv_tokens": 33770, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": True, "backups": True, "stride": 1,
               "most": 12, "kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}


class LlmEngine(Engine):
    """Records as "late" each request that it runs later than the drain time after the store has acknowledged its leaving."""

    KV_CAPACITY_TOKENS = 33770
    PREFILL_TOKENS_PER_MS = 33.33
    EVENT_INTERVAL_S = 0.01
    LINGER_S = 1.5  # it serves this long after the drain time, and then exits; `linger_ms` of the site file

    slow = 1.0  # factor of its prefill time
    left_at = None
    held = 0  # reservations so far

    async def start(self):
        self.reading = asyncio.Lock()
        return await super().start()

    def entry(self):
        return {**super().entry(), "slots": 64}

    async def handle(self, request, reader, writer):
        if request.path == "/hold-take":
            self.held += 1
        return await super().handle(request, reader, writer)

    async def run(self, request, reader, writer):
        if request.header("stage") == "prefill" and self.role == "prefill":
            return await self.read_prompt(request, reader)
        if self.left_at is not None and self.role == "decode":
            after_ms = round(1000 * (time.monotonic() - self.left_at))
            self.record("late" if after_ms > DRAIN_MS else "in_time", request, after_ms=after_ms)
        return await super().run(request, reader, writer)

    async def read_prompt(self, request, reader):
        async with self.reading:
            prompt = int(request.header("token-count").split(",")[0])
            await asyncio.sleep(prompt / self.PREFILL_TOKENS_PER_MS / 1000 * self.slow)
            if reader.at_eof():
                return None
            self.record("prompt_read", request)
            handle = f"k{self.id}-{next(self.local_ids)}"
            self.handles[handle] = request.header("request-id")
            asyncio.get_running_loop().call_later(0.5, self.handles.pop, handle, None)
            return response(200, body={"kv_handle": handle, "tokens": prompt, "version": 1})

    async def leave(self, silently=False):
        """Reports that it drains, or, if silently, removes its entry; serves on for the drain time and a little longer, and exits."""
        if silently:
            self.store.delete(f"servers/{self.id}")
        else:
            self.drain()
        self.left_at = time.monotonic()
        await asyncio.sleep(DRAIN_MS / 1000 + self.LINGER_S)
        self.store.delete(f"servers/{self.id}")
        self.server.stop()


def stream_route(name):
    """Returns a route of streams that cannot be resumed."""
    return {"name": name, "host": "app.example", "prefix": f"/{name}/", "type": "streaming", "service": "llm", "attempts": 1,
            "timeout_ms": 14000, "latency_goal_ms": 900, "gap_aim_ms": 300, "priority": 1, "sticky": True, "can_resume": False}
