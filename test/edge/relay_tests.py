"""Process tests of requests that one VM forwards for another: what the second VM may do with them."""

import asyncio
import json
import signal
import time

from stranded_tests import DETECTION_S, StrandedRig
from version_tests import Stream, restart_in_place

REQUESTS = 40
SPLIT = {"name": "split", "host": "app.example", "prefix": "/split/", "type": "safe", "timeout_ms": 3000, "attempts": 2, "latency_goal_ms": 400,
         "backends": [{"service": "booking", "weight": 1}, {"service": "unknown", "weight": 1}]}
ATTEMPTS = 3
THRICE = {"name": "thrice", "host": "app.example", "prefix": "/thrice/", "type": "safe", "service": "booking", "timeout_ms": 20000,
          "attempts": ATTEMPTS, "latency_goal_ms": 400}
SLOW = {"name": "slow", "host": "app.example", "prefix": "/slow/", "type": "unsafe", "service": "booking", "timeout_ms": 20000, "attempts": 1,
        "latency_goal_ms": 3000}
SLOW_S = 2.0  # time of a run
LEARNED = 24  # requests after which a VM expects that time
LONG = {"name": "long", "host": "app.example", "prefix": "/long/", "type": "streaming", "service": "llm", "timeout_ms": 8000, "attempts": 1,
        "latency_goal_ms": 900, "gap_aim_ms": 300, "sticky": True, "priority": 1}
DROPPED = {**LONG, "name": "dropped", "prefix": "/dropped/", "attempts": 2, "can_resume": True}
SLOW_EVENT_S = 0.3
LONG_S = 3.0  # duration of a stream
SHORT_TIMEOUT_MS = 1500
STREAM_FIELDS = {"Model": "m", "Token-Count": "1000,100", "Prefix-Hash": "ab:1000"}
CHANGE_S = 0.4  # until the VMs that reach the store follow a change
CONFIGURED_S = 1.0  # until all VMs follow a new configuration


async def configured(rig, *routes):
    rig.fleet.configure(routes)
    await asyncio.sleep(CONFIGURED_S)


def events_of(vm, event):
    lines = (json.loads(line) for line in vm.log_text().splitlines() if line.startswith("{"))
    return [line for line in lines if line.get("event") == event]


async def relayed_requests_go_to_the_service_that_the_first_vm_drew():
    """Guards against a second draw among the services of a weighted route; the other service has no upstreams."""
    async with StrandedRig(vms=3) as rig:
        await configured(rig, SPLIT)
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.services)
        await asyncio.sleep(DETECTION_S)
        statuses = {}
        for _ in range(REQUESTS):
            request, status, _, _ = await rig.send("split", rig.vms[0], deadline=3000)
            statuses[request] = status
        relayed = {line["request"] for line in events_of(rig.vms[0], "request_relayed") if line["service"] == "booking"}
        lost = [request for request in relayed if statuses.get(request) != 200]
        assert len(relayed & set(statuses)) > REQUESTS / 5 and not lost, (len(relayed), len(lost))


async def attempts_of_a_route_hold_over_all_vms():
    """Guards against further attempts because the VM that made earlier ones has died before it could tell."""
    async with StrandedRig(vms=3, services=6) as rig:
        await configured(rig, THRICE)
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.services)
        await asyncio.sleep(DETECTION_S)
        for service in rig.fleet.services:
            service.WORK_S = 4
        request = rig.request_id()
        task = asyncio.create_task(rig.send("thrice", rig.vms[0], request, deadline=20000, limit=25))
        await asyncio.sleep(1)
        first = events_of(rig.vms[0], "request_relayed")[-1]
        assert first["request"] == request and rig.runs_of(request), first
        next(vm for vm in rig.vms if vm.name == first["to"]).signal(signal.SIGKILL)
        await task
        assert 2 <= len(rig.runs_of(request)) <= ATTEMPTS, rig.runs_of(request)


