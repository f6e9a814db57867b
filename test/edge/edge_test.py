#!/usr/bin/env python3
"""Process tests of currant-edge against the stand-ins, one failure per test. The last line is "N passed, N failed"."""

import asyncio
import os
import signal
import sys
import time
import traceback

import answer_end_tests
import answer_tests
import caller_tests
import change_tests
import connection_tests
import cut_watch_tests
import early_answer_tests
import end_trial_tests
import engine_process_tests
import entry_tests
import forgotten_version_tests
import held_end_tests
import leaving_tests
import limit_tests
import listener_tests
import long_document_tests
import loss_tests
import memory_tests
import order_tests
import out_of_step_tests
import outdated_plan_tests
import overload_tests
import partial_cut_tests
import quarantine_tests
import relay_tests
import release_tests
import restore_tests
import resumption_tests
import retry_budget_tests
import silence_tests

import silent_stream_tests
import silent_upstream_tests
import soak_tests
import starting_vm_tests
import stop_tests
import stranded_tests
import tenant_tests
import version_tests
from rig import ROOT, Rig, Skipped, call, read_response, reserve_port
from platform_upstreams import JUNK


def events(body):
    """Returns the numbers of a stream's events, which must all carry the same request id and be of one software version."""
    found = [line.split(" ") for line in body.decode().split("\n") if line.startswith("data: ")]
    assert len({(request, version) for _, request, _, version in found}) <= 1, body
    return [int(number) for _, _, number, _ in found]


