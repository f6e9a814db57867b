"""Process tests of the order of a stream's events: no event is missing, none comes twice, and a run that lost one is not complete."""

import asyncio

from relay_tests import DROPPED, configured, events_of
from release_tests import CURRENT, MixedStrandedRig
from rig import RELEASED, Rig
from stranded_tests import DETECTION_S, StrandedRig
from version_tests import Stream

EVENTS = list(range(1, 13))
WARM_UP_STREAMS = 36  # in which a VM learns that the ids are consecutive
FEW_STREAMS = 6
MOST_STREAMS = 24
HOLE = [number for number in EVENTS if number != 7]  # of the fault "gap"
PATIENT = {**DROPPED, "name": "patient", "prefix": "/patient/", "attempts": 4, "gap_aim_ms": 50}
FIELDS = {"Model": "m", "Token-Count": "1000,100", "Prefix-Hash": "ab:1000"}


def numbers(body):
    return [int(line.split(" ")[2]) for line in body.decode().split("\n") if line.startswith("data: ")]


def set_faults(engines, faults):
    for engine in engines:
        engine.order_faults = faults


async def get(rig, kind, vm=None, **headers):
    """Returns the numbers of the stream's events and that of its runs; the numbers are None if it ends visibly broken."""
    request = rig.request_id()
    try:
        _, status, _, body = await rig.send(kind, vm, request, headers={**FIELDS, **headers})
        assert status == 200, (status, body)
        received = numbers(body)
    except EOFError:
        received = None
    return received, len(rig.runs_of(request))


def expect(actual, expected, case=""):
    assert actual == expected, f"{case}: {actual} instead of {expected}"


async def warm_up(rig, vm=None):
    received = await asyncio.gather(*(get(rig, "stream", vm) for _ in range(WARM_UP_STREAMS)))
    assert received == WARM_UP_STREAMS * [(EVENTS, 1)], received


def outcomes(rig, place):
    return [line["outcome"] for line in events_of(rig.vms[0], "event_out_of_order") if line["place"] == place]


async def repeated_events_are_dropped():
    """Guards against an event that comes twice: in one run, in a run that begins anew, or in one without ids."""
    for faults, dropped in (({1: "twice"}, 1), ({1: "torn", 2: "restart"}, 6), ({1: "torn", 2: "no_ids"}, 0), ({1: "no_ids"}, 0)):
        async with Rig() as rig:
            set_faults(rig.fleet.engines, faults)
            expect(await get(rig, "stream"), (EVENTS, len(faults)), faults)
            await asyncio.sleep(0.2)
            expect([line["dropped"] for line in events_of(rig.vms[0], "request_answered")], [dropped], faults)


async def fields_without_data_cost_no_event():
    """Guards against an event that is dropped as a repetition because a reconnection time before it was counted as an event."""
    async with Rig() as rig:
        for faults in ({1: "retry"}, {1: "torn", 2: "retry"}):
            set_faults(rig.fleet.engines, faults)
            expect(await get(rig, "stream"), (EVENTS, len(faults)), faults)


async def comments_of_streams_without_events_are_passed_on():
    """Guards against a whole answer whose bytes are missing because none of them belongs to an event."""
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.EVENTS, engine.fault, engine.fault_share = 0, "comments", 1.0
        _, status, _, body = await rig.send("stream", headers=FIELDS)
        expect((status, body), (200, b": hello\n\n"))


async def events_without_ids_cost_no_event():
    """Guards against an event that is dropped, or not asked for at another engine, because one without an id before it was given its id."""
    async with Rig() as rig:
        for faults in ({1: "unnumbered"}, {1: "torn", 2: "unnumbered"}):
            set_faults(rig.fleet.engines, faults)
            expect(await get(rig, "stream"), (EVENTS, len(faults)), faults)
        set_faults(rig.fleet.engines, {1: "unnumbered_torn"})
        expect(await get(rig, "stream"), (None, 1), "what follows the event without an id cannot be asked for")


async def runs_whose_ids_go_back_are_given_up():
    """Guards against a stream that ends as complete without the event that an engine sent under an earlier id."""
    async with Rig() as rig:
        set_faults(rig.fleet.engines, {1: "back"})
        expect(await get(rig, "stream"), (EVENTS, 2))
        expect(await get(rig, "digest"), (None, 1), "a stream that must not be resumed")
        await asyncio.sleep(0.2)
        assert outcomes(rig, "regressed") == ["broken_off", "broken_off"]


async def expect_other_engine(rig, fault):
    """Expects that the streams are complete, and that another engine goes on with the first one that meets the engine with this fault."""
    set_faults(rig.fleet.engines[2:3], {1: fault})
    received = []
    while (EVENTS, 2) not in received and len(received) < MOST_STREAMS:
        received.append(await get(rig, "stream"))
    assert all(events == EVENTS for events, _ in received) and received[-1][1] == 2, received


async def events_that_one_engine_leaves_out_come_from_another():
    """Guards against a stream that ends as complete without an event that one engine left out."""
    async with Rig() as rig:
        await warm_up(rig)
        await expect_other_engine(rig, "gap")
        await asyncio.sleep(0.2)
        assert set(outcomes(rig, "gap")) == {"broken_off"}


