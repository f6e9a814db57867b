"""Process tests of what upstreams say in their responses about further requests: that they leave, or want none for some time."""

import asyncio
import json
import random
import time

from rig import Rig

BEGIN_S = 0.5  # from a refusal with Retry-After until it must be obeyed
TOLD_S = 1.0  # of load, after which each VM has received a response that carries the notice


def arrivals(rig, upstream, since):
    """Returns the requests of callers that reached this start of the upstream."""
    return [entry for entry in rig.fleet.history
            if entry["event"] == "arrived" and entry["upstream"] == upstream.id and entry["at"] >= since]


async def load(rig, kinds, duration, rate=40, **settings):
    """Sends requests at a fixed rate; returns the statuses of their responses, 0 for a broken one."""
    async def send():
        try:
            return (await rig.send(draw.choice(kinds), draw.choice(rig.vms), **settings))[1]
        except EOFError:
            return 0
    draw, tasks, end = random.Random(1), [], time.monotonic() + duration
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


async def heartbeat(upstream):
    while True:
        upstream.register()
        await asyncio.sleep(0.3)


async def reserved_engine(rig, since):
    """Waits for a reservation; returns its engine."""
    while time.monotonic() < since + 3:
        for entry in rig.fleet.history:
            if entry["event"] == "called" and entry["target"] == "/hold-take" and entry["at"] >= since:
                return next(engine for engine in rig.fleet.engines if engine.id == entry["upstream"])
        await asyncio.sleep(0.01)
    raise AssertionError("no engine was reserved")


async def assert_avoided(rig, upstream, kinds, duration=2.0):
    """Asserts that the upstream gets no request once the VMs have received its announcement, and that the others serve all."""
    await load(rig, kinds, TOLD_S)
    since = time.monotonic()
    statuses = await load(rig, kinds, duration)
    late = arrivals(rig, upstream, since)
    assert not late, f"{len(late)} requests reached {upstream.id} after it had announced its leaving"
    assert set(statuses) == {200}, statuses


async def leaving_upstream_with_a_ready_entry_gets_no_requests():
    async with Rig(vms=2, services=3) as rig:
        leaving = rig.fleet.services[0]
        beats = asyncio.create_task(heartbeat(leaving))
        leaving.leaving = ["1"]
        await assert_avoided(rig, leaving, ["check", "book"])
        rig.fleet.store.mode = "silent"
        await assert_avoided(rig, leaving, ["check", "book"])
        rig.fleet.store.mode = "up"
        await assert_avoided(rig, leaving, ["check", "book"])
        beats.cancel()


async def leaving_upstream_gets_no_requests_after_a_return_of_the_store():
    async with Rig(vms=2, services=3) as rig:
        leaving, store = rig.fleet.services[0], rig.fleet.store
        state = store.copy()
        leaving.leaving = ["1"]
        await load(rig, ["check"], TOLD_S)
        leaving.drain()
        store.mode = "reset"
        store.change_event.set()
        await asyncio.sleep(0.5)
        store.restore(state)
        store.mode = "up"
        await assert_avoided(rig, leaving, ["check", "book"])


async def restart_ends_the_announcement():
    async with Rig(services=2) as rig:
        service = rig.fleet.services[0]
        service.leaving = ["1"]
        await assert_avoided(rig, service, ["check"], 0.5)
        service.leaving, service.started_ms = [], service.started_ms + 5000
        service.register()
        await asyncio.sleep(0.5)
        since = time.monotonic()
        assert set(await load(rig, ["check"], 1)) == {200}
        assert arrivals(rig, service, since), "the upstream gets no requests after its restart under the same id"
        service.leaving = ["1"]
        await load(rig, ["check"], TOLD_S)
        service.leaving = []
        await service.restart()
        await asyncio.sleep(0.5)
        assert set(await load(rig, ["check"], 1)) == {200}
        assert arrivals(rig, service, since), "the upstream gets no requests after its restart"


async def announcements_of_other_upstreams_at_the_address_do_not_count():
    async with Rig(services=2) as rig:
        first, second = rig.fleet.services
        rig.fleet.store.put("servers/i-former", json.dumps({**first.entry(), "born": 1}).encode())
        first.leaving = ["1"]
        await load(rig, ["check"], TOLD_S)
        log = rig.vms[0].log_text()
        assert '"status 421"' in log, "no request reached the other upstream at the address"
        assert not [line for line in log.splitlines() if "upstream_announced_leaving" in line and "i-former" in line]
        assert arrivals(rig, second, 0)


async def reservation_at_a_leaving_engine_is_not_used():
    async with Rig(prefill=1, decode=3, services=1) as rig:
        leaving = rig.fleet.engines[2]  # in the VM's place
        leaving.leaving = ["1"]
        since = time.monotonic()
        statuses = await load(rig, ["stream", "digest"], 2, rate=5)
        assert not arrivals(rig, leaving, since), "a stream went to an engine whose reservation announced its leaving"
        assert [entry for entry in rig.fleet.history if entry["event"] == "called" and entry["upstream"] == leaving.id]
        assert set(statuses) == {200}, statuses


