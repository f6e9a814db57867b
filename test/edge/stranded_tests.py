"""Process tests of VMs that lose their links to upstreams while other VMs, callers and the store reach everything."""

import asyncio
import itertools
import signal
import time

from rig import Rig, call
from version_tests import Stream

KINDS = ("book", "check", "stream", "digest")
AT_MOST_ONCE = ("book", "digest")
DETECTION_S = 2.0  # from a cut until requests must be served again
MEASURED_S = 3.0
SERVED_SHARE = 0.9
REQUEST_GAP_S = 0.1
DEADLINE_MS = 3000
HEALING_S = 3.0  # until the VM sends by itself again
REFUSAL_S = 0.6
STOP_S = 0.5  # from a caller's close until its run ends at the engine
START_S = 1.5  # until VMs have heard from one another, unless all have just started
LIST_S = 10.0  # in which VMs that have just started must read the list of VMs
REPORT_S = 0.8  # in which a VM that knows others reports to them


class StrandedRig(Rig):
    """A rig with links between each VM and each upstream."""

    async def __aenter__(self):
        await super().__aenter__()
        await self.relay_upstreams(self.vms)
        await asyncio.sleep(START_S)
        return self

    async def wait_until_vms_report(self):
        """Waits until each VM has heard from all others; one that has just started reads their list after two seconds."""
        end = time.monotonic() + LIST_S
        while not all([await count_of(vm, "vms_known") == len(self.vms) for vm in self.vms]):
            assert time.monotonic() < end, "a VM does not know all others"
            await asyncio.sleep(0.1)
        await asyncio.sleep(REPORT_S)


async def count_of(vm, name):
    _, _, body = await call(vm.ip, vm.port + 9, "GET", "/metrics", {"Host": "x"}, b"")
    return next((int(line.split()[1]) for line in body.decode().splitlines() if line.startswith(f"currantstack_{name} ")), 0)


async def repeat(rig, vm, kind, end, results):
    """Sends requests of one kind at a steady rate; results hold (begin, vm, kind, request, status)."""
    async def one():
        begin, request = time.monotonic(), rig.request_id()
        try:
            status = (await rig.send(kind, vm, request, deadline=DEADLINE_MS, limit=DEADLINE_MS / 1000 + 1))[1]
        except (EOFError, OSError, asyncio.TimeoutError) as error:
            status = repr(error)
        results.append((begin, vm.name, kind, request, status))
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(REQUEST_GAP_S)
    await asyncio.gather(*tasks)


def assert_served(results, vms, since, share):
    for vm, kind in itertools.product(vms, KINDS):
        statuses = [status for begin, name, sent, _, status in results if begin >= since and name == vm.name and sent == kind]
        assert statuses and statuses.count(200) >= share * len(statuses), (vm.name, kind, statuses)


def assert_run_once(rig, results):
    for _, vm, kind, request, status in results:
        runs = rig.runs_of(request)
        assert kind not in AT_MOST_ONCE or len(runs) <= 1, (vm, kind, status, runs)
        assert kind not in AT_MOST_ONCE or status != 503 or not runs, (vm, kind, status, runs)


async def send_through_cut(mode, choose=lambda fleet: None):
    """Cuts one of three VMs and expects that requests of all kinds are served at all VMs."""
    async with StrandedRig(vms=3) as rig:
        results, cut_at = [], time.monotonic()
        rig.links.cut(rig.vms[0], mode, choose(rig.fleet))
        await asyncio.gather(*(repeat(rig, vm, kind, cut_at + DETECTION_S + MEASURED_S, results) for vm in rig.vms for kind in KINDS))
        assert_run_once(rig, results)
        assert_served(results, rig.vms[1:], cut_at, SERVED_SHARE)
        assert_served(results, rig.vms[:1], cut_at + DETECTION_S, SERVED_SHARE)


async def vm_without_answers_to_connections_serves_its_callers():
    await send_through_cut("hang")


async def vm_whose_connections_are_refused_serves_its_callers():
    await send_through_cut("refuse")


async def vm_whose_connections_are_reset_serves_its_callers():
    await send_through_cut("reset")


async def vm_that_keeps_its_open_connections_serves_its_callers():
    await send_through_cut("live")


async def vm_that_gets_no_answers_serves_its_callers():
    """Requests on open connections arrive and run, but their answers never come back."""
    await send_through_cut("one_way")


async def vm_cut_off_from_one_service_serves_its_callers():
    await send_through_cut("hang", lambda fleet: fleet.services)


