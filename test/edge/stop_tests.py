"""Process tests of a planned stop: requests that are open at its end, late requests on open connections, and changes of the grace."""

import asyncio
import itertools
import signal
import time

from answer_end_tests import PIECES, decode_engines, numbers
from held_end_tests import begun_at, read_to_end
from platform_upstreams import Engine
from rig import Rig, read_response

DRAIN_S, EXIT_S = 0.7, 0.25  # from the report that an engine drains until it exits; from the end of its streams until it stops listening
FIRST_EVENT_S = 0.65  # a VM looks for another engine after 0.8 s
ACCEPT_S = 2.7  # from SIGTERM until a VM refuses requests
SLOW = {"name": "slow", "host": "app.example", "prefix": "/slow/", "type": "unsafe", "service": "booking", "timeout_ms": 20000, "attempts": 1}
SLOW_SAFE = {**SLOW, "name": "slowsafe", "prefix": "/slowsafe/", "type": "safe"}
LONG = {"name": "long", "host": "app.example", "prefix": "/long/", "type": "streaming", "service": "llm", "attempts": 1,
        "timeout_ms": 20000, "latency_goal_ms": 3000, "gap_aim_ms": 2000, "priority": 1}
STREAM_HEADERS = {"Model": "m", "Token-Count": "2000,100", "Prefix-Hash": "ab:2000"}


async def configured(rig):
    rig.fleet.configure([SLOW, SLOW_SAFE, LONG])
    await asyncio.sleep(1)


async def answer_at(task, begin):
    """Returns the status, headers and body of a sent request, and the time of its answer after `begin`."""
    _, status, headers, body = await task
    return status, headers, body, time.monotonic() - begin


def send_stream(rig, vm):
    return rig.send("long", vm, deadline=20000, limit=15, headers=STREAM_HEADERS)


async def requests_open_at_the_end_of_a_stop_are_answered():
    async with Rig(grace=4) as rig:
        await configured(rig)
        vm = rig.vms[0]
        for upstream in rig.fleet.upstreams:
            upstream.WORK_S = 30
        tasks = [asyncio.create_task(rig.send(kind, vm, deadline=20000, limit=15)) for kind in ("slow", "slowsafe") for _ in range(10)]
        await asyncio.sleep(0.3)
        begin = time.monotonic()
        vm.signal(signal.SIGTERM)
        for task in tasks:
            status, headers, _, at = await answer_at(task, begin)
            assert status in (502, 504) and headers.get("connection") == "close", (status, headers)
            assert 2.8 < at < 4, at
        await asyncio.wait_for(vm.process.wait(), 2)
        assert vm.process.returncode == 0 and time.monotonic() - begin < 4
        assert '"requests_cut":0' in vm.log_text().replace(" ", "")


async def prompts_that_are_read_at_the_end_of_a_stop_are_refused():
    """Guards against a cut of a request of which nothing has run, and against 502 for it."""
    async with Rig(grace=3) as rig:
        await configured(rig)
        vm = rig.vms[0]
        for engine in rig.fleet.engines:
            engine.PREFILL_TOKENS_PER_MS = 4.0
        for _ in range(4):
            await rig.send("long", vm, deadline=20000, headers=STREAM_HEADERS)
        vm.signal(signal.SIGTERM)
        begin = time.monotonic()
        await asyncio.sleep(2.0)
        task = asyncio.create_task(send_stream(rig, vm))
        status, headers, _, at = await answer_at(task, begin)
        assert status == 503 and float(headers["retry-after"]) < 1 and at < 2.9, (status, headers, at)
        assert not rig.runs_of((await task)[0])


async def streams_that_engines_end_when_their_vm_stops_are_not_complete():
    """Guards against a part of a stream that looks complete because its engine ended it at the deadline that a stopping VM gave it."""
    for unframed_share in (0.0, 1.0):
        async with Rig(grace=3) as rig:
            await configured(rig)
            for engine in rig.fleet.engines:
                engine.unframed_share, engine.ends_at_deadline = unframed_share, True
            for _ in range(3):
                await send_stream(rig, rig.vms[0])
            for engine in rig.fleet.engines:
                engine.EVENT_INTERVAL_S = 0.3  # a stream takes 3.6 s
            rig.vms[0].signal(signal.SIGTERM)
            while '"event":"drain_started"' not in rig.vms[0].log_text():
                await asyncio.sleep(0.02)
            answers = await asyncio.gather(*(send_stream(rig, rig.vms[0]) for _ in range(6)), return_exceptions=True)
            parts = [answer[3].count(b"data: ") for answer in answers if isinstance(answer, tuple)]
            assert not parts, f"{len(parts)} answers end as complete after {parts} events"
            assert all(isinstance(answer, EOFError) for answer in answers), answers


