"""Process tests of requests that have not begun to be answered while sound upstreams are silent for one to two seconds, beside a series of
changes of the configuration. Callers keep their connections."""

import asyncio
import collections
import random
import time

from loss_tests import send_until
from rig import Rig
from silent_stream_tests import SLOW_LIMIT_S, PatientRig
from stranded_tests import DETECTION_S, StrandedRig

LONGEST_SILENCE_S = 2.0
BEFORE_S, AFTER_S = 0.8, 1.0  # of traffic, before and after the silence
CHANGE_S = (0.5, 2.0)  # between two changes
EVENT_INTERVAL_S = 0.03
SHORT_DEADLINE_MS = 500
LATE_S = 0.3  # before the end of the silence
PAUSE_S = 0.1
STREAMS_SERVED_SHARE = 0.8  # a KV cache may be gone when its engine goes on
EXPIRY_S = 0.7  # from the silence until the store removes the entry


class Traffic:
    """Callers that keep their connections, beside a series of changes of the configuration."""

    def __init__(self, rig, vms, kinds, callers, pause_s=PAUSE_S):
        self.rig, self.results, self.over = rig, [], []
        self.tasks = [asyncio.create_task(self.call(vm, kind, pause_s)) for vm in vms for kind in kinds for _ in range(callers)]
        self.tasks.append(asyncio.create_task(self.change()))

    async def call(self, vm, kind, pause_s):
        await asyncio.sleep(random.uniform(0, BEFORE_S / 2))
        await send_until(self.rig, vm, kind, lambda: bool(self.over), self.results, pause_s=pause_s)

    async def change(self):
        while not self.over:
            self.rig.fleet.configure()
            await asyncio.sleep(random.uniform(*CHANGE_S))

    async def disturb(self, upstreams, seconds):
        await asyncio.sleep(BEFORE_S)
        for upstream in upstreams:
            upstream.fall_silent(seconds)
        await asyncio.sleep(seconds + AFTER_S)
        self.over.append(True)
        await asyncio.gather(*self.tasks)

    def assert_answered(self, served_share=1.0):
        """Expects that all requests but a few, which are refused and have not run, are served, and that nothing ran twice which must not."""
        runs = collections.Counter(entry["request"] for entry in self.rig.fleet.history if entry["event"] == "run")
        bad = [sent for sent in self.results if sent.status not in (200, 503) or (sent.status == 503 and runs[sent.request])
               or (sent.kind in ("book", "digest") and runs[sent.request] > 1)]
        served = sum(sent.status == 200 for sent in self.results)
        assert served > 20 and not bad, f"{len(bad)} of {len(self.results)}, {served} served: {bad[:4]} {[sent.body[:80] for sent in bad[:4]]}"
        refused = [(sent, sent.body[:80]) for sent in self.results if sent.status == 503]
        assert served >= served_share * len(self.results), f"{len(refused)} of {len(self.results)} are refused: {refused[:4]}"


async def outlive(choose, seconds, kinds, callers=6, served_share=1.0, pause_s=PAUSE_S):
    async with Rig(services=3) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = EVENT_INTERVAL_S
        traffic = Traffic(rig, rig.vms[:1], kinds, callers, pause_s)
        await traffic.disturb(choose(rig.fleet), seconds)
        traffic.assert_answered(served_share)


def engines(fleet, role):
    return [engine for engine in fleet.engines if engine.role == role]


async def plain_requests_outlive_a_silence_of_all_services():
    await outlive(lambda fleet: fleet.services, LONGEST_SILENCE_S, ("book", "check"))


async def plain_requests_outlive_a_silence_of_one_service():
    await outlive(lambda fleet: fleet.services[:1], 1.5, ("book", "check"))


async def plain_requests_outlive_a_silence_of_all_services_but_one():
    await outlive(lambda fleet: fleet.services[1:], 1.0, ("book", "check"))


async def prompts_outlive_a_silence_of_all_prefill_engines():
    await outlive(lambda fleet: engines(fleet, "prefill"), LONGEST_SILENCE_S, ("stream", "digest"), served_share=STREAMS_SERVED_SHARE)


async def prompts_outlive_a_silence_of_one_prefill_engine():
    await outlive(lambda fleet: engines(fleet, "prefill")[:1], 1.5, ("stream", "digest"), served_share=STREAMS_SERVED_SHARE)


async def reservations_outlive_a_silence_of_all_decode_engines():
    await outlive(lambda fleet: engines(fleet, "decode"), 1.0, ("stream", "digest"), callers=12, served_share=STREAMS_SERVED_SHARE, pause_s=1.0)


async def relayed_plain_requests_outlive_a_silence_of_all_services():
    async with StrandedRig(vms=3) as rig:
        await rig.wait_until_vms_report()
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S / 2)
        traffic = Traffic(rig, rig.vms[:1], ("book", "check"), 6)
        await traffic.disturb(rig.fleet.services, 1.0)
        traffic.assert_answered()


async def services_that_are_silent_for_two_seconds_are_no_lost_links():
    """Guards against requests that are refused at once because calls with short deadlines make a silence look like lost links."""
    async with Rig(services=3) as rig:
        begin = time.monotonic()
        for service in rig.fleet.services:
            service.fall_silent(LONGEST_SILENCE_S)
        hasty, late = [], []
        while (now := time.monotonic() - begin) < LONGEST_SILENCE_S - 0.05:
            kind = ("book", "check")[len(hasty) % 2]
            hasty.append(asyncio.create_task(rig.send(kind, deadline=SHORT_DEADLINE_MS)))
            if now > LONGEST_SILENCE_S - LATE_S:
                late.append(asyncio.create_task(rig.send(kind)))
            await asyncio.sleep(0.01)
        statuses = collections.Counter(status for _, status, *_ in await asyncio.gather(*late))
        await asyncio.gather(*hasty)
        assert set(statuses) == {200}, f"of requests that could be served after the silence: {statuses}"
        assert "upstreams_cut_off" not in rig.vms[0].log_text()


async def streams_outlive_the_silence_of_an_engine_whose_entry_is_removed():
    """Guards against streams that end because a leaving engine, which serves on without its entry, is silent for a while."""
    async with PatientRig(decode=2, interval_s=0.2) as rig:
        streams = await rig.begin()
        engine = rig.engine_of(streams[0])
        disturbed = [stream for stream in streams if rig.engine_of(stream) is engine]
        engine.fall_silent(LONGEST_SILENCE_S)
        hasty = [asyncio.create_task(rig.send("patient", vm)) for vm in rig.vms for _ in range(6)]  # their reservations are unanswered
        await asyncio.sleep(EXPIRY_S)
        rig.fleet.store.delete(f"servers/{engine.id}")
        complete = await asyncio.gather(*(stream.end(SLOW_LIMIT_S) for stream in disturbed))
        assert all(complete), f"{complete.count(False)} of {len(complete)} streams are aborted"
        await asyncio.gather(*hasty)


TESTS = [plain_requests_outlive_a_silence_of_all_services, plain_requests_outlive_a_silence_of_one_service,
         plain_requests_outlive_a_silence_of_all_services_but_one,
         prompts_outlive_a_silence_of_all_prefill_engines, prompts_outlive_a_silence_of_one_prefill_engine,
         reservations_outlive_a_silence_of_all_decode_engines, relayed_plain_requests_outlive_a_silence_of_all_services,
         services_that_are_silent_for_two_seconds_are_no_lost_links, streams_outlive_the_silence_of_an_engine_whose_entry_is_removed]
