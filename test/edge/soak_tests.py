"""Process tests of the soak itself."""

import asyncio
import unittest.mock

import soak_joins
from soak import JOIN, Soak

CRASH_AFTER_S = 0.5  # from the begin of a replacement
RESTART_S = 1.0


async def crash_while_replaced(soak, replacement, keeps_id):
    """Lets the upstream that is being replaced crash and return; returns its id when it is back."""
    await asyncio.sleep(CRASH_AFTER_S)
    upstream = next(upstream for upstream in soak.fleet.upstreams if upstream.state == "draining")
    upstream.restart_s, upstream.keeps_id = RESTART_S, keeps_id
    upstream.crash_and_restart()
    await asyncio.sleep(RESTART_S + CRASH_AFTER_S)
    returned = upstream.id
    assert upstream.state == "ready" and not replacement.done()
    await replacement
    assert upstream.id == returned, f"the replacement has ended {returned}"
    return returned


async def upstreams_that_crash_while_they_are_replaced_are_left_running():
    """Guards against a planned replacement that ends the next incarnation, which serves requests and has not been drained."""
    async with Soak(seed=2, vms=1) as soak:
        for replace in (soak.replace_engine(), soak.replace_service(soak.fleet.services[0])):
            await crash_while_replaced(soak, asyncio.create_task(replace), keeps_id=False)


async def upstreams_that_crash_while_they_drain_take_requests_when_they_are_back():
    """Guards against a check that takes the next incarnation for the one that drained, because it has its id."""
    async with Soak(seed=2, vms=1) as soak:
        service = soak.fleet.services[0]
        returned = await crash_while_replaced(soak, asyncio.create_task(soak.replace_service(service)), keeps_id=True)
        while not any(run["upstream"] == returned for run in soak.runs_of((await soak.send("check"))[0])):
            await asyncio.sleep(0)
        assert list(soak.check_drains()) == []


async def joins_of_a_version_that_leaves_again_restore_what_they_disturb():
    """Guards against joins that leave an engine down or a VM cut off, and against disturbed processes that are not recorded as impaired."""
    shares = {"CRASH_SHARE": 1.0, "CUT_SHARE": 1.0, "RESTART_WEIGHTS": (0, 1, 0)}
    async with Soak(seed=2, vms=3, faults=(JOIN,)) as soak:
        with unittest.mock.patch.multiple(soak_joins, **shares):
            started_at = {vm: vm.started_at for vm in soak.vms}
            await soak_joins.join_while_vm_starts(soak, soak.vms[0], 1.0)
        streams = soak.joins.pop("streams of these versions")
        assert streams and soak.joins == {"joins": 1, "crashes": 1, soak_joins.TOGETHER: 1}, (streams, soak.joins)
        assert [vm.started_at > started_at[vm] for vm in soak.vms] == [True, True, False]
        assert all(engine.server.is_listening and engine.state == "ready" for engine in soak.fleet.engines)
        assert not soak.partition.are_cut and not any(relay.cut for relay in soak.partition.store_relays)
        impaired = set().union(*(names for names, _, _ in soak.impairments.times))
        assert impaired >= {vm.name for vm in soak.vms} and any(name.startswith("i-") for name in impaired), impaired
        assert all(until < float("inf") for _, _, until in soak.impairments.times)
        assert soak.store_faults and await soak.recover()
        soak.partition.close()


TESTS = [upstreams_that_crash_while_they_are_replaced_are_left_running,
         upstreams_that_crash_while_they_drain_take_requests_when_they_are_back, joins_of_a_version_that_leaves_again_restore_what_they_disturb]
