"""Process tests of ends of answers beside other events: stalls, restarts, late packets, full upstreams and answers without a body."""

import asyncio
import json
import signal
import socket
import sys
import time

from answer_end_tests import PIECES, decode_engines, end_checks, judged, numbers, set_fault
from rig import ROOT, Rig
from stranded_tests import DETECTION_S, StrandedRig
from version_tests import Stream

FROZEN_S = 1.5
LATE_S = 0.025  # of packets on one connection behind those on another
STANDIN = f"{ROOT}/standin"
RESERVATION_S = 0.35


async def read_to_end(stream):
    """Returns whether the stream ends as complete."""
    while True:
        line = (await asyncio.wait_for(stream.reader.readline(), 8)).decode()
        if line == "0\r\n" or not line:
            return bool(line)
        if line.startswith("data: ") and line.endswith("\n"):
            stream.numbers.append(int(line.split()[2]))


def log_lines(rig, event):
    lines = (json.loads(line) for vm in rig.vms for line in vm.log_text().splitlines() if line.startswith("{"))
    return [line for line in lines if line.get("event") == event]


async def begun_at(rig, engine, count=1, events=3):
    """Begins streams that all run at this engine; the others are free afterwards."""
    rest = [other for other in decode_engines(rig) if other is not engine]
    for other in rest:
        other.is_full = True
    streams = [Stream(rig) for _ in range(count)]
    assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == count * [200]
    await asyncio.gather(*(stream.read(events) for stream in streams))
    for other in rest:
        other.is_full = False
    return streams


async def empty_continuations_of_torn_streams_are_not_complete():
    """Guards against an empty answer of a sound engine that ends a stream whose run broke off inside an event."""
    async with Rig(decode=3) as rig:
        engine = decode_engines(rig)[0]
        set_fault("torn_after_first", [engine])
        set_fault("unframed_empty", decode_engines(rig)[1:])
        for other in decode_engines(rig)[1:]:
            other.is_full = True
        stream = Stream(rig)
        assert await stream.open(rig.vms[0]) == 200
        for other in decode_engines(rig)[1:]:
            other.is_full = False
        is_complete = await read_to_end(stream)
        assert not is_complete, (stream.numbers, judged(rig))


async def ends_during_a_reservation_count_for_the_engine_that_ended():
    """Guards against a failure of the engine that goes on, because that of the former one became known after the move."""
    async with Rig(decode=3) as rig:
        engine = decode_engines(rig)[0]
        set_fault("unframed", decode_engines(rig))
        for other in decode_engines(rig):
            other.EVENT_INTERVAL_S = 0.05
        reserved_at = []
        for other in decode_engines(rig)[1:]:
            async def slow(request, reader, writer, handle=other.handle):
                if request.path.startswith("/hold-take"):
                    reserved_at.append(time.monotonic())
                    await asyncio.sleep(RESERVATION_S)
                return await handle(request, reader, writer)
            other.handle = slow
        stream, = await begun_at(rig, engine)
        engine.fall_silent(10)
        while not reserved_at:
            await asyncio.sleep(0.005)
        await asyncio.sleep(RESERVATION_S - 0.015)
        engine.server.end()
        is_complete = await read_to_end(stream)
        broken = log_lines(rig, "stream_broken")
        wrong = [line for line in broken if line["engine"] != engine.id]
        assert is_complete and stream.numbers == PIECES, (stream.numbers, is_complete, broken)
        assert not wrong, (wrong, [run["upstream"] for run in rig.runs_of(stream.id)], judged(rig))


async def streams_that_end_during_a_reservation_are_complete():
    """Guards against a second run, or an abort, of a stream that goes on and ends while another engine is asked for room."""
    async with Rig(decode=2) as rig:
        engine, other = decode_engines(rig)
        set_fault("unframed", decode_engines(rig))

        async def slow(request, reader, writer, handle=other.handle):
            if request.path.startswith("/hold-take"):
                await asyncio.sleep(0.05)
                engine.server.silent_until = 0
                writers = list(engine.server.writers)
                for open_writer in writers:
                    if open_writer in stream_writers:
                        for number in range(len(stream.numbers) + 1, 13):
                            open_writer.write(f"id: {number}\ndata: {stream.id} {number} v1\n\n".encode())
                        open_writer.close()
                await asyncio.sleep(0.012)
            return await handle(request, reader, writer)
        stream, = await begun_at(rig, engine)
        stream_writers = set(engine.server.writers)
        engine.fall_silent(10)
        other.handle = slow
        await stream.read(4 if len(stream.numbers) < 3 else len(stream.numbers))
        is_complete = await read_to_end(stream)
        sends = [entry["upstream"] for entry in rig.fleet.history
                 if entry["event"] == "arrived" and entry["request"] == stream.id and entry["upstream"] in (engine.id, other.id)]
        assert is_complete and sorted(set(stream.numbers)) == PIECES, (stream.numbers, is_complete)
        checks = len(end_checks(rig, stream.id))
        assert sends[0] == engine.id and len(sends) == 1 + min(1, checks), (sends, judged(rig), log_lines(rig, "stream_goes_on"))


