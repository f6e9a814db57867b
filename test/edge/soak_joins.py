"""Faults of the soak in which engines of a new software version join while a VM starts. In a share of the joins they crash soon after, while the
last VM is cut off, and the VMs that know the version restart, so that only the store's record names it when the cut ends."""

import asyncio
import time

from soak_callers import READ_AT_START, SHAPE_AT_START, call_after_start, call_and_return

IN_TOUCH_LIMIT_S = 12.0  # until all VMs know one another
ENTRY_AFTER_S, JOIN_OFFSET_S = 0.2, (-0.1, 0.15)  # from the restart of an engine to its new entry; from this to what happens to VMs
CRASH_SHARE = 0.75  # of the joins
CUT_SHARE = 0.9  # of the joins whose engines crash, if the last VM is not the one that starts
NO_RESTART, TOGETHER, ONE_BY_ONE = "no restart", "together", "one by one"  # of the VMs that are in step, after the crash
RESTART_WEIGHTS = (1, 2, 2)  # of these three, in the joins with a crash and a cut
STREAMS_LIMIT_S = 2.5  # from the join until streams run at the version, which begin 1.5 s after the store's record names it
CRASH_AFTER_S, EXPIRY_S, ABSENCE_S = (0.5, 3.0), (0.01, 0.3), (2.0, 4.0)  # from the streams to the crash; then to the end of the entry, the return
READ_S = 0.1  # from the end of an entry until the VMs know
VM_GAP_S = (0.3, 0.8)  # between the restarts of two VMs
HEAL_GAP_S = (0.3, 1.0)  # between the ends of the two parts of a cut
HELD_STREAMS, HELD_GAP_S = 16, 0.03  # streams whose callers return after a cut; between the begins of two of them
RETURN_S = (0.0, 1.0)  # from the end of a cut, or from an attempt, to the next one


async def join_while_vm_starts(soak, vm, duration_s):
    """Lets engines of a new software version join while a VM starts, and callers return from there to VMs, one of which may be out of step."""
    await wait_until_in_touch(soak)
    draw, fleet, last = soak.join_draw, soak.fleet, soak.vms[-1]
    crashes = draw.random() < CRASH_SHARE
    decode, prefill = ([engine for engine in fleet.engines if engine.role == role] for role in ("decode", "prefill"))
    # Prefill and decode engine of a stream are of one version if possible, so that few streams begin at a version without a prefill engine.
    engines = {draw.choice(decode or fleet.engines), draw.choice(crashes and prefill or fleet.engines)}
    out_of_step = draw.choice((None, *(other for other in soak.vms if other is not vm)))
    is_cut = out_of_step is last and draw.random() < 0.5
    start_s, impair_s = (ENTRY_AFTER_S + draw.uniform(*JOIN_OFFSET_S) for _ in range(2))
    if crashes and vm is not last and draw.random() < CUT_SHARE:
        out_of_step, is_cut = last, True
    how = draw.choices((NO_RESTART, TOGETHER, ONE_BY_ONE), RESTART_WEIGHTS)[0] if crashes and is_cut else NO_RESTART
    version, formers = f"v{time.time_ns() // 1_000_000}", {engine: engine.software_version for engine in engines}
    soak.joins.update(["joins"] + crashes * ["crashes"] + (crashes and is_cut) * [how])
    tasks = []
    if crashes:
        tasks.append(asyncio.create_task(make_version_leave(soak, formers, version, soak.vms[:-1], how)))
    if is_cut:
        ended, healing = tasks[0] if crashes else asyncio.sleep(duration_s / 2), asyncio.Event()
        tasks.append(asyncio.create_task(cut_last_vm(soak, impair_s, ended, healing)))
        if crashes:
            tasks.append(asyncio.create_task(call_over_cut(soak, version, healing)))
    elif out_of_step:
        tasks.append(asyncio.create_task(soak.suspend(out_of_step, duration_s / 2, impair_s)))
    with soak.impairments.of(vm.name, *(engine.id for engine in engines)):
        await soak.kill(vm)
        restarts = [asyncio.create_task(engine.restart(version)) for engine in engines]
        await asyncio.sleep(start_s)
        await soak.start_vm(vm)
        tasks.append(asyncio.create_task(call_after_start(soak, vm)))
        await asyncio.gather(*restarts)
    await asyncio.gather(*tasks)
    while not all(engine.server.is_listening for engine in engines):
        await asyncio.sleep(0.05)  # the next join would start an engine that is about to return


