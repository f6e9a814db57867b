"""Process tests of upstreams that die, or break an answer off, behind a listener that goes on accepting connections."""

import asyncio
import signal
import time

from answer_end_tests import PIECES, decode_engines, judged, numbers, set_fault
from end_trial_tests import ClosingListener
from held_end_tests import begun_at, log_lines, read_to_end
from http_peer import response
from rig import Rig
from stranded_tests import StrandedRig
from version_tests import Stream

REPORT_AGE_S = 0.3  # for which a report lists a run that has ended
RESTART_S = 0.15  # from the end of an engine's process until the next one listens
SILENCE_S = 1.6
LONGEST_SILENCE_S = 2.0  # of a sound upstream
DRAIN_S = 0.1  # from the signal that a VM stops until an engine breaks its stream off
CHECK_S = 0.015  # from the end of an answer; another engine is asked for what follows after 0.03 s
LEARNED = 30  # streams after which the ids of a service are known to be consecutive
PATIENCE_S = 3.6  # of a caller between two events of a stream


class FrontListener(ClosingListener):
    """Stands for a front process whose engine has died: holds connections, or answers each with 503."""

    def __init__(self, port, answers):
        self.answers, self.held = answers, []
        super().__init__(port, reset=False)

    def serve(self, connection):
        self.held.append(connection)  # closed with this object
        if self.answers:
            connection.settimeout(1)
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")


LISTENERS = {"holds": lambda port: FrontListener(port, False), "answers 503": lambda port: FrontListener(port, True),
             "closes": lambda port: ClosingListener(port, False), "resets": lambda port: ClosingListener(port, True)}


async def die_behind_listener(upstream, kind):
    upstream.server.end()
    return LISTENERS[kind](upstream.server.port)


async def streams_of_engines_that_die_behind_a_listener_go_on_elsewhere():
    """Guards against a part of a stream that looks complete because something accepts connections at the dead engine's address."""
    async with Rig(decode=5) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine, kind in zip(decode_engines(rig), LISTENERS):
            stream, = await begun_at(rig, engine)
            listener = await die_behind_listener(engine, kind)
            is_complete = await read_to_end(stream)
            rig.fleet.store.delete(f"servers/{engine.id}")
            await listener.end()
            assert is_complete and stream.numbers == PIECES, (kind, stream.numbers, judged(rig)[-1:])


async def streams_that_may_not_be_resumed_break_off_with_an_engine_behind_a_listener():
    async with Rig(decode=2) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine, kind in zip(decode_engines(rig), ("holds", "resets")):
            for other in decode_engines(rig):
                other.is_full = other is not engine
            asyncio.get_running_loop().call_later(0.15, engine.server.end)
            begin, listener = time.monotonic(), None
            sending = asyncio.create_task(rig.send("digest"))
            while engine.server.is_listening:
                await asyncio.sleep(0)
            listener = LISTENERS[kind](engine.server.port)
            try:
                _, status, _, body = await sending
                assert status != 200, (kind, body, judged(rig))
            except EOFError:
                assert time.monotonic() - begin < 0.15 + PATIENCE_S
            rig.fleet.store.delete(f"servers/{engine.id}")
            await listener.end()


async def parts_of_streams_of_engines_that_live_are_continued():
    """Guards against a part of a stream that looks complete because its engine lives, although it broke the answer off."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine in decode_engines(rig):
            stream, = await begun_at(rig, engine)
            for writer in list(engine.server.writers):
                writer.close()
            assert await read_to_end(stream) and stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def parts_of_streams_of_the_only_engine_are_continued():
    """Guards against a part of a stream that looks complete because no other engine can be asked for what follows."""
    async with Rig(decode=1) as rig:
        set_fault("unframed", decode_engines(rig))
        stream, = await begun_at(rig, decode_engines(rig)[0])
        for writer in list(decode_engines(rig)[0].server.writers):
            writer.close()
        assert await read_to_end(stream) and stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def parts_of_streams_of_engines_that_live_are_continued_while_their_vm_drains():
    """Guards against a part of a stream that looks complete because a VM that drains does not ask for what follows."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = DRAIN_S / 2
        engine = decode_engines(rig)[0]
        stream, = await begun_at(rig, engine)
        rig.vms[0].signal(signal.SIGTERM)
        await asyncio.sleep(DRAIN_S)
        for writer in list(engine.server.writers):
            writer.close()
        assert await read_to_end(stream) and stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def streams_whose_run_goes_on_without_their_connection_break_off():
    """Guards against a part of a stream that looks complete although its engine's report still lists the run; reports may be old."""
    for listed_s in (60, REPORT_AGE_S):
        async with Rig(decode=1) as rig:
            engine, = decode_engines(rig)
            set_fault("unframed", [engine])
            ended_at, plain_handle, plain_stream = [], engine.handle, engine.stream

            async def handle(request, reader, writer):
                if request.path != "/report":
                    return await plain_handle(request, reader, writer)
                is_listed = ended_at and time.monotonic() - ended_at[0] < listed_s
                runs = [[f"req-{rig.request_count}", 100, 5, 5]] if is_listed else []
                return response(200, body={"phase": "decode", "busy": False, "seq": 0, "waiting": 0, "running": len(runs), "runs": runs})

            async def stream(request, reader, writer, prompt):
                try:
                    return await plain_stream(request, reader, writer, prompt)
                finally:
                    ended_at.append(time.monotonic())
            engine.handle, engine.stream = handle, stream
            is_cut = listed_s > REPORT_AGE_S
            if is_cut:
                asyncio.get_running_loop().call_later(0.15, lambda: [writer.close() for writer in list(engine.server.writers)])
            try:
                _, status, _, body = await rig.send("digest")
                assert not is_cut and status == 200 and numbers(body) == PIECES, (status, body, judged(rig)[-1:])
            except EOFError:
                assert is_cut, judged(rig)[-1:]