async def outlive_restart_while_vm_stands_still(is_removed):
    async with Rig(decode=2) as rig:
        engine, other = decode_engines(rig)
        set_fault("unframed", [engine, other])
        for each in (engine, other):
            each.EVENT_INTERVAL_S = 0.05
        stream, = await begun_at(rig, engine)
        rig.vms[0].signal(signal.SIGSTOP)
        engine.server.end()
        await asyncio.sleep(FROZEN_S / 3)
        if is_removed:
            rig.fleet.store.delete(f"servers/{engine.id}")
        engine.id, engine.started_ms = f"{engine.id}-new", int(time.time() * 1000)
        await engine.server.start()
        engine.register()
        await asyncio.sleep(FROZEN_S / 3)
        rig.vms[0].signal(signal.SIGCONT)
        is_complete = await read_to_end(stream)
        assert not is_complete or stream.numbers == PIECES, (stream.numbers, judged(rig))


async def streams_outlive_engines_that_start_anew_while_their_vm_stands_still():
    """Guards against a new process, under a new id at the same address, that vouches for the end of the former one's answer."""
    await outlive_restart_while_vm_stands_still(True)


async def streams_outlive_crashed_engines_that_start_anew_while_their_vm_stands_still():
    """The same while the entry of the process that crashed has not expired yet."""
    await outlive_restart_while_vm_stands_still(False)


async def engines_that_are_back_at_once_do_not_vouch_for_streams():
    """The same with a VM that runs: a supervisor starts the next process within a few milliseconds, under a new id."""
    async with Rig(decode=2) as rig:
        engine, other = decode_engines(rig)
        set_fault("unframed", [engine, other])
        for each in (engine, other):
            each.EVENT_INTERVAL_S = 0.05
        stream, = await begun_at(rig, engine)
        engine.server.end()
        rig.fleet.store.delete(f"servers/{engine.id}")
        engine.id, engine.started_ms = f"{engine.id}-new", int(time.time() * 1000)
        await engine.server.start()
        engine.register()
        is_complete = await read_to_end(stream)
        assert not is_complete or stream.numbers == PIECES, (stream.numbers, judged(rig))


async def late_packets_do_not_vouch_for_an_ended_engine():
    """Guards against events of another connection that were sent before the engine ended and arrive after the end of this one."""
    async with Rig(decode=2) as rig:
        engine, other = decode_engines(rig)
        set_fault("unframed", [engine, other])
        streams = await begun_at(rig, engine, count=2)
        server, loop = engine.server, asyncio.get_running_loop()
        first, *rest = [writer for writer in server.writers]
        server.server.close()
        server.server = None
        server.report_listening()
        first.close()
        loop.call_later(LATE_S, lambda: [writer.close() for writer in rest])
        complete = await asyncio.gather(*(read_to_end(stream) for stream in streams))
        wrong = [stream.numbers for stream, done in zip(streams, complete) if done and stream.numbers != PIECES]
        assert not wrong, (wrong, judged(rig))


async def answers_without_a_body_are_complete():
    """Guards against a 204, which ends with its head, that counts as doubtful because its service ends afterwards."""
    async with Rig(services=1) as rig:
        service = rig.fleet.services[0]

        async def run(request, reader, writer):
            service.record("run", request)
            head = "HTTP/1.1 204 X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in service.headers(request)) + "\r\n"
            writer.write(head.encode())
            await writer.drain()
            service.server.end()
        service.run = run
        _, status, _, _ = await rig.send("book")
        assert status == 204, (status, judged(rig))