def program_of(pid):
    """Returns the command line of a process, empty if it has ended."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return file.read()
    except OSError:
        return b""


async def each_request_kind_is_forwarded():
    async with Rig() as rig:
        for kind in ("book", "check"):
            request, status, headers, body = await rig.send(kind)
            assert status == 200 and headers["request-id"] == request and "server-stamp" in headers and request.encode() in body
            assert rig.runs_of(request)[0]["target"] == f"/{kind}/x?q=%20a//b", "the target was not forwarded unchanged"
        for kind in ("stream", "digest"):
            request, status, headers, body = await rig.send(kind)
            assert status == 200 and events(body) == list(range(1, 13)), (status, body)
            assert len(rig.runs_of(request)) == 1
        assert (await rig.send("nowhere"))[1] == 404


async def broken_streams_are_resumed():
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.fault, engine.fault_share = "torn", 0.05
        resumed = 0
        for _ in range(20):
            request = rig.request_id()
            try:
                _, status, _, body = await rig.send("stream", request_id=request)
                assert status == 200 and events(body) == list(range(1, 13)), body
                resumed += len(rig.runs_of(request)) > 1
            except EOFError:
                pass  # the connection broke again after the resumption
        assert resumed > 0


async def truncated_stream_is_not_completed():
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.fault, engine.fault_share = "torn", 1.0
        try:
            request, status, _, _ = await rig.send("digest")
            assert status == 502, status
        except EOFError:
            return
        assert len(rig.runs_of(request)) == 1, "a stream that must not be resumed ran more than once"


async def answers_may_end_with_their_connection():
    """Guards against an answer without length or chunks that breaks off and is passed on as complete."""
    async with Rig() as rig:
        async def set_fault(fault, upstreams):
            for upstream in upstreams:
                upstream.fault, upstream.fault_share = fault, 1.0

        await set_fault("unframed", rig.fleet.upstreams)
        for kind in ("digest", "stream"):
            _, status, _, body = await rig.send(kind)
            assert status == 200 and events(body) == list(range(1, 13)), (kind, status, body)
        request, status, _, body = await rig.send("book")
        assert status == 200 and request.encode() in body, (status, body)
        await set_fault("comments", rig.fleet.engines)
        _, status, _, body = await rig.send("digest")
        assert status == 200 and body.startswith(b": hello\n\nid: 1\n"), f"a comment before the first event is lost: {body!r}"
        await set_fault("unframed_empty", rig.fleet.engines)
        _, status, _, body = await rig.send("digest")
        assert status == 502, f"a stream without any event is answered with {status} {body!r}"
        await set_fault("unframed_torn", rig.fleet.engines)
        try:
            _, status, _, body = await rig.send("digest")
            assert status != 200, f"a stream that ends inside an event looks complete: {body!r}"
        except EOFError:
            pass
        # A stream that may be resumed goes on at another engine.
        await set_fault("", rig.fleet.engines)
        await set_fault("unframed_torn", rig.fleet.engines[2:3])
        for _ in range(4):
            _, status, _, body = await rig.send("stream")
            assert status == 200 and events(body) == list(range(1, 13)), (status, body)


async def bookings_run_once():
    for fault in ("lost", "torn", "half_head", "foreign", "error", "surplus"):
        async with Rig() as rig:
            for service in rig.fleet.services:
                service.fault, service.fault_share = fault, 0.5
            for _ in range(20):
                request, status, headers, body = await rig.send("book")
                assert len(rig.runs_of(request)) == 1, (fault, rig.runs_of(request))
                assert status in (200, 500, 502), (fault, status)
                assert status != 200 or request.encode() in body, (fault, body)
                assert "server-stamp" not in headers or headers["request-id"] == request


async def answers_that_break_off_cut_no_vm_off():
    """Guards against bookings that are refused because answers which had begun count as lost links."""
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault, service.fault_share = "torn", 1.0
        for _ in range(8):
            request, status, _, _ = await rig.send("book")
            assert len(rig.runs_of(request)) == 1 and status == 502, (status, rig.runs_of(request))


async def safe_requests_are_retried():
    async with Rig() as rig:
        rig.fleet.services[0].fault, rig.fleet.services[0].fault_share = "lost", 1.0
        for _ in range(8):
            assert (await rig.send("check"))[1] == 200


async def refused_bookings_do_not_run():
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault, service.fault_share = "shed", 1.0
        request, status, headers, _ = await rig.send("book")
        assert status == 503 and "retry-after" in headers and not rig.runs_of(request)


async def silent_upstreams_time_out():
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.fault, service.fault_share = "hang", 1.0
        begin = time.monotonic()
        _, status, _, _ = await rig.send("book", deadline=700)
        assert status == 504 and time.monotonic() - begin < 1.0, status


async def answers_without_end_are_cut_off():
    """Guards against an upstream that fills the router's memory, or holds a caller past its deadline, with bytes that are no answer."""
    deadline_s, growth_limit_mb = 3.0, 48
    for fault in set(JUNK) - {"endless_events"}:  # a stream of events is an answer, which ends at the deadline
        for kind in ("book", "digest"):
            async with Rig() as rig:
                vm = rig.vms[0]
                for _ in range(3):
                    assert (await rig.send(kind))[1] == 200
                before = vm.resident_mb()
                for upstream in rig.fleet.upstreams:
                    upstream.fault = fault

                async def send():
                    begin = time.monotonic()
                    try:
                        status = (await rig.send(kind, deadline=1000 * deadline_s))[1]
                        assert status in (502, 503, 504), (fault, kind, status)
                    except EOFError:
                        pass  # the stream had begun
                    assert time.monotonic() - begin < deadline_s + 0.5, (fault, kind, "the caller is held past its deadline")

                await asyncio.gather(*(send() for _ in range(4)))
                assert vm.resident_mb() - before < growth_limit_mb, (fault, kind, before, vm.resident_mb())
                await asyncio.sleep(0.3)
                sending = [upstream.id for upstream in rig.fleet.upstreams if upstream.junk_senders]
                assert not sending, (fault, kind, "connections stay open after the answers to the callers")
                for upstream in rig.fleet.upstreams:
                    upstream.fault = ""
                end = time.monotonic() + 4  # an engine that failed is not used for at most 3 s
                while (await rig.send(kind))[1] != 200:
                    assert time.monotonic() < end, (fault, kind, "requests fail after the fault")
                    await asyncio.sleep(0.1)


