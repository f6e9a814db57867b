"""Process tests of answers without a length or chunks whose upstream ends: what the caller gets must be whole, or visibly broken."""

import asyncio
import json

from rig import Rig
from stranded_tests import DETECTION_S, StrandedRig
from version_tests import Stream

PIECES = list(range(1, 13))
REQUESTS = 4
HOLD_S = 0.5  # by which the end of an answer may come later
CHECKED_ENDS, TRUSTED_ENDS = 20, 5  # of streams that are asked for what follows, and of those that follow them


def set_fault(fault, upstreams):
    for upstream in upstreams:
        upstream.fault, upstream.fault_share = fault, 1.0


def decode_engines(rig):
    return [engine for engine in rig.fleet.engines if engine.role == "decode"]


def numbers(body):
    return [int(line.split(" ")[2]) for line in body.decode().split("\n") if line.startswith("data: ")]


def end_checks(rig, request):
    """Returns the runs that were asked for what follows the last event, which send none."""
    return [run for run in rig.runs_of(request) if run.get("after") == PIECES[-1]]


def judged(rig):
    """Returns how the VMs judged the ends of answers, from their logs."""
    lines = (json.loads(line) for vm in rig.vms for line in vm.log_text().splitlines() if line.startswith("{"))
    return [line for line in lines if line.get("event") == "answer_end_judged"]


async def streams_whose_engine_ends_go_on_elsewhere():
    """Guards against a part of a stream that looks complete because the engine's process ended with its connection."""
    async with Rig(decode=4) as rig:
        set_fault("unframed_ended", decode_engines(rig)[:1])
        set_fault("unframed", decode_engines(rig)[1:])
        bodies = [(await rig.send("stream"))[3] for _ in range(REQUESTS * 4)]
        assert any(entry["event"] == "ended" for entry in rig.fleet.history), "no engine ended"
        assert [numbers(body) for body in bodies] == len(bodies) * [PIECES], [numbers(body) for body in bodies]
        assert {"complete", "doubtful"} == {line["end"] for line in judged(rig)}


async def streams_that_may_not_be_resumed_break_off_with_their_engine():
    async with Rig(decode=1) as rig:
        set_fault("unframed_ended", decode_engines(rig))
        try:
            _, status, _, body = await rig.send("digest")
            assert status != 200, f"a part of a stream looks complete: {body!r}"
        except EOFError:
            pass
        assert any(entry["event"] == "ended" for entry in rig.fleet.history)


async def engines_that_end_after_their_last_event_leave_a_complete_stream():
    """Guards against a stream that breaks off because the run that goes on has nothing left to send."""
    async with Rig(decode=3) as rig:
        engine = decode_engines(rig)[0]
        for other in decode_engines(rig)[1:]:
            other.is_full = True
        set_fault("unframed", decode_engines(rig))
        stream = Stream(rig)
        assert await stream.open(rig.vms[0]) == 200
        await stream.read(11)
        for other in decode_engines(rig)[1:]:
            other.is_full = False
        await stream.read(12)
        engine.server.end()
        await asyncio.wait_for(stream.reader.readuntil(b"0\r\n\r\n"), 3)
        assert stream.numbers == PIECES
        assert any(run["after"] == 12 for run in rig.runs_of(stream.id)), rig.runs_of(stream.id)


async def engines_that_go_on_end_their_streams_at_once():
    """Guards against a second run at the end of each stream without a length, once such ends have proved true, and against a long wait."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        loop, runs = asyncio.get_running_loop(), []
        for kind in [*CHECKED_ENDS * ["stream"], *TRUSTED_ENDS * ["stream", "digest"]]:
            begin = loop.time()
            request, status, _, body = await rig.send(kind)
            took = loop.time() - begin
            assert status == 200 and numbers(body) == PIECES
            assert took < 12 * decode_engines(rig)[0].EVENT_INTERVAL_S + HOLD_S, took
            runs.append((len(rig.runs_of(request)), len(end_checks(rig, request))))
        assert runs == [*CHECKED_ENDS * [(2, 1)], *2 * TRUSTED_ENDS * [(1, 0)]], runs


async def streams_outlive_engines_that_start_anew_under_their_id():
    """Guards against a new process at the engine's address that vouches for the end of the former one's answer."""
    async with Rig(decode=2) as rig:
        engine, other = decode_engines(rig)
        other.is_full = True
        set_fault("unframed_ended", [engine])
        stream = Stream(rig)
        assert await stream.open(rig.vms[0]) == 200
        other.is_full = False
        await stream.read(5)
        while engine.server.is_listening:
            await asyncio.sleep(0)
        set_fault("", [engine])
        engine.started_ms += 1000
        await engine.server.start()
        engine.register()
        await asyncio.wait_for(stream.read(), 5)
        stream.assert_sound()
        assert stream.numbers == PIECES


async def plain_answers_of_services_that_end_are_not_passed_on():
    """Guards against a part of a plain answer that looks whole."""
    async with Rig(services=3) as rig:
        set_fault("unframed_ended", rig.fleet.services[:1])
        set_fault("unframed", rig.fleet.services[1:])
        for _ in range(3 * REQUESTS):
            request, status, _, body = await rig.send("check")
            assert status == 200 and json.loads(body)["echo"] == request, (status, body)
        assert any(entry["event"] == "ended" for entry in rig.fleet.history), "no service ended"


async def bookings_of_services_that_end_are_not_confirmed_in_part():
    async with Rig(services=1) as rig:
        set_fault("unframed_ended", rig.fleet.services)
        request, status, _, body = await rig.send("book")
        assert status == 502 and len(rig.runs_of(request)) == 1, (status, body)


async def relayed_streams_whose_engine_ends_go_on_elsewhere():
    """Guards against a part of a stream that looks complete at the VM which took it, while another VM forwards it."""
    async with StrandedRig(vms=2, decode=4) as rig:
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.engines)
        await asyncio.sleep(DETECTION_S)
        set_fault("unframed", decode_engines(rig))
        request = (await rig.send("stream"))[0]
        used = rig.runs_of(request)[0]["upstream"]
        set_fault("unframed_ended", [engine for engine in decode_engines(rig) if engine.id == used])
        answers = [await rig.send("stream") for _ in range(3 * REQUESTS)]
        bodies = [numbers(body) for _, status, _, body in answers if status == 200]
        assert any(entry["event"] == "ended" for entry in rig.fleet.history), "no engine ended"
        assert len(bodies) > REQUESTS and bodies == len(bodies) * [PIECES], bodies


TESTS = [streams_whose_engine_ends_go_on_elsewhere, streams_that_may_not_be_resumed_break_off_with_their_engine,
         engines_that_end_after_their_last_event_leave_a_complete_stream, engines_that_go_on_end_their_streams_at_once,
         streams_outlive_engines_that_start_anew_under_their_id, plain_answers_of_services_that_end_are_not_passed_on,
         bookings_of_services_that_end_are_not_confirmed_in_part, relayed_streams_whose_engine_ends_go_on_elsewhere]
