#!/usr/bin/env python3
"""Process tests: real currant-edge processes before stand-ins, each test with one failure. Closes with "N passed, N failed"."""

import asyncio
import signal
import sys
import time
import traceback

from rig import Rig, call, read_answer


def events(body):
    """The numbers of a stream's events, which must all bear one request's id."""
    found = [line.split(" ") for line in body.decode().split("\n") if line.startswith("data: ")]
    assert len({request for _, request, _ in found}) <= 1, body
    return [int(number) for _, _, number in found]


async def whole_path():
    async with Rig() as rig:
        for kind in ("book", "check"):
            request, status, headers, body = await rig.ask(kind)
            assert status == 200 and headers["request-id"] == request and "server-stamp" in headers and request.encode() in body
            assert rig.runs(request)[0]["target"] == f"/{kind}/x?q=%20a//b", "the target passes unchanged"
        for kind in ("stream", "digest"):
            request, status, headers, body = await rig.ask(kind)
            assert status == 200 and events(body) == list(range(1, 13)), (status, body)
            assert len(rig.runs(request)) == 1
        assert (await rig.ask("nowhere"))[1] == 404


async def resumed_stream():
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.fault, engine.fault_share = "torn", 0.05
        broken = 0
        for _ in range(20):
            request = rig.request_id()
            try:
                _, status, _, body = await rig.ask("stream", request_id=request)
                assert status == 200 and events(body) == list(range(1, 13)), body
                broken += len(rig.runs(request)) > 1
            except EOFError:
                pass  # broken twice
        assert broken > 0


async def torn_stream_is_not_complete():
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.fault, engine.fault_share = "torn", 1.0
        try:
            request, status, _, _ = await rig.ask("digest")
            assert status == 502, status
        except EOFError:
            return
        assert len(rig.runs(request)) == 1, "a stream that may not be resumed runs once"


async def bookings_run_once():
    for fault in ("lost", "torn", "foreign", "error", "surplus"):
        async with Rig() as rig:
            for service in rig.fleet.services:
                service.fault, service.fault_share = fault, 0.5
            for _ in range(20):
                request, status, headers, body = await rig.ask("book")
                assert len(rig.runs(request)) == 1, (fault, rig.runs(request))
                assert status in (200, 500, 502), (fault, status)
                assert status != 200 or request.encode() in body, (fault, body)
                assert "server-stamp" not in headers or headers["request-id"] == request


async def checks_are_repeated():
    async with Rig() as rig:
        rig.fleet.services[0].fault, rig.fleet.services[0].fault_share = "lost", 1.0
        for _ in range(8):
            assert (await rig.ask("check"))[1] == 200


async def refusals_are_true():
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault, service.fault_share = "shed", 1.0
        request, status, headers, _ = await rig.ask("book")
        assert status == 503 and "retry-after" in headers and not rig.runs(request)


async def silent_upstreams_time_out():
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault, service.fault_share = "hang", 1.0
        begin = time.monotonic()
        _, status, _, _ = await rig.ask("book", deadline=700)
        assert status == 504 and time.monotonic() - begin < 1.0, status


async def smuggled_requests_are_refused():
    async with Rig() as rig:
        vm = rig.vms[0]
        hidden = b"POST /book/hidden HTTP/1.1\r\nHost: app.example\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n"
        start = b"POST /book/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: outer\r\n"
        heads = [b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"Content-Length: 0\r\nContent-Length: 200\r\n",
                 b"Transfer-Encoding: xchunked\r\n", b"Content-Length : 0\r\n", b"Transfer-Encoding: chunked, identity\r\n"]
        for head in heads:
            reader, writer = await asyncio.open_connection(vm.ip, vm.port)
            writer.write(start + head + b"\r\n0\r\n\r\n" + hidden)
            status, _, _ = await read_answer(reader)
            assert status == 400, (head, status)
            assert await reader.read(100) == b"", "the connection is closed"
            writer.close()
        await asyncio.sleep(0.3)
        assert not rig.runs("hidden")


async def callers_that_leave_stop_their_engines():
    async with Rig() as rig:
        vm = rig.vms[0]
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: gone\r\nToken-Count: 2000,100\r\nContent-Length: 0\r\n\r\n")
        await reader.readuntil(b"data:")
        writer.transport.abort()
        await asyncio.sleep(0.5)
        assert any(entry["event"] == "stopped" and entry["request"] == "gone" for entry in rig.fleet.history)


