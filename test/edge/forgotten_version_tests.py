"""Process tests of VMs that cannot have learned of a version, as it came and left while they were out of step or all who knew it restarted."""

import asyncio

from out_of_step_tests import PartitionedRig
from version_tests import take_up

CUT_S = 1.0  # for which the VM stays out of step after the version has left
PEERS_BACK_AFTER_S = 0.8  # from when the store is reached again
ROLL_GAP_S = 0.6  # between the restarts of two VMs
RETURNS, RETURN_GAP_S = 16, 0.08


async def begin_and_lose_version(rig):
    """Begins streams at a new version while the outsiders are cut off, and ends the engines of that version."""
    rig.partition.cut()
    streams = await rig.begin_at_new_version(RETURNS)
    rig.traffic.cancel()
    for engine in rig.fleet.engines[1:4]:
        engine.crash()
    return streams


async def take_up_one_by_one(streams, vm):
    async def one(number, stream):
        await asyncio.sleep(RETURN_GAP_S * number)
        return (await take_up([stream], [vm]))[0]
    return await asyncio.gather(*(one(number, stream) for number, stream in enumerate(streams)))


async def a_vm_that_reads_the_store_after_a_version_has_left_does_not_guess():
    """Guards against joined versions when the entries of a version were gone before a VM that was cut off reads the store again."""
    async with PartitionedRig() as rig:
        streams = await begin_and_lose_version(rig)
        await asyncio.sleep(CUT_S)
        rig.partition.cut(store=False)
        asyncio.get_running_loop().call_later(PEERS_BACK_AFTER_S, rig.partition.cut, False, False)
        assert 200 not in await take_up_one_by_one(streams, rig.outsiders[0])


async def a_vm_does_not_guess_after_all_vms_that_knew_a_version_have_restarted():
    """Guards against joined versions when only the memory of VMs tells that a version was there."""
    async with PartitionedRig() as rig:
        streams = await begin_and_lose_version(rig)
        insiders = rig.vms[:rig.insiders]
        await asyncio.gather(*(rig.kill(vm) for vm in insiders))
        await asyncio.gather(*(vm.start() for vm in insiders))
        rig.partition.cut(False, False)
        await asyncio.sleep(0.3)
        assert 200 not in await take_up_one_by_one(streams, rig.outsiders[0])


async def a_vm_does_not_guess_while_vms_that_knew_a_version_are_rolled():
    """The same, where the VMs restart one after another and a caller returns before the first datagram of one that still knows."""
    async with PartitionedRig() as rig:
        streams = await begin_and_lose_version(rig)
        for vm in rig.vms[:rig.insiders]:
            await rig.kill(vm)
            await vm.start()
            await asyncio.sleep(ROLL_GAP_S)
        rig.partition.cut(False, False)
        await asyncio.sleep(0.1)
        assert 200 not in await take_up_one_by_one(streams, rig.outsiders[0])


async def streams_of_the_only_version_go_on_at_a_vm_that_was_out_of_step():
    """Guards against refusals of streams whose version is certain, at a VM that has just reached the store again."""
    async with PartitionedRig() as rig:
        rig.partition.cut()
        streams = await rig.begin_at_only_version(RETURNS)
        await asyncio.sleep(CUT_S)
        rig.partition.cut(store=False)
        await asyncio.sleep(PEERS_BACK_AFTER_S)
        assert await take_up(streams, rig.outsiders) == RETURNS * [200]


async def streams_of_the_only_version_go_on_while_the_store_is_silent():
    """Guards against refusals of streams whose origin other VMs know, while no VM reaches the store."""
    async with PartitionedRig(insiders=0, outsiders=3) as rig:
        streams = await rig.begin_at_only_version(RETURNS)
        rig.partition.cut(peers=False)
        await asyncio.sleep(CUT_S)
        assert await take_up(streams, rig.outsiders[1:]) == RETURNS * [200]


TESTS = [a_vm_that_reads_the_store_after_a_version_has_left_does_not_guess, a_vm_does_not_guess_after_all_vms_that_knew_a_version_have_restarted,
         a_vm_does_not_guess_while_vms_that_knew_a_version_are_rolled, streams_of_the_only_version_go_on_at_a_vm_that_was_out_of_step,
         streams_of_the_only_version_go_on_while_the_store_is_silent]