async def prefilled_prompt_goes_to_another_engine_if_its_decode_engine_leaves_meanwhile():
    async with Rig(prefill=1, decode=2, services=1) as rig:
        engine = rig.fleet.engines[0]
        await load(rig, ["stream"], 0.5, rate=4)
        engine.PREFILL_TOKENS_PER_MS = 6.0
        sent = time.monotonic()
        slow = asyncio.create_task(rig.send("digest", headers={"Token-Count": "3000,100"}))
        leaving = await reserved_engine(rig, sent)
        leaving.leaving = ["1"]
        since = time.monotonic()
        others = [asyncio.create_task(rig.send("stream", headers={"Token-Count": "100,100"})) for _ in range(4)]
        request, status, _, _ = await slow
        await asyncio.gather(*others)
        late = [entry for entry in arrivals(rig, leaving, since) if entry["request"] == request]
        assert not late, "a prefilled prompt went to an engine that had announced its leaving"
        assert status == 200 and len(rig.runs_of(request)) == 1, status
        assert '"event":"upstream_announced_leaving"' in rig.vms[0].log_text(), "no response announced the leaving"


def assert_pauses_kept(rig):
    """Asserts that no VM sent an upstream a request in the time of which it said so; of a single VM, also its own calls count."""
    def vm_of(entry):
        return rig.vms[0].name if len(rig.vms) == 1 else rig.vm_of.get(entry["request"])
    requests = [entry for entry in rig.fleet.history if entry["event"] in ("arrived", "called")]
    for refused in (entry for entry in rig.fleet.history if entry["event"] == "refused"):
        begin, end = refused["at"] + BEGIN_S, refused["at"] + float(refused["retry_after"][0])
        late = [entry["at"] - refused["at"] for entry in requests
                if entry["upstream"] == refused["upstream"] and vm_of(entry) and vm_of(entry) == vm_of(refused) and begin < entry["at"] < end]
        assert not late, f"{refused['upstream']} refused with {refused['retry_after']} and got requests after {late[:9]} s"


async def paused_service_gets_no_requests_until_the_time_ends():
    async with Rig(vms=2, services=3) as rig:
        paused = rig.fleet.services[0]
        paused.retry_after = ["6"]
        statuses = await load(rig, ["check"], 7, rate=60)
        paused.retry_after = []
        await asyncio.sleep(6)
        since = time.monotonic()
        statuses += await load(rig, ["check"], 1, rate=60)
        assert_pauses_kept(rig)
        assert arrivals(rig, paused, since), "the upstream gets no requests after the time that it named"
        assert set(statuses) == {200}, statuses


async def requests_are_refused_at_once_while_all_upstreams_pause():
    async with Rig(services=2) as rig:
        for service in rig.fleet.services:
            service.retry_after = ["2"]
        await load(rig, ["check"], 0.3)
        ends = [max(entry["at"] for entry in rig.fleet.history if entry["event"] == "refused" and entry["upstream"] == service.id) + 2
                for service in rig.fleet.services]
        waits = []
        for kind in 20 * ["check", "book"]:
            begin = time.monotonic()
            _, status, headers, _ = await rig.send(kind)
            assert status == 503 and time.monotonic() - begin < 0.2, (status, time.monotonic() - begin)
            wait = float(headers["retry-after"])
            assert min(ends) - 0.1 < begin + wait < min(ends) + 0.6, (wait, min(ends) - begin)
            waits.append(begin + wait)
        assert max(waits) - min(waits) > 0.05, "refused callers all come back at the same time"
        assert_pauses_kept(rig)
        for service in rig.fleet.services:
            service.retry_after = []
        await asyncio.sleep(max(ends) - time.monotonic())
        assert (await rig.send("check"))[1] == 200


async def streams_go_to_other_engines_while_some_pause():
    async with Rig(prefill=2, decode=3, services=1) as rig:
        await load(rig, ["stream"], 0.5, rate=4)
        for engine in (rig.fleet.engines[0], rig.fleet.engines[2]):
            engine.retry_after = ["3"]
        statuses = await load(rig, ["stream"], 5, rate=6)
        assert_pauses_kept(rig)
        assert {entry["upstream"] for entry in rig.fleet.history if entry["event"] == "refused"} == {rig.fleet.engines[0].id, rig.fleet.engines[2].id}
        assert set(statuses) == {200}, statuses


async def streams_are_refused_at_once_while_all_engines_pause():
    async with Rig(prefill=1, decode=2, services=1) as rig:
        for engine in rig.fleet.engines[1:]:
            engine.retry_after = ["4"]
        await load(rig, ["stream"], 2, rate=10)
        for _ in range(10):
            begin = time.monotonic()
            _, status, headers, _ = await rig.send("stream")
            assert status == 503 and time.monotonic() - begin < 0.2, (status, time.monotonic() - begin)
            assert 1.0 < float(headers["retry-after"]) < 5.0, headers
        assert_pauses_kept(rig)