async def drained_vm_cuts_nothing():
    async with Rig(vms=2) as rig:
        vm = rig.vms[0]
        asked = [asyncio.create_task(rig.ask(kind, vm)) for kind in ("stream", "digest", "book", "check")]
        await asyncio.sleep(0.02)
        begin = time.monotonic()
        vm.signal(signal.SIGTERM)
        for task in asked:
            assert (await task)[1] == 200
        assert not await vm.ready()
        assert (await rig.ask("book", vm))[1] == 200, "callers are served until the balancer has noticed"
        await asyncio.wait_for(vm.process.wait(), 8)
        assert vm.process.returncode == 0 and time.monotonic() - begin < 8


async def drain_closes_kept_connections():
    """A stream that came over a kept connection long after SIGTERM was once cut at the end of the drain."""
    async with Rig() as rig:
        vm = rig.vms[0]
        for engine in rig.fleet.engines:
            engine.GAP = 0.4  # the stream outlasts the time in which requests are still taken
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        request = b"GET /check/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: kept\r\nContent-Length: 0\r\n\r\n"
        writer.write(request)
        assert (await read_answer(reader))[0] == 200
        long = asyncio.create_task(rig.ask("digest", vm))
        await asyncio.sleep(0.05)
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(3.0)
        assert await asyncio.wait_for(reader.read(100), 1) == b"", "an idle connection is closed once the drain accepts no more"
        assert (await long)[1] == 200


async def draining_upstreams_get_nothing():
    async with Rig(services=3) as rig:
        leaving = rig.fleet.services[0]
        leaving.drain()
        await asyncio.sleep(1.0)
        asked = [(await rig.ask("book"))[0] for _ in range(15)]
        assert all(rig.runs(request)[0]["upstream"] != leaving.id for request in asked)


async def configuration_comes_into_force():
    async with Rig(vms=2) as rig:
        assert (await rig.ask("late"))[1] == 404
        rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                              "timeout_ms": 1000, "attempts": 1}])
        await asyncio.sleep(1.0)
        for vm in rig.vms:
            assert (await rig.ask("late", vm))[1] == 200


async def forgotten_history_is_read_anew():
    """A configuration once came into force only at the end of a long poll, when the store had dropped its history meanwhile."""
    async with Rig() as rig:
        store = rig.fleet.store
        await asyncio.sleep(3)  # the watches of the start are over
        original, store.note = store.note, lambda change: None  # watches hear nothing
        rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                              "timeout_ms": 1000, "attempts": 1}])
        store.note = original
        store.forget()
        await asyncio.sleep(2.5)
        assert (await rig.ask("late"))[1] == 200


async def requests_are_served_while_the_store_is_away():
    for mode in ("silent", "busy", "reset", "many"):
        async with Rig() as rig:
            rig.fleet.store.mode = mode
            await asyncio.sleep(1.0)
            for kind in ("book", "check", "stream"):
                assert (await rig.ask(kind))[1] == 200, (mode, kind)
            rig.fleet.store.mode = "up"
            rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                                  "timeout_ms": 1000, "attempts": 1}])
            await asyncio.sleep(4.0)
            assert (await rig.ask("late"))[1] == 200, mode


async def killed_vms_return():
    async with Rig(vms=2) as rig:
        vm = rig.vms[0]
        vm.signal(signal.SIGKILL)
        await vm.process.wait()
        assert (await rig.ask("book", rig.vms[1]))[1] == 200
        begin = time.monotonic()
        await vm.start()
        await vm.until_ready()
        assert time.monotonic() - begin < 2
        assert (await rig.ask("stream", vm))[1] == 200


async def restarted_engines_are_told_apart():
    async with Rig(decode=2) as rig:
        await rig.fleet.engines[2].restart()
        await rig.fleet.services[0].restart()
        await asyncio.sleep(0.5)
        for kind in ("stream", "book", "check", "digest"):
            assert (await rig.ask(kind))[1] == 200


