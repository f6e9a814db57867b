"""Process tests of a store that returns from an older copy: its revisions go back and are given out again."""

import asyncio
import json

from rig import Rig

AWAY_S = 0.3
SETTLED_S = 5.0  # after the return, until all VMs must be up to date
WATCHES = 3  # of a VM
SUCCESSOR_WAIT_S = 3.0  # from winning the orders to the first one: `lease_ms` of the VMs' settings
LOG_FLUSH_S = 1.0
VMS_PREFIX, HOLDER_KEY = "currantstack/vms/", "currantstack/order-holder"


def lines(rig, event):
    found = []
    for vm in rig.vms:
        found += [json.loads(line[line.index("{"):]) for line in vm.log_text().splitlines() if f'"event":"{event}"' in line]
    return sorted(found, key=lambda line: line["time_ms"])


async def until(condition, limit, message):
    end = asyncio.get_running_loop().time() + limit
    while not condition():
        assert asyncio.get_running_loop().time() < end, message
        await asyncio.sleep(0.05)


def churn(rig, count):
    """Raises the store's revision by changes of the upstreams' entries."""
    for number in range(count):
        rig.fleet.services[number % len(rig.fleet.services)].register()


def write_again(rig):
    """The operator and the upstreams write what they wrote before."""
    rig.fleet.version -= 3
    rig.fleet.configure()
    for upstream in rig.fleet.upstreams:
        upstream.register()


async def restore(rig, state, away_s=AWAY_S):
    """Lets the store be away and return from the copy."""
    store = rig.fleet.store
    store.mode = "reset"
    store.change_event.set()
    await asyncio.sleep(away_s)
    store.restore(state)
    store.mode = "up"


async def returned_store_is_read_once_by_each_watch():
    async with Rig(vms=4) as rig:
        state = rig.fleet.store.copy()
        churn(rig, 60)
        await asyncio.sleep(1)
        await restore(rig, state)
        await asyncio.sleep(0.5)
        write_again(rig)
        await asyncio.sleep(1.5)
        calls = rig.fleet.store.calls
        await asyncio.sleep(SETTLED_S)
        behind = lines(rig, "watch_behind")
        assert len(behind) <= len(rig.vms) * WATCHES, f"{len(behind)} lines watch_behind"
        rate = (rig.fleet.store.calls - calls) / SETTLED_S / len(rig.vms)
        assert rate < 4, f"{rate:.1f} calls a second of each VM to the store"


async def polls_that_outlast_the_return_miss_no_change():
    async with Rig(vms=2, services=1) as rig:
        state = rig.fleet.store.copy()
        churn(rig, 40)
        await asyncio.sleep(1)
        old_revision = rig.fleet.store.revision
        rig.fleet.store.restore(state)  # the polls in flight are not cut
        from platform_upstreams import Service
        service = Service(rig.fleet.store, "booking", "z1", rig.fleet.history)
        await service.start()
        rig.fleet.services.append(service)
        while rig.fleet.store.revision <= old_revision + 2:
            rig.fleet.services[0].register()
        await asyncio.sleep(SETTLED_S)
        for vm in rig.vms:
            assert any(line["upstream"] == service.id for line in lines(rig, "upstream_changed") if line["vm"] == vm.name), \
                f"{vm.name} does not know the upstream that registered after the return"


async def fencing_tokens_rise_over_a_return():
    async with Rig(vms=3) as rig:
        store = rig.fleet.store
        state = store.copy()
        await until(lambda: lines(rig, "holder_won"), 12, "no VM holds the orders")
        first = lines(rig, "holder_won")[0]
        key, lease = store.items[HOLDER_KEY], store.items[HOLDER_KEY]["lease"]
        state[2][lease] = store.leases[lease]  # the lease is older than the copy, and the key younger
        assert key
        await restore(rig, state)
        write_again(rig)
        await until(lambda: len(lines(rig, "holder_won")) > 1, 20, "no VM holds the orders after the return")
        second = lines(rig, "holder_won")[1]

        def resigned_in_time():
            return [line for line in lines(rig, "holder_resigned") if line["vm"] == first["vm"] and line["fence"] == first["fence"]
                    and line["time_ms"] < second["time_ms"] + SUCCESSOR_WAIT_S * 1000]
        await until(resigned_in_time, SUCCESSOR_WAIT_S + LOG_FLUSH_S, "the former holder may send orders beside its successor")
        assert second["fence"] > first["fence"], (first["fence"], second["fence"])


async def vms_register_again_after_a_return():
    async with Rig(vms=3) as rig:
        store = rig.fleet.store
        await until(lambda: sum(key.startswith(VMS_PREFIX) for key in store.items) == 3, 5, "the VMs do not register")
        state = store.copy()
        for key in [key for key in state[0] if key.startswith(VMS_PREFIX)]:
            del state[0][key]  # their leases are older than the copy
        await restore(rig, state)
        await until(lambda: sum(key.startswith(VMS_PREFIX) for key in store.items) == 3, 8, "the VMs do not register again")


async def drained_upstreams_stay_drained_over_a_return():
    async with Rig(vms=2, services=2) as rig:
        state = rig.fleet.store.copy()
        leaving = rig.fleet.services[0]
        leaving.drain()
        await asyncio.sleep(1)
        await restore(rig, state)
        await asyncio.sleep(1.5)  # the VMs have read the copy, and the upstream has not written again
        for vm in rig.vms * 10:
            request, status, _, _ = await rig.send("check", vm)
            assert status == 200, status
            assert all(run["upstream"] != leaving.id for run in rig.runs_of(request)), "sent to an upstream that drains"
        leaving.state = "ready"
        leaving.register()
        await asyncio.sleep(1)
        ran = [run["upstream"] for vm in rig.vms * 10 for run in rig.runs_of((await rig.send("check", vm))[0])]
        assert leaving.id in ran, "an upstream that is ready again gets no requests"


async def starting_vm_waits_for_the_configuration_of_its_peers():
    async with Rig(vms=3) as rig:
        state = rig.fleet.store.copy()
        rig.fleet.configure()
        await until(lambda: len(lines(rig, "routes_in_force")) >= 6, 5, "the configuration does not come into force")
        await asyncio.sleep(2.5)  # until the VMs know each other
        vm = rig.vms[0]
        vm.process.kill()
        await vm.process.wait()
        await restore(rig, state)
        await vm.start()
        await asyncio.sleep(2)
        assert not await vm.is_ready(), "ready with a configuration that is older than that of its peers"
        write_again(rig)
        await vm.wait_until_ready(5)


TESTS = [returned_store_is_read_once_by_each_watch, polls_that_outlast_the_return_miss_no_change, fencing_tokens_rise_over_a_return,
         vms_register_again_after_a_return, drained_upstreams_stay_drained_over_a_return,
         starting_vm_waits_for_the_configuration_of_its_peers]