async def callers_that_do_not_read_are_disconnected():
    """Guards against the memory that the events for such a caller take. Its engine is not at fault and serves others."""
    async with Rig(decode=1) as rig:
        vm, engine = rig.vms[0], rig.fleet.engines[-1]
        assert (await rig.send("stream"))[1] == 200
        before, engine.fault = vm.resident_mb(), "endless_events"
        reader, writer = await asyncio.open_connection(vm.ip, vm.port, limit=1024)
        writer.write(b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: slow\r\nToken-Count: 2000,100\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(2)
        assert not engine.junk_senders, "the stream to a caller that does not read goes on"
        assert vm.resident_mb() - before < 48, (before, vm.resident_mb())
        engine.fault = ""
        assert (await rig.send("stream"))[1] == 200, "the engine is excluded for its slow caller"
        writer.close()


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
            status, _, _ = await read_response(reader)
            assert status == 400, (head, status)
            assert await reader.read(100) == b"", "the connection stayed open"
            writer.close()
        await asyncio.sleep(0.3)
        assert not rig.runs_of("hidden")


async def disconnected_callers_stop_their_engines():
    async with Rig() as rig:
        vm = rig.vms[0]
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(b"POST /stream/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: gone\r\nToken-Count: 2000,100\r\nContent-Length: 0\r\n\r\n")
        await reader.readuntil(b"data:")
        writer.transport.abort()
        await asyncio.sleep(0.5)
        assert any(entry["event"] == "stopped" and entry["request"] == "gone" for entry in rig.fleet.history)


async def draining_vm_completes_requests():
    async with Rig(vms=2) as rig:
        vm = rig.vms[0]
        requests = [asyncio.create_task(rig.send(kind, vm)) for kind in ("stream", "digest", "book", "check")]
        await asyncio.sleep(0.02)
        begin = time.monotonic()
        vm.signal(signal.SIGTERM)
        for task in requests:
            assert (await task)[1] == 200
        assert not await vm.is_ready()
        assert (await rig.send("book", vm))[1] == 200, "a draining VM serves callers until the load balancer has noticed"
        await asyncio.wait_for(vm.process.wait(), 8)
        assert vm.process.returncode == 0 and time.monotonic() - begin < 8


async def drain_closes_idle_connections():
    """Guards against a stream that is interrupted at the end of the drain because it arrived on a keep-alive connection long after SIGTERM."""
    async with Rig() as rig:
        vm = rig.vms[0]
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.4  # the stream outlasts the time in which a draining VM accepts requests
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        request = b"GET /check/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: kept\r\nContent-Length: 0\r\n\r\n"
        writer.write(request)
        assert (await read_response(reader))[0] == 200
        long = asyncio.create_task(rig.send("digest", vm))
        await asyncio.sleep(0.05)
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(3.0)
        assert await asyncio.wait_for(reader.read(100), 1) == b"", "an idle connection stays open after the VM has stopped accepting requests"
        assert (await long)[1] == 200


async def draining_upstreams_get_no_requests():
    async with Rig(services=3) as rig:
        draining = rig.fleet.services[0]
        draining.drain()
        await asyncio.sleep(1.0)
        requests = [(await rig.send("book"))[0] for _ in range(15)]
        assert all(rig.runs_of(request)[0]["upstream"] != draining.id for request in requests)


async def configuration_comes_into_force():
    async with Rig(vms=2) as rig:
        assert (await rig.send("late"))[1] == 404
        rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                              "timeout_ms": 1000, "attempts": 1}])
        await asyncio.sleep(1.0)
        for vm in rig.vms:
            assert (await rig.send("late", vm))[1] == 200


async def compacted_history_is_reloaded():
    """A configuration must come into force soon even if the store compacts its history during a long poll. The poll does not report the
    compaction before it ends."""
    async with Rig() as rig:
        store = rig.fleet.store
        await asyncio.sleep(3)  # the watches that were opened at startup have ended
        original, store.record_change = store.record_change, lambda change: None  # watches receive no events
        rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                              "timeout_ms": 1000, "attempts": 1}])
        store.record_change = original
        store.compact()
        await asyncio.sleep(2.5)
        assert (await rig.send("late"))[1] == 200


async def requests_are_served_while_the_store_is_unreachable():
    for mode in ("silent", "busy", "reset", "many"):
        async with Rig() as rig:
            rig.fleet.store.mode = mode
            await asyncio.sleep(1.0)
            for kind in ("book", "check", "stream"):
                assert (await rig.send(kind))[1] == 200, (mode, kind)
            rig.fleet.store.mode = "up"
            rig.fleet.configure([{"name": "late", "host": "app.example", "prefix": "/late/", "type": "safe", "service": "booking",
                                  "timeout_ms": 1000, "attempts": 1}])
            await asyncio.sleep(4.0)
            assert (await rig.send("late"))[1] == 200, mode


async def killed_vms_restart():
    async with Rig(vms=2) as rig:
        vm = rig.vms[0]
        vm.signal(signal.SIGKILL)
        await vm.process.wait()
        assert (await rig.send("book", rig.vms[1]))[1] == 200
        begin = time.monotonic()
        await vm.start()
        await vm.wait_until_ready()
        assert time.monotonic() - begin < 2
        assert (await rig.send("stream", vm))[1] == 200