async def read_prompts_go_to_another_decode_engine():
    """A decode engine takes the reservation but not the stream; the prompt's memory goes to another one and is not read again."""
    async with Rig(prefill=1, decode=2) as rig:
        nearest = rig.fleet.engines[2]  # in the VM's own place
        nearest.fault, nearest.fault_share = "moved", 1.0
        for _ in range(4):
            assert (await rig.ask("stream"))[1] == 200
        read = [entry for entry in rig.fleet.history if entry["event"] == "prompt_read"]
        assert len(read) == 4, f"4 streams, {len(read)} prompts read"
        await asyncio.sleep(1.2)  # until the log is flushed
        assert rig.vms[0].lines().count('"stream_redirected"') == 1, "the engine is left alone after its first answer"


async def orders_have_one_holder():
    """The holder of orders is frozen past its lease; when it wakes it gives no order that its successor's fence forbids."""
    async with Rig(vms=2, prefill=4, decode=2) as rig:
        async def traffic(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                await asyncio.gather(*(rig.ask("stream", vm, limit=15) for vm in rig.vms if vm.process.returncode is None and not vm.frozen),
                                     return_exceptions=True)
        for engine in rig.fleet.engines:
            engine.GAP = 0.06  # long answers, for which four prefill engines of six are too many
        for vm in rig.vms:
            vm.frozen = False
        holder = None
        for _ in range(40):
            await asyncio.sleep(0.25)
            holder = next((vm for vm in rig.vms if "holder_won" in vm.lines()), None)
            if holder:
                break
        assert holder, "a VM holds the key of orders"
        holder.frozen = True
        holder.signal(signal.SIGSTOP)
        await traffic(18)
        holder.signal(signal.SIGCONT)
        holder.frozen = False
        await traffic(8)
        fences = [(entry["fence"], entry["holder"]) for entry in rig.fleet.history if entry["event"] == "order"]
        assert fences, "the successor gives orders"
        assert fences == sorted(fences, key=lambda pair: pair[0]), fences
        assert len({holder for _, holder in fences}) == len({fence for fence, _ in fences}), fences


async def long_prompts_are_served_and_too_long_ones_refused_at_once():
    """A prompt that takes longer than the latency goal on an idle engine is no reason to refuse it."""
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.READ = 10.0  # slower than the router expects before it has seen one
        for _ in range(4):
            status = (await rig.ask("stream", headers={"Token-Count": "15000,100"}))[1]
            assert status == 200, status
        begin = time.monotonic()
        request, status, _, _ = await rig.ask("stream", headers={"Token-Count": "30000,100"})
        assert status == 503 and time.monotonic() - begin < 0.2 and not rig.runs(request)


async def logs_explain_a_request():
    async with Rig() as rig:
        request = (await rig.ask("stream"))[0]
        await asyncio.sleep(0.2)
        lines = [line for line in rig.vms[0].lines().splitlines() if request in line]
        text = "\n".join(lines)
        for event in ("stream_placed", "first_event", "request_answered"):
            assert event in text, text
        status, _, body = await call(rig.vms[0].ip, rig.vms[0].port + 9, "GET", "/metrics", {"Host": "x"}, b"")
        assert status == 200 and b"currantstack_requests_answered" in body and b"currantstack_first_event_seconds" in body


TESTS = [whole_path, resumed_stream, torn_stream_is_not_complete, bookings_run_once, checks_are_repeated, refusals_are_true,
         silent_upstreams_time_out, smuggled_requests_are_refused, callers_that_leave_stop_their_engines, drained_vm_cuts_nothing,
         drain_closes_kept_connections, draining_upstreams_get_nothing, configuration_comes_into_force, forgotten_history_is_read_anew,
         requests_are_served_while_the_store_is_away, killed_vms_return, restarted_engines_are_told_apart,
         read_prompts_go_to_another_decode_engine, orders_have_one_holder,
         long_prompts_are_served_and_too_long_ones_refused_at_once, logs_explain_a_request]


def main():
    names = sys.argv[1:]
    passed = failed = 0
    for test in TESTS:
        if names and test.__name__ not in names:
            continue
        try:
            asyncio.run(asyncio.wait_for(test(), 90))
            passed += 1
            print(f"ok: {test.__name__}", flush=True)
        except Exception:  # every failure is reported with its trace, and the next test runs
            failed += 1
            print(f"FAILED: {test.__name__}\n{traceback.format_exc()}", flush=True)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
