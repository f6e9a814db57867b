"""Process tests of VMs that lose their links to some engines, while others of the service answer them."""

import asyncio
import json
import signal
import time

from stranded_tests import DEADLINE_MS, DETECTION_S, StrandedRig, count_of, repeat

IDLE_S = 2.5  # longer than an answer counts as recent
SPREAD_S = 1.0  # from a cut until idle VMs must use the engines
NOTICE_S = 1.0  # from the end of an engine until idle VMs must not use it
PROOF_S = 2.0  # from the end of an engine until it counts as a crash
CUTS, CUT_S = 3, 0.8  # cuts that reset streams, and how long each lasts
BURST = 6  # streams that use several engines


class PartialCutRig(StrandedRig):
    """A rig whose VMs 0, 2 and 4 prefer the same two decode engines, in their place. VM 2 is idle, the others of them have traffic."""

    def __init__(self, vms=5):
        super().__init__(vms=vms, decode=4)

    async def __aenter__(self):
        await super().__aenter__()
        for engine in self.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.05
        self.preferred = [engine for engine in self.fleet.engines if engine.role == "decode" and engine.place == "z1"]
        return self

    async def send_streams(self, vms, seconds):
        end, results = time.monotonic() + seconds, []
        await asyncio.gather(*(repeat(self, vm, "stream", end, results) for vm in vms))
        return results

    async def burst(self, vm):
        """Returns the statuses of streams that begin at once, and the engines that ran them."""
        answers = await asyncio.gather(*(self.send("stream", vm, deadline=DEADLINE_MS) for _ in range(BURST)))
        return [status for _, status, *_ in answers], {run["upstream"] for request, *_ in answers for run in self.runs_of(request)}

    def lines(self, vm, event):
        return [json.loads(line) for line in vm.log_text().splitlines() if f'"event":"{event}"' in line]


async def cut_from_some_engines(mode, make_rig=PartialCutRig):
    """Cuts VM 0 from two engines that it uses, and expects that the other VMs use them."""
    async with make_rig() as rig:
        cut_off = {engine.id for engine in rig.preferred}
        warmup = asyncio.create_task(rig.send_streams(rig.vms[::4], IDLE_S + 2 * SPREAD_S + DETECTION_S))
        await asyncio.sleep(IDLE_S)
        rig.links.cut(rig.vms[0], mode, rig.preferred)
        cut_at = time.monotonic()
        for _ in range(3):
            await asyncio.sleep(SPREAD_S)
            statuses, engines = await rig.burst(rig.vms[2])
            assert statuses == BURST * [200], statuses
            assert engines & cut_off == cut_off, f"the idle VM uses {engines} and not {cut_off - engines}"
        results = await warmup
        used = {run["upstream"] for begin, vm, _, request, _ in results if vm == "vm4" and begin > cut_at for run in rig.runs_of(request)}
        assert cut_off <= used, f"VM 4 does not use {cut_off - used}"
        failed = [(vm, status) for begin, vm, _, _, status in results if begin > cut_at and status != 200]
        assert len(failed) <= 0.1 * len(results), failed


async def engines_that_refuse_one_vm_are_used_by_the_others():
    """Guards against notices of one VM, whose links are broken, that exclude sound engines at all VMs."""
    await cut_from_some_engines("refuse")


async def engines_that_reset_one_vm_are_used_by_the_others():
    await cut_from_some_engines("reset")


async def cut_while_streams_run(mode, make_rig=PartialCutRig, busy=slice(None)):
    """Cuts VM 0 from two engines again and again while some VMs have traffic, and expects that none of them counts as crashed."""
    async with make_rig() as rig:
        traffic = asyncio.create_task(rig.send_streams(rig.vms[busy], IDLE_S + CUTS * 2 * CUT_S))
        await asyncio.sleep(IDLE_S)
        for _ in range(CUTS):
            rig.links.cut(rig.vms[0], mode, rig.preferred)
            await asyncio.sleep(CUT_S)
            rig.links.heal(rig.vms[0])
            await asyncio.sleep(CUT_S)
        await traffic
        for vm in rig.vms:
            assert not rig.lines(vm, "crash_observed"), (vm.name, rig.lines(vm, "crash_observed"))
            assert not await count_of(vm, "upstream_crashes_observed") and not await count_of(vm, "quarantine_entries"), vm.name


async def engines_that_refuse_one_vm_do_not_count_as_crashed():
    """Guards against sound requests that are quarantined because one VM's links to the engines that ran them were refused."""
    await cut_while_streams_run("refuse")


async def engines_that_reset_one_vm_do_not_count_as_crashed():
    await cut_while_streams_run("reset")


async def engines_that_refuse_a_vm_that_hears_no_other_do_not_count_as_crashed():
    """Guards against a VM that has lost its links to all other VMs too, and takes refused connections for proofs on its own."""
    async with PartialCutRig() as rig:
        for vm in rig.vms[1:]:
            vm.signal(signal.SIGSTOP)
        traffic = asyncio.create_task(rig.send_streams(rig.vms[:1], IDLE_S + 2 * CUT_S))
        await asyncio.sleep(IDLE_S)
        rig.links.cut(rig.vms[0], "refuse", rig.preferred)
        await asyncio.sleep(CUT_S)
        rig.links.heal(rig.vms[0])
        await traffic
        assert rig.lines(rig.vms[0], "entry_outdated"), "the VM has not noticed the refused connections"
        assert not rig.lines(rig.vms[0], "crash_observed"), rig.lines(rig.vms[0], "crash_observed")


async def ended_engines_are_avoided_by_idle_vms():
    """The engine's entry remains in the store, so that only notices of other VMs tell an idle VM."""
    async with PartialCutRig() as rig:
        warmup = asyncio.create_task(rig.send_streams(rig.vms[::4], IDLE_S + NOTICE_S + PROOF_S))
        await asyncio.sleep(IDLE_S)
        ended = rig.preferred[0]
        ended.restart_s = 4 * IDLE_S
        ended.crash_and_restart()
        await asyncio.sleep(NOTICE_S)
        statuses, engines = await rig.burst(rig.vms[2])
        assert statuses == BURST * [200] and ended.id not in engines, (statuses, engines)
        assert not rig.lines(rig.vms[2], "stream_broken") + rig.lines(rig.vms[2], "prefill_left"), "a request was sent there"
        await asyncio.sleep(PROOF_S - NOTICE_S)
        crashes = [await count_of(vm, "upstream_crashes_observed") for vm in rig.vms]
        assert sum(crashes), "the crash of an engine is not observed"
        await warmup


TESTS = [engines_that_refuse_one_vm_are_used_by_the_others, engines_that_reset_one_vm_are_used_by_the_others,
         engines_that_refuse_one_vm_do_not_count_as_crashed, engines_that_reset_one_vm_do_not_count_as_crashed,
         engines_that_refuse_a_vm_that_hears_no_other_do_not_count_as_crashed,
         ended_engines_are_avoided_by_idle_vms]