async def relayed_requests_that_would_outlast_a_stop_are_refused():
    """Guards against an at-most-once request that is sent although its answer is expected after the end of the VM that took it."""
    async with StrandedRig(vms=3, grace=4) as rig:
        await configured(rig, SLOW)
        for service in rig.fleet.services:
            service.WORK_S = SLOW_S
        await asyncio.gather(*(rig.send("slow", rig.vms[0], deadline=20000, limit=10) for _ in range(LEARNED)))
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.services)
        await asyncio.gather(*(rig.send("check", rig.vms[0]) for _ in range(6)))  # by which the VM finds out
        await asyncio.sleep(DETECTION_S)
        begin = time.monotonic()
        rig.vms[0].signal(signal.SIGTERM)
        await asyncio.sleep(1.7)
        request, status, headers, _ = await rig.send("slow", rig.vms[0], deadline=20000, limit=5)
        assert status == 503 and "retry-after" in headers, (status, headers)
        assert time.monotonic() - begin < 2.7 and not rig.runs_of(request)


async def relayed_streams_keep_the_deadline_of_the_first_vm():
    """Guards against a stream that is aborted because the VM that forwards it follows a newer configuration with a shorter timeout."""
    async with StrandedRig(vms=2) as rig:
        await configured(rig, LONG)
        (relay,) = await rig.relay_store(rig.vms[:1])
        await asyncio.sleep(CONFIGURED_S)
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = LONG_S / engine.EVENTS
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.gather(*(rig.send(kind, rig.vms[0]) for kind in ("check", "stream") for _ in range(6)))  # by which the VM finds out
        relay.silence()  # until the first VM opens another connection
        rig.fleet.configure([{**LONG, "timeout_ms": SHORT_TIMEOUT_MS}])
        await asyncio.sleep(CHANGE_S)
        versions = [events_of(vm, "routes_in_force")[-1]["version"] for vm in rig.vms]
        assert versions[0] < versions[1], f"both VMs follow version {versions}"
        request, status, _, body = await rig.send("long", rig.vms[0], deadline=10000, limit=15, headers=STREAM_FIELDS)
        assert [line["request"] for line in events_of(rig.vms[0], "request_relayed")][-1] == request
        assert status == 200 and body.count(b"data: ") == rig.fleet.engines[0].EVENTS, (status, body)


async def streams_whose_route_was_dropped_go_on_at_another_vm():
    """Guards against a stream that is aborted because the VM that is to go on with it follows a newer configuration without its route."""
    async with StrandedRig(vms=2) as rig:
        await configured(rig, DROPPED)
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = SLOW_EVENT_S
        streams = [Stream(rig, DROPPED["prefix"]) for _ in range(4)]
        assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == 4 * [200]
        await asyncio.gather(*(stream.read(2) for stream in streams))
        await configured(rig)
        rig.links.cut(rig.vms[0], "hang")
        await asyncio.gather(*(stream.read() for stream in streams))
        assert events_of(rig.vms[0], "request_relayed")
        events = [len(stream.numbers) for stream in streams]
        assert events == 4 * [Stream.EVENTS], f"the streams ended after {events} events"


async def streams_that_are_handed_over_do_not_go_on_at_engines_whose_entries_are_older_than_their_processes():
    """Guards against joined versions when the VM that takes a stream over has read no entry of a restarted engine."""
    async with StrandedRig(vms=2, decode=2) as rig:
        engines = [engine for engine in rig.fleet.engines if engine.role == "decode"]
        for engine in engines:
            engine.EVENT_INTERVAL_S = SLOW_EVENT_S
        streams = [Stream(rig) for _ in range(4)]
        assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == 4 * [200]
        await asyncio.gather(*(stream.read(2) for stream in streams))
        rig.links.cut(rig.vms[0], "hang")
        await restart_in_place(engines, entries_after_s=6)
        await asyncio.gather(*(stream.read() for stream in streams))
        assert events_of(rig.vms[0], "request_relayed"), "no stream was handed over"
        assert any(rig.runs_of(stream.id)[-1]["version"] == "v2" for stream in streams), "no stream was sent to a later process"
        for stream in streams:
            stream.assert_sound()


TESTS = [streams_that_are_handed_over_do_not_go_on_at_engines_whose_entries_are_older_than_their_processes, streams_whose_route_was_dropped_go_on_at_another_vm, relayed_streams_keep_the_deadline_of_the_first_vm, relayed_requests_go_to_the_service_that_the_first_vm_drew, attempts_of_a_route_hold_over_all_vms,
         relayed_requests_that_would_outlast_a_stop_are_refused]