async def ports_of_a_killed_vm_are_not_given_to_another_rig():
    """Guards against callers whose VM restarts while another process's rig has taken its ports, and datagrams between VMs of two rigs."""
    async with Rig() as rig:
        vm = rig.vms[0]
        vm.signal(signal.SIGKILL)
        await vm.process.wait()
        for ip in (vm.ip, "127.0.0.99"):
            port, reservation = reserve_port([ip])
            reservation.close()
            assert port != vm.port, (ip, port)


async def vms_end_with_the_process_of_their_rig():
    """Guards against VMs of a run that was ended, which report to those of later rigs at the same addresses."""
    code = ("import asyncio, os, rig\n"
            "async def main():\n"
            "    async with rig.Rig() as found:\n"
            "        print(found.vms[0].process.pid, flush=True)\n"
            "        os._exit(1)\n"
            "asyncio.run(main())\n")
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, cwd=os.path.dirname(os.path.abspath(__file__)),
                                                   stdout=asyncio.subprocess.PIPE)
    vm = int(await process.stdout.readline())
    await process.wait()
    end = time.monotonic() + 2
    while program_of(vm):
        if time.monotonic() > end:
            os.kill(vm, signal.SIGKILL)
            raise AssertionError("the VM goes on after its rig's process")
        await asyncio.sleep(0.05)


async def restarted_upstreams_serve_requests():
    async with Rig(decode=2) as rig:
        await rig.fleet.engines[2].restart()
        await rig.fleet.services[0].restart()
        await asyncio.sleep(0.5)
        for kind in ("stream", "book", "check", "digest"):
            assert (await rig.send(kind))[1] == 200


async def prefilled_prompts_go_to_another_decode_engine():
    """When a decode engine accepts the reservation but refuses the stream, another one imports the KV cache without a second prefill."""
    async with Rig(prefill=1, decode=2) as rig:
        nearest = rig.fleet.engines[2]  # in the VM's own place
        nearest.fault, nearest.fault_share = "moved", 1.0
        for _ in range(4):
            assert (await rig.send("stream"))[1] == 200
        prefills = [entry for entry in rig.fleet.history if entry["event"] == "prompt_read"]
        assert len(prefills) == 4, f"4 streams caused {len(prefills)} prefills"
        await asyncio.sleep(1.2)  # until the log is flushed
        assert rig.vms[0].log_text().count('"stream_redirected"') == 1, "the engine was not excluded after its first refusal"