async def prefilled_prompt_goes_to_another_engine_if_its_decode_engine_pauses_meanwhile():
    async with Rig(prefill=1, decode=2, services=1) as rig:
        engine = rig.fleet.engines[0]
        await load(rig, ["stream"], 0.5, rate=4)
        engine.PREFILL_TOKENS_PER_MS = 4.4
        sent = time.monotonic()
        slow = asyncio.create_task(rig.send("digest", headers={"Token-Count": "3000,100"}))
        paused = await reserved_engine(rig, sent)
        paused.retry_after = ["5"]
        others = [asyncio.create_task(rig.send("stream", headers={"Token-Count": "100,100"})) for _ in range(4)]
        request, status, _, _ = await slow
        await asyncio.gather(*others)
        assert not [entry for entry in arrivals(rig, paused, sent) if entry["request"] == request], "a prefilled prompt went to a paused engine"
        assert_pauses_kept(rig)
        assert [entry for entry in rig.fleet.history if entry["event"] == "refused"], "the engine refused nothing"
        assert status == 200 and len(rig.runs_of(request)) == 1, status


async def unreadable_pauses_have_no_effect():
    async with Rig(services=2) as rig:
        service = rig.fleet.services[0]
        for values in (["-1"], ["nan"], ["inf"], ["1e999"], ["soon"], [""], ["Wed, 21 Oct 2026 07:28:00 GMT"], ["1", "2"], ["0"]):
            service.retry_after = values
            await load(rig, ["check"], 0.3)
            service.retry_after = []
            await asyncio.sleep(0.2)
        await asyncio.sleep(1)
        since = time.monotonic()
        assert set(await load(rig, ["check"], 1)) == {200}
        assert arrivals(rig, service, since), "an unreadable time kept requests away"
        log = rig.vms[0].log_text()
        assert '"event":"pause_unreadable"' in log and '"event":"upstream_pauses"' not in log


async def restart_ends_the_pause():
    async with Rig(services=2) as rig:
        service = rig.fleet.services[0]
        service.retry_after = ["60"]
        await load(rig, ["check"], 0.5)
        assert_pauses_kept(rig)
        service.retry_after, service.started_ms = [], service.started_ms + 5000
        service.register()
        await asyncio.sleep(0.5)
        since = time.monotonic()
        assert set(await load(rig, ["check"], 1)) == {200}
        assert arrivals(rig, service, since), "the upstream gets no requests after its restart under the same id"


async def return_after_a_cut(rig, change):
    """Lets all services refuse connections until the VM takes itself for cut off, and return changed, without requests of callers."""
    for service in rig.fleet.services:
        service.server.stop()
    await load(rig, ["check"], 1.5)
    await asyncio.sleep(0.3)
    assert '"event":"upstreams_cut_off"' in rig.vms[0].log_text()
    for service in rig.fleet.services:
        change(service)
        await service.server.start()
    await asyncio.sleep(4)


async def probes_of_links_notice_leaving_upstreams():
    async with Rig(services=3) as rig:
        def leave(service):
            service.leaving = ["1"]
        await return_after_a_cut(rig, leave)
        assert [entry for entry in rig.fleet.history if entry["event"] == "called" and entry["target"] == "/healthz"], "nothing was probed"
        assert '"event":"upstream_announced_leaving"' in rig.vms[0].log_text(), "the response to a probe was not read"


async def probes_of_links_keep_pauses():
    async with Rig(services=3) as rig:
        def pause(service):
            service.retry_after = ["3"]
        await return_after_a_cut(rig, pause)
        assert [entry for entry in rig.fleet.history if entry["event"] == "refused"], "nothing was probed"
        await load(rig, ["check"], 1)
        assert_pauses_kept(rig)


TESTS = [probes_of_links_notice_leaving_upstreams, probes_of_links_keep_pauses,
         paused_service_gets_no_requests_until_the_time_ends, requests_are_refused_at_once_while_all_upstreams_pause,
         streams_go_to_other_engines_while_some_pause, streams_are_refused_at_once_while_all_engines_pause,
         prefilled_prompt_goes_to_another_engine_if_its_decode_engine_pauses_meanwhile, unreadable_pauses_have_no_effect,
         restart_ends_the_pause,
         leaving_upstream_with_a_ready_entry_gets_no_requests, leaving_upstream_gets_no_requests_after_a_return_of_the_store,
         restart_ends_the_announcement, announcements_of_other_upstreams_at_the_address_do_not_count,
         reservation_at_a_leaving_engine_is_not_used, prefilled_prompt_goes_to_another_engine_if_its_decode_engine_leaves_meanwhile]
