"""Process tests of upstreams that answer wrongly: with an earlier refusal, or with an error in the middle of a stream."""

import asyncio

from rig import Rig
from stranded_tests import DETECTION_S, StrandedRig

PATIENT = {"name": "patient", "host": "app.example", "prefix": "/patient/", "type": "streaming", "service": "llm", "attempts": 4,
           "timeout_ms": 8000, "latency_goal_ms": 900, "can_resume": True, "sticky": True}


async def read_all(rig, path):
    """Sends a streaming request and returns all bytes of the answer."""
    vm = rig.vms[0]
    reader, writer = await asyncio.open_connection(vm.ip, vm.port)
    fields = {"Host": "app.example", "Request-Id": rig.request_id(), "Token-Count": "1000,100", "Content-Length": 0, "Connection": "close"}
    writer.write((f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode())
    data = b""
    try:
        while part := await asyncio.wait_for(reader.read(4096), 5):
            data += part
    except ConnectionError:
        pass
    writer.close()
    return data


async def refusals_of_earlier_requests_promise_nothing():
    """Guards against 'not run' for a request that an upstream runs, and against a second run of it elsewhere."""
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault = "repeated_refusal"
        for kind in ("book", "book", "check"):
            request = rig.request_id()
            for _ in range(2):  # the caller sends the id twice
                _, status, headers, _ = await rig.send(kind, request_id=request)
                assert status == 502 and "server-stamp" not in headers, (kind, status)
            assert kind == "check" or len(rig.runs_of(request)) <= 2, rig.runs_of(request)


async def errors_in_the_middle_of_a_stream_do_not_reach_its_caller():
    for framing in ("length", "chunks", "close"):
        async with Rig(decode=3) as rig:
            for engine in rig.fleet.engines:
                engine.fault = f"resume_error_{framing}"
            data = await read_all(rig, "/stream/x")
            assert data.count(b"HTTP/1.1") == 1 and data.count(b"data: ") == 3, (framing, data)
            assert b"failed" not in data and b"error" not in data, (framing, data)
            assert not data.endswith(b"0\r\n\r\n"), f"{framing}: the broken stream looks complete"


async def streams_go_on_at_a_third_engine_after_an_error():
    for framing in ("length", "chunks", "close"):
        async with Rig(decode=3) as rig:
            rig.fleet.configure([PATIENT])
            await asyncio.sleep(1)
            decode = [engine for engine in rig.fleet.engines if engine.role == "decode"]
            for engine in decode[0], decode[2]:  # those of the VM's own place, which it tries first
                engine.fault = f"resume_error_{framing}"
            data = await read_all(rig, "/patient/x")
            assert data.count(b"data: ") == 12 and data.endswith(b"0\r\n\r\n"), (framing, data)
            assert b"failed" not in data and len(rig.runs_of("req-1")) == 3, (framing, data, rig.runs_of("req-1"))


def event_ids(data):
    return [int(line[4:]) for line in data.decode().split("\n") if line.startswith("id: ")]


async def streams_whose_ids_begin_with_0_are_complete():
    """Guards against a first event that is taken for one which the caller already has."""
    async with StrandedRig(vms=2) as rig:
        for engine in rig.fleet.engines:
            engine.FIRST_ID = 0
        for kind in ("stream", "digest"):
            assert event_ids((await rig.send(kind))[3]) == list(range(12)), kind
        for engine in rig.fleet.engines:
            engine.fault, engine.fault_share = "torn_after_first", 1.0
        request, _, _, body = await rig.send("stream")
        assert event_ids(body) == list(range(12)) and len(rig.runs_of(request)) == 2, (body, rig.runs_of(request))
        for engine in rig.fleet.engines:
            engine.fault = ""
        rig.links.cut(rig.vms[0], "refuse")
        await asyncio.sleep(DETECTION_S)
        for kind in ("stream", "digest"):
            assert event_ids((await rig.send(kind))[3]) == list(range(12)), f"relayed {kind}"


TESTS = [streams_whose_ids_begin_with_0_are_complete, refusals_of_earlier_requests_promise_nothing, errors_in_the_middle_of_a_stream_do_not_reach_its_caller,
         streams_go_on_at_a_third_engine_after_an_error]