async def orders_have_one_holder():
    """The order holder is frozen past its lease; after it resumes it sends no order with a fencing token below its successor's."""
    async with Rig(vms=2, prefill=4, decode=2) as rig:
        async def traffic(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                await asyncio.gather(*(rig.send("stream", vm, limit=15) for vm in rig.vms if vm.process.returncode is None and not vm.frozen),
                                     return_exceptions=True)
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.06  # long streams need more than two decode engines of six
        for vm in rig.vms:
            vm.frozen = False
        holder = None
        for _ in range(40):
            await asyncio.sleep(0.25)
            holder = next((vm for vm in rig.vms if "holder_won" in vm.log_text()), None)
            if holder:
                break
        assert holder, "no VM acquired the order lease"
        holder.frozen = True
        holder.signal(signal.SIGSTOP)
        await traffic(18)
        holder.signal(signal.SIGCONT)
        holder.frozen = False
        await traffic(8)
        orders = [(entry["fence"], entry["holder"]) for entry in rig.fleet.history if entry["event"] == "order"]
        assert orders, "the successor sent no order"
        assert orders == sorted(orders, key=lambda order: order[0]), orders
        assert len({holder for _, holder in orders}) == len({fence for fence, _ in orders}), orders


async def long_prompts_are_served_and_too_long_ones_refused_at_once():
    """A prompt whose prefill alone exceeds the latency goal on an idle engine is served, not refused."""
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.PREFILL_TOKENS_PER_MS = 10.0  # slower than the router assumes before its first measurement
        for _ in range(4):
            status = (await rig.send("stream", headers={"Token-Count": "15000,100"}))[1]
            assert status == 200, status
        begin = time.monotonic()
        request, status, _, _ = await rig.send("stream", headers={"Token-Count": "30000,100"})
        assert status == 503 and time.monotonic() - begin < 0.2 and not rig.runs_of(request)


async def logs_explain_a_request():
    async with Rig() as rig:
        request = (await rig.send("stream"))[0]
        await asyncio.sleep(0.2)
        lines = [line for line in rig.vms[0].log_text().splitlines() if request in line]
        text = "\n".join(lines)
        for event in ("stream_placed", "first_event", "request_answered"):
            assert event in text, text
        status, _, body = await call(rig.vms[0].ip, rig.vms[0].port + 9, "GET", "/metrics", {"Host": "x"}, b"")
        assert status == 200 and b"currantstack_requests_answered" in body and b"currantstack_first_event_seconds" in body


TESTS = [each_request_kind_is_forwarded, broken_streams_are_resumed, truncated_stream_is_not_completed,
         answers_may_end_with_their_connection, bookings_run_once, answers_that_break_off_cut_no_vm_off,
         safe_requests_are_retried, refused_bookings_do_not_run, silent_upstreams_time_out, answers_without_end_are_cut_off,
         callers_that_do_not_read_are_disconnected, smuggled_requests_are_refused,
         disconnected_callers_stop_their_engines, draining_vm_completes_requests, drain_closes_idle_connections,
         draining_upstreams_get_no_requests, configuration_comes_into_force, compacted_history_is_reloaded,
         requests_are_served_while_the_store_is_unreachable, killed_vms_restart, ports_of_a_killed_vm_are_not_given_to_another_rig, vms_end_with_the_process_of_their_rig, restarted_upstreams_serve_requests,
         prefilled_prompts_go_to_another_decode_engine, orders_have_one_holder,
         long_prompts_are_served_and_too_long_ones_refused_at_once, logs_explain_a_request, *quarantine_tests.TESTS, *limit_tests.TESTS, *restore_tests.TESTS,
         *version_tests.TESTS, *out_of_step_tests.TESTS, *forgotten_version_tests.TESTS, *starting_vm_tests.TESTS, *answer_tests.TESTS, *silence_tests.TESTS, *silent_stream_tests.TESTS, *silent_upstream_tests.TESTS, *resumption_tests.TESTS, *retry_budget_tests.TESTS, *stranded_tests.TESTS, *partial_cut_tests.TESTS, *relay_tests.TESTS,
         *release_tests.TESTS, *entry_tests.TESTS, *leaving_tests.TESTS, *stop_tests.TESTS, *connection_tests.TESTS, *loss_tests.TESTS, *change_tests.TESTS, *outdated_plan_tests.TESTS, *cut_watch_tests.TESTS, *memory_tests.TESTS,
         *answer_end_tests.TESTS, *early_answer_tests.TESTS, *held_end_tests.TESTS, *end_trial_tests.TESTS, *listener_tests.TESTS, *engine_process_tests.TESTS, *order_tests.TESTS, *caller_tests.TESTS, *long_document_tests.TESTS, *soak_tests.TESTS, *tenant_tests.TESTS]


ALONE = overload_tests.TESTS  # run one at a time, apart from other load


def known_red():
    """Returns the tests of this file that KNOWN-RED.txt lists, one in a line "test: edge/NAME"."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        return {line.split("edge/", 1)[1].strip() for line in file if line.startswith("test: edge/")}


def selected(arguments):
    """Returns the tests that are named, every Nth one for "--part K/N", or those that run apart from others for "--alone"; all without arguments."""
    if arguments == ["--alone"]:
        return ALONE
    if arguments[:1] == ["--part"]:
        part, parts = map(int, arguments[1].split("/"))
        return TESTS[part - 1::parts]
    return [test for test in TESTS + ALONE if not arguments or test.__name__ in arguments]


def main():
    passed = failed = 0
    red = known_red()
    assert red <= {test.__name__ for test in TESTS + ALONE}, "KNOWN-RED.txt lists a test that does not exist"
    for test in selected(sys.argv[1:]):
        try:
            asyncio.run(asyncio.wait_for(test(), 90))
            passed += 1
            print(f"ok: {test.__name__}", flush=True)
        except Skipped as reason:
            print(f"skipped: {test.__name__}: {reason}", flush=True)
        except Exception as error:  # prints the traceback and continues with the next test
            if test.__name__ in red:
                print(f"KNOWN RED: {test.__name__}: {error!r} (see KNOWN-RED.txt)", flush=True)
                continue
            failed += 1
            print(f"FAILED: {test.__name__}\n{traceback.format_exc()}", flush=True)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
