"""Process tests of the connections that are opened to find out whether an upstream has outlived its answer."""

import asyncio
import json
import socket
import struct
import threading
import time

from answer_end_tests import PIECES, decode_engines, judged, set_fault
from held_end_tests import begun_at, log_lines, read_to_end
from platform_fleet import configuration
from rig import Rig
from version_tests import Stream

HELD_S = 0.13  # for which the end of an answer is held at least
SLOW_S = 0.8  # of a run that goes on while another one ends
RELAY_DELAY_S = 0.08  # after which a relay stops listening for an upstream that has ended


class ClosingListener:
    """Accepts connections to a port and closes them at once, until it is ended or for this time."""

    def __init__(self, port, reset, time_s=30):
        self.listener, self.reset, self.end_at = socket.create_server(("127.0.0.1", port)), reset, time.monotonic() + time_s
        self.listener.settimeout(0.01)
        self.thread = threading.Thread(target=self.accept)
        self.thread.start()

    def accept(self):
        while time.monotonic() < self.end_at:
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            self.serve(connection)
        self.listener.close()

    def serve(self, connection):
        if self.reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()

    async def end(self):
        self.end_at = 0
        await asyncio.to_thread(self.thread.join)


async def streams_of_ended_engines_behind_relays_are_resumed():
    """Guards against a relay that accepts connections for a moment after its engine has ended, and so vouches for a part of an answer."""
    async with Rig(decode=2) as rig:
        engine = decode_engines(rig)[0]
        set_fault("unframed", decode_engines(rig))
        for reset in (False, True):
            stream, = await begun_at(rig, engine)
            engine.server.end()
            relay = ClosingListener(engine.server.port, reset, RELAY_DELAY_S)
            is_complete = await read_to_end(stream)
            await relay.end()
            assert is_complete and stream.numbers == PIECES, (reset, stream.numbers, judged(rig))
            engine.id, engine.started_ms = f"{engine.id}-new", int(time.time() * 1000)
            await engine.server.start()
            engine.register()
            await asyncio.sleep(0.3)


async def halves_of_answers_of_ended_services_behind_relays_are_refused():
    """The same for a booking, whose service ends after half of its answer."""
    async with Rig(services=1) as rig:
        service = rig.fleet.services[0]
        port, relays = service.server.port, []

        async def run(request, reader, writer):
            service.record("run", request)
            head = "HTTP/1.1 200 X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in service.headers(request)) + "\r\n"
            writer.write(head.encode() + b'{"ha')
            await writer.drain()
            service.server.end()
            relays.append(ClosingListener(port, len(relays) % 2 == 1, RELAY_DELAY_S))
        service.run = run
        for _ in range(2):
            _, status, _, _ = await rig.send("book")
            await relays[-1].end()
            assert status == 502, (status, judged(rig))
            await service.server.start()
            await asyncio.sleep(0.6)


async def whole_answers_of_services_that_serve_others_at_their_limit_are_passed_on():
    """Guards against a whole answer that counts as doubtful because its service resets further connections, and answers those it has."""
    async with Rig(services=1) as rig:
        service, = rig.fleet.services
        plain_run, port, listeners = service.run, service.server.port, []

        async def run(request, reader, writer):
            if request.path.endswith("slow"):
                await asyncio.sleep(SLOW_S)
                return await plain_run(request, reader, writer)
            set_fault("unframed", [service])
            answer = await plain_run(request, reader, writer)
            set_fault("", [service])
            service.server.server.close()
            listeners.append(ClosingListener(port, reset=True))
            return answer
        service.run = run
        for _ in range(3):
            slow = asyncio.create_task(rig.send("book", path="slow"))
            await asyncio.sleep(SLOW_S / 4)
            _, status, _, body = await rig.send("book")
            assert (status, (await slow)[1]) == (200, 200), (status, body, judged(rig))
            await listeners[-1].end()
            await service.server.start()
            await asyncio.sleep(0.6)


async def whole_answers_of_services_that_reset_further_connections_are_passed_on():
    """Guards against a whole answer that counts as doubtful because its service resets connections beyond its limit at once."""
    async with Rig(services=1) as rig:
        service = rig.fleet.services[0]
        plain_run, port = service.run, service.server.port
        set_fault("unframed", [service])

        async def run(request, reader, writer):
            answer = await plain_run(request, reader, writer)
            service.server.server.close()
            listeners.append(ClosingListener(port, reset=True))
            return answer
        listeners, statuses = [], []
        service.run = run
        for _ in range(10):
            statuses.append((await rig.send("book"))[1])
            await listeners[-1].end()
            await service.server.start()
            await asyncio.sleep(0.6)
        ends = [(line["connection"], line["end"], round(line["held_ms"])) for line in judged(rig)]
        assert statuses == 10 * [200], (statuses, ends)


