"""Process tests of the retry budget: what upstreams get of one service beyond the first call of each request."""

import asyncio

from rig import Rig
from stranded_tests import DETECTION_S, StrandedRig, count_of

STREAMS = 20
SLACK = 10  # retries that all VMs together may send
EXPIRY_S = 0.5  # after which an engine discards a KV cache that no other one has fetched


def repeated_calls(rig):
    """Returns the calls of all streams beyond the first one and the first accepted prefill of each."""
    def requests(event):
        return [entry["request"] for entry in rig.fleet.history if entry["event"] == event and entry["service"] == "llm"]
    arrived, prefilled = requests("arrived"), set(requests("prompt_read"))
    return sum(max(0, arrived.count(request) - (request in prefilled) - 1) for request in set(arrived))


def discard_kv(rig):
    """Lets decode engines refuse each KV cache, after the time in which it expires."""
    async def find_expired(_source, _request):
        await asyncio.sleep(EXPIRY_S)
        return False
    for engine in rig.fleet.engines:
        engine.import_kv = find_expired


def break_streams(rig):
    """Lets decode engines reset the connection of each stream before its head."""
    async def reset(_request, _reader, writer, _prompt):
        writer.transport.abort()
    for engine in rig.fleet.engines:
        engine.stream = reset


async def prompts_that_are_prefilled_again_stay_within_the_retry_budget():
    """Guards against further prefills that take nothing from the budget."""
    async with Rig(bounds={"retry_budget": 0.0, "budget_slack": SLACK}) as rig:
        discard_kv(rig)
        await asyncio.gather(*(rig.send("stream") for _ in range(STREAMS)))
        assert 0 < repeated_calls(rig) <= SLACK, f"{repeated_calls(rig)} repeated calls"


async def calls_of_a_vm_that_gave_streams_back_are_counted():
    """Guards against calls that take nothing from any budget because another VM made the earlier ones."""
    async with StrandedRig(vms=3, decode=4) as rig:
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.gather(*(rig.send("stream", rig.vms[0]) for _ in range(6)))  # by which the VM finds out
        await asyncio.sleep(DETECTION_S)
        rig.fleet.history.clear()
        break_streams(rig)
        before = [await count_of(vm, 'retries_acquired{service="llm"}') for vm in rig.vms]
        await asyncio.gather(*(rig.send("stream", rig.vms[0]) for _ in range(STREAMS)))
        acquired = sum([await count_of(vm, 'retries_acquired{service="llm"}') for vm in rig.vms]) - sum(before)
        assert 0 < repeated_calls(rig) <= acquired, f"{repeated_calls(rig)} repeated calls, {acquired} retries"


TESTS = [prompts_that_are_prefilled_again_stay_within_the_retry_budget, calls_of_a_vm_that_gave_streams_back_are_counted]
