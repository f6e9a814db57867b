"""A stream whose prompt is read by a slow engine is sent to the decode engine of its old plan, although that engine drains."""

import asyncio
import itertools
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from harness import DISRUPTED, LIMITS, Deployment, Record, main, read_response, request_bytes  # noqa: E402
from engines import DRAIN_MS, ENGINE_SPEC, LlmEngine, stream_route  # noqa: E402

PREFILL_ENGINES, DECODE_ENGINES = 3, 5
SLOW_FACTOR = 4.0  # of srv_slow; one engine of eight, a share of 0.125 of at most 0.15
LEAVING = 2  # engines of eight, a share of 0.25, as the largest of scale_in in the site file
ROUNDS = 6
BURST = 34  # requests of a round
PROMPT_TOKENS, OUTPUT_TOKENS = 3000, 170


class DigestEngine(LlmEngine):
    EVENTS = OUTPUT_TOKENS


def make_upstreams(store):
    history = []
    roles = ["prefill"] * PREFILL_ENGINES + ["decode"] * DECODE_ENGINES
    store.engines = {}
    return [DigestEngine(store, "llm", "amman-marka", history, role) for role in roles]


def configuration():
    return {"version": 3, "routes": [stream_route("digest")],
            "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 360, "engine": ENGINE_SPEC}], "limits": LIMITS}


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
