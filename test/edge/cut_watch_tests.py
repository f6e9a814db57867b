"""Process tests of watches of the store that are cut while the store serves, of lost history, and of a store that is away."""

import asyncio
import json
import time

from leaving_tests import arrivals, load
from rig import Rig

CUT_AFTER_S = 0.05  # of a watch's wait
DRAIN_S = 2.5
APPLIED_S = 1.9  # after a change of an entry, each VM knows of it; the rest of the drain time is left for requests under way
SERIES_S = 1.0
RATE = 25  # streams a second
HISTORY_S = 1.0  # of a store that keeps changes for a short time
CALLS_PER_S = 20  # at most, of one VM to a store that cuts all watches


def lines(rig, event):
    return [json.loads(line) for vm in rig.vms for line in vm.log_text().splitlines() if f'"event":"{event}"' in line]


async def serve(rig, kinds, duration, rate=RATE):
    statuses = await load(rig, kinds, duration, rate)
    assert set(statuses) == {200}, statuses


async def engine_that_leaves_after_cut_watches_gets_no_streams():
    """Guards against a cut watch that is taken for an outage of the store, so that an engine removed soon after stays in use."""
    async with Rig(vms=2, prefill=2, decode=4, services=1) as rig:
        store = rig.fleet.store
        await serve(rig, ["stream", "digest"], 1)
        for _ in range(2):
            store.cut_watches_after_s = CUT_AFTER_S
            await asyncio.sleep(SERIES_S)
            store.cut_watches_after_s = None
            await asyncio.sleep(1.0)
            leaving = next(engine for engine in rig.fleet.engines if engine.role == "decode" and f"servers/{engine.id}" in store.items)
            rig.fleet.services[0].register()  # a change, after which VMs poll again only after a pause
            await asyncio.sleep(0.02)
            leaving.leave()
            removed_at = time.monotonic()
            await serve(rig, ["stream", "digest"], 4)
            late = [round(entry["at"] - removed_at, 2) for entry in arrivals(rig, leaving, removed_at + APPLIED_S)]
            assert not late, f"streams reached an engine that had left {late} s before"
        assert lines(rig, "watch_resumed") and not lines(rig, "upstream_lapsed") and not lines(rig, "store_lost")


async def changes_are_in_force_in_time_while_all_watches_are_cut():
    async with Rig(vms=2, prefill=1, decode=3, services=2) as rig:
        store = rig.fleet.store
        await serve(rig, ["stream", "check"], 1)
        store.cut_watches_after_s = CUT_AFTER_S
        await asyncio.sleep(3)  # the back-off is at its longest
        calls, begin = store.calls, time.monotonic()
        leaving = [rig.fleet.engines[1], rig.fleet.services[0]]
        for upstream in leaving:
            upstream.drain()
        await serve(rig, ["stream", "check"], 4)
        for upstream in leaving:
            late = [round(entry["at"] - begin, 2) for entry in arrivals(rig, upstream, begin + APPLIED_S)]
            assert not late, f"requests reached {upstream.id}, which had reported {late} s before that it drains"
        rate = (store.calls - calls) / (time.monotonic() - begin) / len(rig.vms)
        assert rate < CALLS_PER_S, f"{rate:.1f} calls a second of each VM to the store"
        assert not lines(rig, "store_lost")


async def engine_that_leaves_when_the_history_is_lost_gets_no_streams():
    async with Rig(prefill=1, decode=3, services=1) as rig:
        store, leaving = rig.fleet.store, rig.fleet.engines[1]
        await serve(rig, ["stream"], 1)
        store.cut_watches_after_s = 0
        await asyncio.sleep(0.02)
        leaving.leave()
        store.compact()
        removed_at = time.monotonic()
        store.cut_watches_after_s = None
        await serve(rig, ["stream"], DRAIN_S + 1)
        assert not arrivals(rig, leaving, removed_at + APPLIED_S)
        assert lines(rig, "history_lost") and not lines(rig, "upstream_lapsed")


async def upstreams_whose_entries_lapse_while_the_store_restarts_stay_in_use():
    """A cut of all watches is followed by an outage: the entries that vanish in it may have expired."""
    async with Rig(vms=2, prefill=1, decode=1, services=1) as rig:
        store = rig.fleet.store
        await serve(rig, ["check", "stream"], 1)
        store.server.stop()  # which also cuts the watches
        for upstream in rig.fleet.upstreams:
            store.delete(f"servers/{upstream.id}")
        await asyncio.sleep(1.0)
        await store.server.start()
        await serve(rig, ["check", "stream"], 1.5, rate=10)
        for upstream in rig.fleet.upstreams:
            upstream.register()
        await serve(rig, ["check", "stream"], 2, rate=10)
        assert lines(rig, "upstream_lapsed") and {line["cause"] for line in lines(rig, "store_lost")} & {"no_answer"}


async def upstreams_stay_in_use_if_the_store_cuts_watches_after_a_silence():
    """A store that is silent and then closes all connections was away, although each watch merely ends with a closed connection."""
    async with Rig(prefill=1, decode=1, services=1) as rig:
        store = rig.fleet.store
        await serve(rig, ["check"], 1)
        store.mode = "silent"
        await asyncio.sleep(4.0)
        for upstream in rig.fleet.upstreams:
            store.delete(f"servers/{upstream.id}")
        for writer in list(store.server.writers):
            writer.transport.abort()
        store.mode = "up"
        await serve(rig, ["check"], 1.5, rate=10)
        for upstream in rig.fleet.upstreams:
            upstream.register()
        assert lines(rig, "store_lost") and lines(rig, "upstream_lapsed")


async def upstreams_stay_in_use_if_the_store_turns_the_vm_away():
    async with Rig(prefill=1, decode=1, services=1) as rig:
        store = rig.fleet.store
        await serve(rig, ["check"], 1)
        for mode in ("busy", "many"):
            store.mode = mode
            store.change_event.set()
            await asyncio.sleep(1.0)
            for upstream in rig.fleet.upstreams:
                store.delete(f"servers/{upstream.id}")
            store.mode = "up"
            await serve(rig, ["check"], 1.5, rate=10)
            for upstream in rig.fleet.upstreams:
                upstream.register()
            await serve(rig, ["check"], 1, rate=10)
        assert lines(rig, "upstream_lapsed") and "turned_away" in {line["cause"] for line in lines(rig, "store_lost")}


async def watches_of_keys_that_do_not_change_outlive_the_stores_history():
    """Guards against polls that wait longer than the store keeps its history, after which VMs read everything anew, at the same time."""
    async with Rig(vms=2, bounds={"history_s": HISTORY_S}) as rig:
        rig.fleet.store.history_s = HISTORY_S
        for number in range(50):
            rig.fleet.store.put("elsewhere", str(number).encode())
            await asyncio.sleep(0.1)
        assert not lines(rig, "history_lost"), lines(rig, "history_lost")


TESTS = [watches_of_keys_that_do_not_change_outlive_the_stores_history, engine_that_leaves_after_cut_watches_gets_no_streams, changes_are_in_force_in_time_while_all_watches_are_cut,
         engine_that_leaves_when_the_history_is_lost_gets_no_streams, upstreams_whose_entries_lapse_while_the_store_restarts_stay_in_use,
         upstreams_stay_in_use_if_the_store_cuts_watches_after_a_silence, upstreams_stay_in_use_if_the_store_turns_the_vm_away]
