"""Process tests of streams that cannot be resumed and bring no event any more: they end once their engine is gone, and only then."""

import asyncio
import json
import time

from rig import Rig
from version_tests import Stream

GONE_S = 60.0  # silence of an engine that does not come back
EXPIRY_S = 2.5  # from the silence until the store removes the engine's entry
END_S = 3.0  # from that removal until the caller must know
DARK_END_S = 9.0  # from the silence until the caller must know while the store keeps the entry
DEADLINE_MS = 40000
TIMEOUT_S = 40.0  # of the route
SLOW_FACTOR = 10
SLOW_LIMIT_S = 25.0
STUCK_END_S = 7.0  # from the begin of an event that does not end until the caller must know
TOLD_S = 0.2  # from a call that times out until no VM places a stream at its engine
START_S = 1.2  # until VMs have heard from one another
PATIENT = {"name": "patient", "host": "app.example", "prefix": "/patient/", "type": "streaming", "service": "llm", "timeout_ms": int(TIMEOUT_S * 1000),
           "latency_goal_ms": 900, "gap_aim_ms": 300, "attempts": 1, "sticky": True, "priority": 1}


def lines_of(vm):
    return [json.loads(line) for line in vm.log_text().splitlines() if line.startswith("{")]


class PatientStream(Stream):
    """A stream of a route that cannot be resumed and allows much time."""

    async def open(self, vm, **headers):
        reader, self.writer = await asyncio.open_connection(vm.ip, vm.port)
        self.rig.writers.append(self.writer)
        fields = {"Host": "app.example", "Request-Id": self.id, "Deadline-Ms": DEADLINE_MS, "Model": "m", "Token-Count": "1000,100",
                  "Prefix-Hash": f"{self.id}:1000", "Content-Length": 0, "Connection": "close", **headers}
        head = "POST /patient/x HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(head.encode() + b"\r\n")
        self.reader = reader
        return int((await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1])

    async def end(self, limit):
        """Reads to the end of the connection; returns whether the answer is complete."""
        data = await asyncio.wait_for(self.reader.read(), limit)
        return data.endswith(b"0\r\n\r\n")


class PatientRig(Rig):
    """Two VMs, one prefill engine and decode engines whose streams last long enough to be disturbed."""

    def __init__(self, decode=2, interval_s=0.3):
        super().__init__(vms=2, prefill=1, decode=decode)
        self.interval_s = interval_s

    async def __aenter__(self):
        await super().__aenter__()
        for engine in self.fleet.engines:
            engine.EVENT_INTERVAL_S = self.interval_s
        self.fleet.configure([PATIENT])
        await asyncio.sleep(START_S)
        return self

    async def begin(self, count=4, events=2):
        streams = [PatientStream(self) for _ in range(count)]
        statuses = await asyncio.gather(*(stream.open(self.vms[number % 2]) for number, stream in enumerate(streams)))
        assert statuses == count * [200], statuses
        await asyncio.gather(*(stream.read(events) for stream in streams))
        return streams

    def engine_of(self, stream):
        return next(engine for engine in self.fleet.engines for run in self.runs_of(stream.id) if run["upstream"] == engine.id)


async def streams_end_when_their_silent_engine_loses_its_entry():
    """Guards against callers that wait until their deadline for an engine whose machine is gone."""
    async with PatientRig() as rig:
        streams = await rig.begin()
        engine = rig.engine_of(streams[0])
        lost = [stream for stream in streams if rig.engine_of(stream) is engine]
        engine.fall_silent(GONE_S)
        await asyncio.sleep(EXPIRY_S)
        rig.fleet.store.delete(f"servers/{engine.id}")
        begin = time.monotonic()
        complete = await asyncio.gather(*(stream.end(END_S + 1) for stream in lost))
        took = time.monotonic() - begin
        assert not any(complete) and took < END_S, (complete, took)
        assert all(await asyncio.gather(*(stream.end(SLOW_LIMIT_S) for stream in streams if stream not in lost)))
        assert all(len(rig.runs_of(stream.id)) == 1 for stream in streams), "a stream that must not be resumed ran again"


