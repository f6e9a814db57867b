"""Process tests of streams that have begun and lose their engine, or wait for it, while no other engine can take them at once."""

import asyncio
import time

from silence_tests import SilenceRig, complete
from stranded_tests import StrandedRig
from version_tests import Stream, begin_streams

SILENCE_S = 1.3
FULL_S = 1.0  # until engines have room again
QUEUED_S = 0.1  # until an engine has room for new streams
LONG_FULL_S = 3.5  # longer than a new stream waits, shorter than its deadline
LIMIT_S = 7.0  # in which a stream must end
SLOW_INTERVAL_S = 0.1
VERY_SLOW_INTERVAL_S = 0.5
LONG_PROMPT = 8000  # tokens; an engine with streams may not read it within the gap goal
NEW_STREAM_S = 2.0  # in which new streams must begin while there is room
RESTART_S = 0.2
RESERVATION_S = 0.3  # that a reservation takes, less than its timeout


def others(rig, engine):
    return [other for other in rig.decode_engines() if other is not engine]


def replace_process(engine):
    """Lets the next process at the engine's address serve, before the store knows of it. It grants reservations that name the former one."""
    engine.id = f"next-{engine.id}"


def set_full(engines, is_full=True):
    for engine in engines:
        engine.is_full = is_full


async def begin_at(rig, engine, count=4):
    """Begins streams that all run at this engine."""
    set_full(others(rig, engine))
    streams = await begin_streams(rig, rig.vms[0], count)
    assert all(rig.runs_of(stream.id)[-1]["upstream"] == engine.id for stream in streams)
    return streams


async def read_to_the_end(streams):
    await asyncio.wait_for(asyncio.gather(*(stream.read() for stream in streams)), LIMIT_S)
    for stream in streams:
        stream.assert_sound()
    incomplete = [len(stream.numbers) for stream in streams if len(stream.numbers) < stream.EVENTS]
    assert not incomplete, f"{len(incomplete)} of {len(streams)} streams ended after {incomplete} events"


async def outlive_silence(publishes=0):
    async with SilenceRig() as rig:
        engine = rig.decode_engines()[0]
        streams = await begin_at(rig, engine)
        engine.fall_silent(SILENCE_S)
        for _ in range(publishes):
            rig.fleet.configure()
            await asyncio.sleep(SILENCE_S / 3)
        await read_to_the_end(streams)


async def streams_outlive_a_silent_engine_while_the_others_are_full():
    """Guards against streams that leave a sound engine for one that refuses them."""
    await outlive_silence()


async def streams_outlive_a_silent_engine_while_the_others_are_full_and_the_configuration_changes():
    await outlive_silence(publishes=3)


async def streams_outlive_a_silent_engine_while_the_others_accept_no_connection():
    """Guards against streams that leave a sound engine for one that does not answer."""
    async with StrandedRig() as rig:
        decode = [engine for engine in rig.fleet.engines if engine.role == "decode"]
        for engine in decode:
            engine.EVENT_INTERVAL_S = SLOW_INTERVAL_S
        set_full(decode[1:])
        streams = await begin_streams(rig, rig.vms[0], 4)
        set_full(decode[1:], False)
        rig.links.cut(rig.vms[0], "live", decode[1:])
        decode[0].fall_silent(SILENCE_S)
        await read_to_the_end(streams)


async def stalled_streams_without_retry_budget_reserve_nothing():
    """Guards against reservations that are taken and dropped while no retry is allowed."""
    async with SilenceRig(bounds={"retry_budget": 0.0, "budget_slack": 0}) as rig:
        engine = rig.decode_engines()[0]
        streams = await begin_at(rig, engine)
        set_full(others(rig, engine), False)
        known = len(rig.fleet.history)
        engine.fall_silent(SILENCE_S)
        await read_to_the_end(streams)
        reserved = [entry for entry in rig.fleet.history[known:] if entry.get("target") == "/hold-take"]
        assert not reserved, f"{len(reserved)} reservations"


async def begun_streams_wait_for_room_when_their_engine_ends():
    """Guards against streams that are aborted because no engine has room at the moment at which theirs ends."""
    async with SilenceRig() as rig:
        engine = rig.decode_engines()[0]
        streams = await begin_at(rig, engine)
        rest = others(rig, engine)
        engine.crash()
        asyncio.get_running_loop().call_later(FULL_S, set_full, rest, False)
        await read_to_the_end(streams)


async def streams_that_waited_before_they_began_wait_for_room_when_their_engine_ends():
    """Guards against streams that are aborted when the wait for their first event would have ended."""
    async with SilenceRig() as rig:
        engine = rig.decode_engines()[0]
        rest = others(rig, engine)
        set_full(rig.decode_engines())
        asyncio.get_running_loop().call_later(QUEUED_S, set_full, [engine], False)
        streams = await begin_streams(rig, rig.vms[0], 4)
        engine.crash()
        asyncio.get_running_loop().call_later(LONG_FULL_S, set_full, rest, False)
        await read_to_the_end(streams)


async def begun_streams_go_on_at_their_engine_after_it_has_restarted():
    """Guards against streams that wait in vain because the engine with room has the id of the one that they lost."""
    async with SilenceRig(decode=2) as rig:
        engine = rig.decode_engines()[0]
        streams = await begin_at(rig, engine)
        engine.server.stop()
        await asyncio.sleep(RESTART_S)
        engine.started_ms = int(time.time() * 1000)
        await engine.server.start()
        engine.register()
        await read_to_the_end(streams)


