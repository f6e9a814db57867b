"""Process tests of VMs that are out of step while a software version appears: they join no stream of it with another version."""

import asyncio
import time

from peer_links import PeerLinks
from platform_upstreams import Engine
from version_tests import MixedRig, Stream, begin_streams, take_up

ENTRY_AFTER_S = 0.2  # from the restart of an engine to its new entry


class NoStreamBegins(Exception):
    """Raised when no stream begins at a version for long after its engines have joined."""


class PartitionedRig(MixedRig):
    """A rig of one software version, some of whose VMs can be cut off from the others and from the store."""

    def __init__(self, insiders=2, outsiders=1, hear_one_another=True):
        super().__init__(vms=insiders + outsiders, decode=6, versions=("v1",))
        self.insiders, self.hear_one_another = insiders, hear_one_another

    async def __aenter__(self):
        await super().__aenter__()
        self.outsiders = self.vms[self.insiders:]
        self.partition = await PeerLinks(self, self.outsiders, self.hear_one_another).start()
        self.new_streams, self.traffic = [], asyncio.create_task(self.begin_streams())
        await asyncio.sleep(4.5)  # until all VMs have heard one another for a while
        return self

    async def __aexit__(self, *arguments):
        self.traffic.cancel()
        await super().__aexit__(*arguments)
        self.partition.close()

    async def begin_streams(self):
        """Begins streams through a VM that is in step, and keeps those that begin at the new version."""
        async def begin():
            stream = Stream(self)
            if await stream.open(self.vms[0]) == 200:
                await stream.read(1)
                self.new_streams.extend([stream] * (stream.versions == ["v2"]))
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(begin())
                await asyncio.sleep(0.05)

    async def begin_at_only_version(self, count):
        """Returns streams that have just begun through a VM that is in step."""
        self.traffic.cancel()
        return await begin_streams(self, self.vms[0], count, events=1)

    async def begin_at_new_version(self, count=4):
        """Replaces a prefill and two decode engines by ones of v2; returns the first streams that begin there, as the others are full."""
        former = self.fleet.engines[4:]
        for engine in former:
            engine.KV_CAPACITY_TOKENS = 0
        await asyncio.gather(*(engine.restart("v2") for engine in self.fleet.engines[1:4]))
        end = time.monotonic() + 5
        while len(self.new_streams) < count:
            if time.monotonic() > end:
                raise NoStreamBegins("at the new version")
            await asyncio.sleep(0.01)
        for engine in former:
            engine.KV_CAPACITY_TOKENS = Engine.KV_CAPACITY_TOKENS
        return self.new_streams[:count]


async def a_vm_that_has_just_been_cut_off_does_not_guess():
    """Guards against joined versions when a VM notices its silent peers later than streams begin at a new version."""
    async with PartitionedRig() as rig:
        asyncio.get_running_loop().call_later(ENTRY_AFTER_S - 0.02, rig.partition.cut)
        assert 200 not in await take_up(await rig.begin_at_new_version(1), rig.outsiders)


async def vms_that_are_cut_off_together_do_not_guess():
    """Guards against joined versions when VMs that are out of step hear one another."""
    async with PartitionedRig(outsiders=2) as rig:
        rig.partition.cut()
        streams = await rig.begin_at_new_version()
        await asyncio.sleep(1)
        assert 200 not in await take_up(streams, rig.outsiders)


async def vms_that_hear_their_peers_again_do_not_guess():
    """Guards against joined versions between the first report that is heard again and the first one that names the versions."""
    async with PartitionedRig(insiders=3, outsiders=3, hear_one_another=False) as rig:
        rig.partition.cut()
        streams = await rig.begin_at_new_version(24)
        await asyncio.sleep(1.5)
        rig.partition.cut(peers=False)

        async def take_up_after(seconds, stream, vm):
            await asyncio.sleep(seconds)
            await take_up([stream], [vm])
        await asyncio.gather(*(take_up_after(0.02 * number, stream, rig.outsiders[number % 3]) for number, stream in enumerate(streams)))


async def a_vm_does_not_rely_on_a_read_of_the_store_from_before_it_was_cut_off():
    """Guards against joined versions when a VM without peers has read the store once and does not notice that it is silent."""
    async with PartitionedRig() as rig:
        rig.partition.cut(store=False)
        await asyncio.sleep(2.5)
        rig.partition.cut()
        assert 200 not in await take_up(await rig.begin_at_new_version(), rig.outsiders)


async def a_vm_that_learns_of_a_version_late_does_not_take_it_for_new():
    """Guards against joined versions when a VM that reaches the store again, but no peer, has just read of a version."""
    async with PartitionedRig() as rig:
        rig.partition.cut()
        streams = await rig.begin_at_new_version()
        await asyncio.sleep(1.5)
        rig.partition.cut(store=False)
        end = time.monotonic() + 3
        while '"software_version":"v2"' not in rig.outsiders[0].log_text():
            assert time.monotonic() < end, "the VM does not learn of the new version"
            await asyncio.sleep(0.01)
        assert 200 not in await take_up(streams, rig.outsiders)


async def most_vms_do_not_guess_while_only_one_reaches_the_store():
    """Guards against joined versions when a VM uses a version that the others, which hear one another, cannot read of."""
    async with PartitionedRig(insiders=1, outsiders=2) as rig:
        rig.partition.cut()
        try:
            streams = await rig.begin_at_new_version()
        except NoStreamBegins:
            assert '"software_version":"v2"' in rig.vms[0].log_text(), "the VM has not read of the new version"
            return
        assert 200 not in await take_up(streams, rig.outsiders)


TESTS = [most_vms_do_not_guess_while_only_one_reaches_the_store, a_vm_that_has_just_been_cut_off_does_not_guess, vms_that_are_cut_off_together_do_not_guess,
         vms_that_hear_their_peers_again_do_not_guess, a_vm_does_not_rely_on_a_read_of_the_store_from_before_it_was_cut_off,
         a_vm_that_learns_of_a_version_late_does_not_take_it_for_new]