async def parts_of_streams_that_have_moved_do_not_look_complete():
    """Guards against a part of a stream that looks complete because no attempt is left to ask another engine for what follows."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        first = decode_engines(rig)[0]
        stream, = await begun_at(rig, first)
        first.crash()
        await stream.read(6)
        for engine in decode_engines(rig)[1:]:
            for writer in list(engine.server.writers):
                writer.close()
        assert not await read_to_end(stream) or stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def parts_of_streams_do_not_look_complete_without_a_retry_budget():
    """Guards against a part of a stream that looks complete because the retry budget is empty, so that no engine is asked for what follows."""
    async with Rig(decode=3, bounds={"retry_budget": 0.0, "budget_slack": 4}) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine in 2 * decode_engines(rig):
            stream, = await begun_at(rig, engine)
            for writer in list(engine.server.writers):
                writer.close()
            assert not await read_to_end(stream) or stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def whole_streams_whose_end_is_checked_late_are_complete():
    """Guards against a whole stream that breaks off because a continuation without events is not taken as the check of its end."""
    async with Rig(decode=3, bounds={"retry_budget": 0.0, "budget_slack": 5}) as rig:
        set_fault("unframed", decode_engines(rig))
        stream = await cut_stream(rig)
        assert await read_to_end(stream) and stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])
        stream, = await begun_at(rig, decode_engines(rig)[0])
        for engine in decode_engines(rig)[1:]:
            engine.is_full = True
        while not log_lines(rig, "end_unchecked"):
            await asyncio.sleep(0.05)
        for engine in decode_engines(rig)[1:]:
            engine.is_full = False
        assert await read_to_end(stream) and stream.numbers == PIECES, (stream.numbers, log_lines(rig, "stream_aborted"))


async def write_half(service, request, writer):
    """Sends the first half of an answer without length or chunks."""
    service.record("run", request)
    head = "HTTP/1.1 200 X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in service.headers(request)) + "\r\n"
    writer.write(head.encode() + b'{"ha')
    await writer.drain()


async def halves_of_answers_of_services_that_die_behind_a_listener_are_refused():
    """The same for a booking, whose service dies after half of its answer behind a front process."""
    async with Rig(services=1) as rig:
        service, listeners = rig.fleet.services[0], []

        async def run(request, reader, writer):
            await write_half(service, request, writer)
            listeners.append(await die_behind_listener(service, kinds[len(listeners)]))
        service.run, kinds = run, list(LISTENERS)
        for kind in kinds:
            _, status, _, _ = await rig.send("book")
            await listeners[-1].end()
            assert status == 502, (kind, status, judged(rig))
            await service.server.start()
            await asyncio.sleep(0.6)


async def halves_of_answers_of_services_that_die_behind_a_listener_are_repeated():
    """The same for a request that may be repeated."""
    async with Rig(services=2) as rig:
        services, listeners = rig.fleet.services, []

        async def run(request, reader, writer):
            service = next(service for service in services if writer in service.server.writers)
            if len(listeners) == len(done):  # the first run of this request
                await write_half(service, request, writer)
                listeners.append(await die_behind_listener(service, kinds[len(listeners)]))
                return None
            return await plain_run[service](request, reader, writer)
        plain_run, kinds, done = {service: service.run for service in services}, list(LISTENERS), []
        for service in services:
            service.run = run
        for kind in kinds:
            request, status, _, body = await rig.send("check")
            await listeners[-1].end()
            assert status == 200 and request.encode() in body, (kind, status, body, judged(rig))
            done.append(request)
            await asyncio.gather(*(service.server.start() for service in services if not service.server.is_listening))
            await asyncio.sleep(0.6)


async def streams_whose_engine_is_replaced_behind_a_listener_break_off():
    """Guards against a part of a stream that looks complete because the engine's next process answers the probe before its entry arrives."""
    for keeps_id in (True, False):
        async with Rig(decode=1) as rig:
            engine, = decode_engines(rig)
            set_fault("unframed", [engine])
            sending = asyncio.create_task(rig.send("digest"))
            while not any(entry["event"] == "run" for entry in rig.fleet.history):
                await asyncio.sleep(0)
            await asyncio.sleep(3.5 * engine.EVENT_INTERVAL_S)
            listener = await die_behind_listener(engine, "closes")
            await asyncio.sleep(RESTART_S)
            await listener.end()
            engine.id = engine.id if keeps_id else "i-next"
            await engine.server.start()
            try:
                _, status, _, body = await sending
                assert status != 200, (keeps_id, body, judged(rig))
            except EOFError:
                pass