async def streams_that_engines_end_before_the_deadline_are_not_complete():
    """Guards against a part of a stream that looks complete because its engine keeps a margin to the deadline that it was given."""
    for unframed_share in (0.0, 1.0):
        async with Rig() as rig:
            for engine in rig.fleet.engines:
                engine.unframed_share, engine.ends_at_deadline, engine.deadline_margin_s = unframed_share, True, 0.1
                engine.EVENT_INTERVAL_S = 0.3  # a stream takes 3.6 s
            answers = await asyncio.gather(*(rig.send("stream", deadline=1200) for _ in range(4)), return_exceptions=True)
            assert all(isinstance(answer, EOFError) for answer in answers), answers


async def streams_that_engines_end_when_they_exit_go_on_elsewhere():
    """Guards against a part of a stream that looks complete because its engine, which has drained, ends it with a last chunk and exits."""
    for leave, unframed_share in itertools.product((Engine.drain, Engine.leave), (0.0, 1.0)):
        async with Rig(decode=2) as rig:
            engine = decode_engines(rig)[0]
            for each in decode_engines(rig):
                each.unframed_share, each.EVENT_INTERVAL_S = unframed_share, 0.2
            streams = await begun_at(rig, engine, 3)
            leave(engine)
            await asyncio.sleep(DRAIN_S)
            engine.is_exiting = True
            await asyncio.sleep(EXIT_S)
            engine.server.end()
            for stream in streams:
                assert await read_to_end(stream) and stream.numbers == PIECES, (leave, unframed_share, stream.numbers)


async def streams_that_have_moved_go_on_when_their_engine_exits():
    """Guards against the same for a stream whose attempts are used: engines that have ended do not count among them."""
    async with Rig(decode=3) as rig:
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = 0.2
        first = decode_engines(rig)[0]
        stream, = await begun_at(rig, first)
        first.crash()
        await stream.read(5)
        second = next(engine for engine in rig.fleet.engines if engine.id == rig.runs_of(stream.id)[-1]["upstream"])
        second.drain()
        await asyncio.sleep(DRAIN_S)
        second.is_exiting = True
        await asyncio.sleep(EXIT_S)
        second.server.end()
        assert await read_to_end(stream) and stream.numbers == PIECES, stream.numbers


async def streams_that_callers_continue_go_on_when_their_engine_exits():
    """Guards against the same for an engine that ends its run before the first event, at a VM that has sent the caller none itself."""
    async with Rig(decode=2) as rig:
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = FIRST_EVENT_S
        sending = asyncio.create_task(rig.send("stream", headers={"Last-Event-Id": PIECES[-3]}, deadline=8000))
        while not any(entry["event"] == "run" for entry in rig.fleet.history):
            await asyncio.sleep(0.01)
        first = next(engine for engine in rig.fleet.engines if engine.id == rig.fleet.history[-1]["upstream"])
        first.drain()
        while '"change":"leaving"' not in rig.vms[0].log_text():
            await asyncio.sleep(0.02)
        first.is_exiting = True
        request, status, _, body = await sending
        assert status == 200 and numbers(body) == PIECES[-2:], (status, body, rig.runs_of(request))


async def streams_that_would_outlast_a_stop_are_refused():
    """Guards against a stream that is passed on late in the grace and cut at its end."""
    async with Rig(grace=4) as rig:
        await configured(rig)
        vm = rig.vms[0]
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.15  # a stream takes about 1.8 s
        for _ in range(2):
            assert (await send_stream(rig, vm))[1] == 200
        vm.signal(signal.SIGTERM)
        request, status, _, body = await send_stream(rig, vm)
        assert status == 200 and body.count(b"data: ") == 12 and rig.runs_of(request), "a stream that can end in time is refused"
        await asyncio.sleep(0.3)
        request, status, headers, _ = await send_stream(rig, vm)
        assert status == 503 and float(headers["retry-after"]) < 1 and headers["connection"] == "close", (status, headers)
        assert not rig.runs_of(request)


