"""Process tests of sound upstreams that neither read nor send for about a second and then go on."""

import asyncio
import signal
import time

from rig import Rig
from version_tests import begin_streams

SILENCE_S = 1.2
EVENT_INTERVAL_S = 0.05
LIMIT_S = 7.0  # in which a stream must end
REQUEST_GAP_S = 0.12  # between streams of steady traffic
TRAFFIC_S = 4.0
SERVED_SHARE = 0.8
PREFILL_TOKENS, PREFILL_MS = 2000, 100
SUSPENSION_S = 0.8  # of a VM; engines keep a KV cache for 0.5 s


async def complete(rig, vm, upstreams, count=6, publishes=0):
    """Begins streams, lets the upstreams fall silent in their middle and expects that all streams end with their last event."""
    streams = await begin_streams(rig, vm, count)
    for upstream in upstreams:
        upstream.fall_silent(SILENCE_S)
    for _ in range(publishes):
        rig.fleet.configure()
        await asyncio.sleep(SILENCE_S / 3)
    await asyncio.wait_for(asyncio.gather(*(stream.read() for stream in streams)), LIMIT_S)
    for stream in streams:
        stream.assert_sound()
    incomplete = [len(stream.numbers) for stream in streams if len(stream.numbers) < stream.EVENTS]
    assert not incomplete, f"{len(incomplete)} of {count} streams ended after {incomplete} events"


class SilenceRig(Rig):
    async def __aenter__(self):
        await super().__aenter__()
        for engine in self.fleet.engines:
            engine.EVENT_INTERVAL_S = EVENT_INTERVAL_S
        return self

    def decode_engines(self):
        return [engine for engine in self.fleet.engines if engine.role == "decode"]


async def streams_outlive_a_silent_second_of_all_engines():
    async with SilenceRig() as rig:
        await complete(rig, rig.vms[0], rig.fleet.engines)


async def streams_outlive_a_silent_second_with_an_empty_retry_budget():
    """Guards against streams that are aborted because their engine was silent and no retry was allowed."""
    for share in (1, 3):
        async with SilenceRig(bounds={"retry_budget": 0.0, "budget_slack": 0}) as rig:
            await complete(rig, rig.vms[0], rig.decode_engines()[::share])


async def streams_outlive_a_silent_second_while_the_configuration_changes():
    async with SilenceRig(bounds={"retry_budget": 0.0, "budget_slack": 0}) as rig:
        await complete(rig, rig.vms[0], rig.decode_engines(), publishes=2)


async def silent_services_answer_late():
    """Requests that may not be repeated wait for the answer of a service that is silent for a second."""
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fall_silent(SILENCE_S)
        results = await asyncio.gather(*(rig.send(kind) for kind in ("book", "check") for _ in range(4)))
        for request, status, _, _ in results:
            assert status == 200, (request, status)
        assert all(len(rig.runs_of(request)) == 1 for request, *_ in results[:4])


async def silent_engines_are_no_lost_links():
    """Guards against streams that are refused because no VM is believed to reach engines that are silent for a second."""
    async with SilenceRig() as rig:
        tasks, end = [], time.monotonic() + TRAFFIC_S
        asyncio.get_running_loop().call_later(TRAFFIC_S / 3, lambda: [engine.fall_silent(SILENCE_S) for engine in rig.decode_engines()])
        while time.monotonic() < end:
            tasks += [asyncio.create_task(rig.send(kind)) for kind in ("stream", "digest")]
            await asyncio.sleep(REQUEST_GAP_S)
        statuses = [status for _, status, *_ in await asyncio.gather(*tasks)]
        text = rig.vms[0].log_text()
        served = f"{statuses.count(200)} of {len(statuses)} served"
        assert "upstreams_cut_off" not in text and "no VM reaches" not in text, served
        assert statuses.count(200) >= SERVED_SHARE * len(statuses), f"{served}: engines are avoided after they answer again"


async def streams_of_a_vm_that_was_suspended_during_their_prefill_are_served():
    """Guards against a KV cache that has expired before the VM read its handle, and that is asked for until no attempt is left."""
    async with SilenceRig() as rig:
        vm = rig.vms[0]
        assert (await rig.send("stream"))[1] == 200
        for engine in rig.fleet.engines:
            engine.PREFILL_TOKENS_PER_MS = PREFILL_TOKENS / PREFILL_MS
        for _ in range(3):
            request = rig.request_id()
            task = asyncio.create_task(rig.send("stream", request_id=request, headers={"Token-Count": f"{PREFILL_TOKENS},100"}))
            while not any(entry["event"] == "arrived" and entry["request"] == request for entry in rig.fleet.history):
                await asyncio.sleep(0.005)
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENSION_S)
            vm.signal(signal.SIGCONT)
            _, status, _, body = await task
            assert status == 200, (status, body)


TESTS = [streams_outlive_a_silent_second_of_all_engines, streams_outlive_a_silent_second_with_an_empty_retry_budget,
         streams_outlive_a_silent_second_while_the_configuration_changes, silent_services_answer_late,
         silent_engines_are_no_lost_links, streams_of_a_vm_that_was_suspended_during_their_prefill_are_served]