async def streams_without_events_end_when_their_engine_is_gone():
    """The same before the first event, when the caller has nothing and gets an error."""
    async with PatientRig(decode=1, interval_s=GONE_S) as rig:
        stream = PatientStream(rig)
        opening = asyncio.create_task(stream.open(rig.vms[0]))
        await asyncio.sleep(1)
        engine = rig.engine_of(stream)
        engine.fall_silent(GONE_S)
        await asyncio.sleep(EXPIRY_S)
        rig.fleet.store.delete(f"servers/{engine.id}")
        status = await asyncio.wait_for(opening, END_S)
        assert status == 502, status


async def streams_end_when_two_vms_find_their_engine_silent():
    """The same while the store keeps the entries of engines that are gone."""
    async with PatientRig() as rig:
        streams = await rig.begin()
        engine = rig.engine_of(streams[0])
        lost = [stream for stream in streams if rig.engine_of(stream) is engine]
        begin = time.monotonic()
        engine.fall_silent(GONE_S)
        complete = await asyncio.gather(*(stream.end(DARK_END_S + 1) for stream in lost))
        took = time.monotonic() - begin
        assert not any(complete) and took < DARK_END_S, (complete, took)


async def slow_but_sound_streams_go_on():
    """An engine at a tenth of its speed that leaves without having announced it: its entry is removed, and it still serves."""
    async with PatientRig(interval_s=0.1 * SLOW_FACTOR) as rig:
        streams = await rig.begin(events=1)
        for engine in rig.fleet.engines:
            if engine.role == "decode":
                rig.fleet.store.delete(f"servers/{engine.id}")
        complete = await asyncio.gather(*(stream.end(SLOW_LIMIT_S) for stream in streams))
        assert all(complete), complete


async def streams_outlive_a_long_pause_of_their_engine():
    """An engine that stands still for longer than the pause after which it is probed, and goes on."""
    async with PatientRig(interval_s=0.2) as rig:
        streams = await rig.begin()
        for engine in rig.fleet.engines:
            engine.fall_silent(4.0)
        complete = await asyncio.gather(*(stream.end(SLOW_LIMIT_S) for stream in streams))
        assert all(complete), complete


async def streams_that_trickle_end():
    """Guards against an engine that sends a byte now and then and never completes an event."""
    async with PatientRig(interval_s=0.1) as rig:
        for engine in rig.fleet.engines:
            engine.fault = "trickle"
        streams = await rig.begin()
        begin = time.monotonic()
        complete = await asyncio.gather(*(stream.end(STUCK_END_S + 1) for stream in streams))
        took = time.monotonic() - begin
        assert not any(complete) and took < STUCK_END_S, (complete, took)


async def dark_engines_are_probed_instead_of_tried():
    """Guards against streams that are placed one after the other at an engine which accepts connections and answers nothing."""
    async with PatientRig(decode=3, interval_s=0.05) as rig:
        await rig.begin()
        dark = next(engine for engine in rig.fleet.engines if engine.role == "decode")
        dark.fall_silent(GONE_S)
        begin = time.monotonic()
        statuses = []
        while time.monotonic() - begin < 4.0:
            vm = rig.vms[len(statuses) % 2]
            statuses.append(asyncio.create_task(rig.send("patient", vm, deadline=6000)))
            await asyncio.sleep(0.03)
        results = [status for _, status, *_ in await asyncio.gather(*statuses)]
        lines = [line for vm in rig.vms for line in lines_of(vm)]
        refused_at = min(line["time_ms"] for line in lines if line["event"] == "reservation_refused" and line["engine"] == dark.id)
        late = [line for line in lines if line["event"] == "stream_placed" and line["decode"] == dark.id
                and line["time_ms"] > refused_at + 1000 * TOLD_S]
        assert results.count(200) == len(results), results
        assert not late, f"{len(late)} streams were placed at a dark engine that had left a call unanswered"


TESTS = [streams_end_when_their_silent_engine_loses_its_entry, streams_without_events_end_when_their_engine_is_gone,
         streams_end_when_two_vms_find_their_engine_silent, slow_but_sound_streams_go_on, streams_outlive_a_long_pause_of_their_engine,
         streams_that_trickle_end, dark_engines_are_probed_instead_of_tried]