async def held_answers_are_not_hedged():
    """Guards against a second run of a request whose answer has arrived: its end is held while the time of the hedge passes."""
    async with Rig(services=2) as rig:
        set_fault("unframed", rig.fleet.services)
        for service in rig.fleet.services:
            service.WORK_S = 0.12  # the route's hedge is due after 0.2 s
        requests = []
        for _ in range(10):
            request, status, _, _ = await rig.send("check")
            requests.append((request, status))
            await asyncio.sleep(0.05)
        runs = [len(rig.runs_of(request)) for request, _ in requests]
        assert all(status == 200 for _, status in requests), requests
        assert runs == 10 * [1], (runs, [round(line["held_ms"]) for line in judged(rig)])


async def held_streams_take_no_room():
    """Guards against a stream that waits for the room of one which has ended at its engine, and whose end is held."""
    async with Rig(decode=1) as rig:
        engine, = decode_engines(rig)
        set_fault("unframed", [engine])
        rig.fleet.version += 3
        changed = configuration(rig.fleet.version)
        changed["services"][0]["engine"]["slots"] = 1
        rig.fleet.store.put("op/config", json.dumps(changed).encode())
        await asyncio.sleep(1)
        waits = []
        for _ in range(4):
            first, second = Stream(rig), Stream(rig)
            assert await first.open(rig.vms[0]) == 200
            await first.read(len(PIECES))
            begin = time.monotonic()
            assert await second.open(rig.vms[0]) == 200
            waits.append(round(time.monotonic() - begin, 3))
            assert await read_to_end(first) and await read_to_end(second)
        assert min(waits) < HELD_S, (waits, [line["held_ms"] for line in judged(rig)])


async def services_at_their_limit_that_leave_have_not_crashed():
    """Guards against requests that count as the cause of a crash, because a service that resets connections beyond its limit, and so is not
    known to be alive, leaves within the time of the proof."""
    for is_at_limit in (False, True):
        async with Rig(services=2) as rig:
            service, listener = rig.fleet.services[0], None
            set_fault("lost", [service])
            while not [entry for entry in rig.fleet.history if entry["event"] == "run" and entry["upstream"] == service.id]:
                await rig.send("book")
            if is_at_limit:
                service.server.server.close()
                listener = ClosingListener(service.server.port, reset=True)
            await asyncio.sleep(1)
            rig.fleet.store.delete(f"servers/{service.id}")
            await asyncio.sleep(1)
            if listener:
                await listener.end()
            probes = [line["result"] for line in log_lines(rig, "upstream_probed")]
            assert probes and not log_lines(rig, "crash_observed"), (is_at_limit, probes)


async def known_end_of_a_service_makes_its_held_answer_doubtful():
    """Guards against half of an answer that is passed on as whole, although another request has been told meanwhile (421) that a different
    process has the service's address."""
    async with Rig(services=1) as rig:
        service, plain_run, is_ended = rig.fleet.services[0], rig.fleet.services[0].run, asyncio.Event()

        async def run(request, reader, writer):
            if is_ended.is_set():
                return await plain_run(request, reader, writer)
            service.record("run", request)
            head = "HTTP/1.1 200 X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in service.headers(request)) + "\r\n"
            writer.write(head.encode() + b'{"ha')
            await writer.drain()
            is_ended.set()
            service.server.end()

        async def start_anew():
            await is_ended.wait()
            service.id, service.started_ms = f"{service.id}-new", int(time.time() * 1000)
            await service.server.start()  # its entry follows later
            await asyncio.sleep(0.05)
            return await rig.send("book")
        service.run = run
        (_, status, _, body), other = await asyncio.gather(rig.send("book"), start_anew())
        assert "421" in str(other), other
        assert status == 502, (status, body, judged(rig))


TESTS = [known_end_of_a_service_makes_its_held_answer_doubtful, held_answers_are_not_hedged, held_streams_take_no_room,
         services_at_their_limit_that_leave_have_not_crashed, streams_of_ended_engines_behind_relays_are_resumed,
         halves_of_answers_of_ended_services_behind_relays_are_refused,
         whole_answers_of_services_that_serve_others_at_their_limit_are_passed_on,
         whole_answers_of_services_that_reset_further_connections_are_passed_on]
