"""A stream whose prompt is read by a slow engine is sent to the decode engine of its old plan, although that engine drains."""

import asyncio
import itertools
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from harness import DISRUPTED, LIMITS, Deployment, Record, main, read_response, request_bytes  # noqa: E402
from http_peer import chunk, response  # noqa: E402
from platform_upstreams import Engine  # noqa: E402

DRAIN_MS = 2500
PREFILL_ENGINES, DECODE_ENGINES = 3, 5
SLOW_FACTOR = 4.0  # of srv_slow; one engine of eight, a share of 0.125 of at most 0.15
LEAVING = 2  # engines of eight, a share of 0.25, as the largest of scale_in in the site file
LINGER_S = 1.5  # an engine serves this long after its drain time, and then exits
ROUNDS = 6
BURST = 34  # requests of a round
PROMPT_TOKENS, OUTPUT_TOKENS = 3000, 170


class LlmEngine(Engine):
    """An engine that reads one prompt after the other and exits some time after it has reported that it drains."""

    KV_CAPACITY_TOKENS = 33770
    PREFILL_TOKENS_PER_MS = 33.33
    EVENTS = 170
    EVENT_INTERVAL_S = 0.01
    slow = 1.0
    drained_at = None
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
        if request.header("stage") != "prefill" or self.role != "prefill":
            if self.drained_at and request.header("stage") != "prefill":
                self.record("late" if time.monotonic() - self.drained_at > DRAIN_MS / 1000 else "in_time", request,
                            after_ms=round(1000 * (time.monotonic() - self.drained_at)))
            return await super().run(request, reader, writer)
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

    async def leave(self):
        """Drains as planned: reports it, serves on for the drain time and a little longer, and exits."""
        self.drain()
        self.drained_at = time.monotonic()
        await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
        self.store.delete(f"servers/{self.id}")
        self.server.stop()


def make_upstreams(store):
    history, zones = [], ("amman-marka", "irbid-north", "aqaba-port")
    roles = ["prefill"] * PREFILL_ENGINES + ["decode"] * DECODE_ENGINES
    engines = [LlmEngine(store, "llm", zones[0], history, role) for role in roles]
    store.engines = {}
    return engines


def configuration():
    route = {"name": "digest", "host": "app.example", "prefix": "/digest/", "type": "streaming", "service": "llm", "attempts": 1,
             "timeout_ms": 14000, "latency_goal_ms": 900, "gap_aim_ms": 300, "priority": 1, "sticky": True, "can_resume": False}
    engine = {"slots": 64, "kv_tokens": 33770, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": True, "backups": True, "stride": 1,
              "most": 12, "kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}
    return {"version": 3, "routes": [route],
            "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 360, "engine": engine}], "limits": LIMITS}


class Clients:
    ids = itertools.count(1)

    def __init__(self, vm, record):
        self.vm, self.record = vm, record

    async def send(self):
        request = f"{next(self.ids):016x}"
        fields = {"Host": "app.example", "Request-Id": request, "Deadline-Ms": 14000, "Model": "m",
                  "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", "Prefix-Hash": f"{request}:{PROMPT_TOKENS}"}
        self.record.write(f"client sends {request}")
        reader, writer = await asyncio.open_connection(self.vm.ip, self.vm.port)
        try:
            writer.write(request_bytes("POST", "/digest/x", fields, b"x" * 3000))
            status, _, body = await asyncio.wait_for(read_response(reader), 15)
            self.record.write(f"client gets {status} with {body.count(b'data:')} events for {request}")
            return request, status
        except (EOFError, OSError) as error:
            self.record.write(f"client: the answer to {request} is broken off ({type(error).__name__})")
            return request, 0
        finally:
            writer.close()


async def play_round(record, number):
    """Returns the requests that reached a draining engine late, and those of them whose answers were broken off."""
    async with Deployment(HERE, ["amman-marka"], make_upstreams, configuration(), record) as deployment:
        vm, engines = deployment.vms[0], deployment.upstreams
        deployment.store.engines.update({engine.address: engine for engine in engines})
        clients = Clients(vm, record)
        for _ in range(3):
            await clients.send()
        decode = [engine for engine in engines if engine.role == "decode"]
        for engine in decode:
            engine.held = 0
        if DISRUPTED:
            engines[0].slow = SLOW_FACTOR
            record.write(f"round {number}: engine {engines[0].id} turns slow")
        tasks = [asyncio.create_task(clients.send()) for _ in range(BURST)]
        await asyncio.sleep(0.15)
        leaving = sorted(decode, key=lambda engine: -engine.held)[:LEAVING]
        for engine in leaving:
            record.write(f"engine {engine.id} reports that it drains, and the store acknowledges it")
        left = [asyncio.create_task(engine.leave()) for engine in leaving]
        answers = dict(await asyncio.gather(*tasks))
        await asyncio.gather(*left)
        late = [entry for entry in engines[0].history if entry["event"] == "late"]
        for entry in late:
            record.write(f"engine {entry['upstream']} gets {entry['request']} {entry['after_ms']} ms after its report; the client gets "
                         f"{answers[entry['request']] or 'a broken answer'}")
        return len(answers), late, [entry for entry in late if not answers[entry["request"]]]


async def case():
    record, sent, late, lost = Record(HERE), 0, [], []
    for number in range(1, ROUNDS + 1):
        count, late_now, lost_now = await play_round(record, number)
        sent, late, lost = sent + count, late + late_now, lost + lost_now
    summary = (f"{sent} requests; {len(late)} reached a draining engine later than {DRAIN_MS} ms after its report, "
               f"{len(lost)} of these were broken off when the engine exited")
    record.write(summary)
    print(summary)
    return not late


main(case)