async def whole_streams_of_engines_that_fall_silent_after_them_are_complete():
    """Guards against a stream that is broken off after its last event, because its engine answers no probe for a while."""
    async with Rig(decode=1) as rig:
        engine, = decode_engines(rig)
        set_fault("unframed", [engine])
        run = engine.run

        async def run_and_fall_silent(request, reader, writer):
            data = await run(request, reader, writer)
            if request.header("stage") != "prefill":
                writer.close()
                engine.fall_silent(SILENCE_S)
            return data
        engine.run = run_and_fall_silent
        _, status, _, body = await rig.send("digest")
        assert status == 200 and numbers(body) == PIECES, (status, body, judged(rig))


async def cut_stream(rig):
    """Returns a stream whose living engine has just broken it off."""
    engine = decode_engines(rig)[0]
    stream, = await begun_at(rig, engine)
    for writer in list(engine.server.writers):
        writer.close()
    await asyncio.sleep(CHECK_S)
    return stream


async def parts_of_streams_do_not_look_complete_if_their_check_loses_events():
    """Guards against a part of a stream that looks complete although the check of its end has brought a later event."""
    async with Rig(decode=3) as rig:
        for _ in range(LEARNED):
            assert numbers((await rig.send("stream"))[3]) == PIECES
        set_fault("unframed", decode_engines(rig))
        stream = await cut_stream(rig)
        for engine in decode_engines(rig):
            engine.order_faults = {2: "skip"}
        assert not await read_to_end(stream) or stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def parts_of_streams_do_not_look_complete_if_their_check_breaks_off_inside_an_event():
    """Guards against a part of a stream that looks complete although the check of its end has brought the begin of an event."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        stream = await cut_stream(rig)
        set_fault("torn", decode_engines(rig))
        assert not await read_to_end(stream) or stream.numbers == PIECES, (stream.numbers, judged(rig)[-1:])


async def callers_that_return_after_the_last_event_get_its_end():
    """Guards against a caller that never gets the end of a stream, because engines answer with nothing to what follows the last event."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        _, status, _, body = await rig.send("stream", headers={"Last-Event-Id": PIECES[-1]})
        assert (status, body) == (200, b""), (status, body)


async def ends_of_streams_are_checked_by_another_engine():
    """Guards against a check of an end by the engine that may have broken the stream off."""
    async with Rig(decode=3) as rig:
        set_fault("unframed", decode_engines(rig))
        for _ in range(6):
            request, _, _, _ = await rig.send("stream")
            runs = [run["upstream"] for run in rig.runs_of(request)]
            assert len(runs) == 2 and runs[0] != runs[1], runs


async def cut_by_restart(rig, kind, is_registered=False):
    """Sends a booking whose service dies after half of its answer and starts again under its id; returns the answer."""
    service, listeners = rig.fleet.services[0], []
    plain_run = service.run

    async def run(request, reader, writer):
        await write_half(service, request, writer)
        listeners.append(await die_behind_listener(service, kind))
    service.run = run
    sending = asyncio.create_task(rig.send("book"))
    while not listeners:
        await asyncio.sleep(0)
    await asyncio.sleep(RESTART_S)
    await listeners[0].end()
    service.run, service.started_ms = plain_run, int(time.time() * 1000)
    await service.server.start()
    if is_registered:
        service.register()
    return await sending


async def halves_of_answers_of_services_that_restart_under_their_id_are_refused():
    """Guards against half of an answer that looks complete because the service's next process, under the same id, answers the probe."""
    async with Rig(services=1) as rig:
        _, status, _, body = await cut_by_restart(rig, "holds")
        assert status == 502, (status, body, judged(rig))