async def streams_under_way_are_aborted_only_at_the_end_of_a_stop():
    async with Rig(grace=4) as rig:
        await configured(rig)
        vm = rig.vms[0]
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.6
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        head = "".join(f"{name}: {value}\r\n" for name, value in {"Host": "app.example", "Request-Id": "long-1", "Content-Length": 0, **STREAM_HEADERS}.items())
        writer.write(f"POST /long/x HTTP/1.1\r\n{head}\r\n".encode())
        await reader.readuntil(b"data: ")
        begin = time.monotonic()
        vm.signal(signal.SIGTERM)
        data = b""
        try:
            while part := await asyncio.wait_for(reader.read(4096), 6):
                data += part
        except ConnectionError:
            pass
        ended = time.monotonic() - begin
        writer.close()
        assert not data.endswith(b"0\r\n\r\n"), "the broken stream looks complete"
        assert 3.4 < ended < 4, ended
        await asyncio.wait_for(vm.process.wait(), 1)
        assert '"stream_aborted"' in vm.log_text()


async def late_requests_on_open_connections_are_refused():
    """Each byte of a request that arrives late in the grace is read, and its sender gets a refusal."""
    for begun in (b"P", b"POST /book/x HTTP/1.1\r\nHost: app"):
        async with Rig() as rig:
            vm = rig.vms[0]
            whole = b"POST /book/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: late\r\nContent-Length: 0\r\n\r\n"
            reader, writer = await asyncio.open_connection(vm.ip, vm.port)
            writer.write(b"GET /check/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: first\r\n\r\n")
            assert (await read_response(reader))[0] == 200
            writer.write(begun)
            await asyncio.sleep(0.1)
            vm.signal(signal.SIGTERM)
            await asyncio.sleep(ACCEPT_S + 0.2)
            writer.write(whole[len(begun):])
            status, headers, _ = await read_response(reader)
            assert status == 503 and headers["connection"] == "close" and float(headers["retry-after"]) < 1, (begun, status, headers)
            assert not rig.runs_of("late")
            writer.close()
            await asyncio.wait_for(vm.process.wait(), 2)


async def a_grace_that_is_shortened_during_a_stop_cuts_no_request():
    async with Rig(grace=8) as rig:
        await configured(rig)
        vm = rig.vms[0]
        for upstream in rig.fleet.upstreams:
            upstream.WORK_S = 30
        task = asyncio.create_task(rig.send("slow", vm, deadline=20000, limit=15))
        await asyncio.sleep(0.2)
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(1.5)
        with open(vm.path, encoding="utf-8") as file:
            text = file.read()
        with open(vm.path, "w", encoding="utf-8") as file:
            file.write(text.replace("grace_s: 8", "grace_s: 1"))
        vm.signal(signal.SIGHUP)
        begin = time.monotonic()
        status, _, _, at = await answer_at(task, begin)
        assert status in (502, 504) and at < 1, (status, at)
        await asyncio.wait_for(vm.process.wait(), 2)


async def upstreams_are_told_when_a_stopping_vm_ends():
    """Guards against work for an answer that comes after the end of the process."""
    async with Rig(grace=4) as rig:
        await configured(rig)
        vm = rig.vms[0]
        told = []
        for service in rig.fleet.services:
            original = service.run

            async def run(request, reader, writer, original=original):
                told.append(int(request.header("deadline-ms")))
                return await original(request, reader, writer)
            service.run = run
        assert (await rig.send("slow", vm, deadline=20000))[1] == 200
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(1)
        assert (await rig.send("slow", vm, deadline=20000))[1] == 200
        assert told[0] > 15000 and told[1] < 3000, told


TESTS = [requests_open_at_the_end_of_a_stop_are_answered, streams_that_engines_end_when_their_vm_stops_are_not_complete,
         streams_that_engines_end_before_the_deadline_are_not_complete, prompts_that_are_read_at_the_end_of_a_stop_are_refused,
         streams_that_would_outlast_a_stop_are_refused, streams_under_way_are_aborted_only_at_the_end_of_a_stop,
         streams_that_engines_end_when_they_exit_go_on_elsewhere, streams_that_have_moved_go_on_when_their_engine_exits,
         streams_that_callers_continue_go_on_when_their_engine_exits,
         late_requests_on_open_connections_are_refused, a_grace_that_is_shortened_during_a_stop_cuts_no_request,
         upstreams_are_told_when_a_stopping_vm_ends]