async def streams_that_wait_to_go_on_do_not_hold_up_new_ones():
    """Guards against a long prompt, which no busy engine may read for a resumption, at the head of the queue of all streams."""
    async with SilenceRig(decode=2) as rig:
        engine, other = rig.decode_engines()
        engine.EVENT_INTERVAL_S = other.EVENT_INTERVAL_S = VERY_SLOW_INTERVAL_S
        set_full([other])
        long = Stream(rig)
        assert await long.open(rig.vms[0], **{"Token-Count": f"{LONG_PROMPT},100", "Prefix-Hash": f"{long.id}:{LONG_PROMPT}"}) == 200
        await long.read(1)
        set_full([engine])
        set_full([other], False)
        await begin_streams(rig, rig.vms[0], 4, events=1)  # so that the other engine is busy
        engine.crash()
        await asyncio.sleep(SLOW_INTERVAL_S)
        await asyncio.wait_for(begin_streams(rig, rig.vms[0], 4, events=1), NEW_STREAM_S)


async def streams_do_not_move_to_an_engine_that_leaves_while_it_reserves():
    """Guards against streams that leave a sound engine for one that has begun to drain after it was chosen."""
    async with SilenceRig() as rig:
        engine, other, *_ = rig.decode_engines()
        streams = await begin_at(rig, engine)
        set_full([other], False)
        handle = other.handle

        async def handle_while_leaving(request, reader, writer):
            if request.path.startswith("/hold-take") and other.state == "ready":
                other.drain()
            if request.path.startswith("/hold-take"):
                await asyncio.sleep(RESERVATION_S)
            return await handle(request, reader, writer)
        other.handle = handle_while_leaving
        engine.fall_silent(SILENCE_S)
        await read_to_the_end(streams)
        assert other.state == "draining"
        moved = [stream.id for stream in streams if rig.runs_of(stream.id)[-1]["upstream"] == other.id]
        assert not moved, f"{len(moved)} of {len(streams)} streams moved to the engine that leaves"


def assert_refused_by_next_process(rig, streams, engine):
    """Asserts that the next process got some of the streams and ran none."""
    refused = {entry["request"] for entry in rig.fleet.history if entry["event"] == "arrived" and entry["upstream"] == engine.id}
    ran = {entry["request"] for entry in rig.fleet.history if entry["event"] == "run" and entry["upstream"] == engine.id}
    assert refused & {stream.id for stream in streams} and not ran, (refused, ran)


async def begun_streams_go_on_after_the_next_process_at_an_address_refused_them():
    """Guards against streams that are aborted because a process that did not run them took their last attempt."""
    async with SilenceRig() as rig:
        engine, other, *rest = rig.decode_engines()
        streams = await begin_at(rig, engine)
        set_full([other], False)
        replace_process(other)
        engine.crash()
        asyncio.get_running_loop().call_later(FULL_S, set_full, rest, False)
        await read_to_the_end(streams)
        assert_refused_by_next_process(rig, streams, other)


async def begun_streams_that_a_next_process_refused_stay_within_the_retry_budget():
    """Guards against refused streams that are sent again and again, as their route's attempts do not bound that."""
    async with SilenceRig(decode=4, bounds={"retry_budget": 0.0, "budget_slack": 6}) as rig:
        engine, *rest = rig.decode_engines()
        streams = await begin_at(rig, engine)
        set_full(rest, False)
        for other in rest:
            replace_process(other)
        known = len(rig.fleet.history)
        engine.crash()
        await asyncio.wait([asyncio.create_task(stream.read()) for stream in streams], timeout=LIMIT_S)
        sends = [entry for entry in rig.fleet.history[known:] if entry["event"] == "arrived"]
        assert 0 < len(sends) <= 6, f"{len(sends)} sends"


async def begun_streams_wait_for_room_at_another_vm():
    """Guards against streams of a VM that is cut off which another VM refuses like new ones."""
    async with StrandedRig(vms=2) as rig:
        decode = [engine for engine in rig.fleet.engines if engine.role == "decode"]
        for engine in decode:
            engine.EVENT_INTERVAL_S = SLOW_INTERVAL_S
        streams = await begin_streams(rig, rig.vms[0], 4)
        set_full(decode)
        rig.links.cut(rig.vms[0], "hang")
        asyncio.get_running_loop().call_later(SILENCE_S + FULL_S, set_full, decode, False)
        await read_to_the_end(streams)


async def streams_of_all_engines_outlive_a_silent_second_of_one():
    async with SilenceRig() as rig:
        await complete(rig, rig.vms[0], rig.decode_engines()[:1], publishes=2)


TESTS = [streams_outlive_a_silent_engine_while_the_others_are_full,
         streams_outlive_a_silent_engine_while_the_others_are_full_and_the_configuration_changes,
         streams_outlive_a_silent_engine_while_the_others_accept_no_connection, begun_streams_wait_for_room_when_their_engine_ends,
         stalled_streams_without_retry_budget_reserve_nothing,
         streams_that_waited_before_they_began_wait_for_room_when_their_engine_ends,
         begun_streams_go_on_at_their_engine_after_it_has_restarted,
         streams_that_wait_to_go_on_do_not_hold_up_new_ones, streams_do_not_move_to_an_engine_that_leaves_while_it_reserves,
         begun_streams_go_on_after_the_next_process_at_an_address_refused_them,
         begun_streams_that_a_next_process_refused_stay_within_the_retry_budget,
         begun_streams_wait_for_room_at_another_vm, streams_of_all_engines_outlive_a_silent_second_of_one]
