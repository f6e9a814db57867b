"""After watches of the store were cut, a VM uses an engine that has left for longer than the drain time."""

import asyncio
import itertools
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from harness import DISRUPTED, LIMITS, Deployment, main, read_response, request_bytes  # noqa: E402
from engines import DRAIN_MS, ENGINE_SPEC, LlmEngine, stream_route  # noqa: E402
from platform_store import PlatformStore  # noqa: E402

ROUNDS = 6
PREFILL_ENGINES, DECODE_ENGINES = 2, 6
CUT_S = 1.0  # in this time, the store cuts each watch that waits
STREAMS_PER_S = 25
PROMPT_TOKENS, OUTPUT_TOKENS = 3000, 170


class Store(PlatformStore):
    """A store that can cut watches: it closes their channels without an answer."""

    CUT_AFTER_S = 0.05  # of the wait

    def __init__(self):
        super().__init__()
        self.cuts_watches = False

    async def watch(self, request):
        waiting = asyncio.create_task(super().watch(request))
        while not waiting.done():
            await asyncio.wait({waiting}, timeout=self.CUT_AFTER_S)
            if self.cuts_watches and not waiting.done():
                waiting.cancel()
                return None
        return waiting.result()


class StreamingEngine(LlmEngine):
    EVENTS = OUTPUT_TOKENS


class Clients:
    ids = itertools.count(1)

    def __init__(self, vm, record):
        self.vm, self.record, self.answers, self.tasks = vm, record, {}, set()

    async def send(self):
        request = f"{next(self.ids):016x}"
        fields = {"Host": "app.example", "Request-Id": request, "Deadline-Ms": 14000, "Model": "m",
                  "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", "Prefix-Hash": f"{request}:{PROMPT_TOKENS}"}
        reader, writer = await asyncio.open_connection(self.vm.ip, self.vm.port)
        try:
            writer.write(request_bytes("POST", "/digest/x", fields, b"x" * 3000))
            self.answers[request], _, _ = await asyncio.wait_for(read_response(reader), 15)
        except (EOFError, OSError):
            self.answers[request] = "a broken answer"
        finally:
            writer.close()

    async def run(self):
        while True:
            task = asyncio.create_task(self.send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / STREAMS_PER_S)


def make_engines(store, history):
    roles = ["prefill"] * PREFILL_ENGINES + ["decode"] * DECODE_ENGINES
    engines = [StreamingEngine(store, "llm", "amman-marka", history, role) for role in roles]
    store.engines = {}
    return engines


async def case():
    history = []
    configuration = {"version": 3, "routes": [stream_route("digest")],
                     "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 360, "engine": ENGINE_SPEC}], "limits": LIMITS}
    async with Deployment(HERE, ["amman-marka"], lambda store: make_engines(store, history), configuration, store=Store()) as deployment:
        vm, record, store, engines = deployment.vms[0], deployment.record, deployment.store, deployment.upstreams
        store.engines.update({engine.address: engine for engine in engines})
        clients = Clients(vm, record)
        sender = asyncio.create_task(clients.run())
        await asyncio.sleep(5)  # all machines are in touch
        for number in range(1, ROUNDS + 1):
            if DISRUPTED:
                store.cuts_watches = True
                record.write(f"round {number}: the store cuts the watches that wait")
            await asyncio.sleep(CUT_S)
            store.cuts_watches = False
            await asyncio.sleep(1.0)
            old = next(engine for engine in engines if engine.role == "decode" and engine.left_at is None)
            new = StreamingEngine(store, "llm", old.place, history, "decode")
            await new.start()
            engines.append(new)
            store.engines[new.address] = new
            await asyncio.sleep(0.02)
            record.write(f"round {number}: engine {new.id} has registered; the store acknowledges that the entry of {old.id} is removed")
            await old.leave(silently=True)
            await asyncio.sleep(4)
        sender.cancel()
        await asyncio.gather(*clients.tasks, return_exceptions=True)
        late = [entry for entry in history if entry["event"] == "late"]
        for entry in late:
            record.write(f"engine {entry['upstream']} gets {entry['request']} {entry['after_ms']} ms after its entry was removed; "
                         f"the client gets {clients.answers.get(entry['request'], 'no answer')}")
        lost = [entry for entry in late if clients.answers.get(entry["request"]) != 200]
        summary = (f"{len(clients.answers)} requests; {len(late)} reached an engine later than {DRAIN_MS} ms after the store's ack that it is "
                   f"gone, {len(lost)} of these were broken off when the engine exited")
        record.write(summary)
        print(summary)
        return not late


main(case)