async def vm_cut_off_from_all_decode_engines_serves_its_callers():
    await send_through_cut("hang", lambda fleet: [engine for engine in fleet.engines if engine.role == "decode"])


async def vm_cut_off_from_some_engines_serves_its_callers():
    await send_through_cut("refuse", lambda fleet: fleet.engines[:1] + fleet.engines[-2:])


async def callers_at_a_cut_vm_stop_their_runs():
    """Guards against runs that go on at an engine after the caller of the cut VM has closed its connection."""
    async with StrandedRig(vms=3) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.1
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S)
        for _ in range(3):
            stream = Stream(rig)
            status = await stream.open(rig.vms[0])
            assert status == 200, status
            await stream.read(3)
            stream.writer.transport.abort()
            closed_at = time.monotonic()
            await asyncio.sleep(STOP_S + 0.2)
            stopped = [entry["at"] for entry in rig.fleet.history if entry["event"] == "stopped" and entry["request"] == stream.id]
            assert stopped and stopped[0] - closed_at < STOP_S, (stream.id, [at - closed_at for at in stopped])


async def refused_at_once_when_all_vms_are_cut():
    """No VM reaches an upstream: requests are refused and not forwarded from VM to VM."""
    async with StrandedRig(vms=3) as rig:
        for vm in rig.vms:
            rig.links.cut(vm, "refuse")
        await asyncio.sleep(DETECTION_S)
        for vm, kind in itertools.product(rig.vms, KINDS):
            begin = time.monotonic()
            request, status, headers, _ = await rig.send(kind, vm, deadline=DEADLINE_MS)
            elapsed = time.monotonic() - begin
            assert status == 503 and "retry-after" in headers and elapsed < REFUSAL_S, (vm.name, kind, status, elapsed)
            assert not rig.runs_of(request)


def sender_of(rig, request, besides):
    """Returns the VM, other than `besides`, whose log names the request."""
    return next((vm for vm in rig.vms if vm is not besides and f'"{request}"' in vm.log_text()), None)


async def relayed_streams_outlive_the_vm_that_sends_them():
    """The second VM is killed in the middle of a stream, which goes on through another one."""
    async with StrandedRig(vms=3) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.1
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S)
        stream = Stream(rig)
        status = await stream.open(rig.vms[0])
        assert status == 200, status
        await stream.read(3)
        sender = sender_of(rig, stream.id, rig.vms[0])
        assert sender, "no other VM sends the stream"
        sender.signal(signal.SIGKILL)
        await asyncio.wait_for(stream.read(), 6)
        stream.assert_sound()
        assert len(stream.numbers) == stream.EVENTS, stream.numbers


async def healed_vm_sends_by_itself():
    """The VM is cut twice. After each cut it serves its callers while no other VM runs."""
    async with StrandedRig(vms=3) as rig:
        for mode in ("hang", "refuse"):
            rig.links.cut(rig.vms[0], mode)
            end, results = time.monotonic() + DETECTION_S + 1, []
            await asyncio.gather(*(repeat(rig, rig.vms[0], kind, end, results) for kind in KINDS))
            assert_served(results, rig.vms[:1], end - 1, SERVED_SHARE)
            rig.links.heal(rig.vms[0])
            await asyncio.gather(*(repeat(rig, rig.vms[0], kind, time.monotonic() + HEALING_S, []) for kind in KINDS))
            for vm in rig.vms[1:]:
                vm.signal(signal.SIGSTOP)
            statuses = [(await rig.send(kind, rig.vms[0], deadline=DEADLINE_MS))[1] for kind in KINDS for _ in range(5)]
            for vm in rig.vms[1:]:
                vm.signal(signal.SIGCONT)
            assert statuses.count(200) >= SERVED_SHARE * len(statuses), (mode, statuses)
            await asyncio.sleep(START_S)


TESTS = [vm_without_answers_to_connections_serves_its_callers, vm_whose_connections_are_refused_serves_its_callers,
         vm_whose_connections_are_reset_serves_its_callers, vm_that_keeps_its_open_connections_serves_its_callers,
         vm_that_gets_no_answers_serves_its_callers, vm_cut_off_from_one_service_serves_its_callers,
         vm_cut_off_from_all_decode_engines_serves_its_callers,
         vm_cut_off_from_some_engines_serves_its_callers, callers_at_a_cut_vm_stop_their_runs, refused_at_once_when_all_vms_are_cut,
         relayed_streams_outlive_the_vm_that_sends_them, healed_vm_sends_by_itself]