async def wait_until_in_touch(soak):
    """Waits because VMs that do not know their peers continue no stream, which hides the fault."""
    end = time.monotonic() + IN_TOUCH_LIMIT_S
    while not soak.are_in_touch() and time.monotonic() < end:
        await asyncio.sleep(0.05)


async def wait_for_streams(soak, version):
    end = time.monotonic() + STREAMS_LIMIT_S
    while time.monotonic() < end and not any(entry.get("version") == version for entry in soak.fleet.history if entry["event"] == "run"):
        await asyncio.sleep(0.05)


async def make_version_leave(soak, formers, version, vms, how):
    """Crashes the engines of the version soon after it has streams, and restarts the VMs."""
    await wait_for_streams(soak, version)
    await asyncio.sleep(soak.join_draw.uniform(*CRASH_AFTER_S))
    for engine, former in formers.items():
        crash_engine(soak, engine, soak.join_draw.choice((former, version)))
    await asyncio.sleep(EXPIRY_S[1] + READ_S)  # a VM that reads an entry of the version when it starts, or when its cut ends, knows it
    if how == TOGETHER:
        await asyncio.gather(*(soak.kill_and_start(vm) for vm in vms))
    elif how == ONE_BY_ONE:
        for vm in soak.join_draw.sample(vms, len(vms)):
            await soak.kill_and_start(vm)
            await asyncio.sleep(soak.join_draw.uniform(*VM_GAP_S))


def crash_engine(soak, engine, next_version):
    """Crashes an engine, whose entry goes away before it returns with a new id."""
    engine.keeps_id, engine.expiry_s, engine.restart_s = False, soak.join_draw.uniform(*EXPIRY_S), soak.join_draw.uniform(*ABSENCE_S)
    with soak.impairments.of(engine.id):
        engine.crash_and_restart()
    engine.software_version = next_version


async def cut_last_vm(soak, after_s, ended, healing):
    """Cuts the last VM off from the others and the store until `ended` is done, and sets `healing` when it reaches the store, the peers or both."""
    await asyncio.sleep(after_s)
    with soak.impairments.of(soak.vms[-1].name):
        soak.store_faults = True
        soak.partition.cut()
        await ended
        first = soak.join_draw.choice(("store", "peers", "both"))
        soak.partition.cut(peers=first == "store", store=first == "peers")
        healing.set()
        if first != "both":
            await asyncio.sleep(soak.join_draw.uniform(*HEAL_GAP_S))
            soak.partition.cut(peers=False, store=False)


async def call_over_cut(soak, version, healing):
    """Begins streams at the VMs that are in step as soon as the version has some. Their callers return to the last VM when its cut ends."""
    async def next_vm():
        await healing.wait()
        await asyncio.sleep(soak.join_draw.uniform(*RETURN_S))
        return soak.vms[-1]
    callers = []
    await wait_for_streams(soak, version)
    for _ in range(HELD_STREAMS):
        callers.append(asyncio.create_task(call_and_return(soak, soak.join_draw.choice(soak.vms[:-1]), SHAPE_AT_START, READ_AT_START, next_vm)))
        await asyncio.sleep(HELD_GAP_S)
    await asyncio.gather(*callers)
    soak.joins["streams of these versions"] += sum(stream.versions[:1] == [version] for stream in soak.returning)
