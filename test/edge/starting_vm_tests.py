"""Process tests of VMs that start while a software version appears: the streams that they begin are joined with no other version."""

import asyncio
import contextlib
import json
import signal

from out_of_step_tests import PartitionedRig
from platform_upstreams import Engine
from rig import Rig
from version_tests import Stream, take_up

ENTRY_AFTER_S = 0.19  # from the restart of an engine until just before its new entry
STREAMS, ATTEMPTS, ATTEMPT_GAP_S = 8, 150, 0.02
KNOWN_S, LOG_FLUSH_S = 4.0, 0.5  # for which the other VMs have known the version
SETTLING_MS = 1500  # a VM that has just read of a version that has not settled begins no streams there for that time
OWN_READ_S = 3.0  # from a start until the VM has read the store several times


async def begin_at(vm, rig, version):
    """Begins streams through the VM as soon as it takes requests; returns those that begin at the version."""
    streams = []

    async def begin():
        stream = Stream(rig)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if await stream.open(vm) == 200:
                await stream.read(1)
                streams.extend([stream] * (stream.versions == [version]))
    beginning = []
    for _ in range(ATTEMPTS):
        beginning.append(asyncio.create_task(begin()))
        await asyncio.sleep(ATTEMPT_GAP_S)
        if len(streams) >= STREAMS:
            break
    for task in beginning:
        task.cancel()
    await asyncio.gather(*beginning, return_exceptions=True)
    return list(streams)


async def start_in_release(rig, on_joining=lambda: None):
    """Starts a VM while engines of v2 join, the other ones being full; returns the streams that it begins at v2."""
    rig.traffic.cancel()
    vm, former = rig.vms[0], rig.fleet.engines[4:]
    await rig.kill(vm)
    for engine in former:
        engine.KV_CAPACITY_TOKENS = 0
    joining = [asyncio.create_task(engine.restart("v2")) for engine in rig.fleet.engines[1:4]]
    await asyncio.sleep(ENTRY_AFTER_S)
    on_joining()
    await asyncio.gather(*joining)
    await vm.start()
    streams = await begin_at(vm, rig, "v2")
    for engine in former:
        engine.KV_CAPACITY_TOKENS = Engine.KV_CAPACITY_TOKENS
    assert streams, "no stream begins at the new version"
    return streams


async def streams_of_a_vm_that_starts_in_a_release_stay_at_their_version():
    """Guards against a version that counts as known to all VMs because a VM finds it at its start."""
    async with PartitionedRig() as rig:
        assert 200 in await take_up(await start_in_release(rig), rig.outsiders)


async def streams_of_a_vm_that_starts_in_a_release_stay_at_their_version_beside_a_cut_vm():
    async with PartitionedRig() as rig:
        assert 200 not in await take_up(await start_in_release(rig, rig.partition.cut), rig.outsiders)


async def streams_of_a_vm_that_starts_in_a_release_stay_at_their_version_beside_a_suspended_vm():
    async with PartitionedRig() as rig:
        suspended = rig.outsiders[0]
        try:
            streams = await start_in_release(rig, lambda: suspended.signal(signal.SIGSTOP))
        finally:
            suspended.signal(signal.SIGCONT)
        assert 200 in await take_up(streams, [suspended])


async def a_vm_that_starts_without_its_peers_does_not_take_the_versions_that_are_left_for_all():
    """Guards against joined versions when a VM that reaches only the store has not seen the version that began a stream."""
    async with PartitionedRig() as rig:
        rig.traffic.cancel()
        vm = rig.outsiders[0]
        streams = await begin_at(rig.vms[0], rig, "v1")
        assert streams, "no stream begins"
        rig.partition.cut(store=False)
        await rig.kill(vm)
        await asyncio.gather(*(engine.restart("v2") for engine in rig.fleet.engines))
        await vm.start()
        await vm.wait_until_ready()
        await asyncio.sleep(OWN_READ_S)
        assert 200 not in await take_up(streams, [vm])


async def a_vm_that_starts_begins_streams_at_versions_that_have_settled():
    """Guards against streams that wait for versions to settle whenever a VM is replaced."""
    async with Rig(vms=3) as rig:
        await asyncio.sleep(KNOWN_S)
        vm = rig.vms[0]
        await rig.kill(vm)
        await vm.start()
        await vm.wait_until_ready()
        request, status, _, _ = await rig.send("stream", vm)
        assert status == 200, status
        await asyncio.sleep(LOG_FLUSH_S)
        lines = [json.loads(line) for line in vm.log_text().splitlines() if '"event":"stream_placed"' in line]
        placed = next(line for line in lines if line["request"] == request)
        assert placed["version_known_ms"] >= SETTLING_MS > placed["version_recorded_ms"], placed


TESTS = [a_vm_that_starts_begins_streams_at_versions_that_have_settled, a_vm_that_starts_without_its_peers_does_not_take_the_versions_that_are_left_for_all, streams_of_a_vm_that_starts_in_a_release_stay_at_their_version,
         streams_of_a_vm_that_starts_in_a_release_stay_at_their_version_beside_a_cut_vm,
         streams_of_a_vm_that_starts_in_a_release_stay_at_their_version_beside_a_suspended_vm]