CHILD = """
import asyncio, itertools, json, random, sys
sys.path.insert(0, sys.argv[1])
from platform_upstreams import Engine

class Store:
    random, engines = random.Random(1), {}
    def put(self, *_): pass

class Child(Engine):
    async def import_kv(self, source, request): return True

async def main():
    engine = Child(Store(), "llm", sys.argv[3], [], "decode")
    engine.id, engine.fault, engine.EVENT_INTERVAL_S = sys.argv[2], "unframed", 0.02
    await engine.start()
    print(json.dumps(engine.entry()), flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


async def streams_of_killed_processes_are_whole_or_broken():
    """The engines are processes of their own, which are killed at random moments while each runs several streams."""
    import random
    draw = random.Random(7)
    async with Rig(decode=2) as rig:
        set_fault("unframed", decode_engines(rig))
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = 0.02
        outcomes, wrong = {"whole": 0, "broken": 0}, []
        for number in range(8):
            name = f"child-{number}"
            child = await asyncio.create_subprocess_exec(sys.executable, "-c", CHILD, STANDIN, name, "z1", stdout=asyncio.subprocess.PIPE)
            entry = json.loads(await child.stdout.readline())
            rig.fleet.store.put(f"servers/{name}", json.dumps(entry).encode())
            await asyncio.sleep(0.3)
            for engine in decode_engines(rig):
                engine.is_full = True
            streams = [Stream(rig) for _ in range(6)]
            opened = asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams), return_exceptions=True)
            asyncio.get_running_loop().call_later(0.1, lambda: [setattr(engine, "is_full", False) for engine in decode_engines(rig)])
            await asyncio.sleep(draw.uniform(0.03, 0.4))
            child.kill()
            await child.wait()
            for stream, status in zip(streams, await opened):
                done = status == 200 and await read_to_end(stream)
                outcomes["whole" if done else "broken"] += 1
                if done and stream.numbers != PIECES:
                    wrong.append(stream.numbers)
            await asyncio.sleep(0.3)
            rig.fleet.store.delete(f"servers/{name}")
        ends = {}
        for line in judged(rig):
            key = (line["end"], line["connection"], line["served_since"])
            ends[str(key)] = ends.get(str(key), 0) + 1
        print(outcomes, ends)
        assert not wrong, (wrong, judged(rig))


async def relayed_streams_outlive_the_end_of_engine_and_relaying_vm():
    """The engine ends, and the VM that forwards the relayed stream is killed while it holds the end back."""
    async with StrandedRig(vms=3, decode=4) as rig:
        rig.links.cut(rig.vms[0], "refuse", rig.fleet.engines)
        await asyncio.sleep(DETECTION_S)
        set_fault("unframed", rig.fleet.engines)
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.05
        wrong, outcomes = [], []
        for hold in (0.0, 0.01, 0.04):
            streams = [Stream(rig) for _ in range(4)]
            statuses = await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams))
            streams = [stream for stream, status in zip(streams, statuses) if status == 200]
            await asyncio.gather(*(stream.read(3) for stream in streams))
            used = rig.runs_of(streams[0].id)[-1]["upstream"]
            engine = next(engine for engine in rig.fleet.engines if engine.id == used)
            engine.server.end()
            await asyncio.sleep(hold)
            middle = next((line["to"] for line in log_lines(rig, "request_relayed") if line["request"] == streams[0].id), "")
            vm = next((vm for vm in rig.vms[1:] if vm.name == middle), None)
            if vm:
                vm.signal(signal.SIGKILL)
            for stream in streams:
                done = await read_to_end(stream)
                outcomes.append((hold, middle, done, len(stream.numbers)))
                if done and stream.numbers != PIECES:
                    wrong.append(stream.numbers)
            if vm:
                await vm.process.wait()
                await vm.start()
                await vm.wait_until_ready()
            engine.started_ms = int(time.time() * 1000)
            await engine.server.start()
            engine.register()
            await asyncio.sleep(2)
        print(outcomes)
        assert not wrong, (wrong, judged(rig))


async def deadlines_and_stops_during_a_hold_do_not_promise_that_a_booking_did_not_run():
    """Guards against 503 for a booking whose end is held back when its deadline passes or its VM stops."""
    for is_stop in (False, True):
        async with Rig(services=1, grace=1) as rig:
            service = rig.fleet.services[0]
            plain_run, port, listeners = service.run, service.server.port, []
            set_fault("unframed", [service])

            async def run(request, reader, writer):
                service.server.server.close()
                listener = socket.create_server(("127.0.0.1", port), backlog=0)
                fillers = [socket.socket() for _ in range(3)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port))
                listeners.extend([listener, *fillers])
                answer = await plain_run(request, reader, writer)
                if is_stop:
                    asyncio.get_running_loop().call_later(0.1, rig.vms[0].signal, signal.SIGTERM)
                return answer
            service.run = run
            begin = time.monotonic()
            try:
                _, status, _, _ = await rig.send("book", deadline=6000 if is_stop else 400)
            except EOFError:
                status = "closed"
            print("stop" if is_stop else "deadline", status, round(time.monotonic() - begin, 2), [line["connection"] for line in judged(rig)])
            for each in listeners:
                each.close()
            assert status not in (503, 429, 408, 421) and service.history, status


async def cut_answers_of_the_store_grant_no_lease():
    """Guards against keys without a lease, written because the store ended inside its answer and the missing lease was read as none."""
    async with Rig(vms=2, decode=2, services=1) as rig:
        store = rig.fleet.store
        before = set(store.items)
        cut = []
        handle = store.handle

        async def cut_leases(request, reader, writer):
            if request.path == "/kv-lease" and len(cut) < 6:
                cut.append(request.path)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
                await writer.drain()
                return None
            return await handle(request, reader, writer)
        store.handle = store.server.handler = cut_leases
        for vm in rig.vms:
            vm.signal(signal.SIGKILL)
            await vm.process.wait()
        for key in list(store.items):
            if not key.startswith(("op/", "servers/")):
                store.delete(key)
        for vm in rig.vms:
            await vm.start()
        await asyncio.sleep(4)
        assert cut, "no lease was asked for"
        without_lease = ("op/", "servers/", "currantstack/versions/")  # by design
        lasting = {key: item.get("lease") for key, item in store.items.items() if not key.startswith(without_lease) and not item.get("lease")}
        assert not lasting, (lasting, len(cut), len(before))


async def two_engines_that_end_at_once_leave_whole_or_broken_streams():
    async with Rig(decode=4) as rig:
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = 0.04
        set_fault("unframed", decode_engines(rig))
        streams = [Stream(rig) for _ in range(8)]
        assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == 8 * [200]
        await asyncio.gather(*(stream.read(3) for stream in streams))
        for engine in decode_engines(rig)[:2]:
            engine.server.end()
        complete = await asyncio.gather(*(read_to_end(stream) for stream in streams))
        assert not [s.numbers for s, done in zip(streams, complete) if done and s.numbers != PIECES], (complete, judged(rig))
        assert all(complete), ([stream.numbers for stream in streams], complete)


async def vms_that_drain_end_held_streams_whole_or_broken():
    async with Rig(decode=3, grace=4) as rig:
        for engine in decode_engines(rig):
            engine.EVENT_INTERVAL_S = 0.04
        set_fault("unframed", decode_engines(rig))
        streams = [Stream(rig) for _ in range(6)]
        assert await asyncio.gather(*(stream.open(rig.vms[0]) for stream in streams)) == 6 * [200]
        await asyncio.gather(*(stream.read(3) for stream in streams))
        rig.vms[0].signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
        decode_engines(rig)[0].server.end()
        complete = await asyncio.gather(*(read_to_end(stream) for stream in streams))
        assert not [s.numbers for s, done in zip(streams, complete) if done and s.numbers != PIECES], (complete, judged(rig))
        assert all(complete), ([stream.numbers for stream in streams], complete)
        await asyncio.wait_for(rig.vms[0].process.wait(), 6)
        assert rig.vms[0].process.returncode == 0, rig.vms[0].process.returncode


TESTS = [empty_continuations_of_torn_streams_are_not_complete, ends_during_a_reservation_count_for_the_engine_that_ended,
         streams_that_end_during_a_reservation_are_complete, streams_outlive_engines_that_start_anew_while_their_vm_stands_still,
         streams_outlive_crashed_engines_that_start_anew_while_their_vm_stands_still,
         engines_that_are_back_at_once_do_not_vouch_for_streams, late_packets_do_not_vouch_for_an_ended_engine,
         answers_without_a_body_are_complete, streams_of_killed_processes_are_whole_or_broken,
         relayed_streams_outlive_the_end_of_engine_and_relaying_vm,
         deadlines_and_stops_during_a_hold_do_not_promise_that_a_booking_did_not_run, cut_answers_of_the_store_grant_no_lease,
         two_engines_that_end_at_once_leave_whole_or_broken_streams, vms_that_drain_end_held_streams_whole_or_broken]
