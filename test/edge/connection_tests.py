"""Process tests of the configuration's limits on callers' connections."""

import asyncio
import json
import os
import resource
import select
import signal
import time
from dataclasses import dataclass

from platform_fleet import configuration
from loss_tests import encoded
from rig import Rig, read_response

SMALL = b"GET /check/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: kept\r\nContent-Length: 0\r\n\r\n"
QUIET_S = 0.3  # for which a connection is idle before it may be closed for others


@dataclass
class Outcome:
    """What became of a request; times are in seconds since its connection was opened."""
    request: str
    closed_after: float | None = None  # the connection, before the request was sent
    sent_after: float | None = None
    status: int | None = None  # None: not answered


async def limit(rig, **limits):
    rig.fleet.version += 3
    changed = configuration(rig.fleet.version)
    changed["limits"].update(limits)
    rig.fleet.store.put("op/config", json.dumps(changed).encode())
    await asyncio.sleep(1)


async def heads_up_to_the_configured_limit_are_served():
    async with Rig() as rig:
        for max_bytes in (16384, 1000, 40000):
            await limit(rig, max_header_bytes=max_bytes)
            status = (await rig.send("book", headers={"X-Long": "h" * (max_bytes - 400)}))[1]
            assert status == 200, (max_bytes, status)
            request, status, headers, _ = await rig.send("book", headers={"X-Long": "h" * max_bytes})
            assert status == 431 and headers["connection"] == "close", (max_bytes, status)
            assert not rig.runs_of(request)


async def idle_connections_are_closed_after_the_configured_time():
    async with Rig() as rig:
        vm = rig.vms[0]
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(SMALL)
        assert (await read_response(reader))[0] == 200
        await limit(rig, idle_timeout_ms=1500)
        await asyncio.sleep(4)
        writer.write(SMALL)  # within the time that was in force when the last request was sent
        assert (await read_response(reader))[0] == 200, "a lowered limit closes a connection that its caller may still use"
        await asyncio.sleep(1.2)
        writer.write(SMALL)
        assert (await read_response(reader))[0] == 200, "closed too soon"
        assert await asyncio.wait_for(reader.read(10), 4) == b""
        writer.close()


async def slow_heads_are_cut_off_after_the_configured_time():
    async with Rig() as rig:
        vm = rig.vms[0]
        await limit(rig, header_timeout_ms=1000)
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(SMALL[:20])
        assert await asyncio.wait_for(reader.read(10), 5) == b""
        writer.close()


async def open_idle(rig, count):
    """Opens connections, in groups that the listener's queue holds; returns their readers."""
    vm, readers = rig.vms[0], []
    while len(readers) < count:
        group = await asyncio.gather(*(asyncio.open_connection(vm.ip, vm.port) for _ in range(min(100, count - len(readers)))))
        rig.writers += [writer for _, writer in group]
        readers += [reader for reader, _ in group]
    return readers


def count_open(readers):
    return sum(not reader.at_eof() for reader in readers)


async def check_new_callers(rig, count=20):
    for _ in range(count):
        begin = time.monotonic()
        assert (await rig.send("check", limit=5))[1] == 200
        assert time.monotonic() - begin < 1, "a new caller waits for its connection"


async def idle_connections_lock_no_caller_out():
    """Guards against a VM that says that it is ready and takes no connection, because idle ones hold all that it may have."""
    async with Rig() as rig:
        vm = rig.vms[0]
        await limit(rig, header_timeout_ms=60000, idle_timeout_ms=60000)  # longer than the test, so that connections are closed for others only
        slow_reader, slow = await asyncio.open_connection(vm.ip, vm.port)
        slow.write(SMALL[:20])
        await asyncio.sleep(1.2)  # the VM looks at its connections each second; this one has not changed for the longest then
        longest_idle, _ = await open_idle(rig, 2)
        oldest = await open_idle(rig, 1500)
        await asyncio.sleep(0.5)
        latest = await open_idle(rig, 1300)
        await check_new_callers(rig)
        slow.write(SMALL[20:])
        assert (await read_response(slow_reader))[0] == 200, "a request that has begun to arrive is cut off"
        assert await vm.is_ready()
        assert await asyncio.wait_for(longest_idle.read(1), 1) == b"", "the connection that has been idle for the longest is not closed"
        assert count_open(oldest) < len(oldest) and count_open(latest) == len(latest), (count_open(oldest), count_open(latest))
        assert vm.resident_mb() < 110, vm.resident_mb()
        slow.close()