async def halves_of_answers_are_refused_while_the_next_process_serves_others():
    """The same while another booking, which the next process answers, shows that something serves under the id."""
    for kind in LISTENERS:
        async with Rig(services=1) as rig:
            sending = asyncio.create_task(cut_by_restart(rig, kind))
            while not sending.done():
                await asyncio.sleep(0.05)
                if rig.fleet.history and rig.fleet.services[0].server.is_listening:
                    await rig.send("book")
            _, status, _, body = await sending
            assert status == 502, (kind, status, body, judged(rig))


async def halves_of_answers_are_refused_while_the_store_is_away():
    """The same while the VM cannot read the entry of the next process."""
    async with Rig(services=1) as rig:
        rig.fleet.store.mode = "silent"
        _, status, _, body = await cut_by_restart(rig, "closes", is_registered=True)
        assert status == 502, (status, body, judged(rig))


async def halves_of_answers_are_refused_while_a_poll_of_the_store_is_silent():
    """The same while the VM has not noticed yet that nothing from the store reaches it."""
    async with Rig(services=1) as rig:
        (relay,) = await rig.relay_store(rig.vms)
        await asyncio.sleep(1)
        relay.cut = True
        _, status, _, body = await cut_by_restart(rig, "closes", is_registered=True)
        assert status == 502, (status, body, judged(rig))


async def check_whole_booking(around):
    """Checks that a booking is passed on whose service runs it within `around`, and answers without length or chunks."""
    async with Rig(services=1) as rig:
        service, = rig.fleet.services
        set_fault("unframed", [service])
        run = service.run

        async def run_within(request, reader, writer):
            return await around(service, run(request, reader, writer), writer)
        service.run = run_within
        _, status, _, body = await rig.send("book")
        assert status == 200, (status, body, judged(rig))


async def whole_answers_of_services_that_fall_silent_after_them_are_passed_on():
    """Guards against a whole booking that is refused, because its service answers no probe for a while."""
    async def fall_silent_after(service, running, writer):
        data = await running
        writer.close()
        service.fall_silent(LONGEST_SILENCE_S)
        return data
    await check_whole_booking(fall_silent_after)


async def whole_answers_of_services_that_have_left_are_passed_on():
    """Guards against a whole booking that is refused, because its service has left without a report and serves on."""
    async def leave_before(service, running, _):
        service.leave()
        await asyncio.sleep(0.2)
        return await running
    await check_whole_booking(leave_before)


async def whole_streams_that_are_handed_over_at_their_end_are_complete():
    """Guards against a whole stream that breaks off because the VM that takes it over takes an empty continuation for a failure."""
    async with StrandedRig(vms=2, decode=3) as rig:
        await rig.wait_until_vms_report()
        set_fault("unframed", decode_engines(rig))
        stream = Stream(rig)
        assert await stream.open(rig.vms[0]) == 200
        await stream.read(PIECES[-1])
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.upstreams)
        assert await read_to_end(stream), judged(rig)


TESTS = [streams_of_engines_that_die_behind_a_listener_go_on_elsewhere,
         streams_that_may_not_be_resumed_break_off_with_an_engine_behind_a_listener,
         parts_of_streams_of_engines_that_live_are_continued,
         parts_of_streams_of_the_only_engine_are_continued,
         parts_of_streams_of_engines_that_live_are_continued_while_their_vm_drains,
         streams_whose_run_goes_on_without_their_connection_break_off,
         parts_of_streams_that_have_moved_do_not_look_complete,
         parts_of_streams_do_not_look_complete_without_a_retry_budget,
         whole_streams_whose_end_is_checked_late_are_complete,
         halves_of_answers_of_services_that_die_behind_a_listener_are_refused,
         halves_of_answers_of_services_that_die_behind_a_listener_are_repeated,
         streams_whose_engine_is_replaced_behind_a_listener_break_off,
         whole_streams_of_engines_that_fall_silent_after_them_are_complete,
         parts_of_streams_do_not_look_complete_if_their_check_loses_events,
         parts_of_streams_do_not_look_complete_if_their_check_breaks_off_inside_an_event,
         callers_that_return_after_the_last_event_get_its_end,
         ends_of_streams_are_checked_by_another_engine,
         halves_of_answers_of_services_that_restart_under_their_id_are_refused,
         halves_of_answers_are_refused_while_the_next_process_serves_others,
         halves_of_answers_are_refused_while_the_store_is_away, halves_of_answers_are_refused_while_a_poll_of_the_store_is_silent,
         whole_answers_of_services_that_fall_silent_after_them_are_passed_on,
         whole_answers_of_services_that_have_left_are_passed_on,
         whole_streams_that_are_handed_over_at_their_end_are_complete]
