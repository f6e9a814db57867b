"""Process tests of configuration changes that take away what a request in the queue, on its way, or half-read depends on."""

import asyncio
import random

from loss_tests import assert_none_lost, publish, start_callers
from rig import Rig
from stranded_tests import DETECTION_S, StrandedRig

CHANGES_PER_TEST = 14
LONGEST_PAUSE_S = 0.5  # between two changes


def drop_a_service(document):
    """Leaves the routes of the plain service alone, and so removes the engines' service."""
    document["routes"] = [entry for entry in document["routes"] if entry["service"] == "booking"]
    document["services"] = [entry for entry in document["services"] if entry["name"] == "booking"]


def move_to_services_without_upstreams(document):
    document["services"] += [{**entry, "name": f"next-{entry['name']}"} for entry in document["services"]]
    for entry in document["routes"]:
        entry["service"] = f"next-{entry['service']}"


def exchange_types(document):
    """Lets the streams' routes lead to the plain service and the others to the engines."""
    other = {"llm": ("booking", "unsafe"), "booking": ("llm", "streaming")}
    for entry in document["routes"]:
        entry["service"], entry["type"] = other[entry["service"]]
        entry.pop("can_resume", None)


def shrink_engines(document):
    """Makes each prompt larger than an engine."""
    for entry in document["services"]:
        if "engine" in entry:
            entry["engine"].update(slots=1, kv_tokens=100, kv_hold_s=0.01, hold_ms=1)


def make_engines_plain(document):
    for entry in document["services"]:
        entry.pop("engine", None)


def lower_sizes(document):
    document["limits"].update(max_header_bytes=100, max_body_bytes=10)


def drop_everything(document):
    document["routes"], document["services"] = [], []


def keep(_):
    pass


CHANGES = (drop_a_service, move_to_services_without_upstreams, exchange_types, shrink_engines, make_engines_plain, lower_sizes, drop_everything)


async def change_under_load(rig, vms, count):
    results, over = [], []
    callers = start_callers(rig, vms, lambda: bool(over), results, count=count)
    await asyncio.sleep(0.5)
    for number in range(CHANGES_PER_TEST):
        publish(rig, CHANGES[number % len(CHANGES)])
        await asyncio.sleep(random.uniform(0, LONGEST_PAUSE_S))
        publish(rig, keep)
        await asyncio.sleep(random.uniform(0.1, LONGEST_PAUSE_S))
    over.append(True)
    await asyncio.gather(*callers)
    assert_none_lost(rig, results)
    assert all(vm.process.returncode is None for vm in rig.vms), [vm.process.returncode for vm in rig.vms]
    assert sum(sent.status == 200 for sent in results) > 20, len(results)


async def queued_requests_beside_changes_that_take_their_service_are_answered():
    async with Rig(prefill=1, decode=1) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S, engine.PREFILL_TOKENS_PER_MS = 0.08, 20.0
        for service in rig.fleet.services:
            service.WORK_S = 0.5
        await change_under_load(rig, rig.vms, 8)


async def relayed_requests_beside_changes_that_take_their_service_are_answered():
    async with StrandedRig(vms=3) as rig:
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S)
        await change_under_load(rig, rig.vms[:1], 3)


async def requests_beside_changes_that_take_their_service_are_answered():
    async with Rig(vms=2) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.05
        await change_under_load(rig, rig.vms, 3)


TESTS = [queued_requests_beside_changes_that_take_their_service_are_answered,
         relayed_requests_beside_changes_that_take_their_service_are_answered,
         requests_beside_changes_that_take_their_service_are_answered]