def is_closed_by_peer(writer):
    """Returns whether the end of the input has arrived, also if the event loop has not read it yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def send_after_pause(rig, request, pause):
    """Opens a connection and books on it after a pause in which nothing is sent, unless it is closed before."""
    begin, outcome = time.monotonic(), Outcome(request)
    reader, writer = await asyncio.open_connection(rig.vms[0].ip, rig.vms[0].port)
    rig.writers.append(writer)
    try:
        await asyncio.wait_for(reader.read(1), pause)
    except asyncio.TimeoutError:
        pass
    if is_closed_by_peer(writer):
        outcome.closed_after = time.monotonic() - begin
        return outcome
    writer.write(SMALL.replace(b"kept", request.encode()).replace(b"GET /check", b"POST /book"))
    outcome.sent_after = time.monotonic() - begin
    try:
        outcome.status = (await asyncio.wait_for(read_response(reader), 10))[0]
    except EOFError:
        pass
    return outcome


async def requests_on_connections_that_are_closed_for_others_are_answered_or_refused():
    """Guards against a request that crosses the closing of its connection and is run without an answer."""
    async with Rig(bounds={"max_fds": 500}) as rig:
        vm, tasks, rounds = rig.vms[0], [], 0

        def late_answers():
            outcomes = [task.result() for task in tasks if task.done()]
            return sum(outcome.status == 200 and outcome.sent_after >= 0.2 for outcome in outcomes)
        # How many connections are closed before their request is sent depends on how fast the machine opens others.
        while rounds < 20 or (rounds < 60 and late_answers() <= 100):
            tasks += [asyncio.create_task(send_after_pause(rig, f"late-{rounds}-{n}", 0.1 + n * 0.01)) for n in range(60)]
            await open_idle(rig, 50)
            await asyncio.sleep(0.1)
            rounds += 1
        outcomes = await asyncio.gather(*tasks)
        await asyncio.sleep(1)
        assert {outcome.status for outcome in outcomes} <= {200, 408, None}
        run = {entry["request"] for entry in rig.fleet.history if entry["event"] == "run"}
        lost = [outcome for outcome in outcomes if (outcome.request in run) != (outcome.status == 200)]
        assert not lost, f"{len(lost)} requests ran without an answer, or the other way round: {lost[:5]}"
        soon = [outcome for outcome in outcomes if outcome.closed_after is not None and outcome.closed_after < QUIET_S]
        assert not soon, f"{len(soon)} connections were closed too soon: {soon[:5]}"
        sent = [outcome for outcome in outcomes if outcome.sent_after is not None]
        cut = [outcome for outcome in sent if outcome.status != 200]
        assert all(outcome.sent_after >= QUIET_S - 0.05 for outcome in cut), f"a request in time got no answer: {cut[:5]}"
        assert len(cut) < 0.05 * len(sent), f"{len(cut)} of {len(sent)} requests that were sent on open connections got no answer: {cut[:5]}"
        assert late_answers() > 100, (late_answers(), len(sent), rounds)
        closings = [json.loads(line[line.index("{"):]) for line in vm.log_text().splitlines() if '"idle_connections_closed"' in line]
        # Of 200 connections, an eighth is freed.
        assert closings and all(entry["open"] - entry["closed"] >= 175 for entry in closings), "more are closed than make room"


async def connections_follow_the_descriptors_that_there_are():
    for max_fds, own_limit, expected in ((500, None, 200), (4100, 800, 400)):
        async with Rig(bounds={"max_fds": max_fds}) as rig:
            vm = rig.vms[0]
            if own_limit:
                vm.signal(signal.SIGKILL)
                await vm.process.wait()
                limits = resource.getrlimit(resource.RLIMIT_NOFILE)
                resource.setrlimit(resource.RLIMIT_NOFILE, (own_limit, limits[1]))
                try:
                    await vm.start()
                finally:
                    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
                await vm.wait_until_ready()
            readers = await open_idle(rig, 2 * expected)
            await check_new_callers(rig, 5)
            assert count_open(readers) <= expected, count_open(readers)
            used = len(os.listdir(f"/proc/{vm.process.pid}/fd"))
            assert used < min(max_fds, own_limit or max_fds) - 200, used


async def send_and_end_input(rig, kind):
    """Sends a request and ends the sending direction of its connection; returns its id and what the caller got."""
    reader, writer = await asyncio.open_connection(rig.vms[0].ip, rig.vms[0].port)
    rig.writers.append(writer)
    request = rig.request_id()
    writer.write(encoded(request, kind))
    writer.write_eof()
    try:
        return request, (await asyncio.wait_for(read_response(reader), 5))[0]
    except EOFError:
        return request, None


async def caller_that_ends_its_input_gets_the_answer_to_a_request_that_runs_at_most_once():
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.WORK_S = 0.7
        for request, status in await asyncio.gather(*(send_and_end_input(rig, "book") for _ in range(8))):
            assert status == 200 and len(rig.runs_of(request)) == 1, (request, status)
        for service in rig.fleet.services:
            service.PADDING_BYTES = 3_000_000  # more than a socket takes at once
        assert [status for _, status in await asyncio.gather(*(send_and_end_input(rig, "book") for _ in range(2)))] == 2 * [200]


async def work_for_a_caller_that_ends_its_input_stops():
    """An end of input may be the close of the connection, after which work that may be repeated has to stop."""
    async with Rig() as rig:
        for service in rig.fleet.services:
            service.WORK_S = 2
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.2
        begin = time.monotonic()
        results = await asyncio.gather(*(send_and_end_input(rig, kind) for kind in ("check", "stream", "digest")))
        assert time.monotonic() - begin < 0.5
        assert [status for _, status in results] == 3 * [None], results
        await asyncio.sleep(0.2)  # until the log is written
        gone = [json.loads(line[line.index("{"):])["request"] for line in rig.vms[0].log_text().splitlines() if '"caller_gone"' in line]
        assert sorted(gone) == sorted(request for request, _ in results), gone


TESTS = [caller_that_ends_its_input_gets_the_answer_to_a_request_that_runs_at_most_once, work_for_a_caller_that_ends_its_input_stops,
         idle_connections_lock_no_caller_out, requests_on_connections_that_are_closed_for_others_are_answered_or_refused,
         connections_follow_the_descriptors_that_there_are, heads_up_to_the_configured_limit_are_served, idle_connections_are_closed_after_the_configured_time,
         slow_heads_are_cut_off_after_the_configured_time]