async def first_events_that_one_engine_leaves_out_come_from_another():
    """Guards against a stream that ends as complete without its first event."""
    async with Rig() as rig:
        await warm_up(rig)
        await expect_other_engine(rig, "late")


async def streams_that_must_not_be_resumed_break_at_a_gap():
    """Guards against a stream that ends as complete without an event although it cannot be asked for."""
    async with Rig(decode=2) as rig:
        await warm_up(rig)
        set_faults(rig.fleet.engines, {1: "gap"})
        expect(await get(rig, "digest"), (None, 1))


async def events_that_a_resumed_run_skips_come_from_another():
    """Guards against a stream that goes on after a break at an event that is not the next one."""
    async with Rig() as rig:
        await configured(rig, PATIENT)
        await warm_up(rig)
        set_faults(rig.fleet.engines, {1: "torn", 2: "skip"})
        expect(await get(rig, "patient"), (EVENTS, 3))


async def services_whose_ids_have_gaps_keep_their_streams():
    """Guards against streams that break because a service numbers its events with gaps."""
    always = dict.fromkeys(range(1, 9), "gap")
    async with Rig() as rig:
        set_faults(rig.fleet.engines, always)
        for kind in ("stream", "digest"):
            received = await asyncio.gather(*(get(rig, kind) for _ in range(WARM_UP_STREAMS)))
            assert received == WARM_UP_STREAMS * [(HOLE, 1)], (kind, received)


async def gap_of_two_runs_passes():
    """Guards against streams that never get beyond a gap which all engines show, after ids without gaps."""
    async with Rig() as rig:
        await configured(rig, PATIENT)
        await warm_up(rig)
        set_faults(rig.fleet.engines, dict.fromkeys(range(1, 9), "gap"))
        expect(await get(rig, "patient"), (HOLE, 2))
        received = [await get(rig, kind) for kind in ("patient", "digest") for _ in range(FEW_STREAMS)]
        assert received == 2 * FEW_STREAMS * [(HOLE, 1)], received
        await asyncio.sleep(0.2)
        assert outcomes(rig, "gap")[:2] == ["broken_off", "passed"]


async def callers_that_return_after_event_0_get_it_once():
    """Guards against the event with id 0 that a returning caller gets again, at the VM that it left, at another one, or through a relay."""
    async with StrandedRig(vms=2) as rig:
        for engine in rig.fleet.engines:
            engine.FIRST_ID = 0
        for vm in rig.vms:
            stream = Stream(rig)
            assert await stream.open(rig.vms[0]) == 200
            await stream.read(1)
            assert await stream.come_back(vm) == 200
            await stream.read()
            assert stream.numbers == list(range(12)), (vm.name, stream.numbers)
            expect(await get(rig, "stream", vm, **{"Last-Event-Id": 0}), (list(range(1, 12)), 1))
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S)
        expect(await get(rig, "stream", rig.vms[0], **{"Last-Event-Id": 0}), (list(range(1, 12)), 1))
        assert events_of(rig.vms[0], "request_relayed"), "the request was not relayed"


async def streams_that_another_vm_takes_over_after_event_0_are_complete():
    """Guards against event 0 that comes twice, or another start of the stream, when the VM is cut off after it."""
    async with StrandedRig(vms=2) as rig:
        await configured(rig, DROPPED)
        for engine in rig.fleet.engines:
            engine.FIRST_ID, engine.EVENT_INTERVAL_S = 0, 0.3
        streams = [Stream(rig, DROPPED["prefix"]) for _ in range(4)]
        assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == 4 * [200]
        await asyncio.gather(*(stream.read(1) for stream in streams))
        rig.links.cut(rig.vms[0], "hang")
        await asyncio.gather(*(stream.read() for stream in streams))
        assert [stream.numbers for stream in streams] == 4 * [list(range(12))], [stream.numbers for stream in streams]
        relayed = events_of(rig.vms[0], "request_relayed")
        assert relayed and all(line["after_event"] is not None for line in relayed), relayed


async def event_0_comes_once_through_a_vm_of_another_build():
    """Guards against event 0 that a returning caller gets again because one of two builds takes its id for none."""
    for builds in ((CURRENT, RELEASED), (RELEASED, CURRENT)):
        async with MixedStrandedRig(builds) as rig:
            for engine in rig.fleet.engines:
                engine.FIRST_ID = 0
            await rig.wait_until_in_touch()
            rig.links.cut(rig.vms[0], "refuse")
            await asyncio.sleep(DETECTION_S)
            expect(await get(rig, "stream", rig.vms[0], **{"Last-Event-Id": 0}), (list(range(1, 12)), 1), builds)


TESTS = [repeated_events_are_dropped, fields_without_data_cost_no_event, comments_of_streams_without_events_are_passed_on,
         events_without_ids_cost_no_event, runs_whose_ids_go_back_are_given_up, events_that_one_engine_leaves_out_come_from_another,
         first_events_that_one_engine_leaves_out_come_from_another, streams_that_must_not_be_resumed_break_at_a_gap, events_that_a_resumed_run_skips_come_from_another,
         services_whose_ids_have_gaps_keep_their_streams, gap_of_two_runs_passes, callers_that_return_after_event_0_get_it_once,
         streams_that_another_vm_takes_over_after_event_0_are_complete,
         event_0_comes_once_through_a_vm_of_another_build]
