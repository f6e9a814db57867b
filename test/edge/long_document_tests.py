"""Process tests of reads that take long: documents over narrow links, a store that answers slowly, and reads of many pages."""

import asyncio
import json
import signal
import time

from cut_watch_tests import lines
from memory_tests import metrics
from platform_fleet import route
from rig import Rig

APPLY_S = 4.0  # `config_apply_ms`: time in which a confirmed change must be in force
PEERS_KNOWN_S = 10.0
MANY_ROUTES = 1400
ANSWER_DELAY_S = 2.9  # of a slow store, to each call
SERIES = 6  # versions that follow each other
ENTRIES = 600  # of upstreams, which are read in 12 pages or more
REPORTS, IDLE_REPORT_S = 6, 0.6  # versions that are reported; the period of reports while nothing changes
REPEATS = 3  # transmissions of a document to one VM that a change may cost


def many_routes(count, name="late"):
    """Returns routes of which only the last is called."""
    idle = [route(f"idle{number}", f"/idle{number}/", "safe", "booking") for number in range(count)]
    return [*idle, route(name, f"/{name}/", "safe", "booking")]


async def seconds_until_in_force(rig, vm, name, limit):
    begin = time.monotonic()
    while (await rig.send(name, vm))[1] != 200:
        assert time.monotonic() - begin < limit, f"{vm.name} does not serve /{name}/ after {limit} s"
        await asyncio.sleep(0.05)
    return time.monotonic() - begin


async def until_vms_know_each_other(rig):
    end = time.monotonic() + PEERS_KNOWN_S
    for vm in rig.vms:
        while (await metrics(vm)).get("currantstack_vms_known", 0) < len(rig.vms):
            assert time.monotonic() < end, f"{vm.name} does not know the other VMs"
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)  # the pauses after the first changes end


def document_bytes(rig):
    return len(rig.fleet.store.items["op/config"]["value"])


async def documents_that_arrive_slowly_come_into_force():
    """Guards against an answer that is asked for again while it arrives, because another VM already has the change."""
    async with Rig(vms=3) as rig:
        relay, = await rig.relay_store(rig.vms[2:])
        rig.fleet.configure(many_routes(MANY_ROUTES, "first"))
        await seconds_until_in_force(rig, rig.vms[2], "first", APPLY_S)
        await until_vms_know_each_other(rig)
        relay.bytes_per_s = document_bytes(rig) / 1.6  # a whole document takes this many seconds
        rig.fleet.configure(many_routes(MANY_ROUTES))
        begin = time.monotonic()
        for vm in rig.vms:
            await seconds_until_in_force(rig, vm, "late", APPLY_S)
        assert time.monotonic() - begin < APPLY_S
        rig.fleet.configure(many_routes(MANY_ROUTES, "next"))
        await seconds_until_in_force(rig, rig.vms[2], "next", APPLY_S)
        assert not [line for line in lines(rig, "store_lost") if line["vm"] == "vm2"]


async def documents_of_a_store_that_answers_slowly_come_into_force():
    """Guards against limits on a call's time within which a slow store never answers."""
    async with Rig(vms=2) as rig:
        store = rig.fleet.store
        store.delay_s = ANSWER_DELAY_S
        await asyncio.sleep(6.0)  # the polls that began before have ended
        rig.fleet.configure(many_routes(MANY_ROUTES))
        for vm in rig.vms:
            await seconds_until_in_force(rig, vm, "late", 3 * ANSWER_DELAY_S)


async def a_change_is_sent_to_a_vm_a_few_times_at_most():
    """Guards against repeated calls that fill the link which delays their answers."""
    async with Rig(vms=3) as rig:
        relay, = await rig.relay_store(rig.vms[2:])
        rig.fleet.configure(many_routes(MANY_ROUTES, "first"))
        await seconds_until_in_force(rig, rig.vms[2], "first", APPLY_S)
        await until_vms_know_each_other(rig)
        relay.bytes_per_s = document_bytes(rig) / 6  # more than any limit on the whole call allowed before
        before, calls = relay.bytes_from_target, rig.fleet.store.calls
        rig.fleet.configure(many_routes(MANY_ROUTES))
        await seconds_until_in_force(rig, rig.vms[2], "late", 12)
        sent = relay.bytes_from_target - before
        assert sent < REPEATS * document_bytes(rig), f"{sent} bytes for a document of {document_bytes(rig)}"
        assert (rig.fleet.store.calls - calls) / len(rig.vms) < 60


async def a_series_of_documents_costs_a_vm_on_a_narrow_link_a_few():
    """Guards against a watch that sends each of several versions whole to a VM that needs only the last."""
    async with Rig(vms=3) as rig:
        relay, = await rig.relay_store(rig.vms[2:])
        rig.fleet.configure(many_routes(MANY_ROUTES, "first"))
        await seconds_until_in_force(rig, rig.vms[2], "first", APPLY_S)
        await until_vms_know_each_other(rig)
        relay.bytes_per_s, before = document_bytes(rig) / 1.2, relay.bytes_from_target
        for number in range(SERIES):
            rig.fleet.configure(many_routes(MANY_ROUTES, f"late{number}"))
            await asyncio.sleep(0.3)
        await seconds_until_in_force(rig, rig.vms[2], f"late{SERIES - 1}", APPLY_S)
        sent = relay.bytes_from_target - before
        assert sent < (SERIES - 1) * document_bytes(rig), f"{sent} bytes for documents of {document_bytes(rig)}"


async def new_versions_are_reported_at_once():
    """Guards against VMs that are behind and learn of it only with the next periodic report of an idle VM."""
    async with Rig(vms=2) as rig:
        relay, = await rig.relay_store(rig.vms[1:])
        await until_vms_know_each_other(rig)
        delays = []
        for _ in range(REPORTS):
            relay.cut = True
            rig.fleet.configure()
            await asyncio.sleep(2 * IDLE_REPORT_S)
            relay.cut = False
            at = {line["vm"]: line["time_ms"] for event in ("routes_in_force", "routes_behind") for line in lines(rig, event)
                  if rig.fleet.version in (line.get("version"), line.get("peer_version"))}
            delays.append(at["vm1"] - at["vm0"])
            await asyncio.sleep(2 * IDLE_REPORT_S)
        assert max(delays) < 1000 * IDLE_REPORT_S / 2, f"a VM learned of versions {delays} ms after they were in force elsewhere"


async def vms_start_while_the_store_turns_half_of_the_calls_away():
    """Guards against a read of many pages that begins at the first one whenever a page is turned away."""
    async with Rig(vms=1) as rig:
        vm, store = rig.vms[0], rig.fleet.store
        for number in range(ENTRIES):
            store.put(f"servers/other-{number}", json.dumps({**rig.fleet.services[0].entry(), "address": f"127.0.0.1:{1 + number}"}).encode())
        vm.signal(signal.SIGKILL)
        await vm.process.wait()
        store.refused_share = 0.5
        await vm.start()
        await vm.wait_until_ready(2 * APPLY_S)


TESTS = [documents_that_arrive_slowly_come_into_force, documents_of_a_store_that_answers_slowly_come_into_force,
         a_change_is_sent_to_a_vm_a_few_times_at_most, a_series_of_documents_costs_a_vm_on_a_narrow_link_a_few, new_versions_are_reported_at_once,
         vms_start_while_the_store_turns_half_of_the_calls_away]
